//! A macro for wire enums that mirror a data-free enum of a decision crate.

/// Declares a wire enum with the same variants as another enum, and conversions both ways.
///
/// A variant that is missing on one side is a compile error. The order given here determines the
/// encoding.
macro_rules! mirror {
    ($name:ident of $domain:ty { $($variant:ident,)+ }) => {
        #[doc = concat!("See [`", stringify!($domain), "`].")]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, bincode::Encode, bincode::Decode)]
        pub enum $name {
            $(
                #[doc = concat!("See [`", stringify!($domain), "::", stringify!($variant), "`].")]
                $variant,
            )+
        }

        impl From<$domain> for $name {
            fn from(value: $domain) -> Self {
                match value {
                    $(<$domain>::$variant => Self::$variant,)+
                }
            }
        }

        impl From<$name> for $domain {
            fn from(value: $name) -> Self {
                match value {
                    $($name::$variant => Self::$variant,)+
                }
            }
        }
    };
}

pub(crate) use mirror;
