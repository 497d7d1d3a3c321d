//! Graphite's plaintext protocol: a line with path, value and Unix time in seconds for each metric.

use std::fmt::Write;

use super::figures::Metric;

/// Formats the metrics, one per line.
pub fn lines(prefix: &str, metrics: &[Metric], unix_s: u64) -> String {
    metrics.iter().fold(String::new(), |mut text, Metric { name, value, .. }| {
        // Writing to a String can't fail.
        let _ = writeln!(text, "{prefix}.{name} {value} {unix_s}");
        text
    })
}
