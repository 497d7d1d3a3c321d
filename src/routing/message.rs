//! The inputs and outputs of the core.

use crate::interface::*;

/// One router with the servers it chooses among: those of the platform, or the tool servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub u8);

/// A request as a front hands it to the core.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// The pool whose router decides.
    pub pool: PoolId,
    /// The request; the core fills in when it expires.
    pub request: Request,
    /// How long its client waits.
    pub time_left: Micros,
}

/// An event that the transport reports.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request has arrived.
    Request(Admission),
    /// An update of a pool's list, and the number of the generation that results from it.
    List(PoolId, u64, ListUpdate),
    /// The first event of an attempt's answer has arrived.
    Started(RequestId, u32),
    /// The last byte of an attempt has been handed to the operating system; its server may never read it.
    Written(RequestId, u32),
    /// An attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Prompt tokens that the reader had kept.
        kept_tokens: u64,
        /// The server's load report, if one came with it.
        report: Option<Report>,
    },
    /// A probe has ended.
    Probed {
        /// The pool of the server.
        pool: PoolId,
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        took: Micros,
        /// The server's load report, if one came with it.
        report: Option<Report>,
    },
    /// A call that releases what is held for a request has ended.
    Released {
        /// The pool of the server.
        pool: PoolId,
        /// The request.
        request: RequestId,
        /// The server that was asked.
        server: ServerId,
        /// The server took the call.
        taken: bool,
    },
    /// The answer to a place asked for ahead; true if it is held.
    Place(RequestId, ServerId, bool),
    /// A front has refused a request of this class, which is counted like a refusal by the router.
    RefusedByFront(PoolId, ClassId),
    /// The client has left.
    ClientGone(RequestId),
}

/// The connection that a call is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// One that is open and idle, or a new one if there is none.
    Any,
    /// A new one: it has come up just before the call is written, while an open one may have fallen silent.
    New,
}

/// Why an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The time that it may wait for its answer is over.
    TimeLimit,
    /// It has not been written by the time at which the state that waits for it has to go elsewhere, or the window for
    /// repeats ends.
    NotWrittenInTime,
    /// The router has no more use for it, or its request has ended.
    GivenUp,
    /// Another attempt has answered the client.
    AnsweredByAnother,
    /// The request moves to another server.
    Moved,
}

/// What the transport has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an attempt. The transport reports its end as [`Input::Ended`].
    Send {
        /// The pool of the server.
        pool: PoolId,
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The server that it is sent to.
        server: ServerId,
        /// How long the wait for the answer may last.
        time_left: Micros,
        /// The generation of the member list that the decision is based on.
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
        /// Why it is cancelled.
        reason: CancelReason,
    },
    /// Relay this attempt's answer to the client.
    Relay(RequestId, u32),
    /// Final answer: refused, and after what time the client should come back.
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
    /// Ask a server to release all that is held for the request. The transport reports the end of the call as
    /// [`Input::Released`].
    Release {
        /// The pool of the server.
        pool: PoolId,
        /// The request.
        request: RequestId,
        /// The server that is asked.
        server: ServerId,
        /// The connection to ask on.
        connection: ConnectionChoice,
    },
    /// Report to the operators that what servers held for a request waited for longer than the settings allow.
    HeldTooLong {
        /// The request.
        request: RequestId,
        /// How long it waited.
        waited: Micros,
        /// True if a server has taken the call that releases it.
        taken: bool,
    },
    /// Reserve a place for the request at this server.
    HoldPlace(PoolId, RequestId, ServerId),
    /// Probe a server.
    Probe(PoolId, ServerId),
    /// Close idle connections to a server.
    CloseIdle(PoolId, ServerId),
    /// Log a line for the operators.
    Log(String),
    /// Report to the operators that a server did not respond at all and is avoided for a while.
    Ejected(PoolId, ServerId),
    /// The candidates of a choice; only for pools that are observed.
    Explain(Box<Choice>),
    /// The request may have run. From this time on it must not run again under its id.
    BlockId(RequestId, Micros),
    /// Drop the request: no more outputs follow for it.
    Forget(RequestId),
}
