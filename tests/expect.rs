//! Runs the command line on the shipped example of routing expectations: unchanged, and with deliberate faults in its
//! files.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

const EXAMPLE: &str = "deploy/examples/reli";

/// Copies the example's files to a temporary directory and replaces `from` by `to` in one of them.
fn modified_example(name: &str, file: &str, from: &str, to: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("birchspur-expect-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(folder.join("servers")).expect("a folder");
    let servers = ["nairobi", "mombasa", "kisumu"].map(|zone| format!("servers/{zone}.kdl"));
    for path in ["config.json", "expectations.kdl"].into_iter().chain(servers.iter().map(String::as_str)) {
        let text = fs::read_to_string(Path::new(EXAMPLE).join(path)).expect("a file of the example");
        let text = if path == file {
            assert!(text.contains(from), "{file} has no {from}");
            milletseam::documents::seal::unsealed(&text).unwrap_or(&text).replace(from, to)
        } else {
            text
        };
        fs::write(folder.join(path), text).expect("a file");
    }
    folder
}

/// Runs `birchspur expect` on the files of a directory.
fn run_expect(folder: &Path, options: &[&str]) -> Output {
    let path = |name: &str| folder.join(name).display().to_string();
    Command::new(env!("CARGO_BIN_EXE_birchspur"))
        .args(["expect", "--config", &path("config.json"), "--servers", &path("servers")])
        .args(options)
        .arg(path("expectations.kdl"))
        .output()
        .expect("the program runs")
}

/// Returns what a command printed, with the line breaks of the wrapped text removed.
fn printed_text(output: &Output) -> String {
    let text = String::from_utf8([&output.stdout[..], &output.stderr[..]].concat()).expect("text");
    text.replace('│', " ").split_whitespace().collect::<Vec<_>>().join(" ")
}

#[test]
fn example_expectations_hold() {
    let all = run_expect(Path::new(EXAMPLE), &[]);
    assert_eq!(all.status.code(), Some(0), "{}", printed_text(&all));
    assert!(printed_text(&all).contains(" hold, 0 do not"), "{}", printed_text(&all));
    let filtered = run_expect(Path::new(EXAMPLE), &["--filter", "draining reader"]);
    assert!(printed_text(&filtered).contains("1 hold, 0 do not"), "{}", printed_text(&filtered));
    assert_eq!(run_expect(Path::new(EXAMPLE), &["--filter", "no such"]).status.code(), Some(2));
}

/// Guards against verdicts, or their order in the output, that depend on the scheduling of threads.
#[test]
fn output_is_identical_in_a_hundred_runs_on_one_and_on_eight_threads() {
    // One expectation fails, so that reasons and rankings are compared too.
    let folder = modified_example("threads", "servers/kisumu.kdl", " weight=3", " weight=1");
    let filter = ["--filter", "a writer takes its weight"];
    let run = |threads: &str, format: &str| {
        let output =
            run_expect(&folder, &[&filter[..], &["--threads", threads, "--format", format]].concat());
        assert_eq!(output.status.code(), Some(1), "{}", printed_text(&output));
        (output.stdout, output.stderr)
    };
    for format in ["text", "json", "junit"] {
        let first = run("1", format);
        let runs = if format == "text" { 100 } else { 3 };
        for n in 0..runs {
            assert!(run(if n % 2 == 0 { "8" } else { "1" }, format) == first, "{format}, run {n}");
        }
    }
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn json_and_junit_report_the_same_verdicts_as_text() {
    let folder = modified_example("forms", "servers/kisumu.kdl", " weight=3", " weight=0");
    let name = "a writer takes its weight of its cell [part=0.75 writer=kw2 zone=kisumu]";
    let output = run_expect(&folder, &["--filter", "a writer takes its weight", "--format", "json"]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(json["counts"]["fail"], 1);
    assert_eq!(json["counts"]["hold"], 2);
    let expectations = json["expectations"].as_array().expect("a list");
    let failed = expectations
        .iter()
        .find(|expectation| expectation["verdict"] == "fails")
        .expect("a failed expectation");
    assert_eq!(failed["name"], name);
    let candidates = failed["choices"][0]["candidates"].as_array().expect("candidates");
    let passed_over =
        candidates.iter().find(|candidate| candidate["server"] == "kw2").expect("kw2 is a candidate");
    assert_eq!(passed_over["passed_over"], "its weight is 0");
    assert_eq!(passed_over["rank"], serde_json::Value::Null);
    let output = run_expect(&folder, &["--filter", "a writer takes its weight", "--format", "junit"]);
    let xml = String::from_utf8(output.stdout).expect("text");
    assert!(xml.contains("tests=\"3\"") && xml.contains("failures=\"1\""), "{xml}");
    assert!(xml.contains(name) && xml.contains("its weight is 0"), "{xml}");
    // `--mutate` prints text, which would make the JSON invalid, so the combination is refused.
    let output = run_expect(&folder, &["--format", "json", "--mutate"]);
    assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0), "{}", printed_text(&output));
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn changed_verdicts_are_reported_with_the_line_that_causes_them() {
    let folder = modified_example("against", "servers/kisumu.kdl", " weight=3", " weight=1");
    let output = run_expect(&folder, &["--filter", "weight of its cell", "--against", EXAMPLE]);
    let text = printed_text(&output);
    assert!(text.contains("1 changes against the old configuration"), "{text}");
    assert!(text.contains("holds -> FAILS: a writer takes its weight of its cell"), "{text}");
    assert!(text.contains("kisumu.kdl:5:8: kw2: weight 3 -> 1"), "{text}");
    let _ = fs::remove_dir_all(&folder);
    let folder = modified_example(
        "against-config",
        "config.json",
        "\"Repeat\": \"fragile\"",
        "\"Repeat\": \"retryable\"",
    );
    let output = run_expect(&folder, &["--filter", "may have run", "--against", EXAMPLE]);
    let text = printed_text(&output);
    assert!(
        text.contains("config.json:46: settings.Classes[1].Repeat \"fragile\" -> \"retryable\""),
        "{text}"
    );
    assert!(text.contains("holds -> FAILS: a booking that may have run"), "{text}");
    let _ = fs::remove_dir_all(&folder);
    let folder = modified_example(
        "against-flows",
        "servers/kisumu.kdl",
        "cell=2\nserver \"kr2\"",
        "cell=2 weight=0\nserver \"kr2\"",
    );
    let kisumu = folder.join("servers/kisumu.kdl");
    let text = fs::read_to_string(&kisumu)
        .expect("a file")
        .replace("kind=\"reader\" cell=2\n", "kind=\"reader\" cell=2 weight=0\n");
    fs::write(&kisumu, text).expect("a file");
    let output = run_expect(&folder, &["--filter", "other serves", "--against", EXAMPLE]);
    let text = printed_text(&output);
    assert!(text.contains("ask from kisumu, read in:") && text.contains("kisumu 100% -> 0%"), "{text}");
    let _ = fs::remove_dir_all(&folder);
}

/// Guards against expectations that hold whatever the configuration is.
#[test]
fn mutations_of_the_example_are_noticed() {
    let output = run_expect(Path::new(EXAMPLE), &["--mutate", "--least", "0.95"]);
    let text = printed_text(&output);
    assert_eq!(output.status.code(), Some(0), "{}", text.split("noticed ").last().unwrap_or_default());
    assert!(text.contains("SURVIVES") || text.contains("100.0%"), "survivors are not named");
}

#[test]
fn explain_lists_the_candidates_and_refuses_an_unknown_class() {
    let explain = |text: &str| {
        let output = Command::new(env!("CARGO_BIN_EXE_birchspur"))
            .args(["explain", "--config", "config.json", "--servers", "servers", text])
            .current_dir(EXAMPLE)
            .output()
            .expect("the program runs");
        (output.status.code(), printed_text(&output))
    };
    let (code, text) =
        explain("given { zone \"kisumu\"; server \"kr2\" state=\"draining\"; }; when { request; }");
    assert_eq!(code, Some(0), "{text}");
    assert!(
        text.contains("kr2 (kisumu, cell 2), weight 1") && text.contains("passed over: it drains"),
        "{text}"
    );
    assert!(text.contains("1 kr1 (kisumu, cell 2)") && text.contains("the choice of a writer"), "{text}");
    let (code, text) = explain("when { request class=\"bok\"; }");
    assert_eq!(code, Some(1));
    assert!(text.contains("there is no class \"bok\"") && text.contains("did you mean \"book\"?"), "{text}");
}

/// Guards against an initial state that is not yet in effect when the request arrives, or that never expires.
#[test]
fn open_requests_and_ejections_take_effect_and_expire() {
    let expectation = |name: &str, given: &str, then: &str| {
        format!(
            "expect \"{name}\" {{ given {{ zone \"kisumu\"; {given}; }}; when {{ request class=\"ask\"; }}; \
             then {{ {then}; }}; }}\n"
        )
    };
    let folder = modified_example("given", "expectations.kdl", "expect", "expect");
    // An ejected server is tried again after 2 s, and the open requests have been read by then.
    let text = [
        expectation("open", "open 20 at=\"kr1\"", "never \"kr1\""),
        expectation("read by now", "open 20 at=\"kr1\"; since \"20s\"", "never \"kr1\""),
        expectation("doubted", "server \"kr1\" state=\"in-doubt\"", "never \"kr1\""),
        expectation("doubted no more", "server \"kr1\" state=\"in-doubt\"; since \"3s\"", "never \"kr1\""),
    ];
    fs::write(folder.join("expectations.kdl"), text.concat()).expect("a file");
    let output = run_expect(&folder, &[]);
    let text = printed_text(&output);
    assert_eq!(output.status.code(), Some(1), "{text}");
    for words in ["holds open", "FAILS read by now", "holds doubted (", "FAILS doubted no more"] {
        assert!(text.contains(words), "'{words}' is missing in:\n{text}");
    }
    let _ = fs::remove_dir_all(&folder);
}

/// Guards against fifty conductors that each keep to a budget while their sum overloads a cold server.
#[test]
fn fifty_conductors_together_keep_to_the_budget_of_a_cold_server() {
    let given = "given { conductors 50; server \"nr1\" started=\"1s\"; }";
    let text = |sends| {
        format!(
            "expect \"the sum\" {{ {given}; when {{ request class=\"ask\" count=1500 every=\"2ms\"; }}; \
             then {{ at-most \"nr1\" sends={sends} in=\"2s\"; }}; }}"
        )
    };
    // 1,500 requests in 3 s over six readers are 83 per second each. For a cold reader the rules allow 2.5 x 0.34 of
    // that.
    for (sends, code) in [(141, 0), (0, 1)] {
        let folder = modified_example("fifty", "expectations.kdl", "expect", "expect");
        fs::write(folder.join("expectations.kdl"), text(sends)).expect("a file");
        let output = run_expect(&folder, &[]);
        assert_eq!(output.status.code(), Some(code), "{}", printed_text(&output));
        let _ = fs::remove_dir_all(&folder);
    }
}

/// Guards against a missed change, and against evaluating the same files over and over.
#[test]
fn watched_document_is_evaluated_again_when_it_changes() {
    let folder = modified_example("watch", "expectations.kdl", "expect", "expect");
    let path = |name: &str| folder.join(name).display().to_string();
    let text = |reader: &str| {
        format!(
            "expect \"home\" {{ given {{ kept session=\"s\" at=\"nr1\" tokens=3000; }}; \
             when {{ request session=\"s\" prompt-tokens=3100; }}; then {{ reader \"{reader}\"; }}; }}\n"
        )
    };
    let write_document = |reader: &str| {
        fs::write(path("beside"), text(reader)).expect("a file");
        fs::rename(path("beside"), path("expectations.kdl")).expect("a rename");
    };
    write_document("nr1");
    let mut child = Command::new(env!("CARGO_BIN_EXE_birchspur"))
        .args(["expect", "--watch", "--config", &path("config.json"), "--servers", &path("servers")])
        .arg(path("expectations.kdl"))
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program runs");
    let mut lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
    let mut next_line = || lines.next().expect("a line").expect("text");
    assert_eq!(next_line(), "holds      home (20 seeds)");
    assert_eq!(next_line(), "1 hold, 0 do not");
    write_document("nr2");
    assert_eq!(next_line(), "FAILS      home");
    assert_eq!(next_line(), "0 hold, 1 do not");
    write_document("nr1");
    assert_eq!(next_line(), "holds      home (20 seeds)");
    child.kill().expect("the process is killed");
    child.wait().expect("the process has ended");
    let _ = fs::remove_dir_all(&folder);
}

/// Guards against a configuration that violates an expectation without a report.
#[test]
fn each_faulty_configuration_is_reported_with_its_reason() {
    let (kisumu, mombasa) = ("servers/kisumu.kdl", "servers/mombasa.kdl");
    let (config, document) = ("config.json", "expectations.kdl");
    let cases: [(&str, &str, &str, &[&str]); 18] = [
        (
            kisumu,
            " weight=3",
            " weight=1",
            &[
                "FAILS a writer takes its weight of its cell [part=0.75 writer=kw2 zone=kisumu]",
                "0.750 within 0.050 was expected",
                "kw2 (kisumu, cell 2), weight 1",
            ],
        ),
        (
            kisumu,
            "kind=\"reader\" cell=2",
            "kind=\"reader\" cell=2 weight=0",
            &["FAILS a session returns", "it went to", "passed over: its weight is 0"],
        ),
        (kisumu, "kind=\"writer\" cell=2", "kind=\"writer\" cell=5", &["it went to", "in another cell"]),
        (
            kisumu,
            "\"kr1\" address",
            "\"kr1\" state=\"draining\" address",
            &["FAILS a session returns", "reader=kr1", "passed over: it drains"],
        ),
        (
            mombasa,
            "\"mw1\" address=\"10.0.1.11:8000\" kind=\"writer\"",
            "\"mw1\" address=\"10.0.1.11:8000\" kind=\"reader\"",
            &["FAILS readers of a data centre share what comes new [reader=mr1"],
        ),
        (
            mombasa,
            "kind=\"writer\" cell=1",
            "kind=\"writer\" cell=3",
            &["FAILS a data centre serves its own [cell=1"],
        ),
        (
            config,
            "\"Repeat\": \"fragile\"",
            "\"Repeat\": \"retryable\"",
            &["FAILS a booking that may have run", "it did not fail as expected"],
        ),
        (
            config,
            "\"Repeat\": \"retryable\"",
            "\"Repeat\": \"fragile\"",
            &["FAILS a question whose writer breaks is asked again", "it was not served"],
        ),
        (config, "\"SendCap\": 4", "\"SendCap\": 1", &["FAILS a request is read", "it was not served"]),
        (
            config,
            "\"AimMs\": 1200.0",
            "\"AimMs\": 300.0",
            &["FAILS a short queue is waited for", "waiting, 12000 a second"],
        ),
        (
            config,
            "\"ColdFrom\": 0.34",
            "\"ColdFrom\": 1.0",
            &["FAILS a fresh reader is spared", "nr1 (nairobi, cell 0) received"],
        ),
        (
            config,
            "\"WarmUpMs\": 13000.0",
            "\"WarmUpMs\": 1000.0",
            &["FAILS a reader that joins cold is given its part"],
        ),
        (document, "server \"kr2\" state=\"draining\"", "", &["FAILS a draining reader", "it went to kr2"]),
        (document, "server \"nr1\" started=\"1s\"", "", &["FAILS a fresh reader is spared"]),
        (
            document,
            "never \"kr2\"",
            "never \"kr9\"",
            &["expectations.kdl:172:15: there is no server \"kr9\"", "did you mean"],
        ),
        (document, "writer \"kw1\"", "writer \"kw1\"; never \"kw1\"", &["contradicts what stands above it"]),
        (
            document,
            "server \"kr2\" state=\"draining\"",
            "server \"kr2\" state=\"gone\"",
            &["'kr2' is gone and can't keep a text"],
        ),
        (
            document,
            "use \"only kisumu\"",
            "use \"only kisum\"",
            &["there is no fixture \"only kisum\"", "did you mean"],
        ),
    ];
    for (n, (file, from, to, expected)) in cases.into_iter().enumerate() {
        let folder = modified_example(&n.to_string(), file, from, to);
        let output = run_expect(&folder, &[]);
        let text = printed_text(&output);
        assert_eq!(output.status.code(), Some(1), "{from} -> {to}: {text}");
        for words in expected {
            assert!(text.contains(words), "{from} -> {to}: '{words}' is missing in:\n{text}");
        }
        let _ = fs::remove_dir_all(&folder);
    }
}
