//! Connections to peers for hyper-util's client, which keep track of how far the request on them has been written.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::Uri;
use http_body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{CaptureConnection, Connected, Connection, capture_connection};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::{TcpSocket, TcpStream, lookup_host};
use tokio::time::{Instant, Sleep, sleep_until};

use super::idle::{ConnectionBudget, ConnectionPermit, IdleTracker};
use crate::protocol::chunks::ChunkFollower;
use crate::protocol::settings::Links;
use crate::routing::{ConnectionChoice, Evidence};

/// The fraction of a server's idle limit after which an idle connection is not used any more: past the limit, a request
/// written to it would end in a reset. The pool looks for such connections only once in the same span, so the fraction
/// is below one half for all of them to be closed before the limit.
const IDLE_FRACTION: f64 = 0.45;
/// The most idle connections that are kept for one peer, so that they don't use up the budget.
const MAX_IDLE_PER_PEER: usize = 20;

/// Most bytes that are read at once.
const READ_SIZE: usize = 8 * 1024;
/// Size limit of an answer's head, in bytes. Anything longer is not a valid head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How long the head of an answer may take once it has begun. Servers send a head at once, so one that is not complete
/// by then never will be.
const HEAD_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a connection waits after an answer before the next request is written to it. A second answer to the first
/// request may arrive some milliseconds late, and would be taken for the answer to the next one.
pub const REUSE_DELAY: Duration = Duration::from_millis(10);

/// The HTTP client for peers. It never retries a request by itself.
pub type PeerClient = Client<Connector, TrackedBody>;

/// Creates a client that keeps idle connections for reuse.
pub fn client(links: Links, budget: ConnectionBudget) -> PeerClient {
    client_with_max_idle(links, budget, MAX_IDLE_PER_PEER)
}

/// The connections that may be open to servers.
#[derive(Clone, Debug)]
pub struct PeerBudgets {
    /// Those for attempts and everything else.
    pub attempts: ConnectionBudget,
    /// Those for release calls while attempts use all of theirs.
    pub reserved: ConnectionBudget,
    /// Those for messages that servers have been promised.
    pub deliveries: ConnectionBudget,
}

/// The HTTP clients for the servers of a pool.
#[derive(Clone)]
pub struct Clients {
    pooled: PeerClient,
    unpooled: PeerClient,
    reserved: PeerClient,
    deliveries: PeerClient,
}

impl Clients {
    /// Creates the clients. Their connections draw on one budget, but for those that are reserved.
    pub fn new(links: Links, budget: &PeerBudgets) -> Self {
        Clients {
            pooled: client(links, budget.attempts.clone()),
            unpooled: client_with_max_idle(links, budget.attempts.clone(), 0),
            reserved: client_with_max_idle(links, budget.reserved.clone(), 0),
            deliveries: client_with_max_idle(links, budget.deliveries.clone(), 0),
        }
    }

    /// Returns the client whose connections are reserved for calls that release what servers hold.
    pub fn reserved(&self) -> &PeerClient {
        &self.reserved
    }

    /// Returns the client whose connections are reserved for messages that servers have been promised. Each goes on a new one.
    pub fn deliveries(&self) -> &PeerClient {
        &self.deliveries
    }

    /// Returns the client that uses the connections of this choice.
    pub fn for_connection(&self, connection: ConnectionChoice) -> &PeerClient {
        match connection {
            ConnectionChoice::Any => &self.pooled,
            ConnectionChoice::New => &self.unpooled,
        }
    }
}

/// Creates a client that keeps at most `max_idle` idle connections for each peer.
fn client_with_max_idle(links: Links, budget: ConnectionBudget, max_idle: usize) -> PeerClient {
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_idle_timeout(Duration::from_micros((links.idle as f64 * IDLE_FRACTION) as u64))
        .pool_max_idle_per_host(max_idle)
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .pool_timer(TokioTimer::new())
        .timer(TokioTimer::new())
        .build(Connector { connect_timeout: Duration::from_micros(links.connect), budget })
}

/// Opens connections, within the connect timeout of the settings and the descriptor budget.
#[derive(Clone)]
pub struct Connector {
    connect_timeout: Duration,
    budget: ConnectionBudget,
}

impl tower::Service<Uri> for Connector {
    type Response = PeerConnection;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<PeerConnection>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let (connect_timeout, budget) = (self.connect_timeout, self.budget.clone());
        Box::pin(async move {
            let authority = uri.authority().ok_or_else(|| io::Error::other("the URI has no authority"))?;
            let connect = async {
                let permit = budget.acquire().await?;
                dial(authority.as_str()).await.map(|stream| (permit, stream))
            };
            let (permit, stream) = tokio::time::timeout(connect_timeout, connect).await??;
            Ok(PeerConnection {
                io: TokioIo::new(stream),
                exchange: Exchange::Writing,
                last_bytes: [0; 4],
                progress: Arc::new(Progress::new(budget.idle_tracker())),
                _permit: permit,
            })
        })
    }
}

/// Connects to the first address of the host that accepts; returns the last error if none does.
async fn dial(authority: &str) -> io::Result<TcpStream> {
    let mut last_error = io::Error::other("the host has no address");
    for address in lookup_host(authority).await? {
        match dial_address(address).await {
            Ok(stream) => return Ok(stream),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

async fn dial_address(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Send small writes at once.
    socket.set_nodelay(true)?;
    socket.connect(address).await
}

/// A callback for when the last byte of a request has been written.
pub type OnWritten = Box<dyn FnOnce() + Send>;

/// How far the request on a connection has got.
struct Progress {
    /// Called once all of the request has been written. Set as soon as its last byte is in the connection's buffer.
    on_written: Mutex<Option<OnWritten>>,
    /// Bytes have arrived, and the last of them don't end a head.
    in_head: AtomicBool,
    /// The serial number of the request that was handed over to the connection last; 0 before the first.
    current_serial: AtomicU64,
    /// The serial number of the request that has been given up, of which nothing more may reach the server.
    given_up_serial: AtomicU64,
    /// Follows the answer to the current request.
    chunks: Mutex<ChunkFollower>,
    idle_tracker: IdleTracker,
}

impl Progress {
    fn new(idle_tracker: IdleTracker) -> Self {
        Progress {
            on_written: Mutex::default(),
            in_head: AtomicBool::default(),
            current_serial: AtomicU64::default(),
            given_up_serial: AtomicU64::default(),
            chunks: Mutex::default(),
            idle_tracker,
        }
    }

    fn on_written(&self) -> MutexGuard<'_, Option<OnWritten>> {
        self.on_written.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn chunks(&self) -> MutexGuard<'_, ChunkFollower> {
        self.chunks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns true if this request was handed over to the connection last.
    fn is_current(&self, serial: u64) -> bool {
        self.current_serial.load(Ordering::Relaxed) == serial
    }

    /// Returns true if the request on the connection has been given up.
    fn is_given_up(&self) -> bool {
        let given_up_serial = self.given_up_serial.load(Ordering::Relaxed);
        given_up_serial > 0 && given_up_serial == self.current_serial.load(Ordering::Relaxed)
    }
}

/// The state of the exchange of a request and its answer on a connection.
enum Exchange {
    /// A request is being written, or the connection is new.
    Writing,
    /// All of the request has been written.
    Written,
    /// Bytes of the answer have arrived, the last of them at this instant.
    Answering(Instant),
    /// The next request waits until the delay after the answer is over.
    AwaitingReuse(Pin<Box<Sleep>>),
}

/// A connection to a peer.
pub struct PeerConnection {
    io: TokioIo<TcpStream>,
    exchange: Exchange,
    /// The last bytes read, by which the end of a head is recognised.
    last_bytes: [u8; 4],
    progress: Arc<Progress>,
    _permit: ConnectionPermit,
}

impl Connection for PeerConnection {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.progress.clone())
    }
}

impl PeerConnection {
    /// Ready once a request may be written: when the delay after the last answer is over and nothing has arrived since.
    fn poll_write_ready(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper would write what it has buffered before it closes the connection, even much later, when the server
        // reads again.
        if self.progress.is_given_up() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionAborted, "request given up")));
        }
        match &mut self.exchange {
            Exchange::Writing | Exchange::Written => {}
            Exchange::Answering(last_byte) => {
                let mut delay = Box::pin(sleep_until(*last_byte + REUSE_DELAY));
                let waited = delay.as_mut().poll(cx);
                self.exchange = Exchange::AwaitingReuse(delay);
                ready!(waited);
                self.check_nothing_received()?;
            }
            Exchange::AwaitingReuse(delay) => {
                ready!(delay.as_mut().poll(cx));
                self.check_nothing_received()?;
            }
        }
        self.exchange = Exchange::Writing;
        Poll::Ready(Ok(()))
    }

    /// Fails if anything has arrived on the connection, which can't be used any more then. This reads from the socket
    /// itself, as the runtime may not have noticed the latest bytes yet.
    fn check_nothing_received(&mut self) -> io::Result<()> {
        self.progress.in_head.store(false, Ordering::Relaxed);
        let socket = SockRef::from(self.io.inner());
        match io::Read::read(&mut &*socket, &mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            _ => Err(unsolicited_answer()),
        }
    }
}

/// The error for an answer that no request on its connection has asked for.
fn unsolicited_answer() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "the server sent an answer to no request")
}

impl Read for PeerConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let connection = &mut *self;
        if connection.progress.idle_tracker.must_close(cx) {
            return Poll::Ready(Ok(()));
        }
        let mut buffer = [0; READ_SIZE];
        let limit = buf.remaining().min(READ_SIZE);
        let mut received = ReadBuf::new(&mut buffer[..limit]);
        ready!(Pin::new(connection.io.inner_mut()).poll_read(cx, &mut received))?;
        if !received.filled().is_empty() {
            match connection.exchange {
                Exchange::AwaitingReuse(_) => return Poll::Ready(Err(unsolicited_answer())),
                Exchange::Written | Exchange::Answering(_) => {
                    connection.exchange = Exchange::Answering(Instant::now())
                }
                Exchange::Writing => {}
            }
        }
        for byte in received.filled().iter().rev().take(4).rev() {
            connection.last_bytes =
                [connection.last_bytes[1], connection.last_bytes[2], connection.last_bytes[3], *byte];
        }
        let in_head = !received.filled().is_empty() && connection.last_bytes != *b"\r\n\r\n";
        connection.progress.in_head.store(in_head, Ordering::Relaxed);
        connection.progress.chunks().feed(received.filled());
        buf.put_slice(received.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for PeerConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_ready(cx))?;
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_ready(cx))?;
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    /// hyper flushes the socket only once its own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if matches!(self.exchange, Exchange::Writing) {
            self.exchange = Exchange::Written;
        }
        let on_written = self.progress.on_written().take();
        if let Some(on_written) = on_written {
            on_written();
        }
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.progress.is_given_up() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

impl Drop for PeerConnection {
    /// Resets the connection if its request has been given up. Otherwise the system would go on sending what a silent
    /// server has not acknowledged, even after a network failure has ended, and the request would run then.
    fn drop(&mut self) {
        self.progress.idle_tracker.mark_busy();
        if self.progress.is_given_up() {
            let _ = SockRef::from(self.io.inner()).set_linger(Some(Duration::ZERO));
        }
    }
}

/// A request's body that records on its connection when it has been handed over.
pub struct TrackedBody {
    body: Option<Bytes>,
    connection: Option<CaptureConnection>,
    serial: u64,
    /// The callback for when the request has been written; kept here until the body is handed over.
    on_written: Mutex<Option<OnWritten>>,
}

/// The serial number of the next request; 0 stands for no request.
static NEXT_SERIAL: AtomicU64 = AtomicU64::new(1);

impl TrackedBody {
    /// Creates an empty body that is not tracked.
    pub fn empty() -> Self {
        TrackedBody { body: None, connection: None, serial: 0, on_written: Mutex::default() }
    }

    /// Attaches a body to a request, and returns the request with a tracker that reports how far it gets. The callback
    /// is called when the last byte of the request has been written.
    pub fn attach(
        mut head: http::Request<()>,
        body: Bytes,
        on_written: OnWritten,
    ) -> (http::Request<TrackedBody>, RequestTracker) {
        let (connection, written) = (capture_connection(&mut head), Arc::<AtomicBool>::default());
        let mark_written = written.clone();
        let on_written: OnWritten = Box::new(move || {
            mark_written.store(true, Ordering::Relaxed);
            on_written();
        });
        let serial = NEXT_SERIAL.fetch_add(1, Ordering::Relaxed);
        let body = TrackedBody {
            body: Some(body),
            connection: Some(connection.clone()),
            serial,
            on_written: Mutex::new(Some(on_written)),
        };
        (head.map(|()| body), RequestTracker { connection, serial, written })
    }

    /// Records that all of the request is in the connection's buffer from now on.
    fn hand_over(&self) {
        let Some(progress) = self.connection.as_ref().and_then(progress_of) else { return };
        if let Some(on_written) = self.on_written.lock().unwrap_or_else(PoisonError::into_inner).take() {
            progress.in_head.store(false, Ordering::Relaxed);
            progress.idle_tracker.mark_busy();
            progress.current_serial.store(self.serial, Ordering::Relaxed);
            *progress.chunks() = ChunkFollower::default();
            *progress.on_written() = Some(on_written);
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let Some(body) = self.body.take() else { return Poll::Ready(None) };
        self.hand_over();
        Poll::Ready(Some(Ok(Frame::data(body))))
    }

    /// Of an empty body hyper calls only this, when it puts the head into its buffer, so it counts as the hand-over.
    fn is_end_stream(&self) -> bool {
        if self.body.as_ref().is_some_and(Bytes::is_empty) {
            self.hand_over();
        }
        self.body.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.body.as_ref().map_or(0, |body| body.len() as u64))
    }
}

/// Returns the progress of the connection that a request has been given, if it has one.
fn progress_of(connection: &CaptureConnection) -> Option<Arc<Progress>> {
    let mut extras = http::Extensions::new();
    connection.connection_metadata().as_ref()?.get_extras(&mut extras);
    extras.get::<Arc<Progress>>().cloned()
}

/// What the chunks of an answer tell of its server.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerChunks {
    /// How many bytes of the body precede a chunk that is larger than any event, if there is one.
    pub oversized_after: Option<u64>,
    /// The server is in the middle of a chunk.
    pub is_within_chunk: bool,
}

/// Reports how far a request has got. Dropping it gives the request up if it has not been written by then.
pub struct RequestTracker {
    connection: CaptureConnection,
    serial: u64,
    written: Arc<AtomicBool>,
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        if !self.written.load(Ordering::Relaxed) {
            self.give_up();
        } else if let Some(progress) =
            progress_of(&self.connection).filter(|progress| progress.is_current(self.serial))
        {
            progress.idle_tracker.mark_idle();
        }
    }
}

impl RequestTracker {
    /// Returns how far the request is known to have got by what was written. The server's answer is not considered
    /// here.
    pub fn evidence(&self) -> Evidence {
        match self.connection.connection_metadata().is_some() {
            _ if self.written.load(Ordering::Relaxed) => Evidence::Written,
            true => Evidence::Connected,
            false => Evidence::Decided,
        }
    }

    /// Returns true if the request may have run: if its last byte was written before this error.
    pub fn may_have_run(&self, error: &Error) -> bool {
        !error.is_connect() && self.evidence().may_have_arrived()
    }

    /// Makes sure that nothing more of the request reaches its server: its connection writes no more, and is reset when
    /// it closes. If the connection already carries another request, that one is not affected.
    pub fn give_up(&self) {
        if let Some(progress) = progress_of(&self.connection) {
            progress.given_up_serial.store(self.serial, Ordering::Relaxed);
        }
    }

    /// Returns what the chunks of the answer tell of the server so far.
    pub fn answer_chunks(&self) -> AnswerChunks {
        let progress = progress_of(&self.connection).filter(|progress| progress.is_current(self.serial));
        progress.map_or(AnswerChunks::default(), |progress| {
            let chunks = progress.chunks();
            AnswerChunks {
                oversized_after: chunks.oversized_after(),
                is_within_chunk: chunks.is_within_chunk(),
            }
        })
    }

    /// Returns once the head of an answer has begun and does not end in time. Interim answers (1xx) have heads of their
    /// own.
    pub async fn stalled_head(&self) {
        let in_head =
            || progress_of(&self.connection).is_some_and(|progress| progress.in_head.load(Ordering::Relaxed));
        loop {
            tokio::time::sleep(HEAD_TIMEOUT / 2).await;
            if in_head() {
                tokio::time::sleep(HEAD_TIMEOUT / 2).await;
                if in_head() {
                    return;
                }
            }
        }
    }
}

/// Returns true if the answer can't be parsed, as opposed to a connection that broke. Such an answer says nothing about
/// the server's health.
pub fn is_unreadable(error: &(dyn std::error::Error + 'static)) -> bool {
    std::iter::successors(Some(error), |error| error.source()).any(|error| {
        let http = error.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse);
        let bytes = error.downcast_ref::<io::Error>().map(io::Error::kind);
        http || matches!(bytes, Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput))
    })
}
