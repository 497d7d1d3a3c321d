//! The daemon and the expectations agree: what the world without I/O predicts for 500 seeded requests is what the
//! daemon does with stand-ins on loopback.

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

/// One request: who takes work among the readers, its session, its tokens and its class.
struct Asked {
    ready: BTreeSet<usize>,
    session: String,
    tokens: u64,
    class: &'static str,
}

/// Sessions are first read where only one reader takes work; then all return, and the lots of a seed say which
/// session comes next, and which reader drains meanwhile.
fn script(seed: u64) -> Vec<Asked> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let session = |reader: usize, n: usize| format!("session {reader} {n}");
    let mut all = Vec::new();
    for reader in 0..READERS {
        for n in 0..SESSIONS {
            all.push(Asked {
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
            continue; // where it would go then is left to lots
        }
        all.push(Asked {
            ready: (0..READERS).filter(|n| Some(*n) != draining).collect(),
            session: session(reader, rng.random_range(0..SESSIONS)),
            tokens: 100 + rng.random_range(0..10),
            class: if rng.random_bool(0.3) { "book" } else { "ask" },
        });
    }
    all
}

/// Six readers in three cells, and a writer in each cell.
fn members(readers: &[Auto], writers: &[Auto], ready: &BTreeSet<usize>) -> Vec<Value> {
    let reader = |(n, at): (usize, &Auto)| {
        let mut one = member(&format!("r{n}"), &at.address, "reader");
        one["cell"] = json!(n / 2);
        one["phase"] = json!(if ready.contains(&n) { "in_service" } else { "terminating" });
        one
    };
    let writer = |(n, at): (usize, &Auto)| {
        let mut one = member(&format!("w{n}"), &at.address, "writer");
        one["cell"] = json!(n);
        one
    };
    readers.iter().enumerate().map(reader).chain(writers.iter().enumerate().map(writer)).collect()
}

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

/// The servers of each request by the world: its reader and its writer.
fn predicted(site: &Site, script: &[Asked], seed: u64) -> Vec<Vec<String>> {
    let readers: BTreeMap<usize, ServerId> = (0..READERS)
        .filter_map(|n| Some((n, *site.servers.iter().find(|(_, (name, _))| *name == format!("r{n}"))?.0)))
        .collect();
    let (mut when, mut ready) = (Vec::new(), readers.keys().copied().collect::<BTreeSet<_>>());
    for asked in script {
        when.extend(ready.difference(&asked.ready).map(|n| Step::Drain(readers[n])));
        when.extend(asked.ready.difference(&ready).map(|n| Step::Return(readers[n])));
        ready = asked.ready.clone();
        let class = site.classes.iter().position(|name| name == asked.class).expect("a class");
        let request = Request {
            class: ClassId(class as u16),
            session: Some(SessionKey(digest(&asked.session))),
            prompt_tokens: asked.tokens,
            max_tokens: 80,
            ..Request::plain()
        };
        when.push(Step::Requests { request, count: 1, interval: 0, time_left: 4_000_000 });
        // The read takes 5 ms there, the first token 30 ms; kept texts are believed in for 30 s.
        when.push(Step::Pass(45_000));
    }
    let expectation = Expectation { name: "agree".into(), given: Given::default(), when, then: Vec::new() };
    let record = simulate(site, &expectation, seed, Observation::ActionsOnly).expect("sound settings");
    let names = |trace: &milletseam::expect::world::RequestTrace| {
        trace.attempts.iter().map(|attempt| site.name(attempt.server).to_string()).collect()
    };
    record.requests.iter().map(names).collect()
}

fn request(id: &str, asked: &Asked) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {}\r\n\
         X-Session-Key: {}\r\nX-Time-Left-Ms: 4000\r\nX-Facts: prompt_len={},max_out=80\r\n\
         Content-Length: 2\r\n\r\n{{}}",
        asked.class, asked.session, asked.tokens
    )
}

/// Failure: an expectation holds in a world of its own, and the daemon does something else.
#[test]
fn the_daemon_sends_where_the_world_predicts() {
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
        let first = members(&readers, &writers, &ready);
        let config = config(&discovery.address, &first);
        let parsed = Config::parse(&config.to_string()).expect("a configuration");
        let expected = predicted(&site(&parsed, &first), &script, SEED);
        let starting = Conductor::start_with(config, "");
        let (conductor, mut watch) = tokio::join!(starting, async {
            let mut seen = discovery.next().await;
            seen.answer("200 OK", "", &list(1, true, &first).to_string()).await;
            seen
        });
        let (mut revision, mut client) = (1, Wire::connect(&conductor.front).await);
        for (n, asked) in script.iter().enumerate() {
            if asked.ready != ready {
                ready = asked.ready.clone();
                revision += 1;
                watch.wire.message().await.expect("the watch");
                let changes = members(&readers, &writers, &ready);
                watch.answer("200 OK", "", &list(revision, false, &changes).to_string()).await;
                // The next call of the watch is made once the list was handed on.
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
            client.write(&request(&format!("c{n}"), asked)).await;
            let answer = client.rest_of_answer().await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        let mut met: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (kind, all) in [("r", &readers), ("w", &writers)] {
            for (n, one) in all.iter().enumerate() {
                one.arrivals()
                    .into_iter()
                    .for_each(|a| met.entry(a.id).or_default().push(format!("{kind}{n}")));
            }
        }
        let wrong: Vec<String> = expected
            .iter()
            .enumerate()
            .filter(|(n, servers)| met.get(&format!("c{n}")) != Some(servers))
            .map(|(n, servers)| {
                let (session, met) = (&script[n].session, met.get(&format!("c{n}")));
                format!("{n} ({session}): {servers:?}, met {met:?}")
            })
            .collect();
        assert_eq!(expected.len(), 500);
        assert!(expected.iter().flatten().collect::<BTreeSet<_>>().len() == READERS + READERS / 2);
        assert!(wrong.is_empty(), "{} of 500 otherwise: {:?}", wrong.len(), &wrong[..wrong.len().min(5)]);
    });
}

/// Failure: to look at a choice changes it, so that the reasons told are those of another decision.
#[test]
fn a_play_is_the_same_byte_for_byte_whether_it_is_observed_or_not() {
    let members: Vec<Value> = (0..6)
        .map(|n| {
            let kind = if n < 3 { "reader" } else { "writer" };
            let mut one = member(&format!("s{n}"), &format!("10.0.0.1:{n}"), kind);
            one["cell"] = json!(n % 2);
            one
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
    let breaks = |how| Behaviour { failures: Some((how, 3)), ..Behaviour::default() };
    let mut looked = 0;
    for seed in 0..30 {
        let given = Given {
            conductors: Some(1 + seed as u32 % 3),
            started_ago: [(ids[seed as usize % 6], 500_000)].into(),
            behaviours: [
                (ids[(seed as usize + 1) % 6], breaks(FailureMode::BeforeLastByte)),
                (ids[(seed as usize + 2) % 6], breaks(FailureMode::AfterLastByte)),
                (ids[(seed as usize + 3) % 6], Behaviour { latency_factor: 8.0, ..Behaviour::default() }),
            ]
            .into(),
            ..Given::default()
        };
        let drained = ids[(seed as usize + 4) % 6];
        let when =
            vec![burst(0, 40), Step::Drain(drained), burst(1, 30), Step::Return(drained), burst(0, 30)];
        let expectation = Expectation { name: "x".into(), given, when, then: Vec::new() };
        let plain = simulate(&site, &expectation, seed, Observation::ActionsOnly).expect("sound settings");
        let mut observed =
            simulate(&site, &expectation, seed, Observation::WithChoices).expect("sound settings");
        looked += observed.requests.iter().map(|trace| trace.choices.len()).sum::<usize>();
        observed.requests.iter_mut().for_each(|trace| trace.choices.clear());
        assert_eq!(format!("{plain:?}"), format!("{observed:?}"), "seed {seed}");
    }
    assert!(looked > 30 * 100, "{looked} choices were told");
}
