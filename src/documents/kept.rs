//! The last good set as the program keeps it for its next start: the texts of the files as they were, the
//! number of their generation and when they were taken, under one digest. What does not fit it is refused.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::read::Source;
use super::seal;
use crate::membership::{Refusal, SetFile};

/// The form of the file; another one is refused.
const FORM: u32 = 1;

/// A set that was kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    form: u32,
    /// The generation's number.
    pub generation: u64,
    /// When it was taken, in seconds of Unix time.
    pub unix_s: u64,
    /// Names and texts of the files.
    pub files: Vec<(String, String)>,
}

/// Why a set that was kept is not trusted.
#[derive(Debug, Error)]
pub enum KeptError {
    /// The digest does not fit.
    #[error("it is damaged: its digest does not fit")]
    Damaged,
    /// It is of another form.
    #[error("it can't be read: {0}")]
    Json(#[from] serde_json::Error),
    /// It is of another form.
    #[error("its form is {0}, this program knows {FORM}")]
    Form(u32),
    /// A file in it is refused.
    #[error("{0}")]
    Refused(#[from] Refusal),
}

impl Kept {
    /// A set to keep.
    pub fn new(generation: u64, unix_s: u64, files: Vec<(String, String)>) -> Self {
        Kept { form: FORM, generation, unix_s, files }
    }

    /// The bytes of the file: the digest of the second line, and that line.
    pub fn write(&self) -> Result<String, KeptError> {
        let body = serde_json::to_string(self)?;
        Ok(format!("{}\n{body}\n", seal::digest(body.as_bytes())))
    }

    /// Reads what [`Kept::write`] wrote.
    pub fn read(text: &str) -> Result<Self, KeptError> {
        let (digest, body) = text.split_once('\n').ok_or(KeptError::Damaged)?;
        let body = body.strip_suffix('\n').ok_or(KeptError::Damaged)?;
        if seal::parse_digest(digest) != Some(seal::digest(body.as_bytes())) {
            return Err(KeptError::Damaged);
        }
        let kept: Kept = serde_json::from_str(body)?;
        if kept.form == FORM { Ok(kept) } else { Err(KeptError::Form(kept.form)) }
    }

    /// The files in it.
    pub fn sets(&self) -> Result<Vec<SetFile>, KeptError> {
        let files = self.files.iter().map(|(name, text)| Source::new(name.as_str(), text.as_str()));
        Ok(files.map(|source| super::servers::parse(&source)).collect::<Result<_, _>>()?)
    }
}
