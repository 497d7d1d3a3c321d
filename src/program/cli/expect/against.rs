//! `birchspur expect --against`: what a change does to the verdicts, by which of its lines, and to the flows.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use super::site::Read;
use super::tried::{self, Document};
use crate::documents::read::Source;
use crate::expect::compare::{Flow, SiteChange, flows, responsible_changes, same_outcome};
use crate::expect::{self, Site};
use crate::interface::{ServerEntry, ServerId, ServerState, SettingsError};
use crate::program::cli::print;

/// A share that moves by less is not told.
const TOLD: f64 = 0.02;

/// The leaves of a JSON value by their paths.
fn leaves(value: &Value, path: String, all: &mut BTreeMap<String, Value>) {
    let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(map) => map.iter().for_each(|(name, value)| leaves(value, below(name), all)),
        Value::Array(list) => {
            list.iter().enumerate().for_each(|(n, value)| leaves(value, format!("{path}[{n}]"), all));
        }
        leaf => drop(all.insert(path, leaf.clone())),
    }
}

/// The path of a leaf as `serde_json` wants it.
fn pointer(path: &str) -> String {
    let steps = path.replace('[', ".").replace(']', "");
    steps.split('.').map(|step| format!("/{step}")).collect()
}

fn set(value: &Value, path: &str, leaf: Option<&Value>) -> Option<Value> {
    let mut value = value.clone();
    *value.pointer_mut(&pointer(path))? = leaf?.clone();
    Some(value)
}

/// The line of a leaf: where the last name of its path stands for the time that its place in the path says.
fn line(source: &Source, path: &str) -> Option<usize> {
    let mut from = 0;
    for step in path.split('.') {
        let (name, index) =
            step.split_once('[').map_or((step, None), |(name, rest)| (name, rest.strip_suffix(']')));
        from += source.text.get(from..)?.find(&format!("\"{name}\""))?;
        if let Some(index) = index.and_then(|index| index.parse::<usize>().ok()) {
            from += source.text.get(from..)?.find('[')?;
            let opens = |c: char| c == '{';
            let objects = source.text.get(from..)?.match_indices(opens).map(|(at, _)| at);
            from += { objects }.nth(index).unwrap_or(0);
        }
    }
    Some(source.place(from, 0).line as usize)
}

fn shown(entry: &ServerEntry, site: &Site) -> [(&'static str, String); 5] {
    let name = |names: &[String], at: u16| names.get(usize::from(at)).cloned().unwrap_or_default();
    let state = match entry.state {
        ServerState::Ready => "in-service",
        ServerState::Draining => "draining",
        ServerState::Gone => "gone",
    };
    [
        ("weight", entry.weight.to_string()),
        ("kind", name(&site.kinds, entry.kind.0)),
        ("cell", entry.cell.0.to_string()),
        ("zone", name(&site.zones, entry.zone.0)),
        ("state", state.to_string()),
    ]
}

/// A server's change in words, at its place.
fn server_change(id: ServerId, old: &Read, new: &Read) -> String {
    let (before, after) = (old.site.servers.get(&id), new.site.servers.get(&id));
    let name = before.or(after).map_or("?", |(name, _)| name);
    let place =
        new.places.get(&id).or(old.places.get(&id)).map_or(String::new(), |place| format!("{place}: "));
    match (before, after) {
        (Some((_, before)), Some((_, after))) => {
            let (a, b) = (shown(before, &old.site), shown(after, &new.site));
            let changes = a.iter().zip(&b).filter(|(a, b)| a.1 != b.1);
            let changes: Vec<_> = changes.map(|(a, b)| format!("{} {} -> {}", a.0, a.1, b.1)).collect();
            format!("{place}{name}: {}", changes.join(", "))
        }
        (None, _) => format!("{place}{name} joins"),
        (_, None) => format!("{place}{name} leaves"),
    }
}

/// The parts of a change: each server and each figure of the settings.
fn parts(old: &Read, new: &Read) -> Vec<SiteChange> {
    let mut parts = Vec::new();
    let ids: BTreeSet<ServerId> = old.site.servers.keys().chain(new.site.servers.keys()).copied().collect();
    for id in ids {
        let (before, after) = (old.site.servers.get(&id), new.site.servers.get(&id));
        if before == after {
            continue;
        }
        let with = |site: &Site, entry: Option<&(String, ServerEntry)>| {
            let mut site = site.clone();
            site.servers.remove(&id);
            site.servers.extend(entry.map(|entry| (id, entry.clone())));
            site
        };
        let (alone, without) = (with(&old.site, after), with(&new.site, before));
        parts.push(SiteChange { description: server_change(id, old, new), alone, without });
    }
    let (mut before, mut after) = (BTreeMap::new(), BTreeMap::new());
    leaves(&old.value, String::new(), &mut before);
    leaves(&new.value, String::new(), &mut after);
    for (path, leaf) in after.iter().filter(|(path, leaf)| before.get(*path) != Some(leaf)) {
        let alone = set(&old.value, path, Some(leaf)).and_then(|value| old.with_config(&value));
        let without = set(&new.value, path, before.get(path)).and_then(|value| new.with_config(&value));
        // What can't stand alone, as a list that has grown, is told by the verdicts only.
        let (Some(alone), Some(without)) = (alone, without) else { continue };
        let at = line(&new.config, path).map_or(String::new(), |line| format!(":{line}"));
        let was = before.get(path).map_or("nothing".into(), Value::to_string);
        parts.push(SiteChange {
            description: format!("{}{at}: {path} {was} -> {leaf}", new.config.name),
            alone,
            without,
        });
    }
    parts
}

fn verdict_name(verdict: &expect::Verdict) -> &'static str {
    match verdict {
        expect::Verdict::Holds { .. } => "holds",
        expect::Verdict::Fails { .. } => "FAILS",
        expect::Verdict::Undecided { .. } => "undecided",
    }
}

/// How a part of the flows moves, if by enough to be told.
fn moves(zones: &[String], before: &[f64], after: &[f64]) -> Option<String> {
    if before.iter().zip(after).all(|(a, b)| (a - b).abs() < TOLD) {
        return None;
    }
    let parts = zones.iter().zip(before.iter().zip(after));
    let parts: Vec<_> =
        parts.map(|(zone, (a, b))| format!("{zone} {:.0}% -> {:.0}%", a * 100.0, b * 100.0)).collect();
    Some(parts.join(", "))
}

fn tell_flows(site: &Site, before: &[Flow], after: &[Flow]) {
    let mut any = false;
    for (a, b) in before.iter().zip(after) {
        let class = site.classes.get(usize::from(a.class.0)).map_or("?", String::as_str);
        let from = site.zones.get(usize::from(a.conductor_zone.0)).map_or("?", String::as_str);
        for (what, a, b) in [
            ("read", &a.read_fractions, &b.read_fractions),
            ("written", &a.write_fractions, &b.write_fractions),
        ] {
            if let Some(moves) = moves(&site.zones, a, b) {
                any = true;
                print(&format!("  {class} from {from}, {what} in: {moves}\n"));
            }
        }
    }
    if !any {
        print("  no share of a class and data centre moves by 2% or more\n");
    }
}

/// Tells what has changed between two sites. `old` holds the documents as the old site reads them.
pub(super) fn tell(
    old: (&Read, &[Document]),
    new: (&Read, &[Document]),
    verdicts: &[expect::Verdict],
    threads: usize,
) -> Result<(), SettingsError> {
    let parts = parts(old.0, new.0);
    print(&format!("\n{} changes against the old configuration\n", parts.len()));
    parts.iter().for_each(|part| print(&format!("  {}\n", part.description)));
    let before = tried::all(old.1);
    let verdicts_before = tried::judge(&old.0.site, &before, threads)?;
    print("\nverdicts that changed\n");
    let mut changed = 0;
    for (one, verdict) in tried::all(new.1).iter().zip(verdicts) {
        let name = &one.expectation.name;
        let Some(at) = before.iter().position(|other| other.expectation.name == *name) else { continue };
        let was = &verdicts_before[at];
        if same_outcome(was, verdict) {
            continue;
        }
        changed += 1;
        print(&format!("  {} -> {}: {name}\n", verdict_name(was), verdict_name(verdict)));
        let blamed = responsible_changes(&one.expectation, was, &parts)?;
        match blamed[..] {
            [] => print("      by several changes together\n"),
            _ => blamed.iter().for_each(|part| print(&format!("      by {}\n", part.description))),
        }
    }
    if changed == 0 {
        print("  none\n");
    }
    print("\nwhere requests move\n");
    tell_flows(&new.0.site, &flows(&old.0.site)?, &flows(&new.0.site)?);
    Ok(())
}
