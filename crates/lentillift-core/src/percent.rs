//! Percent-encoding of text that becomes part of a URI, as in RFC 3986.

use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use std::fmt::Display;

/// What is encoded: everything but the unreserved characters, `/` and `:`, which have no other meaning in a query or
/// in the segments of a path.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/')
    .remove(b':');

/// Encodes text as a value in a query, or as segments of a path.
///
/// Unencoded, `&` would end a value, `#` the URI, and `+` or `%` would be decoded to other text.
pub fn encode(text: &str) -> impl Display {
    utf8_percent_encode(text, ENCODED)
}
