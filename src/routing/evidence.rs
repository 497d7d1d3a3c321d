//! How far a call to a server is known to have got. Each rule and each clock of the core names the rung that starts or
//! stops it (docs/design/evidence.md); a local write is not the server's word.

/// The rungs, from the least to the most that is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// The call has been decided on, and may wait for a connection.
    #[default]
    Decided,
    /// A connection is up for it. The system of the server's machine makes it, not the server.
    Connected,
    /// Its last byte has been handed to the system here. It may lie unread at a server that hangs, or never arrive.
    Written,
    /// A byte of the server's own that answers this very call has come.
    Heard,
    /// The answer has come whole, or the server's own word of how the call ended.
    Answered,
}

impl Evidence {
    /// The call may have come to its server: what it may not do twice has to be taken as done.
    pub fn may_have_arrived(self) -> bool {
        self >= Evidence::Written
    }

    /// A server that runs has surely taken the call.
    pub fn is_confirmed(self) -> bool {
        self >= Evidence::Heard
    }
}
