//! Macro that turns the cases of a fault table into tests.

/// Turns each case into a test over a fleet of its own. The length of the case's name is the seed.
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
