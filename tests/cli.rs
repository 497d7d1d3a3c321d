//! Tests of the command line, which run the built program.

mod peers;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use peers::config;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("birchspur-cli-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(path.join("servers")).expect("a folder");
        Folder(path)
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }

    fn write(&self, name: &str, text: &str) -> String {
        fs::write(self.0.join(name), text).expect("a file");
        self.path(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn birchspur(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_birchspur"));
    command.env_remove("LB_CONFIG").args(arguments).output().expect("it runs")
}

fn told(output: &Output) -> String {
    [&output.stdout[..], &output.stderr[..]].concat().iter().map(|b| char::from(*b)).collect()
}

#[track_caller]
fn ends(arguments: &[&str], status: i32, words: &[&str]) {
    let output = birchspur(arguments);
    let text = told(&output);
    assert_eq!(output.status.code(), Some(status), "{text}");
    for word in words {
        assert!(text.contains(word), "'{word}' is missing in:\n{text}");
    }
}

const SERVERS: &str = "servers zone=\"a\" revision=1\n\
    server \"r1\" address=\"10.0.0.1:1\" kind=\"reader\"\n\
    server \"r2\" address=\"10.0.0.1:2\" kind=\"reader\" weight=3\n\
    server \"w1\" address=\"10.0.0.1:3\" kind=\"writer\"\n";

#[test]
fn check_prints_place_and_remedy_and_exits_by_the_result() {
    let folder = Folder::new("check");
    let config = folder.write("config.json", &config("", &[]).to_string());
    let directory = folder.path("servers");
    let operator = folder.write("operator.kdl", &format!("servers {{\n directory {directory:?}\n}}\n"));
    let check = ["check", "--config", &config, "--operator", &operator];
    ends(&check, 2, &["there are no server files"]);
    folder.write("servers/a.kdl", SERVERS);
    ends(&check, 0, &["good, 3 servers in 1 files, 1 without a seal"]);
    folder.write("servers/a.kdl", &SERVERS.replace("kind=\"writer\"", "kind=\"wirter\""));
    ends(&check, 1, &["a.kdl:4:", "there is no kind 'wirter'", "did you mean 'writer'?", "server \"w1\""]);
    folder.write("servers/a.kdl", &SERVERS.replace("weight=3", "wieght=3"));
    ends(&check, 1, &["a.kdl:3:48", "'wieght' is not known here", "did you mean 'weight'?"]);
    folder.write("servers/a.kdl", &SERVERS.replace("server \"w1\"", "// server \"w1\""));
    ends(&check, 1, &["data centre 'a' would have no writer", "meant revision=N"]);
    folder.write("operator.kdl", "servers {\n directory \"x\"\n rest \"2 parsecs\"\n}\n");
    ends(&check, 1, &["operator.kdl:3:7", "is no time"]);
    folder.write("operator.kdl", "servers {\n directory \"x\"\n drian \"2s\"\n}\n");
    ends(&check, 1, &["operator.kdl:3:2", "'drian' is not known here", "did you mean 'drain'?"]);
    ends(&["check", "--operator", &folder.path("none.kdl")], 2, &["can't be read"]);
    ends(&["check"], 2, &["nothing to check"]);
}

#[test]
fn sealed_file_is_accepted_and_refused_after_a_change() {
    let folder = Folder::new("seal");
    let file = folder.write("servers/a.kdl", SERVERS);
    let directory = folder.path("servers");
    ends(&["servers", "seal", &file], 0, &["sealed, 3 servers"]);
    ends(&["servers", "check", &directory], 0, &["good, 3 servers in 1 files\n"]);
    let sealed = fs::read_to_string(&file).expect("the file");
    assert!(sealed.starts_with(SERVERS) && sealed.contains("\nseal count=3 sha256=\""));
    ends(&["servers", "seal", &file], 0, &[]);
    assert_eq!(fs::read_to_string(&file).expect("the file"), sealed, "sealing twice changes nothing");
    fs::write(&file, sealed.replace("weight=3", "weight=4")).expect("the file");
    ends(&["servers", "check", &directory], 1, &["the seal is not valid", "servers seal FILE"]);
    ends(&["servers", "seal", "--manifest", &directory], 0, &["1 files change as one"]);
    ends(&["servers", "check", &directory], 0, &["good"]);
    fs::write(&file, &sealed).expect("the file");
    ends(&["servers", "check", &directory], 1, &["the manifest expects", "--manifest"]);
    ends(&["servers", "show", &directory], 1, &["server"]);
    fs::write(&file, "servers zone=").expect("the file");
    ends(&["servers", "seal", &file], 1, &["a.kdl:1:"]);
    assert_eq!(fs::read_to_string(&file).expect("the file"), "servers zone=", "a bad file is left alone");
}

#[test]
fn diff_prints_the_share_of_weight_that_moves() {
    let folder = Folder::new("diff");
    fs::create_dir_all(folder.0.join("next")).expect("a folder");
    let config = folder.write("config.json", &config("", &[]).to_string());
    folder.write("servers/a.kdl", SERVERS);
    let next = SERVERS.replace("revision=1", "revision=2").replace("weight=3", "weight=1");
    folder.write("next/a.kdl", &next.replace(":3\"", ":33\""));
    let (old, new) = (folder.path("servers"), folder.path("next"));
    let diff = ["servers", "diff", &old, &new, "--config", &config];
    let words = ["a/r2: weight 3 -> 1", "a/w1: address 10.0.0.1:3 -> 10.0.0.1:33: a new process, cold"];
    ends(&diff, 0, &words);
    let table = told(&birchspur(&diff));
    let row: Vec<&str> =
        table.lines().find(|l| l.starts_with("reader")).expect("a row").split_whitespace().collect();
    assert_eq!(row, ["reader", "a", "4.00", "->", "2.00", "100.0%", "->", "100.0%"]);
    let strict = [&diff[..], &["--leave-at-most", "0.4"]].concat();
    ends(&strict, 1, &["50% of the weight of all readers would leave at once; at most 40% may"]);
    ends(&["servers", "diff", &old, &old], 0, &["no server changes"]);
    folder.write("next/a.kdl", &SERVERS.replace("weight=3", "weight=2"));
    ends(&diff, 1, &["revision 1 is already in service with different content"]);
}

#[test]
fn help_and_completions_are_printed() {
    ends(&["--help"], 0, &["serve", "check", "servers", "LB_CONFIG"]);
    ends(&["servers", "--help"], 0, &["diff", "seal", "show"]);
    ends(&["completions", "bash"], 0, &["_birchspur"]);
    ends(&["serve", "--oprator", "x"], 2, &["--operator"]);
    assert!(Path::new("deploy/operator.kdl").exists());
    ends(&["check", "--operator", "deploy/operator.kdl"], 0, &["deploy/operator.kdl: good"]);
}

/// A running program, with the lines of its log.
struct RunningProgram {
    child: std::process::Child,
    log: std::io::Lines<std::io::BufReader<std::process::ChildStderr>>,
}

impl RunningProgram {
    fn start(config: &str, operator: &str) -> Self {
        use std::io::BufRead;
        let mut child = Command::new(env!("CARGO_BIN_EXE_birchspur"))
            .args(["serve", "--operator", operator])
            .env("LB_CONFIG", config)
            .stderr(std::process::Stdio::piped())
            .stdout(std::process::Stdio::null())
            .spawn()
            .expect("it starts");
        let log = std::io::BufReader::new(child.stderr.take().expect("a pipe")).lines();
        RunningProgram { child, log }
    }

    /// Returns the next line of the log that contains these words; panics if the program exits before it.
    #[track_caller]
    fn says(&mut self, words: &str) -> String {
        let mut all = String::new();
        for line in &mut self.log {
            let line = line.expect("text");
            if line.contains(words) {
                return line;
            }
            all += &(line + "\n");
        }
        panic!("'{words}' is missing in:\n{all}");
    }
}

impl Drop for RunningProgram {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against a restart during a bad change that leaves the program without servers.
#[test]
fn start_with_bad_files_uses_the_last_good_set_or_exits_with_the_reasons() {
    let folder = Folder::new("kept");
    let config = folder.write("config.json", &config("", &[]).to_string());
    let (directory, state) = (folder.path("servers"), folder.path("state"));
    let document = format!(
        "servers {{\n directory {directory:?}\n state {state:?}\n rest \"10ms\"\n poll \"20ms\"\n}}\nlog form=\"json\"\n"
    );
    let operator = folder.write("operator.kdl", &document);
    let file = folder.write("servers/a.kdl", SERVERS);
    ends(&["servers", "seal", &file], 0, &[]);
    ends(&["servers", "show", "--state", &state], 2, &["there is no saved set"]);
    {
        let mut served = RunningProgram::start(&config, &operator);
        let line = served.says("servers changed");
        let event: serde_json::Value = serde_json::from_str(&line).expect("a JSON line");
        assert_eq!((&event["members"], &event["cause"]), (&3.into(), &"Files".into()), "{line}");
        // A change in service, and a refusal with its place.
        let next = SERVERS.replace("revision=1", "revision=2");
        let next = next.lines().filter(|line| !line.contains("r1")).collect::<Vec<_>>().join("\n");
        folder.write("servers/.next", &(next + "\n"));
        fs::rename(folder.path("servers/.next"), &file).expect("a rename");
        served.says("the file in service has a seal, but this one has none");
        ends(&["servers", "seal", &file], 0, &[]);
        served.says("servers changed");
        fs::write(&file, "servers zone=\"a\" revision=3\nsevrer \"x\"\n").expect("the file");
        // The program may also see the file after it was truncated and before it is written, and refuse it.
        let line = served.says("not taken: a.kdl:2:1: 'sevrer'");
        let event: serde_json::Value = serde_json::from_str(&line).expect("a JSON line");
        assert_eq!((&event["file.name"], &event["file.line"]), (&"a.kdl".into(), &2.into()), "{line}");
    }
    ends(&["servers", "show", "--state", &state], 0, &["generation 2", "r2", "a: revision 2, sealed"]);
    {
        let mut served = RunningProgram::start(&config, &operator);
        let line = served.says("beginning from the set that was kept");
        assert!(line.contains("\"generation\":2") && line.contains("\"age\":\""), "{line}");
    }
    let kept = folder.path("state/servers.last-good");
    let text = fs::read_to_string(&kept).expect("a set");
    fs::write(&kept, text.replace("weight=3", "weight=9")).expect("damaged");
    ends(&["servers", "show", "--state", &state], 2, &["it is damaged"]);
    let output = Command::new(env!("CARGO_BIN_EXE_birchspur"))
        .args(["serve", "--operator", &operator])
        .env("LB_CONFIG", &config)
        .output()
        .expect("it runs");
    let text = told(&output);
    assert_eq!(output.status.code(), Some(1), "{text}");
    for words in ["is not trusted", "no set of servers can be taken", "a.kdl:2:1: 'sevrer' is not known here"]
    {
        assert!(text.contains(words), "'{words}' is missing in:\n{text}");
    }
}
