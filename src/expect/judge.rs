//! Does an expectation hold? Decisions draw lots, so it is played for many seeds, in their order: what has to
//! hold always is played for a fixed number of them, a share until its interval settles it.

use super::model::*;
use super::reasons::{Met, called, ms};
use super::world::{Answer, Observation, Record, Sent, Story, play};
use crate::interface::*;

/// Seeds for which what must always hold is played.
pub const SEEDS: u64 = 20;
/// A share is looked at after this many seeds, and after twice as many each time.
const FIRST_LOOK: u64 = 20;
/// Seeds after which a share that its interval does not settle stays undecided: the seventh look.
const MOST_SEEDS: u64 = 1_280;
/// Requests in all after which the same holds.
const MOST_REQUESTS: u64 = 100_000;
/// Half the width of the interval in standard deviations: each of seven looks errs once in 7,000 times, so that all
/// together err once in a thousand.
const Z: f64 = 3.8;

/// What came of an expectation.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It holds.
    Holds {
        /// Plays.
        seeds: u64,
    },
    /// It fails.
    Fails {
        /// The first seed that shows it.
        seed: u64,
        /// Which of what has to come of it, by its place in the expectation.
        clause: usize,
        /// What was met.
        why: String,
        /// The choices that led to it.
        choices: Vec<Met>,
    },
    /// A share was not settled.
    Undecided {
        /// Which.
        clause: usize,
        /// What was met.
        why: String,
    },
}

impl Which {
    fn fits(self, site: &Site, server: ServerId, reader: Option<ServerId>) -> bool {
        let entry = |id: ServerId| site.servers.get(&id).map(|(_, entry)| entry);
        let Some(found) = entry(server) else { return false };
        match self {
            Which::Server(id) => server == id,
            Which::Zone(zone) => found.zone == zone,
            Which::Cell(cell) => found.cell == cell,
            Which::Kind(kind) => found.kind == kind,
            Which::CellOfReader => reader.and_then(entry).is_some_and(|reader| reader.cell == found.cell),
        }
    }
}

/// What does not meet a clause.
struct Objection {
    /// The request that shows it, by its number from 0.
    request: Option<usize>,
    /// The attempt that is wrong, if it is one.
    sent: Option<Sent>,
    /// In words.
    why: String,
}

/// The whole way of a request, in words.
pub fn way(site: &Site, story: &Story) -> String {
    let sent = |sent: &Sent| {
        let what = if sent.reads { "read at" } else { "written at" };
        let outcome = sent.outcome.map_or("still out".into(), |outcome| format!("{outcome:?}"));
        format!("{what} {} after {}: {outcome}", called(site, sent.server), ms(sent.at - story.came))
    };
    let mut parts: Vec<String> = story.sent.iter().map(sent).collect();
    parts.push(match story.answer {
        Some((at, answer)) => format!("{answer:?} after {}", ms(at - story.came)),
        None => "no answer".into(),
    });
    parts.join("; ")
}

fn last_read(story: &Story) -> Option<ServerId> {
    story.sent.iter().rev().find(|sent| sent.reads).map(|sent| sent.server)
}

/// Why a request does not meet a clause, with the attempt that is wrong; none if it does, or the clause does not
/// speak of one request.
fn objection(site: &Site, clause: &Then, story: &Story) -> Option<(Option<Sent>, String)> {
    let reader = last_read(story);
    let wrong = |sent: &Sent| (Some(*sent), format!("it went to {}", called(site, sent.server)));
    let at_role = |which: Which, reads: bool| {
        let mut sent = story.sent.iter().filter(|sent| sent.reads == reads).peekable();
        match sent.peek() {
            None => Some((None, "it went nowhere".into())),
            Some(_) => sent.find(|sent| !which.fits(site, sent.server, reader)).map(wrong),
        }
    };
    let plain = |problem: Option<String>| problem.map(|problem| (None, problem));
    let answer = story.answer.map(|(_, answer)| answer);
    let problem = match clause {
        Then::Reader(which) => at_role(*which, true),
        Then::Writer(which) => at_role(*which, false),
        Then::Never(which) => story.sent.iter().find(|sent| which.fits(site, sent.server, reader)).map(wrong),
        Then::Served(served) => plain({
            let is = answer == Some(Answer::Served);
            (is != *served).then(|| if is { "it was served".into() } else { "it was not served".into() })
        }),
        Then::Refused { retry_within } => plain(match answer {
            Some(Answer::Refused(after)) => {
                let late = retry_within.filter(|most| after.is_none_or(|after| after > *most));
                late.map(|_| format!("it was told to come back after {}", after.map_or("?".into(), ms)))
            }
            _ => Some("it was not refused".into()),
        }),
        Then::Failed { may_have_run } => plain(match answer {
            Some(Answer::Failed { may_have_run: told }) if told == *may_have_run => None,
            Some(Answer::Failed { may_have_run: true }) => Some("it may have run".into()),
            _ => Some("it did not fail so".into()),
        }),
        Then::AnsweredWithin(most) => plain(match story.answer {
            Some((at, _)) if at - story.came <= *most => None,
            Some((at, _)) => Some(format!("it was answered after {}", ms(at - story.came))),
            None => Some("it was not answered".into()),
        }),
        Then::AttemptsAtMost(most) => plain({
            let count = story.sent.len();
            (count > *most as usize).then(|| format!("it was sent {count} times"))
        }),
        Then::SentAgain(again) => plain({
            let times = |reads: bool| story.sent.iter().filter(|sent| sent.reads == reads).count();
            let is = times(true) > 1 || times(false) > 1;
            (is != *again)
                .then(|| if is { "it was sent again".into() } else { "it was not sent again".into() })
        }),
        Then::ReleasedWithin(most) => plain(bare(story).filter(|bare| bare > most).map(|bare| {
            format!("what was read for it was held for {} while no attempt waited for it", ms(bare))
        })),
        Then::Share { .. } | Then::QuietAfterDrain(_) | Then::AtMostIn { .. } => None,
    };
    problem.map(|(sent, problem)| (sent, format!("{problem}; its way: {}", way(site, story))))
}

/// The longest time for which a state that was read lay without an attempt that waits for it; none if nothing was
/// read. It ends with a call to let go, with the next attempt, or never.
fn bare(story: &Story) -> Option<Micros> {
    let read = |sent: &&Sent| sent.reads && sent.outcome == Some(Outcome::Read);
    let first = story.sent.iter().find(read)?.ended?;
    let fetched = |sent: &Sent| !sent.reads && sent.outcome == Some(Outcome::Served);
    let mut longest = 0;
    for (n, sent) in story.sent.iter().enumerate() {
        let Some(ended) = sent.ended.filter(|ended| *ended >= first && !fetched(sent)) else { continue };
        let next = story.sent.get(n + 1).map(|next| next.at);
        let released = story.released.iter().copied().find(|at| *at >= ended);
        let until = next.into_iter().chain(released).min().unwrap_or(Micros::MAX);
        longest = longest.max(until - ended);
    }
    Some(longest)
}

/// The request to which an attempt belongs.
fn whose(record: &Record, at: Micros, server: ServerId) -> (Option<usize>, Option<Sent>) {
    let found = record.stories.iter().enumerate().find_map(|(n, story)| {
        let sent = story.sent.iter().find(|sent| sent.at == at && sent.server == server)?;
        Some((n, *sent))
    });
    found.unzip()
}

/// Why a whole play does not meet a clause.
fn objection_to_all(site: &Site, clause: &Then, record: &Record) -> Option<Objection> {
    match clause {
        Then::QuietAfterDrain(grace) => record.drained.iter().find_map(|(told, server)| {
            let back =
                record.returned.iter().filter(|(at, id)| id == server && at >= told).map(|(at, _)| *at);
            let back = back.min().unwrap_or(Micros::MAX);
            let late = |(at, to): &&(Micros, ServerId)| to == server && *at > told + grace && *at < back;
            let (at, _) = record.sends.iter().find(late)?;
            let (request, sent) = whose(record, *at, *server);
            let name = called(site, *server);
            let why = format!("{name} got something {} after it was told to drain", ms(at - told));
            Some(Objection { request, sent, why })
        }),
        Then::AtMostIn { server, most, window } => {
            let times: Vec<Micros> =
                record.sends.iter().filter(|(_, to)| to == server).map(|(at, _)| *at).collect();
            let crowded = |from: usize| {
                let inside = times[from..].iter().take_while(|at| **at < times[from] + window).count();
                if inside <= *most as usize {
                    return None;
                }
                let (request, sent) = whose(record, times[from], *server);
                let why = format!("{} got {inside} within {}", called(site, *server), ms(*window));
                Some(Objection { request, sent, why })
            };
            (0..times.len()).find_map(crowded)
        }
        _ => record.stories.iter().enumerate().find_map(|(n, story)| {
            let (sent, why) = objection(site, clause, story)?;
            Some(Objection { request: Some(n), sent, why: format!("request {}: {why}", n + 1) })
        }),
    }
}

/// The choices that led to what was met: the play is played once more, observed.
fn choices(
    site: &Site,
    expectation: &Expectation,
    seed: u64,
    request: Option<usize>,
    sent: Option<Sent>,
) -> Result<Vec<Met>, SettingsError> {
    let Some(request) = request else { return Ok(Vec::new()) };
    let record = play(site, expectation, seed, Observation::AtEachChoice)?;
    let Some(story) = record.stories.get(request) else { return Ok(Vec::new()) };
    let last = |reads: bool| {
        let wanted = sent.is_none_or(|sent| sent.reads == reads);
        let before = |at: Micros| sent.is_none_or(|sent| at <= sent.at);
        let mut found =
            story.choices.iter().rev().filter(|(at, choice)| choice.reads == reads && before(*at));
        let (at, choice) = found.next().filter(|_| wanted)?;
        Some(Met { request: request + 1, after: at - story.came, choice: choice.clone() })
    };
    Ok([last(true), last(false)].into_iter().flatten().collect())
}

/// How many of the requests that reached a role went somewhere first, and how many reached it.
fn count(site: &Site, role: Role, which: Which, record: &Record) -> (u64, u64) {
    let firsts: Vec<bool> =
        record.stories.iter().filter_map(|story| Some(first(site, role, which, story)?.1)).collect();
    (firsts.iter().filter(|fits| **fits).count() as u64, firsts.len() as u64)
}

/// The first attempt of a request at a role, and whether it went there.
fn first(site: &Site, role: Role, which: Which, story: &Story) -> Option<(Sent, bool)> {
    let sent = story.sent.iter().find(|sent| sent.reads == (role == Role::Reader))?;
    Some((*sent, which.fits(site, sent.server, last_read(story))))
}

/// What was counted for a share: hits and requests, seed by seed.
#[derive(Clone, Debug, Default)]
struct Counted(Vec<(u64, u64)>);

impl Counted {
    fn hits(&self) -> u64 {
        self.0.iter().map(|(hits, _)| hits).sum()
    }

    fn of(&self) -> u64 {
        self.0.iter().map(|(_, of)| of).sum()
    }

    fn share(&self) -> f64 {
        self.hits() as f64 / self.of().max(1) as f64
    }

    /// How many independent requests tell as much as these. Those of one seed depend on each other: where all of a
    /// play go the same way, it tells no more than one request would. By the spread of the seeds' shares.
    fn independent(&self) -> f64 {
        let (share, of) = (self.share(), self.of() as f64);
        let seeds = self.0.iter().filter(|(_, of)| *of > 0).count() as f64;
        if of == seeds || seeds < 2.0 {
            return seeds;
        }
        let off = |(hits, of): &(u64, u64)| (*hits as f64 - share * *of as f64).powi(2);
        let variance = self.0.iter().map(off).sum::<f64>() * seeds / (seeds - 1.0) / (of * of);
        // Where all went one way there is no spread to go by.
        if variance == 0.0 && (share == 0.0 || share == 1.0) {
            return seeds;
        }
        (share * (1.0 - share) / variance.max(f64::MIN_POSITIVE)).min(of)
    }

    /// The interval in which the share surely lies.
    fn interval(&self) -> (f64, f64) {
        interval(self.share(), self.independent())
    }
}

/// The interval by Wilson for a share of so many independent requests.
fn interval(share: f64, of: f64) -> (f64, f64) {
    let (n, square) = (of.max(1.0), Z * Z);
    let middle = (share + square / (2.0 * n)) / (1.0 + square / n);
    let half = Z / (1.0 + square / n) * (share * (1.0 - share) / n + square / (4.0 * n * n)).sqrt();
    (middle - half, middle + half)
}

/// Plays an expectation until it is settled.
pub fn judge(site: &Site, expectation: &Expectation) -> Result<Verdict, SettingsError> {
    let verdict = judge_while(site, expectation, &|| true)?;
    Ok(verdict.unwrap_or(Verdict::Undecided { clause: 0, why: "it was broken off".into() }))
}

/// The same, broken off without a verdict once `go_on` says no; it is asked before each play.
pub fn judge_while(
    site: &Site,
    expectation: &Expectation,
    go_on: &dyn Fn() -> bool,
) -> Result<Option<Verdict>, SettingsError> {
    let mut records = Vec::new();
    for seed in 0..SEEDS {
        if !go_on() {
            return Ok(None);
        }
        let record = play(site, expectation, seed, Observation::AtDeeds)?;
        for (clause, then) in expectation.then.iter().enumerate() {
            if let Some(Objection { request, sent, why }) = objection_to_all(site, then, &record) {
                let choices = choices(site, expectation, seed, request, sent)?;
                return Ok(Some(Verdict::Fails { seed, clause, why, choices }));
            }
        }
        records.push(record);
    }
    let mut seeds = SEEDS;
    for (clause, then) in expectation.then.iter().enumerate() {
        let Then::Share { role, which, part, tolerance } = then else { continue };
        let (mut counted, mut look) = (Counted::default(), FIRST_LOOK);
        loop {
            while (counted.0.len() as u64) < look {
                if !go_on() {
                    return Ok(None);
                }
                let seed = counted.0.len();
                if seed >= records.len() {
                    records.push(play(site, expectation, seed as u64, Observation::AtDeeds)?);
                }
                counted.0.push(count(site, *role, *which, &records[seed]));
            }
            let (least, most) = counted.interval();
            let why = || {
                let (hits, of, share) = (counted.hits(), counted.of(), counted.share());
                format!(
                    "{hits} of {of} went there: {share:.3}, surely {least:.3} to {most:.3}; {part:.3} within {tolerance:.3} was expected"
                )
            };
            if counted.of() > 0 && least >= part - tolerance && most <= part + tolerance {
                break;
            } else if least > part + tolerance || most < part - tolerance {
                // One that went the wrong way stands for all of them.
                let above = least > part + tolerance;
                let wrong = |(seed, record): (usize, &Record)| {
                    let stories = record.stories.iter().enumerate();
                    let first = |(n, story)| Some((n, first(site, *role, *which, story)?));
                    let found = stories.filter_map(first).find(|(_, (_, fits))| *fits == above);
                    found.map(|(n, (sent, _))| (seed as u64, Some(n), Some(sent)))
                };
                let example = records.iter().enumerate().find_map(wrong);
                let (seed, request, sent) = example.unwrap_or((0, None, None));
                let choices = choices(site, expectation, seed, request, sent)?;
                return Ok(Some(Verdict::Fails { seed, clause, why: why(), choices }));
            } else if look >= MOST_SEEDS || counted.of() >= MOST_REQUESTS || counted.of() == 0 {
                return Ok(Some(Verdict::Undecided { clause, why: why() }));
            }
            look *= 2;
        }
        let seed = counted.0.len() as u64;
        seeds = seeds.max(seed);
    }
    Ok(Some(Verdict::Holds { seeds }))
}

#[cfg(test)]
mod tests;
