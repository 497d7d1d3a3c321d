//! Taking a process out of service and back, its end, and when to ask again what has failed. No I/O and no clock: what happens and the time go in,
//! what is to be done comes out.

mod drain;
mod pacing;

pub use drain::{Call, Drain, Input, LineId, Output, Phase, Socket, TooLate};
pub use pacing::{Failed, Pacing};
