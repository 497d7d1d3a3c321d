//! Figures by name, and the form in which operators read them: a line `app.NAME:VALUE|KIND` for each.

use std::fmt::Write;

/// How a figure moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It only grows, from the start of the process.
    Counter,
    /// It is a level.
    Gauge,
}

/// One figure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Figure {
    /// Its name, with points between its parts.
    pub name: String,
    /// Its value.
    pub value: u64,
    /// How it moves.
    pub kind: Kind,
}

impl Figure {
    /// A counter.
    pub fn counter(name: impl Into<String>, value: u64) -> Self {
        Figure { name: name.into(), value, kind: Kind::Counter }
    }

    /// A level.
    pub fn gauge(name: impl Into<String>, value: u64) -> Self {
        Figure { name: name.into(), value, kind: Kind::Gauge }
    }
}

/// The lines for operators.
pub fn lines(figures: &[Figure]) -> String {
    figures.iter().fold(String::new(), |mut text, Figure { name, value, kind }| {
        let kind = match kind {
            Kind::Counter => 'c',
            Kind::Gauge => 'g',
        };
        // Writing to a String can't fail.
        let _ = writeln!(text, "app.{name}:{value}|{kind}");
        text
    })
}

/// The same in one line, as it is printed on request and at the exit.
pub fn line(figures: &[Figure]) -> String {
    let parts = figures.iter().map(|Figure { name, value, .. }| format!("{name} {value}"));
    parts.collect::<Vec<_>>().join(", ")
}
