//! Enums of the wire that have the same variants, without data, as one of the decisions.

/// Declares a wire enum with the variants of another enum, and converts either way.
///
/// A variant that is missing on one side does not compile. Their order is that of the wire.
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
