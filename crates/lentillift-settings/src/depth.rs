//! A bound on how deep JSON may be nested.
//!
//! The parser calls itself for each level. A value of a megabyte of opening brackets, published
//! by mistake, would overflow the stack and end every process of the fleet at once, and again at
//! each start. Nothing that the system reads is nested more than ten levels deep.

use jsonc_parser::Scanner;
use jsonc_parser::tokens::Token;

/// Levels that JSON may have.
pub const MOST: u32 = 32;

/// Where in `text` brackets nest deeper than [`MOST`], if they do.
///
/// What is no JSON is left to the parser to report.
pub fn exceeded(text: &str) -> Option<usize> {
    let mut scanner = Scanner::new(text);
    let mut depth = 0_u32;
    while let Ok(Some(token)) = scanner.scan() {
        match token {
            Token::OpenBrace | Token::OpenBracket => depth += 1,
            Token::CloseBrace | Token::CloseBracket => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MOST {
            return Some(scanner.token_start());
        }
    }
    None
}
