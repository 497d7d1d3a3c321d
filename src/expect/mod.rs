//! Routing expectations: what operators expect of a configuration, checked in a simulation without I/O that runs the
//! real core and the real module in virtual time. No routing decision is reimplemented here.
//!
//! [`model`] holds the data of an expectation, [`world`] simulates it once for a seed, and [`judge`] simulates it
//! over many seeds and returns whether it holds, fails or stays undecided. [`reasons`] explains a choice in words,
//! [`compare`] compares two versions of a site, and [`mutate`] derives faulty sites. Documents are parsed in
//! `documents::expectations`.

pub mod compare;
pub mod judge;
pub mod model;
pub mod mutate;
pub mod reasons;
pub mod world;

pub use judge::{Verdict, evaluate, evaluate_while};
pub use model::{Expectation, Given, Site, Step, Then};
