//! Taking a process out of service and back, its end, when to ask again what has failed, and the release of
//! what is held. No I/O and no clock: what happens and the time go in, what is to be done comes out.

mod drain;
mod held;
mod pacing;
mod release;

pub use drain::{AlreadyTerminating, Call, ConnectionId, Drain, Input, Output, Phase, Socket};
pub use held::{DueRelease, HeldState};
pub use pacing::{
    Call as ListCall, CallOutcome as ListOutcome, Input as ListInput, Pacing, Phase as ListPhase, Times,
};
pub use release::Release;
