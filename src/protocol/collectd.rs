//! collectd's plain text protocol, as its unixsock plug-in implements it.

use std::fmt::Write;

use super::figures::{Metric, MetricKind};

/// Formats a PUTVAL command for each metric.
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

/// Returns true if the response to a command reports success. The status of a failed command is negative.
pub fn accepted(response: &str) -> bool {
    response.split_whitespace().next().and_then(|status| status.parse::<i64>().ok()).is_some_and(|n| n >= 0)
}
