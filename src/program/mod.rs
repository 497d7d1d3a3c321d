//! The program: connects the layers and runs them from start to exit. Also the command line and the plug-in.

mod allocator;
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
