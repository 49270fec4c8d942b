//! The id of a request that may run at most once.

use lentillift_core::id;
use std::fmt;
use std::str::FromStr;

/// An id, as its home issued it; written `HOST.INCARNATION.NUMBER` with the numbers in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The home: the host that issued the id and alone may send the request.
    pub host: id::Host,
    /// The home's incarnation.
    pub incarnation: id::Incarnation,
    /// Number within the incarnation.
    pub number: u64,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{:x}", self.host, self.incarnation, self.number)
    }
}

impl FromStr for Key {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.rsplitn(3, '.');
        let (Some(number), Some(incarnation), Some(host)) =
            (fields.next(), fields.next(), fields.next())
        else {
            return Err(format!("found `{text}`, HOST.INCARNATION.NUMBER is right"));
        };
        let hex = |field: &str| {
            u64::from_str_radix(field, 16)
                .map_err(|e| format!("found `{field}`, a hexadecimal number is right: {e}"))
        };
        Ok(Self {
            host: host.into(),
            incarnation: hex(incarnation)?,
            number: hex(number)?,
        })
    }
}
