//! Runs a conductor on real sockets, and the commands for operating it. `birchspur --help` lists them.

use std::process::ExitCode;

fn main() -> ExitCode {
    milletseam::program::cli::main()
}
