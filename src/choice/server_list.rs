//! Updates of the list of servers.

use super::*;

impl Router {
    /// Applies an update of the server list.
    pub(super) fn on_list(&mut self, now: Micros, update: ListUpdate, actions: &mut Actions) {
        match update.scope {
            ListScope::Failed => {
                if self.settings.discovery == Discovery::OnRequest {
                    actions.push(Action::Watch(true));
                }
                return;
            }
            ListScope::Full | ListScope::Cached => {
                let listed: BTreeSet<ServerId> = update.entries.iter().map(|entry| entry.id).collect();
                self.servers.retain(|id, _| listed.contains(id));
            }
            ListScope::Changes => {}
        }
        for entry in update.entries {
            // What is known of a server does not survive its restart.
            let restarted = |s: &Server| s.entry.started != entry.started;
            let gone = entry.state == ServerState::Gone;
            if gone || self.servers.get(&entry.id).is_some_and(restarted) {
                self.servers.remove(&entry.id);
            }
            let kind = self.settings.kinds.get(usize::from(entry.kind.0));
            let Some(kind) = kind.filter(|_| !gone) else { continue };
            let (role, memory_tokens, weight) = (kind.role, kind.memory_tokens as f64, entry.weight);
            let new_server =
                || Server { entry, role, memory_tokens, weight, last_alive_at: now, ..Server::default() };
            self.servers.entry(entry.id).or_insert_with(new_server).entry = entry;
        }
        self.total_pending = self.servers.values().map(|server| server.pending_attempts).sum();
        let roster_entry = |(id, s): (&ServerId, &Server)| (*id, s.role, s.entry.cell, s.entry.takes_work());
        self.roster.set_servers(SAMPLE, self.servers.iter().map(roster_entry));
        self.normalise_weights();
        self.update_averages(now);
    }

    /// Divides each weight by the mean of the positive weights of its role.
    pub(super) fn normalise_weights(&mut self) {
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
