//! News of the list of servers.

use super::*;

impl Router {
    pub(super) fn on_list(&mut self, now: Micros, update: ListUpdate, out: &mut Actions) {
        match update.scope {
            ListScope::Failed => {
                if self.settings.discovery == Discovery::OnRequest {
                    out.push(Action::Watch(true));
                }
                return;
            }
            ListScope::Full | ListScope::Cached => {
                let named: BTreeSet<ServerId> = update.entries.iter().map(|entry| entry.id).collect();
                self.servers.retain(|id, _| named.contains(id));
            }
            ListScope::Changes => {}
        }
        for entry in update.entries {
            let restarted = |s: &Server| s.entry.started != entry.started; // nothing known of it holds
            let gone = entry.state == ServerState::Gone;
            if gone || self.servers.get(&entry.id).is_some_and(restarted) {
                self.servers.remove(&entry.id);
            }
            let kind = self.settings.kinds.get(usize::from(entry.kind.0));
            let Some(kind) = kind.filter(|_| !gone) else { continue };
            let (role, memory, weight) = (kind.role, kind.memory_tokens as f64, entry.weight);
            let fresh = || Server { entry, role, memory, weight, heard: now, ..Server::default() };
            self.servers.entry(entry.id).or_insert_with(fresh).entry = entry;
        }
        self.out = self.servers.values().map(|server| server.out).sum();
        let each = |(id, s): (&ServerId, &Server)| (*id, s.role, s.entry.cell, s.entry.takes_work());
        self.roster.list(SAMPLE, self.servers.iter().map(each));
        self.weigh();
        self.average(now);
    }

    /// Weights count against the mean of those of a role that take work.
    pub(super) fn weigh(&mut self) {
        let mut sums = [(0.0, 0.0); 3];
        for server in self.servers.values().filter(|s| s.entry.weight > 0.0) {
            let (sum, count) = &mut sums[server.role as usize];
            (*sum, *count) = (*sum + server.entry.weight, *count + 1.0);
        }
        for server in self.servers.values_mut() {
            let (sum, count) = sums[server.role as usize];
            server.weight = if sum > 0.0 { server.entry.weight * count / sum } else { 0.0 };
        }
    }
}
