//! Explains a choice in words: each candidate with the components of its cost and, where it applies, the reason why
//! it was passed over.

use super::model::Site;
use crate::interface::*;

/// A choice that a simulation recorded.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedChoice {
    /// The number of the request, counted from 1.
    pub request: usize,
    /// Time from the arrival of the request until the choice.
    pub since_arrival: Micros,
    /// The choice with its candidates.
    pub choice: Choice,
}

/// Number of candidates that are listed. Of the others only the number is given.
const MAX_LISTED_CANDIDATES: usize = 12;

/// Returns a server's name with its zone and cell.
pub fn server_label(site: &Site, id: ServerId) -> String {
    match site.servers.get(&id) {
        Some((name, entry)) => {
            let zone = site.zones.get(usize::from(entry.zone.0)).map_or("?", String::as_str);
            format!("{name} ({zone}, cell {})", entry.cell.0)
        }
        None => "?".into(),
    }
}

/// Formats a time in milliseconds.
pub fn format_ms(time: Micros) -> String {
    format!("{:.1} ms", time as f64 / 1e3)
}

/// Returns in words why a candidate must not be chosen.
pub fn ineligible_reason(reason: Ineligible) -> &'static str {
    match reason {
        Ineligible::Draining => "it drains",
        Ineligible::NoWeight => "its weight is 0",
        Ineligible::MayHaveRun => "the request may have run elsewhere and must not run twice",
        Ineligible::ColdShare => "it is cold, and this request is not in the fraction that it may receive",
        Ineligible::Role => "it is not a reader",
        Ineligible::Memory => "it uses more memory than the writers do on average",
        Ineligible::LastAttempt => "only one attempt is left, and after a read the answer would need another",
    }
}

/// Returns in words why a candidate is chosen only if there is no other.
pub fn avoided_reason(reason: Avoided) -> &'static str {
    match reason {
        Avoided::Silent => "it left a probe unanswered",
        Avoided::Ejected => "it is ejected after failures",
        Avoided::Full => "it rejected a similar request as full",
        Avoided::Faulty => "it answers with errors",
        Avoided::FailedBefore => "an attempt of this request has failed there",
    }
}

/// Describes the components of a candidate's cost.
fn describe_cost(cost: &Cost) -> String {
    match *cost {
        Cost::Read { missing, load, pace, price, cost } => {
            let price = if price > 0.0 {
                format!(" + {:.1} ms for the other zone", price * 1e3)
            } else {
                String::new()
            };
            format!(
                "{:.1} ms: {missing} tokens missing, {load:.0} waiting, {pace:.0} a second{price}",
                cost * 1e3
            )
        }
        Cost::Write { in_readers_cell, memory, wait, has_capacity, own_streams } => {
            let cell = if in_readers_cell { "in the reader's cell" } else { "in another cell" };
            let capacity = if has_capacity { "free capacity" } else { "no free capacity" };
            format!(
                "{cell}, {capacity}: {:.1}% of its memory used, first token after {:.1} ms, {own_streams} own streams",
                memory * 100.0,
                wait * 1e3
            )
        }
    }
}

/// Returns the candidates with their ranks: first those that were ranked, in order, then those that were passed over.
pub fn ordered_candidates(choice: &Choice) -> Vec<(Option<usize>, &Candidate)> {
    let rank = |candidate: &Candidate| choice.ranked.iter().position(|id| *id == candidate.server);
    let mut all: Vec<_> = choice.candidates.iter().map(|candidate| (rank(candidate), candidate)).collect();
    all.sort_by_key(|(rank, candidate)| (rank.unwrap_or(usize::MAX), candidate.server));
    all
}

/// Explains a choice in lines of text.
pub fn choice_lines(site: &Site, observed: &ObservedChoice) -> Vec<String> {
    let role = if observed.choice.reads { "reader" } else { "writer" };
    let mut lines = vec![format!(
        "the choice of a {role} for request {}, after {}:",
        observed.request,
        format_ms(observed.since_arrival)
    )];
    let all = ordered_candidates(&observed.choice);
    if all.is_empty() {
        lines.push(format!("   -  there is no {role} to choose"));
    }
    for (rank, candidate) in all.iter().take(MAX_LISTED_CANDIDATES) {
        let rank = rank.map_or("-".into(), |rank| (rank + 1).to_string());
        let weight = site.servers.get(&candidate.server).map_or(1.0, |(_, entry)| entry.weight);
        let note = match (candidate.ineligible, candidate.avoided) {
            (Some(reason), _) => format!("; passed over: {}", ineligible_reason(reason)),
            (None, Some(reason)) => format!("; used only if there is no other: {}", avoided_reason(reason)),
            (None, None) if candidate.tier > 0 && observed.choice.reads => {
                "; not preferred for this session or prefix".into()
            }
            (None, None) => String::new(),
        };
        lines.push(format!(
            "  {rank:>2}  {}, weight {weight}: {}{note}",
            server_label(site, candidate.server),
            describe_cost(&candidate.cost)
        ));
    }
    if all.len() > MAX_LISTED_CANDIDATES {
        lines.push(format!("      and {} more", all.len() - MAX_LISTED_CANDIDATES));
    }
    lines
}
