//! The choice of a reader: the lowest weight x missing tokens + pending load, divided by its read rate.

use super::*;

/// Weight of a missing token against a token of load. It is above 1 because reading text at another server also evicts
/// what that server keeps for others.
const MISSING_TOKEN_WEIGHT: f64 = 4.0;
/// The number of readers at which other dispatchers are presumed to keep a prefix. A single one would be overloaded by
/// a popular prefix.
const PREFIX_REPLICAS: f64 = 3.0;
/// Traffic is sparse if there are more than this many dispatchers per reader.
const SPARSE_DISPATCHERS_PER_READER: f64 = 2.0;
/// A mixed server reads while its memory share is less than this much above the writers' mean, which limits it to its
/// share of the reads.
const MIXED_MEMORY_MARGIN: f64 = 0.05;

impl Router {
    /// Returns the eligible readers by cost, with mixed servers within their share, and writers only if no reader is
    /// listed. Where dispatchers are many, readers without affinity to the session or prefix are last: otherwise all
    /// dispatchers would send to the reader that looks empty, and sessions would move with every wave. This may
    /// balance uneven fleets badly.
    pub(super) fn rank_readers(
        &mut self,
        now: Micros,
        id: RequestId,
        two_attempts_left: bool,
    ) -> Vec<ServerId> {
        let Some(open) = self.requests.get(&id) else { return Vec::new() };
        let (unseen_session, traffic_sparse) =
            (self.is_unseen_session(&open.request), self.traffic_is_sparse());
        let writers_read = self.settings.limits.writers_read && self.readers.count <= 0.0;
        let (mut ranks, mut preferred, mixed_memory_limit) =
            (Vec::new(), None, MAX_WRITER_MEMORY_SHARE.min(self.writers.memory_share + MIXED_MEMORY_MARGIN));
        for sid in
            self.roster.sample_readers(&mut self.rng, kept_keys(&open.request).map(|(key, _)| key), SAMPLE)
        {
            let Some(server) = self.servers.get(&sid) else { continue };
            let role_ineligible = match server.role {
                Role::Reader => (!two_attempts_left).then_some(Ineligible::LastAttempt),
                Role::Writer if !writers_read => Some(Ineligible::Role),
                _ => (self.memory_share(now, server) >= mixed_memory_limit).then_some(Ineligible::Memory),
            };
            let ineligible = role_ineligible.or_else(|| self.ineligibility(now, server, open, false));
            let out_of_zone = f64::from(server.entry.zone != self.settings.zone);
            let price =
                out_of_zone * self.settings.prices.cross_zone * self.class(&open.request).aim as f64 / 1e6;
            // Seconds until the prompt is read: weight x missing tokens + load, divided by the server's read rate.
            let missing = open.request.prompt_tokens
                - self.presumed_kept_tokens(now, server, &open.request, unseen_session);
            let (load, pace) = (self.load(now, server, 0.0), self.read_rate(now, server));
            let cost = (MISSING_TOKEN_WEIGHT * missing as f64 + load) / pace + price;
            let avoided = self.avoidance(now, server, open);
            let kept = server.kept.tokens_of(now, &open.request) > 0
                || self.prefix_affinity(&open.request, server) >= 1.0;
            let cold = self.warmth(now, server) < 1.0; // eligible only if the request is in its slow-start share
            let tier = u8::from(traffic_sparse && !kept && !cold);
            if let Some(observed) = &mut self.observed {
                let cost = Cost::Read { missing, load, pace, price, cost };
                observed.push(Candidate { server: sid, ineligible, avoided, tier, cost });
            }
            if ineligible.is_some() {
                continue;
            }
            let avoided = avoided.is_some();
            let affinity_order = out_of_zone
                - open
                    .request
                    .session
                    .map_or_else(|| self.rng.random(), |key| rendezvous_score(key.0, server));
            if preferred.is_none_or(|(u, p, _)| (avoided, affinity_order) < (u, p)) {
                preferred = Some((avoided, affinity_order, ranks.len()));
            }
            let chance = (self.rng.random(), server.weight);
            ranks.push((avoided, tier, cost, chance, sid));
        }
        if let Some((_, _, index)) = preferred {
            ranks[index].1 = 0;
        }
        rank_candidates(ranks)
    }

    /// Returns the prompt tokens that the server is presumed to keep for the request, by the table or by what other
    /// dispatchers may have sent. By rendezvous hashing, all dispatchers presume the same readers of a prefix and,
    /// with decreasing probability, the same readers of a session in the dispatcher's zone: each of hundreds of
    /// dispatchers sees too few requests to meet either twice.
    pub(super) fn presumed_kept_tokens(
        &self,
        now: Micros,
        server: &Server,
        request: &Request,
        unseen_session: bool,
    ) -> u64 {
        let in_zone_reader = server.entry.zone == self.settings.zone && server.role == Role::Reader;
        let likely_session_tokens = match request.session.filter(|_| unseen_session && in_zone_reader) {
            Some(key) => {
                request.prompt_tokens as f64 * affinity_chance(key.0, server, 1.0, self.readers_in_zone)
            }
            None => 0.0,
        };
        let likely_prefix_tokens = request.prefix_tokens as f64 * self.prefix_affinity(request, server);
        server
            .kept
            .tokens_of(now, request)
            .max(likely_session_tokens.max(likely_prefix_tokens) as u64)
            .min(request.prompt_tokens)
    }

    /// Returns the probability that the reader is one of those that keep the request's prefix.
    pub(super) fn prefix_affinity(&self, request: &Request, server: &Server) -> f64 {
        request.prefix.map_or(0.0, |key| affinity_chance(key.0, server, PREFIX_REPLICAS, self.readers.count))
    }

    /// Returns true if there are so many dispatchers that each sends too little to know a reader or a session by its
    /// own requests.
    pub(super) fn traffic_is_sparse(&self) -> bool {
        f64::from(self.settings.dispatchers) > SPARSE_DISPATCHERS_PER_READER * self.readers.count
    }

    /// Returns true if traffic is sparse and this dispatcher knows no reader that keeps the session, or the request has
    /// none. Other dispatchers may have met the session.
    pub(super) fn is_unseen_session(&self, request: &Request) -> bool {
        let Some(key) = request.session.map(KeptKey::Session).filter(|_| self.traffic_is_sparse()) else {
            return self.traffic_is_sparse();
        };
        let keeps = |id: &ServerId| self.servers.get(id).is_some_and(|s| s.kept.has(&key));
        !self.roster.holders(&key).iter().any(keeps)
    }
}

/// Returns the rendezvous score of a key at a server, a number in [0, 1) on which all dispatchers agree. A higher
/// weight moves it towards 1.
pub(super) fn rendezvous_score(key: u64, server: &Server) -> f64 {
    let score = rendezvous_hash(key, server.entry.id);
    if server.weight == 1.0 { score } else { score.powf(1.0 / server.weight) }
}

/// Returns the probability that a server is one of the `replicas` among `count` servers that keep a key, by its score.
pub(super) fn affinity_chance(key: u64, server: &Server, replicas: f64, count: f64) -> f64 {
    (replicas / ((1.0 - rendezvous_score(key, server)) * count)).min(1.0)
}
