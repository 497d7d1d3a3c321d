//! Limits on what others can make the process use, as state machines without I/O and clock.

pub mod memory;
