//! Who is a member of a pool: decided here, without sockets, files or a clock. Whole snapshots of the watched
//! files and the news of discovery go in with the time; numbered, whole, immutable [`Generation`]s come out.
//!
//! The one rule of precedence: where files are set up, **a file says who is a member, with which address,
//! kind, cell and weight; discovery says only whether the process runs and since when, and of two states the
//! stricter one holds.** A server that no file names is no member, whatever discovery says; a server that
//! discovery does not name is as the file says. Without files discovery alone decides.
//!
//! A set of files passes four rooms: [`intake`] (is it whole?), [`check`] (does it agree with itself and with
//! what is known?), [`guard`] (can it be meant?), [`lives`] (who drains, returns, or is another process now).
//! Where it is wanted, `trial` then asks whether it does what is expected of it.
//! This room knows no document form, no path and no protocol.

pub mod check;
pub mod diff;
pub mod guard;
pub mod intake;
pub mod lives;
pub mod refusal;
pub mod set;
mod state;
mod trial;

pub use refusal::{Reason, Refusal};
pub use set::{Catalog, Confirmation, DeclaredServer, Digest, Located, Location, Manifest, Scan, SetFile};
pub use state::{Cause, Generation, Input, ListedServer, Member, Membership, Output, SetRules};
pub use trial::{TimeoutAction, TrialRules};
