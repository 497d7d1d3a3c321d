//! Compares two versions of a site: which verdicts differ, which of the changes are responsible, and how the
//! distribution of requests over data centres shifts.

use super::judge::{Verdict, evaluate};
use super::model::*;
use super::world::{Observation, simulate};
use crate::interface::*;

/// Number of seeds over which requests are counted.
const FLOW_SEEDS: u64 = 10;
/// Number of requests per seed for each class and data centre.
const FLOW_REQUESTS: u32 = 40;

/// One of the changes between the old and the new site, such as one server's or one setting's.
#[derive(Clone, Debug)]
pub struct SiteChange {
    /// The change in words, with its place in the files.
    pub description: String,
    /// The old site with this change alone.
    pub alone: Site,
    /// The new site without this change.
    pub without: Site,
}

/// Returns true if two verdicts are the same variant; their details may differ.
pub fn same_outcome(first: &Verdict, second: &Verdict) -> bool {
    std::mem::discriminant(first) == std::mem::discriminant(second)
}

/// Returns the changes that are responsible for a changed verdict: those that change it on their own or, if there
/// are none, those without which it would not have changed. If there are none of these either, several changes act
/// together and the result is empty.
pub fn responsible_changes<'a>(
    expectation: &Expectation,
    before: &Verdict,
    changes: &'a [SiteChange],
) -> Result<Vec<&'a SiteChange>, SettingsError> {
    let mut responsible = Vec::new();
    for change in changes {
        if !same_outcome(&evaluate(&change.alone, expectation)?, before) {
            responsible.push(change);
        }
    }
    if responsible.is_empty() {
        for change in changes {
            if same_outcome(&evaluate(&change.without, expectation)?, before) {
                responsible.push(change);
            }
        }
    }
    Ok(responsible)
}

/// How the requests of a class from a data centre are distributed.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// The class.
    pub class: ClassId,
    /// The data centre of the conductor.
    pub conductor_zone: ZoneId,
    /// The fraction of the reads that each data centre receives, indexed by [`ZoneId`].
    pub read_fractions: Vec<f64>,
    /// The fraction of the writes that each data centre receives, indexed by [`ZoneId`].
    pub write_fractions: Vec<f64>,
}

/// Simulates the same number of requests, with prompts of 1,000 tokens, for each class and data centre, and returns
/// how they are distributed.
pub fn flows(site: &Site) -> Result<Vec<Flow>, SettingsError> {
    let mut all_flows = Vec::new();
    for class in 0..site.classes.len() as u16 {
        for conductor_zone in 0..site.zones.len() as u16 {
            all_flows.push(flow(site, ClassId(class), ZoneId(conductor_zone))?);
        }
    }
    Ok(all_flows)
}

fn flow(site: &Site, class: ClassId, conductor_zone: ZoneId) -> Result<Flow, SettingsError> {
    let deadline = site.settings.classes.get(usize::from(class.0)).map_or(0, |class| class.deadline);
    let request = Request { class, prompt_tokens: 1_000, max_tokens: 200, ..Request::plain() };
    let step = Step::Requests { request, count: FLOW_REQUESTS, interval: 50_000, time_left: deadline };
    let given = Given { zone: Some(conductor_zone), ..Given::default() };
    let expectation = Expectation { name: String::new(), given, when: vec![step], then: Vec::new() };
    let mut counts = [vec![0u64; site.zones.len()], vec![0u64; site.zones.len()]];
    for seed in 0..FLOW_SEEDS {
        let record = simulate(site, &expectation, seed, Observation::ActionsOnly)?;
        for attempt in record.requests.iter().flat_map(|trace| &trace.attempts) {
            let zone = site.servers.get(&attempt.server).map(|(_, entry)| usize::from(entry.zone.0));
            if let Some(count) = zone.and_then(|zone| counts[usize::from(!attempt.reads)].get_mut(zone)) {
                *count += 1;
            }
        }
    }
    let fractions = |counts: &[u64]| {
        let total = counts.iter().sum::<u64>().max(1) as f64;
        counts.iter().map(|count| *count as f64 / total).collect()
    };
    Ok(Flow {
        class,
        conductor_zone,
        read_fractions: fractions(&counts[0]),
        write_fractions: fractions(&counts[1]),
    })
}
