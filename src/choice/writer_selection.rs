//! The choice of a writer: one with free capacity in the reader's cell, else in another cell.

use super::*;

/// A writer has no free capacity if its first tokens take at least this multiple of the quickest writer's time...
const SLOW_WRITER_MULTIPLE: f64 = 2.0;
/// ... plus this fraction of the aim: it is slow or overloaded, whatever its memory share.
const SLOW_WRITER_AIM_FRACTION: f64 = 0.3;

impl Router {
    /// Returns the eligible writers in order of preference: those with free capacity in the reader's cell by memory
    /// share (mixed servers last), then those with free capacity elsewhere, then the others by the number of own
    /// streams, the reader's cell first.
    pub(super) fn rank_writers(&mut self, now: Micros, id: RequestId, reader: ServerId) -> Vec<ServerId> {
        let Some(open) = self.requests.get(&id) else { return Vec::new() };
        let read_entry = open.attempts.iter().rev().find(|a| a.entry.id == reader).map(|a| a.entry);
        let reader_entry = read_entry.or(self.servers.get(&reader).map(|s| s.entry));
        let slow_margin = SLOW_WRITER_AIM_FRACTION * self.class(&open.request).aim as f64 / 1e6;
        let mut ranks = Vec::new();
        for sid in self.roster.sample_writers(&mut self.rng, reader_entry.map(|e| e.cell), SAMPLE) {
            let Some(server) = self.servers.get(&sid) else { continue };
            let in_readers_cell = reader_entry.is_some_and(|e| e.cell == server.entry.cell);
            let share = self.memory_share(now, server);
            let wait = self.ttft_secs(now, reader_entry.map(|e| e.cell).filter(|_| !in_readers_cell), server);
            let has_capacity = share < MAX_WRITER_MEMORY_SHARE
                && wait < SLOW_WRITER_MULTIPLE * self.writers.min_ttft_secs + slow_margin;
            let (tier, measure) = match (has_capacity, in_readers_cell, server.role) {
                (true, true, Role::Writer) => (0, share),
                (true, true, _) => (1, share),
                (true, false, _) => (2, share),
                (false, in_readers_cell, _) => {
                    (4 - u8::from(in_readers_cell), f64::from(server.streams) / server.weight)
                }
            };
            let ineligible = self.ineligibility(now, server, open, in_readers_cell);
            let avoided = self.avoidance(now, server, open);
            if let Some(observed) = &mut self.observed {
                let cost = Cost::Write {
                    in_readers_cell,
                    memory: share,
                    wait,
                    has_capacity,
                    own_streams: server.streams,
                };
                observed.push(Candidate { server: sid, ineligible, avoided, tier, cost });
            }
            if ineligible.is_none() {
                let chance = (self.rng.random(), server.weight);
                ranks.push((avoided.is_some(), tier, measure, chance, sid));
            }
        }
        rank_candidates(ranks)
    }
}
