//! Tables for people and JSON lines for programs.

use clap::builder::PossibleValue;
use serde::Serialize;
use strum::{Display, EnumString};

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// A table.
    #[default]
    Table,
    /// One JSON object a row.
    Json,
}

impl clap::ValueEnum for Format {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Table, Self::Json]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.to_string()))
    }
}

/// A row of results.
pub trait Row: Serialize {
    /// Headings of the columns.
    const HEADINGS: &'static [&'static str];

    /// Text of each column.
    fn cells(&self) -> Vec<String>;
}

/// Text of `rows` in the given form.
pub fn render<R: Row>(format: Format, rows: &[R]) -> String {
    match format {
        Format::Table => table(R::HEADINGS, rows.iter().map(Row::cells).collect()),
        Format::Json => lines(rows),
    }
}

fn lines<R: Row>(rows: &[R]) -> String {
    let lines = rows.iter().map(|row| serde_json::to_string(row));
    let text: Vec<String> = lines.map(Result::unwrap_or_default).collect();
    text.join("\n")
}

fn table(headings: &[&str], rows: Vec<Vec<String>>) -> String {
    let headings = headings.iter().map(|text| (*text).to_owned()).collect();
    let all: Vec<Vec<String>> = std::iter::once(headings).chain(rows).collect();
    let columns = all[0].len();
    let widths: Vec<usize> = (0..columns).map(|column| width(&all, column)).collect();
    let lines = all.iter().map(|row| line(row, &widths));
    lines.collect::<Vec<_>>().join("\n")
}

fn width(rows: &[Vec<String>], column: usize) -> usize {
    let cells = rows.iter().filter_map(|row| row.get(column));
    cells.map(String::len).max().unwrap_or(0)
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let padded: Vec<String> = cells
        .map(|(text, width)| format!("{text:>width$}"))
        .collect();
    padded.join("  ")
}

/// Number with one decimal.
pub fn decimal(value: f64) -> String {
    format!("{value:.1}")
}

/// The most frequent of `counts`, as `reason=count`, separated by blanks.
pub fn top_counts<'a>(
    counts: impl IntoIterator<Item = (&'a String, &'a u64)>,
    limit: usize,
) -> String {
    let mut counts: Vec<(&String, &u64)> = counts.into_iter().collect();
    counts.sort_by(|a, b| b.1.cmp(a.1).then_with(|| a.0.cmp(b.0)));
    let shown = counts.iter().take(limit);
    let texts: Vec<String> = shown
        .map(|(name, count)| format!("{name}={count}"))
        .collect();
    texts.join(" ")
}
