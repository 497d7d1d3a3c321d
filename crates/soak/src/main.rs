//! The command line of the fault matrix.

use std::net::Ipv4Addr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use birchspur_soak::cell::{Cell, CellError, Named, parse};
use birchspur_soak::crowd::{self, Break, Outcome, Play};
use birchspur_soak::matrix::{JOBS, Row, Verdict, run, table};
use birchspur_soak::stand_in;
use birchspur_soak::world::Programs;
use clap::{Args, Parser, Subcommand, ValueEnum};
use futures_util::{StreamExt, stream};

/// A rule was broken.
const RED: u8 = 1;
/// Something was not played, or the input can't be taken.
const NOT_RUN: u8 = 2;

/// Plays faults at every step of a request, on real processes, and judges the rules from outside the program.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays one cell: FAULT@STEP/TARGET/CLASS, with RULE/ before it if one rule alone counts
    Cell {
        /// The cell, as in held/hang@fetch-written/writer/ask
        name: String,
        #[command(flatten)]
        how: How,
    },
    /// Plays all cells, or those named by a part of their names
    Matrix {
        /// Only lists them
        #[arg(long)]
        list: bool,
        /// Only cells with this in their names
        #[arg(long, value_name = "PATTERN")]
        only: Option<String>,
        /// Only a fixed choice of at least so many
        #[arg(long, value_name = "COUNT")]
        choice: Option<usize>,
        #[command(flatten)]
        how: How,
    },
    /// Plays seeded crowds: slow, half and flooding clients, spoilt streams, and signals in series
    Crowd {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// How many seeds are played
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Plays at once
        #[arg(long, default_value_t = 2)]
        jobs: usize,
        /// The program under test
        #[arg(long, default_value = "target/release/birchspur", value_name = "PATH")]
        program: PathBuf,
        /// Keeps the log of each process in this folder
        #[arg(long, value_name = "FOLDER")]
        keep: Option<PathBuf>,
    },
    /// A server or discovery of a play
    #[command(hide = true)]
    StandIn {
        role: Role,
        #[arg(long)]
        address: Ipv4Addr,
        #[arg(long)]
        states: PathBuf,
    },
}

#[derive(Args)]
struct How {
    /// The program under test
    #[arg(long, default_value = "target/release/birchspur", value_name = "PATH")]
    program: PathBuf,
    /// Plays at once
    #[arg(long, default_value_t = JOBS)]
    jobs: usize,
    /// Tells each row as JSON
    #[arg(long)]
    json: bool,
    /// Tells the verdicts as a table in Markdown
    #[arg(long, conflicts_with = "json")]
    markdown: bool,
    /// Keeps the records of red cells in this folder
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

#[derive(Clone, Copy, ValueEnum)]
enum Role {
    Reader,
    Writer,
    Discovery,
}

#[tokio::main]
async fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| "warn".into());
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    let result = match Arguments::parse().command {
        Command::StandIn { role, address, states } => {
            let served = match role {
                Role::Reader => stand_in::server::run(true, address, states).await,
                Role::Writer => stand_in::server::run(false, address, states).await,
                Role::Discovery => stand_in::discovery::run(address).await,
            };
            return if served.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(NOT_RUN) };
        }
        Command::Crowd { first, seeds, jobs, program, keep } => {
            return play_crowds(first..first.saturating_add(seeds), jobs, &program, keep.as_deref()).await;
        }
        Command::Cell { name, how } => match parse(&name) {
            Ok(named) => play(&[named], &how).await,
            Err(error) => Err(error),
        },
        Command::Matrix { list, only, choice, how } => match cells(only.as_deref(), choice) {
            Ok(cells) if list => {
                cells.iter().for_each(|(_, cell)| println!("{cell}"));
                Ok(ExitCode::SUCCESS)
            }
            Ok(cells) => play(&cells, &how).await,
            Err(error) => Err(error),
        },
    };
    result.unwrap_or_else(|error| {
        eprintln!("birchspur-soak: {error}");
        ExitCode::from(NOT_RUN)
    })
}

/// Plays crowds, and prints each outcome with the seed that replays it.
async fn play_crowds(seeds: Range<u64>, jobs: usize, program: &Path, keep: Option<&Path>) -> ExitCode {
    let count = seeds.end - seeds.start;
    let (mut red, mut not_run) = (0, 0);
    let mut plays =
        stream::iter(seeds).map(|seed| crowd::run(program, Play::of_seed(seed), keep)).buffered(jobs.max(1));
    while let Some(outcome) = plays.next().await {
        match outcome {
            Ok(outcome) => {
                red += usize::from(!outcome.breaks.is_empty());
                print_crowd(&outcome);
            }
            Err(error) => {
                not_run += 1;
                println!("NOT RUN  {error}");
            }
        }
    }
    eprintln!("{red} red, {not_run} not run, of {count}");
    match (red, not_run) {
        (0, 0) => ExitCode::SUCCESS,
        (0, _) => ExitCode::from(NOT_RUN),
        _ => ExitCode::from(RED),
    }
}

fn print_crowd(outcome: &Outcome) {
    let Outcome { play, breaks, sent, served, peak, starts } = outcome;
    println!(
        "{:8} seed {}  {} MB  {} clients  {served}/{sent} served  peak {} KiB  {starts} starts",
        if breaks.is_empty() { "green" } else { "RED" },
        play.seed,
        play.memory_mb,
        play.clients,
        peak / 1024
    );
    for Break { rule, seen } in breaks {
        println!("         {rule:?}: {seen}");
    }
}

fn cells(only: Option<&str>, choice: Option<usize>) -> Result<Vec<Named>, CellError> {
    let cells = choice.map_or_else(Cell::all, Cell::choice);
    let pattern = only.unwrap_or_default();
    let cells: Vec<Named> = cells
        .into_iter()
        .filter(|cell| cell.to_string().contains(pattern))
        .map(|cell| (None, cell))
        .collect();
    if cells.is_empty() { Err(CellError::Form(pattern.to_string())) } else { Ok(cells) }
}

async fn play(cells: &[Named], how: &How) -> Result<ExitCode, CellError> {
    let tool = std::env::current_exe().unwrap_or_default();
    let programs = Programs { program: how.program.clone(), tool };
    let rows = run(&programs, cells, how.jobs, how.keep.as_deref()).await;
    if how.markdown {
        print!("{}", table(&rows));
    }
    for row in rows.iter().filter(|_| !how.markdown) {
        if how.json {
            println!("{}", serde_json::to_string(row).unwrap_or_default());
        } else {
            print(row);
        }
    }
    let count = |verdict| rows.iter().filter(|row| row.verdict == verdict).count();
    let [green, red, not_run] = [Verdict::Green, Verdict::Red, Verdict::NotRun].map(count);
    eprintln!("{green} green, {red} red, {not_run} not run");
    Ok(match (red, not_run + cells.len() - rows.len()) {
        (0, 0) => ExitCode::SUCCESS,
        (0, _) => ExitCode::from(NOT_RUN),
        _ => ExitCode::from(RED),
    })
}

fn print(row: &Row) {
    let verdict = match row.verdict {
        Verdict::Green => "green",
        Verdict::Red => "RED",
        Verdict::NotRun => "NOT RUN",
    };
    let breaks: Vec<String> = row.breaks.iter().map(|(rule, count)| format!("{rule} {count}")).collect();
    println!(
        "{verdict:8} {:45} {}/{} served  {}  {}",
        row.cell,
        row.served,
        row.sent,
        breaks.join(", "),
        row.seen
    );
}
