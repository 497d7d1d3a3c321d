//! Rendezvous hashing (highest random weight): all who know the same servers find the same order of them for a key, and
//! a server that comes or goes moves only its own places. A data structure below the module, which says who counts.

use crate::interface::ServerId;
use crate::roster::even_lot;

/// A number in [0, 1) that everybody finds for this key at this server, the nearer to 1 the heavier the server.
pub fn score(key: u64, server: ServerId, weight: f64) -> f64 {
    let even = even_lot(key, server);
    if weight == 1.0 { even } else { even.powf(1.0 / weight) }
}

/// The order of the servers for one key.
pub struct Order {
    key: u64,
    scores: Vec<f64>, // the highest first; none if they were not counted
    count: f64,
}

impl Order {
    /// The order among these servers with their weights.
    pub fn among(key: u64, servers: impl Iterator<Item = (ServerId, f64)>) -> Self {
        let mut scores: Vec<f64> = servers.map(|(id, weight)| score(key, id, weight)).collect();
        scores.sort_unstable_by(|a, b| b.total_cmp(a));
        Order { key, scores, count: 0.0 }
    }

    /// The order among so many that it would take too long to count them: a place is guessed by its score.
    pub fn guessed(key: u64, count: f64) -> Self {
        Order { key, scores: Vec::new(), count }
    }

    /// The chance that a server is one of the key's first places: surely if it is among them, from there on falling
    /// as its place. A server that does not count itself stands beside the one whose place it would take.
    pub fn chance(&self, server: ServerId, weight: f64, places: f64) -> f64 {
        let own = score(self.key, server, weight);
        let place = match self.scores.partition_point(|other| *other > own) {
            _ if self.scores.is_empty() => (1.0 - own) * self.count,
            before => 1.0 + before as f64,
        };
        (places / place).min(1.0)
    }
}

/// The orders for a request's session and prefix; one that has none, or whose place is known better, has no order.
pub struct Places {
    /// The session's order.
    pub session: Option<Order>,
    /// The prefix's order.
    pub prefix: Option<Order>,
}

impl Places {
    /// The chances that a server is the session's place, if it may be one, and one of so many homes of the prefix.
    pub fn chances(&self, server: ServerId, weight: f64, near: bool, homes: f64) -> (f64, f64) {
        let chance = |order: Option<&Order>, places| order.map_or(0.0, |o| o.chance(server, weight, places));
        (chance(self.session.as_ref().filter(|_| near), 1.0), chance(self.prefix.as_ref(), homes))
    }
}

#[cfg(test)]
mod tests;
