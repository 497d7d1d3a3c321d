//! What goes into the core and what comes out of it.

use crate::interface::*;

/// One router and the servers it chooses among: those of the platform, or the tool servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub u8);

/// A request as a front hands it in.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Whose router decides.
    pub pool: PoolId,
    /// The request; when it expires is filled in here.
    pub request: Request,
    /// How long its client waits.
    pub time_left: Micros,
}

/// What the transport reports.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request has come in.
    Request(Admission),
    /// News of a pool's list, and the number of the generation that it makes.
    List(PoolId, u64, ListUpdate),
    /// The first event of an attempt's answer is here.
    Started(RequestId, u32),
    /// The last byte of an attempt has been handed to the system; its server may never take it up.
    Written(RequestId, u32),
    /// An attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// How.
        outcome: Outcome,
        /// Prompt tokens found kept.
        kept_tokens: u64,
        /// The load report that came along.
        report: Option<Report>,
    },
    /// A probe has ended.
    Probed {
        /// Whose server.
        pool: PoolId,
        /// The server.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// How long it took.
        took: Micros,
        /// What it told.
        report: Option<Report>,
    },
    /// A call to let go of what is held for a request has ended; whether the server took it.
    Released(RequestId, bool),
    /// A place asked for ahead is held, or not.
    Place(RequestId, ServerId, bool),
    /// The client has left.
    ClientGone(RequestId),
}

/// The connection that a call goes out on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// One that is open and idle, or a new one if there is none.
    Any,
    /// A new one: it has come up just before the call is written, while an open one may have fallen silent.
    New,
}

/// Why an attempt is called off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The time that it may wait for its answer is over.
    TimeLimit,
    /// It has not been written by the time at which the state that waits for it has to go elsewhere, or the window for
    /// repeats ends.
    NotWrittenInTime,
    /// The router expects nothing of it any more, or its request has ended.
    GivenUp,
    /// Another attempt has answered the client.
    AnsweredByAnother,
    /// The request moves to another server.
    Moved,
}

/// What the transport is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an attempt; its end is owed as [`Input::Ended`].
    Send {
        /// Whose server.
        pool: PoolId,
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// Where to.
        server: ServerId,
        /// How long the wait may last.
        time_left: Micros,
        /// The generation of servers by which it was decided.
        generation: u64,
        /// The connection to send it on.
        connection: ConnectionChoice,
    },
    /// Close an attempt's connection and report its end.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// Why it is called off.
        reason: CancelReason,
    },
    /// The attempt's answer is the client's.
    Relay(RequestId, u32),
    /// Final answer: refused, and when to come back.
    Refuse(RequestId, Option<Micros>),
    /// Final answer: failed.
    Fail {
        /// The request.
        request: RequestId,
        /// It may have run somewhere.
        may_have_run: bool,
        /// Its time was over.
        overdue: bool,
    },
    /// Ask a server to let go of all that is held for the request; the end is owed as [`Input::Released`].
    Release {
        /// Whose server.
        pool: PoolId,
        /// The request.
        request: RequestId,
        /// The server that is asked.
        server: ServerId,
        /// The connection to ask on.
        connection: ConnectionChoice,
    },
    /// What servers held for a request waited for longer than the settings allow; for the operators.
    HeldTooLong {
        /// The request.
        request: RequestId,
        /// For how long.
        waited: Micros,
        /// Whether a server has taken the call that lets go of it by now.
        taken: bool,
    },
    /// Hold a place.
    HoldPlace(PoolId, RequestId, ServerId),
    /// Probe a server.
    Probe(PoolId, ServerId),
    /// Close idle connections to a server.
    CloseIdle(PoolId, ServerId),
    /// A line for the operators.
    Log(String),
    /// A server gave no sign of life and is avoided for a while; for the operators.
    Ejected(PoolId, ServerId),
    /// What a choice looked at; only of pools that are observed.
    Explain(Box<Choice>),
    /// Nothing more will be said of the request.
    Forget(RequestId),
}
