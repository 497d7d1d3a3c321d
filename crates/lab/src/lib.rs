//! The laboratory: engines that batch requests, hold memory in blocks and evict when full; virtual runs of the real
//! core against them, beside baselines; and checkers of the rules.
//!
//! All of it is without I/O and in virtual time: a run is a function of its plan and its seed.

pub mod check;
pub mod engine;
pub mod policy;
pub mod run;
pub mod workload;
