//! Reading and writing of each protocol, as pure functions: no sockets, no clock, no decisions.

pub mod config;
pub mod platform;
pub mod settings;
