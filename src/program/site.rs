//! Builds the site that expectations are tried against from the files of a set, and tries each new set as its guard.

use std::sync::Arc;

use crate::documents::expectations::{self, Written};
use crate::documents::read::Source;
use crate::expect::{Site, Verdict, evaluate_while};
use crate::interface::Settings;
use crate::membership::guard::FilesByZone;
use crate::membership::lives::WeightSteps;
use crate::membership::{Catalog, Input, Member, Membership, Output, Reason, Refusal, SetRules};
use crate::protocol::settings::Names;

/// Placeholder rules for a membership that takes no changes from files, so that none of these values is used.
pub(super) const NO_RULES: SetRules = SetRules {
    quiet_period: 0,
    min_change_interval: 0,
    drain_period: 0,
    max_weight_loss: 1.0,
    weight_steps: WeightSteps { factor: 2.0, interval: 1, initial_fraction: 1.0 },
    trial: None,
};

/// The settings that apply to a trial of any set.
#[derive(Clone, Debug)]
pub(super) struct TrialContext {
    pub(super) names: Names,
    pub(super) settings: Settings,
    pub(super) catalog: Catalog,
}

impl TrialContext {
    /// Returns the site of a set as the program would accept it at its first start, or `None` if it would refuse it.
    pub(super) fn site(&self, files: &FilesByZone) -> Option<Site> {
        let mut outputs = Vec::new();
        let set: Vec<Arc<_>> = files.values().cloned().collect();
        Membership::new(self.catalog.clone(), NO_RULES, true).handle(0, Input::Saved(0, set), &mut outputs);
        let published = outputs.into_iter().find_map(|output| match output {
            Output::Publish(generation) => Some(generation),
            _ => None,
        })?;
        let server = |member: &Member| (member.entry.id, (member.name.to_string(), member.entry));
        let servers = published.members.iter().map(server).collect();
        let Names { zones, kinds, classes, .. } = self.names.clone();
        Some(Site { settings: self.settings.clone(), zones, kinds, classes, servers })
    }
}

/// Returns a refusal for each expectation that a set does not meet, and for each document that can't be read. Stops
/// early once `go_on` returns false.
pub(super) fn failed_expectations(
    context: &TrialContext,
    documents: &[Source],
    files: &FilesByZone,
    go_on: &dyn Fn() -> bool,
) -> Vec<Refusal> {
    // A set that makes no site has already been refused.
    let Some(site) = context.site(files) else { return Vec::new() };
    let mut refusals = Vec::new();
    for document in documents {
        match expectations::parse(document, &site) {
            Ok(parsed) => refusals.extend(parsed.iter().filter_map(|written| refusal(&site, written, go_on))),
            Err(refusal) => refusals.push(refusal),
        }
    }
    refusals
}

/// Returns a refusal if the site does not meet the expectation.
fn refusal(site: &Site, written: &Written, go_on: &dyn Fn() -> bool) -> Option<Refusal> {
    let name = written.expectation.name.clone();
    let place = |clause: usize| written.clauses.get(clause).unwrap_or(&written.place).clone();
    let (clause, verdict, why) = match evaluate_while(site, &written.expectation, go_on) {
        Ok(None | Some(Verdict::Holds { .. })) => return None,
        Ok(Some(Verdict::Fails { clause, why, .. })) => (clause, "fails", why),
        Ok(Some(Verdict::Undecided { clause, why })) => (clause, "stays undecided", why),
        Err(error) => (usize::MAX, "can't be tried", error.to_string()),
    };
    Some(Refusal::new(Reason::ExpectationNotMet { name, verdict, why }, place(clause)))
}
