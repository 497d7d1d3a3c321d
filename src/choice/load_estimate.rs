//! What servers are believed to have to do, from their reports and from own sends.

use super::*;

/// A report shows a server as it was up to this long before: sends since then may not be in it.
const REPORT_LAG: Micros = 600_000;
/// A writer's own times to the first token are mixed with so many at the mean of all.
const WAIT_PRIOR: f64 = 2.0;
/// A server's own pace is mixed with so many seconds at the pace of all: one odd read proves little.
const PACE_PRIOR: f64 = 0.5;
/// Tokens to read for one request before any came: a queue may be told in requests.
const FIRST_READ: f64 = 2_000.0;

impl Router {
    /// Prompt tokens that wait there: own unread ones, and what a report showed beyond them, less what can
    /// have been read since, and with what a crowd sent at so many tokens a second in the life of a report.
    pub(super) fn load(&self, now: Micros, server: &Server, crowd: f64) -> f64 {
        let others = match server.reported {
            Some(at) if now - at < REPORT_OLD => {
                let since = now - at + REPORT_LAG / 2;
                let sent = crowd * since.min(REPORT_LAG) as f64;
                server.others + (sent - self.pace(now, server) * since as f64) / 1e6
            }
            _ if self.warmth(now, server) < 1.0 => 0.0, // its share keeps it from being full
            _ => self.readers.load * server.weight,
        };
        server.unread + others.max(0.0)
    }

    /// Tokens a second, as seen there of late, leaning on what all show.
    pub(super) fn pace(&self, now: Micros, server: &Server) -> f64 {
        let prior = self.readers.pace * self.warmth(now, server) * server.weight;
        let mut own = server.pace;
        own.decay(now);
        (own.work + PACE_PRIOR * prior) / (own.seconds + PACE_PRIOR)
    }

    /// Share of its memory that is held: the last report and own streams since.
    pub(super) fn memory_share(&self, now: Micros, server: &Server) -> f64 {
        let since: f64 = server.since.iter().map(|(_, tokens)| tokens).sum();
        let base = match (server.reported, server.report.memory_share) {
            (Some(at), Some(share)) if now - at < REPORT_OLD => share,
            _ => self.writers.memory,
        };
        base + since / (server.memory * server.weight)
    }

    /// Seconds from a send to the first token, as seen at the writer of late, leaning on all. A state that
    /// has to cross the link of its reader's cell waits for that too, and it may be slow by itself.
    pub(super) fn wait(&self, now: Micros, crossing: Option<CellId>, server: &Server) -> f64 {
        let mean = |mut seen: Pace| {
            seen.decay(now);
            (seen.seconds + WAIT_PRIOR * self.writers.wait) / (seen.work + WAIT_PRIOR)
        };
        let link = crossing.and_then(|cell| self.links.get(&cell));
        mean(server.begins).max(link.map_or(0.0, |link| mean(*link)))
    }

    pub(super) fn hear(&mut self, now: Micros, from: ServerId, alive: bool, report: Option<Report>) {
        let read = (self.offered.work + FIRST_READ) / (self.offered.seconds + 1.0);
        let Some(server) = self.servers.get_mut(&from) else { return };
        if let Some(report) = report {
            let waiting = report.waiting_tokens.or(report.waiting.map(|count| count * read)).unwrap_or(0.0);
            server.others = (waiting - server.unread).max(0.0);
            server.report = report;
            server.reported = Some(now);
            server.since.retain(|(at, _)| at + REPORT_LAG >= now);
        }
        if alive {
            (server.heard, server.ejected, server.broke) = (now, false, false);
        }
    }

    pub(super) fn average(&mut self, now: Micros) {
        self.first_tokens.decay(now);
        self.writers.wait = (self.first_tokens.seconds + 0.1) / (self.first_tokens.work + 1.0);
        let (mut near, mut least, mut work, mut seconds) = (0.0, f64::INFINITY, FIRST_PACE, 1.0);
        let mut sums = [(0.0, Fleet::default()); 2]; // heard, and the rest, of readers and others
        for (of, slow_start) in self.slow_starts.iter_mut().enumerate() {
            let servers = self.servers.values().filter(|s| usize::from(s.role != Role::Reader) == of);
            slow_start.count(now, servers.map(|s| (s.entry, s.weight)));
        }
        for server in self.servers.values() {
            let reading = server.role == Role::Reader;
            let (heard, fleet) = &mut sums[usize::from(!reading)];
            if server.reported.is_some_and(|at| now - at < REPORT_OLD) {
                fleet.load += self.load(now, server, 0.0) - server.unread;
                fleet.memory += server.report.memory_share.unwrap_or(0.0);
                *heard += 1.0;
            }
            fleet.count += 1.0;
            if reading {
                near += f64::from(server.entry.zone == self.settings.zone);
                let mut own = server.pace;
                own.decay(now);
                work += own.work;
                seconds += own.seconds;
            } else {
                least = least.min(self.wait(now, None, server));
            }
        }
        self.near_readers = near;
        self.writers.least = if least.is_finite() { least } else { self.writers.wait };
        for (reading, (heard, sum)) in [true, false].into_iter().zip(sums) {
            let fleet = if reading { &mut self.readers } else { &mut self.writers };
            let count = f64::max(heard, 1.0);
            (fleet.count, fleet.load, fleet.memory) = (sum.count, sum.load / count, sum.memory / count);
            fleet.pace = work / seconds;
        }
    }

    pub(super) fn on_probed(
        &mut self,
        now: Micros,
        from: ServerId,
        outcome: Outcome,
        report: Option<Report>,
    ) {
        let told = outcome == Outcome::Served && report.is_none() || outcome == Outcome::Reset;
        self.hear(now, from, false, report);
        if let Some(server) = self.servers.get_mut(&from).filter(|_| told) {
            server.probed = 0; // it has nothing to report yet, or hung up on the probe: that is no silence
        }
    }
}
