//! Metrics by name, and the text form that operators read: a line `app.NAME:VALUE|KIND` for each.

use std::fmt::Write;

/// How a metric changes over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// It only grows, and starts at 0 with the process.
    Counter,
    /// It is a current level, which rises and falls.
    Gauge,
}

/// One metric with its current value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Its name, whose parts are separated by points.
    pub name: String,
    /// Its value.
    pub value: u64,
    /// How it changes over time.
    pub kind: MetricKind,
}

impl Metric {
    /// Creates a counter.
    pub fn counter(name: impl Into<String>, value: u64) -> Self {
        Metric { name: name.into(), value, kind: MetricKind::Counter }
    }

    /// Creates a gauge.
    pub fn gauge(name: impl Into<String>, value: u64) -> Self {
        Metric { name: name.into(), value, kind: MetricKind::Gauge }
    }
}

/// Formats the metrics for operators, one per line.
pub fn lines(metrics: &[Metric]) -> String {
    metrics.iter().fold(String::new(), |mut text, Metric { name, value, kind }| {
        let kind = match kind {
            MetricKind::Counter => 'c',
            MetricKind::Gauge => 'g',
        };
        // Writing to a String can't fail.
        let _ = writeln!(text, "app.{name}:{value}|{kind}");
        text
    })
}

/// Formats the metrics as a single line, which the program prints on request and when it exits.
pub fn line(metrics: &[Metric]) -> String {
    let parts = metrics.iter().map(|Metric { name, value, .. }| format!("{name} {value}"));
    parts.collect::<Vec<_>>().join(", ")
}
