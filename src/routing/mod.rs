//! The core: it owns the routers, the open requests, their attempts and the timers, and knows no wire. An
//! event and the time go in, outputs come out, in one synchronous call; the fronts and the plug-in share it.

mod core;
mod evidence;
mod holding;
mod message;
mod state;
mod totals;
mod tries;

pub use self::core::Core;
pub use self::evidence::Evidence;
pub use self::message::{Admission, CancelReason, ConnectionChoice, Input, Output, PoolId};
pub use self::totals::{ClassTotals, Totals};
