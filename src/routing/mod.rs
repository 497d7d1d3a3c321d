//! The core of the program: it owns the routers, the open requests with their attempts, and the timers, and knows no wire
//! protocol. It is given an event and the time, and returns outputs in one synchronous call. The fronts and the plug-in
//! share it.

mod core;
mod evidence;
mod holding;
mod message;
mod release_ranking;
mod state;
mod totals;
mod tries;

pub use self::core::Core;
pub use self::evidence::Evidence;
pub use self::message::{Admission, CancelReason, ConnectionChoice, Input, Output, PoolId};
pub use self::totals::{ClassTotals, Totals};
