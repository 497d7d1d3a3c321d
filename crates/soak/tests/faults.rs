//! Cells of the fault matrix that stand for faults met in service, and the tool's answers to bad input.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const TOOL: &str = env!("CARGO_BIN_EXE_birchspur-soak");

/// The program under test, which cargo puts beside the tool when it builds the workspace.
fn program() -> PathBuf {
    let program = Path::new(TOOL).with_file_name("birchspur");
    assert!(program.is_file(), "{} is missing: test with --workspace", program.display());
    program
}

fn tool(arguments: &[&str]) -> Output {
    Command::new(TOOL).args(arguments).output().expect("the tool starts")
}

fn cell_is_green(name: &str) {
    let program = program();
    let output = tool(&["cell", name, "--program", &program.display().to_string()]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    assert!(text.starts_with("green"), "{text}");
}

/// Failure: a fetch written to a writer that hangs counted as out, and its state stayed held for 0.8 s and more.
#[test]
fn a_state_stays_held_behind_a_hung_writer() {
    cell_is_green("held/hang@fetch-written/writer/ask");
}

/// Failure: the same where four in five writers hang at once.
#[test]
fn states_stay_held_as_most_writers_hang() {
    cell_is_green("held/hang@fetch-written/most-writers/ask");
}

fn refused(arguments: &[&str], words: &[&str]) {
    let output = tool(arguments);
    let text =
        String::from_utf8_lossy(&output.stderr).into_owned() + &String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(2), "{text}");
    for word in words {
        assert!(text.contains(word), "{word} in {text}");
    }
}

#[test]
fn an_unknown_part_of_a_name_is_told_with_those_that_exist() {
    refused(&["cell", "hang@fetched/writer/ask"], &["unknown step \"fetched\"", "fetch-written", "sigterm"]);
    refused(&["cell", "hung@fetch-written/writer/ask"], &["unknown fault \"hung\"", "hang-200ms"]);
    refused(&["cell", "hang@fetch-written/writers/ask"], &["unknown target \"writers\"", "most-writers"]);
    refused(&["cell", "hang@fetch-written/writer/asks"], &["unknown class \"asks\"", "book"]);
    refused(&["cell", "pinned/hang@fetch-written/writer/ask"], &["unknown rule \"pinned\"", "held"]);
    refused(&["cell", "hang"], &["FAULT@STEP/TARGET/CLASS"]);
}

#[test]
fn a_cell_that_cannot_exist_says_why() {
    refused(&["cell", "500@before/writer/ask"], &["cannot exist", "the call that the step is one of"]);
}

#[test]
fn a_missing_program_is_not_run() {
    refused(
        &["cell", "hang@fetch-written/writer/ask", "--program", "/nowhere/birchspur"],
        &["NOT RUN", "/nowhere/birchspur is missing"],
    );
}

#[test]
fn the_matrix_has_its_cells_and_its_choice_is_fixed() {
    let list = |arguments: &[&str]| {
        let output = tool(&[&["matrix", "--list"], arguments].concat());
        let text = String::from_utf8(output.stdout).expect("text");
        text.lines().map(str::to_string).collect::<Vec<_>>()
    };
    let (all, choice) = (list(&[]), list(&["--choice", "60"]));
    assert!(all.len() >= 300, "{} cells", all.len());
    assert!(choice.len() >= 60, "{} cells", choice.len());
    assert!(choice.iter().all(|cell| all.contains(cell)));
    assert_eq!(choice, list(&["--choice", "60"]));
}
