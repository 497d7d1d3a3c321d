//! Which servers are avoided for a while, and when an attempt is given up.

use super::*;

/// An attempt is overtaken if one sent so much later was served first: slots mix the order a bit.
const OVERTAKEN: Micros = 400_000;
/// An ejected server gets one trial after this.
const TRIAL_AFTER: Micros = 2_000_000;
/// A server that was full is avoided for this long by that tenant and class: others may find room there.
const FULL_REST: Micros = 3_000_000;
/// A server is faulty if, of late, this part of what it ended was errors, or half of it for what must not run
/// twice: what may be repeated finds out whether it has recovered...
const FAULTY: f64 = 0.2;
/// ... mixed with so many good ends, so that it gets a trial after a rest...
const FAULT_PRIOR: f64 = 2.0;
/// ... and if there were more than this: one now and then proves nothing.
const FAULTS_LEAST: f64 = 1.2;

impl Router {
    /// Why a candidate is avoided where there is another: the request failed there, or its like was turned away as full, or
    /// it is ejected and not due for a trial, answers with errors, or left a probe unanswered for too long.
    pub(super) fn avoidance(&self, now: Micros, server: &Server, open: &Open) -> Option<Avoided> {
        let silent =
            server.probed > server.reported.unwrap_or(0) && now >= server.probed + self.report_wait();
        let is_ejected = server.ejected && (now < server.trial_at || server.out > 0);
        let full =
            server.full.get(&(open.request.tenant, open.request.class)).is_some_and(|until| now < *until);
        let mut faults = server.faults;
        faults.forget(now, FAULT_HALF_LIFE);
        let strict = match (server.role, self.class(&open.request).effect) {
            (Role::Reader, _) => 2.0, // a read is soon repeated, and few readers make long queues
            (_, Effect::Unsafe) => 0.5,
            _ => 1.0,
        };
        let bound = strict * FAULTY * (faults.seconds + FAULT_PRIOR);
        let faulty = faults.work > bound.max(FAULTS_LEAST);
        let avoided = open.avoid == Some(server.entry.id);
        let reasons = [silent, is_ejected, full, faulty, avoided];
        reasons.into_iter().zip(Avoided::ALL).find_map(|(is, why)| is.then_some(why))
    }

    /// An attempt is out for long. A server not heard since the send is asked; if it stays silent, or answers
    /// only probes for the whole aim, it is ejected and the attempt is given up. Others are only slow, as a
    /// reader with a queue longer than the time waited, or, where dispatchers are many and know no link, a
    /// writer that fetches over one: reads may not stop, a move begins anew. May hurt: a hung server that
    /// answers probes.
    pub(super) fn on_patience(&mut self, now: Micros, id: RequestId, attempt: usize, out: &mut Actions) {
        let Some(open) = self.requests.get(&id).filter(|o| !o.over && !o.started) else { return };
        let Some(a) = open.out().filter(|_| open.attempts.len() == attempt + 1) else { return };
        let (to, sent, reads, aim) = (a.entry.id, a.sent, a.reads, self.class(&open.request).aim);
        let crosses = self.traffic_is_sparse() && a.crossing.is_some();
        let repeats = reads || self.class(&open.request).effect == Effect::Safe;
        let Some(server) = self.servers.get(&to) else { return };
        let queue = if reads { self.load(now, server, 0.0) / self.pace(now, server) * 1e6 } else { 0.0 };
        let jammed = server.reported >= Some(sent) && (crosses || now < sent + aim.max(queue as Micros));
        // It serves in order, and has long served what was sent later: only this connection is silent.
        if repeats && server.served_to > sent + OVERTAKEN {
            return out.push(Action::Cancel { request: id, attempt: attempt as u32 });
        }
        let answers = server.heard >= sent || jammed;
        let Some(server) = self.servers.get_mut(&to) else { return };
        if !answers && (server.probed >= sent || !self.settings.limits.probes) {
            self.eject(now, to, out);
            return out.push(Action::Cancel { request: id, attempt: attempt as u32 });
        } else if !answers {
            server.probed = now;
            out.push(Action::Probe(to));
        }
        self.wake(now + PATIENCE_LEAST / 2, Wake::Patience(id, attempt), out);
    }

    pub(super) fn eject(&mut self, now: Micros, to: ServerId, out: &mut Actions) {
        let Some(server) = self.servers.get_mut(&to) else { return };
        if !std::mem::replace(&mut server.ejected, true) {
            out.push(Action::Ejected(to));
        }
        server.trial_at = now + TRIAL_AFTER;
    }
}

/// What the end of an attempt tells of its server.
pub(super) fn learn(now: Micros, server: &mut Server, request: &Request, a: &Attempt, ended: &Ended) {
    match ended.outcome {
        Outcome::Read => {
            let missing = request.prompt_tokens.saturating_sub(ended.kept_tokens) as f64;
            server.pace.add(now, missing + a.ahead + READ_OVERHEAD, ended.took);
            server.full.remove(&(request.tenant, request.class));
            server.served_to = server.served_to.max(a.sent);
            server.kept.record(now, request);
        }
        Outcome::Full => {
            server.full.insert((request.tenant, request.class), now + FULL_REST);
        }
        // Its process is down, and with it what it kept; a connection alone breaks at servers that are well.
        Outcome::ConnectFailed => server.kept.clear(),
        _ => {}
    }
}
