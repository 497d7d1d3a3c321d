//! Tests of the built adapter, driven by a transcript in the simulator's line protocol.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::process::{Command, Stdio};

use proptest::prelude::*;
use proptest::test_runner::TestRunner;

const INFO: &str = r#"{"Az":"a","Blend":{},"Unknown":[1],"Classes":[{"AimMs":1000.0,"DeadlineMs":4000.0,"DedupWindowMs":5000.0,"KeyScope":"all","LateValue":0.2,"Name":"ask","Points":3.0,"Repeat":"retryable","Stream":true}],"Discovery":"pushed","Extra":{"AimUsPer1000PromptTokens":[40000.0],"CrossCellPrice":0.02,"EarlyPairing":true,"KindRole":["read","write"],"KvTokens":[264928,130327],"ReleaseWithinMs":1000.0,"Resume":true,"SelfPrefill":false,"TokenAimMs":[60.0]},"Limits":{"MaxRetryAfterMs":500.0,"MayCancel":true,"Probes":true,"RetryAfter":true,"SecondCopies":true,"SendCap":5},"Me":0,"Models":["r","w"],"OverShareWorth":0.1,"Prices":{"CrossZone":0.02,"LateFail":0.03,"Probe":0.003,"Waste":0.03},"ReplicasOfMe":2,"Report":{"Fields":["mean_ms","x0","x1"],"Source":"answers"},"Rules":{"AnswerSlackMs":8.0,"AskWithinMs":10000.0,"ColdFrom":0.27,"DrainGraceMs":2000.0,"FallMultiple":3.0,"TipAfterMs":1500.0,"WarmUpMs": 600.0},"StepMs":2.0,"Tenants":[],"Zones":["a","b"]}"#;

struct Reply {
    code: i32,
    stdout: String,
    stderr: String,
}

/// Runs the adapter on the input until it exits.
fn run_adapter(input: &[u8]) -> Reply {
    let mut child = Command::new(env!("CARGO_BIN_EXE_milletseam-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("a pipe");
    let input = input.to_vec();
    let writer = std::thread::spawn(move || drop(stdin.write_all(&input)));
    let (mut stdout, mut stderr) = (String::new(), String::new());
    child.stdout.take().expect("a pipe").read_to_string(&mut stdout).expect("text");
    child.stderr.take().expect("a pipe").read_to_string(&mut stderr).expect("text");
    writer.join().expect("the writer thread ends");
    Reply { code: child.wait().expect("the adapter exits").code().unwrap_or(-1), stdout, stderr }
}

fn call_id(n: u32) -> String {
    format!("5d3a91c4-7b68-4591-a4f2-{n:012}")
}

/// Starts the instances and gives each a list of servers and a request, which is read and whose answer begins.
fn transcript(instances: &[u32]) -> String {
    let mut text = "ROUND WallMs=1000.0\nFLUSH\nROUND WallMs=1002.0\n".to_string();
    for number in instances {
        text += &format!(
            "ABOUT Dispatcher={number}\nUP InitSeed=9 Info={INFO}\nTOPOLOGY Scope=2 Rev=4 NodesList=2\n"
        );
        text += "ITEM Host=7 Campus=a Hw=r Cluster=0 Health=0 Share=1\n";
        text += "ITEM Host=4294967295 Campus=b Hw=w Cluster=1 Health=0 Share=1.5 OnlineSinceMs=100.5\n";
    }
    text += "FLUSH\nROUND WallMs=1004.25\n";
    for number in instances {
        let rest = "Service=ask MaxTokens=256 PrefixTokens=1200 SessionId=s:1 SharedPrefix=p:2 NPrompt=1800";
        text += &format!(
            "ABOUT Dispatcher={number}\nACCEPT Call={} ExpiresMs=4000.5 {rest} New=x\n",
            call_id(*number)
        );
    }
    text += "FLUSH\nROUND WallMs=1100\n";
    for number in instances {
        let call_id = call_id(*number);
        text += &format!(
            "ABOUT Dispatcher={number}\nFINISHED Call={call_id} Rc=102 Host=7 Leg=0 CostTimeMs=90 Usage=14.5,0.4,1.25\n"
        );
    }
    text += "FLUSH\nROUND WallMs=1150\n";
    for number in instances {
        let call_id = call_id(*number);
        text += &format!(
            "ABOUT Dispatcher={number}\nACK_FIRST Call={call_id} Leg=1 Host=4294967295 CostTimeMs=40\nFIRED Ref=99999\n"
        );
    }
    text + "FLUSH\n"
}

/// The actions of each instance in order, without the `BY` and `READY` lines.
fn actions_by_instance(output: &str) -> BTreeMap<String, Vec<String>> {
    let (mut actions, mut current) = (BTreeMap::<String, Vec<String>>::new(), String::new());
    for line in output.lines() {
        match line.strip_prefix("BY Dispatcher=") {
            Some(number) => current = number.to_string(),
            None if line == "READY" => current.clear(),
            None => actions.entry(current.clone()).or_default().push(line.to_string()),
        }
    }
    actions
}

#[test]
fn a_request_is_read_and_written() {
    let reply = run_adapter(transcript(&[3]).as_bytes());
    assert_eq!((reply.code, reply.stderr.as_str()), (0, ""));
    assert_eq!(reply.stdout.matches("READY").count(), 5);
    let actions = &actions_by_instance(&reply.stdout)["3"];
    let sends: Vec<_> = actions.iter().filter(|a| a.starts_with("ATTEMPT")).collect();
    let call_id = call_id(3);
    assert_eq!(
        sends,
        [&format!("ATTEMPT Call={call_id} Host=7"), &format!("ATTEMPT Call={call_id} Host=4294967295")]
    );
}

#[test]
fn instances_behave_alike_in_one_process_and_in_several() {
    let together = actions_by_instance(&run_adapter(transcript(&[0, 1, 5]).as_bytes()).stdout);
    assert_eq!(together.len(), 3);
    for number in [0, 1, 5] {
        let alone = actions_by_instance(&run_adapter(transcript(&[number]).as_bytes()).stdout);
        assert_eq!(together[&number.to_string()], alone[&number.to_string()]);
    }
}

#[test]
fn an_instance_may_restart_within_a_batch() {
    let restart = format!("ROUND WallMs=2000\nABOUT Dispatcher=3\nEXIT\nUP InitSeed=2 Info={INFO}\nFLUSH\n");
    let reply = run_adapter((transcript(&[3]) + &restart).as_bytes());
    assert_eq!((reply.code, reply.stderr.as_str()), (0, ""));
}

#[test]
fn malformed_input_names_its_line_and_field() {
    let start = transcript(&[3]);
    let line = start.lines().count() + 3;
    for (bad, field) in [
        ("ACCEPT Call=short Service=ask ExpiresMs=1 NPrompt=1", "Call"),
        ("ACCEPT Call=5d3a91c4-7b68-4591-a4f2-00000000000x Service=none ExpiresMs=1 NPrompt=1", "Service"),
        ("ACCEPT Call=5d3a91c4-7b68-4591-a4f2-00000000000x Service=ask NPrompt=1", "ExpiresMs"),
        ("ACCEPT Call=5d3a91c4-7b68-4591-a4f2-00000000000x Service=ask ExpiresMs=1 NPrompt=-4", "NPrompt"),
        ("ACCEPT Call=5d3a91c4-7b68-4591-a4f2-00000000000x Service=ask ExpiresMs=NaN NPrompt=4", "ExpiresMs"),
        ("FINISHED Call=5d3a91c4-7b68-4591-a4f2-00000000000x Rc=11 Host=7 Leg=0 CostTimeMs=1", "Rc"),
        ("FIRED Ref=x", "Ref"),
        ("FIRED Ref=1 Ref=2", "Ref"),
        ("WHISPER Src=1 Payload=a", "Payload"),
        ("PONG Host=7 Rc=10 CostTimeMs=1 Usage=1,2", "Usage"),
        ("TOPOLOGY Scope=9", "Scope"),
        ("UP InitSeed=1 Info={}", "Info"),
        ("NONSENSE", "NONSENSE"),
        ("FIRED  Ref=1", "FIRED"),
        ("ABOUT Dispatcher=9\nFIRED Ref=1", "FIRED"),
    ] {
        let reply =
            run_adapter(format!("{start}ROUND WallMs=3000\nABOUT Dispatcher=3\n{bad}\nFLUSH\n").as_bytes());
        assert_ne!(reply.code, 0, "{bad}");
        let line = line + bad.matches('\n').count();
        let expected = format!("milletseam-wirehost: line {line}: {field}");
        assert!(reply.stderr.starts_with(&expected), "{bad}: {}", reply.stderr);
        assert_eq!(reply.stderr.lines().count(), 1, "{}", reply.stderr);
    }
    let backwards = run_adapter(b"ROUND WallMs=5\nFLUSH\nROUND WallMs=4\nFLUSH\n");
    assert!(backwards.stderr.contains("line 3: WallMs"), "{}", backwards.stderr);
    assert!(run_adapter(b"ROUND WallMs=5\n").stderr.contains("line 2: FLUSH"));
    assert!(run_adapter(b"ROUND WallMs=5\n\xff\n").stderr.contains("line 2: line: not UTF-8"));
}

#[test]
fn no_input_makes_the_adapter_panic() {
    let mut runner = TestRunner::deterministic();
    let words = prop::sample::select(vec![
        "ROUND",
        "FLUSH",
        "ABOUT",
        "UP",
        "EXIT",
        "TOPOLOGY",
        "ITEM",
        "ACCEPT",
        "FINISHED",
        "WallMs=1",
        "Call=x",
        "Dispatcher=3",
        "Scope=0",
        "NodesList=1",
        "Rc=10",
        "Host=7",
        "Ref=1",
        "=",
        " ",
        "\n",
        "\n",
        "Usage=,",
    ]);
    let texts = prop::collection::vec(words, 0..40).prop_map(|words| words.join(" ").replace(" \n ", "\n"));
    runner
        .run(&texts, |text| {
            let mut out = Vec::new();
            let _ = milletseam::wire::serve((transcript(&[3]) + &text).as_bytes(), &mut out);
            prop_assert!(out.ends_with(b"READY\n") || !out.is_empty());
            Ok(())
        })
        .expect("no panic");
}
