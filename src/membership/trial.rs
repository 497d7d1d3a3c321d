//! Whether a set is tried against its expectations before it is taken, and what comes of that: one trial at a time,
//! with an end; a set that has failed is not tried again for as long as its content stays the same.
//!
//! What an expectation is, this room does not know: it asks for a trial and is told what was found.

use super::guard::FilesByZone;
use super::refusal::{Reason, Refusal};
use super::set::Location;
use crate::interface::Micros;

/// What becomes of a set whose trial does not end in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutAction {
    /// It is taken, and that is said.
    Accept,
    /// It is refused.
    Refuse,
}

/// How sets are tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialRules {
    /// How long a trial may last.
    pub time_limit: Micros,
    /// What becomes of a set whose trial lasts longer.
    pub on_timeout: TimeoutAction,
}

/// A good set that is not in service yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Candidate {
    /// Its files, by data centre.
    pub files: FilesByZone,
    /// A manifest names them.
    pub by_manifest: bool,
}

/// What is to be done with a candidate.
#[derive(Debug, PartialEq)]
pub(super) enum Ask {
    /// Take it.
    Take(Candidate),
    /// Try it; the trial has this number.
    Try(u64, FilesByZone),
    /// Another one is being tried.
    Wait(Candidate),
    /// It has failed before.
    Known,
}

/// How a trial that was not settled in time ends.
#[derive(Debug, PartialEq)]
pub(super) struct Overdue {
    /// Its number: it need not go on.
    pub number: u64,
    /// The set, if it is to be taken all the same.
    pub take: Option<Candidate>,
    /// What is to be said of it.
    pub refusal: Refusal,
}

#[derive(Debug)]
struct Running {
    number: u64,
    candidate: Candidate,
    until: Micros,
}

/// The trials of one pool's sets.
#[derive(Debug, Default)]
pub(super) struct Trials {
    rules: Option<TrialRules>,
    running: Option<Running>,
    failed: Option<(FilesByZone, Vec<Refusal>)>,
    number: u64,
}

impl Trials {
    pub(super) fn new(rules: Option<TrialRules>) -> Self {
        Trials { rules, ..Trials::default() }
    }

    /// When a trial is overdue.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.running.as_ref().map(|running| running.until)
    }

    /// What is known against a set; nothing if it has not failed.
    pub(super) fn against(&self, files: &FilesByZone) -> &[Refusal] {
        match &self.failed {
            Some((failed, refusals)) if same(failed, files) => refusals,
            _ => &[],
        }
    }

    /// Whether this set is being tried.
    pub(super) fn tries(&self, files: &FilesByZone) -> bool {
        self.running.as_ref().is_some_and(|running| same(&running.candidate.files, files))
    }

    /// Asks what to do with a candidate.
    pub(super) fn ask(&mut self, now: Micros, candidate: Candidate) -> Ask {
        let Some(rules) = self.rules else { return Ask::Take(candidate) };
        if self.running.is_some() {
            return Ask::Wait(candidate);
        }
        if !self.against(&candidate.files).is_empty() {
            return Ask::Known;
        }
        self.number += 1;
        let files = candidate.files.clone();
        let until = now.saturating_add(rules.time_limit);
        self.running = Some(Running { number: self.number, candidate, until });
        Ask::Try(self.number, files)
    }

    /// A trial has ended: the set if it is to be taken. What is found too late counts no more.
    pub(super) fn found(&mut self, number: u64, refusals: Vec<Refusal>) -> Option<Candidate> {
        let Running { candidate, .. } = self.running.take_if(|running| running.number == number)?;
        if refusals.is_empty() {
            return Some(candidate);
        }
        self.failed = Some((candidate.files, refusals));
        None
    }

    /// Ends a trial that is overdue.
    pub(super) fn pass(&mut self, now: Micros) -> Option<Overdue> {
        let TrialRules { time_limit, on_timeout } = self.rules?;
        let Running { number, candidate, .. } = self.running.take_if(|running| running.until <= now)?;
        let file = candidate.files.values().next().map_or("".into(), |file| file.name.clone());
        let refusal = Refusal::new(
            Reason::TrialTimedOut { time_limit, accepted: on_timeout == TimeoutAction::Accept },
            Location::whole_file(file),
        );
        let take = match on_timeout {
            TimeoutAction::Accept => Some(candidate),
            TimeoutAction::Refuse => {
                self.failed = Some((candidate.files, vec![refusal.clone()]));
                None
            }
        };
        Some(Overdue { number, take, refusal })
    }
}

/// The same files by their digests: what they declare need not be compared.
pub(super) fn same(one: &FilesByZone, other: &FilesByZone) -> bool {
    one.len() == other.len() && one.values().zip(other.values()).all(|(a, b)| a.digest == b.digest)
}
