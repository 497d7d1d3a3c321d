//! Ranks a pool's servers by how likely they are to answer a release call. What one request learns of a server counts for
//! all requests: a server that leaves a call unanswered is asked last until it answers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::interface::{Micros, ServerId};
use crate::recovery::ReleaseOrder;

/// Servers whose last answers are no further apart than this are equally likely to answer.
const EQUAL_WITHIN: Micros = 100_000;
/// How long a ranking is used before the servers are ranked anew.
const RANKING_AGE: Micros = 5_000;

/// What is known of a server.
#[derive(Clone, Copy, Debug, Default)]
struct Responsiveness {
    /// When it last answered any call.
    last_answered: Option<Micros>,
    /// How many release calls have begun and not been taken since its last answer.
    unanswered: usize,
}

/// The servers in the order of their ranks.
struct Ranking {
    made_at: Micros,
    servers: Arc<[ServerId]>,
    /// How many of the first servers are equally likely to answer.
    equals: usize,
}

/// The servers of a pool.
#[derive(Default)]
pub(super) struct ReleaseRanking {
    servers: BTreeMap<ServerId, Responsiveness>,
    latest: Option<Ranking>,
    /// How many orders have been given out.
    orders: usize,
}

impl ReleaseRanking {
    /// Sets which servers there are.
    pub(super) fn set_servers(&mut self, servers: impl Iterator<Item = ServerId>) {
        let mut previous = std::mem::take(&mut self.servers);
        self.servers = servers.map(|server| (server, previous.remove(&server).unwrap_or_default())).collect();
        self.latest = None;
    }

    /// Records that a server has answered a call.
    pub(super) fn answered(&mut self, now: Micros, server: ServerId) {
        if let Some(responsiveness) = self.servers.get_mut(&server) {
            *responsiveness = Responsiveness { last_answered: Some(now), unanswered: 0 };
        }
    }

    /// Records that a release call has begun.
    pub(super) fn call_began(&mut self, server: ServerId) {
        if let Some(responsiveness) = self.servers.get_mut(&server) {
            responsiveness.unanswered += 1;
        }
    }

    /// Returns the order of the release calls for a request. It begins with one of these readers if that is as likely to
    /// answer as the others and no other call to it is in flight.
    pub(super) fn order(&mut self, now: Micros, readers: &[ServerId]) -> ReleaseOrder {
        let is_current = |ranking: &Ranking| now < ranking.made_at + RANKING_AGE;
        let ranking = match self.latest.take().filter(is_current) {
            Some(ranking) => ranking,
            None => self.rank(now),
        };
        let equals = ranking.servers.get(..ranking.equals).unwrap_or_default();
        let is_free =
            |reader: &&ServerId| self.servers.get(reader).is_some_and(|server| server.unanswered == 0);
        let reader =
            readers.iter().filter(is_free).find_map(|reader| equals.iter().position(|equal| equal == reader));
        let first = reader.unwrap_or(self.orders);
        let order = ReleaseOrder::rotated(ranking.servers.clone(), ranking.equals, first);
        self.latest = Some(ranking);
        self.orders = self.orders.wrapping_add(1);
        order
    }

    fn rank(&self, now: Micros) -> Ranking {
        let mut ranked: Vec<(ServerId, Responsiveness)> =
            self.servers.iter().map(|(server, responsiveness)| (*server, *responsiveness)).collect();
        ranked.sort_by_key(|(_, server)| (server.unanswered, Reverse(server.last_answered)));
        let equals = ranked.first().map_or(0, |(_, best)| {
            let is_equal = |server: &Responsiveness| {
                server.unanswered == best.unanswered
                    && server.last_answered.map(|at| at + EQUAL_WITHIN) >= best.last_answered
            };
            ranked.iter().take_while(|(_, server)| is_equal(server)).count()
        });
        Ranking { made_at: now, servers: ranked.into_iter().map(|(server, _)| server).collect(), equals }
    }
}

#[cfg(test)]
mod tests;
