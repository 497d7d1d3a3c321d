//! Opens listening sockets whose queue has room for a crowd that connects at once.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket, lookup_host};

/// How many connections may wait to be accepted; the system may allow fewer (`net.core.somaxconn`). What finds the queue full
/// is reset, or connects a second later. The runtime's own default is 128.
const LISTEN_BACKLOG: u32 = 1024;

/// Listens on the first address of the host that can be listened on; returns the last error if none can.
pub async fn bind(address: &str) -> io::Result<TcpListener> {
    let mut last_error = io::Error::new(io::ErrorKind::InvalidInput, "the host has no address");
    for address in lookup_host(address).await? {
        match bind_address(address) {
            Ok(listener) => return Ok(listener),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

fn bind_address(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

#[cfg(test)]
mod tests;
