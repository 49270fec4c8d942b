//! Short excerpts of text that comes from other processes, for log lines.

/// Longest excerpt, in bytes.
pub const MAX_BYTES: usize = 256;

/// Returns the start of `text`, at most [`MAX_BYTES`] long.
pub fn start_of(text: &str) -> &str {
    let mut end = text.len().min(MAX_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
