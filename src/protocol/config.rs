//! The configuration that the platform writes for each conductor.

use serde::Deserialize;
use thiserror::Error;

use super::platform::List;
use super::settings::Info;
use crate::limits::memory::MIN_MEMORY_MB;

/// The configuration that a conductor reads at its start.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// The conductor's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: String,
    /// The address of discovery; empty if there is none.
    #[serde(default)]
    pub discovery: String,
    /// The seed of the random numbers, in hexadecimal digits.
    pub seed: String,
    /// The limits of the machine.
    pub limits: MachineLimits,
    /// The address that operators connect to, if there is one.
    #[serde(default)]
    pub admin: Option<String>,
    /// The last known list of servers, which may be outdated.
    pub known: List,
    /// The settings, with the names and units of the simulator.
    pub settings: Info,
}

/// The limits of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct MachineLimits {
    /// How many file descriptors the conductor may use.
    pub sockets: usize,
    /// How much memory the conductor may use, in megabytes. Beyond that the platform kills it.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
}

/// The memory limit in megabytes where none is configured.
pub const DEFAULT_MEMORY_MB: f64 = 192.0;

fn default_memory_mb() -> f64 {
    DEFAULT_MEMORY_MB
}

/// Why a configuration is refused.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is no JSON, or lacks what the configuration needs.
    #[error("the configuration can't be read: {0}")]
    Json(#[from] serde_json::Error),
    /// The seed is not hexadecimal.
    #[error("the seed '{0}' is not a hexadecimal number")]
    Seed(String),
    /// There are too few file descriptors to serve clients.
    #[error("{0} sockets are too few: at least {MIN_SOCKETS} are needed")]
    Sockets(usize),
    /// There is too little memory to serve clients.
    #[error("{0} MB of memory are too few: at least {MIN_MEMORY_MB} are needed ('limits.memory_mb')")]
    Memory(f64),
}

/// The smallest number of file descriptors that suffices for both fronts and peers.
pub const MIN_SOCKETS: usize = 64;

impl Config {
    /// Parses a configuration.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let config: Config = serde_json::from_str(text)?;
        if config.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::Sockets(config.limits.sockets));
        }
        if config.limits.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::Memory(config.limits.memory_mb));
        }
        Ok(config)
    }

    /// Returns the seed as a number.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| ConfigError::Seed(self.seed.clone()))
    }
}
