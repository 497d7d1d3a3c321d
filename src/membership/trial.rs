//! Decides whether a set is tried against its expectations before it is accepted, and what follows from the
//! result. One trial runs at a time, with a time limit; a set that has failed is not tried again for as long
//! as its content stays the same.
//!
//! This module does not evaluate expectations: it asks for a trial and is given the refusals that it found.

use super::guard::FilesByZone;
use super::refusal::{Reason, Refusal};
use super::set::Location;
use crate::interface::Micros;

/// What happens to a set whose trial does not end in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutAction {
    /// The set is accepted, with a warning.
    Accept,
    /// The set is refused.
    Refuse,
}

/// The rules for trials of sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialRules {
    /// How long a trial may last.
    pub time_limit: Micros,
    /// What happens to a set whose trial lasts longer.
    pub on_timeout: TimeoutAction,
}

/// A set that has passed all checks and is not in service yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Candidate {
    /// The set's files, by data centre.
    pub files: FilesByZone,
    /// True if a manifest names the files.
    pub by_manifest: bool,
}

/// What to do with a candidate.
#[derive(Debug, PartialEq)]
pub(super) enum Decision {
    /// Accept the candidate.
    Accept(Candidate),
    /// Start a trial with this number for these files.
    StartTrial(u64, FilesByZone),
    /// Wait, because another set is being tried.
    Wait(Candidate),
    /// Do nothing, because the same content has already failed a trial.
    AlreadyFailed,
}

/// The end of a trial that exceeded its time limit.
#[derive(Debug, PartialEq)]
pub(super) struct TimedOut {
    /// The number of the trial, which can be stopped.
    pub number: u64,
    /// The set, if it is accepted nevertheless.
    pub accepted: Option<Candidate>,
    /// The refusal that reports the timeout.
    pub refusal: Refusal,
}

/// A running trial.
#[derive(Debug)]
struct Running {
    number: u64,
    candidate: Candidate,
    deadline: Micros,
}

/// The trials of one pool's sets: the running one, and the last set that failed.
#[derive(Debug, Default)]
pub(super) struct Trials {
    rules: Option<TrialRules>,
    running: Option<Running>,
    failed: Option<(FilesByZone, Vec<Refusal>)>,
    last_number: u64,
}

impl Trials {
    pub(super) fn new(rules: Option<TrialRules>) -> Self {
        Trials { rules, ..Trials::default() }
    }

    /// Returns when the running trial exceeds its time limit.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.running.as_ref().map(|running| running.deadline)
    }

    /// Returns the refusals of a set that has failed a trial; none if it has not.
    pub(super) fn known_failures(&self, files: &FilesByZone) -> &[Refusal] {
        match &self.failed {
            Some((failed, refusals)) if same_digests(failed, files) => refusals,
            _ => &[],
        }
    }

    /// Returns true if a trial of this set is running.
    pub(super) fn is_running(&self, files: &FilesByZone) -> bool {
        self.running.as_ref().is_some_and(|running| same_digests(&running.candidate.files, files))
    }

    /// Decides what to do with a candidate, and records the trial if one is to start.
    pub(super) fn decide(&mut self, now: Micros, candidate: Candidate) -> Decision {
        let Some(rules) = self.rules else { return Decision::Accept(candidate) };
        if self.running.is_some() {
            return Decision::Wait(candidate);
        }
        if !self.known_failures(&candidate.files).is_empty() {
            return Decision::AlreadyFailed;
        }
        self.last_number += 1;
        let files = candidate.files.clone();
        let deadline = now.saturating_add(rules.time_limit);
        self.running = Some(Running { number: self.last_number, candidate, deadline });
        Decision::StartTrial(self.last_number, files)
    }

    /// Records the result of a trial and returns the set if it is to be accepted. A result that arrives after
    /// the trial has timed out is ignored.
    pub(super) fn finish(&mut self, number: u64, refusals: Vec<Refusal>) -> Option<Candidate> {
        let Running { candidate, .. } = self.running.take_if(|running| running.number == number)?;
        if refusals.is_empty() {
            return Some(candidate);
        }
        self.failed = Some((candidate.files, refusals));
        None
    }

    /// Ends the running trial if it has exceeded its time limit.
    pub(super) fn expire(&mut self, now: Micros) -> Option<TimedOut> {
        let TrialRules { time_limit, on_timeout } = self.rules?;
        let Running { number, candidate, .. } = self.running.take_if(|running| running.deadline <= now)?;
        let file = candidate.files.values().next().map_or("".into(), |file| file.name.clone());
        let refusal = Refusal::new(
            Reason::TrialTimedOut { time_limit, accepted: on_timeout == TimeoutAction::Accept },
            Location::whole_file(file),
        );
        let accepted = match on_timeout {
            TimeoutAction::Accept => Some(candidate),
            TimeoutAction::Refuse => {
                self.failed = Some((candidate.files, vec![refusal.clone()]));
                None
            }
        };
        Some(TimedOut { number, accepted, refusal })
    }
}

/// Returns true if two sets have the same files by their digests; what the files declare need not be
/// compared.
pub(super) fn same_digests(first: &FilesByZone, second: &FilesByZone) -> bool {
    first.len() == second.len() && first.values().zip(second.values()).all(|(a, b)| a.digest == b.digest)
}
