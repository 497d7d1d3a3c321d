//! Taking a process out of service and back, its end, when to ask again what has failed, and the release of
//! what is held. No I/O and no clock: what happens and the time go in, what is to be done comes out.

mod drain;
mod held;
mod pacing;
mod release;

pub use drain::{Call, ConnectionId, Drain, Input, Output, Phase, Socket, TooLate};
pub use held::{Held, HeldDue};
pub use pacing::{
    Call as ListCall, Ended as ListEnded, Input as ListInput, Pacing, Phase as ListPhase, Times,
};
pub use release::Release;
