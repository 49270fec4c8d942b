//! The macro that names the cases of a fault table.

/// Names each case of a table; all run over a fleet of their own.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($net:ident) $body:block)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let seed = stringify!($name).len() as u64;
                let mut $net = fleet(seed);
                $body
            }
        )+
    };
}
