//! Keeps the last good set of server files in the state directory. It is written to a new file beside the old one,
//! flushed to the disk and renamed over the old one, so that a crash leaves either the old file or the new one, whole.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use thiserror::Error;

use crate::documents::kept::{Kept, KeptError};
use crate::membership::Generation;

/// The name of the file in the state directory.
const FILE: &str = "servers.last-good";
/// Most bytes of that file that are read.
const MAX_BYTES: u64 = 256 << 20;

/// Why a set could not be saved or loaded.
#[derive(Debug, Error)]
pub enum KeepError {
    /// An I/O operation failed.
    #[error("{}: {error}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What failed.
        error: io::Error,
    },
    /// The saved set is not valid, or can't be serialised.
    #[error("{}: {error}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        error: KeptError,
    },
}

/// Returns the current Unix time in seconds.
pub fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// Returns what is saved of a generation: its number, the time now and the texts of its files.
pub fn snapshot(generation: &Generation) -> Kept {
    let files = generation.files.values().map(|file| (file.name.to_string(), file.text.to_string()));
    Kept::new(generation.number, unix_s(), files.collect())
}

/// Saves a set in the state directory.
pub fn save(state: &Path, kept: &Kept) -> Result<(), KeepError> {
    let (path, new_path) = (state.join(FILE), state.join(format!("{FILE}.new")));
    let text = kept.write().map_err(|error| KeepError::Invalid { path: path.clone(), error })?;
    let write = || -> io::Result<()> {
        fs::create_dir_all(state)?;
        let mut file = File::create(&new_path)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        fs::rename(&new_path, &path)?;
        // The rename is durable only once the directory itself is flushed.
        File::open(state)?.sync_all()
    };
    write().map_err(|error| KeepError::Io { path: path.clone(), error })
}

/// Loads the saved set; returns `None` if there is none.
pub fn load(state: &Path) -> Result<Option<Kept>, KeepError> {
    let path = state.join(FILE);
    let mut text = String::new();
    let read = File::open(&path).and_then(|file| file.take(MAX_BYTES).read_to_string(&mut text));
    match read {
        Ok(_) => Kept::read(&text).map(Some).map_err(|error| KeepError::Invalid { path, error }),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(KeepError::Io { path, error }),
    }
}
