//! `birchspur expect`: tries routing expectations against a configuration, without sending traffic.

mod against;
mod mutate;
mod report;
pub(in crate::program) mod site;
mod tried;
mod watch;

use std::path::PathBuf;

use super::{Verdict, complain};
use report::{Counts, Form};
use site::SiteArguments;

#[derive(Debug, clap::Args)]
pub(super) struct Arguments {
    /// The documents of expectations
    #[arg(required = true)]
    documents: Vec<PathBuf>,
    #[command(flatten)]
    site: SiteArguments,
    /// Try only expectations whose names contain this text
    #[arg(long, value_name = "TEXT")]
    filter: Option<String>,
    /// The form of the report on standard output
    #[arg(long, value_enum, default_value_t = Form::Text)]
    format: Form,
    /// Number of threads; by default one for each core. The verdicts don't depend on it
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u16).range(1..=1024))]
    threads: Option<u16>,
    /// Compare with the configuration and servers of this directory (config.json and servers/): print which
    /// verdicts changed and because of which line, and where requests move
    #[arg(long, value_name = "DIR", conflicts_with = "mutate")]
    against: Option<PathBuf>,
    /// Change the configuration for the worse, one thing at a time, and print which mutations no expectation notices
    #[arg(long)]
    mutate: bool,
    /// Try again whenever a document, the configuration or a file of servers changes, until interrupted
    #[arg(long)]
    watch: bool,
    /// With --mutate: exit status 1 if a smaller share of the mutations is noticed
    #[arg(long, value_name = "PART", default_value_t = 0.0, requires = "mutate")]
    least: f64,
}

/// Runs the command. Its exit status is 0 if all expectations hold, 1 if one does not, 2 if something can't be read.
pub(super) fn run(arguments: &Arguments) -> Verdict {
    let once = || try_all(arguments).unwrap_or_else(|verdict| verdict);
    if !arguments.watch {
        return once();
    }
    let mut paths = arguments.documents.clone();
    paths.extend([PathBuf::from(&arguments.site.config), arguments.site.servers.clone()]);
    watch::run(&paths, || {
        once();
    })
}

/// Tries the expectations once and reports the verdicts.
fn try_all(arguments: &Arguments) -> Result<Verdict, Verdict> {
    if arguments.format != Form::Text && (arguments.against.is_some() || arguments.mutate) {
        return Err(complain("--against and --mutate only report as text: omit --format"));
    }
    let new = site::read(&arguments.site.config, &arguments.site.servers)?;
    let texts = tried::texts(&arguments.documents)?;
    let filter = arguments.filter.as_deref();
    let documents = tried::documents(&texts, &new.site, filter);
    let threads = match arguments.threads {
        Some(threads) => usize::from(threads),
        None => std::thread::available_parallelism().map_or(1, usize::from),
    };
    let written = tried::all(&documents);
    let verdicts = tried::judge(&new.site, &written, threads).map_err(complain)?;
    report::print_as(arguments.format, &new.site, &documents, &verdicts);
    let counts = Counts::of(&documents, &verdicts);
    if written.is_empty() && counts.unreadable == 0 {
        return Err(complain(
            "there are no expectations to try; if --filter is given, no name contains its text",
        ));
    }
    let mut verdict = if counts.all_hold() { Verdict::Good } else { Verdict::Refused };
    if let Some(directory) = &arguments.against {
        let config = directory.join("config.json").display().to_string();
        let old = site::read(&config, &directory.join("servers"))?;
        let old_documents = tried::documents(&texts, &old.site, filter);
        against::report((&old, &old_documents), (&new, &documents), &verdicts, threads).map_err(complain)?;
    }
    if arguments.mutate {
        if verdict != Verdict::Good {
            return Err(complain(
                "an expectation that does not hold on the unchanged configuration can't detect a mutation: repair it first",
            ));
        }
        if !mutate::run(&new.site, &documents, threads, arguments.least) {
            verdict = Verdict::Refused;
        }
    }
    Ok(verdict)
}
