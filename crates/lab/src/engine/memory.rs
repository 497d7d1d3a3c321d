//! Memory in blocks. Texts are kept as chains of blocks, each named by a digest of itself and all before it, so that
//! texts with the same opening share its blocks; together they are a tree. What nobody uses is kept until its room is
//! wanted: the least recently used goes first, and of one text its end before its opening.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use milletseam::interface::Micros;

/// A block of a text: a digest of the text from its beginning to the block's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BlockId(pub u64);

#[derive(Clone, Copy, Debug)]
struct Block {
    users: u32,
    used: Micros,
    depth: u32,
}

/// The memory of one server.
#[derive(Clone, Debug)]
pub struct Memory {
    capacity: usize,
    shared: BTreeMap<BlockId, Block>,
    idle: BTreeSet<(Micros, Reverse<u32>, BlockId)>,
    private: usize,
    evicted: u64,
}

impl Memory {
    /// An empty memory of so many blocks.
    pub fn new(capacity: usize) -> Self {
        Memory { capacity, shared: BTreeMap::new(), idle: BTreeSet::new(), private: 0, evicted: 0 }
    }

    /// Blocks in all.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Blocks that somebody uses.
    pub fn in_use(&self) -> usize {
        self.shared.len() - self.idle.len() + self.private
    }

    /// Blocks that are kept though nobody uses them.
    pub fn idle(&self) -> usize {
        self.idle.len()
    }

    /// Blocks that were evicted since the start.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// How many of a text's first blocks are kept.
    pub fn kept(&self, text: &[BlockId]) -> usize {
        text.iter().take_while(|id| self.shared.contains_key(id)).count()
    }

    /// Takes a text into use; what of it was kept comes back, or nothing if there is no room: then all is as before.
    pub fn hold(&mut self, now: Micros, text: &[BlockId]) -> Option<usize> {
        let kept = self.kept(text);
        // The kept blocks are taken first: they must not make room for the others.
        for id in &text[..kept] {
            self.take(now, *id);
        }
        let missing = text.len() - kept;
        if !self.make_room(missing) {
            for id in &text[..kept] {
                self.leave(*id);
            }
            return None;
        }
        for (depth, id) in text.iter().enumerate().skip(kept) {
            self.shared.insert(*id, Block { users: 1, used: now, depth: depth as u32 });
        }
        Some(kept)
    }

    /// Lets go of a text that was held; it is kept until its room is wanted.
    pub fn release(&mut self, text: &[BlockId]) {
        text.iter().for_each(|id| self.leave(*id));
    }

    /// Takes blocks that belong to one answer alone; false if there is no room.
    pub fn grow(&mut self, blocks: usize) -> bool {
        let room = self.make_room(blocks);
        self.private += if room { blocks } else { 0 };
        room
    }

    /// Gives such blocks back.
    pub fn shrink(&mut self, blocks: usize) {
        self.private = self.private.saturating_sub(blocks);
    }

    /// Forgets whatever nobody uses.
    pub fn forget(&mut self) {
        for (_, _, id) in std::mem::take(&mut self.idle) {
            self.shared.remove(&id);
        }
    }

    fn take(&mut self, now: Micros, id: BlockId) {
        let Some(block) = self.shared.get_mut(&id) else { return };
        if block.users == 0 {
            self.idle.remove(&(block.used, Reverse(block.depth), id));
        }
        (block.users, block.used) = (block.users + 1, block.used.max(now));
    }

    fn leave(&mut self, id: BlockId) {
        let Some(block) = self.shared.get_mut(&id).filter(|block| block.users > 0) else { return };
        block.users -= 1;
        if block.users == 0 {
            self.idle.insert((block.used, Reverse(block.depth), id));
        }
    }

    fn make_room(&mut self, blocks: usize) -> bool {
        if self.in_use() + blocks > self.capacity {
            return false;
        }
        while self.shared.len() + self.private + blocks > self.capacity {
            let Some((_, _, id)) = self.idle.pop_first() else { return false };
            self.shared.remove(&id);
            self.evicted += 1;
        }
        true
    }
}

#[cfg(test)]
mod tests;
