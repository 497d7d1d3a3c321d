//! The plain data of a set: what files declare, and where in them it stands.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use crate::interface::{Role, ServerId};

/// Where something stands in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// The file's name within its directory.
    pub file: Arc<str>,
    /// Line, from 1; 0 where the whole file is meant.
    pub line: u32,
    /// Column in characters, from 1; 0 where the whole file is meant.
    pub column: u32,
    /// The same in bytes from the file's start.
    pub offset: usize,
    /// How many bytes it takes up.
    pub length: usize,
}

impl Location {
    /// The whole of a file.
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

/// A value and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Where it stands.
    pub location: Location,
}

/// SHA-256 of a file's bytes.
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

/// One server as a file declares it.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredServer {
    /// Its id.
    pub id: Located<String>,
    /// The number that decisions know it by, made from the id.
    pub number: ServerId,
    /// Where it listens.
    pub address: Located<String>,
    /// The name of its kind.
    pub kind: Located<String>,
    /// Its cell.
    pub cell: Located<u32>,
    /// Its weight: capacity against others of its role; 0 takes nothing new.
    pub weight: Located<f64>,
    /// It finishes what it has.
    pub draining: bool,
}

/// A figure that names a revision, with the operator's reason.
#[derive(Clone, Debug, PartialEq)]
pub struct Confirmation {
    /// The revision named.
    pub revision: u64,
    /// Why.
    pub reason: String,
}

/// One file: the servers of one data centre (zone).
#[derive(Clone, Debug, PartialEq)]
pub struct SetFile {
    /// Its name within the directory.
    pub name: Arc<str>,
    /// Its text, which is kept for the next start.
    pub text: Arc<str>,
    /// Digest of its bytes.
    pub digest: Digest,
    /// Its last node counts and digests all before it, so that it can't have been cut off.
    pub sealed: bool,
    /// The data centre.
    pub zone: Located<String>,
    /// Grows with each change.
    pub revision: Located<u64>,
    /// This older revision takes the place of that newer one on purpose.
    pub rollback_of: Option<Located<u64>>,
    /// The operator means what would be held back, in just this revision.
    pub meant: Option<Located<Confirmation>>,
    /// The servers.
    pub servers: Vec<DeclaredServer>,
}

impl SetFile {
    /// Whether what would be held back is meant, in this very revision.
    pub fn is_confirmed(&self) -> bool {
        self.meant.as_ref().is_some_and(|meant| meant.value.revision == self.revision.value)
    }
}

/// Several files that change as one.
#[derive(Clone, Debug, PartialEq)]
pub struct Manifest {
    /// The file that holds it.
    pub name: Arc<str>,
    /// Digest of its bytes.
    pub digest: Digest,
    /// It can't have been cut off.
    pub sealed: bool,
    /// The files by name, and the digest that each must have.
    pub files: Vec<(Located<String>, Digest)>,
}

/// What a directory held when it was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scan {
    /// Each file: what it declares, or why it can't be read.
    pub files: Vec<Result<Arc<SetFile>, super::Refusal>>,
    /// The manifest, if there is one.
    pub manifest: Option<Result<Manifest, super::Refusal>>,
}

/// What the settings know, by which sets are checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// The data centres, in the order of their numbers.
    pub zones: Vec<String>,
    /// The kinds of server with their roles, in the order of their numbers.
    pub kinds: Vec<(String, Role)>,
    /// The cells that exist; none: any number will do.
    pub cells: Option<BTreeSet<u32>>,
}

impl Catalog {
    /// The role of a kind.
    pub fn role(&self, kind: &str) -> Option<Role> {
        self.kinds.iter().find(|(name, _)| name == kind).map(|(_, role)| *role)
    }
}
