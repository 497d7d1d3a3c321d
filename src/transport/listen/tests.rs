//! Tests of listening sockets.

use std::net::TcpStream;
use std::time::Duration;

use super::*;

/// The system's own limit on the queue of a listening socket.
fn system_limit() -> usize {
    let limit = std::fs::read_to_string("/proc/sys/net/core/somaxconn").expect("the system tells its limit");
    limit.trim().parse().expect("a number")
}

/// Guards against clients of a crowd that are reset or connect a second late, as the queue has room for 128 of them.
#[test]
fn crowd_connects_at_once_while_nothing_is_accepted() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
    let listener = runtime.block_on(bind("127.0.0.1:0")).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let crowd = 500.min(system_limit());
    let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(900));
    let connected: Vec<_> = (0..crowd).map(connect).take_while(Result::is_ok).collect();
    assert_eq!(connected.len(), crowd);
}
