//! The choice of a writer: one with room in the reader's cell, else elsewhere.

use super::*;

/// A writer has no room if its first tokens take this multiple of the quickest writer's...
const SLOW: f64 = 2.0;
/// ... and this part of the aim: it is slow or jammed, whatever its memory says.
const SLOW_LEAST: f64 = 0.3;

impl Router {
    /// The emptiest writer with room in the reader's cell, else elsewhere, else the near one with fewest own.
    pub(super) fn rank_writers(&mut self, now: Micros, id: RequestId, reader: ServerId) -> Vec<ServerId> {
        let Some(open) = self.requests.get(&id) else { return Vec::new() };
        let read_at = open.attempts.iter().rev().find(|a| a.entry.id == reader).map(|a| a.entry);
        let entry = read_at.or(self.servers.get(&reader).map(|s| s.entry));
        let slow = SLOW_LEAST * self.class(&open.request).aim as f64 / 1e6;
        let mut found = Vec::new();
        for sid in self.roster.writers(&mut self.rng, entry.map(|e| e.cell), SAMPLE) {
            let Some(server) = self.servers.get(&sid) else { continue };
            let in_readers_cell = entry.is_some_and(|e| e.cell == server.entry.cell);
            let share = self.memory_share(now, server);
            let wait = self.wait(now, entry.map(|e| e.cell).filter(|_| !in_readers_cell), server);
            let has_capacity = share < ROOM && wait < SLOW * self.writers.least + slow;
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
            if let Some(looked) = &mut self.looked {
                let cost = Cost::Write {
                    in_readers_cell,
                    memory: share,
                    wait,
                    has_capacity,
                    own_streams: server.streams,
                };
                looked.push(Candidate { server: sid, ineligible, avoided, tier, cost });
            }
            if ineligible.is_none() {
                let chance = (self.rng.random(), server.weight);
                found.push((avoided.is_some(), tier, measure, chance, sid));
            }
        }
        ranked(found)
    }
}
