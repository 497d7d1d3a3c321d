//! Decides who is a member of a pool, without sockets, files or a clock. Snapshots of the watched files and
//! updates from discovery go in with the time; numbered, complete, immutable [`Generation`]s come out.
//!
//! The rule of precedence: where files are configured, **a file says who is a member, with which address,
//! kind, cell and weight; discovery says only whether the process runs and since when, and of two states the
//! stricter one applies.** A server that no file names is not a member, whatever discovery says; a server
//! that discovery does not list has the state that its file gives it. Without files, discovery alone decides.
//!
//! A set of files passes four stages: [`intake`] (are the files complete?), [`check`] (does the set agree
//! with itself, with the settings and with the revisions in service?), [`guard`] (does it leave enough
//! capacity in service?) and [`lives`] (which members drain, return or are a new process). Where expectations
//! are configured, `trial` has a set tested against them before it is accepted.
//!
//! This module reads no files, parses no documents and speaks no protocol.

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
