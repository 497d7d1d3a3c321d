//! Taking the process out of service and back, its shutdown, the pacing of calls to discovery, the release of what
//! servers hold for a request, whether a server's answer goes on, the delivery of what a server has been promised, which
//! ids must not run again, and what a tool call that broke off may have done. These are state machines without I/O and without a clock: they are given events and the time, and return what has to be done.

mod answer;
mod delivery;
mod drain;
mod effects;
mod held;
mod pacing;
mod release;
mod used_ids;

pub use answer::{AnswerProgress, Arrived};
pub use delivery::{DeliveryOutcome, DeliverySchedule, DeliveryStep, TryOutcome};
pub use drain::{AlreadyTerminating, Call, ConnectionId, Drain, Input, Output, Phase, Socket, earliest_kill};
pub use effects::{CallEffects, EffectsRuledOut};
pub use held::{DueRelease, HeldState};
pub use pacing::{
    Call as ListCall, CallOutcome as ListOutcome, Input as ListInput, Pacing, Phase as ListPhase, Times,
};
pub use release::{Release, ReleaseOrder};
pub use used_ids::{ID_BYTES, IdDigest, MAX_IDS, REMEMBERED_FOR, UsedIds};
