//! Serves the simulator's line protocol on standard input and output.

use std::io::{BufReader, BufWriter, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 20, stdin().lock());
    match milletseam::wire::serve(input, BufWriter::with_capacity(1 << 20, stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("milletseam-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
