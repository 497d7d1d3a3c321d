//! KNOWN-RED.txt as `.ci/run` takes it: the real scripts, cargo and libtest on a small package with two test
//! files. Only the steps before the tests are left out.

use std::env;
use std::ffi::OsString;
use std::fs::{self, Permissions};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// A package whose tests fail if their names, parted by spaces, stand in `BROKEN`; `HANGS` never ends.
struct Sample(PathBuf);

/// `one::alike` and `two::alike` share a name, and `alike` begins the name `alike_but_longer`.
const ONE: &str = r#"
fn check(name: &str) {
    while std::env::var("HANGS").is_ok_and(|test| test == name) {
        std::thread::park();
    }
    assert!(!std::env::var("BROKEN").is_ok_and(|tests| tests.split(' ').any(|test| test == name)), "{name} broke");
}
#[test]
fn alike() { check("one::alike"); }
#[test]
fn alike_but_longer() { check("one::alike_but_longer"); }
#[test]
#[should_panic]
fn panics() { check("one::panics"); panic!() }
#[test]
#[ignore]
fn ignored() {}
"#;

struct Outcome {
    green: bool,
    text: String,
}

impl Sample {
    fn new(name: &str) -> Self {
        let root = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("known_red_{name}"));
        let _ = fs::remove_dir_all(&root);
        let sample = Self(root);
        let scripts = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci");
        let text = |script: &str| fs::read_to_string(scripts.join(script)).expect(script);
        sample.program(".ci/run", &text("run"));
        sample.program(".ci/known-red", &text("known-red"));
        let cargo = env::var("CARGO").expect("cargo runs the tests");
        sample.program(
            "bin/cargo",
            &format!(
                "#!/bin/sh\n[ \"$1\" = test ] || exit 0\necho \"$@\" >>\"$CALLS\"\nexec '{cargo}' \"$@\"\n"
            ),
        );
        // A workspace of its own, though it lies below that of the project.
        sample.file(
            "Cargo.toml",
            "[package]\nname = \"sample\"\nversion = \"0.1.0\"\nedition = \"2024\"\n[workspace]\n",
        );
        sample.file("Cargo.lock", "version = 4\n\n[[package]]\nname = \"sample\"\nversion = \"0.1.0\"\n");
        sample.file("src/lib.rs", "//! ```\n//! assert!(std::env::var(\"DOC\").is_err());\n//! ```\n");
        sample.file("tests/one.rs", ONE);
        sample.file("tests/two.rs", &ONE.replace("one::", "two::"));
        sample
    }

    fn file(&self, path: &str, text: &str) {
        let path = self.0.join(path);
        fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
        fs::write(path, text).expect("a file");
    }

    fn program(&self, path: &str, text: &str) {
        self.file(path, text);
        fs::set_permissions(self.0.join(path), Permissions::from_mode(0o755)).expect("a program");
    }

    fn run(&self, known_red: &str, variables: &[(&str, &str)]) -> Outcome {
        self.file("KNOWN-RED.txt", known_red);
        self.run_as_is(variables)
    }

    fn run_as_is(&self, variables: &[(&str, &str)]) -> Outcome {
        let _ = fs::remove_file(self.0.join("calls"));
        let mut path = OsString::from(self.0.join("bin"));
        path.push(":");
        path.push(env::var_os("PATH").expect("a path"));
        let output = Command::new(self.0.join(".ci/run"))
            .env("PATH", path)
            .env("CALLS", self.0.join("calls"))
            .env("CARGO_TARGET_DIR", self.0.join("target"))
            .envs(variables.iter().copied())
            .output()
            .expect("bash");
        let text = [output.stdout, output.stderr].map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
        Outcome { green: output.status.success(), text: text.concat() }
    }

    fn calls(&self) -> String {
        fs::read_to_string(self.0.join("calls")).unwrap_or_default()
    }
}

impl Outcome {
    #[track_caller]
    fn is(&self, green: bool, lines: &[&str]) {
        assert_eq!(self.green, green, "{}", self.text);
        for line in lines {
            assert!(self.text.lines().any(|seen| seen == *line), "no line {line:?} in\n{}", self.text);
        }
    }
}

#[test]
fn without_a_list_only_the_test_command_is_called() {
    let sample = Sample::new("none");
    let plain = "test --locked --workspace\n";
    sample.run_as_is(&[]).is(true, &["test alike ... ok", "test alike_but_longer ... ok"]);
    assert_eq!(sample.calls(), plain);
    sample.run("", &[]).is(true, &["test alike ... ok"]);
    assert_eq!(sample.calls(), plain);
    sample.run("", &[("BROKEN", "one::alike")]).is(false, &["test alike ... FAILED"]);
}

#[test]
fn a_listed_test_is_run_and_printed_and_never_the_verdict() {
    let sample = Sample::new("listed");
    let line = "one::alike; cargo test, seed 7; it broke, twice; 24\n";
    let red = sample.run(line, &[("BROKEN", "one::alike")]);
    red.is(
        true,
        &[
            "KNOWN-RED failed: one::alike; cargo test, seed 7; it broke, twice; 24",
            "test alike ... ok",
            "test alike_but_longer ... ok",
        ],
    );
    assert!(red.text.contains("one::alike broke"), "it says what it failed by\n{}", red.text);
    assert!(!red.text.contains("test result: FAILED"), "{}", red.text);
    let skipped = red.text.lines().filter(|line| line.contains("2 passed; 0 failed; 1 ignored")).count();
    assert_eq!(skipped, 1, "the other file runs all three\n{}", red.text);

    let last =
        red.text.find("KNOWN-RED").expect("a result") < red.text.rfind("test result: ok.").expect("a close");
    assert!(last, "cargo's own lines are the last\n{}", red.text);

    let green = sample.run(line, &[]);
    green.is(true, &["KNOWN-RED passed: one::alike; cargo test, seed 7; it broke, twice; 24"]);
    let hung = sample.run(line, &[("HANGS", "one::alike"), ("KNOWN_RED_SECONDS", "1")]);
    hung.is(true, &["KNOWN-RED hung: one::alike; cargo test, seed 7; it broke, twice; 24"]);
    let ignored = sample.run("one::ignored; cargo test; never; issue 24", &[]);
    ignored.is(true, &["KNOWN-RED not run: one::ignored; cargo test; never; issue 24"]);
    // A last line without its end counts as any other.
    sample.run(line.trim_end(), &[("BROKEN", "one::alike")]).is(true, &["test alike_but_longer ... ok"]);
    let four =
        "one::panics; run; a; 1\ntwo::panics; run; b; 2\ntwo::alike; run; c; 3\none::alike; run; d; #4\n";
    sample.run(four, &[("BROKEN", "two::alike")]).is(
        true,
        &[
            "KNOWN-RED passed: one::panics; run; a; 1",
            "KNOWN-RED passed: two::panics; run; b; 2",
            "KNOWN-RED failed: two::alike; run; c; 3",
            "KNOWN-RED passed: one::alike; run; d; #4",
        ],
    );
}

#[test]
fn what_is_not_listed_fails_the_run() {
    let sample = Sample::new("others");
    let line = "one::alike; cargo test; a cause; 24\n";
    for broken in [("BROKEN", "two::alike"), ("BROKEN", "one::alike_but_longer"), ("DOC", "1")] {
        sample.run(line, &[broken]).is(false, &["KNOWN-RED passed: one::alike; cargo test; a cause; 24"]);
    }
}

#[test]
fn a_list_that_is_wrong_fails_the_run() {
    let sample = Sample::new("wrong");
    let good = "one::alike; cargo test; a cause; 24\n";
    for wrong in [
        format!("{good}two::alike, cargo test, b, 2\n"),
        format!("{good}\n"),
        format!("{good}{good}"),
        "one::alike; 24".into(),
        "one::alike; cargo test; 24".into(),
        "one::alike; cargo test; a cause".into(),
        "one::alike; cargo test; a cause; none".into(),
        "one::alike; cargo test; a cause;".into(),
        "one::alike; cargo test; ; 24".into(),
        "one::alike; ; a cause; 24".into(),
        "one::alike; cargo test; a cause; and more; 24".into(),
        "; cargo test; a cause; 24".into(),
        "alike; cargo test; a cause; 24".into(),
        "one::alike two::alike; cargo test; a cause; 24".into(),
    ] {
        let outcome = sample.run(&wrong, &[]);
        assert!(!outcome.green && outcome.text.contains("KNOWN-RED.txt: "), "{wrong}\n{}", outcome.text);
        assert_eq!(sample.calls(), "", "before anything is built: {wrong}");
    }
    for missing in ["one::alik", "one::alike_but", "three::alike", "one::one::alike"] {
        let outcome = sample.run(&format!("{good}{missing}; cargo test; a cause; 24"), &[]);
        outcome.is(false, &[&format!("KNOWN-RED.txt: 0 tests are named {missing}")]);
    }
}
