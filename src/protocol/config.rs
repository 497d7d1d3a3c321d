//! The configuration that the platform writes for each conductor.

use serde::Deserialize;
use thiserror::Error;

use super::platform::List;
use super::settings::Info;

/// What a conductor is told at its start.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where discovery listens; empty where there is none.
    #[serde(default)]
    pub discovery: String,
    /// Seed for random numbers, in hexadecimal digits.
    pub seed: String,
    /// What the machine has.
    pub limits: MachineLimits,
    /// Where operators call; none where they don't.
    #[serde(default)]
    pub admin: Option<String>,
    /// The list of servers as it was known last; perhaps old.
    pub known: List,
    /// The settings, with the simulator's names and units.
    pub settings: Info,
}

/// What the machine has.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct MachineLimits {
    /// File descriptors.
    pub sockets: usize,
}

/// Why a configuration is refused.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// It is not the JSON that is expected.
    #[error("the configuration can't be read: {0}")]
    Json(#[from] serde_json::Error),
    /// The seed is not hexadecimal.
    #[error("the seed '{0}' is not a hexadecimal number")]
    Seed(String),
    /// There are too few descriptors to serve anybody.
    #[error("{0} sockets are too few: at least {MIN_SOCKETS} are needed")]
    Sockets(usize),
}

/// With fewer descriptors than this, fronts and peers can't both be served.
pub const MIN_SOCKETS: usize = 64;

impl Config {
    /// Reads a configuration.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let config: Config = serde_json::from_str(text)?;
        if config.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::Sockets(config.limits.sockets));
        }
        Ok(config)
    }

    /// The seed as a number.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| ConfigError::Seed(self.seed.clone()))
    }
}
