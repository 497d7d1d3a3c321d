//! Can it be meant? A set that agrees with itself may still be a slip: what would leave too little behind is
//! held back until the operator says, in the file, that just this revision is meant.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::refusal::{Reason, Refusal};
use super::set::{Catalog, DeclaredServer, SetFile};
use crate::interface::Role;

/// The files of a set by data centre.
pub type FilesByZone = BTreeMap<String, Arc<SetFile>>;

/// What a server takes that is new: nothing while it drains.
fn weight(server: &DeclaredServer) -> f64 {
    if server.draining { 0.0 } else { server.weight.value }
}

fn fits(catalog: &Catalog, server: &DeclaredServer, role: Role) -> bool {
    catalog.role(&server.kind.value).is_some_and(|found| found == role || found == Role::Mixed)
}

/// Weight of a role in one data centre.
pub fn role_weight(catalog: &Catalog, file: &SetFile, role: Role) -> f64 {
    file.servers.iter().filter(|server| fits(catalog, server, role)).map(weight).sum()
}

/// The part of a role's weight in service that a change takes away, and the data centres that lose it.
pub fn weight_loss<'a>(
    catalog: &Catalog,
    before: &'a FilesByZone,
    after: &FilesByZone,
    role: Role,
) -> (f64, Vec<&'a str>) {
    let mut left: BTreeMap<&str, f64> = BTreeMap::new();
    for server in after.values().flat_map(|file| &file.servers).filter(|s| fits(catalog, s, role)) {
        left.insert(&server.id.value, weight(server));
    }
    let (mut all, mut lost, mut zones) = (0.0, 0.0, Vec::new());
    for (zone, file) in before {
        let mut here = 0.0;
        for server in file.servers.iter().filter(|server| fits(catalog, server, role)) {
            let stays = left.get(server.id.value.as_str()).copied().unwrap_or(0.0);
            all += weight(server);
            here += (weight(server) - stays).max(0.0);
        }
        if here > 0.0 {
            zones.push(zone.as_str());
        }
        lost += here;
    }
    (if all > 0.0 { lost / all } else { 0.0 }, zones)
}

/// What a change must not do unless it is meant: leave a data centre without a reader or a writer, leave a
/// role without any weight, or take more than the part `most` of a role's weight away at once.
pub fn unconfirmed_losses(
    catalog: &Catalog,
    before: &FilesByZone,
    after: &FilesByZone,
    limit: f64,
) -> Vec<Refusal> {
    let mut doubts = Vec::new();
    let meant = |zone: &str| after.get(zone).is_some_and(|file| file.is_confirmed());
    for role in [Role::Reader, Role::Writer] {
        if !catalog.kinds.iter().any(|(_, found)| *found == role || *found == Role::Mixed) {
            continue;
        }
        for (zone, file) in after.iter().filter(|(zone, _)| !meant(zone)) {
            let had = before.get(zone).is_none_or(|file| role_weight(catalog, file, role) > 0.0);
            if had && role_weight(catalog, file, role) <= 0.0 {
                let reason = Reason::ZoneWithoutRole { zone: zone.clone(), role };
                doubts.push(Refusal::new(reason, file.zone.location.clone()));
            }
        }
        // Whoever changed has to have meant it.
        let changed: Vec<&Arc<SetFile>> = after
            .iter()
            .filter(|(zone, file)| before.get(*zone).is_none_or(|old| old.digest != file.digest))
            .map(|(_, file)| file)
            .collect();
        let Some(first) = changed.iter().find(|file| !file.is_confirmed()) else { continue };
        if after.values().all(|file| role_weight(catalog, file, role) <= 0.0) {
            doubts.push(Refusal::new(Reason::RoleWithoutWeight(role), first.zone.location.clone()));
        }
        let (share, zones) = weight_loss(catalog, before, after, role);
        if let Some(zone) = zones.iter().find(|zone| !meant(zone))
            && share > limit
        {
            let place = after.get(*zone).unwrap_or(first).zone.location.clone();
            doubts.push(Refusal::new(Reason::ExcessiveWeightLoss { role, share, limit }, place));
        }
    }
    doubts
}
