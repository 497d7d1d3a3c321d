//! The configuration files: the one that the platform writes for each conductor, and the operator's, which
//! sets up what is off on the platform.

use std::collections::BTreeMap;

use serde::Deserialize;
use thiserror::Error;

use super::platform::List;
use super::settings::{Fault, Info};

/// What a conductor is told at its start.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where discovery listens.
    pub discovery: String,
    /// Seed for random numbers, in hexadecimal digits.
    pub seed: String,
    /// What the machine has.
    pub limits: MachineLimits,
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

/// An operator's file. What it does not set up stays off.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The JSON-RPC front.
    pub rpc: Option<Rpc>,
    /// Counters for Graphite.
    pub graphite: Option<Graphite>,
    /// Counters for collectd.
    pub collectd: Option<Collectd>,
}

/// The JSON-RPC front and the tool servers behind it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rpc {
    /// Where clients connect; the plug-in has none.
    pub listen: Option<String>,
    /// The path at which the front, and each tool server, takes calls.
    pub path: String,
    /// The class of each tool that may be called.
    pub tools: BTreeMap<String, String>,
    /// Where the list of tool servers is watched; without it the list stays as it is.
    pub discovery: Option<String>,
    /// The tool servers.
    pub known: List,
    /// Settings of the tool servers' router.
    pub settings: Info,
}

/// Graphite's plaintext protocol over TCP.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Graphite {
    /// Where it listens.
    pub address: String,
    /// What the metrics' paths begin with.
    pub prefix: String,
    /// Time between two sendings, in milliseconds.
    pub every_ms: u64,
}

/// collectd's plain text protocol over its Unix socket.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Collectd {
    /// The socket's path.
    pub socket: String,
    /// The host's name in the values' identifiers.
    pub host: String,
    /// Time between two sendings, in milliseconds.
    pub every_ms: u64,
}

impl Operator {
    /// Reads an operator's file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let operator: Operator = serde_json::from_str(text)?;
        let spans =
            [operator.graphite.as_ref().map(|g| g.every_ms), operator.collectd.as_ref().map(|c| c.every_ms)];
        if spans.contains(&Some(0)) {
            return Err(ConfigError::NoTime);
        }
        match &operator.rpc {
            Some(rpc) if !rpc.path.starts_with('/') || rpc.path.contains(['{', '}', '?']) => {
                Err(ConfigError::Path(rpc.path.clone()))
            }
            _ => Ok(operator),
        }
    }
}

/// Why a configuration is refused.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// It is not the JSON that is expected.
    #[error("the configuration can't be read: {0}")]
    Json(#[from] serde_json::Error),
    /// A setting is out of place.
    #[error("the settings can't be used: {0}")]
    Setting(#[from] Fault),
    /// The seed is not hexadecimal.
    #[error("the seed '{0}' is not a hexadecimal number")]
    Seed(String),
    /// Tool servers without a front to reach them by.
    #[error("rpc.listen is missing")]
    NoFront,
    /// Counters would be sent without a pause.
    #[error("every_ms must not be 0")]
    NoTime,
    /// The path of the JSON-RPC front is none.
    #[error("'{0}' is no path for a front")]
    Path(String),
    /// There are too few descriptors to serve anybody.
    #[error("{0} sockets are too few: at least {LEAST_SOCKETS} are needed")]
    Sockets(usize),
}

/// With fewer descriptors than this, fronts and peers can't both be served.
pub const LEAST_SOCKETS: usize = 64;

impl Config {
    /// Reads a configuration.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let config: Config = serde_json::from_str(text)?;
        if config.limits.sockets < LEAST_SOCKETS {
            return Err(ConfigError::Sockets(config.limits.sockets));
        }
        Ok(config)
    }

    /// The seed as a number.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| ConfigError::Seed(self.seed.clone()))
    }
}
