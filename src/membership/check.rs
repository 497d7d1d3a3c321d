//! Checks that a set of files agrees with itself, with the settings and with the revisions in service.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::sync::Arc;

use super::refusal::{MAX_WEIGHT, Reason, Refusal};
use super::set::{Catalog, DeclaredServer, SetFile};

/// The least Jaro-Winkler similarity (1 for equal names) at which a known name is suggested for an unknown
/// one.
const MIN_SIMILARITY: f64 = 0.75;

/// Returns the known name that is most similar to an unknown one, if any is similar enough.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    let scored = known.into_iter().map(|known| (strsim::jaro_winkler(name, known), known));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0)).filter(|(score, _)| *score >= MIN_SIMILARITY);
    best.map(|(_, known)| known.to_string())
}

/// Checks that a file may replace the one in service. An older revision is refused unless it says that it
/// rolls back exactly the revision in service; so is a file without a seal if the one in service has a seal.
pub fn revision(file: &SetFile, in_service: &SetFile) -> Result<(), Refusal> {
    let (revision, current) = (file.revision.value, in_service.revision.value);
    if let Some(meant) = &file.meant
        && meant.value.revision != revision
    {
        let reason = Reason::ConfirmationMismatch { named: meant.value.revision, revision };
        return Err(Refusal::new(reason, meant.location.clone()));
    }
    let refuse = |reason| Err(Refusal::new(reason, file.revision.location.clone()));
    if in_service.sealed && !file.sealed {
        return refuse(Reason::SealLost);
    }
    match &file.rollback_of {
        _ if revision > current => Ok(()),
        Some(named) if named.value == current => Ok(()),
        Some(named) => {
            let reason = Reason::RollbackMismatch { named: named.value, in_service: current };
            Err(Refusal::new(reason, named.location.clone()))
        }
        None if revision == current => refuse(Reason::SameRevision(revision)),
        None => refuse(Reason::OlderRevision { revision, in_service: current }),
    }
}

/// Returns all contradictions in a set: among its servers and files, and with the names and cells that the
/// settings define.
pub fn contradictions(catalog: &Catalog, files: &BTreeMap<String, Arc<SetFile>>) -> Vec<Refusal> {
    let mut refusals = Vec::new();
    let mut ids: BTreeMap<&str, &DeclaredServer> = BTreeMap::new();
    let mut numbers: BTreeMap<u32, &DeclaredServer> = BTreeMap::new();
    let mut addresses: BTreeMap<&str, &DeclaredServer> = BTreeMap::new();
    let mut cells: BTreeMap<u32, (&str, &DeclaredServer)> = BTreeMap::new();
    for file in files.values() {
        let zone = file.zone.value.as_str();
        if !catalog.zones.iter().any(|known| known == zone) {
            let nearest = nearest(zone, catalog.zones.iter().map(String::as_str));
            let reason = Reason::UnknownName { what: "zone", name: zone.to_string(), nearest };
            refusals.push(Refusal::new(reason, file.zone.location.clone()));
        }
        for server in &file.servers {
            let mut refuse = |reason, location: &super::Location, related: Option<&super::Location>| {
                refusals.push(Refusal::with_related(reason, location.clone(), related.cloned()));
            };
            if let Some(first) = ids.insert(&server.id.value, server) {
                let reason = Reason::DuplicateId(server.id.value.clone());
                refuse(reason, &server.id.location, Some(&first.id.location));
            } else if let Some(first) = numbers.insert(server.number.0, server) {
                let reason = Reason::NumberCollision(first.id.value.clone(), server.id.value.clone());
                refuse(reason, &server.id.location, Some(&first.id.location));
            } else if let Some(first) = addresses.insert(&server.address.value, server) {
                let reason = Reason::DuplicateAddress {
                    address: server.address.value.clone(),
                    first: first.id.value.clone(),
                    second: server.id.value.clone(),
                };
                refuse(reason, &server.address.location, Some(&first.address.location));
            }
            if catalog.role(&server.kind.value).is_none() {
                let name = server.kind.value.clone();
                let nearest = nearest(&name, catalog.kinds.iter().map(|(kind, _)| kind.as_str()));
                refuse(Reason::UnknownName { what: "kind", name, nearest }, &server.kind.location, None);
            }
            let cell = server.cell.value;
            if catalog.cells.as_ref().is_some_and(|cells| !cells.contains(&cell)) {
                refuse(Reason::UnknownCell(cell), &server.cell.location, None);
            }
            match cells.entry(cell) {
                Entry::Vacant(vacant) => {
                    vacant.insert((zone, server));
                }
                Entry::Occupied(occupied) if occupied.get().0 != zone => {
                    let (first_zone, first) = *occupied.get();
                    let (first_zone, second_zone) = (first_zone.to_string(), zone.to_string());
                    let reason = Reason::CellInTwoZones { cell, first_zone, second_zone };
                    refuse(reason, &server.cell.location, Some(&first.cell.location));
                }
                Entry::Occupied(_) => {}
            }
            let weight = server.weight.value;
            if !(0.0..=MAX_WEIGHT).contains(&weight) {
                refuse(Reason::WeightOutOfRange(weight.to_string()), &server.weight.location, None);
            }
        }
    }
    refusals
}
