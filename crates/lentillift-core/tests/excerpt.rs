//! Excerpts of text that is short, long, or not ASCII.

use lentillift_core::excerpt;
use lentillift_core::excerpt::MAX_BYTES;

macro_rules! excerpts {
    ($($name:ident: $text:expr => $bytes:expr;)*) => {$(
        #[test]
        fn $name() {
            let text: String = $text.into();
            let excerpt = excerpt::start_of(&text);
            assert!(text.starts_with(excerpt));
            assert_eq!(excerpt.len(), $bytes);
        }
    )*};
}

excerpts! {
    empty_text: "" => 0;
    short_text: "short" => 5;
    longest_text: "x".repeat(MAX_BYTES) => MAX_BYTES;
    long_text: "x".repeat(MAX_BYTES + 1) => MAX_BYTES;
    long_text_beyond_ascii: "x".repeat(MAX_BYTES - 1) + "\u{e9}" => MAX_BYTES - 1;
}
