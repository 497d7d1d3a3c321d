//! The errors that keep the program from running.

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
    /// A required environment variable is not set.
    #[error(
        "the environment variable {0} is not set; it names the configuration, as in LB_CONFIG=config.json birchspur"
    )]
    Variable(&'static str),
    /// A file can't be read.
    #[error("{0} can't be read: {1}")]
    File(String, io::Error),
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A setting is invalid.
    #[error("the settings can't be used: {0}")]
    Field(#[from] FieldError),
    /// The settings contradict themselves.
    #[error("the settings can't be used: {0}")]
    Settings(#[from] SettingsError),
    /// A document is invalid.
    #[error(transparent)]
    Document(#[from] Refusal),
    /// The server files are not usable, and there is no saved set to start from.
    #[error("{directory}: no set of servers can be taken, and none was kept: {}", .refusals.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    NoServers {
        /// The directory of the server files.
        directory: String,
        /// Why each file was refused.
        refusals: Vec<Refusal>,
    },
    /// The operator's document lists tool servers but no address for the JSON-RPC front.
    #[error("the operator's document: 'rpc' lacks 'listen'; add: listen \"127.0.0.1:9100\"")]
    NoFront,
    /// The program can't listen for clients.
    #[error("can't listen on {0}: {1}")]
    Listen(String, io::Error),
    /// The program can't listen for operators.
    #[error(
        "can't listen for operators on {0}: {1}; 'admin' in the configuration (or LB_ADMIN) has to name a free address of this machine"
    )]
    Admin(String, io::Error),
    /// The socket that the program should inherit is not a listening socket.
    #[error(
        "LB_ACCEPT_FD: {0}; it has to number a listening TCP socket that this process inherits, or be unset"
    )]
    Inherited(#[from] InheritedError),
    /// A call of the operating system failed.
    #[error("a system call failed: {0}")]
    System(#[from] io::Error),
}
