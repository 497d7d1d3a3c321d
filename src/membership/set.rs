//! Data types of a set: what its files declare, and where in the files each value stands.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use crate::interface::{Role, ServerId};

/// A position in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// The file's name within its directory.
    pub file: Arc<str>,
    /// Line, counted from 1; 0 if the location is the whole file.
    pub line: u32,
    /// Column in characters, counted from 1; 0 if the location is the whole file.
    pub column: u32,
    /// Offset in bytes from the start of the file.
    pub offset: usize,
    /// Length in bytes.
    pub length: usize,
}

impl Location {
    /// Returns the location that stands for a whole file.
    pub fn whole_file(file: impl Into<Arc<str>>) -> Self {
        Location { file: file.into(), line: 0, column: 0, offset: 0, length: 0 }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}", self.file),
            line => write!(f, "{}:{line}:{}", self.file, self.column),
        }
    }
}

/// A value together with its location in a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Where the value stands.
    pub location: Location,
}

/// The SHA-256 digest of a file's bytes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// A server as a file declares it.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredServer {
    /// The server's id.
    pub id: Located<String>,
    /// The number that identifies the server in routing decisions, computed from the id.
    pub number: ServerId,
    /// The address on which it listens.
    pub address: Located<String>,
    /// The name of its kind.
    pub kind: Located<String>,
    /// Its cell.
    pub cell: Located<u32>,
    /// Its weight: its capacity relative to other servers of its role. With weight 0 it gets no new work.
    pub weight: Located<f64>,
    /// True if the server only finishes the work that it has.
    pub draining: bool,
}

/// An operator's confirmation (the `meant` node) that one revision is intended although it would be
/// held back.
#[derive(Clone, Debug, PartialEq)]
pub struct Confirmation {
    /// The revision that is confirmed; the confirmation holds for no other.
    pub revision: u64,
    /// The operator's reason.
    pub reason: String,
}

/// One file of a set: the servers of one data centre (zone).
#[derive(Clone, Debug, PartialEq)]
pub struct SetFile {
    /// The file's name within its directory.
    pub name: Arc<str>,
    /// Its text, which is saved for the next start.
    pub text: Arc<str>,
    /// The digest of its bytes.
    pub digest: Digest,
    /// True if the file ends in a valid seal: a last node that counts and digests all that precedes it, which
    /// shows that the file has not been truncated.
    pub sealed: bool,
    /// The data centre.
    pub zone: Located<String>,
    /// The file's revision, which grows with each change.
    pub revision: Located<u64>,
    /// The newer revision that this older one replaces on purpose.
    pub rollback_of: Option<Located<u64>>,
    /// The operator's confirmation that this very revision is intended, if the file has one.
    pub meant: Option<Located<Confirmation>>,
    /// The servers.
    pub servers: Vec<DeclaredServer>,
}

impl SetFile {
    /// Returns true if the operator has confirmed this very revision, so that the guard does not hold it
    /// back.
    pub fn is_confirmed(&self) -> bool {
        self.meant.as_ref().is_some_and(|meant| meant.value.revision == self.revision.value)
    }
}

/// A manifest: the files that change together.
#[derive(Clone, Debug, PartialEq)]
pub struct Manifest {
    /// The name of the manifest's own file.
    pub name: Arc<str>,
    /// The digest of its bytes.
    pub digest: Digest,
    /// True if the manifest ends in a valid seal, so that it has not been truncated.
    pub sealed: bool,
    /// The names of the files, with the digest that each must have.
    pub files: Vec<(Located<String>, Digest)>,
}

/// The contents of a directory at the time when it was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scan {
    /// For each file, what it declares or why it can't be read.
    pub files: Vec<Result<Arc<SetFile>, super::Refusal>>,
    /// The manifest, if there is one.
    pub manifest: Option<Result<Manifest, super::Refusal>>,
}

/// The names that the settings define, against which sets are checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// The data centres, ordered by number.
    pub zones: Vec<String>,
    /// The kinds of server with their roles, ordered by number.
    pub kinds: Vec<(String, Role)>,
    /// The cells that exist; if none, any cell number is valid.
    pub cells: Option<BTreeSet<u32>>,
}

impl Catalog {
    /// Returns the role of a kind, or none if the kind is not known.
    pub fn role(&self, kind: &str) -> Option<Role> {
        self.kinds.iter().find(|(name, _)| name == kind).map(|(_, role)| *role)
    }
}
