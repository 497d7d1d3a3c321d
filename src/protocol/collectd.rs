//! collectd's plain text protocol, as its plug-in unixsock speaks it.

use std::fmt::Write;

use super::figures::{Metric, MetricKind};

/// A PUTVAL command for each figure.
pub fn putvals(host: &str, metrics: &[Metric], every_s: f64, unix_s: u64) -> String {
    metrics.iter().fold(String::new(), |mut text, Metric { name, value, kind }| {
        let kind = match kind {
            MetricKind::Counter => "derive",
            MetricKind::Gauge => "gauge",
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
