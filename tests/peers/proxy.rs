//! A TCP proxy before a stand-in whose connections can be made to fall silent: nothing passes any more, and neither
//! side is told.

use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// Connections that may wait to be accepted: few, so that a silent machine's queue is soon full.
const BACKLOG: u32 = 8;
/// A connection that is not up by then finds the queue full.
const QUEUE_FULL: Duration = Duration::from_millis(30);

/// What passes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Network {
    Passes,
    /// Connections that were open by then are silent; new ones pass.
    OpenConnectionsSilent,
    /// All connections are silent, and new ones never come up.
    MachineSilent,
}

/// A proxy before one address.
pub struct Proxy {
    pub address: String,
    network: watch::Sender<Network>,
}

impl Proxy {
    pub async fn start(target: &str) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(BACKLOG).expect("a listener");
        let address = listener.local_addr().expect("an address").to_string();
        let (network, changes) = watch::channel(Network::Passes);
        tokio::spawn(accept(listener, target.to_string(), changes));
        Proxy { address, network }
    }

    pub fn set(&self, network: Network) {
        self.network.send_replace(network);
    }
}

async fn accept(listener: TcpListener, target: String, changes: watch::Receiver<Network>) {
    let mut machine = changes.clone();
    let silent = async { machine.wait_for(|network| *network == Network::MachineSilent).await.is_ok() };
    tokio::select! {
        biased;
        silent = silent => if silent { fill(&listener).await },
        () = accept_all(&listener, &target, &changes) => {}
    }
}

async fn accept_all(listener: &TcpListener, target: &str, changes: &watch::Receiver<Network>) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(forward(client, target.to_string(), changes.clone()));
    }
}

/// Fills the listener's queue and keeps it full: the system drops whatever else would connect.
async fn fill(listener: &TcpListener) {
    let address = listener.local_addr().expect("an address");
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = timeout(QUEUE_FULL, TcpStream::connect(address)).await {
        queued.push(stream);
    }
    std::future::pending::<()>().await;
}

/// Passes bytes both ways until the network changes; from then on both sides stay open, and nothing passes.
async fn forward(mut client: TcpStream, target: String, mut changes: watch::Receiver<Network>) {
    let Ok(mut server) = TcpStream::connect(target).await else { return };
    changes.mark_unchanged();
    tokio::select! {
        biased;
        _ = changes.changed() => std::future::pending().await,
        _ = copy_bidirectional(&mut client, &mut server) => {}
    }
}
