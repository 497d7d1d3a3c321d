//! Which requests are taken on: one that could not be answered in its aim would only lengthen a queue of late work.

use super::*;

/// Part of the shortest aim that the way to the first token may take: estimates err, and peers send too.
const ADMIT: f64 = 0.85;
/// The least that little worth shortens this: in quiet times everything is served.
const WORTH_LEAST: f64 = 0.3;
/// With fewer own attempts in flight than this, only a fresh report turns a request away, or, where
/// dispatchers are many, the mean of all readers: probes that wait in a jam come back too late.
const FEW_IN_FLIGHT: u32 = 2;
/// A tenant is over its share beyond this many times the spread that chance gives: few arrivals prove little.
const OVER: f64 = 2.0;
/// A report stays the same for a while, and all who see a reader empty send there: until the next one, up
/// to this many times its even part of what all dispatchers have to send.
const HERD_LIMIT: f64 = 3.0;

impl Router {
    /// No server was found within the aim: the client hears it now, not at its deadline.
    pub(super) fn aim_has_passed(&self, now: Micros, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|open| now > open.came + self.class(&open.request).aim)
    }

    /// Whether the answer can't begin within the aim even at the cheapest reader: sent on, it would only
    /// lengthen a queue of late work. Guards against bursts, lost servers, fleets gone slow, and herds: of
    /// all who see the same report, each takes a drawn place in the queue. May hurt where few peers send.
    pub(super) fn should_shed(&mut self, now: Micros, id: RequestId, reader: ServerId) -> bool {
        let writer = self.rank_writers(now, id, reader).first().copied();
        self.looked.as_mut().map(Vec::clear); // nothing is chosen here
        let chance = if self.traffic_is_sparse() { self.rng.random::<f64>() } else { 0.0 };
        let (Some(open), Some(server)) = (self.requests.get(&id), self.servers.get(&reader)) else {
            return false;
        };
        let fresh = server.reported.is_some_and(|at| now - at < FRESH);
        if !fresh && self.out < FEW_IN_FLIGHT {
            return self.traffic_is_sparse()
                && self.load(now, server, 0.0) / self.pace(now, server) > self.longest_wait(&open.request);
        }
        let cell = server.entry.cell;
        let wait = writer
            .and_then(|id| self.servers.get(&id))
            .map_or(0.0, |w| self.wait(now, Some(cell).filter(|c| *c != w.entry.cell), w));
        let class = self.class(&open.request);
        let longer = class.aim_per_1000_tokens.saturating_mul(open.request.prompt_tokens) / 1000;
        let aim = class.aim.saturating_add(longer).min(open.request.expires.saturating_sub(now));
        let queue = self.load(now, server, 0.0) / self.pace(now, server) + wait;
        let kept = self.presumed(now, server, &open.request, self.is_unmet_session(&open.request));
        let (missing, pace) = ((open.request.prompt_tokens - kept) as f64, self.pace(now, server));
        let crowded = self.load(now, server, chance * HERD_LIMIT * self.peers_rate()) / pace + wait;
        let should_shed =
            crowded > self.longest_wait(&open.request) || queue + missing / pace > aim as f64 / 1e6;
        self.offered.add(now, missing, 1_000_000);
        should_shed
    }

    /// Tokens a second that all others have for one reader, if they get what comes in here.
    pub(super) fn peers_rate(&self) -> f64 {
        let own = self.offered.work * std::f64::consts::LN_2 / PACE_HALF_LIFE * 1e6;
        own * f64::from(self.settings.dispatchers.saturating_sub(1)) / self.readers.count.max(1.0)
    }

    /// Seconds of waiting, beside its own read, for which a request is still taken. All share a queue, so
    /// the shortest aim bounds it; what is worth less goes first, and before that what is over its share.
    pub(super) fn longest_wait(&self, request: &Request) -> f64 {
        let classes = &self.settings.classes;
        let most = classes.iter().map(|c| c.worth).fold(f64::MIN_POSITIVE, f64::max);
        let class = &classes[usize::from(request.class.0)];
        let over = request.tenant.map(|t| usize::from(t.0)).is_some_and(|t| {
            let quota = self.settings.tenants.get(t).map_or(0.0, |t| t.quota_per_s);
            let fair =
                quota / f64::from(self.settings.dispatchers) / std::f64::consts::LN_2 * PACE_HALF_LIFE / 1e6;
            self.tenants.get(t).is_some_and(|seen| seen.work > fair + OVER * fair.sqrt())
        });
        let worth = class.worth / most * if over { self.settings.over_share_worth } else { 1.0 };
        ADMIT * self.shortest_aim() / 1e6 * worth.max(WORTH_LEAST)
    }
}
