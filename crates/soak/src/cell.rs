//! What a cell of the matrix is: a fault, the step of a request at which it begins, whom it befalls, and the class of
//! the request. `FAULT@STEP/TARGET/CLASS` names a cell; a rule before it, as in `held/hang@...`, judges by that one alone.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::oracle::Rule;

/// Declares an enumeration whose values have names on the command line.
macro_rules! named {
    ($(#[$doc:meta])* $name:ident, $what:literal: $($(#[$value_doc:meta])* $value:ident = $text:literal),+ $(,)?) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum $name { $($(#[$value_doc])* $value),+ }

        impl $name {
            /// All of them.
            pub const ALL: &[$name] = &[$($name::$value),+];

            /// Its name.
            pub fn name(self) -> &'static str {
                match self { $($name::$value => $text),+ }
            }
        }

        impl FromStr for $name {
            type Err = CellError;

            fn from_str(text: &str) -> Result<Self, CellError> {
                $name::ALL.iter().copied().find(|one| one.name() == text).ok_or_else(|| CellError::Unknown {
                    what: $what,
                    text: text.to_string(),
                    known: $name::ALL.iter().map(|one| one.name()).collect::<Vec<_>>().join(", "),
                })
            }
        }
    };
}

named! {
    /// Where in the life of a request the fault begins.
    Step, "step":
    /// Before the request is sent.
    Before = "before",
    /// The program connects to a reader.
    ReadHandshake = "read-handshake",
    /// Half of the head of a read is out.
    ReadHalfHead = "read-half-head",
    /// A read is written, and its last byte has not come to its server.
    ReadWritten = "read-written",
    /// A reader has taken the call.
    ReadTaken = "read-taken",
    /// A read has ended, and its answer is on its way.
    ReadEnded = "read-ended",
    /// The program connects to a writer.
    FetchHandshake = "fetch-handshake",
    /// Half of the head of a fetch is out.
    FetchHalfHead = "fetch-half-head",
    /// A fetch is written, and its last byte has not come to its server.
    FetchWritten = "fetch-written",
    /// A writer has taken the call.
    FetchTaken = "fetch-taken",
    /// The first event has come.
    FirstEvent = "first-event",
    /// A second event has come.
    MidStream = "mid-stream",
    /// All but the last chunk has come.
    LastChunk = "last-chunk",
    /// A call that lets go of what is held is written.
    ReleaseWritten = "release-written",
    /// The client has left while a writer works.
    ClientGone = "client-gone",
    /// Half of the servers are told as draining.
    ListTold = "list-told",
    /// The program has been told to end.
    Sigterm = "sigterm",
}

named! {
    /// What goes wrong.
    Fault, "fault":
    /// The process is stopped, and stays so.
    Hang = "hang",
    /// The process is stopped for 0.2 s.
    HangShort = "hang-200ms",
    /// The process is stopped for 1 s.
    HangLong = "hang-1s",
    /// The process is stopped for 5 s.
    HangLongest = "hang-5s",
    /// The machine says nothing any more, and no new connection comes up.
    Vanish = "vanish",
    /// The connections that are open say nothing any more.
    OpenSilent = "open-silent",
    /// The process is killed.
    Kill = "kill",
    /// The process is killed, and is back soon and cold.
    Restart = "restart",
    /// The process is killed, and another is there in its place.
    Replace = "replace",
    /// The connection is reset.
    Reset = "reset",
    /// The connection is closed.
    Close = "close",
    /// The server ends its sending, and says nothing.
    HalfClose = "half-close",
    /// One byte of the answer comes every 50 ms.
    Slow = "slow",
    /// 400 in place of the answer.
    Status400 = "400",
    /// 404.
    Status404 = "404",
    /// 409.
    Status409 = "409",
    /// 410 with the proof that nothing ran.
    Status410 = "410-unprocessed",
    /// 429.
    Status429 = "429",
    /// 500.
    Status500 = "500",
    /// 503.
    Status503 = "503",
    /// 503 with the proof that nothing ran.
    Status503Unprocessed = "503-unprocessed",
    /// 504 with the proof that nothing ran.
    Status504Unprocessed = "504-unprocessed",
    /// The answer breaks off amid its head.
    Torn = "torn",
    /// The answer can't be read.
    Garbled = "garbled",
    /// The head of the answer never ends.
    Endless = "endless",
    /// The program is killed and started again.
    KillProgram = "kill-program",
    /// The program is stopped for 0.15 s.
    StopProgram = "stop-program",
    /// The program is told to end, and killed at the earliest time.
    EndProgram = "end-program",
}

named! {
    /// Whom it befalls.
    Target, "target":
    /// The reader of the request.
    Reader = "reader",
    /// The writer of the request, or one that it may come to.
    Writer = "writer",
    /// One reader and one writer.
    Both = "both",
    /// All readers.
    AllReaders = "all-readers",
    /// All writers.
    AllWriters = "all-writers",
    /// Four in five readers.
    MostReaders = "most-readers",
    /// Four in five writers.
    MostWriters = "most-writers",
    /// Discovery.
    Discovery = "discovery",
    /// The program.
    Program = "program",
}

named! {
    /// What may be done with a request of a class.
    Class, "class":
    /// It may run twice.
    Ask = "ask",
    /// It may run again within a window.
    Note = "note",
    /// It may not run twice.
    Book = "book",
}

/// Why a name names no cell.
#[derive(Debug, Error, PartialEq)]
pub enum CellError {
    /// A part is not known.
    #[error("unknown {what} \"{text}\"; there are: {known}")]
    Unknown {
        /// Which part.
        what: &'static str,
        /// What stands there.
        text: String,
        /// What could.
        known: String,
    },
    /// The form is another.
    #[error(
        "\"{0}\" is no cell: FAULT@STEP/TARGET/CLASS, as in hang@fetch-written/writer/ask, with RULE/ before it if one rule alone counts"
    )]
    Form(String),
    /// The parts don't go together.
    #[error("{0} cannot exist: {1}")]
    Impossible(String, &'static str),
}

/// One cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Cell {
    /// What goes wrong.
    pub fault: Fault,
    /// When.
    pub step: Step,
    /// Whom it befalls.
    pub target: Target,
    /// The class of the requests.
    pub class: Class,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Cell { fault, step, target, class } = self;
        write!(f, "{}@{}/{}/{}", fault.name(), step.name(), target.name(), class.name())
    }
}

/// A cell, and the rule by which alone it is judged, if there is one.
pub type Named = (Option<Rule>, Cell);

/// Reads the name of a cell.
pub fn parse(text: &str) -> Result<Named, CellError> {
    let form = || CellError::Form(text.to_string());
    let (before, after) = text.split_once('@').ok_or_else(form)?;
    let (rule, fault) = match before.split_once('/') {
        Some((rule, fault)) => (Some(rule.parse()?), fault),
        None => (None, before),
    };
    let parts: Vec<&str> = after.split('/').collect();
    let [step, target, class] = parts[..] else { return Err(form()) };
    let cell =
        Cell { fault: fault.parse()?, step: step.parse()?, target: target.parse()?, class: class.parse()? };
    match cell.impossible() {
        Some(why) => Err(CellError::Impossible(cell.to_string(), why)),
        None => Ok((rule, cell)),
    }
}

/// What a fault acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acts {
    /// Processes or machines.
    OnServers,
    /// The connection of a call.
    OnConnection,
    /// The answer to a call.
    OnAnswer,
    /// The program.
    OnProgram,
}

impl Fault {
    /// What it acts on.
    pub fn acts(self) -> Acts {
        use Fault::*;
        match self {
            Hang | HangShort | HangLong | HangLongest | Vanish | OpenSilent | Kill | Restart | Replace => {
                Acts::OnServers
            }
            Reset | Close | HalfClose | Slow => Acts::OnConnection,
            KillProgram | StopProgram | EndProgram => Acts::OnProgram,
            _ => Acts::OnAnswer,
        }
    }
}

impl Step {
    /// The role whose call it is a step of: whether that role reads.
    fn reads(self) -> Option<bool> {
        use Step::*;
        match self {
            ReadHandshake | ReadHalfHead | ReadWritten | ReadTaken | ReadEnded => Some(true),
            FetchHandshake | FetchHalfHead | FetchWritten | FetchTaken | FirstEvent | MidStream
            | LastChunk => Some(false),
            Before | ReleaseWritten | ClientGone | ListTold | Sigterm => None,
        }
    }
}

impl Cell {
    /// All cells that exist.
    pub fn all() -> Vec<Cell> {
        let mut all = Vec::new();
        for &step in Step::ALL {
            for &fault in Fault::ALL {
                for &target in Target::ALL {
                    all.extend(Class::ALL.iter().map(|&class| Cell { fault, step, target, class }));
                }
            }
        }
        all.retain(|cell| cell.impossible().is_none());
        all
    }

    /// A fixed choice of at least so many cells: of each fault, at steps spread over all that it has, with changing targets
    /// and classes.
    pub fn choice(least: usize) -> Vec<Cell> {
        let all = Cell::all();
        let mut pairs: Vec<(Fault, Step)> = all.iter().map(|cell| (cell.fault, cell.step)).collect();
        pairs.sort();
        pairs.dedup();
        let mut chosen = Vec::new();
        for &fault in Fault::ALL {
            let steps: Vec<Step> = pairs.iter().filter(|pair| pair.0 == fault).map(|pair| pair.1).collect();
            let count = (steps.len() * least).div_ceil(pairs.len().max(1)).min(steps.len());
            for n in 0..count {
                let step = steps[(n * steps.len() / count + fault as usize) % steps.len()];
                let of: Vec<&Cell> =
                    all.iter().filter(|cell| (cell.fault, cell.step) == (fault, step)).collect();
                chosen.push(*of[(chosen.len() * 7 + n) % of.len()]);
            }
        }
        chosen
    }

    /// Why it cannot exist, if it cannot.
    pub fn impossible(&self) -> Option<&'static str> {
        let Cell { fault, step, target, .. } = *self;
        let own = match step.reads() {
            Some(true) => Some(Target::Reader),
            Some(false) => Some(Target::Writer),
            None => None,
        };
        match fault.acts() {
            Acts::OnProgram if target != Target::Program => Some("this fault befalls the program alone"),
            Acts::OnProgram if fault == Fault::EndProgram && step == Step::Sigterm => {
                Some("the program has been told to end already")
            }
            Acts::OnProgram => None,
            _ if target == Target::Program => Some("this fault befalls servers or discovery"),
            Acts::OnServers if target == Target::Discovery => match (step, fault) {
                (_, Fault::Restart | Fault::Replace | Fault::Vanish | Fault::OpenSilent) => {
                    Some("discovery's address does not change, and no network lies before it")
                }
                (Step::Before | Step::ListTold | Step::Sigterm, _) => None,
                _ => Some("discovery takes no part in this step"),
            },
            Acts::OnServers if step == Step::ListTold && matches!(fault, Fault::Restart | Fault::Replace) => {
                Some("the list is being told already")
            }
            Acts::OnServers => None,
            Acts::OnConnection | Acts::OnAnswer if own != Some(target) => {
                Some("this fault befalls the call that the step is one of")
            }
            Acts::OnConnection
                if matches!(step, Step::ReadHandshake | Step::FetchHandshake) && fault == Fault::Slow =>
            {
                Some("there is no answer yet")
            }
            Acts::OnConnection => None,
            Acts::OnAnswer if !matches!(step, Step::ReadWritten | Step::FetchWritten) => {
                Some("an answer is put in place of the server's own as the call comes to it whole")
            }
            Acts::OnAnswer => None,
        }
    }
}
