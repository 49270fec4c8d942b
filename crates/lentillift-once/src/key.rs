//! The id of a request that may run at most once.

use lentillift_core::id;
use std::fmt;
use std::str::FromStr;

/// Longest text that is parsed as an id, in bytes.
const MAX_LENGTH: usize = 512;

/// The idempotency key of a request: an id as its home issued it.
///
/// Its text form is `HOST.INCARNATION.ISSUED.NUMBER.SECRET` with all numbers in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The home: the host that issued the id. No other host may send the request.
    pub host: id::Host,
    /// The incarnation of the home that issued the id; a restarted process has another one.
    pub incarnation: id::Incarnation,
    /// Time of issue, in milliseconds since the incarnation's epoch.
    pub issued: u64,
    /// Sequence number within the incarnation; it increases with `issued`.
    pub number: u64,
    /// Random, so that a client can't guess and use up the ids of other callers.
    pub secret: u64,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:x}.{:x}.{:x}.{:016x}",
            self.host, self.incarnation, self.issued, self.number, self.secret
        )
    }
}

impl FromStr for Key {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() > MAX_LENGTH {
            return Err(format!(
                "found {} bytes, at most {MAX_LENGTH} is right",
                text.len()
            ));
        }
        let mut fields = text.rsplitn(5, '.');
        let mut number = |name: &str| {
            let field = fields.next().unwrap_or_default();
            u64::from_str_radix(field, 16)
                .map_err(|e| format!("{name}: found `{field}`, a hexadecimal number is right: {e}"))
        };
        let secret = number("secret")?;
        let sequence = number("number")?;
        let issued = number("time of issue")?;
        let incarnation = number("incarnation")?;
        let host = fields.next().filter(|host| !host.is_empty());
        let host = host.ok_or("host: missing, HOST.INCARNATION.ISSUED.NUMBER.SECRET is right")?;
        Ok(Self {
            host: host.into(),
            incarnation,
            issued,
            number: sequence,
            secret,
        })
    }
}
