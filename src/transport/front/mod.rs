//! What clients reach: the listener and the gate before their connections, and a handler for each protocol.

pub mod connection;
pub mod listener;
pub mod operators;
pub mod platform;
pub mod rpc;
