//! Which servers a request may be sent to, by drains, weights, effects and slow start.

use super::*;

impl Router {
    /// Returns why the request must not be sent to the server, if so. `near` is set for a writer in the cell of the
    /// read.
    pub(super) fn ineligibility(
        &self,
        now: Micros,
        server: &Server,
        open: &OpenRequest,
        near: bool,
    ) -> Option<Ineligible> {
        if server.entry.state != ServerState::Ready {
            Some(Ineligible::Draining)
        } else if server.weight <= 0.0 {
            Some(Ineligible::NoWeight)
        } else if !self.effect_allows(now, &server.entry, open) {
            Some(Ineligible::MayHaveRun)
        } else {
            let cold =
                self.warmth(now, server) < 1.0 && !self.is_in_slow_start_share(now, server, open, near);
            cold.then_some(Ineligible::ColdShare)
        }
    }

    /// Returns true if the request cannot take effect twice: after an attempt that may have run, it may be sent only
    /// where a repeat is harmless or discarded.
    pub(super) fn effect_allows(&self, now: Micros, entry: &ServerEntry, open: &OpenRequest) -> bool {
        let class = self.class(&open.request);
        open.attempts.iter().filter(|a| a.may_have_run).all(|a| {
            let discards = match class.effect {
                Effect::Keyed(KeyGroup::Zone) => a.entry.zone == entry.zone,
                Effect::Keyed(KeyGroup::Cell) => a.entry.cell == entry.cell,
                Effect::Safe | Effect::Unsafe | Effect::Keyed(KeyGroup::All) => true,
            };
            discards && now < class.repeats_until(a.sent_at)
        })
    }

    /// Returns true if the request is in the share that a cold server may be sent: a multiple of the calls that a warm
    /// server has recently served. The shares of any number of dispatchers, known or not, busy or idle, add up to
    /// the server's budget.
    pub(super) fn is_in_slow_start_share(
        &self,
        now: Micros,
        server: &Server,
        open: &OpenRequest,
        near: bool,
    ) -> bool {
        let draw = open.draw.map_or(0.0, |draw| if near { draw.near } else { draw.far });
        let choices_per_request =
            if server.role == Role::Mixed && self.readers.count > 0.0 { 2.0 } else { 1.0 };
        let share = self.slow_starts[usize::from(server.role != Role::Reader)].share_of_draw(draw)
            / choices_per_request;
        rendezvous_hash(open.draw_key, server.entry.id) < share * self.warmth(now, server) * server.weight
    }

    /// Returns the fraction of its capacity that a server is sure to have, by the time since its start.
    pub(super) fn warmth(&self, now: Micros, server: &Server) -> f64 {
        warmth(now, &self.settings.rules, &server.entry)
    }
}
