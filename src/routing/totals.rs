//! What has been counted since the start.

/// What has been taken in, sent and answered since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests taken in.
    pub taken: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts of which the last byte was written to their server.
    pub written: u64,
    /// Requests answered by a server, to the end.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Answers that broke off after their start.
    pub broken: u64,
    /// Requests whose client left first.
    pub gone: u64,
    /// Probes sent.
    pub probes: u64,
    /// Attempts called off because no connection had taken them in time for the state that waited, or for the window in
    /// which repeats are discarded.
    pub unreachable: u64,
    /// Requests of which a server has taken the call that lets go of what is held.
    pub released: u64,
    /// Requests whose state waited for longer than the settings allow before a server took that call, or none did.
    pub released_late: u64,
    /// States that were released as no writer had been heard in time, though a fetch was out or about to be.
    pub released_unheard: u64,
    /// Requests open now.
    pub open: u64,
    /// Servers that are listed now.
    pub known: u64,
    /// Those of them that are avoided now.
    pub avoided: u64,
}

/// How the requests of a class have ended; those whose clients left before are not among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassTotals {
    /// Answered by a server, to the end.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed, or broken off after the answer's start.
    pub failed: u64,
}

/// How the final answer to a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Served,
    Refused,
    Failed,
    Broken,
}

impl Totals {
    pub(super) fn count(&mut self, end: End) {
        match end {
            End::Served => self.served += 1,
            End::Refused => self.refused += 1,
            End::Failed => self.failed += 1,
            End::Broken => self.broken += 1,
        }
    }
}

impl ClassTotals {
    pub(super) fn count(&mut self, end: End) {
        match end {
            End::Served => self.served += 1,
            End::Refused => self.refused += 1,
            End::Failed | End::Broken => self.failed += 1,
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
