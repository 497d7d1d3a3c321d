//! The state machine: scans, news of discovery and time in; generations and refusals out.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::check;
use super::guard::{self, FilesByZone};
use super::intake::Intake;
use super::lives::{MemberTracker, Phase, WeightSteps};
use super::refusal::{Reason, Refusal};
use super::set::{Catalog, Scan, SetFile};
use super::trial::{Ask, Candidate, TrialRules, Trials, same};
use crate::interface::*;

/// The figures by which sets are taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SetRules {
    /// A file without a seal has to stand unchanged for so long.
    pub quiet_period: Micros,
    /// Between two changes that the files bring lies at least so much time; of what comes in between, the
    /// newest counts.
    pub min_change_interval: Micros,
    /// Who leaves the files drains for so long.
    pub drain_period: Micros,
    /// The part of a role's weight that may leave at once, from 0 to 1.
    pub max_weight_loss: f64,
    /// How weights grow.
    pub weight_steps: WeightSteps,
    /// How a set is tried before it is taken; none: it is not.
    pub trial: Option<TrialRules>,
}

/// A server as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The entry.
    pub entry: ServerEntry,
    /// Its id.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: Arc<str>,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The directory was read.
    Scan(Scan),
    /// The last good set, kept from an earlier run: the generation's number and the files.
    Saved(u64, Vec<Arc<SetFile>>),
    /// News of discovery.
    Discovery(ListScope, Vec<ListedServer>),
    /// A trial that was asked for has ended: what speaks against the set, or nothing.
    TrialEnded(u64, Vec<Refusal>),
    /// Time has passed.
    Tick,
}

/// One member of a generation.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The entry as decisions take it.
    pub entry: ServerEntry,
    /// Its id.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: Arc<str>,
}

/// Why there is a new generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Files were taken.
    Files,
    /// Discovery told something.
    Discovery,
    /// Time: a drain has ended, or a weight has taken a step.
    Time,
}

/// Who is a member: numbered, whole, never changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Generation {
    /// Grows by one each time.
    pub number: u64,
    /// Why it came.
    pub cause: Cause,
    /// The members by number; who is not here is gone.
    pub members: Vec<Member>,
    /// The files that it stands on, by data centre.
    pub files: FilesByZone,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Route by this from now on.
    Publish(Arc<Generation>),
    /// Keep the files of this generation for the next start.
    Save(Arc<Generation>),
    /// Something of a scan is not taken; said once for as long as it stands.
    Refuse(Refusal),
    /// What was refused before is taken or gone.
    RefusalsCleared,
    /// Try these files, by data centre; [`Input::Tried`] with this number is owed, unless it is stopped.
    StartTrial(u64, FilesByZone),
    /// The trial of this number need not go on.
    StopTrial(u64),
    /// What speaks against a set that is taken all the same.
    Warn(Refusal),
}

/// The membership of one pool: what it was told, what is in service, and what was published last.
#[derive(Debug)]
pub struct Membership {
    catalog: Catalog,
    rules: SetRules,
    /// Files are set up: discovery alone makes nobody a member.
    by_files: bool,
    accepted: FilesByZone,
    scan: Scan,
    rests: Intake,
    manifest_seen: bool,
    wake: Option<Micros>,
    next_change: Micros,
    /// A good set that came too soon after the last one.
    pending: Option<Candidate>,
    trials: Trials,
    told: Vec<Refusal>,
    lives: MemberTracker,
    listed: BTreeMap<ServerId, ListedServer>,
    number: u64,
    last: Option<Arc<Generation>>,
}

impl Membership {
    /// Nobody is a member yet.
    pub fn new(catalog: Catalog, rules: SetRules, by_files: bool) -> Self {
        Membership {
            catalog,
            rules,
            by_files,
            accepted: FilesByZone::new(),
            scan: Scan::default(),
            rests: Intake::default(),
            manifest_seen: false,
            wake: None,
            next_change: 0,
            pending: None,
            trials: Trials::new(rules.trial),
            told: Vec::new(),
            lives: MemberTracker::default(),
            listed: BTreeMap::new(),
            number: 0,
            last: None,
        }
    }

    /// When [`Input::Tick`] is next due.
    pub fn next_due(&self) -> Option<Micros> {
        self.wake.into_iter().chain(self.lives.next_due()).chain(self.trials.next_due()).min()
    }

    /// The files in service, by data centre.
    pub fn accepted(&self) -> &FilesByZone {
        &self.accepted
    }

    /// What is refused at present.
    pub fn refused(&self) -> &[Refusal] {
        &self.told
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Scan(scan) => {
                self.scan = scan;
                self.consider(now, out);
            }
            Input::Saved(number, files) => {
                self.number = self.number.max(number);
                let files: FilesByZone =
                    files.into_iter().map(|file| (file.zone.value.clone(), file)).collect();
                // It was good when it was kept, but the settings may be others now.
                let refusals = check::contradictions(&self.catalog, &files);
                if refusals.is_empty() && self.accepted.is_empty() {
                    self.accept(now, files, out);
                    self.next_change = now;
                } else {
                    out.extend(refusals.into_iter().map(Output::Refuse));
                }
            }
            Input::Discovery(scope, listed) => self.on_discovery(scope, listed, out),
            Input::TrialEnded(number, refusals) => {
                if let Some(candidate) = self.trials.found(number, refusals) {
                    self.take(now, candidate, out);
                }
                self.consider(now, out);
            }
            Input::Tick => {
                if let Some(overdue) = self.trials.pass(now) {
                    out.push(Output::StopTrial(overdue.number));
                    if let Some(candidate) = overdue.take {
                        out.push(Output::Warn(overdue.refusal));
                        self.take(now, candidate, out);
                    }
                    self.consider(now, out);
                }
                if self.wake.is_some_and(|at| at <= now) {
                    self.consider(now, out);
                }
                if self.lives.advance(now, &self.rules.weight_steps) {
                    self.publish(Cause::Time, out);
                }
            }
        }
    }

    /// Looks at the newest scan: takes it, waits, or says why not.
    fn consider(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.wake = None;
        let found = self.rests.examine(now, &self.scan, self.manifest_seen, self.rules.quiet_period);
        self.wake = found.quiet_period_ends_at;
        let (mut refusals, mut candidate) = (found.refusals, self.accepted.clone());
        if !found.blocked {
            for (zone, file) in &found.files {
                match candidate.get(zone) {
                    Some(held) if held.digest == file.digest => {}
                    Some(held) => match check::revision(file, held) {
                        Ok(()) => drop(candidate.insert(zone.clone(), file.clone())),
                        Err(refusal) => refusals.push(refusal),
                    },
                    None => drop(candidate.insert(zone.clone(), file.clone())),
                }
            }
            self.look_for_missing(&mut refusals);
        }
        let in_parts = self.scan.manifest.is_none();
        let stale = !in_parts && refusals.iter().any(|r| *r.reason != Reason::AwaitingQuietPeriod);
        if found.blocked || stale || same(&candidate, &self.accepted) {
            if refusals.is_empty() {
                // It has gone back to what is in service.
                self.pending = None;
            }
            self.tell(refusals, out);
            return self.take_pending(now, out);
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
            blocking = self.trials.against(&candidate).to_vec();
        }
        let blocked = !blocking.is_empty();
        refusals.extend(blocking);
        if !blocked {
            // The one that is being tried is the newest good one again: nothing waits for its turn.
            let tried = self.trials.tries(&candidate);
            self.pending = Some(Candidate { files: candidate, by_manifest: !in_parts }).filter(|_| !tried);
        }
        self.tell(refusals, out);
        self.take_pending(now, out);
    }

    /// Takes the newest good set, once it is not too soon after the last one. What is bad by then stands in
    /// the way of itself alone.
    fn take_pending(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now < self.next_change {
            if self.pending.is_some() {
                self.wake = Some(self.wake.map_or(self.next_change, |at| at.min(self.next_change)));
            }
        } else if let Some(candidate) = self.pending.take() {
            match self.trials.ask(now, candidate) {
                Ask::Take(candidate) => self.take(now, candidate, out),
                Ask::Try(number, files) => out.push(Output::StartTrial(number, files)),
                Ask::Wait(candidate) => self.pending = Some(candidate),
                Ask::Known => {}
            }
        }
    }

    /// Takes a good set.
    fn take(&mut self, now: Micros, Candidate { files, by_manifest }: Candidate, out: &mut Vec<Output>) {
        self.manifest_seen |= by_manifest;
        self.next_change = now.saturating_add(self.rules.min_change_interval);
        self.accept(now, files, out);
    }

    /// A file that has gone is no instruction: its servers stay. Where a file can't be read, that is said.
    fn look_for_missing(&self, refusals: &mut Vec<Refusal>) {
        for (zone, held) in &self.accepted {
            let here = self.scan.files.iter().any(|file| match file {
                Ok(file) => file.zone.value == *zone || file.name == held.name,
                Err(refusal) => refusal.location.file == held.name,
            });
            if !here {
                let place = super::Location::whole_file(held.name.clone());
                refusals.push(Refusal::new(Reason::FileMissing(zone.clone()), place));
            }
        }
    }

    fn accept(&mut self, now: Micros, files: FilesByZone, out: &mut Vec<Output>) {
        let first = self.accepted.is_empty();
        self.lives.apply(now, &files, first, self.rules.drain_period, &self.rules.weight_steps);
        self.accepted = files;
        if let Some(generation) = self.publish(Cause::Files, out) {
            out.push(Output::Save(generation));
        }
    }

    /// Says what is new among the refusals.
    fn tell(&mut self, refusals: Vec<Refusal>, out: &mut Vec<Output>) {
        let before = std::mem::replace(&mut self.told, refusals);
        if self.told.is_empty() && !before.is_empty() {
            out.push(Output::RefusalsCleared);
        }
        let fresh = self.told.iter().filter(|refusal| !before.contains(refusal));
        out.extend(fresh.cloned().map(Output::Refuse));
    }

    fn on_discovery(&mut self, scope: ListScope, listed: Vec<ListedServer>, out: &mut Vec<Output>) {
        match scope {
            ListScope::Failed => return,
            ListScope::Full | ListScope::Cached => self.listed.clear(),
            ListScope::Changes => {}
        }
        for one in listed {
            if one.entry.state == ServerState::Gone && !self.by_files {
                self.listed.remove(&one.entry.id);
            } else {
                self.listed.insert(one.entry.id, one);
            }
        }
        // Before the first set there is nobody whom discovery could speak of.
        if !self.by_files || !self.accepted.is_empty() {
            self.publish(Cause::Discovery, out);
        }
    }

    /// Publishes who is a member now, if that is news.
    fn publish(&mut self, cause: Cause, out: &mut Vec<Output>) -> Option<Arc<Generation>> {
        let members = if self.by_files { self.merged() } else { self.as_listed() };
        let same = self.last.as_ref().is_some_and(|last| last.members == members);
        if same && cause != Cause::Files {
            return None;
        }
        self.number += 1;
        let files = self.accepted.clone();
        let generation = Arc::new(Generation { number: self.number, cause, members, files });
        self.last = Some(generation.clone());
        out.push(Output::Publish(generation.clone()));
        Some(generation)
    }

    fn as_listed(&self) -> Vec<Member> {
        let member = |one: &ListedServer| Member {
            entry: one.entry,
            name: one.name.clone(),
            address: one.address.clone(),
        };
        self.listed.values().map(member).collect()
    }

    /// The one rule of precedence: see the module's text.
    fn merged(&self) -> Vec<Member> {
        let mut members = Vec::new();
        for (number, life) in self.lives.iter() {
            let listed = self.listed.get(number);
            let state = match (life.phase, listed.map(|one| one.entry.state)) {
                (_, Some(ServerState::Gone)) => continue,
                (Phase::InService, None | Some(ServerState::Ready)) => ServerState::Ready,
                _ => ServerState::Draining,
            };
            let zone = self.catalog.zones.iter().position(|zone| *zone == life.zone);
            let kind = self.catalog.kinds.iter().position(|(kind, _)| *kind == life.kind);
            // Checked when the set was taken.
            let (Some(zone), Some(kind)) = (zone, kind) else { continue };
            let entry = ServerEntry {
                id: *number,
                zone: ZoneId(zone as u16),
                kind: KindId(kind as u16),
                cell: CellId(life.cell),
                state,
                weight: life.weight,
                started: listed.and_then(|one| one.entry.started).or(life.started),
            };
            members.push(Member { entry, name: life.name.clone(), address: life.address.clone() });
        }
        members
    }
}
