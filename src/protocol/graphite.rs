//! Graphite's plaintext protocol: a line with path, value and Unix time in seconds for each metric.

use std::fmt::Write;

use super::figures::Figure;

/// The lines for figures.
pub fn lines(prefix: &str, figures: &[Figure], unix_s: u64) -> String {
    figures.iter().fold(String::new(), |mut text, Figure { name, value, .. }| {
        // Writing to a String can't fail.
        let _ = writeln!(text, "{prefix}.{name} {value} {unix_s}");
        text
    })
}
