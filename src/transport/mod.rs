//! Sockets: the front that clients reach, an actor for each peer, one for the list and one for the module.

pub mod budget;
pub mod clock;
pub mod connector;
pub mod door;
pub mod export;
pub mod front;
pub mod hub;
pub mod line;
pub mod list;
pub mod peer;
pub mod relay;
pub mod rpc;
