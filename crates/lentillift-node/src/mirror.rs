//! Conversions between enums that have the same variants.

/// Writes the conversions, both ways, between two enums with the same unit variants.
macro_rules! mirror {
    ($domain:ty, $wire:ty, $($variant:ident),+) => {
        impl From<$domain> for $wire {
            fn from(value: $domain) -> Self {
                match value {
                    $(<$domain>::$variant => Self::$variant,)+
                }
            }
        }

        impl From<$wire> for $domain {
            fn from(value: $wire) -> Self {
                match value {
                    $(<$wire>::$variant => Self::$variant,)+
                }
            }
        }
    };
}

pub(crate) use mirror;
