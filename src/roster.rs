//! Indexes the servers by role and cell, and the servers that may keep a text. With this data structure a choice
//! among thousands need not consider each of them. The decision module samples candidates from it and chooses.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::interface::{CellId, Role, ServerId};

/// How many servers a choice considers.
#[derive(Clone, Copy, Debug)]
pub struct SampleSize {
    /// All servers are considered if there are no more than this.
    pub full_scan_limit: usize,
    /// Otherwise this many are drawn at random.
    pub drawn: usize,
}

/// Returns a number in [0, 1) for a key at a server, the same in all processes (the finalizer of splitmix64).
pub fn rendezvous_hash(key: u64, server: ServerId) -> f64 {
    let mut x = key ^ (u64::from(server.0) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (x ^ (x >> 31)) as f64 / 2f64.powi(64)
}

/// The servers of a list by role and cell, and the holders of each key: the servers that may keep its text.
pub struct Roster<Key> {
    readers: Vec<ServerId>,
    writers: Vec<ServerId>,
    writers_by_cell: BTreeMap<CellId, Vec<ServerId>>,
    reader_share_by_cell: BTreeMap<CellId, f64>,
    holders: BTreeMap<Key, Vec<ServerId>>,
}

impl<Key: Ord> Default for Roster<Key> {
    fn default() -> Self {
        Roster {
            readers: Vec::new(),
            writers: Vec::new(),
            writers_by_cell: BTreeMap::new(),
            reader_share_by_cell: BTreeMap::new(),
            holders: BTreeMap::new(),
        }
    }
}

/// Adds all servers if there are few, and otherwise some drawn at random.
fn add_sample(ids: &mut Vec<ServerId>, rng: &mut impl Rng, all: &[ServerId], sample: SampleSize) {
    if all.len() <= sample.full_scan_limit {
        ids.extend(all);
    } else {
        ids.extend((0..sample.drawn).filter_map(|_| all.get(rng.random_range(0..all.len()))));
    }
}

/// Sorts the ids and removes duplicates.
fn sorted_unique(mut ids: Vec<ServerId>) -> Vec<ServerId> {
    ids.sort_unstable();
    ids.dedup();
    ids
}

impl<Key: Ord> Roster<Key> {
    /// Replaces the list of servers; the last field says whether the server takes work. Where a role has more servers
    /// than a full scan covers, only those that take work are kept: among many that drain, the few others would
    /// seldom be drawn.
    pub fn set_servers(
        &mut self,
        sample: SampleSize,
        servers: impl Iterator<Item = (ServerId, Role, CellId, bool)>,
    ) {
        self.readers.clear();
        self.writers.clear();
        self.writers_by_cell.clear();
        self.reader_share_by_cell.clear();
        let (mut all, mut any_reader, mut not_taking_work) = (Vec::new(), false, BTreeSet::new());
        let mut reader_count = 0.0;
        for (id, role, cell, takes_work) in servers {
            any_reader |= role == Role::Reader;
            all.push(id);
            if role != Role::Writer {
                self.readers.push(id);
                reader_count += 1.0;
                *self.reader_share_by_cell.entry(cell).or_default() += 1.0;
            }
            if role != Role::Reader {
                self.writers.push(id);
                self.writers_by_cell.entry(cell).or_default().push(id);
            }
            if !takes_work {
                not_taking_work.insert(id);
            }
        }
        if !any_reader {
            // If no reader is listed, the decision module determines whether writers may read.
            self.readers = all;
        }
        self.reader_share_by_cell.values_mut().for_each(|count| *count /= reader_count);
        for ids in [&mut self.readers, &mut self.writers].into_iter().chain(self.writers_by_cell.values_mut())
        {
            if ids.len() > sample.full_scan_limit {
                ids.retain(|id| !not_taking_work.contains(id));
            }
        }
    }

    /// Records that a server may keep a key's text.
    pub fn add_holder(&mut self, key: Key, server: ServerId) {
        let holders = self.holders.entry(key).or_default();
        if !holders.contains(&server) {
            holders.push(server);
        }
    }

    /// Returns the servers that may keep a key's text.
    pub fn holders(&self, key: &Key) -> &[ServerId] {
        self.holders.get(key).map_or(&[], Vec::as_slice)
    }

    /// Drops the holders for which `keeps` returns false.
    pub fn retain_holders(&mut self, keeps: impl Fn(&Key, ServerId) -> bool) {
        self.holders.retain(|key, servers| {
            servers.retain(|server| keeps(key, *server));
            !servers.is_empty()
        });
    }

    /// Returns the readers to choose among: holders of these keys, and others.
    pub fn sample_readers(
        &self,
        rng: &mut impl Rng,
        keys: impl Iterator<Item = Key>,
        sample: SampleSize,
    ) -> Vec<ServerId> {
        let mut ids = Vec::new();
        if self.readers.len() > sample.full_scan_limit {
            keys.for_each(|key| {
                add_sample(
                    &mut ids,
                    rng,
                    self.holders(&key),
                    SampleSize { full_scan_limit: sample.drawn, ..sample },
                )
            });
        }
        add_sample(&mut ids, rng, &self.readers, sample);
        sorted_unique(ids)
    }

    /// Returns the fraction of all readers that are in a cell, or 1 if it has none.
    pub fn reader_share(&self, cell: CellId) -> f64 {
        self.reader_share_by_cell.get(&cell).copied().unwrap_or(1.0)
    }

    /// Returns the writers to choose among: some of the cell, and others.
    pub fn sample_writers(
        &self,
        rng: &mut impl Rng,
        cell: Option<CellId>,
        sample: SampleSize,
    ) -> Vec<ServerId> {
        let mut ids = Vec::new();
        if let Some(in_cell) = cell.and_then(|cell| self.writers_by_cell.get(&cell))
            && self.writers.len() > sample.full_scan_limit
        {
            add_sample(&mut ids, rng, in_cell, SampleSize { full_scan_limit: sample.drawn, ..sample });
        }
        add_sample(&mut ids, rng, &self.writers, sample);
        sorted_unique(ids)
    }
}

#[cfg(test)]
mod tests;
