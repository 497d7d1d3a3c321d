//! Admission: a request that cannot be answered within its aim is refused, because it would only lengthen a queue of
//! late work.

use super::*;

/// The fraction of the shortest aim that the expected wait may take up. The rest allows for estimation errors and for
/// what other dispatchers send.
const ADMISSION_AIM_FRACTION: f64 = 0.85;
/// A low worth reduces the permitted wait at most to this fraction, so that everything is served at low load.
const MIN_WORTH_FACTOR: f64 = 0.3;
/// With fewer own attempts in flight than this, a request is refused only because of a fresh report, or, where
/// dispatchers are many, because of the mean of all readers: probes of overloaded servers are answered too late.
const FEW_IN_FLIGHT: u32 = 2;
/// A tenant is over its share if it exceeds it by this many standard deviations of a Poisson count, because a few
/// arrivals prove little.
const OVER_SHARE_DEVIATIONS: f64 = 2.0;
/// A report stays the same for a while, and all dispatchers that see a reader empty send there until the next one.
/// Together they are assumed to send up to this many times the reader's even share of what all dispatchers send.
const HERD_LIMIT: f64 = 3.0;

impl Router {
    /// Returns true if the request's aim has passed without a server being found. Its client is then answered now
    /// rather than at its deadline.
    pub(super) fn aim_has_passed(&self, now: Micros, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|open| now > open.arrived_at + self.class(&open.request).aim)
    }

    /// Returns true if the answer is not expected to begin within the aim even at the cheapest reader, so that sending
    /// the request would only lengthen a queue of late work. This guards against bursts, lost servers, slow fleets and
    /// herding: each of the dispatchers that see the same report assumes a random position in the queue. It may refuse
    /// too much where few other dispatchers send.
    pub(super) fn should_shed(&mut self, now: Micros, id: RequestId, reader: ServerId) -> bool {
        let writer = self.rank_writers(now, id, reader).first().copied();
        self.observed.as_mut().map(Vec::clear); // this is not a choice to report
        let chance = if self.traffic_is_sparse() { self.rng.random::<f64>() } else { 0.0 };
        let (Some(open), Some(server)) = (self.requests.get(&id), self.servers.get(&reader)) else {
            return false;
        };
        let fresh = server.reported_at.is_some_and(|at| now - at < FRESH_REPORT_AGE);
        if !fresh && self.total_pending < FEW_IN_FLIGHT {
            return self.traffic_is_sparse()
                && self.load(now, server, 0.0) / self.read_rate(now, server)
                    > self.max_queue_wait(&open.request);
        }
        let cell = server.entry.cell;
        let wait = writer
            .and_then(|id| self.servers.get(&id))
            .map_or(0.0, |w| self.ttft_secs(now, Some(cell).filter(|c| *c != w.entry.cell), w));
        let class = self.class(&open.request);
        let aim_extension = class.aim_per_1000_tokens.saturating_mul(open.request.prompt_tokens) / 1000;
        let aim = class.aim.saturating_add(aim_extension).min(open.request.expires.saturating_sub(now));
        let queue = self.load(now, server, 0.0) / self.read_rate(now, server) + wait;
        let kept =
            self.presumed_kept_tokens(now, server, &open.request, self.is_unseen_session(&open.request));
        let (missing, read_rate) = ((open.request.prompt_tokens - kept) as f64, self.read_rate(now, server));
        let herd_wait =
            self.load(now, server, chance * HERD_LIMIT * self.other_dispatchers_rate()) / read_rate + wait;
        let should_shed =
            herd_wait > self.max_queue_wait(&open.request) || queue + missing / read_rate > aim as f64 / 1e6;
        self.offered.add(now, missing, 1_000_000);
        should_shed
    }

    /// Returns the tokens per second that all other dispatchers send to one reader, if each of them receives the same
    /// load as this one.
    pub(super) fn other_dispatchers_rate(&self) -> f64 {
        let own = self.offered.work * std::f64::consts::LN_2 / DEFAULT_HALF_LIFE_US * 1e6;
        own * f64::from(self.settings.dispatchers.saturating_sub(1)) / self.readers.count.max(1.0)
    }

    /// Returns the longest wait in seconds, not counting its own read, with which a request is still admitted. All
    /// requests share a queue, so the limit derives from the shortest aim. Requests of less worth are refused
    /// earlier, and those over their tenant's share earlier still.
    pub(super) fn max_queue_wait(&self, request: &Request) -> f64 {
        let classes = &self.settings.classes;
        let max_worth = classes.iter().map(|c| c.worth).fold(f64::MIN_POSITIVE, f64::max);
        let class = &classes[usize::from(request.class.0)];
        let over_share = request.tenant.map(|t| usize::from(t.0)).is_some_and(|t| {
            let quota = self.settings.tenants.get(t).map_or(0.0, |t| t.quota_per_s);
            let fair = quota / f64::from(self.settings.dispatchers) / std::f64::consts::LN_2
                * DEFAULT_HALF_LIFE_US
                / 1e6;
            self.tenant_arrivals
                .get(t)
                .is_some_and(|arrivals| arrivals.work > fair + OVER_SHARE_DEVIATIONS * fair.sqrt())
        });
        let worth = class.worth / max_worth * if over_share { self.settings.over_share_worth } else { 1.0 };
        ADMISSION_AIM_FRACTION * self.shortest_aim() / 1e6 * worth.max(MIN_WORTH_FACTOR)
    }
}
