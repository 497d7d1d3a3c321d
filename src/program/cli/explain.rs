//! `birchspur explain`: where one request would go, and what each choice for it would be made among.

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
    /// What is given and asked, as an expectation has it: the part within `expect "..." { ... }` without `then`
    ///
    /// Such as 'given { zone "kisumu"; }; when { request class="ask" session="s1"; }'.
    #[arg(required_unless_present = "document")]
    text: Option<String>,
    /// The first expectation of this document whose name contains NAME, in place of a text
    #[arg(long, num_args = 2, value_names = ["FILE", "NAME"], conflicts_with = "text")]
    document: Option<Vec<PathBuf>>,
    /// The seed of the lots that are drawn
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Only this request, by its number from 1
    #[arg(long, value_name = "N")]
    request: Option<usize>,
}

fn wanted(arguments: &Arguments, site: &Site) -> Result<Expectation, Verdict> {
    let (text, name) = match (&arguments.document, &arguments.text) {
        (Some(parts), _) => match &parts[..] {
            [file, name] => (source(file).map_err(complain)?, name.display().to_string()),
            _ => return Err(complain("--document takes a file and a name")),
        },
        (None, text) => {
            let text = text.as_deref().unwrap_or_default();
            // Anything may come of it: what is asked is explained, not judged.
            let text = format!("expect \"by hand\" {{\n{text}\nthen {{ attempts at-most=1000; }}\n}}\n");
            (Source::new("by hand", text), String::new())
        }
    };
    let all = expectations::parse(&text, site).map_err(|refusal| {
        show(&refusal, Some(&text));
        Verdict::Refused
    })?;
    let mut found = all.into_iter().map(|one| one.expectation).filter(|one| one.name.contains(&name));
    found.next().ok_or_else(|| complain(format!("no expectation has \"{name}\" in its name")))
}

fn explained(arguments: &Arguments) -> Result<Verdict, Verdict> {
    let read = site::read(&arguments.site.config, &arguments.site.servers)?;
    let expectation = wanted(arguments, &read.site)?;
    let record =
        simulate(&read.site, &expectation, arguments.seed, Observation::WithChoices).map_err(complain)?;
    for (n, trace) in record.requests.iter().enumerate() {
        if arguments.request.is_some_and(|wanted| wanted != n + 1) {
            continue;
        }
        print(&format!("request {}: {}\n", n + 1, describe_request(&read.site, trace)));
        for (at, choice) in &trace.choices {
            let observed = ObservedChoice {
                request: n + 1,
                since_arrival: at - trace.arrived_at,
                choice: choice.clone(),
            };
            choice_lines(&read.site, &observed).iter().for_each(|line| print(&format!("  {line}\n")));
        }
    }
    match arguments.request.filter(|wanted| *wanted == 0 || *wanted > record.requests.len()) {
        Some(wanted) => {
            Err(complain(format!("there is no request {wanted}: {} come", record.requests.len())))
        }
        None => Ok(Verdict::Good),
    }
}

/// Explains one play.
pub(super) fn run(arguments: &Arguments) -> Verdict {
    explained(arguments).unwrap_or_else(|verdict| verdict)
}
