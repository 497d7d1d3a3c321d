//! Compares two sets: which servers join, leave, move or change their weight, and how each role's weight is
//! spread over the data centres before and after.

use std::collections::BTreeMap;

use super::guard::{FilesByZone, role_weight};
use super::set::{Catalog, DeclaredServer};
use crate::interface::Role;

/// What a change of sets does to one server.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The server is new.
    Joins {
        /// The server's weight.
        weight: f64,
    },
    /// No file names the server any more, so it drains.
    Leaves {
        /// The server's weight.
        weight: f64,
    },
    /// The file now says that the server drains (true), or no longer says so (false).
    Drains(bool),
    /// The server's weight changes.
    Weight {
        /// The weight before.
        before: f64,
        /// The weight after.
        after: f64,
    },
    /// The server's address changes: it is another process, empty and cold.
    Moves {
        /// The address before.
        before: String,
        /// The address after.
        after: String,
    },
    /// The server's kind, cell or data centre changes; the text names the new one.
    Attribute(String),
}

/// The weight of a role in one data centre, before and after, also as a fraction of the role's total weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The role.
    pub role: Role,
    /// The data centre.
    pub zone: String,
    /// The weight before.
    pub weight_before: f64,
    /// The weight after.
    pub weight_after: f64,
    /// The fraction, from 0 to 1, of the role's weight in all data centres before.
    pub fraction_before: f64,
    /// The same fraction after.
    pub fraction_after: f64,
}

/// The effects of a change of sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Diff {
    /// The changes of each server, by data centre (that of the newer set if the server is in both) and id.
    pub changes: BTreeMap<(String, String), Vec<Change>>,
    /// The shares by role and data centre.
    pub shares: Vec<Share>,
}

/// The servers of a set by id, each with its data centre.
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
        let changes = vec![Change::Leaves { weight: server.weight.value }];
        diff.changes.insert((zone.to_string(), id.to_string()), changes);
    }
    for role in [Role::Reader, Role::Writer] {
        let weight = |files: &FilesByZone, zone: &str| {
            files.get(zone).map_or(0.0, |file| role_weight(catalog, file, role))
        };
        let total = |files: &FilesByZone| files.keys().map(|zone| weight(files, zone)).sum::<f64>();
        let (total_before, total_after) = (total(before), total(after));
        let fraction = |weight: f64, total: f64| if total > 0.0 { weight / total } else { 0.0 };
        let mut zones: Vec<&String> = before.keys().chain(after.keys()).collect();
        zones.sort();
        zones.dedup();
        for zone in zones {
            let (old_weight, new_weight) = (weight(before, zone), weight(after, zone));
            if old_weight > 0.0 || new_weight > 0.0 {
                diff.shares.push(Share {
                    role,
                    zone: zone.clone(),
                    weight_before: old_weight,
                    weight_after: new_weight,
                    fraction_before: fraction(old_weight, total_before),
                    fraction_after: fraction(new_weight, total_after),
                });
            }
        }
    }
    diff
}
