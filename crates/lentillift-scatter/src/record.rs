//! Merges the parts of an answer: opaque records of a fixed length, ordered bytewise.

use bytes::Bytes;
use bytes::BytesMut;

/// Length of a record, in bytes.
pub const LENGTH: usize = 16;

/// Returns the `limit` greatest records of all `parts` in descending order; duplicates are kept.
///
/// A remainder at the end of a part that is shorter than a record is ignored.
pub fn merge<'a, I>(parts: I, limit: usize) -> Bytes
where
    I: IntoIterator<Item = &'a [u8]>,
{
    let mut records: Vec<&[u8]> = Vec::new();
    for part in parts {
        records.extend(part.chunks_exact(LENGTH));
    }
    if limit > 0 && records.len() > limit {
        records.select_nth_unstable_by(limit - 1, |a, b| b.cmp(a));
    }
    records.truncate(limit);
    records.sort_unstable_by(|a, b| b.cmp(a));
    let mut merged = BytesMut::with_capacity(records.len() * LENGTH);
    for record in records {
        merged.extend_from_slice(record);
    }
    merged.freeze()
}
