//! The listening socket that a process inherits from its parent, named by the number of its file descriptor.

use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

use socket2::{SockRef, Type};
use thiserror::Error;

/// The lowest descriptor number that can be inherited: those below it are the standard streams.
const MIN_DESCRIPTOR: RawFd = 3;

/// Why the inherited descriptor can't be used as the listening socket.
#[derive(Debug, Error)]
pub enum InheritedError {
    /// The text is not a valid descriptor number.
    #[error("'{0}' is not a descriptor number ({MIN_DESCRIPTOR} or higher)")]
    Number(String),
    /// The descriptor is not open.
    #[error("descriptor {0} is not open in this process")]
    Closed(RawFd),
    /// The descriptor is open, but is not a listening stream socket.
    #[error("descriptor {0} is not a listening stream socket")]
    NotListening(RawFd),
    /// A system call on the descriptor failed.
    #[error("descriptor {0} can't be used: {1}")]
    Io(RawFd, io::Error),
}

/// Takes ownership of a descriptor; returns `None` if it is not open.
#[allow(unsafe_code, reason = "only a system call tells whether a number is an open descriptor")]
fn take_descriptor(fd: RawFd) -> Option<OwnedFd> {
    // SAFETY: F_GETFD reads a flag and touches no memory; it fails for a number that is not open. An open descriptor
    // that this process has not opened itself was handed to it, and nothing else here owns it: this is called once,
    // before the process opens its first descriptor.
    unsafe { (libc::fcntl(fd, libc::F_GETFD) >= 0).then(|| OwnedFd::from_raw_fd(fd)) }
}

/// Takes over the listening socket whose descriptor number is given as text. Call this only once in a process, and
/// before it opens descriptors of its own: one of those could get the number if nothing was inherited under it.
///
/// # Errors
///
/// Returns an error if the text is not a descriptor number, or the descriptor is not open or not a listening stream
/// socket. An open descriptor is closed in that case.
pub fn inherited_listener(number: &str) -> Result<TcpListener, InheritedError> {
    let fd = number.parse().ok().filter(|fd| *fd >= MIN_DESCRIPTOR);
    let fd: RawFd = fd.ok_or_else(|| InheritedError::Number(number.to_string()))?;
    let owned = take_descriptor(fd).ok_or(InheritedError::Closed(fd))?;
    let socket = SockRef::from(&owned);
    let is_listening =
        socket.r#type().is_ok_and(|kind| kind == Type::STREAM) && socket.is_listener().unwrap_or(false);
    if !is_listening || socket.local_addr().ok().and_then(|address| address.as_socket()).is_none() {
        return Err(InheritedError::NotListening(fd));
    }
    let listener = TcpListener::from(owned);
    // Other processes that share the socket are not disturbed by this: each waits for readiness on its own.
    listener.set_nonblocking(true).map_err(|error| InheritedError::Io(fd, error))?;
    Ok(listener)
}
