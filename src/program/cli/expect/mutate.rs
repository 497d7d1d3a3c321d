//! `birchspur expect --mutate`: tries the expectations against mutations of the configuration, and reports which
//! mutations none of them notices.

use super::tried::{self, Document};
use crate::documents::expectations;
use crate::documents::read::Source;
use crate::expect::mutate::{Mutation, mutations};
use crate::expect::{Site, Verdict, evaluate};
use crate::program::cli::print;

/// How a mutation was noticed.
enum Noticed {
    /// The expectation of this name does not hold any more.
    By(String),
    /// The documents can't be read against the mutated site, so that it would be refused.
    AtLoad,
    Nobody,
}

/// Tries the expectations with these names against a mutation.
fn try_mutation(mutation: &Mutation, texts: &[Source], names: &[&str]) -> Noticed {
    let mut parsed = Vec::new();
    for text in texts {
        match expectations::parse(text, &mutation.site) {
            Ok(written) => parsed.extend(written),
            Err(_) => return Noticed::AtLoad,
        }
    }
    let selected = parsed
        .iter()
        .map(|written| &written.expectation)
        .filter(|expectation| names.contains(&expectation.name.as_str()));
    for expectation in selected {
        match evaluate(&mutation.site, expectation) {
            Ok(Verdict::Holds { .. }) => {}
            Ok(_) => return Noticed::By(expectation.name.clone()),
            Err(_) => return Noticed::AtLoad,
        }
    }
    Noticed::Nobody
}

/// Tries all mutations of a site and prints how each was noticed. Returns true if at least the share `least` of
/// them was.
pub(super) fn run(site: &Site, documents: &[Document], threads: usize, least: f64) -> bool {
    let texts: Vec<Source> = documents.iter().map(|document| document.source.clone()).collect();
    let written = tried::all(documents);
    let names: Vec<&str> = written.iter().map(|written| written.expectation.name.as_str()).collect();
    let all = mutations(site);
    let results =
        tried::map_on_threads(&all, threads, "broken", |mutation| try_mutation(mutation, &texts, &names));
    let mut noticed = 0;
    for (mutation, result) in all.iter().zip(&results) {
        match result {
            Noticed::By(name) => {
                noticed += 1;
                print(&format!("noticed    {} (by: {name})\n", mutation.description));
            }
            Noticed::AtLoad => {
                noticed += 1;
                print(&format!("noticed    {} (at load)\n", mutation.description));
            }
            Noticed::Nobody => print(&format!("SURVIVES   {}\n", mutation.description)),
        }
    }
    let share = noticed as f64 / all.len().max(1) as f64;
    print(&format!("{noticed} of {} breakages noticed: {:.1}%\n", all.len(), share * 100.0));
    share >= least
}
