//! Taking a process out of service and back, its end, when to ask again what has failed, and letting go of what is
//! held. No I/O and no clock: what happens and the time go in, what is to be done comes out.

mod drain;
mod let_go;
mod pacing;

pub use drain::{Call, ConnectionId, Drain, Input, Output, Phase, Socket, TooLate};
pub use let_go::LetGo;
pub use pacing::{
    Call as ListCall, Ended as ListEnded, Input as ListInput, Pacing, Phase as ListPhase, Times,
};
