//! Connections to peers for hyper-util's client, and what is known of the bytes written to them.

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
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, Sleep, sleep_until};

use super::idle::{ConnectionBudget, IdleTracker};
use crate::protocol::settings::Links;
use crate::routing::{ConnectionChoice, Evidence};

/// Part of a server's idle limit after which a connection is no longer used: past the limit a request
/// written to it would end as a reset. The pool closes what is no longer used once in such a span, so that
/// under a half of the limit all are closed ahead of it.
const IDLE_PART: f64 = 0.45;
/// The most idle connections that are kept for one peer: idle ones must not use the budget up.
const MOST_IDLE: usize = 20;

/// Bytes read at once.
const READ: usize = 8 * 1024;
/// The largest head of an answer; what goes on beyond it is none.
const MOST_HEAD: usize = 64 * 1024;
/// A head that has begun and does not end within this does not end: its server has sent it at once.
const HEAD_WITHIN: Duration = Duration::from_millis(400);
/// After an answer a connection rests for this before it takes the next request: a second answer may come some
/// milliseconds late, and would be taken for that to the next one.
pub const REUSE_DELAY: Duration = Duration::from_millis(10);

/// The client for peers. It never sends anything again by itself.
pub type PeerClient = Client<Connector, TrackedBody>;

/// Makes a client that keeps connections.
pub fn client(links: Links, budget: ConnectionBudget) -> PeerClient {
    client_with(links, budget, MOST_IDLE)
}

/// The clients for the servers of a pool.
#[derive(Clone)]
pub struct Clients {
    keeping: PeerClient,
    dialling: PeerClient,
}

impl Clients {
    /// Makes them. All connections draw on the same budget.
    pub fn new(links: Links, budget: &ConnectionBudget) -> Self {
        Clients { keeping: client(links, budget.clone()), dialling: client_with(links, budget.clone(), 0) }
    }

    /// The client whose connections are of this choice.
    pub fn for_connection(&self, connection: ConnectionChoice) -> &PeerClient {
        match connection {
            ConnectionChoice::Any => &self.keeping,
            ConnectionChoice::New => &self.dialling,
        }
    }
}

fn client_with(links: Links, budget: ConnectionBudget, most_idle: usize) -> PeerClient {
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_idle_timeout(Duration::from_micros((links.idle as f64 * IDLE_PART) as u64))
        .pool_max_idle_per_host(most_idle)
        .http1_max_buf_size(MOST_HEAD)
        .pool_timer(TokioTimer::new())
        .timer(TokioTimer::new())
        .build(Connector { within: Duration::from_micros(links.connect), budget })
}

/// Opens connections within the time that the settings give and the descriptors that the budget has.
#[derive(Clone)]
pub struct Connector {
    within: Duration,
    budget: ConnectionBudget,
}

impl tower::Service<Uri> for Connector {
    type Response = PeerConnection;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<PeerConnection>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, to: Uri) -> Self::Future {
        let (within, budget) = (self.within, self.budget.clone());
        Box::pin(async move {
            let authority = to.authority().ok_or_else(|| io::Error::other("no address"))?;
            let connect = async {
                let permit = budget.acquire().await?;
                dial(authority.as_str()).await.map(|stream| (permit, stream))
            };
            let (permit, stream) = tokio::time::timeout(within, connect).await??;
            Ok(PeerConnection {
                io: TokioIo::new(stream),
                turn: Turn::Asking,
                last: [0; 4],
                progress: Arc::new(Progress::new(budget.idle_tracker())),
                _permit: permit,
            })
        })
    }
}

/// Connects to the first address that answers.
async fn dial(authority: &str) -> io::Result<TcpStream> {
    let mut last = io::Error::other("no address");
    for address in lookup_host(authority).await? {
        match dial_address(address).await {
            Ok(stream) => return Ok(stream),
            Err(error) => last = error,
        }
    }
    Err(last)
}

async fn dial_address(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Small writes go out at once.
    socket.set_nodelay(true)?;
    socket.connect(address).await
}

/// What is called when the last byte of a request has been written.
pub type OnWritten = Box<dyn FnOnce() + Send>;

/// How far the request that is on a connection has got.
struct Progress {
    /// Who is told, once, that all of it has been written; there from when its last byte is in the connection's buffer.
    tell: Mutex<Option<OnWritten>>,
    /// The last bytes that came do not end a head.
    amid: AtomicBool,
    /// Which request has the connection, as it was handed over last; 0 before the first.
    carries: AtomicU64,
    /// Which one has been given up: nothing more of it may come to the server.
    given_up: AtomicU64,
    idleness: IdleTracker,
}

impl Progress {
    fn new(idleness: IdleTracker) -> Self {
        Progress {
            tell: Mutex::default(),
            amid: AtomicBool::default(),
            carries: AtomicU64::default(),
            given_up: AtomicU64::default(),
            idleness,
        }
    }

    fn told(&self) -> MutexGuard<'_, Option<OnWritten>> {
        self.tell.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the connection was handed this request last.
    fn carries(&self, serial: u64) -> bool {
        self.carries.load(Ordering::Relaxed) == serial
    }

    /// Whether nobody waits for the request that it carries any more.
    fn given_up(&self) -> bool {
        let given_up = self.given_up.load(Ordering::Relaxed);
        given_up > 0 && given_up == self.carries.load(Ordering::Relaxed)
    }
}

/// Whose turn it is on a connection.
enum Turn {
    /// A request is being written.
    Asking,
    /// It is written whole.
    Asked,
    /// Bytes of its answer have come, the last ones then.
    Answered(Instant),
    /// The next request waits for the end of the rest.
    Resting(Pin<Box<Sleep>>),
}

/// A connection to a peer.
pub struct PeerConnection {
    io: TokioIo<TcpStream>,
    turn: Turn,
    last: [u8; 4],
    progress: Arc<Progress>,
    _permit: OwnedSemaphorePermit,
}

impl Connection for PeerConnection {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.progress.clone())
    }
}

impl PeerConnection {
    /// Ready once a request may be written: after the rest of the answer before it, if nothing has come since.
    fn poll_turn(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper would write what it has buffered before it closes, also long after, when the other side reads again.
        if self.progress.given_up() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionAborted, "given up")));
        }
        match &mut self.turn {
            Turn::Asking | Turn::Asked => {}
            Turn::Answered(at) => {
                let mut rest = Box::pin(sleep_until(*at + REUSE_DELAY));
                let rested = rest.as_mut().poll(cx);
                self.turn = Turn::Resting(rest);
                ready!(rested);
                self.expect_silence()?;
            }
            Turn::Resting(rest) => {
                ready!(rest.as_mut().poll(cx));
                self.expect_silence()?;
            }
        }
        self.turn = Turn::Asking;
        Poll::Ready(Ok(()))
    }

    /// What the runtime has not heard of yet counts, too: a connection on which anything has come is at its end.
    fn expect_silence(&mut self) -> io::Result<()> {
        self.progress.amid.store(false, Ordering::Relaxed);
        let socket = SockRef::from(self.io.inner());
        match io::Read::read(&mut &*socket, &mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            _ => Err(unasked()),
        }
    }
}

/// An answer that no request on its connection has asked for.
fn unasked() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "an answer to no request")
}

impl Read for PeerConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let link = &mut *self;
        if link.progress.idleness.must_close(cx) {
            return Poll::Ready(Ok(()));
        }
        let mut space = [0; READ];
        let most = buf.remaining().min(READ);
        let mut part = ReadBuf::new(&mut space[..most]);
        ready!(Pin::new(link.io.inner_mut()).poll_read(cx, &mut part))?;
        if !part.filled().is_empty() {
            match link.turn {
                Turn::Resting(_) => return Poll::Ready(Err(unasked())),
                Turn::Asked | Turn::Answered(_) => link.turn = Turn::Answered(Instant::now()),
                Turn::Asking => {}
            }
        }
        for byte in part.filled().iter().rev().take(4).rev() {
            link.last = [link.last[1], link.last[2], link.last[3], *byte];
        }
        let amid = !part.filled().is_empty() && link.last != *b"\r\n\r\n";
        link.progress.amid.store(amid, Ordering::Relaxed);
        buf.put_slice(part.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for PeerConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        ready!(self.poll_turn(cx))?;
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_turn(cx))?;
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    /// hyper flushes the socket only once its own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if matches!(self.turn, Turn::Asking) {
            self.turn = Turn::Asked;
        }
        let tell = self.progress.told().take();
        if let Some(tell) = tell {
            tell();
        }
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.progress.given_up() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

impl Drop for PeerConnection {
    /// The system would go on sending what a silent server has not acknowledged, also once a cut network is back, and
    /// the request would run then. A reset drops it.
    fn drop(&mut self) {
        self.progress.idleness.mark_busy();
        if self.progress.given_up() {
            let _ = SockRef::from(self.io.inner()).set_linger(Some(Duration::ZERO));
        }
    }
}

/// A body that marks on its connection when it has been handed over.
pub struct TrackedBody {
    body: Option<Bytes>,
    link: Option<CaptureConnection>,
    serial: u64,
    /// Who is to be told that it has been written, until it is handed over.
    tell: Mutex<Option<OnWritten>>,
}

/// The serial number of the next request.
static SERIAL: AtomicU64 = AtomicU64::new(1);

impl TrackedBody {
    /// An empty body, whose fate does not matter.
    pub fn empty() -> Self {
        TrackedBody { body: None, link: None, serial: 0, tell: Mutex::default() }
    }

    /// Gives a request its body, what is called when the last byte of that is written, and what will tell its fate.
    pub fn attach(
        mut head: http::Request<()>,
        body: Bytes,
        tell: OnWritten,
    ) -> (http::Request<TrackedBody>, RequestTracker) {
        let (link, written) = (capture_connection(&mut head), Arc::<AtomicBool>::default());
        let mark = written.clone();
        let tell: OnWritten = Box::new(move || {
            mark.store(true, Ordering::Relaxed);
            tell();
        });
        let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
        let body =
            TrackedBody { body: Some(body), link: Some(link.clone()), serial, tell: Mutex::new(Some(tell)) };
        (head.map(|()| body), RequestTracker { link, serial, written })
    }

    /// From now on all of the request stands in the connection's buffer.
    fn hand_over(&self) {
        let Some(progress) = self.link.as_ref().and_then(progress) else { return };
        if let Some(tell) = self.tell.lock().unwrap_or_else(PoisonError::into_inner).take() {
            progress.amid.store(false, Ordering::Relaxed);
            progress.idleness.mark_busy();
            progress.carries.store(self.serial, Ordering::Relaxed);
            *progress.told() = Some(tell);
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

    /// hyper asks this of an empty body, and nothing more, as it puts the head into its buffer.
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

fn progress(link: &CaptureConnection) -> Option<Arc<Progress>> {
    let mut extras = http::Extensions::new();
    link.connection_metadata().as_ref()?.get_extras(&mut extras);
    extras.get::<Arc<Progress>>().cloned()
}

/// Tells how far a request got once it has failed. Whoever drops it gives up what has not been written by then.
pub struct RequestTracker {
    link: CaptureConnection,
    serial: u64,
    written: Arc<AtomicBool>,
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        if !self.written.load(Ordering::Relaxed) {
            self.give_up();
        } else if let Some(progress) = progress(&self.link).filter(|progress| progress.carries(self.serial)) {
            progress.idleness.mark_idle();
        }
    }
}

impl RequestTracker {
    /// How far the request is known to have got on its way. What its server has said of it is not known here.
    pub fn evidence(&self) -> Evidence {
        match self.link.connection_metadata().is_some() {
            _ if self.written.load(Ordering::Relaxed) => Evidence::Written,
            true => Evidence::Connected,
            false => Evidence::Decided,
        }
    }

    /// Whether the last byte of the request was written before this error: only then may it have run.
    pub fn may_have_run(&self, error: &Error) -> bool {
        !error.is_connect() && self.evidence().may_have_arrived()
    }

    /// Has nothing more of the request come to its server: its connection writes no more, and is reset as it closes.
    /// Where the connection has gone on to another request, that one is left alone.
    pub fn give_up(&self) {
        if let Some(progress) = progress(&self.link) {
            progress.given_up.store(self.serial, Ordering::Relaxed);
        }
    }

    /// Ends when a head has begun and does not go on to its end. Answers ahead (1xx) are heads of their own.
    pub async fn stalled_head(&self) {
        let amid = || progress(&self.link).is_some_and(|progress| progress.amid.load(Ordering::Relaxed));
        loop {
            tokio::time::sleep(HEAD_WITHIN / 2).await;
            if amid() {
                tokio::time::sleep(HEAD_WITHIN / 2).await;
                if amid() {
                    return;
                }
            }
        }
    }
}

/// Whether what came can't be read, rather than broke off: that says nothing of the server's health.
pub fn is_unreadable(error: &(dyn std::error::Error + 'static)) -> bool {
    std::iter::successors(Some(error), |error| error.source()).any(|error| {
        let http = error.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse);
        let bytes = error.downcast_ref::<io::Error>().map(io::Error::kind);
        http || matches!(bytes, Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput))
    })
}
