//! What may be sent where: drains, weights, effects and slow start.

use super::*;

impl Router {
    /// Whether the request must not go there; near is a writer in the cell of the read.
    pub(super) fn ineligibility(
        &self,
        now: Micros,
        server: &Server,
        open: &Open,
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

    /// No effect twice: after an attempt that may have run, only where repeats are harmless or discarded.
    pub(super) fn effect_allows(&self, now: Micros, entry: &ServerEntry, open: &Open) -> bool {
        let class = self.class(&open.request);
        open.attempts.iter().filter(|a| a.may_have_run).all(|a| {
            let discards = match class.effect {
                Effect::Keyed(KeyGroup::Zone) => a.entry.zone == entry.zone,
                Effect::Keyed(KeyGroup::Cell) => a.entry.cell == entry.cell,
                Effect::Safe | Effect::Unsafe | Effect::Keyed(KeyGroup::All) => true,
            };
            discards && now < class.repeats_until(a.sent)
        })
    }

    /// Whether a request is of the part that a cold server may be sent: its multiple of what a warm one has
    /// borne of late. That sums up right over any number of dispatchers, known or not, busy or idle.
    pub(super) fn is_in_slow_start_share(
        &self,
        now: Micros,
        server: &Server,
        open: &Open,
        near: bool,
    ) -> bool {
        let draw = open.draw.map_or(0.0, |draw| if near { draw.near } else { draw.far });
        let looks = if server.role == Role::Mixed && self.readers.count > 0.0 { 2.0 } else { 1.0 };
        let share = self.slow_starts[usize::from(server.role != Role::Reader)].share(draw) / looks;
        rendezvous_hash(open.draw_key, server.entry.id) < share * self.warmth(now, server) * server.weight
    }

    /// Share of its capacity that a server surely has, by the time since its start.
    pub(super) fn warmth(&self, now: Micros, server: &Server) -> f64 {
        warmth(now, &self.settings.rules, &server.entry)
    }
}
