//! The network before one server: it passes calls and answers on, tells at which step each one is, and does to it what
//! the play wants.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{broadcast, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::cell::{Fault, Step};
use crate::http::{Reader, call, header, status};
use crate::record::{Call, Micros, Record, Step as Seen};

/// Connections that may wait to be accepted: few, so that a silent machine's queue is soon full.
const BACKLOG: u32 = 16;
/// A connection that is not up by then finds the queue full.
const QUEUE_FULL: Duration = Duration::from_millis(30);
/// Between two bytes of a slow answer.
const BETWEEN_BYTES: Duration = Duration::from_millis(50);

/// What passes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Network {
    /// Everything.
    Passes,
    /// Connections that were open by then are silent; new ones pass.
    OpenConnectionsSilent,
    /// All connections are silent, and new ones never come up.
    MachineSilent,
}

/// What the play does at a step of a call.
pub trait Play: Send + Sync + 'static {
    /// Whether calls to this server are met with a fault of connections or answers at this step. Faults of processes
    /// begin as this is asked.
    fn at(&self, server: &str, step: Step, id: &str) -> Option<Fault>;

    /// A server has taken a call for this request.
    fn taken(&self, server: &str, id: &str);
}

/// The network before one server.
pub struct Gate {
    /// Where the program finds the server.
    pub address: String,
    network: watch::Sender<Network>,
    target: watch::Sender<String>,
    taken: broadcast::Sender<String>,
    task: AbortHandle,
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Clone)]
struct Link {
    server: Arc<str>,
    reads: bool,
    record: Record,
    play: Arc<dyn Play>,
    network: watch::Receiver<Network>,
    target: watch::Receiver<String>,
    taken: broadcast::Sender<String>,
}

/// How a call has gone on.
enum Went {
    /// The connection takes the next call.
    On,
    /// It has ended.
    Ended,
    /// It is silent from now on.
    Silent,
}

impl Gate {
    /// Opens it at an address of its own before a server.
    pub fn start(
        server: &str,
        reads: bool,
        own: Ipv4Addr,
        target: &str,
        record: &Record,
        play: Arc<dyn Play>,
    ) -> std::io::Result<Gate> {
        let socket = TcpSocket::new_v4()?;
        socket.bind((own, 0).into())?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?.to_string();
        let (network, networks) = watch::channel(Network::Passes);
        let (target, targets) = watch::channel(target.to_string());
        let (taken, _) = broadcast::channel(64);
        let link = Link {
            server: server.into(),
            reads,
            record: record.clone(),
            play,
            network: networks,
            target: targets,
            taken: taken.clone(),
        };
        let task = tokio::spawn(accept(listener, link)).abort_handle();
        Ok(Gate { address, network, target, taken, task })
    }

    /// Changes what passes.
    pub fn set(&self, network: Network) {
        self.network.send_replace(network);
    }

    /// From now on calls go to a new process.
    pub fn move_to(&self, address: &str) {
        self.target.send_replace(address.to_string());
    }

    /// The server has said that it has taken a call for this request.
    pub fn taken(&self, id: &str) {
        // Nobody waits for it if the call has ended.
        let _ = self.taken.send(id.to_string());
    }
}

async fn accept(listener: TcpListener, link: Link) {
    let mut network = link.network.clone();
    // They end with this task.
    let mut connections = JoinSet::new();
    let silent = async { network.wait_for(|network| *network == Network::MachineSilent).await.is_ok() };
    tokio::pin!(silent);
    loop {
        tokio::select! {
            biased;
            silent = &mut silent => return if silent { fill(&listener).await },
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                connections.spawn(carry(stream, link.clone()));
            },
        }
    }
}

/// Fills the listener's queue and keeps it full: the system drops whatever else would connect.
async fn fill(listener: &TcpListener) {
    let Ok(address) = listener.local_addr() else { return };
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = timeout(QUEUE_FULL, TcpStream::connect(address)).await {
        queued.push(stream);
    }
    std::future::pending::<()>().await;
}

async fn carry(stream: TcpStream, mut link: Link) {
    let _ = stream.set_nodelay(true);
    let mut networks = link.network.clone();
    networks.mark_unchanged();
    if *networks.borrow() == Network::MachineSilent {
        return std::future::pending().await;
    }
    tokio::select! {
        biased;
        // Both sides stay open, and nothing passes.
        _ = networks.changed() => std::future::pending().await,
        () = link.calls(stream) => {}
    }
}

/// Ends a connection with a reset.
fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

fn put_in_place(fault: Fault) -> &'static [u8] {
    match fault {
        Fault::Status400 => b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
        Fault::Status404 => b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
        Fault::Status409 => b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
        Fault::Status410 => b"HTTP/1.1 410 Gone\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
        Fault::Status429 => b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
        Fault::Status500 => b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        Fault::Status503 => b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        Fault::Status503Unprocessed => {
            b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
        }
        Fault::Status504Unprocessed => {
            b"HTTP/1.1 504 Gateway Timeout\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
        }
        Fault::Torn => b"HTTP/1.1 200 OK\r\nContent-Ty",
        Fault::Garbled => b"HTTP/1.1 2OO maybe\x00\r\n\r\n",
        Fault::Endless => b"HTTP/1.1 200 OK\r\nX-Endless: ",
        _ => b"",
    }
}

impl Link {
    fn note(&self, id: &str, step: Seen) {
        self.record.note(&self.server, id, step);
    }

    async fn calls(&mut self, stream: TcpStream) {
        let handshake = if self.reads { Step::ReadHandshake } else { Step::FetchHandshake };
        if let Some(fault) = self.play.at(&self.server, handshake, "") {
            return self.break_connection(fault, stream).await;
        }
        let mut caller = Reader::new(stream);
        let target = self.target.borrow().clone();
        // A machine whose process is gone refuses connections.
        let Ok(mut server) = TcpStream::connect(target).await else { return reset(caller.stream) };
        let _ = server.set_nodelay(true);
        while let Ok(Some((head, began))) = caller.head().await {
            match self.one_call(&mut caller, &mut server, head, began).await {
                Ok(Went::On) => {}
                Ok(Went::Ended) => return,
                Ok(Went::Silent) => return std::future::pending().await,
                Err(_) => return reset(caller.stream),
            }
        }
        // The caller has closed a connection at rest, or amid a head.
    }

    async fn break_connection(&self, fault: Fault, stream: TcpStream) {
        match fault {
            Fault::Reset => reset(stream),
            Fault::HalfClose => {
                let mut stream = stream;
                let _ = stream.shutdown().await;
                let _ = timeout(Duration::from_secs(10), stream.read_to_end(&mut Vec::new())).await;
            }
            _ => drop(stream),
        }
    }

    /// What befalls a call at a step of its way to the server, if anything does.
    fn fault_at(&self, kind: Call, steps: (Step, Step), id: &str) -> Option<Fault> {
        match kind {
            Call::Read => self.play.at(&self.server, steps.0, id),
            Call::Fetch => self.play.at(&self.server, steps.1, id),
            Call::Release | Call::Probe => None,
        }
    }

    async fn one_call(
        &mut self,
        caller: &mut Reader<TcpStream>,
        server: &mut TcpStream,
        head: String,
        began: Micros,
    ) -> std::io::Result<Went> {
        let (kind, id) = call(&head, self.reads);
        let line = crate::record::Line {
            at: began,
            who: self.server.to_string(),
            id: id.clone(),
            step: Seen::Begun { call: kind },
        };
        self.record.add(line);
        let length: usize = header(&head, "content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut body = caller.take_ahead();
        while body.len() < length {
            if caller.more().await? == 0 {
                return Ok(Went::Ended);
            }
            body.extend(caller.take_ahead());
        }
        let wait =
            header(&head, "x-time-left-ms").and_then(|n| n.parse::<Micros>().ok()).map(|ms| ms * 1_000);
        self.note(&id, Seen::Arrived { call: kind, wait });
        let bytes = [head.as_bytes(), &body].concat();
        let half = head.len() / 2;
        server.write_all(&bytes[..half]).await?;
        if let Some(fault) = self.fault_at(kind, (Step::ReadHalfHead, Step::FetchHalfHead), &id) {
            return self.meet(fault, caller, &id).await;
        }
        server.write_all(&bytes[half..bytes.len() - 1]).await?;
        if let Some(fault) = self.fault_at(kind, (Step::ReadWritten, Step::FetchWritten), &id) {
            return self.meet(fault, caller, &id).await;
        }
        if kind == Call::Release {
            self.play.at(&self.server, Step::ReleaseWritten, &id);
        }
        let mut taken = self.taken.subscribe();
        server.write_all(&bytes[bytes.len() - 1..]).await?;
        self.answer(kind, &id, caller, server, &mut taken).await
    }

    /// Does a fault of the connection or the answer to a call that has not been answered.
    async fn meet(&self, fault: Fault, caller: &mut Reader<TcpStream>, id: &str) -> std::io::Result<Went> {
        match fault {
            Fault::Reset => {
                let _ = socket2::SockRef::from(&caller.stream).set_linger(Some(Duration::ZERO));
                self.note(id, Seen::CutOff);
                return Ok(Went::Ended);
            }
            Fault::Close => {
                self.note(id, Seen::CutOff);
                return Ok(Went::Ended);
            }
            Fault::HalfClose => caller.stream.shutdown().await?,
            Fault::Slow => {}
            fault => {
                let never_ran = matches!(
                    fault,
                    Fault::Status410 | Fault::Status503Unprocessed | Fault::Status504Unprocessed
                );
                self.note(id, Seen::Refused { never_ran });
                caller.stream.write_all(put_in_place(fault)).await?;
            }
        }
        // The server has not got the call whole and will not take it; its caller ends the connection.
        while caller.more().await? > 0 {
            caller.take_ahead();
        }
        self.note(id, Seen::GivenUp);
        Ok(Went::Ended)
    }

    /// Passes the answer on, with a look at the caller, who may give the call up.
    async fn answer(
        &self,
        kind: Call,
        id: &str,
        caller: &mut Reader<TcpStream>,
        server: &mut TcpStream,
        taken: &mut broadcast::Receiver<String>,
    ) -> std::io::Result<Went> {
        let (mut answer, mut passed, mut slow) = (Vec::new(), 0, false);
        let mut steps: Vec<Step> = match kind {
            Call::Read => vec![Step::ReadEnded],
            Call::Fetch => vec![Step::LastChunk, Step::MidStream, Step::FirstEvent],
            Call::Release | Call::Probe => Vec::new(),
        };
        loop {
            tokio::select! {
                biased;
                Ok(other) = taken.recv() => {
                    let step = (other == id).then(|| self.fault_at(kind, (Step::ReadTaken, Step::FetchTaken), id));
                    match step.flatten() {
                        Some(Fault::Slow) => slow = true,
                        Some(fault) => return self.meet(fault, caller, id).await,
                        None => {}
                    }
                    continue;
                }
                more = caller.more() => {
                    if !matches!(more, Ok(length) if length > 0) {
                        self.note(id, Seen::GivenUp);
                        return Ok(Went::Ended);
                    }
                    continue;
                }
                read = server.read_buf(&mut answer) => if !matches!(read, Ok(length) if length > 0) {
                    self.note(id, Seen::CutOff);
                    let _ = socket2::SockRef::from(&caller.stream).set_linger(Some(Duration::ZERO));
                    return Ok(Went::Ended);
                },
            }
            while steps.last().is_some_and(|step| reached(*step, &answer)) {
                let Some(step) = steps.pop() else { break };
                match self.play.at(&self.server, step, id) {
                    Some(Fault::Slow) => slow = true,
                    Some(fault) => return self.meet(fault, caller, id).await,
                    None => {}
                }
            }
            if *self.network.borrow() == Network::MachineSilent {
                return Ok(Went::Silent);
            }
            for byte in answer[passed..].chunks(if slow { 1 } else { usize::MAX }) {
                caller.stream.write_all(byte).await?;
                if slow {
                    sleep(BETWEEN_BYTES).await;
                }
            }
            passed = answer.len();
            if is_whole(&answer) {
                return Ok(Went::On);
            }
        }
    }
}

/// Whether so much of an answer shows that this step has come.
fn reached(step: Step, answer: &[u8]) -> bool {
    let events = answer.windows(6).filter(|bytes| *bytes == b"data: ").count();
    match step {
        Step::FirstEvent => events >= 1,
        Step::MidStream => events >= 2,
        Step::LastChunk => answer.ends_with(b"0\r\n\r\n") && events >= 1,
        _ => is_whole(answer),
    }
}

/// Whether an answer is whole.
fn is_whole(answer: &[u8]) -> bool {
    let Some(end) = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&answer[..end + 4]);
    if header(&head, "transfer-encoding").is_some() {
        return answer.ends_with(b"\r\n0\r\n\r\n");
    }
    let length = header(&head, "content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    status(&head) == Some(204) || answer.len() >= end + 4 + length
}
