//! Figures by name, and the form in which operators read them: a line `app.NAME:VALUE|KIND` for each.

use std::fmt::Write;

/// How a figure moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// It only grows, from the start of the process.
    Counter,
    /// It is a level.
    Gauge,
}

/// One figure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Its name, with points between its parts.
    pub name: String,
    /// Its value.
    pub value: u64,
    /// How it moves.
    pub kind: MetricKind,
}

impl Metric {
    /// A counter.
    pub fn counter(name: impl Into<String>, value: u64) -> Self {
        Metric { name: name.into(), value, kind: MetricKind::Counter }
    }

    /// A level.
    pub fn gauge(name: impl Into<String>, value: u64) -> Self {
        Metric { name: name.into(), value, kind: MetricKind::Gauge }
    }
}

/// The lines for operators.
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

/// The same in one line, as it is printed on request and at the exit.
pub fn line(metrics: &[Metric]) -> String {
    let parts = metrics.iter().map(|Metric { name, value, .. }| format!("{name} {value}"));
    parts.collect::<Vec<_>>().join(", ")
}
