//! All I/O on sockets and files: the fronts that clients connect to, the hub that owns the core, and an actor for each
//! peer and for each list of servers.

pub mod budget;
pub mod claims;
pub mod clock;
pub mod collect;
pub mod delivery;
pub mod export;
pub mod front;
pub mod hub;
pub mod inherited;
pub mod list;
pub mod listen;
pub mod memory;
pub mod peer;
pub mod relay;
