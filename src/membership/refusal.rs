//! The reasons why a set, or a file of it, is not accepted, each with its location and a remedy.

use std::fmt;

use thiserror::Error;

use super::set::{Digest, Location};
use crate::interface::Role;

/// The reason why a file or a set is not accepted.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Reason {
    /// The file or directory can't be read.
    #[error("can't be read: {0}")]
    Unreadable(String),
    /// The file is larger than this limit in bytes.
    #[error("is larger than {0} bytes")]
    TooLarge(u64),
    /// The file is not UTF-8 text.
    #[error("is not UTF-8")]
    NotUtf8,
    /// The file is not a valid document of the expected kind.
    #[error("{message}")]
    InvalidDocument {
        /// What is wrong.
        message: String,
        /// What to write instead.
        help: Option<String>,
    },
    /// The seal is malformed, misplaced or does not match the content before it.
    #[error("the seal is not valid: {0}")]
    InvalidSeal(String),
    /// A file without a seal has to stay unchanged for the quiet period before it is accepted.
    #[error("has no seal; it is accepted once it has not changed for the time set by 'rest'")]
    AwaitingQuietPeriod,
    /// The file in service has a seal and this one has none: it may have been truncated just before the seal.
    #[error("the file in service has a seal, but this one has none")]
    SealLost,
    /// The file of a data centre in service is missing, which is no instruction to remove its servers.
    #[error("the file of data centre '{0}' is missing; its servers stay in service")]
    FileMissing(String),
    /// The manifest is missing, which is no instruction to remove servers either.
    #[error("the manifest is missing; all servers stay in service")]
    ManifestMissing,
    /// The manifest names a file that does not exist or could not be read.
    #[error("the manifest names '{0}', which does not exist or can't be read")]
    ManifestFileMissing(String),
    /// A file has another digest than the manifest states.
    #[error("'{file}' has the digest {digest}, but the manifest expects {expected}")]
    DigestMismatch {
        /// The file's name.
        file: String,
        /// The file's digest.
        digest: Digest,
        /// The digest that the manifest states.
        expected: Digest,
    },
    /// Two files declare the same data centre.
    #[error("data centre '{0}' is declared by two files")]
    DuplicateZone(String),
    /// Two servers have the same id.
    #[error("the id '{0}' is declared twice")]
    DuplicateId(String),
    /// The numbers computed from two ids are equal.
    #[error("the ids '{0}' and '{1}' have the same server number; one of the servers needs another id")]
    NumberCollision(String, String),
    /// Two servers have the same address.
    #[error("the address {address} is declared for '{first}' and for '{second}'")]
    DuplicateAddress {
        /// The address.
        address: String,
        /// The id of the server that is declared first.
        first: String,
        /// The id of the other server.
        second: String,
    },
    /// The settings do not define a name.
    #[error("there is no {what} '{name}'")]
    UnknownName {
        /// What the name stands for: a zone or a kind.
        what: &'static str,
        /// The unknown name.
        name: String,
        /// A known name that is similar.
        nearest: Option<String>,
    },
    /// The operator's document does not list this cell.
    #[error("there is no cell {0}")]
    UnknownCell(u32),
    /// A cell is declared in two data centres, but belongs to exactly one.
    #[error("cell {cell} is declared in data centre '{first_zone}' and in '{second_zone}'")]
    CellInTwoZones {
        /// The cell.
        cell: u32,
        /// The data centre in which the cell is declared first.
        first_zone: String,
        /// The other data centre.
        second_zone: String,
    },
    /// A weight is negative, not a number or larger than [`MAX_WEIGHT`].
    #[error("the weight {0} is not between 0 and {MAX_WEIGHT}")]
    WeightOutOfRange(String),
    /// The file's revision is older than the one in service, and the file does not declare a roll-back.
    #[error("revision {revision} is older than revision {in_service}, which is in service")]
    OlderRevision {
        /// The file's revision.
        revision: u64,
        /// The revision in service.
        in_service: u64,
    },
    /// The revision is already in service with different content.
    #[error("revision {0} is already in service with different content")]
    SameRevision(u64),
    /// The file rolls back a revision that is not in service.
    #[error("the file rolls back revision {named}, but revision {in_service} is in service")]
    RollbackMismatch {
        /// The revision that the file rolls back.
        named: u64,
        /// The revision in service.
        in_service: u64,
    },
    /// The confirmation (`meant`) names another revision than the file's.
    #[error("'meant' names revision {named}, but the file is revision {revision}")]
    ConfirmationMismatch {
        /// The revision that `meant` names.
        named: u64,
        /// The file's revision.
        revision: u64,
    },
    /// A data centre would have no server of a role with a weight above 0.
    #[error("data centre '{zone}' would have no {}", role_name(*role))]
    ZoneWithoutRole {
        /// The data centre.
        zone: String,
        /// The role.
        role: Role,
    },
    /// No server of a role would have a weight above 0 in any data centre.
    #[error("no {} would have a weight above 0", role_name(*.0))]
    RoleWithoutWeight(Role),
    /// More of a role's weight would leave at once than is allowed without a confirmation.
    #[error(
        "{:.0}% of the weight of all {}s would leave at once; at most {:.0}% may",
        share * 100.0,
        role_name(*role),
        limit * 100.0
    )]
    ExcessiveWeightLoss {
        /// The role.
        role: Role,
        /// The fraction of its weight that would leave, from 0 to 1.
        share: f64,
        /// The largest fraction that may leave at once.
        limit: f64,
    },
    /// The set fails one of its expectations.
    #[error("the expectation '{name}' {verdict}: {why}")]
    ExpectationNotMet {
        /// The name of the expectation.
        name: String,
        /// The verdict: that it fails, stays undecided or can't be tried.
        verdict: &'static str,
        /// What the trial found.
        why: String,
    },
    /// The trial of a set's expectations did not end in time.
    #[error(
        "the trial of the expectations did not end within {} ms; the set is {}",
        time_limit / 1_000,
        if *accepted { "accepted nevertheless" } else { "refused" }
    )]
    TrialTimedOut {
        /// How long a trial may last, in microseconds.
        time_limit: u64,
        /// True if the set is accepted nevertheless, false if it is refused.
        accepted: bool,
    },
}

/// The largest weight of a server. A rack of servers behind one address has a weight of some tens; a weight
/// above the limit is a mistake.
pub const MAX_WEIGHT: f64 = 1000.0;

/// Returns the name of a role as it is shown to operators.
pub fn role_name(role: Role) -> &'static str {
    match role {
        Role::Reader => "reader",
        Role::Writer => "writer",
        Role::Mixed => "mixed server",
    }
}

impl Reason {
    /// Returns what the operator can do about the reason, if there is advice to give.
    pub fn remedy(&self) -> Option<String> {
        let text = match self {
            Reason::InvalidDocument { help, .. } => return help.clone(),
            Reason::UnknownName { nearest, .. } => {
                return nearest.as_ref().map(|name| format!("did you mean '{name}'?"));
            }
            Reason::InvalidSeal(_) => "write the file again in full, then run `birchspur servers seal FILE`",
            Reason::SealLost | Reason::AwaitingQuietPeriod => {
                "run `birchspur servers seal FILE` to have it accepted at once"
            }
            Reason::FileMissing(_) => {
                "to remove a data centre, keep its file without servers and with a 'meant'"
            }
            Reason::ManifestMissing => {
                "restore it; without a manifest at the start, each file changes by itself"
            }
            Reason::ManifestFileMissing(_) | Reason::DigestMismatch { .. } => {
                "put all files in place, then run `birchspur servers seal --manifest DIR`"
            }
            Reason::DuplicateZone(_) => "keep only one file for each data centre",
            Reason::OlderRevision { .. } => {
                "raise 'revision', or set 'rollback-of' to the revision in service"
            }
            Reason::SameRevision(_) => "raise 'revision' with each change",
            Reason::RollbackMismatch { .. } => "set 'rollback-of' to the revision in service",
            Reason::ConfirmationMismatch { .. } => {
                "'meant' holds for one revision only: name the file's revision, or remove 'meant'"
            }
            Reason::ZoneWithoutRole { .. }
            | Reason::RoleWithoutWeight(_)
            | Reason::ExcessiveWeightLoss { .. } => {
                "if this is intended, add `meant revision=N reason=\"...\"` with the file's revision"
            }
            Reason::ExpectationNotMet { .. } => {
                "correct the files or the expectation; `birchspur expect` tries them by hand"
            }
            Reason::TrialTimedOut { .. } => "raise 'within', or use fewer requests in the expectations",
            Reason::TooLarge(_) => "split the file by data centre",
            Reason::UnknownCell(_) => "list the cell under 'cells' in the operator's document",
            _ => return None,
        };
        Some(text.to_string())
    }

    /// Returns true if the set is consistent and is only held back until the operator confirms that it is
    /// intended.
    pub fn can_be_confirmed(&self) -> bool {
        matches!(
            self,
            Reason::ZoneWithoutRole { .. }
                | Reason::RoleWithoutWeight(_)
                | Reason::ExcessiveWeightLoss { .. }
        )
    }
}

/// A reason why something is not accepted, with its location.
#[derive(Clone, Debug, PartialEq, Error)]
pub struct Refusal {
    /// The reason.
    pub reason: Box<Reason>,
    /// Where the problem stands.
    pub location: Location,
    /// Another location that is involved, such as that of the first of two duplicates.
    pub related: Option<Location>,
}

impl Refusal {
    /// Creates a refusal with one location.
    pub fn new(reason: Reason, location: Location) -> Self {
        Self::with_related(reason, location, None)
    }

    /// Creates a refusal with an optional related location.
    pub fn with_related(reason: Reason, location: Location, related: Option<Location>) -> Self {
        Refusal { reason: Box::new(reason), location, related }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.reason)?;
        if let Some(related) = &self.related {
            write!(f, " (see also {related})")?;
        }
        match self.reason.remedy() {
            Some(remedy) => write!(f, "; {remedy}"),
            None => Ok(()),
        }
    }
}
