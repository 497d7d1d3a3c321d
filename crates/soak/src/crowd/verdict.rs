//! What clients and servers saw, and the rules that it is judged by.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// A client is left waiting if its stream goes on for longer than this after the last event.
const MAX_WAIT_AFTER_EVENT: Duration = Duration::from_secs(5);
/// A final answer may come this long after the request's time.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// What a request gets that is complete later than this after SIGTERM must not be cut by SIGKILL.
const EXCUSED_AFTER_SIGTERM: Duration = Duration::from_millis(700);
/// The part of this machine's own delays that is nobody's fault: the plays run beside each other.
const OBSERVATION_SLACK: Duration = Duration::from_millis(250);

/// A rule of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The process passed its memory limit.
    Memory,
    /// The process ended by itself.
    Crash,
    /// Memory was not given back, or usual requests were not served, once the crowd had left.
    Recovery,
    /// A request got no final answer in time.
    Lost,
    /// A client was left waiting after the last event of its stream.
    Left,
    /// A stream was cut off while its server wrote events.
    Cut,
    /// What must not run twice ran twice in one life of the process.
    Duplicate,
}

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Break {
    /// The rule.
    pub rule: Rule,
    /// What was seen.
    pub seen: String,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// The connection ended without an answer.
    Unanswered,
    /// An answer that is no stream.
    Answered(u16),
    /// A stream that ended with its last chunk.
    Whole,
    /// A stream that ended without it.
    Broken,
    /// The client has left.
    Left,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) id: String,
    /// When it was complete.
    pub(super) sent: Instant,
    pub(super) time_left: Duration,
    /// When the status line of its answer had arrived.
    pub(super) answered: Option<Instant>,
    pub(super) ended: Instant,
    pub(super) end: End,
    /// When bytes of the answer arrived last before its end.
    pub(super) last_bytes: Option<Instant>,
    /// The client itself took its answer slowly.
    pub(super) is_taken_slowly: bool,
}

/// What a writer did with a request.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) id: String,
    pub(super) began: Instant,
    /// When it had written its last event; `None` if it wrote none.
    pub(super) last_event: Option<Instant>,
    /// It wrote a sound stream to its end, or was about to when its caller left.
    pub(super) is_sound: bool,
}

impl Run {
    /// Describes the run, with its times from this one on.
    fn described(&self, from: Instant) -> String {
        let began = self.began.saturating_duration_since(from);
        let last_event = self.last_event.map(|event| event.saturating_duration_since(from));
        format!("{began:?} (sound: {}, last event {last_event:?})", self.is_sound)
    }
}

/// A life of the process.
#[derive(Clone, Debug)]
pub(super) struct Life {
    /// When it was ready: before that no client reaches it.
    pub(super) began: Instant,
    pub(super) terminated: Option<Instant>,
    pub(super) killed: Option<Instant>,
    /// It ended before it was told to.
    pub(super) ended_by_itself: bool,
    pub(super) peak: u64,
}

/// What has happened after the crowd.
#[derive(Clone, Debug, Default)]
pub(super) struct Settled {
    /// The resident set at rest and at the end, in bytes.
    pub(super) at_rest: u64,
    pub(super) after: u64,
    /// A usual request was served.
    pub(super) is_served: bool,
}

#[derive(Default)]
struct Entries {
    requests: Vec<Request>,
    runs: Vec<Run>,
}

/// The record of a play.
#[derive(Clone, Default)]
pub(super) struct Log(Arc<Mutex<Entries>>);

impl Log {
    fn with<T>(&self, act: impl FnOnce(&mut Entries) -> T) -> T {
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(super) fn add_request(&self, request: Request) {
        self.with(|entries| entries.requests.push(request));
    }

    pub(super) fn add_run(&self, run: Run) {
        self.with(|entries| entries.runs.push(run));
    }
}

impl Life {
    /// Returns true if a request that this life took may end without an answer, as SIGKILL came.
    fn excuses(&self, request: &Request) -> bool {
        let Some(killed) = self.killed else { return false };
        let was_cut = request.ended + OBSERVATION_SLACK >= killed;
        let is_late =
            self.terminated.is_some_and(|terminated| request.sent > terminated + EXCUSED_AFTER_SIGTERM);
        was_cut && !is_late
    }
}

/// Memory that may stay in use after the crowd, in bytes.
const KEPT_AFTER_LOAD: u64 = 8 << 20;

/// Judges a play. Returns the broken rules, and how many requests were sent and served.
pub(super) fn judge(
    log: &Log,
    lives: &[Life],
    memory_limit: u64,
    settled: Settled,
) -> (Vec<Break>, usize, usize) {
    let mut breaks = Vec::new();
    let mut add = |rule, seen: String| breaks.push(Break { rule, seen });
    for (number, life) in lives.iter().enumerate() {
        if life.peak > memory_limit {
            add(Rule::Memory, format!("life {number}: {} of {memory_limit} bytes", life.peak));
        }
        if life.ended_by_itself {
            add(Rule::Crash, format!("life {number} ended by itself"));
        }
    }
    if settled.after > settled.at_rest + KEPT_AFTER_LOAD {
        add(Rule::Recovery, format!("{} bytes are kept, {} at rest", settled.after, settled.at_rest));
    }
    if !settled.is_served {
        add(Rule::Recovery, "a usual request is not served after the crowd".to_string());
    }
    let (sent, served) = log.with(|entries| {
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in &entries.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        for request in &entries.requests {
            let runs = runs.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
            judge_request(request, runs, lives, &mut add);
        }
        for (id, runs) in runs.iter().filter(|(id, _)| id.starts_with("book")) {
            for life in lives {
                let is_in_life = |run: &&&Run| {
                    run.began >= life.began && life.killed.is_none_or(|killed| run.began <= killed)
                };
                let in_life: Vec<_> = runs.iter().filter(is_in_life).collect();
                if in_life.len() > 1 {
                    let described: Vec<String> =
                        in_life.iter().map(|run| run.described(life.began)).collect();
                    add(Rule::Duplicate, format!("{id} ran at {}", described.join(", ")));
                }
            }
        }
        let served = entries.requests.iter().filter(|request| request.end == End::Whole).count();
        (entries.requests.len(), served)
    });
    (breaks, sent, served)
}

fn judge_request(request: &Request, runs: &[&Run], lives: &[Life], add: &mut impl FnMut(Rule, String)) {
    let is_excused = lives.iter().any(|life| request.sent >= life.began && life.excuses(request));
    let took = request.ended.saturating_duration_since(request.sent);
    let described = || format!("{} ended as {:?} after {took:?}", request.id, request.end);
    match request.end {
        End::Left => {}
        End::Unanswered if !is_excused => add(Rule::Lost, described()),
        End::Unanswered => {}
        End::Answered(_) | End::Whole | End::Broken => {
            let answer_due = request.sent + request.time_left + ANSWER_GRACE + OBSERVATION_SLACK;
            if request.answered.is_some_and(|answered| answered > answer_due) && !is_excused {
                add(Rule::Lost, format!("{}, answered late", described()));
            }
        }
    }
    let Some(run) = runs.last() else { return };
    if !matches!(request.end, End::Whole | End::Broken) || is_excused || request.is_taken_slowly {
        return;
    }
    // Of a sound stream all bytes are events: what its server has written long before may still be on its way.
    let last_bytes = request.last_bytes.filter(|_| run.is_sound);
    let waiting_since = run.last_event.into_iter().chain(last_bytes).max();
    let waited = waiting_since.map(|since| request.ended.saturating_duration_since(since));
    if let Some(waited) = waited.filter(|waited| *waited > MAX_WAIT_AFTER_EVENT + OBSERVATION_SLACK) {
        let runs: Vec<String> = runs.iter().map(|run| run.described(request.sent)).collect();
        add(Rule::Left, format!("{}, {waited:?} after the last event; {}", described(), runs.join(", ")));
    }
    if request.end == End::Broken && run.is_sound {
        add(Rule::Cut, format!("{}, though its server wrote a sound stream", described()));
    }
}
