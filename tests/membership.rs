//! Tests of the membership state machine: single decisions, and the invariants that hold after any sequence
//! of file sets, discovery updates and time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use milletseam::documents::{Source, seal, servers};
use milletseam::interface::*;
use milletseam::membership::lives::WeightSteps;
use milletseam::membership::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const RULES: SetRules = SetRules {
    quiet_period: 2 * SECOND,
    min_change_interval: SECOND / 5,
    drain_period: 10 * SECOND,
    max_weight_loss: 0.5,
    weight_steps: WeightSteps { factor: 1.5, interval: SECOND, initial_fraction: 0.25 },
    trial: None,
};

fn catalog() -> Catalog {
    let kinds = [("reader", Role::Reader), ("writer-a", Role::Writer), ("writer-b", Role::Writer)];
    Catalog {
        zones: vec!["nairobi".into(), "mombasa".into()],
        kinds: kinds.map(|(name, role)| (name.to_string(), role)).to_vec(),
        cells: Some((0..4).collect()),
    }
}

/// A sealed file of a data centre; each entry of `servers` is an id, a port, a kind, a cell and a weight.
fn text(zone: &str, head: &str, servers: &[&str]) -> String {
    let mut body = format!("servers zone=\"{zone}\" {head}\n");
    for server in servers {
        let [id, address, kind, cell, weight] = server.split(' ').collect::<Vec<_>>()[..] else {
            panic!("{server}")
        };
        body += &format!(
            "server \"{id}\" address=\"10.0.0.1:{address}\" kind=\"{kind}\" cell={cell} weight={weight}\n"
        );
    }
    seal::sealed(&body, servers.len())
}

fn file(name: &str, text: &str) -> Result<Arc<SetFile>, Refusal> {
    servers::parse(&Source::new(name, text)).map(Arc::new)
}

const NAIROBI: [&str; 4] = ["r1 1 reader 0 1", "r2 2 reader 0 1", "w1 3 writer-a 0 1", "w2 4 writer-b 0 1"];
const MOMBASA: [&str; 4] = ["r3 5 reader 1 1", "r4 6 reader 1 1", "w3 7 writer-a 1 1", "w4 8 writer-b 1 1"];

/// Returns true if a reason is the expected one.
type Expected = fn(&Reason) -> bool;

/// A membership with a clock, which collects what the membership emits.
struct Harness {
    membership: Membership,
    now: Micros,
    latest: Option<Arc<Generation>>,
    published_count: usize,
    refused: Vec<Refusal>,
    saved_count: usize,
    /// The trial that is to run: its number, and the revision of nairobi's file in it.
    trial: Option<(u64, u64)>,
    warning_count: usize,
    /// The revisions of nairobi's file whose trials were stopped.
    timed_out_revisions: Vec<u64>,
}

impl Harness {
    fn new() -> Self {
        Harness::with_rules(RULES)
    }

    fn with_rules(rules: SetRules) -> Self {
        let membership = Membership::new(catalog(), rules, true);
        let (latest, refused, trial) = (None, Vec::new(), None);
        Harness {
            membership,
            now: 100 * SECOND,
            latest,
            published_count: 0,
            refused,
            saved_count: 0,
            trial,
            warning_count: 0,
            timed_out_revisions: Vec::new(),
        }
    }

    /// A harness that has both data centres in service at revision 1.
    fn in_service() -> Self {
        let mut harness = Harness::new();
        harness.scan_both(&text("nairobi", "revision=1", &NAIROBI), &text("mombasa", "revision=1", &MOMBASA));
        assert_eq!((harness.published_count, harness.refused.len()), (1, 0), "{:?}", harness.refused);
        harness.advance(SECOND);
        harness
    }

    fn process(&mut self, input: Input) {
        let mut out = Vec::new();
        self.membership.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Publish(generation) => {
                    let before = self.latest.as_ref().map_or(0, |latest| latest.number);
                    assert!(generation.number > before, "numbers grow");
                    self.published_count += 1;
                    self.latest = Some(generation);
                }
                Output::Save(_) => self.saved_count += 1,
                Output::Refuse(refusal) => self.refused.push(refusal),
                Output::RefusalsCleared => self.refused.clear(),
                Output::StartTrial(number, files) => {
                    assert_eq!(self.trial, None, "at most one trial runs");
                    self.trial = Some((number, files["nairobi"].revision.value));
                }
                Output::StopTrial(number) => {
                    let (running, revision) = self.trial.take().expect("a trial");
                    assert_eq!(running, number);
                    self.timed_out_revisions.push(revision);
                }
                Output::Warn(_) => self.warning_count += 1,
            }
        }
    }

    fn advance(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(at) = self.membership.next_due().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.process(Input::Tick);
        }
        self.now = until;
    }

    fn scan_both(&mut self, nairobi: &str, mombasa: &str) {
        let files = vec![file("nairobi.kdl", nairobi), file("mombasa.kdl", mombasa)];
        self.process(Input::Scan(Scan { files, manifest: None }));
    }

    /// Scans a new file for nairobi together with the first file of mombasa.
    fn nairobi(&mut self, head: &str, servers: &[&str]) {
        self.scan_both(&text("nairobi", head, servers), &text("mombasa", "revision=1", &MOMBASA));
    }

    fn member(&self, id: &str) -> Option<&Member> {
        self.latest.as_ref()?.members.iter().find(|member| *member.name == *id)
    }

    fn state(&self, id: &str) -> Option<ServerState> {
        self.member(id).map(|member| member.entry.state)
    }

    fn weight(&self, id: &str) -> f64 {
        self.member(id).expect("a member").entry.weight
    }

    /// The reason of the only current refusal.
    fn only_reason(&self) -> Reason {
        match self.membership.refused() {
            [one] => (*one.reason).clone(),
            all => panic!("not one refusal: {all:?}"),
        }
    }
}

#[test]
fn contradictory_set_is_refused_as_a_whole_with_the_location() {
    let with = |line: &'static str| [NAIROBI[0], NAIROBI[1], NAIROBI[2], NAIROBI[3], line];
    let cases: [(&str, Expected); 9] = [
        ("r1 9 reader 0 1", |r| matches!(r, Reason::DuplicateId(id) if id == "r1")),
        (
            "r9 1 reader 0 1",
            |r| matches!(r, Reason::DuplicateAddress { first, second, .. } if first == "r1" && second == "r9"),
        ),
        ("r9 9 raeder 0 1", |r| matches!(r, Reason::UnknownName { nearest: Some(n), .. } if n == "reader")),
        ("r9 9 reader 7 1", |r| matches!(r, Reason::UnknownCell(7))),
        ("r9 9 reader 1 1", |r| matches!(r, Reason::CellInTwoZones { cell: 1, .. })),
        ("r9 9 reader 0 -1", |r| matches!(r, Reason::WeightOutOfRange(w) if w == "-1")),
        ("r9 9 reader 0 #nan", |r| matches!(r, Reason::WeightOutOfRange(w) if w == "NaN")),
        ("r9 9 reader 0 #inf", |r| matches!(r, Reason::WeightOutOfRange(w) if w == "inf")),
        ("r9 9 reader 0 1e6", |r| matches!(r, Reason::WeightOutOfRange(_))),
    ];
    for (line, expected) in cases {
        let mut harness = Harness::in_service();
        harness.nairobi("revision=2", &with(line));
        let refusals = harness.membership.refused();
        let refusal = refusals.iter().find(|refusal| expected(&refusal.reason));
        let refusal = refusal.unwrap_or_else(|| panic!("{line}: {refusals:?}"));
        assert!(refusal.location.line >= 4 && refusal.location.column > 1, "{line}: {}", refusal.location);
        assert_eq!(
            (harness.published_count, harness.member("r9")),
            (1, None),
            "{line}: no part of the set is accepted"
        );
    }
}

#[test]
fn unknown_zone_and_second_file_for_a_zone_are_refused() {
    let mut harness = Harness::in_service();
    harness.scan_both(&text("nairoby", "revision=1", &NAIROBI), &text("mombasa", "revision=1", &MOMBASA));
    let refused = harness.membership.refused();
    let suggests_nairobi =
        |r: &Refusal| matches!(&*r.reason, Reason::UnknownName { nearest: Some(n), .. } if n == "nairobi");
    assert!(refused.iter().any(suggests_nairobi), "{refused:?}");
    let second = text("nairobi", "revision=2", &NAIROBI[..3]);
    let files = vec![
        file("a.kdl", &text("nairobi", "revision=2", &NAIROBI)),
        file("b.kdl", &second),
        file("mombasa.kdl", &text("mombasa", "revision=1", &MOMBASA)),
    ];
    harness.process(Input::Scan(Scan { files, manifest: None }));
    assert!(matches!(harness.only_reason(), Reason::DuplicateZone(zone) if zone == "nairobi"));
    assert_eq!(harness.published_count, 1);
}

#[test]
fn older_revision_is_accepted_only_as_roll_back_of_the_one_in_service() {
    let mut harness = Harness::in_service();
    let without_w2 = &NAIROBI[..3];
    harness.nairobi("revision=5", without_w2);
    assert_eq!(harness.published_count, 2);
    harness.advance(SECOND);
    harness.nairobi("revision=5", &NAIROBI);
    assert_eq!(harness.only_reason(), Reason::SameRevision(5));
    harness.nairobi("revision=4", &NAIROBI);
    assert_eq!(harness.only_reason(), Reason::OlderRevision { revision: 4, in_service: 5 });
    harness.nairobi("revision=4 rollback-of=3", &NAIROBI);
    assert_eq!(harness.only_reason(), Reason::RollbackMismatch { named: 3, in_service: 5 });
    assert_eq!(harness.published_count, 2);
    harness.nairobi("revision=4 rollback-of=5", &NAIROBI);
    assert_eq!((harness.published_count, harness.state("w2")), (3, Some(ServerState::Ready)));
}

/// Guards against a mistake in a file that leaves a data centre without readers or writers.
#[test]
fn change_that_empties_a_role_in_a_zone_is_refused_until_confirmed() {
    let zero_weights: Vec<String> = NAIROBI.iter().map(|l| format!("{}0", &l[..l.len() - 1])).collect();
    let zero_weights: Vec<&str> = zero_weights.iter().map(String::as_str).collect();
    type Case<'a> = (&'a [&'a str], Expected);
    let cases: [Case; 3] = [
        (
            &NAIROBI[2..],
            |r| matches!(r, Reason::ZoneWithoutRole { zone, role: Role::Reader } if zone == "nairobi"),
        ),
        (&NAIROBI[..2], |r| matches!(r, Reason::ZoneWithoutRole { role: Role::Writer, .. })),
        (&zero_weights, |r| matches!(r, Reason::ZoneWithoutRole { role: Role::Reader, .. })),
    ];
    for (servers, expected) in cases {
        let mut harness = Harness::in_service();
        harness.nairobi("revision=2", servers);
        let refused = harness.membership.refused().to_vec();
        assert!(refused.iter().any(|r| expected(&r.reason)), "{refused:?}");
        assert!(refused.iter().all(|r| r.reason.can_be_confirmed() && r.location.line == 1), "{refused:?}");
        assert_eq!(harness.published_count, 1);
        let with_confirmation = |revision: u64| {
            let body = text("nairobi", "revision=2", servers);
            let body = seal::unsealed(&body).expect("a seal");
            seal::sealed(&format!("{body}meant revision={revision} reason=\"repair\"\n"), servers.len())
        };
        let mombasa = text("mombasa", "revision=1", &MOMBASA);
        harness.scan_both(&with_confirmation(1), &mombasa);
        assert_eq!(
            harness.only_reason(),
            Reason::ConfirmationMismatch { named: 1, revision: 2 },
            "a confirmation of an older revision does not count"
        );
        harness.scan_both(&with_confirmation(2), &mombasa);
        assert_eq!((harness.published_count, harness.membership.refused().len()), (2, 0));
    }
}

#[test]
fn weight_loss_above_the_limit_is_refused_and_a_smaller_one_is_accepted() {
    let mut harness = Harness::in_service();
    let reduced = ["r1 1 reader 0 0.1", "w1 3 writer-a 0 1", "w2 4 writer-b 0 1"];
    let mombasa = ["r3 5 reader 1 0.5", "r4 6 reader 1 0.3", "w3 7 writer-a 1 1", "w4 8 writer-b 1 1"];
    harness.scan_both(&text("nairobi", "revision=2", &reduced), &text("mombasa", "revision=2", &mombasa));
    let share = |r: &Refusal| matches!(*r.reason, Reason::ExcessiveWeightLoss { role: Role::Reader, share, .. } if (share - 0.775).abs() < 1e-9);
    assert!(harness.membership.refused().iter().any(share), "{:?}", harness.membership.refused());
    assert_eq!(harness.published_count, 1);
    // A part of the same loss, below the limit, is accepted.
    harness.nairobi("revision=2", &reduced);
    harness.advance(SECOND);
    assert_eq!((harness.published_count, harness.weight("r1")), (2, 0.1));
}

#[test]
fn removed_server_drains_first_and_is_the_same_process_if_it_returns_in_time() {
    let mut harness = Harness::in_service();
    harness.nairobi("revision=2", &NAIROBI[..3]);
    assert_eq!(harness.state("w2"), Some(ServerState::Draining));
    harness.advance(9 * SECOND);
    assert_eq!(harness.state("w2"), Some(ServerState::Draining));
    harness.nairobi("revision=3", &NAIROBI);
    let back = harness.member("w2").expect("it is back").entry;
    assert_eq!((back.state, back.started), (ServerState::Ready, None), "it is the same process");
    harness.advance(SECOND);
    harness.nairobi("revision=4", &NAIROBI[..3]);
    harness.advance(11 * SECOND);
    assert_eq!(harness.state("w2"), None, "it is removed after its drain");
    harness.nairobi("revision=5", &NAIROBI);
    let again = harness.member("w2").expect("it is back").entry;
    assert_eq!(again.started, Some(harness.now), "after its drain it is a new, cold process");
}

#[test]
fn id_at_another_address_is_a_new_process() {
    let mut harness = Harness::in_service();
    let moved = [NAIROBI[0], NAIROBI[1], NAIROBI[2], "w2 44 writer-b 0 1"];
    harness.nairobi("revision=2", &moved);
    let member = harness.member("w2").expect("a member");
    assert_eq!((&*member.address, member.entry.started), ("10.0.0.1:44", Some(harness.now)));
    assert_eq!(harness.member("w1").expect("a member").entry.started, None);
}

#[test]
fn weight_increase_is_stepped_and_decrease_applies_at_once() {
    let mut harness = Harness::in_service();
    harness.nairobi("revision=2", &["r1 1 reader 0 4", "r2 2 reader 0 0.2", NAIROBI[2], NAIROBI[3]]);
    let mut weights = vec![harness.weight("r1")];
    assert_eq!(harness.weight("r2"), 0.2);
    for _ in 0..5 {
        harness.advance(SECOND);
        weights.push(harness.weight("r1"));
    }
    assert_eq!(weights, [1.5, 2.25, 3.375, 4.0, 4.0, 4.0]);
    // A lower weight while the weight still grows applies at once and ends the steps.
    harness.nairobi("revision=3", &["r1 1 reader 0 8", NAIROBI[1], NAIROBI[2], NAIROBI[3]]);
    harness.advance(SECOND / 2);
    harness.nairobi("revision=4", &["r1 1 reader 0 4.5", NAIROBI[1], NAIROBI[2], NAIROBI[3]]);
    assert_eq!(harness.weight("r1"), 4.5);
    harness.advance(5 * SECOND);
    assert_eq!(harness.weight("r1"), 4.5);
}

#[test]
fn rapid_changes_of_a_file_are_coalesced_to_the_newest() {
    let mut harness = Harness::in_service();
    for revision in 2..=101 {
        let weight = format!("w2 4 writer-b 0 0.{revision}");
        harness.nairobi(&format!("revision={revision}"), &[NAIROBI[0], NAIROBI[1], NAIROBI[2], &weight]);
        harness.advance(SECOND / 100);
    }
    harness.advance(SECOND);
    assert!((5..=8).contains(&harness.published_count), "{} in a second", harness.published_count);
    let in_service = &harness.membership.accepted()["nairobi"];
    assert_eq!(in_service.revision.value, 101, "the newest revision is in service");
}

#[test]
fn unsealed_file_waits_for_the_quiet_period_and_lost_seal_is_refused() {
    let mut harness = Harness::new();
    let sealed = text("nairobi", "revision=1", &NAIROBI);
    let unsealed = seal::unsealed(&sealed).expect("a seal").to_string();
    let mombasa = text("mombasa", "revision=1", &MOMBASA);
    harness.scan_both(&unsealed, &mombasa);
    assert!(harness.state("r1").is_none() && harness.state("r3").is_some());
    harness.advance(SECOND);
    let changed = unsealed.replace("weight=1", "weight=2");
    harness.scan_both(&changed, &mombasa);
    harness.advance(3 * SECOND / 2);
    assert_eq!(harness.state("r1"), None, "a change restarts the quiet period");
    harness.advance(SECOND);
    assert_eq!(harness.weight("r1"), 2.0);
    harness.scan_both(&text("nairobi", "revision=2", &NAIROBI), &mombasa);
    harness.advance(SECOND);
    assert_eq!(harness.weight("r1"), 1.0);
    harness.scan_both(&unsealed.replace("revision=1", "revision=3"), &mombasa);
    harness.advance(10 * SECOND);
    assert_eq!(harness.only_reason(), Reason::SealLost);
    assert_eq!(harness.membership.accepted()["nairobi"].revision.value, 2);
}

/// Guards against accepting a truncated file: text that ends between two nodes is still valid KDL.
#[test]
fn file_truncated_at_any_byte_is_not_accepted() {
    let complete = text("nairobi", "revision=2", &["r1 1 reader 0 2", NAIROBI[1], NAIROBI[2], NAIROBI[3]]);
    let mombasa = text("mombasa", "revision=1", &MOMBASA);
    for length in 0..complete.len() {
        let mut harness = Harness::in_service();
        harness.scan_both(&complete[..length], &mombasa);
        harness.advance(30 * SECOND);
        // A file that only lacks its last line break is complete.
        let expected = if length == complete.len() - 1 { 2 } else { 1 };
        let revision = harness.membership.accepted()["nairobi"].revision.value;
        assert_eq!(revision, expected, "truncated at {length}: {:?}", harness.membership.refused());
        assert_eq!(harness.membership.refused().len(), usize::from(expected == 1), "truncated at {length}");
    }
}

#[test]
fn missing_file_keeps_its_servers_in_service() {
    let mut harness = Harness::in_service();
    let mombasa = text("mombasa", "revision=1", &MOMBASA);
    harness.process(Input::Scan(Scan { files: vec![file("mombasa.kdl", &mombasa)], manifest: None }));
    assert_eq!(harness.only_reason(), Reason::FileMissing("nairobi".into()));
    harness.process(Input::Scan(Scan::default()));
    harness.advance(60 * SECOND);
    assert_eq!((harness.published_count, harness.state("r1")), (1, Some(ServerState::Ready)));
    harness.nairobi("revision=1", &NAIROBI);
    assert_eq!((harness.membership.refused().len(), harness.published_count), (0, 1));
}

#[test]
fn files_of_a_manifest_change_together() {
    let scan = |in_manifest: [&str; 2], present: [&str; 2]| {
        let names = ["nairobi.kdl", "mombasa.kdl"];
        let listed = [0, 1].map(|n| (Arc::from(names[n]), seal::digest(in_manifest[n].as_bytes())));
        let manifest = servers::parse_manifest(&Source::new("manifest.kdl", servers::manifest(&listed)));
        let files = [0, 1].map(|n| file(names[n], present[n])).to_vec();
        Input::Scan(Scan { files, manifest: Some(manifest) })
    };
    let old = [text("nairobi", "revision=1", &NAIROBI), text("mombasa", "revision=1", &MOMBASA)];
    let new = [text("nairobi", "revision=2", &NAIROBI[..3]), text("mombasa", "revision=2", &MOMBASA[..3])];
    let (old, new) = (old.each_ref().map(String::as_str), new.each_ref().map(String::as_str));
    let mut harness = Harness::new();
    harness.process(scan(old, old));
    assert_eq!(harness.published_count, 1);
    harness.advance(SECOND);
    for present in [[new[0], old[1]], [old[0], new[1]], [new[0], "servers"], [new[0], new[1]]] {
        let before = harness.published_count;
        harness.process(scan(new, present));
        let complete = present == new;
        assert_eq!(
            harness.published_count - before,
            usize::from(complete),
            "{:?}",
            harness.membership.refused()
        );
        assert_eq!(harness.membership.refused().is_empty(), complete);
    }
    harness.advance(SECOND);
    // Once there has been a manifest, its absence does not make the files independent again.
    harness.scan_both(&text("nairobi", "revision=3", &NAIROBI), new[1]);
    assert_eq!((harness.only_reason(), harness.published_count), (Reason::ManifestMissing, 2));
}

#[test]
fn stricter_state_of_file_and_discovery_applies_and_files_name_the_members() {
    let mut harness = Harness::in_service();
    let listed = |id: &str, state| ListedServer {
        entry: ServerEntry {
            id: milletseam::protocol::platform::server_number(id),
            state,
            started: Some(7),
            weight: 9.0,
            ..ServerEntry::plain()
        },
        name: id.into(),
        address: "10.9.9.9:1".into(),
    };
    let listed_servers = vec![
        listed("r1", ServerState::Ready),
        listed("r2", ServerState::Draining),
        listed("w1", ServerState::Gone),
        listed("undeclared", ServerState::Ready),
    ];
    harness.process(Input::Discovery(ListScope::Full, listed_servers));
    let r1 = harness.member("r1").expect("a member");
    assert_eq!((r1.entry.started, r1.entry.weight, &*r1.address), (Some(7), 1.0, "10.0.0.1:1"));
    assert_eq!(harness.state("r2"), Some(ServerState::Draining));
    assert_eq!((harness.state("w1"), harness.state("undeclared")), (None, None));
    assert_eq!(
        harness.state("w2"),
        Some(ServerState::Ready),
        "a server that discovery does not list has the state in its file"
    );
    harness.process(Input::Discovery(ListScope::Full, Vec::new()));
    assert_eq!(harness.state("w1"), Some(ServerState::Ready));
}

#[test]
fn start_with_invalid_files_uses_the_saved_set() {
    let saved_files = [("nairobi", &NAIROBI), ("mombasa", &MOMBASA)];
    let saved_files = saved_files.map(|(zone, servers)| {
        file(&format!("{zone}.kdl"), &text(zone, "revision=7", servers)).expect("a file")
    });
    let mut harness = Harness::new();
    harness.process(Input::Saved(41, saved_files.to_vec()));
    assert_eq!(harness.latest.as_ref().map(|g| g.number), Some(42));
    assert_eq!(harness.member("r1").expect("a member").entry.started, None, "no server counts as cold");
    harness.scan_both("serv", "");
    assert_eq!((harness.published_count, harness.membership.refused().len()), (1, 2));
    harness
        .scan_both(&text("nairobi", "revision=6", &NAIROBI), &text("mombasa", "revision=8", &MOMBASA[..3]));
    assert_eq!(
        (harness.published_count, harness.only_reason()),
        (2, Reason::OlderRevision { revision: 6, in_service: 7 })
    );
}

/// One step of a random run of the membership.
#[derive(Clone, Debug)]
enum MembershipStep {
    Write {
        zone: bool,
        revision: u64,
        rollback: Option<u64>,
        meant: bool,
        sealed: bool,
        servers: Vec<(u8, u8, u8)>,
    },
    Truncate {
        zone: bool,
        part: f64,
    },
    Remove(bool),
    Discovery {
        complete: bool,
        servers: Vec<(u8, u8)>,
    },
    Advance(Micros),
}

// ---- trials of sets before they are accepted

fn harness_with_trials(on_timeout: TimeoutAction) -> Harness {
    let mut harness = Harness::with_rules(SetRules {
        trial: Some(TrialRules { time_limit: 3 * SECOND, on_timeout }),
        ..RULES
    });
    harness.nairobi("revision=1", &NAIROBI);
    assert_eq!((harness.published_count, harness.trial), (0, Some((1, 1))), "the first set is tried too");
    harness.finish_trial(&[]);
    assert_eq!((harness.published_count, harness.revision()), (1, 1));
    harness.advance(SECOND);
    harness
}

impl Harness {
    /// Ends the running trial with these refusals.
    fn finish_trial(&mut self, refusals: &[Refusal]) {
        let (number, _) = self.trial.take().expect("a trial");
        self.process(Input::TrialEnded(number, refusals.to_vec()));
    }

    /// The revision of nairobi's file in service.
    fn revision(&self) -> u64 {
        self.latest.as_ref().map_or(0, |latest| latest.files["nairobi"].revision.value)
    }
}

fn failed_expectation() -> Refusal {
    let reason =
        Reason::ExpectationNotMet { name: "x".into(), verdict: "fails", why: "it went to r9".into() };
    Refusal::new(reason, Location::whole_file("expectations.kdl"))
}

/// Guards against a set that breaks an expectation going into service or being tried again and again.
#[test]
fn set_that_fails_its_trial_is_refused_once_and_a_corrected_one_is_accepted() {
    let mut harness = harness_with_trials(TimeoutAction::Refuse);
    harness.nairobi("revision=2", &NAIROBI);
    assert_eq!(harness.trial, Some((2, 2)));
    harness.finish_trial(&[failed_expectation()]);
    assert_eq!((harness.revision(), harness.only_reason()), (1, *failed_expectation().reason));
    harness.nairobi("revision=2", &NAIROBI);
    assert_eq!(harness.trial, None, "its content is the same");
    assert_eq!(harness.only_reason(), *failed_expectation().reason);
    harness.nairobi("revision=3", &NAIROBI);
    assert_eq!(harness.trial, Some((3, 3)));
    harness.finish_trial(&[]);
    assert_eq!((harness.revision(), harness.refused.len()), (3, 0));
}

/// Guards against newer sets being lost while a long trial runs, and against an older set being published
/// after a newer one.
#[test]
fn only_the_newest_set_that_arrives_during_a_trial_is_tried_after_it() {
    let mut harness = harness_with_trials(TimeoutAction::Refuse);
    harness.nairobi("revision=2", &NAIROBI);
    harness.nairobi("revision=3", &NAIROBI);
    harness.nairobi("revision=4", &NAIROBI);
    assert_eq!(harness.trial, Some((2, 2)));
    harness.finish_trial(&[]);
    assert_eq!(harness.revision(), 2);
    harness.advance(SECOND);
    assert_eq!(harness.trial, Some((3, 4)));
    harness.finish_trial(&[failed_expectation()]);
    assert_eq!((harness.revision(), harness.trial), (2, None));
}

/// Guards against a hanging trial blocking all later changes, and against its late result still taking
/// effect.
#[test]
fn trial_that_times_out_has_the_configured_outcome() {
    for on_timeout in [TimeoutAction::Accept, TimeoutAction::Refuse] {
        let mut harness = harness_with_trials(on_timeout);
        harness.nairobi("revision=2", &NAIROBI);
        let (number, _) = harness.trial.expect("a trial");
        harness.advance(3 * SECOND - 1);
        assert_eq!((harness.revision(), harness.trial.is_some()), (1, true));
        harness.advance(1);
        assert_eq!(harness.trial, None, "it is stopped");
        let (revision, warning_count) = if on_timeout == TimeoutAction::Accept { (2, 1) } else { (1, 0) };
        assert_eq!((harness.revision(), harness.warning_count), (revision, warning_count));
        if on_timeout == TimeoutAction::Refuse {
            assert_eq!(
                harness.only_reason(),
                Reason::TrialTimedOut { time_limit: 3 * SECOND, accepted: false }
            );
        }
        harness.process(Input::TrialEnded(number, Vec::new()));
        assert_eq!(harness.revision(), revision);
    }
}

/// One step of a random run with trials.
#[derive(Clone, Debug)]
enum TrialStep {
    Set(u64),
    End(bool),
    Advance(Micros),
}

proptest! {
    /// Invariants:
    /// - tried: each published set has passed its trial, or the trial timed out and such sets are accepted;
    /// - single: at most one trial runs at a time (checked by the harness);
    /// - final: content that has failed its trial is never published;
    /// - live: in the end the newest set is in service unless it has failed its trial.
    #[test]
    fn random_sequence_of_sets_and_trials_keeps_the_invariants(
        on_timeout in prop_oneof![Just(TimeoutAction::Accept), Just(TimeoutAction::Refuse)],
        steps in prop::collection::vec(
            prop_oneof![
                (2u64..40).prop_map(TrialStep::Set),
                any::<bool>().prop_map(TrialStep::End),
                (1u64..4 * SECOND).prop_map(TrialStep::Advance),
            ],
            1..60,
        ),
    ) {
        let mut harness = harness_with_trials(on_timeout);
        let (mut failed, mut passed) = (BTreeSet::new(), BTreeSet::from([1]));
        let mut newest = 1;
        for step in steps {
            match step {
                TrialStep::Set(revision) if revision > newest => {
                    newest = revision;
                    harness.nairobi(&format!("revision={revision}"), &NAIROBI);
                }
                TrialStep::End(passes) if harness.trial.is_some() => {
                    let (_, revision) = harness.trial.expect("a trial");
                    if passes { passed.insert(revision) } else { failed.insert(revision) };
                    harness.finish_trial(&(if passes { Vec::new() } else { vec![failed_expectation()] }));
                }
                TrialStep::Advance(span) => harness.advance(span),
                _ => {}
            }
            let outcomes = if on_timeout == TimeoutAction::Accept { &mut passed } else { &mut failed };
            outcomes.extend(harness.timed_out_revisions.drain(..));
            let revision = harness.revision();
            prop_assert!(passed.contains(&revision), "tried: {} in {:?}", revision, passed);
            prop_assert!(!failed.contains(&revision), "final: {} in {:?}", revision, failed);
        }
        for _ in 0..4 {
            if harness.trial.is_some() {
                harness.finish_trial(&[]);
            }
            harness.advance(SECOND);
        }
        prop_assert!(harness.revision() == newest || failed.contains(&newest), "live: {}", harness.revision());
    }
}

fn membership_steps() -> impl Strategy<Value = Vec<MembershipStep>> {
    let server = (0u8..6, 0u8..3, prop_oneof![Just(0u8), Just(1), Just(4), Just(10)]);
    let write = (
        any::<bool>(),
        0u64..30,
        proptest::option::weighted(0.2, 0u64..30),
        proptest::bool::weighted(0.5),
        proptest::bool::weighted(0.8),
        proptest::collection::vec(server, 0..7),
    );
    let write = write.prop_map(|(zone, revision, rollback, meant, sealed, servers)| MembershipStep::Write {
        zone,
        revision,
        rollback,
        meant,
        sealed,
        servers,
    });
    let step = prop_oneof![
        6 => write,
        1 => (any::<bool>(), 0.0..1.0f64).prop_map(|(zone, part)| MembershipStep::Truncate { zone, part }),
        1 => any::<bool>().prop_map(MembershipStep::Remove),
        2 => (any::<bool>(), proptest::collection::vec((0u8..12, 0u8..3), 0..5))
            .prop_map(|(complete, servers)| MembershipStep::Discovery { complete, servers }),
        4 => (0..3 * SECOND).prop_map(MembershipStep::Advance),
    ];
    proptest::collection::vec(step, 1..40)
}

fn generated_text(
    zone: bool,
    revision: u64,
    rollback: Option<u64>,
    meant: bool,
    sealed: bool,
    servers: &[(u8, u8, u8)],
) -> String {
    let (name, cell, base) = if zone { ("nairobi", 0, 0) } else { ("mombasa", 1, 6) };
    let rollback = rollback.map_or(String::new(), |of| format!(" rollback-of={of}"));
    let mut body = format!("servers zone=\"{name}\" revision={revision}{rollback}\n");
    if meant {
        body += &format!("meant revision={revision} reason=\"drawn\"\n");
    }
    for (n, kind, weight) in servers {
        let (id, kind) = (base + n, ["reader", "writer-a", "writer-b"][usize::from(*kind)]);
        body += &format!(
            "server \"s{id}\" address=\"10.0.0.{id}:{kind_port}\" kind=\"{kind}\" cell={cell} weight={weight}\n",
            kind_port = 1 + n % 2
        );
    }
    if sealed { seal::sealed(&body, servers.len()) } else { body }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Invariants after any sequence of files, truncated files, discovery updates and time:
    /// - complete: each member in service is declared by a file in service, with its address, kind and cell,
    ///   and each server of these files is a member unless discovery says that it is gone;
    /// - consistent: the files in service never contradict each other;
    /// - drained: a server that was in service drains before it is removed, unless discovery says that it is
    ///   gone;
    /// - limited: no weight grows by more than one step, and none exceeds the weight that its file declares;
    /// - ordered: generation numbers grow, and a revision falls only by a roll-back of the one in service.
    #[test]
    fn random_sequence_of_files_discovery_and_time_keeps_the_invariants(steps in membership_steps()) {
        let mut harness = Harness::new();
        let mut texts: BTreeMap<bool, String> = BTreeMap::new();
        let mut gone: BTreeSet<ServerId> = BTreeSet::new();
        for step in steps {
            let before = harness.latest.clone();
            let revisions: BTreeMap<String, u64> =
                harness.membership.accepted().iter().map(|(zone, f)| (zone.clone(), f.revision.value)).collect();
            match step {
                MembershipStep::Write { zone, revision, rollback, meant, sealed, servers } => {
                    texts.insert(zone, generated_text(zone, revision, rollback, meant, sealed, &servers));
                }
                MembershipStep::Truncate { zone, part } => {
                    if let Some(text) = texts.get_mut(&zone) {
                        text.truncate((text.len() as f64 * part) as usize);
                    }
                }
                MembershipStep::Remove(zone) => drop(texts.remove(&zone)),
                MembershipStep::Discovery { complete, servers } => {
                    let states = [ServerState::Ready, ServerState::Draining, ServerState::Gone];
                    let listed: Vec<ListedServer> = servers.iter().map(|(n, state)| {
                        let name = format!("s{n}");
                        let id = milletseam::protocol::platform::server_number(&name);
                        let entry = ServerEntry { id, state: states[usize::from(*state)], ..ServerEntry::plain() };
                        ListedServer { entry, name: name.into(), address: "10.9.9.9:1".into() }
                    }).collect();
                    if complete {
                        gone.clear();
                    }
                    for listed_server in &listed {
                        match listed_server.entry.state {
                            ServerState::Gone => gone.insert(listed_server.entry.id),
                            _ => gone.remove(&listed_server.entry.id),
                        };
                    }
                    let scope = if complete { ListScope::Full } else { ListScope::Changes };
                    harness.process(Input::Discovery(scope, listed));
                }
                MembershipStep::Advance(span) => harness.advance(span),
            }
            let name = |zone: bool| if zone { "nairobi.kdl" } else { "mombasa.kdl" };
            let files = texts.iter().map(|(zone, text)| file(name(*zone), text)).collect();
            harness.process(Input::Scan(Scan { files, manifest: None }));

            let Some(latest) = harness.latest.clone() else { continue };
            let accepted = harness.membership.accepted();
            prop_assert!(check::contradictions(&catalog(), accepted).is_empty(), "consistent");
            let declared: BTreeMap<ServerId, &DeclaredServer> =
                accepted.values().flat_map(|f| &f.servers).map(|s| (s.number, s)).collect();
            for member in &latest.members {
                let entry = member.entry;
                match declared.get(&entry.id) {
                    Some(server) => {
                        prop_assert_eq!(&*member.address, server.address.value.as_str(), "complete");
                        prop_assert!(entry.weight <= server.weight.value, "limited");
                    }
                    None => prop_assert_eq!(entry.state, ServerState::Draining, "complete"),
                }
            }
            for id in declared.keys().filter(|id| !gone.contains(id)) {
                prop_assert!(latest.members.iter().any(|m| m.entry.id == *id), "complete: {id:?} is missing");
            }
            if let Some(before) = before.filter(|before| before.number < latest.number) {
                for old in before.members.iter().filter(|m| m.entry.state == ServerState::Ready) {
                    let new = latest.members.iter().find(|m| m.entry.id == old.entry.id);
                    // A step of time may be long enough for a whole drain.
                    let drained = declared.contains_key(&old.entry.id) || latest.cause == Cause::Time;
                    prop_assert!(new.is_some() || gone.contains(&old.entry.id) || drained, "drained");
                    if let Some(new) = new.filter(|new| new.entry.started == old.entry.started && latest.cause == Cause::Files) {
                        let max_weight = (old.entry.weight * RULES.weight_steps.factor).max(10.0 * RULES.weight_steps.initial_fraction);
                        prop_assert!(new.entry.weight <= max_weight.max(old.entry.weight), "limited");
                    }
                }
            }
            for (zone, in_service) in harness.membership.accepted() {
                let old_revision = revisions.get(zone).copied().unwrap_or(0);
                let rolled_back = in_service.rollback_of.as_ref().is_some_and(|of| of.value == old_revision);
                prop_assert!(in_service.revision.value >= old_revision || rolled_back, "ordered");
            }
        }
    }
}
