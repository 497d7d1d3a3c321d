//! Claims on ids, which the two processes of a replacement share through a folder: each id that must not run twice has a
//! symbolic link there, which only one process can create and whose target names that process. Every process looks at
//! the claims before it takes an id, and only its owner takes a claim back. The links are few and in the folder for
//! temporary files, so that calls for them take microseconds.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::fs;
use std::io;
use std::os::unix::fs::{DirBuilderExt, symlink};
use std::path::{Path, PathBuf};
use std::str::FromStr;

use crate::interface::Micros;
use crate::recovery::{IdDigest, REMEMBERED_FOR};

/// How often the folder is searched for claims whose processes have ended.
const SWEEP_INTERVAL: Micros = 60_000_000;
/// Only this user's processes may read the folder.
const FOLDER_MODE: u32 = 0o700;
/// The field of `/proc/PID/stat` that holds the time at which the process started, counted from the one behind its name.
const START_TIME_FIELD: usize = 19;

/// The result of a claim.
#[derive(Debug)]
pub enum Claim {
    /// No other process has claimed the id. If it was to be claimed, it is this process's now.
    Granted,
    /// Another process, or an earlier request, has claimed the id.
    Taken,
    /// The folder can't be used.
    Unavailable(io::Error),
}

/// A process that owns claims. Another process may get the same number later, but not the same start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    process: u32,
    started: u64,
}

impl Owner {
    /// Returns the process of this number.
    pub fn new(process: u32) -> Self {
        Owner { process, started: start_time(process).unwrap_or(0) }
    }

    /// Returns this process.
    pub fn this_process() -> Self {
        Owner::new(std::process::id())
    }

    /// Returns true if the process has not ended.
    fn is_running(&self) -> bool {
        start_time(self.process) == Some(self.started)
    }
}

/// Returns when a process started, in the system's ticks, if it runs.
fn start_time(process: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let (_, behind_name) = stat.rsplit_once(')')?;
    behind_name.split_whitespace().nth(START_TIME_FIELD)?.parse().ok()
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.process, self.started)
    }
}

/// The text names no owner.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidOwner;

impl FromStr for Owner {
    type Err = InvalidOwner;

    fn from_str(text: &str) -> Result<Self, InvalidOwner> {
        let (process, started) = text.split_once('-').ok_or(InvalidOwner)?;
        let process = process.parse().map_err(|_| InvalidOwner)?;
        let started = started.parse().map_err(|_| InvalidOwner)?;
        Ok(Owner { process, started })
    }
}

/// Whose a claim is.
enum Holder {
    Nobody,
    /// A process, or `None` if the claim names none, as those of earlier versions.
    Process(Option<Owner>),
}

/// The folder of the claims.
#[derive(Debug)]
pub struct ClaimFolder {
    path: PathBuf,
    owner: Owner,
    /// The claims of this process.
    owned: HashSet<IdDigest>,
    /// When each claim of a process that has ended was first seen. The times of files are not used, as the wall clock may be
    /// stepped.
    abandoned_since: HashMap<IdDigest, Micros>,
    next_sweep: Micros,
}

impl ClaimFolder {
    /// Opens the folder that all processes at this listening socket share, for claims of this owner.
    pub fn open(socket: &str, owner: Owner) -> io::Result<Self> {
        let socket: String =
            socket.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
        let path = std::env::temp_dir().join(format!("birchspur-ids-{socket}"));
        fs::DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(&path)?;
        let (owned, abandoned_since) = (HashSet::new(), HashMap::new());
        Ok(ClaimFolder { path, owner, owned, abandoned_since, next_sweep: 0 })
    }

    fn link(&self, id: IdDigest) -> PathBuf {
        self.path.join(format!("{:016x}", id.0))
    }

    /// Claims an id.
    pub fn claim(&mut self, id: IdDigest) -> Claim {
        let claim = match symlink(self.owner.to_string(), self.link(id)) {
            Ok(()) => Claim::Granted,
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists && !self.owned.contains(&id) => {
                self.check(id)
            }
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => Claim::Taken,
            Err(error) => Claim::Unavailable(error),
        };
        if matches!(claim, Claim::Granted) {
            self.owned.insert(id);
        }
        claim
    }

    /// Checks that no other process has claimed an id. This process knows its own ids without the folder.
    pub fn check(&self, id: IdDigest) -> Claim {
        match holder(&self.link(id)) {
            Ok(Holder::Nobody) => Claim::Granted,
            Ok(Holder::Process(owner)) if owner == Some(self.owner) => Claim::Granted,
            Ok(Holder::Process(_)) => Claim::Taken,
            Err(error) => Claim::Unavailable(error),
        }
    }

    /// Gives up a claim of this process, if it has one: the id may be used again.
    pub fn release(&mut self, id: IdDigest) {
        if self.owned.remove(&id) {
            // A claim that can't be removed now is removed by a later sweep.
            let _ = fs::remove_file(self.link(id));
        }
    }

    /// Removes claims whose processes ended longer ago than ids are remembered, such as those of a process that was killed.
    pub fn sweep(&mut self, now: Micros) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now.saturating_add(SWEEP_INTERVAL);
        let Ok(entries) = fs::read_dir(&self.path) else { return };
        let previous = std::mem::take(&mut self.abandoned_since);
        for entry in entries.flatten() {
            let name = entry.file_name();
            let id = name.to_str().and_then(|name| u64::from_str_radix(name, 16).ok()).map(IdDigest);
            let Some(id) = id.filter(|id| self.is_abandoned(*id)) else { continue };
            let since = previous.get(&id).copied().unwrap_or(now);
            if now.saturating_sub(since) > REMEMBERED_FOR {
                let _ = fs::remove_file(entry.path());
            } else {
                self.abandoned_since.insert(id, since);
            }
        }
    }

    /// Returns true if nobody is left who could release a claim.
    fn is_abandoned(&self, id: IdDigest) -> bool {
        match holder(&self.link(id)) {
            Ok(Holder::Process(Some(owner))) if owner == self.owner => !self.owned.contains(&id),
            Ok(Holder::Process(owner)) => owner.is_none_or(|owner| !owner.is_running()),
            Ok(Holder::Nobody) | Err(_) => false,
        }
    }
}

/// Returns whose the claim with this link is.
fn holder(link: &Path) -> io::Result<Holder> {
    match fs::read_link(link) {
        Ok(target) => Ok(Holder::Process(target.to_str().and_then(|target| target.parse().ok()))),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Holder::Nobody),
        // It is a file, as in earlier versions.
        Err(error) if error.kind() == io::ErrorKind::InvalidInput => Ok(Holder::Process(None)),
        Err(error) => Err(error),
    }
}
