//! Holds back changes that would leave too little capacity in service. A consistent set may still be an
//! operator's mistake, so such a change waits until the file confirms that exactly this revision is intended.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::refusal::{Reason, Refusal};
use super::set::{Catalog, DeclaredServer, SetFile};
use crate::interface::Role;

/// The files of a set, by data centre.
pub type FilesByZone = BTreeMap<String, Arc<SetFile>>;

/// Returns the weight with which a server gets new work: 0 while it drains.
fn effective_weight(server: &DeclaredServer) -> f64 {
    if server.draining { 0.0 } else { server.weight.value }
}

fn serves_role(catalog: &Catalog, server: &DeclaredServer, role: Role) -> bool {
    catalog.role(&server.kind.value).is_some_and(|kind_role| kind_role == role || kind_role == Role::Mixed)
}

/// Returns the total weight of a role in the file of one data centre.
pub fn role_weight(catalog: &Catalog, file: &SetFile, role: Role) -> f64 {
    file.servers.iter().filter(|server| serves_role(catalog, server, role)).map(effective_weight).sum()
}

/// Returns the fraction of a role's weight in service that a change takes away, and the data centres that
/// lose weight. Weight that other servers gain does not offset the loss.
pub fn weight_loss<'a>(
    catalog: &Catalog,
    before: &'a FilesByZone,
    after: &FilesByZone,
    role: Role,
) -> (f64, Vec<&'a str>) {
    let mut remaining: BTreeMap<&str, f64> = BTreeMap::new();
    for server in after.values().flat_map(|file| &file.servers).filter(|s| serves_role(catalog, s, role)) {
        remaining.insert(&server.id.value, effective_weight(server));
    }
    let (mut total, mut lost, mut zones) = (0.0, 0.0, Vec::new());
    for (zone, file) in before {
        let mut zone_loss = 0.0;
        for server in file.servers.iter().filter(|server| serves_role(catalog, server, role)) {
            let kept = remaining.get(server.id.value.as_str()).copied().unwrap_or(0.0);
            total += effective_weight(server);
            zone_loss += (effective_weight(server) - kept).max(0.0);
        }
        if zone_loss > 0.0 {
            zones.push(zone.as_str());
        }
        lost += zone_loss;
    }
    (if total > 0.0 { lost / total } else { 0.0 }, zones)
}

/// Returns a refusal for each unconfirmed change that leaves a data centre without a reader or a writer,
/// leaves a role without any weight, or takes away more than the fraction `limit` of a role's weight at once.
pub fn unconfirmed_losses(
    catalog: &Catalog,
    before: &FilesByZone,
    after: &FilesByZone,
    limit: f64,
) -> Vec<Refusal> {
    let mut refusals = Vec::new();
    let is_confirmed = |zone: &str| after.get(zone).is_some_and(|file| file.is_confirmed());
    for role in [Role::Reader, Role::Writer] {
        if !catalog.kinds.iter().any(|(_, kind_role)| *kind_role == role || *kind_role == Role::Mixed) {
            continue;
        }
        for (zone, file) in after.iter().filter(|(zone, _)| !is_confirmed(zone)) {
            let had_role = before.get(zone).is_none_or(|file| role_weight(catalog, file, role) > 0.0);
            if had_role && role_weight(catalog, file, role) <= 0.0 {
                let reason = Reason::ZoneWithoutRole { zone: zone.clone(), role };
                refusals.push(Refusal::new(reason, file.zone.location.clone()));
            }
        }
        // Every changed file needs a confirmation of its own.
        let changed: Vec<&Arc<SetFile>> = after
            .iter()
            .filter(|(zone, file)| before.get(*zone).is_none_or(|old| old.digest != file.digest))
            .map(|(_, file)| file)
            .collect();
        let Some(unconfirmed) = changed.iter().find(|file| !file.is_confirmed()) else { continue };
        if after.values().all(|file| role_weight(catalog, file, role) <= 0.0) {
            refusals.push(Refusal::new(Reason::RoleWithoutWeight(role), unconfirmed.zone.location.clone()));
        }
        let (share, zones) = weight_loss(catalog, before, after, role);
        if let Some(zone) = zones.iter().find(|zone| !is_confirmed(zone))
            && share > limit
        {
            let location = after.get(*zone).unwrap_or(unconfirmed).zone.location.clone();
            refusals.push(Refusal::new(Reason::ExcessiveWeightLoss { role, share, limit }, location));
        }
    }
    refusals
}
