//! The command line: arguments, commands and exit status.

mod check;
pub(super) mod expect;
mod explain;
mod log;
mod servers;

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

use super::allocator;
use super::error::ProgramError;
use super::life::{self, Program, Setup};
use crate::documents::read::Source;
use crate::documents::report::Shown;
use crate::membership::Refusal;
use crate::protocol::figures;

/// How many tasks run before the runtime looks for events on sockets. A request waits for such an event at each of its steps,
/// and a connection on which requests arrive all the time is a task that never rests.
const TASKS_BETWEEN_EVENTS: u32 = 4;

/// A conductor for disaggregated LLM serving: it sends each prompt to the reader and the writer that suit it
/// best, and relays the answer.
///
/// LB_CONFIG names the platform's configuration (JSON). Without a command it serves.
#[derive(Debug, Parser)]
#[command(name = "birchspur", version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve clients until SIGTERM
    Serve {
        /// The operator's document (KDL), such as deploy/operator.kdl; without it the platform's limits apply
        #[arg(long, value_name = "FILE")]
        operator: Option<String>,
    },
    /// Check every document without serving: configuration, operator's document, server files
    ///
    /// Exit status: 0 if all would be accepted, 1 if something would be refused, 2 if something can't be read.
    Check {
        /// The platform's configuration; by default the one that LB_CONFIG names
        #[arg(long, value_name = "FILE")]
        config: Option<String>,
        /// The operator's document
        #[arg(long, value_name = "FILE")]
        operator: Option<String>,
    },
    /// Check, compare, seal and show the files of servers and their weights
    Servers {
        #[command(subcommand)]
        command: servers::Command,
    },
    /// Try routing expectations against a configuration, without sending traffic
    ///
    /// Exit status: 0 if all hold, 1 if one fails or stays undecided, 2 if something can't be read.
    Expect(expect::Arguments),
    /// Print where requests would be sent, with the candidates of each choice
    Explain(explain::Arguments),
    /// Print the completion script of a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// The result of a command, which gives its exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Verdict {
    /// Everything is valid.
    Good,
    /// Something is refused.
    Refused,
    /// Something can't be read.
    Unreadable,
}

impl From<Verdict> for ExitCode {
    fn from(verdict: Verdict) -> Self {
        ExitCode::from(match verdict {
            Verdict::Good => 0,
            Verdict::Refused => 1,
            Verdict::Unreadable => 2,
        })
    }
}

/// Runs the program according to its arguments.
pub fn main() -> ExitCode {
    match Arguments::parse().command {
        None => exit_code(serve(None)),
        Some(Command::Serve { operator }) => exit_code(serve(operator.as_deref())),
        Some(Command::Check { config, operator }) => {
            check::run(config.as_deref(), operator.as_deref()).into()
        }
        Some(Command::Servers { command }) => servers::run(command).into(),
        Some(Command::Expect(arguments)) => expect::run(&arguments).into(),
        Some(Command::Explain(arguments)) => explain::run(&arguments).into(),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Arguments::command(), "birchspur", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}

/// Prints an error if there is one, and returns the exit status.
fn exit_code(result: Result<(), ProgramError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("birchspur: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(operator: Option<&str>) -> Result<(), ProgramError> {
    let setup = Setup::read(operator)?;
    log::start(&setup.operator.log)?;
    allocator::configure();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .event_interval(TASKS_BETWEEN_EVENTS)
        .enable_all()
        .build()?;
    let name = setup.config.name.clone();
    let counters = runtime.block_on(async {
        let program = Program::start(setup).await?;
        // Logged only now, so that a start that fails prints nothing but its reason.
        tracing::info!(name, version = env!("CARGO_PKG_VERSION"), "started");
        tokio::spawn(allocator::trim_after_loads(program.memory().clone()));
        program.run().await
    })?;
    println!("{}", figures::line(&counters.all_metrics()));
    Ok(())
}

/// Prints to standard output. A closed pipe is not an error.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Prints a refusal to standard error, with the line of the document that it refers to.
fn show(refusal: &Refusal, source: Option<&Source>) {
    let text = Shown::new(refusal, source).render(std::io::stderr().is_terminal());
    let _ = std::io::stderr().write_all(text.as_bytes());
}

/// Reads the text of the document at a path.
fn source(path: &Path) -> Result<Source, String> {
    let name = path.display().to_string();
    match life::read(&name) {
        Ok(text) => Ok(Source::new(name, text)),
        Err(error) => Err(error.to_string()),
    }
}

/// Prints an error to standard error.
fn complain(text: impl std::fmt::Display) -> Verdict {
    eprintln!("birchspur: {text}");
    Verdict::Unreadable
}

/// Returns the path of the file that a refusal refers to.
fn refused_path(directory: &Path, refusal: &Refusal) -> PathBuf {
    directory.join(&*refusal.location.file)
}
