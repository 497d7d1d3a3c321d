//! The fronts that clients and operators connect to: the listener with the gate that checks each connection, and the
//! handlers of each protocol.

pub mod body;
pub mod connection;
pub mod listener;
pub mod operators;
pub mod platform;
pub mod rpc;
