//! Tracks each member that the file sets declare: whether it is in service, drains because its file says
//! so, leaves or is gone; whether a returning server is the same process or a new one; and its weight, which
//! grows in steps to the weight that the file declares.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::guard::FilesByZone;
use crate::interface::{Micros, ServerId};

/// The phase of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The member takes work.
    InService,
    /// The member drains for as long as its file says so.
    Draining,
    /// No file names the member any more: it finishes the work that it has and is then removed.
    Leaving {
        /// When it is removed.
        until: Micros,
    },
}

/// A member and its progress through phases and weights.
#[derive(Clone, Debug, PartialEq)]
pub struct TrackedMember {
    /// The server's id.
    pub name: Arc<str>,
    /// The data centre.
    pub zone: String,
    /// The name of its kind.
    pub kind: String,
    /// The cell.
    pub cell: u32,
    /// The address on which it listens.
    pub address: Arc<str>,
    /// The phase.
    pub phase: Phase,
    /// The weight at present.
    pub weight: f64,
    /// The weight that the file declares.
    pub target: f64,
    /// When the weight takes its next step, if it is still growing.
    step_at: Option<Micros>,
    /// When the process was first seen; none if it was there from the start.
    pub started: Option<Micros>,
}

/// How weights grow. A smaller weight applies at once, because less work can't overload a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightSteps {
    /// The largest multiple of itself to which a weight grows in one step.
    pub factor: f64,
    /// The time between two steps.
    pub interval: Micros,
    /// The fraction of its target at which a weight that was 0 starts.
    pub initial_fraction: f64,
}

impl WeightSteps {
    fn next_weight(&self, weight: f64, target: f64) -> f64 {
        if weight > 0.0 { (weight * self.factor).min(target) } else { target * self.initial_fraction }
    }
}

impl TrackedMember {
    fn set_target(&mut self, now: Micros, target: f64, steps: &WeightSteps) {
        self.target = target;
        if target <= self.weight {
            (self.weight, self.step_at) = (target, None);
        } else if self.step_at.is_none() {
            self.step_weight(now, steps);
        }
    }

    fn step_weight(&mut self, now: Micros, steps: &WeightSteps) {
        self.weight = steps.next_weight(self.weight, self.target);
        self.step_at = (self.weight < self.target).then_some(now + steps.interval);
    }
}

/// Tracks all members that the files have declared and that are not yet removed.
#[derive(Debug, Default)]
pub struct MemberTracker {
    members: BTreeMap<ServerId, TrackedMember>,
}

impl MemberTracker {
    /// Iterates over the members, ordered by number.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, &TrackedMember)> {
        self.members.iter()
    }

    /// Applies a newly accepted set. Servers of the first set have been running for an unknown time; a server
    /// that is added later, or has another address, is a new process, empty and cold.
    pub fn apply(
        &mut self,
        now: Micros,
        files: &FilesByZone,
        is_first: bool,
        drain_period: Micros,
        steps: &WeightSteps,
    ) {
        let mut declared = BTreeMap::new();
        for file in files.values() {
            declared.extend(file.servers.iter().map(|server| (server.number, (file, server))));
        }
        for (number, member) in &mut self.members {
            if !declared.contains_key(number) && !matches!(member.phase, Phase::Leaving { .. }) {
                member.phase = Phase::Leaving { until: now.saturating_add(drain_period) };
            }
        }
        for (number, (file, server)) in declared {
            let phase = if server.draining { Phase::Draining } else { Phase::InService };
            let known = self.members.get_mut(&number).filter(|member| {
                *member.name == *server.id.value && *member.address == *server.address.value
            });
            match known {
                Some(member) => {
                    member.phase = phase;
                    member.zone.clone_from(&file.zone.value);
                    member.kind.clone_from(&server.kind.value);
                    member.cell = server.cell.value;
                    member.set_target(now, server.weight.value, steps);
                }
                None => {
                    let member = TrackedMember {
                        name: server.id.value.as_str().into(),
                        zone: file.zone.value.clone(),
                        kind: server.kind.value.clone(),
                        cell: server.cell.value,
                        address: server.address.value.as_str().into(),
                        phase,
                        weight: server.weight.value,
                        target: server.weight.value,
                        step_at: None,
                        started: (!is_first).then_some(now),
                    };
                    self.members.insert(number, member);
                }
            }
        }
    }

    /// Advances to the given time: removes members whose drain is over and steps weights that are due.
    /// Returns true if anything changed.
    pub fn advance(&mut self, now: Micros, steps: &WeightSteps) -> bool {
        let count_before = self.members.len();
        self.members.retain(|_, member| !matches!(member.phase, Phase::Leaving { until } if until <= now));
        let mut changed = self.members.len() != count_before;
        for member in
            self.members.values_mut().filter(|member| member.step_at.is_some_and(|step_at| step_at <= now))
        {
            member.step_weight(now, steps);
            changed = true;
        }
        changed
    }

    /// Returns when [`MemberTracker::advance`] next changes something.
    pub fn next_due(&self) -> Option<Micros> {
        let due = self.members.values().flat_map(|member| {
            let until = match member.phase {
                Phase::Leaving { until } => Some(until),
                Phase::InService | Phase::Draining => None,
            };
            until.into_iter().chain(member.step_at)
        });
        due.min()
    }
}
