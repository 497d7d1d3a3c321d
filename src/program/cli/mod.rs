//! The command line.

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

use super::error::ProgramError;
use super::life::{self, Program, Setup};
use crate::documents::read::Source;
use crate::documents::report::Shown;
use crate::membership::Refusal;
use crate::protocol::figures;

/// A conductor for disaggregated LLM serving: it sends each prompt to the reader and the writer that suit it
/// best, and passes the answer on.
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
        /// The operator's document (KDL), such as deploy/operator.kdl; without it the platform's bounds hold
        #[arg(long, value_name = "FILE")]
        operator: Option<String>,
    },
    /// Check every document without serving: configuration, operator's document, files of servers
    ///
    /// Exit status: 0 if all would be taken, 1 if something would be refused, 2 if something can't be read.
    Check {
        /// The platform's configuration; LB_CONFIG if it is not given
        #[arg(long, value_name = "FILE")]
        config: Option<String>,
        /// The operator's document
        #[arg(long, value_name = "FILE")]
        operator: Option<String>,
    },
    /// Files of servers and weights: check, compare, seal and show them
    Servers {
        #[command(subcommand)]
        command: servers::Command,
    },
    /// Try routing expectations against a configuration, without sending traffic
    ///
    /// Exit status: 0 if all hold, 1 if one fails or stays undecided, 2 if something can't be read.
    Expect(expect::Arguments),
    /// Tell where requests would go, and what each choice would be made among
    Explain(explain::Arguments),
    /// Print the completions of a shell
    Completions {
        /// Whose
        shell: Shell,
    },
}

/// How a command ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Verdict {
    /// All is well.
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

/// Runs the program by its arguments.
pub fn main() -> ExitCode {
    match Arguments::parse().command {
        None => ended(serve(None)),
        Some(Command::Serve { operator }) => ended(serve(operator.as_deref())),
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

fn ended(result: Result<(), ProgramError>) -> ExitCode {
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
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let name = setup.config.name.clone();
    let counted = runtime.block_on(async {
        let program = Program::start(setup).await?;
        // Only now: a start that fails tells one line, and that is why.
        tracing::info!(name, version = env!("CARGO_PKG_VERSION"), "started");
        program.run().await
    })?;
    println!("{}", figures::line(&counted.all_metrics()));
    Ok(())
}

/// Prints to standard output; a reader that has hung up is no error.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Shows a refusal with its document's line.
fn show(refusal: &Refusal, source: Option<&Source>) {
    let text = Shown::new(refusal, source).render(std::io::stderr().is_terminal());
    let _ = std::io::stderr().write_all(text.as_bytes());
}

/// The text of a document by its path.
fn source(path: &Path) -> Result<Source, String> {
    let name = path.display().to_string();
    match life::read(&name) {
        Ok(text) => Ok(Source::new(name, text)),
        Err(error) => Err(error.to_string()),
    }
}

fn complain(text: impl std::fmt::Display) -> Verdict {
    eprintln!("birchspur: {text}");
    Verdict::Unreadable
}

/// The path of a file within its directory.
fn within(directory: &Path, refusal: &Refusal) -> PathBuf {
    directory.join(&*refusal.place.file)
}
