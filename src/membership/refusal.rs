//! Why a set, or a file of it, is not taken: typed, with its place and a remedy.

use std::fmt;

use thiserror::Error;

use super::set::{Digest, Location};
use crate::interface::Role;

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Reason {
    /// The file could not be read at all.
    #[error("can't be read: {0}")]
    Unreadable(String),
    /// It is larger than a file may be.
    #[error("is larger than {0} bytes")]
    TooLarge(u64),
    /// It is no text.
    #[error("is not UTF-8")]
    NotUtf8,
    /// It is no document of the kind that is expected.
    #[error("{message}")]
    InvalidDocument {
        /// What is wrong.
        message: String,
        /// What to write in its place.
        help: Option<String>,
    },
    /// What stands before the seal is not what was sealed.
    #[error("the seal does not fit: {0}")]
    InvalidSeal(String),
    /// A file without a seal has to rest before it is taken.
    #[error("has no seal, and is taken when it has rested")]
    AwaitingQuietPeriod,
    /// The file in service has a seal, this one has none: it may have been cut off just before it.
    #[error("the file in service has a seal, this one has lost it")]
    SealLost,
    /// A file has gone; that is no instruction.
    #[error("the file of data centre '{0}' is missing; its servers stay")]
    FileMissing(String),
    /// The manifest has gone; that is no instruction either.
    #[error("the manifest is missing; all servers stay")]
    ManifestMissing,
    /// The manifest names a file that is not there.
    #[error("the manifest names '{0}', which is not there or can't be read")]
    ManifestFileMissing(String),
    /// A file is not the one that the manifest means.
    #[error("'{file}' has the digest {digest}, the manifest wants {expected}")]
    DigestMismatch {
        /// The file.
        file: String,
        /// Its digest.
        digest: Digest,
        /// The manifest's.
        expected: Digest,
    },
    /// Two files declare one data centre.
    #[error("data centre '{0}' is declared by two files")]
    DuplicateZone(String),
    /// One id stands twice.
    #[error("the id '{0}' stands twice")]
    DuplicateId(String),
    /// Two ids have one number.
    #[error("'{0}' and '{1}' have the same number; one of them needs another id")]
    NumberCollision(String, String),
    /// One address stands under two ids.
    #[error("the address {address} is that of '{first}' and of '{second}'")]
    DuplicateAddress {
        /// The address.
        address: String,
        /// One id.
        first: String,
        /// The other.
        second: String,
    },
    /// A name is not among the settings.
    #[error("there is no {what} '{name}'")]
    UnknownName {
        /// Zone or kind.
        what: &'static str,
        /// The name.
        name: String,
        /// A known name that is close.
        nearest: Option<String>,
    },
    /// The cell is not among those that the operator's document lists.
    #[error("there is no cell {0}")]
    UnknownCell(u32),
    /// A cell can't lie in two data centres.
    #[error("cell {cell} lies in '{first_zone}' and in '{second_zone}'")]
    CellInTwoZones {
        /// The cell.
        cell: u32,
        /// One data centre.
        first_zone: String,
        /// The other.
        second_zone: String,
    },
    /// A weight that can't be.
    #[error("the weight {0} is not between 0 and {MAX_WEIGHT}")]
    WeightOutOfRange(String),
    /// An older revision, and no word of a roll-back.
    #[error("revision {revision} is older than {in_service}, which is in service")]
    OlderRevision {
        /// Of the file.
        revision: u64,
        /// In service.
        in_service: u64,
    },
    /// The same revision with another content.
    #[error("revision {0} is in service with another content")]
    SameRevision(u64),
    /// A roll-back of a revision that is not in service.
    #[error("it rolls revision {named} back, but {in_service} is in service")]
    RollbackMismatch {
        /// Named by the file.
        named: u64,
        /// In service.
        in_service: u64,
    },
    /// `meant` speaks of another revision.
    #[error("'meant' names revision {named}, the file is revision {revision}")]
    ConfirmationMismatch {
        /// Named by `meant`.
        named: u64,
        /// Of the file.
        revision: u64,
    },
    /// Nobody would be left for a role in a data centre.
    #[error("data centre '{zone}' would have no {}", role_name(*role))]
    ZoneWithoutRole {
        /// The data centre.
        zone: String,
        /// The role.
        role: Role,
    },
    /// All servers of a role would have the weight 0.
    #[error("no {} would have a weight above 0", role_name(*.0))]
    RoleWithoutWeight(Role),
    /// Too much would leave at once.
    #[error(
        "{:.0}% of the weight of all {}s would leave at once; {:.0}% may",
        share * 100.0,
        role_name(*role),
        limit * 100.0
    )]
    ExcessiveWeightLoss {
        /// The role.
        role: Role,
        /// The part of its weight that would leave, from 0 to 1.
        share: f64,
        /// The part that may.
        limit: f64,
    },
    /// An expectation does not hold with it.
    #[error("the expectation '{name}' {verdict}: {why}")]
    ExpectationNotMet {
        /// Its name.
        name: String,
        /// That it fails, or stays undecided.
        verdict: &'static str,
        /// What was met.
        why: String,
    },
    /// Its expectations were not tried in time.
    #[error(
        "its expectations were not settled within {} ms; it is {}",
        time_limit / 1_000,
        if *accepted { "taken all the same" } else { "refused" }
    )]
    TrialTimedOut {
        /// The time that a trial may last, in microseconds.
        time_limit: u64,
        /// It is taken, not refused.
        accepted: bool,
    },
}

/// The largest weight of a server. A rack of servers behind one address weighs some tens; more is a mistake.
pub const MAX_WEIGHT: f64 = 1000.0;

/// A role as operators say it.
pub fn role_name(role: Role) -> &'static str {
    match role {
        Role::Reader => "reader",
        Role::Writer => "writer",
        Role::Mixed => "mixed server",
    }
}

impl Reason {
    /// What the operator can do about it.
    pub fn remedy(&self) -> Option<String> {
        let text = match self {
            Reason::InvalidDocument { help, .. } => return help.clone(),
            Reason::UnknownName { nearest, .. } => {
                return nearest.as_ref().map(|name| format!("did you mean '{name}'?"));
            }
            Reason::InvalidSeal(_) => "write it again whole, then `birchspur servers seal FILE`",
            Reason::SealLost | Reason::AwaitingQuietPeriod => {
                "`birchspur servers seal FILE` lets it be taken at once"
            }
            Reason::FileMissing(_) => {
                "to take a data centre out, leave its file with no servers and a 'meant'"
            }
            Reason::ManifestMissing => "put it back; without one at the start, each file changes by itself",
            Reason::ManifestFileMissing(_) | Reason::DigestMismatch { .. } => {
                "put all files in place, then `birchspur servers seal --manifest DIR`"
            }
            Reason::DuplicateZone(_) => "leave one file a data centre",
            Reason::OlderRevision { .. } => {
                "raise 'revision', or say 'rollback-of' with the revision in service"
            }
            Reason::SameRevision(_) => "raise 'revision' with each change",
            Reason::RollbackMismatch { .. } => "name the revision that is in service in 'rollback-of'",
            Reason::ConfirmationMismatch { .. } => {
                "'meant' holds for one revision: name this one, or take it out"
            }
            Reason::ZoneWithoutRole { .. }
            | Reason::RoleWithoutWeight(_)
            | Reason::ExcessiveWeightLoss { .. } => {
                "if it is so, add `meant revision=N reason=\"...\"` with the file's revision"
            }
            Reason::ExpectationNotMet { .. } => {
                "correct the files or the expectation; `birchspur expect` tries them by hand"
            }
            Reason::TrialTimedOut { .. } => {
                "give 'within' more time, or ask fewer requests of the expectations"
            }
            Reason::TooLarge(_) => "split it by data centre",
            Reason::UnknownCell(_) => "list it under 'cells' in the operator's document",
            _ => return None,
        };
        Some(text.to_string())
    }

    /// The set agrees with itself but is not believed: the operator can say that it is meant.
    pub fn can_be_confirmed(&self) -> bool {
        matches!(
            self,
            Reason::ZoneWithoutRole { .. }
                | Reason::RoleWithoutWeight(_)
                | Reason::ExcessiveWeightLoss { .. }
        )
    }
}

/// A reason and its place.
#[derive(Clone, Debug, PartialEq, Error)]
pub struct Refusal {
    /// What is wrong.
    pub reason: Box<Reason>,
    /// Where.
    pub location: Location,
    /// Where else it shows, such as the other of two.
    pub related: Option<Location>,
}

impl Refusal {
    /// A refusal with one place.
    pub fn new(reason: Reason, location: Location) -> Self {
        Self::with_related(reason, location, None)
    }

    /// A refusal with another place where it shows.
    pub fn with_related(reason: Reason, location: Location, related: Option<Location>) -> Self {
        Refusal { reason: Box::new(reason), location, related }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.reason)?;
        if let Some(other) = &self.related {
            write!(f, " (see also {other})")?;
        }
        match self.reason.remedy() {
            Some(remedy) => write!(f, "; {remedy}"),
            None => Ok(()),
        }
    }
}
