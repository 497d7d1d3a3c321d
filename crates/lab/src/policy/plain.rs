//! Baselines: a reader is picked by one plain rule, then a writer of its cell by the same. They keep the rules of the
//! platform (attempts, deadlines, nothing twice that must not run twice), so that only the choice differs.

use std::collections::{BTreeMap, BTreeSet};

use milletseam::interface::*;
use milletseam::routing::{CancelReason, ConnectionChoice, Input, Output, PoolId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Conductor;

/// How a server is picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// By lot.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest own attempts out, by lot among equals.
    LeastOutstanding,
    /// The same one for a session, by rendezvous; by lot without one.
    StickySession,
}

struct Open {
    request: Request,
    expires: Micros,
    /// Servers of the attempts, in their order.
    sent: Vec<ServerId>,
    /// The last attempt is out.
    out: bool,
    read_at: Option<ServerId>,
    may_have_run: bool,
    answered: bool,
}

/// A conductor with a baseline.
pub struct Plain {
    settings: Settings,
    pick: Pick,
    rng: Pcg64Mcg,
    servers: BTreeMap<ServerId, ServerEntry>,
    outstanding: BTreeMap<ServerId, u32>,
    turn: usize,
    open: BTreeMap<RequestId, Open>,
    due: BTreeSet<(Micros, RequestId)>,
}

const POOL: PoolId = PoolId(0);

impl Plain {
    /// A conductor that knows no servers yet.
    pub fn new(settings: Settings, pick: Pick, seed: u64) -> Self {
        Plain {
            settings,
            pick,
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            turn: 0,
            open: BTreeMap::new(),
            due: BTreeSet::new(),
        }
    }

    fn role(&self, entry: &ServerEntry) -> Option<Role> {
        self.settings.kinds.get(usize::from(entry.kind.0)).map(|kind| kind.role)
    }

    fn choose(&mut self, open: &Open) -> Option<ServerId> {
        let cell = open.read_at.and_then(|id| self.servers.get(&id)).map(|entry| entry.cell);
        let role = if open.read_at.is_some() { Role::Writer } else { Role::Reader };
        let fits = |entry: &&ServerEntry| {
            entry.state == ServerState::Ready
                && self.role(entry) == Some(role)
                && cell.is_none_or(|cell| cell == entry.cell)
        };
        let all: Vec<ServerId> = self.servers.values().filter(fits).map(|entry| entry.id).collect();
        // Where the last attempt failed is tried only if there is no other.
        let failed = open.sent.last().copied().filter(|_| open.read_at != open.sent.last().copied());
        let others: Vec<ServerId> = all.iter().copied().filter(|id| Some(*id) != failed).collect();
        let from = if others.is_empty() { all } else { others };
        if from.is_empty() {
            return None;
        }
        let lot = self.rng.random_range(0..from.len());
        let busy = |id: &ServerId| self.outstanding.get(id).copied().unwrap_or(0);
        match (self.pick, open.request.session) {
            (Pick::RoundRobin, _) => {
                self.turn += 1;
                from.get(self.turn % from.len()).copied()
            }
            (Pick::LeastOutstanding, _) => {
                let least = from.iter().map(busy).min()?;
                let equal: Vec<ServerId> = from.iter().copied().filter(|id| busy(id) == least).collect();
                equal.get(lot % equal.len()).copied()
            }
            (Pick::StickySession, Some(key)) => {
                let rank = |id: &ServerId| milletseam::roster::rendezvous_hash(key.0, *id);
                from.iter().copied().max_by(|a, b| rank(a).total_cmp(&rank(b)))
            }
            (Pick::StickySession | Pick::Random, _) => from.get(lot).copied(),
        }
    }

    /// The next attempt, or the end.
    fn advance(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(mut open) = self.open.remove(&id) else { return };
        let unsafe_class = self.effect(&open) == Some(Effect::Unsafe);
        let spent =
            open.may_have_run && unsafe_class || open.sent.len() >= self.settings.limits.attempts as usize;
        let to = if spent { None } else { self.choose(&open) };
        let Some(to) = to else {
            self.open.insert(id, open);
            return self.give_up(now, id, out);
        };
        *self.outstanding.entry(to).or_default() += 1;
        let attempt = open.sent.len() as u32;
        open.sent.push(to);
        open.out = true;
        let time_left = open.expires.saturating_sub(now);
        out.push(Output::Send {
            pool: POOL,
            request: id,
            attempt,
            server: to,
            time_left,
            generation: 0,
            connection: ConnectionChoice::Any,
        });
        self.open.insert(id, open);
    }

    fn effect(&self, open: &Open) -> Option<Effect> {
        self.settings.classes.get(usize::from(open.request.class.0)).map(|class| class.effect)
    }

    fn give_up(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.answered) else { return };
        open.answered = true;
        if open.out {
            out.push(Output::Cancel {
                request: id,
                attempt: open.sent.len() as u32 - 1,
                reason: CancelReason::GivenUp,
            });
        }
        if let Some(reader) = open.read_at {
            out.push(Output::Release {
                pool: POOL,
                request: id,
                server: reader,
                connection: ConnectionChoice::Any,
            });
        }
        let (may_have_run, overdue) = (open.may_have_run, now >= open.expires);
        let open = &self.open[&id];
        out.push(match self.effect(open) {
            Some(Effect::Unsafe) if may_have_run || open.out && open.read_at.is_some() => {
                Output::Fail { request: id, may_have_run: true, overdue }
            }
            _ => Output::Refuse(id, Some(1_000_000)),
        });
        self.forget(id, out);
    }

    fn forget(&mut self, id: RequestId, out: &mut Vec<Output>) {
        if let Some(open) = self.open.get(&id).filter(|open| open.answered && !open.out) {
            self.due.remove(&(open.expires, id));
            self.open.remove(&id);
            out.push(Output::Forget(id));
        }
    }

    fn ended(&mut self, now: Micros, id: RequestId, outcome: Outcome, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.out = false;
        if let Some(count) = open.sent.last().and_then(|at| self.outstanding.get_mut(at)) {
            *count = count.saturating_sub(1);
        }
        match outcome {
            Outcome::Read => open.read_at = open.sent.last().copied(),
            Outcome::NoState => open.read_at = None,
            _ => open.may_have_run |= open.read_at.is_some() && !outcome.never_ran(),
        }
        match open.answered {
            true => self.forget(id, out),
            false => self.advance(now, id, out),
        }
    }
}

impl Conductor for Plain {
    fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Written(..) => {}
            Input::List(_, _, update) => {
                self.servers = update.entries.into_iter().map(|entry| (entry.id, entry)).collect();
            }
            Input::Request(admission) => {
                let expires = now + admission.time_left;
                let request = Request { expires, ..admission.request };
                let id = request.id;
                self.due.insert((expires, id));
                let (sent, read_at) = (Vec::new(), None);
                let open = Open {
                    request,
                    expires,
                    sent,
                    out: false,
                    read_at,
                    may_have_run: false,
                    answered: false,
                };
                self.open.insert(id, open);
                self.advance(now, id, out);
            }
            Input::Started(id, attempt) => {
                if let Some(open) = self.open.get_mut(&id).filter(|open| !open.answered) {
                    open.answered = true;
                    out.push(Output::Relay(id, attempt));
                }
            }
            Input::Ended { request, outcome, .. } => self.ended(now, request, outcome, out),
            Input::ClientGone(id) => self.give_up(now, id, out),
            Input::Probed { .. } | Input::Place(..) | Input::Released { .. } | Input::RefusedByFront(..) => {}
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, id));
            self.give_up(now, id, out);
        }
    }

    fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|(at, _)| *at)
    }
}
