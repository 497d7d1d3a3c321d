//! Who is a member: each decision by itself, and what holds after any sequence of sets and news.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use milletseam::documents::{Source, seal, servers};
use milletseam::interface::*;
use milletseam::membership::lives::WeightSteps;
use milletseam::membership::*;
use proptest::prelude::*;

const S: Micros = 1_000_000;
const RULES: SetRules = SetRules {
    quiet_period: 2 * S,
    min_change_interval: S / 5,
    drain_period: 10 * S,
    max_weight_loss: 0.5,
    weight_steps: WeightSteps { factor: 1.5, interval: S, initial_fraction: 0.25 },
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

/// A sealed file of a data centre; each line is a server's id, address, kind, cell and weight.
fn text(zone: &str, head: &str, lines: &[&str]) -> String {
    let mut body = format!("servers zone=\"{zone}\" {head}\n");
    for line in lines {
        let [id, address, kind, cell, weight] = line.split(' ').collect::<Vec<_>>()[..] else {
            panic!("{line}")
        };
        body += &format!(
            "server \"{id}\" address=\"10.0.0.1:{address}\" kind=\"{kind}\" cell={cell} weight={weight}\n"
        );
    }
    seal::sealed(&body, lines.len())
}

fn file(name: &str, text: &str) -> Result<Arc<SetFile>, Refusal> {
    servers::parse(&Source::new(name, text)).map(Arc::new)
}

const NAIROBI: [&str; 4] = ["r1 1 reader 0 1", "r2 2 reader 0 1", "w1 3 writer-a 0 1", "w2 4 writer-b 0 1"];
const MOMBASA: [&str; 4] = ["r3 5 reader 1 1", "r4 6 reader 1 1", "w3 7 writer-a 1 1", "w4 8 writer-b 1 1"];

/// Tells whether a reason is the one that is due.
type Expected = fn(&Reason) -> bool;

/// A membership under a clock.
struct Stand {
    membership: Membership,
    now: Micros,
    latest: Option<Arc<Generation>>,
    published: usize,
    refused: Vec<Refusal>,
    saved: usize,
    /// The trial that is asked for: its number, and nairobi's revision in it.
    trial: Option<(u64, u64)>,
    warned: usize,
    /// Nairobi's revisions whose trials were stopped.
    overdue: Vec<u64>,
}

impl Stand {
    fn new() -> Self {
        Stand::by(RULES)
    }

    fn by(rules: SetRules) -> Self {
        let membership = Membership::new(catalog(), rules, true);
        let (latest, refused, trial) = (None, Vec::new(), None);
        Stand {
            membership,
            now: 100 * S,
            latest,
            published: 0,
            refused,
            saved: 0,
            trial,
            warned: 0,
            overdue: Vec::new(),
        }
    }

    /// In service with both data centres at revision 1.
    fn serving() -> Self {
        let mut stand = Stand::new();
        stand.both(&text("nairobi", "revision=1", &NAIROBI), &text("mombasa", "revision=1", &MOMBASA));
        assert_eq!((stand.published, stand.refused.len()), (1, 0), "{:?}", stand.refused);
        stand.pass(S);
        stand
    }

    fn feed(&mut self, input: Input) {
        let mut out = Vec::new();
        self.membership.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Publish(generation) => {
                    let before = self.latest.as_ref().map_or(0, |latest| latest.number);
                    assert!(generation.number > before, "numbers grow");
                    self.published += 1;
                    self.latest = Some(generation);
                }
                Output::Save(_) => self.saved += 1,
                Output::Refuse(refusal) => self.refused.push(refusal),
                Output::RefusalsCleared => self.refused.clear(),
                Output::StartTrial(number, files) => {
                    assert_eq!(self.trial, None, "one trial at a time");
                    self.trial = Some((number, files["nairobi"].revision.value));
                }
                Output::StopTrial(number) => {
                    let (running, revision) = self.trial.take().expect("a trial");
                    assert_eq!(running, number);
                    self.overdue.push(revision);
                }
                Output::Warn(_) => self.warned += 1,
            }
        }
    }

    fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(at) = self.membership.next_due().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.feed(Input::Tick);
        }
        self.now = until;
    }

    fn both(&mut self, nairobi: &str, mombasa: &str) {
        let files = vec![file("nairobi.kdl", nairobi), file("mombasa.kdl", mombasa)];
        self.feed(Input::Scan(Scan { files, manifest: None }));
    }

    /// Another file for nairobi beside the first one of mombasa.
    fn nairobi(&mut self, head: &str, lines: &[&str]) {
        self.both(&text("nairobi", head, lines), &text("mombasa", "revision=1", &MOMBASA));
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

    /// The one thing that is refused now.
    fn reason(&self) -> Reason {
        match self.membership.refused() {
            [one] => (*one.reason).clone(),
            all => panic!("not one refusal: {all:?}"),
        }
    }
}

#[test]
fn contradictions_refuse_a_set_whole_and_name_the_place() {
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
        let mut stand = Stand::serving();
        stand.nairobi("revision=2", &with(line));
        let refusals = stand.membership.refused();
        let found = refusals.iter().find(|refusal| expected(&refusal.reason));
        let found = found.unwrap_or_else(|| panic!("{line}: {refusals:?}"));
        assert!(found.location.line >= 4 && found.location.column > 1, "{line}: {}", found.location);
        assert_eq!((stand.published, stand.member("r9")), (1, None), "{line}: nothing of it is taken");
    }
}

#[test]
fn an_unknown_zone_and_a_second_file_for_one_are_refused() {
    let mut stand = Stand::serving();
    stand.both(&text("nairoby", "revision=1", &NAIROBI), &text("mombasa", "revision=1", &MOMBASA));
    let refused = stand.membership.refused();
    let near =
        |r: &Refusal| matches!(&*r.reason, Reason::UnknownName { nearest: Some(n), .. } if n == "nairobi");
    assert!(refused.iter().any(near), "{refused:?}");
    let second = text("nairobi", "revision=2", &NAIROBI[..3]);
    let files = vec![
        file("a.kdl", &text("nairobi", "revision=2", &NAIROBI)),
        file("b.kdl", &second),
        file("mombasa.kdl", &text("mombasa", "revision=1", &MOMBASA)),
    ];
    stand.feed(Input::Scan(Scan { files, manifest: None }));
    assert!(matches!(stand.reason(), Reason::DuplicateZone(zone) if zone == "nairobi"));
    assert_eq!(stand.published, 1);
}

#[test]
fn an_older_revision_comes_back_only_as_a_roll_back_of_the_one_in_service() {
    let mut stand = Stand::serving();
    let three = &NAIROBI[..3];
    stand.nairobi("revision=5", three);
    assert_eq!(stand.published, 2);
    stand.pass(S);
    stand.nairobi("revision=5", &NAIROBI);
    assert_eq!(stand.reason(), Reason::SameRevision(5));
    stand.nairobi("revision=4", &NAIROBI);
    assert_eq!(stand.reason(), Reason::OlderRevision { revision: 4, in_service: 5 });
    stand.nairobi("revision=4 rollback-of=3", &NAIROBI);
    assert_eq!(stand.reason(), Reason::RollbackMismatch { named: 3, in_service: 5 });
    assert_eq!(stand.published, 2);
    stand.nairobi("revision=4 rollback-of=5", &NAIROBI);
    assert_eq!((stand.published, stand.state("w2")), (3, Some(ServerState::Ready)));
}

/// Failure: a slip of the pen empties a data centre.
#[test]
fn what_leaves_too_little_behind_is_held_back_until_it_is_meant() {
    let zero: Vec<String> = NAIROBI.iter().map(|l| format!("{}0", &l[..l.len() - 1])).collect();
    let zero: Vec<&str> = zero.iter().map(String::as_str).collect();
    type Case<'a> = (&'a [&'a str], Expected);
    let cases: [Case; 3] = [
        (
            &NAIROBI[2..],
            |r| matches!(r, Reason::ZoneWithoutRole { zone, role: Role::Reader } if zone == "nairobi"),
        ),
        (&NAIROBI[..2], |r| matches!(r, Reason::ZoneWithoutRole { role: Role::Writer, .. })),
        (&zero, |r| matches!(r, Reason::ZoneWithoutRole { role: Role::Reader, .. })),
    ];
    for (lines, expected) in cases {
        let mut stand = Stand::serving();
        stand.nairobi("revision=2", lines);
        let refused = stand.membership.refused().to_vec();
        assert!(refused.iter().any(|r| expected(&r.reason)), "{refused:?}");
        assert!(refused.iter().all(|r| r.reason.can_be_confirmed() && r.location.line == 1), "{refused:?}");
        assert_eq!(stand.published, 1);
        let meant = |revision: u64| {
            let body = text("nairobi", "revision=2", lines);
            let body = seal::unsealed(&body).expect("a seal");
            seal::sealed(&format!("{body}meant revision={revision} reason=\"repair\"\n"), lines.len())
        };
        let mombasa = text("mombasa", "revision=1", &MOMBASA);
        stand.both(&meant(1), &mombasa);
        assert_eq!(
            stand.reason(),
            Reason::ConfirmationMismatch { named: 1, revision: 2 },
            "an old word does not count"
        );
        stand.both(&meant(2), &mombasa);
        assert_eq!((stand.published, stand.membership.refused().len()), (2, 0));
    }
}

#[test]
fn more_than_the_configured_part_of_a_role_does_not_leave_at_once() {
    let mut stand = Stand::serving();
    let less = ["r1 1 reader 0 0.1", "w1 3 writer-a 0 1", "w2 4 writer-b 0 1"];
    let mombasa = ["r3 5 reader 1 0.5", "r4 6 reader 1 0.3", "w3 7 writer-a 1 1", "w4 8 writer-b 1 1"];
    stand.both(&text("nairobi", "revision=2", &less), &text("mombasa", "revision=2", &mombasa));
    let share = |r: &Refusal| matches!(*r.reason, Reason::ExcessiveWeightLoss { role: Role::Reader, share, .. } if (share - 0.775).abs() < 1e-9);
    assert!(stand.membership.refused().iter().any(share), "{:?}", stand.membership.refused());
    assert_eq!(stand.published, 1);
    // The same in two steps of less is believed.
    stand.nairobi("revision=2", &less);
    stand.pass(S);
    assert_eq!((stand.published, stand.weight("r1")), (2, 0.1));
}

#[test]
fn who_leaves_drains_first_and_who_returns_in_time_is_the_same_server() {
    let mut stand = Stand::serving();
    stand.nairobi("revision=2", &NAIROBI[..3]);
    assert_eq!(stand.state("w2"), Some(ServerState::Draining));
    stand.pass(9 * S);
    assert_eq!(stand.state("w2"), Some(ServerState::Draining));
    stand.nairobi("revision=3", &NAIROBI);
    let back = stand.member("w2").expect("it is back").entry;
    assert_eq!((back.state, back.started), (ServerState::Ready, None), "the same process");
    stand.pass(S);
    stand.nairobi("revision=4", &NAIROBI[..3]);
    stand.pass(11 * S);
    assert_eq!(stand.state("w2"), None, "gone after its drain");
    stand.nairobi("revision=5", &NAIROBI);
    let again = stand.member("w2").expect("it is back").entry;
    assert_eq!(again.started, Some(stand.now), "after its drain it is a new process, cold");
}

#[test]
fn an_id_at_another_address_is_a_new_process() {
    let mut stand = Stand::serving();
    let moved = [NAIROBI[0], NAIROBI[1], NAIROBI[2], "w2 44 writer-b 0 1"];
    stand.nairobi("revision=2", &moved);
    let member = stand.member("w2").expect("a member");
    assert_eq!((&*member.address, member.entry.started), ("10.0.0.1:44", Some(stand.now)));
    assert_eq!(stand.member("w1").expect("a member").entry.started, None);
}

#[test]
fn a_greater_weight_is_stepped_and_a_smaller_one_holds_at_once() {
    let mut stand = Stand::serving();
    stand.nairobi("revision=2", &["r1 1 reader 0 4", "r2 2 reader 0 0.2", NAIROBI[2], NAIROBI[3]]);
    let mut seen = vec![stand.weight("r1")];
    assert_eq!(stand.weight("r2"), 0.2);
    for _ in 0..5 {
        stand.pass(S);
        seen.push(stand.weight("r1"));
    }
    assert_eq!(seen, [1.5, 2.25, 3.375, 4.0, 4.0, 4.0]);
    // Less again, in the midst of growing: that holds at once, and the steps end.
    stand.nairobi("revision=3", &["r1 1 reader 0 8", NAIROBI[1], NAIROBI[2], NAIROBI[3]]);
    stand.pass(S / 2);
    stand.nairobi("revision=4", &["r1 1 reader 0 4.5", NAIROBI[1], NAIROBI[2], NAIROBI[3]]);
    assert_eq!(stand.weight("r1"), 4.5);
    stand.pass(5 * S);
    assert_eq!(stand.weight("r1"), 4.5);
}

#[test]
fn a_file_that_flaps_is_coalesced_to_the_newest() {
    let mut stand = Stand::serving();
    for revision in 2..=101 {
        let weight = format!("w2 4 writer-b 0 0.{revision}");
        stand.nairobi(&format!("revision={revision}"), &[NAIROBI[0], NAIROBI[1], NAIROBI[2], &weight]);
        stand.pass(S / 100);
    }
    stand.pass(S);
    assert!((5..=8).contains(&stand.published), "{} in a second", stand.published);
    let held = &stand.membership.accepted()["nairobi"];
    assert_eq!(held.revision.value, 101, "the newest counts");
}

#[test]
fn a_file_without_a_seal_rests_and_one_that_lost_its_seal_is_refused() {
    let mut stand = Stand::new();
    let sealed = text("nairobi", "revision=1", &NAIROBI);
    let bare = seal::unsealed(&sealed).expect("a seal").to_string();
    let mombasa = text("mombasa", "revision=1", &MOMBASA);
    stand.both(&bare, &mombasa);
    assert!(stand.state("r1").is_none() && stand.state("r3").is_some());
    stand.pass(S);
    let other = bare.replace("weight=1", "weight=2");
    stand.both(&other, &mombasa);
    stand.pass(3 * S / 2);
    assert_eq!(stand.state("r1"), None, "it rests anew when it has changed");
    stand.pass(S);
    assert_eq!(stand.weight("r1"), 2.0);
    stand.both(&text("nairobi", "revision=2", &NAIROBI), &mombasa);
    stand.pass(S);
    assert_eq!(stand.weight("r1"), 1.0);
    stand.both(&bare.replace("revision=1", "revision=3"), &mombasa);
    stand.pass(10 * S);
    assert_eq!(stand.reason(), Reason::SealLost);
    assert_eq!(stand.membership.accepted()["nairobi"].revision.value, 2);
}

/// Failure: a text that is cut off between two nodes still reads well.
#[test]
fn a_file_cut_at_any_byte_is_not_taken() {
    let whole = text("nairobi", "revision=2", &["r1 1 reader 0 2", NAIROBI[1], NAIROBI[2], NAIROBI[3]]);
    let mombasa = text("mombasa", "revision=1", &MOMBASA);
    for cut in 0..whole.len() {
        let mut stand = Stand::serving();
        stand.both(&whole[..cut], &mombasa);
        stand.pass(30 * S);
        // Without its last line break it is whole.
        let taken = if cut == whole.len() - 1 { 2 } else { 1 };
        let revision = stand.membership.accepted()["nairobi"].revision.value;
        assert_eq!(revision, taken, "cut at {cut}: {:?}", stand.membership.refused());
        assert_eq!(stand.membership.refused().len(), usize::from(taken == 1), "cut at {cut}");
    }
}

#[test]
fn a_file_that_has_gone_is_no_instruction() {
    let mut stand = Stand::serving();
    let mombasa = text("mombasa", "revision=1", &MOMBASA);
    stand.feed(Input::Scan(Scan { files: vec![file("mombasa.kdl", &mombasa)], manifest: None }));
    assert_eq!(stand.reason(), Reason::FileMissing("nairobi".into()));
    stand.feed(Input::Scan(Scan::default()));
    stand.pass(60 * S);
    assert_eq!((stand.published, stand.state("r1")), (1, Some(ServerState::Ready)));
    stand.nairobi("revision=1", &NAIROBI);
    assert_eq!((stand.membership.refused().len(), stand.published), (0, 1));
}

#[test]
fn a_manifest_makes_files_change_as_one() {
    let scan = |wanted: [&str; 2], there: [&str; 2]| {
        let names = ["nairobi.kdl", "mombasa.kdl"];
        let listed = [0, 1].map(|n| (Arc::from(names[n]), seal::digest(wanted[n].as_bytes())));
        let manifest = servers::parse_manifest(&Source::new("manifest.kdl", servers::manifest(&listed)));
        let files = [0, 1].map(|n| file(names[n], there[n])).to_vec();
        Input::Scan(Scan { files, manifest: Some(manifest) })
    };
    let old = [text("nairobi", "revision=1", &NAIROBI), text("mombasa", "revision=1", &MOMBASA)];
    let new = [text("nairobi", "revision=2", &NAIROBI[..3]), text("mombasa", "revision=2", &MOMBASA[..3])];
    let (old, new) = (old.each_ref().map(String::as_str), new.each_ref().map(String::as_str));
    let mut stand = Stand::new();
    stand.feed(scan(old, old));
    assert_eq!(stand.published, 1);
    stand.pass(S);
    for half in [[new[0], old[1]], [old[0], new[1]], [new[0], "servers"], [new[0], new[1]]] {
        let before = stand.published;
        stand.feed(scan(new, half));
        let whole = half == new;
        assert_eq!(stand.published - before, usize::from(whole), "{:?}", stand.membership.refused());
        assert_eq!(stand.membership.refused().is_empty(), whole);
    }
    stand.pass(S);
    // Without the manifest the files are not one by one's again.
    stand.both(&text("nairobi", "revision=3", &NAIROBI), new[1]);
    assert_eq!((stand.reason(), stand.published), (Reason::ManifestMissing, 2));
}

#[test]
fn of_file_and_discovery_the_stricter_state_holds_and_the_file_names_the_members() {
    let mut stand = Stand::serving();
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
    let news = vec![
        listed("r1", ServerState::Ready),
        listed("r2", ServerState::Draining),
        listed("w1", ServerState::Gone),
        listed("stranger", ServerState::Ready),
    ];
    stand.feed(Input::Discovery(ListScope::Full, news));
    let r1 = stand.member("r1").expect("a member");
    assert_eq!((r1.entry.started, r1.entry.weight, &*r1.address), (Some(7), 1.0, "10.0.0.1:1"));
    assert_eq!(stand.state("r2"), Some(ServerState::Draining));
    assert_eq!((stand.state("w1"), stand.state("stranger")), (None, None));
    assert_eq!(
        stand.state("w2"),
        Some(ServerState::Ready),
        "what discovery does not name is as the file says"
    );
    stand.feed(Input::Discovery(ListScope::Full, Vec::new()));
    assert_eq!(stand.state("w1"), Some(ServerState::Ready));
}

#[test]
fn a_start_with_bad_files_begins_from_the_set_that_was_kept() {
    let kept = [("nairobi", &NAIROBI), ("mombasa", &MOMBASA)];
    let kept = kept
        .map(|(zone, lines)| file(&format!("{zone}.kdl"), &text(zone, "revision=7", lines)).expect("a file"));
    let mut stand = Stand::new();
    stand.feed(Input::Saved(41, kept.to_vec()));
    assert_eq!(stand.latest.as_ref().map(|g| g.number), Some(42));
    assert_eq!(stand.member("r1").expect("a member").entry.started, None, "nobody is taken for cold");
    stand.both("serv", "");
    assert_eq!((stand.published, stand.membership.refused().len()), (1, 2));
    stand.both(&text("nairobi", "revision=6", &NAIROBI), &text("mombasa", "revision=8", &MOMBASA[..3]));
    assert_eq!((stand.published, stand.reason()), (2, Reason::OlderRevision { revision: 6, in_service: 7 }));
}

/// What may happen to a membership, at random.
#[derive(Clone, Debug)]
enum Step {
    Write {
        zone: bool,
        revision: u64,
        rollback: Option<u64>,
        meant: bool,
        sealed: bool,
        servers: Vec<(u8, u8, u8)>,
    },
    Tear {
        zone: bool,
        part: f64,
    },
    Remove(bool),
    Discover {
        complete: bool,
        servers: Vec<(u8, u8)>,
    },
    Pass(Micros),
}

// ---- trials of sets before they are taken

fn tried(on_timeout: TimeoutAction) -> Stand {
    let mut stand =
        Stand::by(SetRules { trial: Some(TrialRules { time_limit: 3 * S, on_timeout }), ..RULES });
    stand.nairobi("revision=1", &NAIROBI);
    assert_eq!((stand.published, stand.trial), (0, Some((1, 1))), "the first set too is tried");
    stand.found(&[]);
    assert_eq!((stand.published, stand.revision()), (1, 1));
    stand.pass(S);
    stand
}

impl Stand {
    /// The trial that was asked for ends.
    fn found(&mut self, against: &[Refusal]) {
        let (number, _) = self.trial.take().expect("a trial");
        self.feed(Input::TrialEnded(number, against.to_vec()));
    }

    /// Nairobi's revision in service.
    fn revision(&self) -> u64 {
        self.latest.as_ref().map_or(0, |latest| latest.files["nairobi"].revision.value)
    }
}

fn objection() -> Refusal {
    let reason =
        Reason::ExpectationNotMet { name: "x".into(), verdict: "fails", why: "it went to r9".into() };
    Refusal::new(reason, Location::whole_file("expectations.kdl"))
}

/// Failure: a set that breaks an expectation goes live, or is tried over and over.
#[test]
fn a_set_that_fails_its_trial_is_refused_once_and_a_corrected_one_is_taken() {
    let mut stand = tried(TimeoutAction::Refuse);
    stand.nairobi("revision=2", &NAIROBI);
    assert_eq!(stand.trial, Some((2, 2)));
    stand.found(&[objection()]);
    assert_eq!((stand.revision(), stand.reason()), (1, *objection().reason));
    stand.nairobi("revision=2", &NAIROBI);
    assert_eq!(stand.trial, None, "its content is the same");
    assert_eq!(stand.reason(), *objection().reason);
    stand.nairobi("revision=3", &NAIROBI);
    assert_eq!(stand.trial, Some((3, 3)));
    stand.found(&[]);
    assert_eq!((stand.revision(), stand.refused.len()), (3, 0));
}

/// Failure: while a long trial runs, newer sets are lost, or the older one is published after the newer.
#[test]
fn what_comes_during_a_trial_is_tried_after_it_and_only_the_newest() {
    let mut stand = tried(TimeoutAction::Refuse);
    stand.nairobi("revision=2", &NAIROBI);
    stand.nairobi("revision=3", &NAIROBI);
    stand.nairobi("revision=4", &NAIROBI);
    assert_eq!(stand.trial, Some((2, 2)));
    stand.found(&[]);
    assert_eq!(stand.revision(), 2);
    stand.pass(S);
    assert_eq!(stand.trial, Some((3, 4)));
    stand.found(&[objection()]);
    assert_eq!((stand.revision(), stand.trial), (2, None));
}

/// Failure: a trial that hangs holds up every later change for good, or its late word still counts.
#[test]
fn a_trial_that_does_not_end_has_the_outcome_that_was_set() {
    for on_timeout in [TimeoutAction::Accept, TimeoutAction::Refuse] {
        let mut stand = tried(on_timeout);
        stand.nairobi("revision=2", &NAIROBI);
        let (number, _) = stand.trial.expect("a trial");
        stand.pass(3 * S - 1);
        assert_eq!((stand.revision(), stand.trial.is_some()), (1, true));
        stand.pass(1);
        assert_eq!(stand.trial, None, "it is stopped");
        let (revision, warned) = if on_timeout == TimeoutAction::Accept { (2, 1) } else { (1, 0) };
        assert_eq!((stand.revision(), stand.warned), (revision, warned));
        if on_timeout == TimeoutAction::Refuse {
            assert_eq!(stand.reason(), Reason::TrialTimedOut { time_limit: 3 * S, accepted: false });
        }
        stand.feed(Input::TrialEnded(number, Vec::new()));
        assert_eq!(stand.revision(), revision);
    }
}

/// A step of a run with trials.
#[derive(Clone, Debug)]
enum Tried {
    Set(u64),
    Found(bool),
    Pass(Micros),
}

proptest! {
    /// Invariants: *tried* (what is published has held, or its time was up and it is taken all the same), *one* (at
    /// most one trial runs), *final* (a content that failed is never published) and *live* (in the end the newest
    /// set that was not refused is in service).
    #[test]
    fn any_sequence_of_sets_and_trials_keeps_them(
        on_timeout in prop_oneof![Just(TimeoutAction::Accept), Just(TimeoutAction::Refuse)],
        steps in prop::collection::vec(
            prop_oneof![
                (2u64..40).prop_map(Tried::Set),
                any::<bool>().prop_map(Tried::Found),
                (1u64..4 * S).prop_map(Tried::Pass),
            ],
            1..60,
        ),
    ) {
        let mut stand = tried(on_timeout);
        let (mut failed, mut held) = (BTreeSet::new(), BTreeSet::from([1]));
        let mut newest = 1;
        for step in steps {
            match step {
                Tried::Set(revision) if revision > newest => {
                    newest = revision;
                    stand.nairobi(&format!("revision={revision}"), &NAIROBI);
                }
                Tried::Found(good) if stand.trial.is_some() => {
                    let (_, revision) = stand.trial.expect("a trial");
                    if good { held.insert(revision) } else { failed.insert(revision) };
                    stand.found(&(if good { Vec::new() } else { vec![objection()] }));
                }
                Tried::Pass(span) => stand.pass(span),
                _ => {}
            }
            let known = if on_timeout == TimeoutAction::Accept { &mut held } else { &mut failed };
            known.extend(stand.overdue.drain(..));
            let revision = stand.revision();
            prop_assert!(held.contains(&revision), "tried: {} in {:?}", revision, held);
            prop_assert!(!failed.contains(&revision), "final: {} in {:?}", revision, failed);
        }
        for _ in 0..4 {
            if stand.trial.is_some() {
                stand.found(&[]);
            }
            stand.pass(S);
        }
        prop_assert!(stand.revision() == newest || failed.contains(&newest), "live: {}", stand.revision());
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let server = (0u8..6, 0u8..3, prop_oneof![Just(0u8), Just(1), Just(4), Just(10)]);
    let write = (
        any::<bool>(),
        0u64..30,
        proptest::option::weighted(0.2, 0u64..30),
        proptest::bool::weighted(0.5),
        proptest::bool::weighted(0.8),
        proptest::collection::vec(server, 0..7),
    );
    let write = write.prop_map(|(zone, revision, rollback, meant, sealed, servers)| Step::Write {
        zone,
        revision,
        rollback,
        meant,
        sealed,
        servers,
    });
    let step = prop_oneof![
        6 => write,
        1 => (any::<bool>(), 0.0..1.0f64).prop_map(|(zone, part)| Step::Tear { zone, part }),
        1 => any::<bool>().prop_map(Step::Remove),
        2 => (any::<bool>(), proptest::collection::vec((0u8..12, 0u8..3), 0..5))
            .prop_map(|(complete, servers)| Step::Discover { complete, servers }),
        4 => (0..3 * S).prop_map(Step::Pass),
    ];
    proptest::collection::vec(step, 1..40)
}

fn drawn(
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

    /// After any sequence of files, torn files, news and time:
    /// - whole: each member in service stands in a file in service, with its address, kind and cell, and each
    ///   server of these files is a member unless discovery says that it is gone;
    /// - sound: the files in service never contradict themselves;
    /// - drained: nobody vanishes who was in service, except by discovery's word; it drains first;
    /// - modest: no weight grows beyond its step, none is above what its file wants;
    /// - ordered: numbers grow, revisions fall only by a roll-back of the one in service.
    #[test]
    fn any_sequence_keeps_the_invariants(steps in steps()) {
        let mut stand = Stand::new();
        let mut texts: BTreeMap<bool, String> = BTreeMap::new();
        let mut gone: BTreeSet<ServerId> = BTreeSet::new();
        for step in steps {
            let before = stand.latest.clone();
            let revisions: BTreeMap<String, u64> =
                stand.membership.accepted().iter().map(|(zone, f)| (zone.clone(), f.revision.value)).collect();
            match step {
                Step::Write { zone, revision, rollback, meant, sealed, servers } => {
                    texts.insert(zone, drawn(zone, revision, rollback, meant, sealed, &servers));
                }
                Step::Tear { zone, part } => {
                    if let Some(text) = texts.get_mut(&zone) {
                        text.truncate((text.len() as f64 * part) as usize);
                    }
                }
                Step::Remove(zone) => drop(texts.remove(&zone)),
                Step::Discover { complete, servers } => {
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
                    for one in &listed {
                        match one.entry.state {
                            ServerState::Gone => gone.insert(one.entry.id),
                            _ => gone.remove(&one.entry.id),
                        };
                    }
                    let scope = if complete { ListScope::Full } else { ListScope::Changes };
                    stand.feed(Input::Discovery(scope, listed));
                }
                Step::Pass(span) => stand.pass(span),
            }
            let name = |zone: bool| if zone { "nairobi.kdl" } else { "mombasa.kdl" };
            let files = texts.iter().map(|(zone, text)| file(name(*zone), text)).collect();
            stand.feed(Input::Scan(Scan { files, manifest: None }));

            let Some(latest) = stand.latest.clone() else { continue };
            let accepted = stand.membership.accepted();
            prop_assert!(check::contradictions(&catalog(), accepted).is_empty(), "sound");
            let declared: BTreeMap<ServerId, &DeclaredServer> =
                accepted.values().flat_map(|f| &f.servers).map(|s| (s.number, s)).collect();
            for member in &latest.members {
                let entry = member.entry;
                match declared.get(&entry.id) {
                    Some(server) => {
                        prop_assert_eq!(&*member.address, server.address.value.as_str(), "whole");
                        prop_assert!(entry.weight <= server.weight.value, "modest");
                    }
                    None => prop_assert_eq!(entry.state, ServerState::Draining, "whole"),
                }
            }
            for id in declared.keys().filter(|id| !gone.contains(id)) {
                prop_assert!(latest.members.iter().any(|m| m.entry.id == *id), "whole: {id:?} is missing");
            }
            if let Some(before) = before.filter(|before| before.number < latest.number) {
                for was in before.members.iter().filter(|m| m.entry.state == ServerState::Ready) {
                    let is = latest.members.iter().find(|m| m.entry.id == was.entry.id);
                    // A pause long enough for a whole drain may lie between two looks.
                    let drained = declared.contains_key(&was.entry.id) || latest.cause == Cause::Time;
                    prop_assert!(is.is_some() || gone.contains(&was.entry.id) || drained, "drained");
                    if let Some(is) = is.filter(|is| is.entry.started == was.entry.started && latest.cause == Cause::Files) {
                        let most = (was.entry.weight * RULES.weight_steps.factor).max(10.0 * RULES.weight_steps.initial_fraction);
                        prop_assert!(is.entry.weight <= most.max(was.entry.weight), "modest");
                    }
                }
            }
            for (zone, held) in stand.membership.accepted() {
                let was = revisions.get(zone).copied().unwrap_or(0);
                let back = held.rollback_of.as_ref().is_some_and(|of| of.value == was);
                prop_assert!(held.revision.value >= was || back, "ordered");
            }
        }
    }
}
