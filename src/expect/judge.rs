//! Checks whether an expectation holds. Routing decisions are random, so an expectation is simulated with many seeds,
//! in ascending order: clauses that must always hold with a fixed number of them, a share until its confidence
//! interval settles it.

use super::model::*;
use super::reasons::{ObservedChoice, format_ms, server_label};
use super::world::{Answer, Attempt, Observation, Record, RequestTrace, simulate};
use crate::interface::*;

/// Number of seeds with which clauses that must always hold are checked.
pub const SEEDS: u64 = 20;
/// Number of seeds after which the interval of a share is checked first. Each further check doubles the number.
const FIRST_CHECK_SEEDS: u64 = 20;
/// Number of seeds after which a share that its interval has not settled is undecided. This is the seventh check.
const MAX_SEEDS: u64 = 1_280;
/// Number of requests, over all seeds, after which a share is undecided as well.
const MAX_REQUESTS: u64 = 100_000;
/// Half the width of the interval in standard deviations. Each of the seven checks errs once in 7,000 times, so all
/// of them together err once in a thousand.
const INTERVAL_Z_SCORE: f64 = 3.8;

/// The result of checking an expectation.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// All clauses hold.
    Holds {
        /// Number of seeds that were simulated.
        seeds: u64,
    },
    /// A clause does not hold.
    Fails {
        /// The seed of a simulation that shows the failure.
        seed: u64,
        /// The index of the clause in the expectation.
        clause: usize,
        /// The observation that contradicts the clause.
        why: String,
        /// The choices that led to the failure.
        choices: Vec<ObservedChoice>,
    },
    /// The interval of a share neither confirms nor contradicts the clause.
    Undecided {
        /// The index of the clause in the expectation.
        clause: usize,
        /// The counts and the interval that were reached.
        why: String,
    },
}

impl ServerSelector {
    /// Returns true if `server` is selected, for a request whose state was read at `reader`.
    fn selects(self, site: &Site, server: ServerId, reader: Option<ServerId>) -> bool {
        let entry = |id: ServerId| site.servers.get(&id).map(|(_, entry)| entry);
        let Some(candidate) = entry(server) else { return false };
        match self {
            ServerSelector::Server(id) => server == id,
            ServerSelector::Zone(zone) => candidate.zone == zone,
            ServerSelector::Cell(cell) => candidate.cell == cell,
            ServerSelector::Kind(kind) => candidate.kind == kind,
            ServerSelector::CellOfReader => {
                reader.and_then(entry).is_some_and(|reader| reader.cell == candidate.cell)
            }
        }
    }
}

/// An observation that contradicts a clause.
struct Violation {
    /// The index of the request, if the observation concerns one.
    request: Option<usize>,
    /// The attempt that contradicts the clause, if there is one.
    attempt: Option<Attempt>,
    /// The observation in words, for the report.
    why: String,
}

/// Describes all attempts of a request and its answer in one line.
pub fn describe_request(site: &Site, trace: &RequestTrace) -> String {
    let describe = |attempt: &Attempt| {
        let action = if attempt.reads { "read at" } else { "written at" };
        let outcome = attempt.outcome.map_or("in progress".into(), |outcome| format!("{outcome:?}"));
        format!(
            "{action} {} after {}: {outcome}",
            server_label(site, attempt.server),
            format_ms(attempt.sent_at - trace.arrived_at)
        )
    };
    let mut parts: Vec<String> = trace.attempts.iter().map(describe).collect();
    parts.push(match trace.answer {
        Some((answered_at, answer)) => {
            format!("{answer:?} after {}", format_ms(answered_at - trace.arrived_at))
        }
        None => "no answer".into(),
    });
    parts.join("; ")
}

/// Returns the server of the last attempt at a reader.
fn last_reader(trace: &RequestTrace) -> Option<ServerId> {
    trace.attempts.iter().rev().find(|attempt| attempt.reads).map(|attempt| attempt.server)
}

/// Returns why a request contradicts a clause, with the attempt that does. Returns `None` if it doesn't, or if the
/// clause applies to all requests together.
fn request_violation(site: &Site, clause: &Then, trace: &RequestTrace) -> Option<(Option<Attempt>, String)> {
    let reader = last_reader(trace);
    let wrong_server =
        |attempt: &Attempt| (Some(*attempt), format!("it went to {}", server_label(site, attempt.server)));
    let outside = |selector: ServerSelector, reads: bool| {
        let mut attempts = trace.attempts.iter().filter(|attempt| attempt.reads == reads).peekable();
        match attempts.peek() {
            None => Some((None, "it was sent to no server of this role".into())),
            Some(_) => {
                attempts.find(|attempt| !selector.selects(site, attempt.server, reader)).map(wrong_server)
            }
        }
    };
    let without_attempt = |problem: Option<String>| problem.map(|problem| (None, problem));
    let answer = trace.answer.map(|(_, answer)| answer);
    let problem = match clause {
        Then::Reader(selector) => outside(*selector, true),
        Then::Writer(selector) => outside(*selector, false),
        Then::Never(selector) => trace
            .attempts
            .iter()
            .find(|attempt| selector.selects(site, attempt.server, reader))
            .map(wrong_server),
        Then::Served(expected) => without_attempt({
            let served = answer == Some(Answer::Served);
            (served != *expected)
                .then(|| if served { "it was served".into() } else { "it was not served".into() })
        }),
        Then::Refused { retry_within } => without_attempt(match answer {
            Some(Answer::Refused(after)) => {
                let exceeded = retry_within.filter(|limit| after.is_none_or(|after| after > *limit));
                exceeded.map(|_| {
                    format!("it was refused with a retry delay of {}", after.map_or("?".into(), format_ms))
                })
            }
            _ => Some("it was not refused".into()),
        }),
        Then::Failed { may_have_run } => without_attempt(match answer {
            Some(Answer::Failed { may_have_run: reported }) if reported == *may_have_run => None,
            Some(Answer::Failed { may_have_run: true }) => Some("it failed and may have run".into()),
            _ => Some("it did not fail as expected".into()),
        }),
        Then::AnsweredWithin(limit) => without_attempt(match trace.answer {
            Some((answered_at, _)) if answered_at - trace.arrived_at <= *limit => None,
            Some((answered_at, _)) => {
                Some(format!("it was answered after {}", format_ms(answered_at - trace.arrived_at)))
            }
            None => Some("it was not answered".into()),
        }),
        Then::AttemptsAtMost(limit) => without_attempt({
            let count = trace.attempts.len();
            (count > *limit as usize).then(|| format!("it was sent {count} times"))
        }),
        Then::SentAgain(expected) => without_attempt({
            let count = |reads: bool| trace.attempts.iter().filter(|attempt| attempt.reads == reads).count();
            let sent_again = count(true) > 1 || count(false) > 1;
            (sent_again != *expected)
                .then(|| if sent_again { "it was sent again".into() } else { "it was not sent again".into() })
        }),
        Then::ReleasedWithin(limit) => {
            without_attempt(longest_unused(trace).filter(|unused| unused > limit).map(|unused| {
                format!("its read state was held for {} while no attempt waited for it", format_ms(unused))
            }))
        }
        Then::Share { .. } | Then::QuietAfterDrain(_) | Then::SendsAtMost { .. } => None,
    };
    problem.map(|(attempt, problem)| {
        (attempt, format!("{problem}; its attempts: {}", describe_request(site, trace)))
    })
}

/// Returns the longest time for which the read state of a request was held while no attempt waited for it; `None` if
/// nothing was read. Such a time ends with a release, with the next attempt, or never.
fn longest_unused(trace: &RequestTrace) -> Option<Micros> {
    let has_read = |attempt: &&Attempt| attempt.reads && attempt.outcome == Some(Outcome::Read);
    let first_read = trace.attempts.iter().find(has_read)?.ended_at?;
    let fetched = |attempt: &Attempt| !attempt.reads && attempt.outcome == Some(Outcome::Served);
    let mut longest = 0;
    for (n, attempt) in trace.attempts.iter().enumerate() {
        let Some(ended_at) = attempt.ended_at.filter(|at| *at >= first_read && !fetched(attempt)) else {
            continue;
        };
        let next = trace.attempts.get(n + 1).map(|next| next.sent_at);
        let released = trace.released_at.iter().copied().find(|released_at| *released_at >= ended_at);
        let until = next.into_iter().chain(released).min().unwrap_or(Micros::MAX);
        longest = longest.max(until - ended_at);
    }
    Some(longest)
}

/// Finds the request and the attempt that belong to a send.
fn find_attempt(record: &Record, sent_at: Micros, server: ServerId) -> (Option<usize>, Option<Attempt>) {
    let request_and_attempt = record.requests.iter().enumerate().find_map(|(n, trace)| {
        let attempt =
            trace.attempts.iter().find(|attempt| attempt.sent_at == sent_at && attempt.server == server)?;
        Some((n, *attempt))
    });
    request_and_attempt.unzip()
}

/// Returns the first observation of a simulation that contradicts a clause.
fn violation(site: &Site, clause: &Then, record: &Record) -> Option<Violation> {
    match clause {
        Then::QuietAfterDrain(grace) => record.drained.iter().find_map(|(drained_at, server)| {
            let return_times =
                record.returned.iter().filter(|(at, id)| id == server && at >= drained_at).map(|(at, _)| *at);
            let returned_at = return_times.min().unwrap_or(Micros::MAX);
            let late = |(at, to): &&(Micros, ServerId)| {
                to == server && *at > drained_at + grace && *at < returned_at
            };
            let (at, _) = record.sends.iter().find(late)?;
            let (request, attempt) = find_attempt(record, *at, *server);
            let name = server_label(site, *server);
            let why = format!(
                "{name} received an attempt {} after it was marked as draining",
                format_ms(at - drained_at)
            );
            Some(Violation { request, attempt, why })
        }),
        Then::SendsAtMost { server, max_sends, window } => {
            let times: Vec<Micros> =
                record.sends.iter().filter(|(_, to)| to == server).map(|(at, _)| *at).collect();
            let exceeded = |first: usize| {
                let count = times[first..].iter().take_while(|at| **at < times[first] + window).count();
                if count <= *max_sends as usize {
                    return None;
                }
                let (request, attempt) = find_attempt(record, times[first], *server);
                let why = format!(
                    "{} received {count} attempts within {}",
                    server_label(site, *server),
                    format_ms(*window)
                );
                Some(Violation { request, attempt, why })
            };
            (0..times.len()).find_map(exceeded)
        }
        _ => record.requests.iter().enumerate().find_map(|(n, trace)| {
            let (attempt, why) = request_violation(site, clause, trace)?;
            Some(Violation { request: Some(n), attempt, why: format!("request {}: {why}", n + 1) })
        }),
    }
}

/// Returns the choices that led to a violation. The simulation is repeated with the choices recorded.
fn responsible_choices(
    site: &Site,
    expectation: &Expectation,
    seed: u64,
    request: Option<usize>,
    attempt: Option<Attempt>,
) -> Result<Vec<ObservedChoice>, SettingsError> {
    let Some(request) = request else { return Ok(Vec::new()) };
    let record = simulate(site, expectation, seed, Observation::WithChoices)?;
    let Some(trace) = record.requests.get(request) else { return Ok(Vec::new()) };
    let last_choice = |reads: bool| {
        let concerned = attempt.is_none_or(|attempt| attempt.reads == reads);
        let before_attempt = |at: Micros| attempt.is_none_or(|attempt| at <= attempt.sent_at);
        let mut choices =
            trace.choices.iter().rev().filter(|(at, choice)| choice.reads == reads && before_attempt(*at));
        let (at, choice) = choices.next().filter(|_| concerned)?;
        Some(ObservedChoice {
            request: request + 1,
            since_arrival: at - trace.arrived_at,
            choice: choice.clone(),
        })
    };
    Ok([last_choice(true), last_choice(false)].into_iter().flatten().collect())
}

/// Counts the requests with an attempt at a role: those whose first one went to a selected server, and all of them.
fn count_first_attempts(site: &Site, role: Role, selector: ServerSelector, record: &Record) -> (u64, u64) {
    let selected: Vec<bool> = record
        .requests
        .iter()
        .filter_map(|trace| Some(first_attempt(site, role, selector, trace)?.1))
        .collect();
    (selected.iter().filter(|is_selected| **is_selected).count() as u64, selected.len() as u64)
}

/// Returns the first attempt of a request at a role, and whether it went to a selected server.
fn first_attempt(
    site: &Site,
    role: Role,
    selector: ServerSelector,
    trace: &RequestTrace,
) -> Option<(Attempt, bool)> {
    let attempt = trace.attempts.iter().find(|attempt| attempt.reads == (role == Role::Reader))?;
    Some((*attempt, selector.selects(site, attempt.server, last_reader(trace))))
}

/// The counts for a share: for each seed the requests that went to the selected servers, and all requests.
#[derive(Clone, Debug, Default)]
struct ShareCounts(Vec<(u64, u64)>);

impl ShareCounts {
    fn hits(&self) -> u64 {
        self.0.iter().map(|(hits, _)| hits).sum()
    }

    fn total(&self) -> u64 {
        self.0.iter().map(|(_, total)| total).sum()
    }

    fn share(&self) -> f64 {
        self.hits() as f64 / self.total().max(1) as f64
    }

    /// Returns the effective sample size: the number of independent requests that would give as much evidence as
    /// these. Requests of one seed depend on each other; if all of a simulation go to the same place, they give no
    /// more evidence than one. It is estimated from the variance of the shares of the seeds.
    fn effective_requests(&self) -> f64 {
        let (share, total) = (self.share(), self.total() as f64);
        let seeds = self.0.iter().filter(|(_, total)| *total > 0).count() as f64;
        if total == seeds || seeds < 2.0 {
            return seeds;
        }
        let squared_deviation = |(hits, total): &(u64, u64)| (*hits as f64 - share * *total as f64).powi(2);
        let variance =
            self.0.iter().map(squared_deviation).sum::<f64>() * seeds / (seeds - 1.0) / (total * total);
        // If all requests of all seeds agree, the variance says nothing about their dependence.
        if variance == 0.0 && (share == 0.0 || share == 1.0) {
            return seeds;
        }
        (share * (1.0 - share) / variance.max(f64::MIN_POSITIVE)).min(total)
    }

    /// Returns the confidence interval of the share.
    fn interval(&self) -> (f64, f64) {
        wilson_interval(self.share(), self.effective_requests())
    }
}

/// Returns the Wilson score interval for a share among `count` independent requests.
fn wilson_interval(share: f64, count: f64) -> (f64, f64) {
    let (n, z_squared) = (count.max(1.0), INTERVAL_Z_SCORE * INTERVAL_Z_SCORE);
    let centre = (share + z_squared / (2.0 * n)) / (1.0 + z_squared / n);
    let half_width = INTERVAL_Z_SCORE / (1.0 + z_squared / n)
        * (share * (1.0 - share) / n + z_squared / (4.0 * n * n)).sqrt();
    (centre - half_width, centre + half_width)
}

/// Simulates an expectation until its verdict is settled.
pub fn evaluate(site: &Site, expectation: &Expectation) -> Result<Verdict, SettingsError> {
    let verdict = evaluate_while(site, expectation, &|| true)?;
    Ok(verdict.unwrap_or(Verdict::Undecided { clause: 0, why: "the evaluation was cancelled".into() }))
}

/// Like [`evaluate`], but returns `None` once `go_on` returns false. It is called before each simulation.
pub fn evaluate_while(
    site: &Site,
    expectation: &Expectation,
    go_on: &dyn Fn() -> bool,
) -> Result<Option<Verdict>, SettingsError> {
    let mut records = Vec::new();
    for seed in 0..SEEDS {
        if !go_on() {
            return Ok(None);
        }
        let record = simulate(site, expectation, seed, Observation::ActionsOnly)?;
        for (clause, then) in expectation.then.iter().enumerate() {
            if let Some(Violation { request, attempt, why }) = violation(site, then, &record) {
                let choices = responsible_choices(site, expectation, seed, request, attempt)?;
                return Ok(Some(Verdict::Fails { seed, clause, why, choices }));
            }
        }
        records.push(record);
    }
    let mut seeds = SEEDS;
    for (clause, then) in expectation.then.iter().enumerate() {
        let Then::Share { role, selector, fraction, tolerance } = then else { continue };
        let (mut counts, mut check_at) = (ShareCounts::default(), FIRST_CHECK_SEEDS);
        loop {
            while (counts.0.len() as u64) < check_at {
                if !go_on() {
                    return Ok(None);
                }
                let seed = counts.0.len();
                if seed >= records.len() {
                    records.push(simulate(site, expectation, seed as u64, Observation::ActionsOnly)?);
                }
                counts.0.push(count_first_attempts(site, *role, *selector, &records[seed]));
            }
            let (low, high) = counts.interval();
            let why = || {
                let (hits, total, share) = (counts.hits(), counts.total(), counts.share());
                format!(
                    "{hits} of {total} went there: {share:.3}, confidence interval {low:.3} to {high:.3}; {fraction:.3} within {tolerance:.3} was expected"
                )
            };
            if counts.total() > 0 && low >= fraction - tolerance && high <= fraction + tolerance {
                break;
            } else if low > fraction + tolerance || high < fraction - tolerance {
                // One request that went to the wrong place serves as the example.
                let too_many = low > fraction + tolerance;
                let find_example = |(seed, record): (usize, &Record)| {
                    let traces = record.requests.iter().enumerate();
                    let first = |(n, trace)| Some((n, first_attempt(site, *role, *selector, trace)?));
                    let first_wrong =
                        traces.filter_map(first).find(|(_, (_, is_selected))| *is_selected == too_many);
                    first_wrong.map(|(n, (attempt, _))| (seed as u64, Some(n), Some(attempt)))
                };
                let example = records.iter().enumerate().find_map(find_example);
                let (seed, request, attempt) = example.unwrap_or((0, None, None));
                let choices = responsible_choices(site, expectation, seed, request, attempt)?;
                return Ok(Some(Verdict::Fails { seed, clause, why: why(), choices }));
            } else if check_at >= MAX_SEEDS || counts.total() >= MAX_REQUESTS || counts.total() == 0 {
                return Ok(Some(Verdict::Undecided { clause, why: why() }));
            }
            check_at *= 2;
        }
        let seed = counts.0.len() as u64;
        seeds = seeds.max(seed);
    }
    Ok(Some(Verdict::Holds { seeds }))
}

#[cfg(test)]
mod tests;
