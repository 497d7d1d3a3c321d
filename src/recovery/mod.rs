//! Taking a process out of service and back, and its end. No I/O and no clock: what happens and the time go in,
//! what is to be done comes out.

mod drain;

pub use drain::{Call, Drain, Input, LineId, Output, Phase, Socket, TooLate};
