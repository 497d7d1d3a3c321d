//! Who is there, by role and cell, and who may keep which text: a data structure below the module, so that a
//! choice among thousands need not look at each. It chooses nothing; the module asks it for candidates.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::interface::{CellId, Role, ServerId};

/// How many servers a choice looks at.
#[derive(Clone, Copy, Debug)]
pub struct SampleSize {
    /// All, if there are no more than this.
    pub all: usize,
    /// Otherwise so many, drawn at random.
    pub some: usize,
}

/// A number in [0, 1) that everybody finds for this key at this server (the finish of splitmix64).
pub fn rendezvous_hash(key: u64, server: ServerId) -> f64 {
    let mut x = key ^ (u64::from(server.0) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (x ^ (x >> 31)) as f64 / 2f64.powi(64)
}

/// The servers of a list by role and cell, and those that may keep a key's text.
pub struct Roster<Key> {
    readers: Vec<ServerId>,
    writers: Vec<ServerId>,
    writers_of: BTreeMap<CellId, Vec<ServerId>>,
    readers_of: BTreeMap<CellId, f64>,
    keepers: BTreeMap<Key, Vec<ServerId>>,
}

impl<Key: Ord> Default for Roster<Key> {
    fn default() -> Self {
        Roster {
            readers: Vec::new(),
            writers: Vec::new(),
            writers_of: BTreeMap::new(),
            readers_of: BTreeMap::new(),
            keepers: BTreeMap::new(),
        }
    }
}

/// Adds all of a few, and otherwise some, drawn at random.
fn add(found: &mut Vec<ServerId>, rng: &mut impl Rng, all: &[ServerId], sample: SampleSize) {
    if all.len() <= sample.all {
        found.extend(all);
    } else {
        found.extend((0..sample.some).filter_map(|_| all.get(rng.random_range(0..all.len()))));
    }
}

/// Each once, in the order of their numbers.
fn once(mut found: Vec<ServerId>) -> Vec<ServerId> {
    found.sort_unstable();
    found.dedup();
    found
}

impl<Key: Ord> Roster<Key> {
    /// Takes a new list on; the last of each says whether it takes work. Where a role has more servers than are
    /// all looked at, only those that do are drawn: among many that drain the few others would seldom be found.
    pub fn list(
        &mut self,
        sample: SampleSize,
        servers: impl Iterator<Item = (ServerId, Role, CellId, bool)>,
    ) {
        self.readers.clear();
        self.writers.clear();
        self.writers_of.clear();
        self.readers_of.clear();
        let (mut all, mut any_reader, mut idle) = (Vec::new(), false, BTreeSet::new());
        let mut reading = 0.0;
        for (id, role, cell, takes_work) in servers {
            any_reader |= role == Role::Reader;
            all.push(id);
            if role != Role::Writer {
                self.readers.push(id);
                reading += 1.0;
                *self.readers_of.entry(cell).or_default() += 1.0;
            }
            if role != Role::Reader {
                self.writers.push(id);
                self.writers_of.entry(cell).or_default().push(id);
            }
            if !takes_work {
                idle.insert(id);
            }
        }
        if !any_reader {
            // Where no reader is listed, whether a writer may read is for the module to say.
            self.readers = all;
        }
        self.readers_of.values_mut().for_each(|count| *count /= reading);
        for drawn in [&mut self.readers, &mut self.writers].into_iter().chain(self.writers_of.values_mut()) {
            if drawn.len() > sample.all {
                drawn.retain(|id| !idle.contains(id));
            }
        }
    }

    /// Notes that a server may keep a key's text.
    pub fn keep(&mut self, key: Key, server: ServerId) {
        let keepers = self.keepers.entry(key).or_default();
        if !keepers.contains(&server) {
            keepers.push(server);
        }
    }

    /// The servers that may keep a key's text.
    pub fn keepers(&self, key: &Key) -> &[ServerId] {
        self.keepers.get(key).map_or(&[], Vec::as_slice)
    }

    /// Drops what is not kept any more.
    pub fn forget(&mut self, keeps: impl Fn(&Key, ServerId) -> bool) {
        self.keepers.retain(|key, servers| {
            servers.retain(|server| keeps(key, *server));
            !servers.is_empty()
        });
    }

    /// Readers to choose among: the keepers of these keys, and others.
    pub fn readers(
        &self,
        rng: &mut impl Rng,
        keys: impl Iterator<Item = Key>,
        sample: SampleSize,
    ) -> Vec<ServerId> {
        let mut found = Vec::new();
        if self.readers.len() > sample.all {
            keys.for_each(|key| {
                add(&mut found, rng, self.keepers(&key), SampleSize { all: sample.some, ..sample })
            });
        }
        add(&mut found, rng, &self.readers, sample);
        once(found)
    }

    /// The part of all readers that a cell has; all, if it has none.
    pub fn readers_of(&self, cell: CellId) -> f64 {
        self.readers_of.get(&cell).copied().unwrap_or(1.0)
    }

    /// Writers to choose among: those of the cell, and others.
    pub fn writers(&self, rng: &mut impl Rng, cell: Option<CellId>, sample: SampleSize) -> Vec<ServerId> {
        let mut found = Vec::new();
        if let Some(near) = cell.and_then(|cell| self.writers_of.get(&cell))
            && self.writers.len() > sample.all
        {
            add(&mut found, rng, near, SampleSize { all: sample.some, ..sample });
        }
        add(&mut found, rng, &self.writers, sample);
        once(found)
    }
}

#[cfg(test)]
mod tests;
