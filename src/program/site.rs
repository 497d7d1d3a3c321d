//! The site that expectations are tried against, from the files of a set; and the guard that tries each new set.

use std::sync::Arc;

use crate::documents::expectations::{self, Written};
use crate::documents::read::Source;
use crate::expect::{Site, Verdict, evaluate_while};
use crate::interface::Settings;
use crate::membership::guard::Files;
use crate::membership::lives::Steps;
use crate::membership::{Catalog, Input, Member, Membership, Output, Reason, Refusal, SetRules};
use crate::protocol::settings::Names;

/// Where no files are set up nothing is decided by these.
pub(super) const NO_RULES: SetRules = SetRules {
    rest: 0,
    pace: 0,
    drain: 0,
    leave_at_most: 1.0,
    steps: Steps { factor: 2.0, every: 1, first: 1.0 },
    trial: None,
};

/// What the servers of a set are tried with.
#[derive(Clone, Debug)]
pub(super) struct Frame {
    pub(super) names: Names,
    pub(super) settings: Settings,
    pub(super) catalog: Catalog,
}

impl Frame {
    /// The site of a set, as the program would take it at its first start; none if it would not.
    pub(super) fn site(&self, files: &Files) -> Option<Site> {
        let mut out = Vec::new();
        let set: Vec<Arc<_>> = files.values().cloned().collect();
        Membership::new(self.catalog.clone(), NO_RULES, true).handle(0, Input::Saved(0, set), &mut out);
        let published = out.into_iter().find_map(|output| match output {
            Output::Publish(generation) => Some(generation),
            _ => None,
        })?;
        let server = |member: &Member| (member.entry.id, (member.name.to_string(), member.entry));
        let servers = published.members.iter().map(server).collect();
        let Names { zones, kinds, classes, .. } = self.names.clone();
        Some(Site { settings: self.settings.clone(), zones, kinds, classes, servers })
    }
}

/// What speaks against a set by the documents of expectations; it ends early once `go_on` says no.
pub(super) fn against(
    frame: &Frame,
    documents: &[Source],
    files: &Files,
    go_on: &dyn Fn() -> bool,
) -> Vec<Refusal> {
    // A set that makes no site has been refused before.
    let Some(site) = frame.site(files) else { return Vec::new() };
    let mut refusals = Vec::new();
    for document in documents {
        match expectations::parse(document, &site) {
            Ok(all) => refusals.extend(all.iter().filter_map(|written| objection(&site, written, go_on))),
            Err(refusal) => refusals.push(refusal),
        }
    }
    refusals
}

fn objection(site: &Site, written: &Written, go_on: &dyn Fn() -> bool) -> Option<Refusal> {
    let name = written.expectation.name.clone();
    let at = |clause: usize| written.clauses.get(clause).unwrap_or(&written.place).clone();
    let (clause, verdict, why) = match evaluate_while(site, &written.expectation, go_on) {
        Ok(None | Some(Verdict::Holds { .. })) => return None,
        Ok(Some(Verdict::Fails { clause, why, .. })) => (clause, "fails", why),
        Ok(Some(Verdict::Undecided { clause, why })) => (clause, "stays undecided", why),
        Err(error) => (usize::MAX, "can't be tried", error.to_string()),
    };
    Some(Refusal::new(Reason::Expectation { name, verdict, why }, at(clause)))
}
