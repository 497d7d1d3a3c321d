//! Sockets and files: the fronts that clients reach, an actor for each peer and each list, and the module's.

pub mod budget;
pub mod clock;
pub mod export;
pub mod front;
pub mod hub;
pub mod inherited;
pub mod list;
pub mod peer;
pub mod relay;
