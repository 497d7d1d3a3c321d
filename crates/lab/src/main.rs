//! The laboratory's command line.

use std::io::Write;
use std::process::ExitCode;
use std::time::Instant;

use birchspur_lab::policy::Policy;
use birchspur_lab::run::{Plan, Report, run};
use clap::{Parser, Subcommand};

/// Runs the real core against emulated servers in virtual time, beside baselines.
#[derive(Debug, Parser)]
#[command(name = "birchspur-lab", version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play the same days with the module and with each baseline, and print what each does
    ///
    /// Exit status: 0 if no rule was broken, 1 if one was, 2 if the plan can't be run.
    Compare {
        /// Cells, each with two readers and three writers
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=200))]
        cells: u32,
        /// Conductors
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=500))]
        conductors: u16,
        /// Requests a second over all conductors
        #[arg(long, default_value_t = 27.0)]
        rate: f64,
        /// Seconds for which they come
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=3600))]
        seconds: u64,
        /// Days, by seeds from 1 on
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..))]
        seeds: u64,
    },
}

fn print(text: &str) {
    // A reader that has hung up is no error.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn row(policy: Policy, report: &Report, took: f64, span: f64) -> String {
    let ms = |micros: f64| micros / 1e3;
    let all = (report.kept + report.read).max(1) as f64;
    format!(
        "{:<18} {:>7} {:>7} {:>7} {:>7} {:>9.1} {:>9.1} {:>6.3} {:>8} {:>8} {:>8.0}x\n",
        policy.name(),
        report.served,
        report.in_time,
        report.refused,
        report.failed,
        ms(report.first_token.mean()),
        ms(report.first_token.value_at_quantile(0.99) as f64),
        report.kept as f64 / all,
        report.evicted,
        report.put_back,
        span / took
    )
}

fn main() -> ExitCode {
    let Command::Compare { cells, conductors, rate, seconds, seeds } = Arguments::parse().command;
    if !(rate.is_finite() && rate > 0.0) {
        eprintln!("birchspur-lab: --rate {rate} is no number of requests a second");
        return ExitCode::from(2);
    }
    let mut broken = false;
    print(
        "policy              served in time refused  failed   mean ms    p99 ms   kept  evicted put back     speed\n",
    );
    for seed in 1..=seeds {
        print(&format!("day {seed}\n"));
        for policy in Policy::ALL {
            let mut plan = Plan { cells, conductors: usize::from(conductors), ..Plan::small(policy, seed) };
            (plan.workload.rate, plan.workload.span) = (rate, seconds * 1_000_000);
            let begin = Instant::now();
            match run(&plan) {
                Ok(report) => {
                    print(&row(policy, &report, begin.elapsed().as_secs_f64(), seconds as f64));
                    if let Some(violation) = &report.violation {
                        broken = true;
                        print(&format!("  RULE BROKEN: {violation}\n"));
                    }
                }
                Err(error) => {
                    eprintln!("birchspur-lab: {error}");
                    return ExitCode::from(2);
                }
            }
        }
    }
    ExitCode::from(u8::from(broken))
}
