//! Keeps the last good set in the state directory: written whole beside the old one, flushed to the disk, and
//! put in its place by one rename.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use thiserror::Error;

use crate::documents::kept::{Kept, KeptError};
use crate::membership::Generation;

/// The file in the state directory.
const FILE: &str = "servers.last-good";
/// The largest such file that is read.
const MOST_BYTES: u64 = 256 << 20;

/// Why the set that was kept can't be had, or not be kept.
#[derive(Debug, Error)]
pub enum KeepError {
    /// The system fails.
    #[error("{}: {error}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// How.
        error: io::Error,
    },
    /// It is not trusted.
    #[error("{}: {error}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Why.
        error: KeptError,
    },
}

/// Seconds of Unix time now.
pub fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// What there is to keep of a generation.
pub fn snapshot(generation: &Generation) -> Kept {
    let files = generation.files.values().map(|file| (file.name.to_string(), file.text.to_string()));
    Kept::new(generation.number, unix_s(), files.collect())
}

/// Keeps a set.
pub fn save(state: &Path, kept: &Kept) -> Result<(), KeepError> {
    let (path, beside) = (state.join(FILE), state.join(format!("{FILE}.new")));
    let text = kept.write().map_err(|error| KeepError::Invalid { path: path.clone(), error })?;
    let write = || -> io::Result<()> {
        fs::create_dir_all(state)?;
        let mut file = File::create(&beside)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        fs::rename(&beside, &path)?;
        // The rename itself is on the disk only with its directory.
        File::open(state)?.sync_all()
    };
    write().map_err(|error| KeepError::Io { path: path.clone(), error })
}

/// The set that was kept; none if there is none.
pub fn load(state: &Path) -> Result<Option<Kept>, KeepError> {
    let path = state.join(FILE);
    let mut text = String::new();
    let read = File::open(&path).and_then(|file| file.take(MOST_BYTES).read_to_string(&mut text));
    match read {
        Ok(_) => Kept::read(&text).map(Some).map_err(|error| KeepError::Invalid { path, error }),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(KeepError::Io { path, error }),
    }
}
