//! Limits on what others can make the process use, and on what it begins by itself, as state machines without I/O and
//! clock.

pub mod calls;
pub mod memory;
