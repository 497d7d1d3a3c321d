//! What one set does to another: who joins, leaves, moves or weighs another amount, and which part of each
//! role's weight that is, by data centre.

use std::collections::BTreeMap;

use super::guard::{FilesByZone, role_weight};
use super::set::{Catalog, DeclaredServer};
use crate::interface::Role;

/// What happens to one server.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It is new.
    Joins {
        /// Its weight.
        weight: f64,
    },
    /// It is not named any more, and drains.
    Leaves {
        /// Its weight.
        weight: f64,
    },
    /// The file says that it drains, or does not any more.
    Drains(bool),
    /// It weighs another amount.
    Weight {
        /// Before.
        before: f64,
        /// After.
        after: f64,
    },
    /// It listens elsewhere: another process, empty and cold.
    Moves {
        /// Before.
        before: String,
        /// After.
        after: String,
    },
    /// Its kind, cell or data centre is another one.
    Attribute(String),
}

/// The part of a role's weight that stands in one data centre, before and after.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The role.
    pub role: Role,
    /// The data centre.
    pub zone: String,
    /// Weight before.
    pub weight_before: f64,
    /// Weight after.
    pub weight_after: f64,
    /// Its part of the role's weight in all data centres, before, from 0 to 1.
    pub fraction_before: f64,
    /// The same after.
    pub fraction_after: f64,
}

/// All that a change of sets does.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Diff {
    /// What happens to each server, by data centre (of the newer set, if it is in both) and id.
    pub changes: BTreeMap<(String, String), Vec<Change>>,
    /// The shares by role and data centre.
    pub shares: Vec<Share>,
}

type ById<'a> = BTreeMap<&'a str, (&'a str, &'a DeclaredServer)>;

fn by_id(files: &FilesByZone) -> ById<'_> {
    let all = files.iter().flat_map(|(zone, file)| file.servers.iter().map(move |s| (zone.as_str(), s)));
    all.map(|(zone, server)| (server.id.value.as_str(), (zone, server))).collect()
}

fn compare(before: (&str, &DeclaredServer), after: (&str, &DeclaredServer)) -> Vec<Change> {
    let mut changes = Vec::new();
    let ((old_zone, old), (new_zone, new)) = (before, after);
    if old.address.value != new.address.value {
        let (before, after) = (old.address.value.clone(), new.address.value.clone());
        changes.push(Change::Moves { before, after });
    }
    if old_zone != new_zone {
        changes.push(Change::Attribute(format!("zone {new_zone}")));
    }
    if old.kind.value != new.kind.value {
        changes.push(Change::Attribute(format!("kind {}", new.kind.value)));
    }
    if old.cell.value != new.cell.value {
        changes.push(Change::Attribute(format!("cell {}", new.cell.value)));
    }
    if old.draining != new.draining {
        changes.push(Change::Drains(new.draining));
    }
    if old.weight.value != new.weight.value {
        changes.push(Change::Weight { before: old.weight.value, after: new.weight.value });
    }
    changes
}

/// Compares two sets.
pub fn diff(catalog: &Catalog, before: &FilesByZone, after: &FilesByZone) -> Diff {
    let (old, new) = (by_id(before), by_id(after));
    let mut diff = Diff::default();
    for (id, (zone, server)) in &new {
        let changes = match old.get(id) {
            None => vec![Change::Joins { weight: server.weight.value }],
            Some(old) => compare(*old, (*zone, *server)),
        };
        if !changes.is_empty() {
            diff.changes.insert((zone.to_string(), id.to_string()), changes);
        }
    }
    for (id, (zone, server)) in old.iter().filter(|(id, _)| !new.contains_key(*id)) {
        let leaves = vec![Change::Leaves { weight: server.weight.value }];
        diff.changes.insert((zone.to_string(), id.to_string()), leaves);
    }
    for role in [Role::Reader, Role::Writer] {
        let weight = |files: &FilesByZone, zone: &str| {
            files.get(zone).map_or(0.0, |file| role_weight(catalog, file, role))
        };
        let all = |files: &FilesByZone| files.keys().map(|zone| weight(files, zone)).sum::<f64>();
        let (all_before, all_after) = (all(before), all(after));
        let part = |weight: f64, all: f64| if all > 0.0 { weight / all } else { 0.0 };
        let mut zones: Vec<&String> = before.keys().chain(after.keys()).collect();
        zones.sort();
        zones.dedup();
        for zone in zones {
            let (was, is) = (weight(before, zone), weight(after, zone));
            if was > 0.0 || is > 0.0 {
                diff.shares.push(Share {
                    role,
                    zone: zone.clone(),
                    weight_before: was,
                    weight_after: is,
                    fraction_before: part(was, all_before),
                    fraction_after: part(is, all_after),
                });
            }
        }
    }
    diff
}
