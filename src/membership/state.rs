//! The state machine of a pool's membership: it takes scans, discovery updates and the time, and emits
//! generations, refusals and requests for trials.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::check;
use super::guard::{self, FilesByZone};
use super::intake::Intake;
use super::lives::{MemberTracker, Phase, WeightSteps};
use super::refusal::{Reason, Refusal};
use super::set::{Catalog, Scan, SetFile};
use super::trial::{Candidate, Decision, TrialRules, Trials, same_digests};
use crate::interface::*;

/// The rules by which sets are accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SetRules {
    /// How long a file without a seal has to be unchanged before it is accepted.
    pub quiet_period: Micros,
    /// The least time between two changes that come from files; of the sets that arrive in between, only the
    /// newest counts.
    pub min_change_interval: Micros,
    /// How long a server drains once no file names it any more.
    pub drain_period: Micros,
    /// The fraction, from 0 to 1, of a role's weight that may leave at once without a confirmation.
    pub max_weight_loss: f64,
    /// How weights grow to the values that the files declare.
    pub weight_steps: WeightSteps,
    /// How a set is tried before it is accepted; if none, it is not tried.
    pub trial: Option<TrialRules>,
}

/// A server as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The entry, as routing decisions use it.
    pub entry: ServerEntry,
    /// The server's id.
    pub name: Arc<str>,
    /// The address on which it listens.
    pub address: Arc<str>,
}

/// An event for the membership.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The directory was read.
    Scan(Scan),
    /// The last accepted set, saved by an earlier run: the number of its generation, and its files.
    Saved(u64, Vec<Arc<SetFile>>),
    /// Discovery has sent a list or changes to it.
    Discovery(ListScope, Vec<ListedServer>),
    /// The trial of this number has ended with these refusals; none if the set has passed.
    TrialEnded(u64, Vec<Refusal>),
    /// Time has passed.
    Tick,
}

/// One member of a generation.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The entry, as routing decisions use it.
    pub entry: ServerEntry,
    /// The server's id.
    pub name: Arc<str>,
    /// The address on which it listens.
    pub address: Arc<str>,
}

/// Why there is a new generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A set of files was accepted.
    Files,
    /// Discovery reported a change.
    Discovery,
    /// Time has passed: a drain has ended, or a weight has taken a step.
    Time,
}

/// A numbered, complete and immutable list of the members.
#[derive(Clone, Debug, PartialEq)]
pub struct Generation {
    /// The generation's number, one more than that of the generation before.
    pub number: u64,
    /// Why there is a new generation.
    pub cause: Cause,
    /// The members, ordered by server number; a server that is not listed is gone.
    pub members: Vec<Member>,
    /// The files in service from which the generation is made, by data centre.
    pub files: FilesByZone,
}

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Route by this generation from now on.
    Publish(Arc<Generation>),
    /// Save the files of this generation for the next start.
    Save(Arc<Generation>),
    /// Report that a file or set is not accepted; sent once for as long as the reason persists.
    Refuse(Refusal),
    /// Report that nothing is refused any more.
    RefusalsCleared,
    /// Start a trial with this number for these files, by data centre. The caller has to send
    /// [`Input::TrialEnded`] with the number when the trial ends, unless it is stopped before.
    StartTrial(u64, FilesByZone),
    /// Stop the trial of this number; its result is not needed any more.
    StopTrial(u64),
    /// Warn of a problem with a set that is accepted nevertheless.
    Warn(Refusal),
}

/// The membership of one pool: the inputs that it has received, the files in service and the last published
/// generation.
#[derive(Debug)]
pub struct Membership {
    catalog: Catalog,
    rules: SetRules,
    /// True if files are configured, so that discovery alone makes no server a member.
    files_configured: bool,
    /// The files in service.
    accepted: FilesByZone,
    /// The newest scan.
    scan: Scan,
    intake: Intake,
    /// True if a set with a manifest has been accepted, so that a manifest is required from then on.
    manifest_seen: bool,
    /// When the newest scan has to be evaluated again.
    wake_at: Option<Micros>,
    /// The earliest time for the next change that comes from files.
    next_change_at: Micros,
    /// A set that has passed the checks and waits, because the last change was too recent or another trial is
    /// running.
    pending: Option<Candidate>,
    trials: Trials,
    /// The refusals at present, all of which have been reported.
    reported: Vec<Refusal>,
    tracker: MemberTracker,
    listed: BTreeMap<ServerId, ListedServer>,
    generation_number: u64,
    last_published: Option<Arc<Generation>>,
}

impl Membership {
    /// Creates a membership without members.
    pub fn new(catalog: Catalog, rules: SetRules, files_configured: bool) -> Self {
        Membership {
            catalog,
            rules,
            files_configured,
            accepted: FilesByZone::new(),
            scan: Scan::default(),
            intake: Intake::default(),
            manifest_seen: false,
            wake_at: None,
            next_change_at: 0,
            pending: None,
            trials: Trials::new(rules.trial),
            reported: Vec::new(),
            tracker: MemberTracker::default(),
            listed: BTreeMap::new(),
            generation_number: 0,
            last_published: None,
        }
    }

    /// Returns when [`Input::Tick`] is next due.
    pub fn next_due(&self) -> Option<Micros> {
        self.wake_at.into_iter().chain(self.tracker.next_due()).chain(self.trials.next_due()).min()
    }

    /// Returns the files in service, by data centre.
    pub fn accepted(&self) -> &FilesByZone {
        &self.accepted
    }

    /// Returns the refusals at present.
    pub fn refused(&self) -> &[Refusal] {
        &self.reported
    }

    /// Handles one event and appends the resulting actions to `outputs`.
    pub fn handle(&mut self, now: Micros, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Scan(scan) => {
                self.scan = scan;
                self.evaluate_scan(now, outputs);
            }
            Input::Saved(number, files) => {
                self.generation_number = self.generation_number.max(number);
                let files: FilesByZone =
                    files.into_iter().map(|file| (file.zone.value.clone(), file)).collect();
                // The set was valid when it was saved, but the settings may have changed since.
                let refusals = check::contradictions(&self.catalog, &files);
                if refusals.is_empty() && self.accepted.is_empty() {
                    self.accept(now, files, outputs);
                    self.next_change_at = now;
                } else {
                    outputs.extend(refusals.into_iter().map(Output::Refuse));
                }
            }
            Input::Discovery(scope, listed) => self.on_discovery(scope, listed, outputs),
            Input::TrialEnded(number, refusals) => {
                if let Some(candidate) = self.trials.finish(number, refusals) {
                    self.accept_candidate(now, candidate, outputs);
                }
                self.evaluate_scan(now, outputs);
            }
            Input::Tick => {
                if let Some(timed_out) = self.trials.expire(now) {
                    outputs.push(Output::StopTrial(timed_out.number));
                    if let Some(candidate) = timed_out.accepted {
                        outputs.push(Output::Warn(timed_out.refusal));
                        self.accept_candidate(now, candidate, outputs);
                    }
                    self.evaluate_scan(now, outputs);
                }
                if self.wake_at.is_some_and(|at| at <= now) {
                    self.evaluate_scan(now, outputs);
                }
                if self.tracker.advance(now, &self.rules.weight_steps) {
                    self.publish(Cause::Time, outputs);
                }
            }
        }
    }

    /// Evaluates the newest scan: makes it a pending candidate or reports why it is refused or has to wait.
    fn evaluate_scan(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        self.wake_at = None;
        let intake_result = self.intake.examine(now, &self.scan, self.manifest_seen, self.rules.quiet_period);
        self.wake_at = intake_result.quiet_period_ends_at;
        let (mut refusals, mut candidate) = (intake_result.refusals, self.accepted.clone());
        if !intake_result.blocked {
            for (zone, file) in &intake_result.files {
                match candidate.get(zone) {
                    Some(in_service) if in_service.digest == file.digest => {}
                    Some(in_service) => match check::revision(file, in_service) {
                        Ok(()) => drop(candidate.insert(zone.clone(), file.clone())),
                        Err(refusal) => refusals.push(refusal),
                    },
                    None => drop(candidate.insert(zone.clone(), file.clone())),
                }
            }
            self.refuse_missing_files(&mut refusals);
        }
        let independent = self.scan.manifest.is_none();
        let manifest_refused =
            !independent && refusals.iter().any(|r| *r.reason != Reason::AwaitingQuietPeriod);
        if intake_result.blocked || manifest_refused || same_digests(&candidate, &self.accepted) {
            if refusals.is_empty() {
                // The files have returned to the state that is in service.
                self.pending = None;
            }
            self.report_refusals(refusals, outputs);
            return self.take_pending(now, outputs);
        }
        let mut blocking = check::contradictions(&self.catalog, &candidate);
        if blocking.is_empty() {
            blocking = guard::unconfirmed_losses(
                &self.catalog,
                &self.accepted,
                &candidate,
                self.rules.max_weight_loss,
            );
        }
        if blocking.is_empty() {
            blocking = self.trials.known_failures(&candidate).to_vec();
        }
        let blocked = !blocking.is_empty();
        refusals.extend(blocking);
        if !blocked {
            // If the set on trial is again the newest valid one, no other set has to wait for its turn.
            let is_running = self.trials.is_running(&candidate);
            self.pending =
                Some(Candidate { files: candidate, by_manifest: !independent }).filter(|_| !is_running);
        }
        self.report_refusals(refusals, outputs);
        self.take_pending(now, outputs);
    }

    /// Accepts the pending set, or starts its trial, once the minimum interval since the last change has
    /// passed. A newer set that is invalid does not prevent that.
    fn take_pending(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        if now < self.next_change_at {
            if self.pending.is_some() {
                self.wake_at =
                    Some(self.wake_at.map_or(self.next_change_at, |at| at.min(self.next_change_at)));
            }
        } else if let Some(candidate) = self.pending.take() {
            match self.trials.decide(now, candidate) {
                Decision::Accept(candidate) => self.accept_candidate(now, candidate, outputs),
                Decision::StartTrial(number, files) => outputs.push(Output::StartTrial(number, files)),
                Decision::Wait(candidate) => self.pending = Some(candidate),
                Decision::AlreadyFailed => {}
            }
        }
    }

    /// Puts a set that has passed all checks into service and starts the minimum interval.
    fn accept_candidate(
        &mut self,
        now: Micros,
        Candidate { files, by_manifest }: Candidate,
        outputs: &mut Vec<Output>,
    ) {
        self.manifest_seen |= by_manifest;
        self.next_change_at = now.saturating_add(self.rules.min_change_interval);
        self.accept(now, files, outputs);
    }

    /// Adds a refusal for each data centre in service whose file is missing. A missing file is not an
    /// instruction to remove servers, so they stay. For a file that exists but can't be read, the scan has a
    /// refusal already.
    fn refuse_missing_files(&self, refusals: &mut Vec<Refusal>) {
        for (zone, in_service) in &self.accepted {
            let is_present = self.scan.files.iter().any(|file| match file {
                Ok(file) => file.zone.value == *zone || file.name == in_service.name,
                Err(refusal) => refusal.location.file == in_service.name,
            });
            if !is_present {
                let location = super::Location::whole_file(in_service.name.clone());
                refusals.push(Refusal::new(Reason::FileMissing(zone.clone()), location));
            }
        }
    }

    fn accept(&mut self, now: Micros, files: FilesByZone, outputs: &mut Vec<Output>) {
        let is_first = self.accepted.is_empty();
        self.tracker.apply(now, &files, is_first, self.rules.drain_period, &self.rules.weight_steps);
        self.accepted = files;
        if let Some(generation) = self.publish(Cause::Files, outputs) {
            outputs.push(Output::Save(generation));
        }
    }

    /// Reports the refusals that are new, or that all earlier ones are resolved.
    fn report_refusals(&mut self, refusals: Vec<Refusal>, outputs: &mut Vec<Output>) {
        let previous = std::mem::replace(&mut self.reported, refusals);
        if self.reported.is_empty() && !previous.is_empty() {
            outputs.push(Output::RefusalsCleared);
        }
        let new_refusals = self.reported.iter().filter(|refusal| !previous.contains(refusal));
        outputs.extend(new_refusals.cloned().map(Output::Refuse));
    }

    fn on_discovery(&mut self, scope: ListScope, listed: Vec<ListedServer>, outputs: &mut Vec<Output>) {
        match scope {
            ListScope::Failed => return,
            ListScope::Full | ListScope::Cached => self.listed.clear(),
            ListScope::Changes => {}
        }
        for listed_server in listed {
            if listed_server.entry.state == ServerState::Gone && !self.files_configured {
                self.listed.remove(&listed_server.entry.id);
            } else {
                self.listed.insert(listed_server.entry.id, listed_server);
            }
        }
        // Before the first set of files there are no members whose state discovery could change.
        if !self.files_configured || !self.accepted.is_empty() {
            self.publish(Cause::Discovery, outputs);
        }
    }

    /// Publishes a new generation if the members have changed or a set of files has been accepted.
    fn publish(&mut self, cause: Cause, outputs: &mut Vec<Output>) -> Option<Arc<Generation>> {
        let members =
            if self.files_configured { self.members_from_files() } else { self.members_from_discovery() };
        let unchanged = self.last_published.as_ref().is_some_and(|last| last.members == members);
        if unchanged && cause != Cause::Files {
            return None;
        }
        self.generation_number += 1;
        let files = self.accepted.clone();
        let generation = Arc::new(Generation { number: self.generation_number, cause, members, files });
        self.last_published = Some(generation.clone());
        outputs.push(Output::Publish(generation.clone()));
        Some(generation)
    }

    fn members_from_discovery(&self) -> Vec<Member> {
        let member = |listed_server: &ListedServer| Member {
            entry: listed_server.entry,
            name: listed_server.name.clone(),
            address: listed_server.address.clone(),
        };
        self.listed.values().map(member).collect()
    }

    /// Combines the files with discovery by the rule of precedence described for the parent module.
    fn members_from_files(&self) -> Vec<Member> {
        let mut members = Vec::new();
        for (number, member) in self.tracker.iter() {
            let listed = self.listed.get(number);
            let state = match (member.phase, listed.map(|listed_server| listed_server.entry.state)) {
                (_, Some(ServerState::Gone)) => continue,
                (Phase::InService, None | Some(ServerState::Ready)) => ServerState::Ready,
                _ => ServerState::Draining,
            };
            let zone = self.catalog.zones.iter().position(|zone| *zone == member.zone);
            let kind = self.catalog.kinds.iter().position(|(kind, _)| *kind == member.kind);
            // Zone and kind were checked when the set was accepted.
            let (Some(zone), Some(kind)) = (zone, kind) else { continue };
            let entry = ServerEntry {
                id: *number,
                zone: ZoneId(zone as u16),
                kind: KindId(kind as u16),
                cell: CellId(member.cell),
                state,
                weight: member.weight,
                started: listed.and_then(|listed_server| listed_server.entry.started).or(member.started),
            };
            members.push(Member { entry, name: member.name.clone(), address: member.address.clone() });
        }
        members
    }
}
