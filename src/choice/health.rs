//! Server health: which servers are avoided for a while, and when an attempt is given up.

use super::*;

/// An attempt is overtaken if one sent more than this much later was served first. Parallel slots reorder attempts
/// slightly.
const MIN_OVERTAKEN_GAP: Micros = 400_000;
/// An ejected server gets one trial attempt after this time.
const TRIAL_AFTER: Micros = 2_000_000;
/// After a server has refused an attempt as full, that tenant and class avoid it for this long. Others may still be
/// admitted there.
const FULL_AVOIDED_FOR: Micros = 3_000_000;
/// A server is faulty if more than this share of its recent outcomes were errors, or half of it for requests that must
/// not run twice: repeatable requests then find out whether it has recovered...
const MAX_ERROR_SHARE: f64 = 0.2;
/// ... with this many successes added to the count, so that the server is tried again after a pause...
const SUCCESS_PRIOR: f64 = 2.0;
/// ... and if the errors exceed this number, because an occasional error proves nothing.
const MIN_ERRORS: f64 = 1.2;

impl Router {
    /// Returns why a candidate is avoided while there is another, if so: the request failed there, one of the same
    /// tenant and class was refused as full, the server is ejected and not due for a trial, it answers with errors,
    /// or it has left a probe unanswered for too long.
    pub(super) fn avoidance(&self, now: Micros, server: &Server, open: &OpenRequest) -> Option<Avoided> {
        let is_silent = server.probed_at > server.reported_at.unwrap_or(0)
            && now >= server.probed_at + self.report_wait();
        let is_ejected = server.ejected && (now < server.trial_at || server.pending_attempts > 0);
        let is_full = server
            .full_until
            .get(&(open.request.tenant, open.request.class))
            .is_some_and(|until| now < *until);
        let mut errors = server.errors;
        errors.decay_with(now, ERROR_HALF_LIFE_US);
        let tolerance = match (server.role, self.class(&open.request).effect) {
            (Role::Reader, _) => 2.0, // a read is quickly repeated, and fewer readers mean longer queues
            (_, Effect::Unsafe) => 0.5,
            _ => 1.0,
        };
        let max_errors = tolerance * MAX_ERROR_SHARE * (errors.seconds + SUCCESS_PRIOR);
        let is_faulty = errors.work > max_errors.max(MIN_ERRORS);
        let failed_here = open.avoided_server == Some(server.entry.id);
        let reasons = [is_silent, is_ejected, is_full, is_faulty, failed_here];
        reasons.into_iter().zip(Avoided::ALL).find_map(|(applies, reason)| applies.then_some(reason))
    }

    /// Checks the server of an attempt that takes longer than expected. A server that has handled no attempt since the
    /// send is probed. If the probe stays unanswered or probing is not allowed, or if the server answers only probes
    /// for the whole aim, it is ejected and the attempt is cancelled. Two kinds of server that answer probes count as
    /// merely slow even after the aim: a reader whose queue takes longer than the time waited, because a cancelled
    /// read may go on, and, where dispatchers are many and do not know the links, a writer that fetches over one,
    /// because a transfer that is moved starts again from the beginning. A hung server that answers probes is
    /// therefore detected late.
    pub(super) fn on_attempt_overdue(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: usize,
        actions: &mut Actions,
    ) {
        let Some(open) = self.requests.get(&id).filter(|o| !o.finished && !o.started) else { return };
        let Some(a) = open.pending_attempt().filter(|_| open.attempts.len() == attempt + 1) else { return };
        let (to, sent_at, reads, aim) = (a.entry.id, a.sent_at, a.reads, self.class(&open.request).aim);
        let crosses_unknown_link = self.traffic_is_sparse() && a.link_cell.is_some();
        let may_repeat = reads || self.class(&open.request).effect == Effect::Safe;
        let Some(server) = self.servers.get(&to) else { return };
        let queue = if reads { self.load(now, server, 0.0) / self.read_rate(now, server) * 1e6 } else { 0.0 };
        let is_only_slow = server.reported_at >= Some(sent_at)
            && (crosses_unknown_link || now < sent_at + aim.max(queue as Micros));
        // The server serves in order and has served attempts sent much later: only this connection is silent.
        if may_repeat && server.latest_served_sent_at > sent_at + MIN_OVERTAKEN_GAP {
            return actions.push(Action::Cancel { request: id, attempt: attempt as u32 });
        }
        let is_alive = server.last_alive_at >= sent_at || is_only_slow;
        let Some(server) = self.servers.get_mut(&to) else { return };
        if !is_alive && (server.probed_at >= sent_at || !self.settings.limits.probes) {
            self.eject(now, to, actions);
            return actions.push(Action::Cancel { request: id, attempt: attempt as u32 });
        } else if !is_alive {
            server.probed_at = now;
            actions.push(Action::Probe(to));
        }
        self.set_timer(now + MIN_OVERDUE_AFTER / 2, TimerTask::AttemptOverdue(id, attempt), actions);
    }

    /// Ejects a server: apart from trial attempts it is avoided until it handles an attempt again.
    pub(super) fn eject(&mut self, now: Micros, to: ServerId, actions: &mut Actions) {
        let Some(server) = self.servers.get_mut(&to) else { return };
        if !std::mem::replace(&mut server.ejected, true) {
            actions.push(Action::Ejected(to));
        }
        server.trial_at = now + TRIAL_AFTER;
    }
}

/// Updates what is known of a server from the outcome of an attempt.
pub(super) fn record_outcome(
    now: Micros,
    server: &mut Server,
    request: &Request,
    a: &Attempt,
    ended: &Ended,
) {
    match ended.outcome {
        Outcome::Read => {
            let missing = request.prompt_tokens.saturating_sub(ended.kept_tokens) as f64;
            server.read_rate.add(now, missing + a.queued + READ_OVERHEAD_TOKENS, ended.took);
            server.full_until.remove(&(request.tenant, request.class));
            server.latest_served_sent_at = server.latest_served_sent_at.max(a.sent_at);
            server.kept.record(now, request);
        }
        Outcome::Full => {
            server.full_until.insert((request.tenant, request.class), now + FULL_AVOIDED_FOR);
        }
        // Its process is down, and what it kept is lost. A connection that breaks does not mean that: healthy servers
        // break connections too.
        Outcome::ConnectFailed => server.kept.clear(),
        _ => {}
    }
}
