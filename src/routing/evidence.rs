//! How far a call to a server is known to have got. Each rule and each timer of the core names the level that starts or
//! stops it (docs/design/evidence.md). A local write proves nothing about the server.

/// The levels of evidence, from the least to the most that is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// The call has been decided on, and may be waiting for a connection.
    #[default]
    Decided,
    /// A connection is up for it. The operating system of the server's machine accepts it, not the server itself.
    Connected,
    /// Its last byte has been handed to the local operating system. It may lie unread at a server that hangs, or never
    /// arrive.
    Written,
    /// A byte has arrived that the server itself sent in answer to this call.
    Heard,
    /// The whole answer has arrived, or the server's own report of how the call ended.
    Answered,
}

impl Evidence {
    /// Returns true if the call may have reached its server. What must not be done twice then counts as done.
    pub fn may_have_arrived(self) -> bool {
        self >= Evidence::Written
    }

    /// Returns true if it is certain that a running server has taken the call.
    pub fn is_confirmed(self) -> bool {
        self >= Evidence::Heard
    }
}
