//! The program: it wires the layers together and takes them from start to exit.

mod life;

pub use life::{Life, Phase, ProgramError, Setup};
