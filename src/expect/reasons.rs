//! Why a choice fell as it did, for people: each candidate with its cost in parts, and why it was passed over.

use super::model::Site;
use crate::interface::*;

/// A choice that an expectation met.
#[derive(Clone, Debug, PartialEq)]
pub struct Met {
    /// The request, by its number from 1.
    pub request: usize,
    /// How long after the request had come.
    pub after: Micros,
    /// What was chosen among.
    pub choice: Choice,
}

/// How many candidates are told; the others are counted.
const TOLD: usize = 12;

/// A server as people know it.
pub fn called(site: &Site, id: ServerId) -> String {
    match site.servers.get(&id) {
        Some((name, entry)) => {
            let zone = site.zones.get(usize::from(entry.zone.0)).map_or("?", String::as_str);
            format!("{name} ({zone}, cell {})", entry.cell.0)
        }
        None => "?".into(),
    }
}

/// A time in milliseconds.
pub fn ms(at: Micros) -> String {
    format!("{:.1} ms", at as f64 / 1e3)
}

/// Why nothing may go there, in words.
pub fn ineligible(why: Ineligible) -> &'static str {
    match why {
        Ineligible::Draining => "it drains",
        Ineligible::NoWeight => "its weight is 0",
        Ineligible::MayHaveRun => "the request may have run elsewhere and must not run twice",
        Ineligible::ColdShare => "it is cold, and this request is not of the part that is for it",
        Ineligible::Role => "it does not read",
        Ineligible::Memory => "it holds more memory than the writers do on average",
        Ineligible::LastAttempt => "one attempt is left, and after a read the answer would need another",
    }
}

/// Why it is only a last resort, in words.
pub fn avoided(why: Avoided) -> &'static str {
    match why {
        Avoided::Silent => "it left a probe unanswered",
        Avoided::Ejected => "it is in doubt after failures",
        Avoided::Full => "it turned the like of this away as full",
        Avoided::Faulty => "it answers with errors",
        Avoided::FailedBefore => "an attempt of this request has failed there",
    }
}

/// A candidate's cost in parts.
fn parts(cost: &Cost) -> String {
    match *cost {
        Cost::Read { missing, load, pace, price, cost } => {
            let price =
                if price > 0.0 { format!(" + {:.1} ms for the way", price * 1e3) } else { String::new() };
            format!(
                "{:.1} ms: {missing} tokens missing, {load:.0} waiting, {pace:.0} a second{price}",
                cost * 1e3
            )
        }
        Cost::Write { in_readers_cell, memory, wait, has_capacity, own_streams } => {
            let place = if in_readers_cell { "in the reader's cell" } else { "in another cell" };
            let room = if has_capacity { "room" } else { "no room" };
            format!(
                "{place}, {room}: {:.1}% of its memory held, first token after {:.1} ms, {own_streams} own streams",
                memory * 100.0,
                wait * 1e3
            )
        }
    }
}

/// The candidates in their order: those that were ranked, then those that were passed over.
pub fn in_order(choice: &Choice) -> Vec<(Option<usize>, &Candidate)> {
    let place = |candidate: &Candidate| choice.ranked.iter().position(|id| *id == candidate.server);
    let mut all: Vec<_> = choice.candidates.iter().map(|one| (place(one), one)).collect();
    all.sort_by_key(|(place, one)| (place.unwrap_or(usize::MAX), one.server));
    all
}

/// A choice in lines.
pub fn lines(site: &Site, met: &Met) -> Vec<String> {
    let role = if met.choice.reads { "reader" } else { "writer" };
    let mut lines =
        vec![format!("the choice of a {role} for request {}, after {}:", met.request, ms(met.after))];
    let all = in_order(&met.choice);
    if all.is_empty() {
        lines.push(format!("   -  there is no {role} to choose"));
    }
    for (place, one) in all.iter().take(TOLD) {
        let place = place.map_or("-".into(), |place| (place + 1).to_string());
        let weight = site.servers.get(&one.server).map_or(1.0, |(_, entry)| entry.weight);
        let note = match (one.ineligible, one.avoided) {
            (Some(why), _) => format!("; passed over: {}", ineligible(why)),
            (None, Some(why)) => format!("; last resort: {}", avoided(why)),
            (None, None) if one.tier > 0 && met.choice.reads => "; no place of this session or prefix".into(),
            (None, None) => String::new(),
        };
        lines.push(format!(
            "  {place:>2}  {}, weight {weight}: {}{note}",
            called(site, one.server),
            parts(&one.cost)
        ));
    }
    if all.len() > TOLD {
        lines.push(format!("      and {} more", all.len() - TOLD));
    }
    lines
}
