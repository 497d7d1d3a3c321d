//! Locks of tables that several threads share. Each has a rank; a thread may take a lock only above the highest rank
//! that it holds. A wrong order panics at once, in every build, and so does holding two of one rank: what could lock up
//! once in a year fails in the first test that goes the wrong way.
//!
//! Nothing is awaited and nothing is written to a disk or a socket while one is held: a guard is `!Send`, so that
//! a future which holds one over an await can't be spawned.

use std::cell::Cell;
use std::marker::PhantomData;
use std::ops::{Deref, DerefMut};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The order, lowest first. A gap is left between ranks for what comes later.
pub mod rank {
    /// The plan of aliases in force.
    pub const PLAN: u32 = 10;
    /// The board of verdicts.
    pub const BOARD: u32 = 20;
    /// What this process holds of limits.
    pub const SHARES: u32 = 30;
    /// A shard of the tenants' accounts.
    pub const ACCOUNTS: u32 = 40;
    /// What waits to be made durable.
    pub const STORE: u32 = 50;
    /// What waits to be sent.
    pub const OUTBOX: u32 = 60;
}

thread_local! {
    static HELD: Cell<u32> = const { Cell::new(0) };
}

/// A table behind a lock of this rank.
#[derive(Debug, Default)]
pub struct Ranked<const RANK: u32, T>(Mutex<T>);

impl<const RANK: u32, T> Ranked<RANK, T> {
    /// A table.
    pub const fn new(table: T) -> Self {
        Ranked(Mutex::new(table))
    }

    /// Waits for the lock.
    ///
    /// # Panics
    ///
    /// If this thread holds a lock of this rank or above: that is a defect of the program.
    pub fn lock(&self) -> Guard<'_, T> {
        let below = HELD.get();
        assert!(below < RANK, "a lock of rank {RANK} is taken while one of rank {below} is held");
        // A thread that panicked with the lock held has ended the program's turn; the table is still whole, as each
        // step on it is.
        let table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        HELD.set(RANK);
        Guard { table, below, here: PhantomData }
    }
}

/// The lock is held for as long as this lives.
pub struct Guard<'a, T> {
    table: MutexGuard<'a, T>,
    below: u32,
    here: PhantomData<*const ()>,
}

impl<T> Drop for Guard<'_, T> {
    fn drop(&mut self) {
        HELD.set(self.below);
    }
}

impl<T> Deref for Guard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.table
    }
}

impl<T> DerefMut for Guard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.table
    }
}

#[cfg(test)]
mod tests;
