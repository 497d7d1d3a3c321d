//! `birchspur expect --mutate`: breaks the configuration on purpose and names what no expectation notices.

use super::tried::{self, Document};
use crate::documents::expectations;
use crate::documents::read::Source;
use crate::expect::mutate::{Mutation, mutations};
use crate::expect::{Site, Verdict, evaluate};
use crate::program::cli::print;

/// Who noticed a breakage.
enum Noticed {
    By(String),
    /// The documents can't be read against the broken site: it would not be taken.
    AtLoad,
    Nobody,
}

fn try_one(mutation: &Mutation, texts: &[Source], names: &[&str]) -> Noticed {
    let mut all = Vec::new();
    for text in texts {
        match expectations::parse(text, &mutation.site) {
            Ok(written) => all.extend(written),
            Err(_) => return Noticed::AtLoad,
        }
    }
    let tried =
        all.iter().map(|written| &written.expectation).filter(|one| names.contains(&one.name.as_str()));
    for expectation in tried {
        match evaluate(&mutation.site, expectation) {
            Ok(Verdict::Holds { .. }) => {}
            Ok(_) => return Noticed::By(expectation.name.clone()),
            Err(_) => return Noticed::AtLoad,
        }
    }
    Noticed::Nobody
}

/// Tries them all and names the survivors; true if at least this part of the breakages was noticed.
pub(super) fn run(site: &Site, documents: &[Document], threads: usize, least: f64) -> bool {
    let texts: Vec<Source> = documents.iter().map(|document| document.source.clone()).collect();
    let written = tried::all(documents);
    let names: Vec<&str> = written.iter().map(|written| written.expectation.name.as_str()).collect();
    let all = mutations(site);
    let found = tried::each(&all, threads, "broken", |one| try_one(one, &texts, &names));
    let mut noticed = 0;
    for (mutation, found) in all.iter().zip(&found) {
        match found {
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
    let part = noticed as f64 / all.len().max(1) as f64;
    print(&format!("{noticed} of {} breakages noticed: {:.1}%\n", all.len(), part * 100.0));
    part >= least
}
