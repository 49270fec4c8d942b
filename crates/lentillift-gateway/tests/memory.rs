//! Reading a process's resident memory.

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
    valid_status: "Name:\tx\nVmRSS:\t    9404 kB\nThreads:\t2\n" => Some(9_629_696);
    missing_line: "Name:\tx\n" => None;
    invalid_number: "VmRSS:\tmany kB\n" => None;
    unexpected_unit: "VmRSS:\t 9 MB\n" => None;
}

#[test]
fn this_process_has_resident_memory() {
    assert!(memory::resident_bytes().is_some_and(|bytes| bytes > 100_000));
}
