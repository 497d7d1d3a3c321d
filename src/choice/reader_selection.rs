//! The choice of a reader: the lowest weight x missing tokens + pending load, at its pace.

use super::*;

/// Weight of a missing token against a token of load: each move also pushes others' kept text out.
const OVERLAP_WEIGHT: f64 = 4.0;
/// Readers at which peers are presumed to keep a prefix: one alone would be jammed by a much used one.
const PREFIX_REPLICAS: f64 = 3.0;
/// Dispatchers are many if there are more than this many to a reader.
const MANY: f64 = 2.0;
/// A mixed server reads while its memory share is at most this much over the writers' mean: its own share.
const MIXED_LEAD: f64 = 0.05;

impl Router {
    /// The usable readers by cost, with mixed servers within their share; writers only if none is listed.
    /// Where dispatchers are many, those that are no place of this session or prefix come last: all would
    /// send to the one that looks empty, and sessions move with every wave. May hurt in uneven fleets.
    pub(super) fn rank_readers(&mut self, now: Micros, id: RequestId, two_left: bool) -> Vec<ServerId> {
        let Some(open) = self.requests.get(&id) else { return Vec::new() };
        let (unmet, sparse) = (self.is_unmet_session(&open.request), self.traffic_is_sparse());
        let writers_read = self.settings.limits.writers_read && self.readers.count <= 0.0;
        let (mut found, mut preferred, share) =
            (Vec::new(), None, ROOM.min(self.writers.memory + MIXED_LEAD));
        for sid in self.roster.readers(&mut self.rng, keys(&open.request).map(|(key, _)| key), SAMPLE) {
            let Some(server) = self.servers.get(&sid) else { continue };
            let unfit = match server.role {
                Role::Reader => (!two_left).then_some(Ineligible::LastAttempt),
                Role::Writer if !writers_read => Some(Ineligible::Role),
                _ => (self.memory_share(now, server) >= share).then_some(Ineligible::Memory),
            };
            let ineligible = unfit.or_else(|| self.ineligibility(now, server, open, false));
            let far = f64::from(server.entry.zone != self.settings.zone);
            let price = far * self.settings.prices.cross_zone * self.class(&open.request).aim as f64 / 1e6;
            // Seconds until the prompt is read: weight x missing tokens + load, at the server's pace.
            let missing = open.request.prompt_tokens - self.presumed(now, server, &open.request, unmet);
            let (load, pace) = (self.load(now, server, 0.0), self.pace(now, server));
            let cost = (OVERLAP_WEIGHT * missing as f64 + load) / pace + price;
            let avoided = self.avoidance(now, server, open);
            let kept = server.kept.tokens_of(now, &open.request) > 0
                || self.prefix_affinity(&open.request, server) >= 1.0;
            let cold = self.warmth(now, server) < 1.0; // and this request is of its share
            let tier = u8::from(sparse && !kept && !cold);
            if let Some(looked) = &mut self.looked {
                let cost = Cost::Read { missing, load, pace, price, cost };
                looked.push(Candidate { server: sid, ineligible, avoided, tier, cost });
            }
            if ineligible.is_some() {
                continue;
            }
            let avoided = avoided.is_some();
            let place = far
                - open
                    .request
                    .session
                    .map_or_else(|| self.rng.random(), |key| rendezvous_score(key.0, server));
            if preferred.is_none_or(|(u, p, _)| (avoided, place) < (u, p)) {
                preferred = Some((avoided, place, found.len()));
            }
            let chance = (self.rng.random(), server.weight);
            found.push((avoided, tier, cost, chance, sid));
        }
        if let Some((_, _, at)) = preferred {
            found[at].1 = 0;
        }
        ranked(found)
    }

    /// Prompt tokens that the server may keep for the request: by the table, or by what peers may have sent.
    /// All presume the same readers of a prefix by rendezvous hashing, and, by falling chance, the same places of a
    /// session in its client's zone: each of hundreds of dispatchers sees too little to meet either twice.
    pub(super) fn presumed(&self, now: Micros, server: &Server, request: &Request, unmet: bool) -> u64 {
        let near = server.entry.zone == self.settings.zone && server.role == Role::Reader;
        let own = match request.session.filter(|_| unmet && near) {
            Some(key) => {
                request.prompt_tokens as f64 * affinity_chance(key.0, server, 1.0, self.near_readers)
            }
            None => 0.0,
        };
        let shared = request.prefix_tokens as f64 * self.prefix_affinity(request, server);
        server.kept.tokens_of(now, request).max(own.max(shared) as u64).min(request.prompt_tokens)
    }

    /// The chance that the reader is one of those that keep the request's prefix.
    pub(super) fn prefix_affinity(&self, request: &Request, server: &Server) -> f64 {
        request.prefix.map_or(0.0, |key| affinity_chance(key.0, server, PREFIX_REPLICAS, self.readers.count))
    }

    /// Dispatchers are many: each sees too little to know a reader or a session by its own sends.
    pub(super) fn traffic_is_sparse(&self) -> bool {
        f64::from(self.settings.dispatchers) > MANY * self.readers.count
    }

    /// Other dispatchers may have met the session; this one has not.
    pub(super) fn is_unmet_session(&self, request: &Request) -> bool {
        let Some(key) = request.session.map(Key::Session).filter(|_| self.traffic_is_sparse()) else {
            return self.traffic_is_sparse();
        };
        let keeps = |id: &ServerId| self.servers.get(id).is_some_and(|s| s.kept.has(&key));
        !self.roster.keepers(&key).iter().any(keeps)
    }
}

/// A number in [0, 1) that every dispatcher finds for this key at this server, the nearer to 1 the heavier.
pub(super) fn rendezvous_score(key: u64, server: &Server) -> f64 {
    let even = rendezvous_hash(key, server.entry.id);
    if server.weight == 1.0 { even } else { even.powf(1.0 / server.weight) }
}

/// The chance that a server is one of so many that keep a key, by its place in the key's order.
pub(super) fn affinity_chance(key: u64, server: &Server, replicas: f64, count: f64) -> f64 {
    (replicas / ((1.0 - rendezvous_score(key, server)) * count)).min(1.0)
}
