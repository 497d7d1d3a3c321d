//! The program: it wires the layers together and takes them from start to exit.

pub mod cli;
mod error;
mod life;
mod lists;
mod plugin;
mod site;
mod tools;

pub use crate::recovery::Phase;
pub use error::ProgramError;
pub use life::{Program, Setup};
pub use plugin::{Plugin, ToolCall};
