//! The system's word on the memory of a process.

use lentillift_gateway::memory;

macro_rules! parses {
    ($($name:ident: $status:expr => $bytes:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(memory::parse_resident_bytes($status), $bytes);
        }
    )*};
}

parses! {
    usual: "Name:\tx\nVmRSS:\t    9404 kB\nThreads:\t2\n" => Some(9_629_696);
    no_such_line: "Name:\tx\n" => None;
    no_number: "VmRSS:\tmany kB\n" => None;
    another_unit: "VmRSS:\t 9 MB\n" => None;
}

#[test]
fn this_process_takes_some() {
    assert!(memory::resident_bytes().is_some_and(|bytes| bytes > 100_000));
}
