//! Reading and writing of each protocol, as pure functions: no sockets, no clock, no decisions.

pub mod collectd;
pub mod config;
pub mod figures;
pub mod framing;
pub mod graphite;
pub mod jsonrpc;
pub mod platform;
pub mod settings;
