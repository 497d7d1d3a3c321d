//! Claims on ids, which the two processes of a replacement share through a folder: each id that must not run twice has a file
//! there, and only one process can create it. The files are few, empty and in the folder for temporary files, so that
//! calls for them take microseconds.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::DirBuilderExt;
use std::path::PathBuf;

use crate::interface::Micros;
use crate::recovery::{IdDigest, REMEMBERED_FOR};

/// How often the folder is searched for claims that no process removes any more.
const SWEEP_INTERVAL: Micros = 60_000_000;
/// Only this user's processes may read the folder.
const FOLDER_MODE: u32 = 0o700;

/// The result of a claim.
#[derive(Debug)]
pub enum Claim {
    /// The id is this process's now.
    Granted,
    /// Another process, or an earlier request, has claimed the id.
    Taken,
    /// The folder can't be used.
    Unavailable(io::Error),
}

/// The folder of the claims.
#[derive(Debug)]
pub struct ClaimFolder {
    path: PathBuf,
    /// When each claim in the folder was first seen. The times of files are not used, as the wall clock may be stepped.
    first_seen: HashMap<IdDigest, Micros>,
    next_sweep: Micros,
}

impl ClaimFolder {
    /// Opens the folder that all processes at this listening socket share.
    pub fn open(socket: &str) -> io::Result<Self> {
        let socket: String =
            socket.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
        let path = std::env::temp_dir().join(format!("birchspur-ids-{socket}"));
        fs::DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(&path)?;
        Ok(ClaimFolder { path, first_seen: HashMap::new(), next_sweep: 0 })
    }

    fn file(&self, id: IdDigest) -> PathBuf {
        self.path.join(format!("{:016x}", id.0))
    }

    /// Claims an id.
    pub fn claim(&self, id: IdDigest) -> Claim {
        match File::create_new(self.file(id)) {
            Ok(_) => Claim::Granted,
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => Claim::Taken,
            Err(error) => Claim::Unavailable(error),
        }
    }

    /// Gives up a claim: the id may be used again.
    pub fn release(&self, id: IdDigest) {
        // A claim that can't be removed now is removed by a later sweep.
        let _ = fs::remove_file(self.file(id));
    }

    /// Removes claims that have been there for longer than ids are remembered, such as those of a process that was killed.
    pub fn sweep(&mut self, now: Micros) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now.saturating_add(SWEEP_INTERVAL);
        let Ok(entries) = fs::read_dir(&self.path) else { return };
        let ids = entries.filter_map(|entry| {
            let name = entry.ok()?.file_name();
            u64::from_str_radix(name.to_str()?, 16).ok().map(IdDigest)
        });
        let previous = std::mem::take(&mut self.first_seen);
        for id in ids {
            let seen = previous.get(&id).copied().unwrap_or(now);
            if now.saturating_sub(seen) > REMEMBERED_FOR {
                self.release(id);
            } else {
                self.first_seen.insert(id, seen);
            }
        }
    }
}
