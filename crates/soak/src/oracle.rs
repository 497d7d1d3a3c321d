//! The rules, judged from the record alone: one checker each. The program's own word counts for nothing here.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::str::FromStr;

use crate::cell::CellError;
use crate::record::{Call, Line, Micros, Step};

/// What the stand-ins' settings say, and what the protocol page adds to it.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// For so long a state may be held with no attempt out.
    pub held: Micros,
    /// A final answer may come so long after the client's deadline.
    pub answer: Micros,
    /// An attempt may tell so much more time than its client has left.
    pub told: Micros,
    /// An attempt may begin so long after its client has left.
    pub gone: Micros,
    /// An attempt may begin so long after its server was told as draining.
    pub drain: Micros,
    /// The end of an attempt or of a process is seen so much later at most.
    pub close: Micros,
    /// What comes so long after the program was told to end must have been answered before it is killed.
    pub ending: Micros,
    /// Within this of the first attempt that may have run repeats are discarded.
    pub window: Micros,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            held: 600_000,
            answer: 500_000,
            told: 150_000,
            gone: 100_000,
            drain: 550_000,
            close: 20_000,
            ending: 700_000,
            window: 1_050_000,
        }
    }
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A state is taken by a server that runs, or released, in time.
    Held,
    /// Each request has one final answer in time.
    Lost,
    /// Nothing runs again beyond what its class allows, and no two attempts are out.
    Duplicate,
    /// No attempt tells more time than its client has left.
    Deadline,
    /// Nothing begins for a client that has left.
    Gone,
    /// Nothing begins at a server that drains.
    Drain,
    /// The program runs until it is ended.
    Crash,
}

impl Rule {
    /// All rules.
    pub const ALL: [Rule; 7] =
        [Rule::Held, Rule::Lost, Rule::Duplicate, Rule::Deadline, Rule::Gone, Rule::Drain, Rule::Crash];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Held => "held",
            Rule::Lost => "lost",
            Rule::Duplicate => "duplicate",
            Rule::Deadline => "deadline",
            Rule::Gone => "gone",
            Rule::Drain => "drain",
            Rule::Crash => "crash",
        }
    }
}

impl FromStr for Rule {
    type Err = CellError;

    fn from_str(text: &str) -> Result<Rule, CellError> {
        Rule::ALL.into_iter().find(|rule| rule.name() == text).ok_or_else(|| CellError::Unknown {
            what: "rule",
            text: text.to_string(),
            known: Rule::ALL.map(Rule::name).join(", "),
        })
    }
}

/// A break of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    /// Which rule.
    pub rule: Rule,
    /// The request.
    pub id: String,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {} {}", self.rule.name(), self.id, self.seen)
    }
}

fn seconds(time: Micros) -> String {
    format!("{:.3} s", time as f64 / 1e6)
}

/// Judges a record that ends at this time.
pub fn judge(lines: &[Line], end: Micros, bounds: &Bounds) -> Vec<Break> {
    let mut of: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
    for line in lines.iter().filter(|line| !line.id.is_empty()) {
        of.entry(&line.id).or_default().push(line);
    }
    let ends = |line: &&Line| matches!(line.step, Step::Died | Step::Terminated | Step::Exited);
    let ends: Vec<&Line> = lines.iter().filter(ends).collect();
    let mut breaks = Vec::new();
    for (id, mut own) in of {
        // The end of a server or of the program ends what it held.
        own.extend(&ends);
        own.sort_by_key(|line| line.at);
        let found = [
            held(&own, end, bounds),
            lost(&own, bounds),
            duplicate(&own, bounds),
            deadline(&own, bounds),
            gone(&own, bounds),
        ];
        let found = found.into_iter().flatten();
        breaks.extend(found.map(|(rule, seen)| Break { rule, id: id.to_string(), seen }));
    }
    breaks.extend(drain(lines, bounds));
    breaks.extend(crash(lines));
    breaks
}

fn crash(lines: &[Line]) -> Option<Break> {
    let exited = lines.iter().find(|line| line.step == Step::Exited)?;
    let told = lines.iter().any(|line| line.step == Step::Terminated && line.at <= exited.at);
    let seen = "ended by itself".to_string();
    (!told).then(|| Break { rule: Rule::Crash, id: PROGRAM.to_string(), seen })
}

type Found = Vec<(Rule, String)>;

/// The name under which the record has the program.
pub const PROGRAM: &str = "program";

fn held(own: &[&Line], end: Micros, bounds: &Bounds) -> Found {
    let (mut holders, mut out) = (BTreeSet::new(), BTreeSet::new());
    let (mut waits_since, mut begun, mut found) = (None::<Micros>, false, Vec::new());
    let mut check = |since: Micros, until: Micros| {
        if until - since > bounds.held {
            let wait = seconds(until - since);
            found.push((
                Rule::Held,
                format!("waited {wait}, neither taken nor released, at most {}", seconds(bounds.held)),
            ));
        }
    };
    for line in own {
        begun |= matches!(line.step, Step::Begun { .. });
        match &line.step {
            Step::Taken { call: Call::Read | Call::Fetch } => {
                out.insert(&line.who);
            }
            Step::Held => {
                out.remove(&line.who);
                holders.insert(&line.who);
                // What was held before goes by the same name.
                if let Some(since) = waits_since.take() {
                    check(since, line.at);
                }
            }
            Step::GivenUp | Step::CutOff | Step::Dropped | Step::NoState | Step::Refused { .. } => {
                out.remove(&line.who);
            }
            Step::FirstEvent | Step::Served | Step::Released => {
                holders.clear();
                if line.step == Step::Served {
                    out.remove(&line.who);
                }
            }
            // Nobody is left who could let go of it, and of what a server ends later for the process that was killed.
            Step::Died if line.who == PROGRAM && begun => return found,
            Step::Died => {
                holders.remove(&line.who);
                out.remove(&line.who);
            }
            _ => {}
        }
        let waits = !holders.is_empty() && out.is_empty();
        match waits_since {
            Some(since) if !waits => {
                check(since, line.at);
                waits_since = None;
            }
            None if waits => waits_since = Some(line.at),
            _ => {}
        }
    }
    if let Some(since) = waits_since {
        check(since, end);
    }
    found
}

fn sent(own: &[&Line]) -> Option<(Micros, String, Micros)> {
    own.iter().find_map(|line| match &line.step {
        Step::Sent { class, wait, .. } => Some((line.at, class.clone(), *wait)),
        _ => None,
    })
}

fn lost(own: &[&Line], bounds: &Bounds) -> Found {
    let Some((at, _, wait)) = sent(own) else { return Vec::new() };
    let left = own.iter().any(|line| line.step == Step::Left);
    let told = own.iter().find(|line| line.step == Step::Terminated).map(|line| line.at);
    let owed = told.is_some_and(|told| at > told + bounds.ending);
    let connected = own.iter().find_map(|line| match line.step {
        Step::Sent { connected, .. } => Some(connected),
        _ => None,
    });
    let died = own.iter().any(|line| {
        line.step == Step::Died && line.who == PROGRAM && Some(line.at + bounds.close) >= connected
    });
    if left || died && !owed {
        return Vec::new();
    }
    let answered = own.iter().find(|line| matches!(line.step, Step::Answered { .. }));
    match answered {
        None => vec![(Rule::Lost, "has no final answer".to_string())],
        Some(line) if line.at > at + wait + bounds.answer => {
            vec![(Rule::Lost, format!("was answered {} after its deadline", seconds(line.at - at - wait)))]
        }
        Some(_) => Vec::new(),
    }
}

fn ends_attempt(step: &Step) -> bool {
    matches!(step, Step::GivenUp | Step::CutOff | Step::Dropped)
}

fn duplicate(own: &[&Line], bounds: &Bounds) -> Found {
    let class = sent(own).map(|(_, class, _)| class).unwrap_or_default();
    let mut found = Vec::new();
    // When each attempt at a writer that may have run began, by server; and who has an attempt out.
    let mut ran: Vec<(Micros, &str)> = Vec::new();
    let mut out: HashMap<&str, Micros> = HashMap::new();
    for line in own {
        match &line.step {
            Step::Taken { call: call @ (Call::Read | Call::Fetch) } => {
                let ends = |who: &str| {
                    own.iter().any(|end| {
                        end.who == who
                            && ends_attempt(&end.step)
                            && end.at >= line.at
                            && end.at <= line.at + bounds.close
                    })
                };
                if let Some((other, _)) = out.iter().find(|(who, _)| **who != line.who && !ends(who)) {
                    found.push((Rule::Duplicate, format!("was taken by {} while out at {other}", line.who)));
                }
                out.insert(&line.who, line.at);
                if *call == Call::Fetch {
                    let first = ran.first().map(|(at, _)| *at);
                    match (class.as_str(), first) {
                        ("book", Some(_)) => {
                            found.push((Rule::Duplicate, format!("ran again at {}", line.who)));
                        }
                        ("note", Some(first)) if line.at > first + bounds.window => {
                            let late = seconds(line.at - first);
                            found.push((Rule::Duplicate, format!("ran again at {} after {late}", line.who)));
                        }
                        _ => {}
                    }
                    ran.push((line.at, &line.who));
                }
            }
            Step::NoState | Step::Refused { never_ran: true } => {
                ran.retain(|(_, who)| *who != line.who);
                out.remove(line.who.as_str());
            }
            Step::Held
            | Step::Served
            | Step::GivenUp
            | Step::CutOff
            | Step::Dropped
            | Step::Refused { .. }
            | Step::Died => {
                out.remove(line.who.as_str());
            }
            _ => {}
        }
    }
    found
}

fn deadline(own: &[&Line], bounds: &Bounds) -> Found {
    let Some((at, _, wait)) = sent(own) else { return Vec::new() };
    let told = own.iter().filter_map(|line| match line.step {
        Step::Arrived { call: Call::Read | Call::Fetch, wait: Some(told) } => Some((line, told)),
        _ => None,
    });
    told.filter(|(line, told)| line.at + told > at + wait + bounds.told)
        .map(|(line, told)| {
            let over = seconds(line.at + told - at - wait);
            (Rule::Deadline, format!("told {} {} more than its client has left", line.who, over))
        })
        .collect()
}

fn gone(own: &[&Line], bounds: &Bounds) -> Found {
    let Some(left) = own.iter().find(|line| line.step == Step::Left) else { return Vec::new() };
    own.iter()
        .filter(|line| matches!(line.step, Step::Begun { call: Call::Read | Call::Fetch }))
        .filter(|line| line.at > left.at + bounds.gone)
        .map(|line| {
            let late = seconds(line.at - left.at);
            (Rule::Gone, format!("began at {} {late} after its client had left", line.who))
        })
        .collect()
}

fn drain(lines: &[Line], bounds: &Bounds) -> Vec<Break> {
    let told = |revision: u64| {
        let first =
            lines.iter().find(|line| matches!(line.step, Step::Told { revision: r } if r >= revision));
        first.map(|line| line.at)
    };
    let drains: HashMap<&str, Micros> = lines
        .iter()
        .filter_map(|line| match line.step {
            Step::Drains { revision } => Some((line.who.as_str(), told(revision)?)),
            _ => None,
        })
        .collect();
    lines
        .iter()
        .filter(|line| matches!(line.step, Step::Begun { call: Call::Read | Call::Fetch }))
        .filter_map(|line| {
            let late = line.at.checked_sub(*drains.get(line.who.as_str())? + bounds.drain)?;
            let seen =
                format!("began at {} {} too late after it was told as draining", line.who, seconds(late));
            Some(Break { rule: Rule::Drain, id: line.id.clone(), seen })
        })
        .collect()
}
