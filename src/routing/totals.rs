//! The counters of the core.

/// Counters since the start of the program, and the numbers of what is open and listed now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests that arrived.
    pub taken: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts whose last byte was written to their server.
    pub written: u64,
    /// Requests whose answer by a server was complete.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests whose answer broke off after its start.
    pub broken: u64,
    /// Requests whose client left before the answer was complete.
    pub gone: u64,
    /// Probes sent.
    pub probes: u64,
    /// Attempts cancelled because they were not written to a connection in time: for the state that waited, or for the
    /// window in which repeats are discarded.
    pub unreachable: u64,
    /// Requests for which a server has taken the call that releases what is held.
    pub released: u64,
    /// Requests whose state waited for longer than the settings allow until a server took that call, or until the calls
    /// ended without one.
    pub released_late: u64,
    /// States that were released because no writer had answered in time, though a fetch was in flight or intended.
    pub released_unheard: u64,
    /// Release calls begun.
    pub release_calls: u64,
    /// Release calls that no server took.
    pub release_calls_failed: u64,
    /// Release calls in flight now.
    pub release_calls_in_flight: u64,
    /// Requests that wait now until a release call may be begun for them.
    pub releases_waiting: u64,
    /// Requests open now.
    pub open: u64,
    /// Servers listed now.
    pub known: u64,
    /// Listed servers that are avoided now.
    pub avoided: u64,
}

/// How many requests of a class have ended in which way. Requests whose client left before are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassTotals {
    /// Answered by a server, completely.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed, or broken off after the start of the answer.
    pub failed: u64,
}

/// How the final answer to a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    Served,
    Refused,
    Failed,
    Broken,
}

impl Totals {
    pub(super) fn count(&mut self, end: RequestEnd) {
        match end {
            RequestEnd::Served => self.served += 1,
            RequestEnd::Refused => self.refused += 1,
            RequestEnd::Failed => self.failed += 1,
            RequestEnd::Broken => self.broken += 1,
        }
    }
}

impl ClassTotals {
    pub(super) fn count(&mut self, end: RequestEnd) {
        match end {
            RequestEnd::Served => self.served += 1,
            RequestEnd::Refused => self.refused += 1,
            RequestEnd::Failed | RequestEnd::Broken => self.failed += 1,
        }
    }
}

impl std::ops::AddAssign for ClassTotals {
    fn add_assign(&mut self, other: Self) {
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
    }
}
