//! Measures the cost of a log line that is written and of one that is filtered out: `cargo bench --bench log`.

use divan::{Bencher, black_box};
use tracing::subscriber::with_default;
use tracing_subscriber::EnvFilter;

fn main() {
    divan::main();
}

/// Logs a send with the same fields as the peer's actor.
fn log_send(generation: u64) {
    tracing::debug!(
        target: "birchspur::attempt",
        {
            request.id = black_box("c-4711"),
            attempt = 1,
            server.address = black_box("10.0.0.1:8000"),
            generation = generation
        },
        "send"
    );
}

/// Filters that drop the line and let it pass.
const FILTERS: [&str; 2] = ["info", "info,birchspur::attempt=debug"];

#[divan::bench(args = FILTERS)]
fn text(bencher: Bencher, filter: &str) {
    let lines = tracing_subscriber::fmt().with_env_filter(EnvFilter::new(filter)).with_writer(std::io::sink);
    let subscriber = lines.with_ansi(false).finish();
    with_default(subscriber, || bencher.bench_local(|| log_send(black_box(7))));
}

#[divan::bench(args = FILTERS)]
fn json(bencher: Bencher, filter: &str) {
    let lines = tracing_subscriber::fmt().with_env_filter(EnvFilter::new(filter)).with_writer(std::io::sink);
    let subscriber = lines.json().flatten_event(true).finish();
    with_default(subscriber, || bencher.bench_local(|| log_send(black_box(7))));
}
