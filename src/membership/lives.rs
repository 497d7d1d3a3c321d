//! The life of each member of the file sets: in service, draining by the file's word, leaving, gone; the same
//! server again, or another process; and its weight on the way to what the file wants.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::guard::FilesByZone;
use crate::interface::{Micros, ServerId};

/// Where a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes work.
    InService,
    /// The file says that it drains, for as long as it says so.
    Draining,
    /// No file names it any more: it finishes what it has, and is gone then.
    Leaving {
        /// When it is gone.
        until: Micros,
    },
}

/// One member.
#[derive(Clone, Debug, PartialEq)]
pub struct TrackedMember {
    /// Its id.
    pub name: Arc<str>,
    /// Its data centre.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Where it listens.
    pub address: Arc<str>,
    /// Where it stands.
    pub phase: Phase,
    /// Its weight now.
    pub weight: f64,
    /// The weight that the file wants.
    pub target: f64,
    /// When the weight takes its next step.
    step_at: Option<Micros>,
    /// When its process was first seen; none if it was there from the start.
    pub started: Option<Micros>,
}

/// How weights grow. A smaller weight holds at once: less work pushes nobody over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightSteps {
    /// A weight grows to this multiple of itself at most in one step.
    pub factor: f64,
    /// Time between two steps.
    pub interval: Micros,
    /// A weight that was 0 begins at this part of what is wanted.
    pub initial_fraction: f64,
}

impl WeightSteps {
    fn next(&self, weight: f64, target: f64) -> f64 {
        if weight > 0.0 { (weight * self.factor).min(target) } else { target * self.initial_fraction }
    }
}

impl TrackedMember {
    fn want(&mut self, now: Micros, target: f64, steps: &WeightSteps) {
        self.target = target;
        if target <= self.weight {
            (self.weight, self.step_at) = (target, None);
        } else if self.step_at.is_none() {
            self.step(now, steps);
        }
    }

    fn step(&mut self, now: Micros, steps: &WeightSteps) {
        self.weight = steps.next(self.weight, self.target);
        self.step_at = (self.weight < self.target).then_some(now + steps.interval);
    }
}

/// All members that the files have named and that are not gone.
#[derive(Debug, Default)]
pub struct MemberTracker {
    members: BTreeMap<ServerId, TrackedMember>,
}

impl MemberTracker {
    /// The members by number.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, &TrackedMember)> {
        self.members.iter()
    }

    /// Takes a set on. At the first one, servers have been there for nobody knows how long; a server that
    /// comes later is a new process, empty and cold.
    pub fn apply(
        &mut self,
        now: Micros,
        files: &FilesByZone,
        first: bool,
        drain: Micros,
        steps: &WeightSteps,
    ) {
        let mut named = BTreeMap::new();
        for file in files.values() {
            named.extend(file.servers.iter().map(|server| (server.number, (file, server))));
        }
        for (number, life) in &mut self.members {
            if !named.contains_key(number) && !matches!(life.phase, Phase::Leaving { .. }) {
                life.phase = Phase::Leaving { until: now.saturating_add(drain) };
            }
        }
        for (number, (file, server)) in named {
            let phase = if server.draining { Phase::Draining } else { Phase::InService };
            let same = self
                .members
                .get_mut(&number)
                .filter(|life| *life.name == *server.id.value && *life.address == *server.address.value);
            match same {
                Some(life) => {
                    life.phase = phase;
                    life.zone.clone_from(&file.zone.value);
                    life.kind.clone_from(&server.kind.value);
                    life.cell = server.cell.value;
                    life.want(now, server.weight.value, steps);
                }
                None => {
                    let life = TrackedMember {
                        name: server.id.value.as_str().into(),
                        zone: file.zone.value.clone(),
                        kind: server.kind.value.clone(),
                        cell: server.cell.value,
                        address: server.address.value.as_str().into(),
                        phase,
                        weight: server.weight.value,
                        target: server.weight.value,
                        step_at: None,
                        started: (!first).then_some(now),
                    };
                    self.members.insert(number, life);
                }
            }
        }
    }

    /// Lets time pass; says whether anything changed.
    pub fn advance(&mut self, now: Micros, steps: &WeightSteps) -> bool {
        let before = self.members.len();
        self.members.retain(|_, life| !matches!(life.phase, Phase::Leaving { until } if until <= now));
        let mut changed = self.members.len() != before;
        for life in self.members.values_mut().filter(|life| life.step_at.is_some_and(|at| at <= now)) {
            life.step(now, steps);
            changed = true;
        }
        changed
    }

    /// When time next changes something.
    pub fn next_due(&self) -> Option<Micros> {
        let due = self.members.values().flat_map(|life| {
            let until = match life.phase {
                Phase::Leaving { until } => Some(until),
                Phase::InService | Phase::Draining => None,
            };
            until.into_iter().chain(life.step_at)
        });
        due.min()
    }
}
