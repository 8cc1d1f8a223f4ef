//! Printing of answers as text or JSON.

use std::io::Write;

use serde::Serialize;

/// Prints one line to the standard output. Write errors, such as a closed pipe, are ignored.
pub fn line(text: impl AsRef<str>) {
    let _ = writeln!(std::io::stdout(), "{}", text.as_ref());
}

/// Prints one line to the standard error. Write errors are ignored.
pub fn error_line(text: impl AsRef<str>) {
    let _ = writeln!(std::io::stderr(), "{}", text.as_ref());
}

/// Prints `value` as indented JSON.
pub fn json<T: Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => line(text),
        Err(e) => error_line(format!("the answer cannot be written as JSON: {e}")),
    }
}

/// Rows of text in columns as wide as their widest cell.
#[derive(Debug)]
pub struct Table<const COLUMNS: usize> {
    rows: Vec<[String; COLUMNS]>,
}

impl<const COLUMNS: usize> Table<COLUMNS> {
    /// Creates a table with a heading.
    pub fn new(heading: [&str; COLUMNS]) -> Self {
        Self {
            rows: vec![heading.map(str::to_owned)],
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: [String; COLUMNS]) {
        self.rows.push(row);
    }

    /// Prints the table.
    pub fn print(&self) {
        let width = |column: usize| self.rows.iter().map(|row| row[column].len()).max();
        let widths: Vec<usize> = (0..COLUMNS).filter_map(width).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let padded: Vec<_> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            line(padded.join("  ").trim_end());
        }
    }
}
