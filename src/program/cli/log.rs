//! The log on standard error.

use std::io;

use tracing_subscriber::EnvFilter;

use crate::documents::operator::{Log, LogForm};
use crate::program::error::ProgramError;

/// Starts the log. The filter has already been checked when the operator's document was parsed.
pub(super) fn start(log: &Log) -> Result<(), ProgramError> {
    let filter = EnvFilter::try_new(&log.filter).map_err(io::Error::other)?;
    let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    let started = match log.form {
        LogForm::Text => lines.with_ansi(false).try_init(),
        LogForm::Json => lines.json().flatten_event(true).try_init(),
    };
    Ok(started.map_err(io::Error::other)?)
}
