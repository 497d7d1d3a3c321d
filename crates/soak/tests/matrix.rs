//! The fixed choice of the fault matrix: each step and fault in turn, with changing targets and classes.

use std::path::{Path, PathBuf};
use std::process::Command;

const TOOL: &str = env!("CARGO_BIN_EXE_birchspur-soak");
/// Cells of the choice, at the least.
const CELLS: &str = "60";
/// Plays at once.
const JOBS: &str = "10";

/// The program under test, which cargo puts beside the tool when it builds the workspace.
fn program() -> PathBuf {
    let program = Path::new(TOOL).with_file_name("birchspur");
    assert!(program.is_file(), "{} is missing: test with --workspace", program.display());
    program
}

/// Failure: some fault at some step of a request breaks a rule.
#[test]
fn the_fixed_choice_of_cells_breaks_no_rule() {
    let program = program().display().to_string();
    let output = Command::new(TOOL)
        .args(["matrix", "--choice", CELLS, "--jobs", JOBS, "--program", &program])
        .output()
        .expect("the tool starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let bad: Vec<&str> = text.lines().filter(|line| !line.starts_with("green")).collect();
    assert!(bad.is_empty(), "{}", bad.join("\n"));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(text.lines().count() >= CELLS.parse().expect("a number"), "{text}");
}
