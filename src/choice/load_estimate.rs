//! Estimates of the servers' load, from their reports and from this dispatcher's own sends.

use super::*;

/// A report shows a server as it was up to this long before it arrived, so later sends may not be included.
const REPORT_LAG: Micros = 600_000;
/// A writer's own times to the first token are averaged with this many at the mean of all writers.
const FIRST_TOKEN_PRIOR: f64 = 2.0;
/// A server's own read rate is averaged with this many seconds at the rate of all, because a single outlier proves
/// little.
const READ_RATE_PRIOR_SECONDS: f64 = 0.5;
/// Tokens assumed for one request before any has arrived. They convert a reported queue that counts requests.
const INITIAL_READ_TOKENS: f64 = 2_000.0;

impl Router {
    /// Returns the prompt tokens that wait at the server: those sent from here and not yet read, plus what the last
    /// report showed beyond them, less what can have been read since. `herd_rate`, in tokens per second, adds what
    /// other dispatchers send until the next report.
    pub(super) fn load(&self, now: Micros, server: &Server, herd_rate: f64) -> f64 {
        let other_tokens = match server.reported_at {
            Some(at) if now - at < REPORT_MAX_AGE => {
                let elapsed = now - at + REPORT_LAG / 2;
                let herd_tokens = herd_rate * elapsed.min(REPORT_LAG) as f64;
                server.other_waiting_tokens
                    + (herd_tokens - self.read_rate(now, server) * elapsed as f64) / 1e6
            }
            _ if self.warmth(now, server) < 1.0 => 0.0, // slow start keeps its load low
            _ => self.readers.load * server.weight,
        };
        server.unread_tokens + other_tokens.max(0.0)
    }

    /// Returns the tokens per second that the server has recently read, averaged with the rate of all servers.
    pub(super) fn read_rate(&self, now: Micros, server: &Server) -> f64 {
        let prior = self.readers.read_rate * self.warmth(now, server) * server.weight;
        let mut own = server.read_rate;
        own.decay(now);
        (own.work + READ_RATE_PRIOR_SECONDS * prior) / (own.seconds + READ_RATE_PRIOR_SECONDS)
    }

    /// Returns the share of its memory that is in use: by the last report, plus own streams sent since.
    pub(super) fn memory_share(&self, now: Micros, server: &Server) -> f64 {
        let unreported: f64 = server.unreported_streams.iter().map(|(_, tokens)| tokens).sum();
        let base = match (server.reported_at, server.report.memory_share) {
            (Some(at), Some(share)) if now - at < REPORT_MAX_AGE => share,
            _ => self.writers.memory_share,
        };
        base + unreported / (server.memory_tokens * server.weight)
    }

    /// Returns the seconds from a send to the first token, as recently observed at the writer and averaged with all
    /// writers. For a state that has to cross the link of its reader's cell (`link_cell`), the observed time over
    /// that link applies if it is longer, because the link may be slow by itself.
    pub(super) fn ttft_secs(&self, now: Micros, link_cell: Option<CellId>, server: &Server) -> f64 {
        let mean = |mut observed: DecayedSums| {
            observed.decay(now);
            (observed.seconds + FIRST_TOKEN_PRIOR * self.writers.ttft_secs)
                / (observed.work + FIRST_TOKEN_PRIOR)
        };
        let link = link_cell.and_then(|cell| self.crossing_first_token_times.get(&cell));
        mean(server.first_token_times).max(link.map_or(0.0, |link| mean(*link)))
    }

    /// Records a report, if there is one, and, if `alive`, that the server has handled an attempt.
    pub(super) fn record_contact(
        &mut self,
        now: Micros,
        from: ServerId,
        alive: bool,
        report: Option<Report>,
    ) {
        let tokens_per_request = (self.offered.work + INITIAL_READ_TOKENS) / (self.offered.seconds + 1.0);
        let Some(server) = self.servers.get_mut(&from) else { return };
        if let Some(report) = report {
            let waiting = report
                .waiting_tokens
                .or(report.waiting.map(|count| count * tokens_per_request))
                .unwrap_or(0.0);
            server.other_waiting_tokens = (waiting - server.unread_tokens).max(0.0);
            server.report = report;
            server.reported_at = Some(now);
            server.unreported_streams.retain(|(at, _)| at + REPORT_LAG >= now);
        }
        if alive {
            (server.last_alive_at, server.ejected, server.was_reset) = (now, false, false);
        }
    }

    /// Recomputes the averages over all readers and all other servers.
    pub(super) fn update_averages(&mut self, now: Micros) {
        self.local_first_token_times.decay(now);
        self.writers.ttft_secs =
            (self.local_first_token_times.seconds + 0.1) / (self.local_first_token_times.work + 1.0);
        let (mut in_zone, mut min_seconds, mut work, mut seconds) =
            (0.0, f64::INFINITY, INITIAL_READ_RATE, 1.0);
        // Of readers and of all other servers: the number with a valid report, and the sums.
        let mut sums = [(0.0, FleetAverages::default()); 2];
        for (role_index, slow_start) in self.slow_starts.iter_mut().enumerate() {
            let servers = self.servers.values().filter(|s| usize::from(s.role != Role::Reader) == role_index);
            slow_start.set_servers(now, servers.map(|s| (s.entry, s.weight)));
        }
        for server in self.servers.values() {
            let is_reader = server.role == Role::Reader;
            let (reported_count, fleet) = &mut sums[usize::from(!is_reader)];
            if server.reported_at.is_some_and(|at| now - at < REPORT_MAX_AGE) {
                fleet.load += self.load(now, server, 0.0) - server.unread_tokens;
                fleet.memory_share += server.report.memory_share.unwrap_or(0.0);
                *reported_count += 1.0;
            }
            fleet.count += 1.0;
            if is_reader {
                in_zone += f64::from(server.entry.zone == self.settings.zone);
                let mut own = server.read_rate;
                own.decay(now);
                work += own.work;
                seconds += own.seconds;
            } else {
                min_seconds = min_seconds.min(self.ttft_secs(now, None, server));
            }
        }
        self.readers_in_zone = in_zone;
        self.writers.min_ttft_secs =
            if min_seconds.is_finite() { min_seconds } else { self.writers.ttft_secs };
        for (is_reader, (reported_count, sum)) in [true, false].into_iter().zip(sums) {
            let fleet = if is_reader { &mut self.readers } else { &mut self.writers };
            let count = f64::max(reported_count, 1.0);
            (fleet.count, fleet.load, fleet.memory_share) =
                (sum.count, sum.load / count, sum.memory_share / count);
            fleet.read_rate = work / seconds;
        }
    }

    /// Handles the result of a probe.
    pub(super) fn on_probed(
        &mut self,
        now: Micros,
        from: ServerId,
        outcome: Outcome,
        report: Option<Report>,
    ) {
        let answered = outcome == Outcome::Served && report.is_none() || outcome == Outcome::Reset;
        self.record_contact(now, from, false, report);
        if let Some(server) = self.servers.get_mut(&from).filter(|_| answered) {
            // It has nothing to report yet, or its connection was reset: neither counts as unanswered.
            server.probed_at = 0;
        }
    }
}
