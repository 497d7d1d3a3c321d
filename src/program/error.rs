//! Why the program can't run.

use std::io;

use thiserror::Error;

use crate::interface::SettingsError;
use crate::membership::Refusal;
use crate::protocol::config::ConfigError;
use crate::protocol::settings::FieldError;
use crate::transport::inherited::InheritedError;

/// Why the program can't run.
#[derive(Debug, Error)]
pub enum ProgramError {
    /// A variable that names something is missing.
    #[error("the variable {0} is not set; it names the configuration, as in LB_CONFIG=config.json birchspur")]
    Variable(&'static str),
    /// A file can't be read.
    #[error("{0} can't be read: {1}")]
    File(String, io::Error),
    /// The configuration is refused.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A setting is out of place.
    #[error("the settings can't be used: {0}")]
    Field(#[from] FieldError),
    /// The settings contradict themselves.
    #[error("the settings can't be used: {0}")]
    Settings(#[from] SettingsError),
    /// A document is refused.
    #[error(transparent)]
    Document(#[from] Refusal),
    /// No set of servers can be taken, and none was kept.
    #[error("{directory}: no set of servers can be taken, and none was kept: {}", .refusals.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    NoServers {
        /// The directory.
        directory: String,
        /// Why each file was refused.
        refusals: Vec<Refusal>,
    },
    /// Tool servers without a front.
    #[error("the operator's document: 'rpc' lacks 'listen'; add: listen \"127.0.0.1:9100\"")]
    NoFront,
    /// It can't listen.
    #[error("can't listen on {0}: {1}")]
    Listen(String, io::Error),
    /// It can't listen where operators call.
    #[error(
        "can't listen for operators on {0}: {1}; 'admin' in the configuration (or LB_ADMIN) has to name a free address of this machine"
    )]
    Admin(String, io::Error),
    /// The listening socket that it should inherit is none.
    #[error(
        "LB_ACCEPT_FD: {0}; it has to number a listening TCP socket that this process inherits, or be unset"
    )]
    Inherited(#[from] InheritedError),
    /// The system fails it.
    #[error("the system fails: {0}")]
    System(#[from] io::Error),
}
