//! What a change of the site does: which verdicts it changes and by which of its parts, and where requests move.

use super::judge::{Verdict, judge};
use super::model::*;
use super::world::{Observation, play};
use crate::interface::*;

/// Seeds over which shares are counted.
const SEEDS: u64 = 10;
/// Requests of each class and data centre a seed.
const REQUESTS: u32 = 40;

/// One part of a change.
#[derive(Clone, Debug)]
pub struct Part {
    /// What it is, with its place.
    pub what: String,
    /// The old site with this part alone.
    pub alone: Site,
    /// The new site without it.
    pub without: Site,
}

/// Whether two verdicts are of one kind.
pub fn alike(one: &Verdict, other: &Verdict) -> bool {
    std::mem::discriminant(one) == std::mem::discriminant(other)
}

/// The parts by which a verdict changed. Those that change it alone come first; where none does, those without
/// which it would not have changed; where none is needed either, several do it together and none is named.
pub fn blame<'a>(
    expectation: &Expectation,
    before: &Verdict,
    parts: &'a [Part],
) -> Result<Vec<&'a Part>, SettingsError> {
    let mut found = Vec::new();
    for part in parts {
        if !alike(&judge(&part.alone, expectation)?, before) {
            found.push(part);
        }
    }
    if found.is_empty() {
        for part in parts {
            if alike(&judge(&part.without, expectation)?, before) {
                found.push(part);
            }
        }
    }
    Ok(found)
}

/// Where the requests of a class from a data centre go.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// The class, by its number.
    pub class: ClassId,
    /// Where the conductor stands that asks.
    pub from: ZoneId,
    /// The part of its reads that each data centre gets, by its number.
    pub read_in: Vec<f64>,
    /// The part of its writes that each data centre gets.
    pub written_in: Vec<f64>,
}

/// The flows of a site: sessions of 1,000 tokens, as many of each class from each data centre.
pub fn flows(site: &Site) -> Result<Vec<Flow>, SettingsError> {
    let mut all = Vec::new();
    for class in 0..site.classes.len() as u16 {
        for from in 0..site.zones.len() as u16 {
            all.push(flow(site, ClassId(class), ZoneId(from))?);
        }
    }
    Ok(all)
}

fn flow(site: &Site, class: ClassId, from: ZoneId) -> Result<Flow, SettingsError> {
    let deadline = site.settings.classes.get(usize::from(class.0)).map_or(0, |class| class.deadline);
    let request = Request { class, prompt_tokens: 1_000, max_tokens: 200, ..Request::plain() };
    let step = Step::Requests { request, count: REQUESTS, every: 50_000, time_left: deadline };
    let given = Given { zone: Some(from), ..Given::default() };
    let expectation = Expectation { name: String::new(), given, when: vec![step], then: Vec::new() };
    let mut counts = [vec![0u64; site.zones.len()], vec![0u64; site.zones.len()]];
    for seed in 0..SEEDS {
        let record = play(site, &expectation, seed, Observation::AtDeeds)?;
        for sent in record.stories.iter().flat_map(|story| &story.sent) {
            let zone = site.servers.get(&sent.server).map(|(_, entry)| usize::from(entry.zone.0));
            if let Some(count) = zone.and_then(|zone| counts[usize::from(!sent.reads)].get_mut(zone)) {
                *count += 1;
            }
        }
    }
    let parts = |counts: &[u64]| {
        let all = counts.iter().sum::<u64>().max(1) as f64;
        counts.iter().map(|count| *count as f64 / all).collect()
    };
    Ok(Flow { class, from, read_in: parts(&counts[0]), written_in: parts(&counts[1]) })
}
