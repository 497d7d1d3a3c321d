//! The listening socket that a process inherits from whoever started it, under a descriptor's number.

use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

use socket2::{SockRef, Type};
use thiserror::Error;

/// The lowest number that can be meant: below it are the standard streams.
const LEAST: RawFd = 3;

/// Why a descriptor can't be listened on.
#[derive(Debug, Error)]
pub enum InheritedError {
    /// It is no descriptor's number.
    #[error("'{0}' is no number of a descriptor from {LEAST} on")]
    Number(String),
    /// Nothing is open there.
    #[error("descriptor {0} is not open in this process")]
    Closed(RawFd),
    /// Something else is open there.
    #[error("descriptor {0} is no listening stream socket")]
    NotListening(RawFd),
    /// The system fails it.
    #[error("descriptor {0} can't be used: {1}")]
    Io(RawFd, io::Error),
}

/// Takes an open descriptor over; none if it is not open.
#[allow(unsafe_code, reason = "whether a number is an open descriptor's can be asked only of the system")]
fn own(fd: RawFd) -> Option<OwnedFd> {
    // SAFETY: F_GETFD reads a flag and touches no memory; for a number that is not open it fails. An open
    // descriptor that this process has not opened itself was given to it for its own, and nothing else here
    // owns it: this is called once, before the first descriptor is opened.
    unsafe { (libc::fcntl(fd, libc::F_GETFD) >= 0).then(|| OwnedFd::from_raw_fd(fd)) }
}

/// Takes the listening socket at the descriptor that the text numbers. Only once in a process, and before it
/// opens descriptors of its own, which could get the number if nothing was inherited there.
///
/// # Errors
///
/// If that is no descriptor, not open, no socket, no stream or not listening. What is open there is closed then.
pub fn inherited_listener(number: &str) -> Result<TcpListener, InheritedError> {
    let fd = number.parse().ok().filter(|fd| *fd >= LEAST);
    let fd: RawFd = fd.ok_or_else(|| InheritedError::Number(number.to_string()))?;
    let owned = own(fd).ok_or(InheritedError::Closed(fd))?;
    let socket = SockRef::from(&owned);
    let listens =
        socket.r#type().is_ok_and(|kind| kind == Type::STREAM) && socket.is_listener().unwrap_or(false);
    if !listens || socket.local_addr().ok().and_then(|address| address.as_socket()).is_none() {
        return Err(InheritedError::NotListening(fd));
    }
    let listener = TcpListener::from(owned);
    // What the other processes see of the socket does not change by it: each waits for its own readiness.
    listener.set_nonblocking(true).map_err(|error| InheritedError::Io(fd, error))?;
    Ok(listener)
}
