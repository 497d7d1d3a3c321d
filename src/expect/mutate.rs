//! Mutation testing of expectations: derives sites with one deliberate fault each. A document of expectations that
//! notices few of them protects little.

use super::model::Site;
use super::reasons::server_label;
use crate::interface::*;

/// A site with one deliberate fault.
#[derive(Clone, Debug)]
pub struct Mutation {
    /// The fault in words.
    pub description: String,
    /// The site with the fault.
    pub site: Site,
}

/// Returns all mutations of a site, in an order that depends on the site alone.
pub fn mutations(site: &Site) -> Vec<Mutation> {
    let mut all = Vec::new();
    for (id, (_, entry)) in &site.servers {
        let name = server_label(site, *id);
        all.extend(server_mutations(site, entry).into_iter().map(|(description, entry)| {
            let mut site = site.clone();
            if let Some((_, current)) = site.servers.get_mut(id) {
                *current = entry;
            }
            Mutation { description: format!("{name}: {description}"), site }
        }));
    }
    for (n, class) in site.settings.classes.iter().enumerate() {
        let name = site.classes.get(n).map_or("?", String::as_str);
        all.extend(class_mutations(class).into_iter().map(|(description, class)| {
            let mut site = site.clone();
            site.settings.classes[n] = class;
            Mutation { description: format!("class {name}: {description}"), site }
        }));
    }
    all.extend(settings_mutations(&site.settings).into_iter().map(|(description, settings)| {
        let site = Site { settings, ..site.clone() };
        Mutation { description: description.into(), site }
    }));
    all
}

fn server_mutations(site: &Site, entry: &ServerEntry) -> Vec<(String, ServerEntry)> {
    let role = |kind: KindId| site.settings.kinds.get(usize::from(kind.0)).map(|kind| kind.role);
    let mut all = Vec::new();
    if entry.weight > 0.0 {
        all.push(("its weight x10".into(), ServerEntry { weight: entry.weight * 10.0, ..*entry }));
        all.push(("its weight 0".into(), ServerEntry { weight: 0.0, ..*entry }));
    }
    if entry.state == ServerState::Ready {
        all.push(("drained".into(), ServerEntry { state: ServerState::Draining, ..*entry }));
    }
    let kinds = (0..site.kinds.len() as u16).map(KindId);
    if let Some(kind) = kinds.into_iter().find(|kind| role(*kind) != role(entry.kind)) {
        let name = site.kinds.get(usize::from(kind.0)).map_or("?", String::as_str);
        all.push((format!("its kind {name}"), ServerEntry { kind, ..*entry }));
    }
    let entries = || site.servers.values().map(|(_, other)| other);
    let unused_cell = entries().map(|other| other.cell.0).max().unwrap_or(0) + 1;
    all.push((format!("in cell {unused_cell}, alone"), ServerEntry { cell: CellId(unused_cell), ..*entry }));
    if let Some(other) = entries().find(|other| other.zone != entry.zone) {
        let zone = site.zones.get(usize::from(other.zone.0)).map_or("?", String::as_str);
        all.push((format!("its zone {zone}"), ServerEntry { zone: other.zone, ..*entry }));
    }
    if let Some(other) = entries().find(|other| other.cell != entry.cell) {
        let moved = ServerEntry { cell: other.cell, zone: other.zone, ..*entry };
        all.push((format!("moved to cell {} and its zone", other.cell.0), moved));
    }
    all
}

fn class_mutations(class: &Class) -> Vec<(&'static str, Class)> {
    let effect = match class.effect {
        Effect::Safe => Effect::Unsafe,
        Effect::Keyed(_) | Effect::Unsafe => Effect::Safe,
    };
    vec![
        ("whether a repeat is safe, inverted", Class { effect, ..class.clone() }),
        ("its aim halved", Class { aim: class.aim / 2, ..class.clone() }),
        ("its deadline halved", Class { deadline: class.deadline / 2, ..class.clone() }),
    ]
}

fn settings_mutations(settings: &Settings) -> Vec<(&'static str, Settings)> {
    let limits = settings.limits;
    let rules = settings.rules;
    let with_limits = |limits| Settings { limits, ..settings.clone() };
    let with_rules = |rules| Settings { rules, ..settings.clone() };
    let halved = limits.attempts.div_ceil(2);
    let mut all = vec![
        ("attempts halved", with_limits(Limits { attempts: halved, ..limits })),
        (
            "a cold server's first share of capacity halved",
            with_rules(Rules { cold_from: rules.cold_from / 2.0, ..rules }),
        ),
        ("the time to warm up halved", with_rules(Rules { warm_up: rules.warm_up / 2, ..rules })),
        (
            "the load multiple at which a cold server fails halved",
            with_rules(Rules { fall_multiple: rules.fall_multiple / 2.0, ..rules }),
        ),
        (
            "the time to release a state halved",
            with_rules(Rules { release_within: rules.release_within / 2, ..rules }),
        ),
        ("conductors halved", Settings { dispatchers: settings.dispatchers.div_ceil(2), ..settings.clone() }),
    ];
    if limits.cancel {
        all.push(("attempts can't be cancelled", with_limits(Limits { cancel: false, ..limits })));
    }
    if limits.probes {
        all.push(("servers can't be probed", with_limits(Limits { probes: false, ..limits })));
    }
    all
}
