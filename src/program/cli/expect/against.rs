//! `birchspur expect --against`: reports which verdicts a change of the configuration alters, which of its lines
//! cause that, and where requests move.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use super::site::SiteSources;
use super::tried::{self, Document};
use crate::documents::read::Source;
use crate::expect::compare::{Flow, SiteChange, flows, responsible_changes, same_outcome};
use crate::expect::{self, Site};
use crate::interface::{ServerEntry, ServerId, ServerState, SettingsError};
use crate::program::cli::print;

/// The smallest change of a share that is reported.
const MIN_REPORTED_CHANGE: f64 = 0.02;

/// Collects the leaves of a JSON value by their paths.
fn leaves(value: &Value, path: String, collected: &mut BTreeMap<String, Value>) {
    let child_path = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(map) => map.iter().for_each(|(name, value)| leaves(value, child_path(name), collected)),
        Value::Array(list) => {
            list.iter().enumerate().for_each(|(n, value)| leaves(value, format!("{path}[{n}]"), collected));
        }
        leaf => drop(collected.insert(path, leaf.clone())),
    }
}

/// Converts the path of a leaf to a JSON pointer.
fn pointer(path: &str) -> String {
    let steps = path.replace('[', ".").replace(']', "");
    steps.split('.').map(|step| format!("/{step}")).collect()
}

/// Returns a copy of the value with one leaf replaced, or `None` if either leaf does not exist.
fn with_leaf(value: &Value, path: &str, leaf: Option<&Value>) -> Option<Value> {
    let mut value = value.clone();
    *value.pointer_mut(&pointer(path))? = leaf?.clone();
    Some(value)
}

/// Returns the line of a leaf. Searches the text for each name of the path in turn, and for as many objects after
/// it as its index says.
fn line(source: &Source, path: &str) -> Option<usize> {
    let mut offset = 0;
    for step in path.split('.') {
        let (name, index) =
            step.split_once('[').map_or((step, None), |(name, rest)| (name, rest.strip_suffix(']')));
        offset += source.text.get(offset..)?.find(&format!("\"{name}\""))?;
        if let Some(index) = index.and_then(|index| index.parse::<usize>().ok()) {
            offset += source.text.get(offset..)?.find('[')?;
            let opens = |c: char| c == '{';
            let objects = source.text.get(offset..)?.match_indices(opens).map(|(start, _)| start);
            offset += { objects }.nth(index).unwrap_or(0);
        }
    }
    Some(source.place(offset, 0).line as usize)
}

/// Returns the properties of a server by their names, as they are printed.
fn properties(entry: &ServerEntry, site: &Site) -> [(&'static str, String); 5] {
    let name = |names: &[String], index: u16| names.get(usize::from(index)).cloned().unwrap_or_default();
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

/// Describes how a server changes, preceded by its place in the files.
fn server_change(id: ServerId, old: &SiteSources, new: &SiteSources) -> String {
    let (before, after) = (old.site.servers.get(&id), new.site.servers.get(&id));
    let name = before.or(after).map_or("?", |(name, _)| name);
    let place =
        new.places.get(&id).or(old.places.get(&id)).map_or(String::new(), |place| format!("{place}: "));
    match (before, after) {
        (Some((_, before)), Some((_, after))) => {
            let (a, b) = (properties(before, &old.site), properties(after, &new.site));
            let changes = a.iter().zip(&b).filter(|(a, b)| a.1 != b.1);
            let changes: Vec<_> = changes.map(|(a, b)| format!("{} {} -> {}", a.0, a.1, b.1)).collect();
            format!("{place}{name}: {}", changes.join(", "))
        }
        (None, _) => format!("{place}{name} joins"),
        (_, None) => format!("{place}{name} leaves"),
    }
}

/// Splits the difference between two sites into parts: one for each changed server and each changed setting.
fn parts(old: &SiteSources, new: &SiteSources) -> Vec<SiteChange> {
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
        let alone = with_leaf(&old.value, path, Some(leaf)).and_then(|value| old.with_config(&value));
        let without = with_leaf(&new.value, path, before.get(path)).and_then(|value| new.with_config(&value));
        // A change that does not make a usable configuration by itself, such as a longer list, has no part of its
        // own and only shows in the verdicts.
        let (Some(alone), Some(without)) = (alone, without) else { continue };
        let line_suffix = line(&new.config, path).map_or(String::new(), |line| format!(":{line}"));
        let old_leaf = before.get(path).map_or("nothing".into(), Value::to_string);
        parts.push(SiteChange {
            description: format!("{}{line_suffix}: {path} {old_leaf} -> {leaf}", new.config.name),
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

/// Describes how the shares of a flow change, or returns `None` if all changes are too small to be reported.
fn share_changes(zones: &[String], before: &[f64], after: &[f64]) -> Option<String> {
    if before.iter().zip(after).all(|(a, b)| (a - b).abs() < MIN_REPORTED_CHANGE) {
        return None;
    }
    let parts = zones.iter().zip(before.iter().zip(after));
    let parts: Vec<_> =
        parts.map(|(zone, (a, b))| format!("{zone} {:.0}% -> {:.0}%", a * 100.0, b * 100.0)).collect();
    Some(parts.join(", "))
}

fn report_flows(site: &Site, before: &[Flow], after: &[Flow]) {
    let mut any_change = false;
    for (a, b) in before.iter().zip(after) {
        let class = site.classes.get(usize::from(a.class.0)).map_or("?", String::as_str);
        let from = site.zones.get(usize::from(a.conductor_zone.0)).map_or("?", String::as_str);
        for (what, a, b) in [
            ("read", &a.read_fractions, &b.read_fractions),
            ("written", &a.write_fractions, &b.write_fractions),
        ] {
            if let Some(changes) = share_changes(&site.zones, a, b) {
                any_change = true;
                print(&format!("  {class} from {from}, {what} in: {changes}\n"));
            }
        }
    }
    if !any_change {
        print("  no share of a class and data centre moves by 2% or more\n");
    }
}

/// Prints the differences between two sites. `old` has the documents as they are read against the old site.
pub(super) fn report(
    old: (&SiteSources, &[Document]),
    new: (&SiteSources, &[Document]),
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
    for (written, verdict) in tried::all(new.1).iter().zip(verdicts) {
        let name = &written.expectation.name;
        let Some(index) = before.iter().position(|other| other.expectation.name == *name) else { continue };
        let old_verdict = &verdicts_before[index];
        if same_outcome(old_verdict, verdict) {
            continue;
        }
        changed += 1;
        print(&format!("  {} -> {}: {name}\n", verdict_name(old_verdict), verdict_name(verdict)));
        let causes = responsible_changes(&written.expectation, old_verdict, &parts)?;
        match causes[..] {
            [] => print("      by several changes together\n"),
            _ => causes.iter().for_each(|part| print(&format!("      by {}\n", part.description))),
        }
    }
    if changed == 0 {
        print("  none\n");
    }
    print("\nwhere requests move\n");
    report_flows(&new.0.site, &flows(&old.0.site)?, &flows(&new.0.site)?);
    Ok(())
}
