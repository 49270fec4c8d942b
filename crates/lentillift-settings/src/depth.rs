//! Limit on the nesting depth of JSON.
//!
//! The parser recurses for each level. A value of a megabyte of opening brackets, published by
//! mistake, would overflow the stack and crash every process of the fleet at the same time, and
//! again at each restart. Nothing that the system reads is nested more than ten levels deep.

use jsonc_parser::Scanner;
use jsonc_parser::tokens::Token;

/// Most levels of nested brackets.
pub const MAX_LEVELS: u32 = 32;

/// Byte offset of the first bracket in `text` that is nested deeper than [`MAX_LEVELS`], if any.
///
/// Stops at the first invalid token, which the parser reports.
pub fn exceeded(text: &str) -> Option<usize> {
    let mut scanner = Scanner::new(text);
    let mut depth = 0_u32;
    while let Ok(Some(token)) = scanner.scan() {
        match token {
            Token::OpenBrace | Token::OpenBracket => depth += 1,
            Token::CloseBrace | Token::CloseBracket => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_LEVELS {
            return Some(scanner.token_start());
        }
    }
    None
}
