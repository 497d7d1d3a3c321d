//! `birchspur explain`: prints where requests would be sent, with the candidates of each choice.

use std::path::PathBuf;

use super::expect::site::{self, SiteArguments};
use super::{Verdict, complain, print, show, source};
use crate::documents::expectations;
use crate::documents::read::Source;
use crate::expect::judge::describe_request;
use crate::expect::reasons::{ObservedChoice, choice_lines};
use crate::expect::world::{Observation, simulate};
use crate::expect::{Expectation, Site};

#[derive(Debug, clap::Args)]
pub(super) struct Arguments {
    #[command(flatten)]
    site: SiteArguments,
    /// The fixture and the requests, in the form of an expectation: the content of `expect "..." { ... }` without
    /// `then`
    ///
    /// Such as 'given { zone "kisumu"; }; when { request class="ask" session="s1"; }'.
    #[arg(required_unless_present = "document")]
    text: Option<String>,
    /// The first expectation of this document whose name contains NAME, instead of a text
    #[arg(long, num_args = 2, value_names = ["FILE", "NAME"], conflicts_with = "text")]
    document: Option<Vec<PathBuf>>,
    /// The seed of the random numbers
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Print only the request of this number, counted from 1
    #[arg(long, value_name = "N")]
    request: Option<usize>,
}

/// Returns the expectation that the arguments name or contain.
fn selected_expectation(arguments: &Arguments, site: &Site) -> Result<Expectation, Verdict> {
    let (text, name) = match (&arguments.document, &arguments.text) {
        (Some(parts), _) => match &parts[..] {
            [file, name] => (source(file).map_err(complain)?, name.display().to_string()),
            _ => return Err(complain("--document takes a file and a name")),
        },
        (None, text) => {
            let text = text.as_deref().unwrap_or_default();
            // The clause holds whatever happens: the requests are explained, not judged.
            let text = format!("expect \"by hand\" {{\n{text}\nthen {{ attempts at-most=1000; }}\n}}\n");
            (Source::new("by hand", text), String::new())
        }
    };
    let parsed = expectations::parse(&text, site).map_err(|refusal| {
        show(&refusal, Some(&text));
        Verdict::Refused
    })?;
    let mut matching = parsed
        .into_iter()
        .map(|written| written.expectation)
        .filter(|expectation| expectation.name.contains(&name));
    matching.next().ok_or_else(|| complain(format!("no expectation has \"{name}\" in its name")))
}

/// Explains the requests and returns the exit status.
fn explain(arguments: &Arguments) -> Result<Verdict, Verdict> {
    let sources = site::read(&arguments.site.config, &arguments.site.servers)?;
    let expectation = selected_expectation(arguments, &sources.site)?;
    let record =
        simulate(&sources.site, &expectation, arguments.seed, Observation::WithChoices).map_err(complain)?;
    for (n, trace) in record.requests.iter().enumerate() {
        if arguments.request.is_some_and(|number| number != n + 1) {
            continue;
        }
        print(&format!("request {}: {}\n", n + 1, describe_request(&sources.site, trace)));
        for (at, choice) in &trace.choices {
            let met = ObservedChoice {
                request: n + 1,
                since_arrival: at - trace.arrived_at,
                choice: choice.clone(),
            };
            choice_lines(&sources.site, &met).iter().for_each(|line| print(&format!("  {line}\n")));
        }
    }
    match arguments.request.filter(|number| *number == 0 || *number > record.requests.len()) {
        Some(number) => {
            Err(complain(format!("there is no request {number}: there are {}", record.requests.len())))
        }
        None => Ok(Verdict::Good),
    }
}

/// Runs the command.
pub(super) fn run(arguments: &Arguments) -> Verdict {
    explain(arguments).unwrap_or_else(|verdict| verdict)
}
