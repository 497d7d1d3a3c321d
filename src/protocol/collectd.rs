//! collectd's plain text protocol, as its plug-in unixsock speaks it.

use std::fmt::Write;

use super::figures::{Figure, Kind};

/// A PUTVAL command for each figure.
pub fn putvals(host: &str, figures: &[Figure], every_s: f64, unix_s: u64) -> String {
    figures.iter().fold(String::new(), |mut text, Figure { name, value, kind }| {
        let kind = match kind {
            Kind::Counter => "derive",
            Kind::Gauge => "gauge",
        };
        // Writing to a String can't fail.
        let _ =
            writeln!(text, "PUTVAL \"{host}/birchspur/{kind}-{name}\" interval={every_s} {unix_s}:{value}");
        text
    })
}

/// Whether the answer to one command says that it was carried out: its status is negative if not.
pub fn accepted(answer: &str) -> bool {
    answer.split_whitespace().next().and_then(|status| status.parse::<i64>().ok()).is_some_and(|n| n >= 0)
}
