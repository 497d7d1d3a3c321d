//! Parsers and formatters of each protocol. They do no I/O, read no clock and make no decisions.

pub mod chunks;
pub mod collectd;
pub mod config;
pub mod figures;
pub mod framing;
pub mod graphite;
pub mod jsonrpc;
pub mod platform;
pub mod settings;
pub mod stream;
