//! Checks that expectations predict the daemon: the simulation without I/O and the daemon, with stand-ins on loopback,
//! have to send 500 seeded requests to the same servers.

mod peers;

use std::collections::{BTreeMap, BTreeSet};

use milletseam::expect::model::{Behaviour, FailureMode};
use milletseam::expect::world::{Observation, simulate};
use milletseam::expect::{Expectation, Given, Site, Step};
use milletseam::interface::*;
use milletseam::protocol::config::Config;
use milletseam::protocol::platform::List;
use milletseam::protocol::settings::digest;
use peers::auto::Auto;
use peers::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

const READERS: usize = 6;
const SESSIONS: usize = 10;

/// A request of the script.
struct ScriptedRequest {
    /// The readers that are ready when it is sent.
    ready: BTreeSet<usize>,
    session: String,
    /// The length of its prompt.
    tokens: u64,
    class: &'static str,
}

/// Generates the requests. Each session is first read while only one reader is ready. After that the seed determines
/// which session returns next, and which reader is draining meanwhile.
fn script(seed: u64) -> Vec<ScriptedRequest> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let session = |reader: usize, n: usize| format!("session {reader} {n}");
    let mut all = Vec::new();
    for reader in 0..READERS {
        for n in 0..SESSIONS {
            all.push(ScriptedRequest {
                ready: [reader].into(),
                session: session(reader, n),
                tokens: 100,
                class: "ask",
            });
        }
    }
    let mut draining = None;
    while all.len() < 500 {
        if all.len().is_multiple_of(40) {
            draining = Some(rng.random_range(0..READERS));
        }
        let reader = rng.random_range(0..READERS);
        if draining == Some(reader) {
            continue; // the reader would be a random one
        }
        all.push(ScriptedRequest {
            ready: (0..READERS).filter(|n| Some(*n) != draining).collect(),
            session: session(reader, rng.random_range(0..SESSIONS)),
            tokens: 100 + rng.random_range(0..10),
            class: if rng.random_bool(0.3) { "book" } else { "ask" },
        });
    }
    all
}

/// The members of the list: six readers in three cells, and a writer in each cell.
fn members(readers: &[Auto], writers: &[Auto], ready: &BTreeSet<usize>) -> Vec<Value> {
    let reader = |(n, stand_in): (usize, &Auto)| {
        let mut entry = member(&format!("r{n}"), &stand_in.address, "reader");
        entry["cell"] = json!(n / 2);
        entry["phase"] = json!(if ready.contains(&n) { "in_service" } else { "terminating" });
        entry
    };
    let writer = |(n, stand_in): (usize, &Auto)| {
        let mut entry = member(&format!("w{n}"), &stand_in.address, "writer");
        entry["cell"] = json!(n);
        entry
    };
    readers.iter().enumerate().map(reader).chain(writers.iter().enumerate().map(writer)).collect()
}

/// Builds the site that corresponds to the daemon's configuration and list.
fn site(config: &Config, members: &[Value]) -> Site {
    let names = config.settings.clone().names();
    let listed: List = serde_json::from_value(list(1, true, members)).expect("a list");
    let server = |member: &milletseam::protocol::platform::Member| {
        let entry = member.entry(&names, |_| None).expect("known names");
        (entry.id, (member.id.clone(), ServerEntry { state: ServerState::Ready, ..entry }))
    };
    Site {
        settings: config.settings.settings().expect("settings"),
        servers: listed.members.iter().map(server).collect(),
        zones: names.zones,
        kinds: names.kinds,
        classes: names.classes,
    }
}

/// Returns the servers to which the simulation sends each request: its reader and its writer.
fn predicted(site: &Site, script: &[ScriptedRequest], seed: u64) -> Vec<Vec<String>> {
    let readers: BTreeMap<usize, ServerId> = (0..READERS)
        .filter_map(|n| Some((n, *site.servers.iter().find(|(_, (name, _))| *name == format!("r{n}"))?.0)))
        .collect();
    let (mut when, mut ready) = (Vec::new(), readers.keys().copied().collect::<BTreeSet<_>>());
    for scripted in script {
        when.extend(ready.difference(&scripted.ready).map(|n| Step::Drain(readers[n])));
        when.extend(scripted.ready.difference(&ready).map(|n| Step::Return(readers[n])));
        ready = scripted.ready.clone();
        let class = site.classes.iter().position(|name| name == scripted.class).expect("a class");
        let request = Request {
            class: ClassId(class as u16),
            session: Some(SessionKey(digest(&scripted.session))),
            prompt_tokens: scripted.tokens,
            max_tokens: 80,
            ..Request::plain()
        };
        when.push(Step::Requests { request, count: 1, interval: 0, time_left: 4_000_000 });
        // In the simulation a read takes 5 ms and the first token 30 ms. The core assumes that a text stays cached for
        // 30 s.
        when.push(Step::Pass(45_000));
    }
    let expectation = Expectation { name: "agree".into(), given: Given::default(), when, then: Vec::new() };
    let record = simulate(site, &expectation, seed, Observation::ActionsOnly).expect("valid settings");
    let names = |trace: &milletseam::expect::world::RequestTrace| {
        trace.attempts.iter().map(|attempt| site.name(attempt.server).to_string()).collect()
    };
    record.requests.iter().map(names).collect()
}

fn request(id: &str, scripted: &ScriptedRequest) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {}\r\n\
         X-Session-Key: {}\r\nX-Time-Left-Ms: 4000\r\nX-Facts: prompt_len={},max_out=80\r\n\
         Content-Length: 2\r\n\r\n{{}}",
        scripted.class, scripted.session, scripted.tokens
    )
}

/// Guards against a simulation that differs from the daemon, so that an expectation holds although the daemon does
/// something else.
#[test]
fn daemon_sends_to_the_servers_that_the_simulation_predicts() {
    const SEED: u64 = 11;
    story(async {
        let script = script(SEED);
        let (mut readers, mut writers) = (Vec::new(), Vec::new());
        for _ in 0..READERS {
            readers.push(Auto::start(true).await);
        }
        for _ in 0..READERS / 2 {
            writers.push(Auto::start(false).await);
        }
        let mut discovery = Peer::start().await;
        let mut ready = script[0].ready.clone();
        let initial_members = members(&readers, &writers, &ready);
        let config = config(&discovery.address, &initial_members);
        let parsed = Config::parse(&config.to_string()).expect("a configuration");
        let expected = predicted(&site(&parsed, &initial_members), &script, SEED);
        let starting = Conductor::start_with(config, "");
        let (conductor, mut watch) = tokio::join!(starting, async {
            let mut watch_request = discovery.next().await;
            watch_request.answer("200 OK", "", &list(1, true, &initial_members).to_string()).await;
            watch_request
        });
        let (mut revision, mut client) = (1, Wire::connect(&conductor.front).await);
        for (n, scripted) in script.iter().enumerate() {
            if scripted.ready != ready {
                ready = scripted.ready.clone();
                revision += 1;
                watch.wire.message().await.expect("the watch");
                let changes = members(&readers, &writers, &ready);
                watch.answer("200 OK", "", &list(revision, false, &changes).to_string()).await;
                // The daemon makes the next watch call only after it has passed the list on.
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
            client.write(&request(&format!("c{n}"), scripted)).await;
            let answer = client.rest_of_answer().await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        let mut actual: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (kind, all) in [("r", &readers), ("w", &writers)] {
            for (n, stand_in) in all.iter().enumerate() {
                stand_in
                    .arrivals()
                    .into_iter()
                    .for_each(|arrival| actual.entry(arrival.id).or_default().push(format!("{kind}{n}")));
            }
        }
        let mismatches: Vec<String> = expected
            .iter()
            .enumerate()
            .filter(|(n, servers)| actual.get(&format!("c{n}")) != Some(servers))
            .map(|(n, servers)| {
                let (session, actual) = (&script[n].session, actual.get(&format!("c{n}")));
                format!("{n} ({session}): predicted {servers:?}, actual {actual:?}")
            })
            .collect();
        assert_eq!(expected.len(), 500);
        assert!(expected.iter().flatten().collect::<BTreeSet<_>>().len() == READERS + READERS / 2);
        assert!(
            mismatches.is_empty(),
            "{} of 500 requests went to other servers: {:?}",
            mismatches.len(),
            &mismatches[..mismatches.len().min(5)]
        );
    });
}

/// Guards against recording a choice that changes it, so that the reported reasons belong to another decision.
#[test]
fn recording_choices_does_not_change_a_simulation() {
    let members: Vec<Value> = (0..6)
        .map(|n| {
            let kind = if n < 3 { "reader" } else { "writer" };
            let mut entry = member(&format!("s{n}"), &format!("10.0.0.1:{n}"), kind);
            entry["cell"] = json!(n % 2);
            entry
        })
        .collect();
    let parsed = Config::parse(&config("", &members).to_string()).expect("a configuration");
    let site = site(&parsed, &members);
    let ids: Vec<ServerId> = site.servers.keys().copied().collect();
    let burst = |class: u16, count: u32| Step::Requests {
        request: Request { class: ClassId(class), prompt_tokens: 1_500, max_tokens: 80, ..Request::plain() },
        count,
        interval: 15_000,
        time_left: 3_000_000,
    };
    let failing = |mode| Behaviour { failures: Some((mode, 3)), ..Behaviour::default() };
    let mut recorded_choices = 0;
    for seed in 0..30 {
        let given = Given {
            conductors: Some(1 + seed as u32 % 3),
            started_ago: [(ids[seed as usize % 6], 500_000)].into(),
            behaviours: [
                (ids[(seed as usize + 1) % 6], failing(FailureMode::BeforeLastByte)),
                (ids[(seed as usize + 2) % 6], failing(FailureMode::AfterLastByte)),
                (ids[(seed as usize + 3) % 6], Behaviour { latency_factor: 8.0, ..Behaviour::default() }),
            ]
            .into(),
            ..Given::default()
        };
        let drained = ids[(seed as usize + 4) % 6];
        let when =
            vec![burst(0, 40), Step::Drain(drained), burst(1, 30), Step::Return(drained), burst(0, 30)];
        let expectation = Expectation { name: "x".into(), given, when, then: Vec::new() };
        let unobserved =
            simulate(&site, &expectation, seed, Observation::ActionsOnly).expect("valid settings");
        let mut observed =
            simulate(&site, &expectation, seed, Observation::WithChoices).expect("valid settings");
        recorded_choices += observed.requests.iter().map(|trace| trace.choices.len()).sum::<usize>();
        observed.requests.iter_mut().for_each(|trace| trace.choices.clear());
        assert_eq!(format!("{unobserved:?}"), format!("{observed:?}"), "seed {seed}");
    }
    assert!(recorded_choices > 30 * 100, "only {recorded_choices} choices were recorded");
}
