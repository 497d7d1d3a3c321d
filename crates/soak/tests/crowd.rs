//! The seeds of the mixed play that CI plays.

use std::path::{Path, PathBuf};
use std::process::Command;

const TOOL: &str = env!("CARGO_BIN_EXE_birchspur-soak");
/// Seeds that are played, from 1 on.
const SEEDS: &str = "5";
/// Plays at once.
const JOBS: &str = "2";

/// The program under test, which cargo puts beside the tool when it builds the workspace.
fn program() -> PathBuf {
    let program = Path::new(TOOL).with_file_name("birchspur");
    assert!(program.is_file(), "{} is missing: test with --workspace", program.display());
    program
}

/// Failure: a crowd of slow, half, leaving and flooding clients, spoilt streams and signals in series break a rule together.
#[test]
fn seeded_crowds_break_no_rule() {
    let program = program().display().to_string();
    let output = Command::new(TOOL)
        .args(["crowd", "--seeds", SEEDS, "--jobs", JOBS, "--program", &program])
        .output()
        .expect("the tool starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(text.lines().filter(|line| line.starts_with("green")).count(), 5, "{text}");
}
