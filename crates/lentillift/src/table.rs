//! Text tables, and coloured text for terminals.

use std::fmt::Write;
use std::io::IsTerminal;

/// A table of text with left-aligned columns.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a row of headings.
    pub(crate) fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(|heading| (*heading).to_owned());
        Self {
            rows: vec![headings.collect()],
        }
    }

    /// Appends a row.
    pub(crate) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Renders the table, with a line feed after each row.
    pub(crate) fn text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells
                .map(|cell: &String| cell.chars().count())
                .max()
                .unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                let _ = write!(line, "{cell:width$}  ");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}

/// Highlights text that needs attention: red on a terminal, plain elsewhere or with `NO_COLOR`.
pub(crate) fn alarm(text: &str) -> String {
    let plain = std::env::var_os("NO_COLOR").is_some() || !std::io::stdout().is_terminal();
    match plain {
        true => text.to_owned(),
        false => format!("\x1b[31m{text}\x1b[0m"),
    }
}
