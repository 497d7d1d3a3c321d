//! The record of one play: what clients, servers and the network between them saw, on one monotonic clock. The program
//! under test writes nothing into it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// Microseconds on the machine's monotonic clock, which all processes share.
pub type Micros = u64;

/// The time now.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::CLOCK_MONOTONIC).expect("Linux has a monotonic clock");
    time.tv_sec() as Micros * 1_000_000 + time.tv_nsec() as Micros / 1_000
}

/// A kind of call from the program to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// A prompt to a reader.
    Read,
    /// The same request to a writer.
    Fetch,
    /// The call that lets go of what is held.
    Release,
    /// A health check or a call for the load report.
    Probe,
}

/// What was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum Step {
    /// A stand-in listens.
    Listening {
        /// Where.
        address: String,
    },
    /// A client has sent its request whole.
    Sent {
        /// Of which class.
        class: String,
        /// How long it waits, in microseconds.
        wait: Micros,
        /// When its connection came up.
        connected: Micros,
    },
    /// A client has closed its connection before its answer came.
    Left,
    /// The head of a client's answer has come.
    Answered {
        /// Its status.
        status: u16,
    },
    /// A client's answer has ended.
    Ended {
        /// It came to its last byte.
        whole: bool,
    },
    /// The first byte of a call has come to a server's machine.
    Begun {
        /// Which call.
        call: Call,
    },
    /// The last byte of a call has come to a server's machine.
    Arrived {
        /// Which call.
        call: Call,
        /// How long its caller waits, as the call tells, in microseconds.
        wait: Option<Micros>,
    },
    /// The program has closed the connection of a call that was not answered whole.
    GivenUp,
    /// The network has ended a call: its server will not be heard.
    CutOff,
    /// A server that runs has taken a call.
    Taken {
        /// Which call.
        call: Call,
    },
    /// A server has found the connection of a call closed, and drops the call.
    Dropped,
    /// A read has ended: its state is held from now on.
    Held,
    /// There was no state to fetch.
    NoState,
    /// A server has answered a call with an error of the play's.
    Refused {
        /// The answer proves that nothing ran.
        never_ran: bool,
    },
    /// The first event has been written.
    FirstEvent,
    /// An answer has been written to its end.
    Served,
    /// A call that lets go of what is held has been carried out.
    Released,
    /// Discovery has told a version of the list.
    Told {
        /// Which one.
        revision: u64,
    },
    /// A server is told as draining from this version on.
    Drains {
        /// The version.
        revision: u64,
    },
    /// The play has ended the process of a server or of the program.
    Died,
    /// The program has been told to end.
    Terminated,
    /// The program has ended by itself.
    Exited,
    /// The fault has begun.
    Fault,
    /// The fault is over.
    Healed,
}

/// One line of the record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When.
    pub at: Micros,
    /// Who saw it, or whom it befell.
    #[serde(default)]
    pub who: String,
    /// The request that it is about, if any.
    #[serde(default)]
    pub id: String,
    /// What.
    #[serde(flatten)]
    pub step: Step,
}

/// A record that many can write to.
#[derive(Clone, Default)]
pub struct Record(Arc<Mutex<Vec<Line>>>);

impl Record {
    fn all(&self) -> MutexGuard<'_, Vec<Line>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes something that happens now.
    pub fn note(&self, who: &str, id: &str, step: Step) {
        self.add(Line { at: now(), who: who.to_string(), id: id.to_string(), step });
    }

    /// Adds a line that was written elsewhere.
    pub fn add(&self, line: Line) {
        self.all().push(line);
    }

    /// All lines in the order of their times.
    pub fn lines(&self) -> Vec<Line> {
        let mut lines = self.all().clone();
        lines.sort_by_key(|line| line.at);
        lines
    }
}
