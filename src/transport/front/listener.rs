//! Accepts client connections and serves routes on them with hyper's server connection. axum's own accept loop can't
//! close a connection on which nothing arrives, and hyper accepts a head with two framings as valid. A gate between
//! the socket and hyper therefore checks each head.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsRawFd;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use bytes::{Buf, BytesMut};
use http::header::{CONNECTION, TRANSFER_ENCODING};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tower::Service;

use super::body::Arrival;
use super::connection::{Connection, ConnectionGuard, Connections, Expiry};
use crate::protocol::framing::{Framing, MAX_HEAD_BYTES, framing, without_unread_fields};
use crate::protocol::platform::MAX_BODY_BYTES;
use crate::recovery::{Phase, Socket};
use crate::transport::listen;

/// Size of the read buffer while a head is awaited, in bytes.
const READ_BYTES: usize = 2048;
/// The most that is read at once of a body, in bytes: less than hyper's first buffer, which it enlarges for reads that fill it.
const MAX_READ_BYTES: usize = 4 * 1024;
/// The most that hyper buffers of a request or an answer, in bytes; it has to hold the largest head.
const HTTP_BUFFER_BYTES: usize = MAX_HEAD_BYTES + READ_BYTES;
/// A text that no parser accepts as a head. It replaces an invalid head, so that hyper answers with 400 and closes the
/// connection.
const INVALID_HEAD: &[u8] = b"-\r\n\r\n";
/// The answer to a head that is still incomplete when the program has to refuse it.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// The answer to a head that is incomplete when its time is over.
const TIMED_OUT: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// How many bytes are read and discarded after the last answer: twice the size of the largest accepted body.
const MAX_DISCARDED_BYTES: usize = 2 * MAX_BODY_BYTES;
/// How long to wait for the client to close its side. If the connection were closed at once, bytes that the client still
/// sends would reset it, and the client would lose what it has not read of the answer yet.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// A listener that accepts no more connections than the budget allows; others wait in the kernel's queue.
pub struct Listener {
    listener: TcpListener,
    socket: Socket,
    connections: Connections,
}

impl Listener {
    /// Listens on an address.
    pub async fn bind(address: &str, connections: Connections) -> io::Result<Self> {
        Ok(Listener { listener: listen::bind(address).await?, socket: Socket::Own, connections })
    }

    /// Listens on an inherited socket, which other processes may hold as well.
    pub fn adopt(listener: std::net::TcpListener, connections: Connections) -> io::Result<Self> {
        Ok(Listener { listener: TcpListener::from_std(listener)?, socket: Socket::Shared, connections })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Waits for a permit of the budget, then for a connection.
    async fn accept(&self) -> (Gate, ConnectionGuard) {
        let permit = self.connections.acquire_permit().await;
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    // Without this option events would wait for the client's acknowledgements. If it can't be set, the
                    // connection still works.
                    let _ = stream.set_nodelay(true);
                    let guard = self.connections.register(permit);
                    let gate = Gate {
                        stream: Arc::new(stream),
                        connection: guard.connection.clone(),
                        pending: BytesMut::new(),
                        passable: 0,
                        reading: Reading::Head,
                        head_started: false,
                        has_passed_head: false,
                        parse_at: 0,
                    };
                    return (gate, guard);
                }
                // The connection is gone already, or descriptors ran out despite the budget.
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    /// Accepts connections during the phases that allow it, then waits until the open ones have ended. After the last
    /// accept only this process's descriptor is closed: other processes may go on accepting from the socket.
    pub async fn serve(self, routes: Router) {
        let mut phases = self.connections.phases();
        let socket = self.socket;
        let _ = phases.wait_for(|phase| phase.accepts_from(socket) || *phase >= Phase::Draining).await;
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                _ = phases.wait_for(|phase| !phase.accepts_from(socket)) => break,
                (gate, guard) = self.accept() => drop(tasks.spawn(serve_and_close(gate, guard, routes.clone()))),
                Some(_) = tasks.join_next() => {}
            }
        }
        drop(self);
        while tasks.join_next().await.is_some() {}
    }
}

/// Serves a connection and closes it. Its permit is returned to the budget only after the close.
async fn serve_and_close(gate: Gate, guard: ConnectionGuard, routes: Router) {
    let stream = gate.stream.clone();
    // When this returns, requests that still wait for an answer have been dropped, before the lingering close.
    serve(gate, routes).await;
    linger(&stream).await;
    drop((stream, guard));
}

/// Closes a connection with a lingering close: shuts down the write side, then reads and discards what still arrives
/// until the client closes its side. Nothing that is read here is treated as a request.
pub(super) async fn linger(stream: &TcpStream) {
    // The connection has already been closed by the client or the system.
    if SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let discard = async {
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES && stream.readable().await.is_ok() {
            let mut buffer = [0; 8 * READ_BYTES];
            match stream.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(length) => discarded += length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = tokio::time::timeout(LINGER_TIMEOUT, discard).await;
}

/// Serves a connection until it ends, it is idle for too long, a request arrives too late, or it is evicted.
async fn serve(gate: Gate, routes: Router) {
    let connection = gate.connection.clone();
    let stream = gate.stream.clone();
    let mut hang_up = pin!(wait_for_hang_up(stream.clone()));
    let mut phases = connection.phases();
    let mut client_gone = false;
    let service = service_fn(|request| answer(request, routes.clone(), connection.clone()));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(HTTP_BUFFER_BYTES);
    let mut http = pin!(builder.serve_connection(TokioIo::new(gate), service));
    // Each poll reads what has arrived. hyper notices that the client has closed only when it has nothing more to read,
    // so a pipelined request would hide the close.
    let mut poll_connection = |cx: &mut Context<'_>| {
        let was_busy = connection.is_busy();
        let ended = http.as_mut().poll(cx).is_ready();
        // A request that has just been read is still on its way to the hub, so this check is in time to stop it.
        client_gone = client_gone || hang_up.as_mut().poll(cx).is_ready();
        client_gone = client_gone || !was_busy && connection.is_busy() && has_hung_up(&stream);
        ended || client_gone && connection.is_busy()
    };
    loop {
        if connection.is_head_shed() {
            return answer_shed_head(&stream);
        }
        let close_at = connection.close_at();
        if close_at.is_some_and(|at| at <= Instant::now()) {
            match connection.expire() {
                Expiry::Evicted | Expiry::IncompleteHead => {}
                Expiry::Stalled => {
                    tracing::warn!(target: "birchspur::drain", "gave up a client that takes nothing of its answer");
                    return;
                }
            }
            // The gate checks once more for what has just arrived. It ends the connection if that is no request.
            let ended = poll_fn(|cx| Poll::Ready(poll_connection(cx))).await;
            let is_head_incomplete = connection.is_incomplete_after_last_read();
            if ended || connection.is_evicted() {
                return;
            }
            if is_head_incomplete {
                answer_incomplete_head(&stream, &connection);
                return;
            }
            continue;
        }
        let ended = poll_fn(|cx| if poll_connection(cx) { Poll::Ready(()) } else { Poll::Pending });
        tokio::select! {
            () = ended => return,
            () = connection.changed.notified() => {}
            () = connection.arrival.shed(), if !connection.arrival.is_shed() => {}
            Ok(()) = phases.changed() => {}
            () = crate::transport::clock::sleep_until(close_at) => {}
        }
    }
}

/// Answers a head that is given up: it is refused if the program no longer accepts requests, otherwise it took too long.
/// Its rest may be on its way, and the client is owed a final answer then.
fn answer_incomplete_head(stream: &TcpStream, connection: &Connection) {
    let refused = connection.refuses_requests();
    tracing::debug!(target: "birchspur::front", refused, "gave up a request with an incomplete head");
    // All answers before it are written, so this one fits into the system's buffer.
    let _ = stream.try_write(if refused { REFUSAL } else { TIMED_OUT });
}

/// Refuses a request whose head has been shed, as memory is needed for others.
fn answer_shed_head(stream: &TcpStream) {
    tracing::debug!(target: "birchspur::memory", "refused a request with an incomplete head");
    let _ = stream.try_write(REFUSAL);
}

/// Returns once the client has shut down its write side or reset the connection, even if unread bytes precede that.
/// The interest covers urgent data and this end; urgent data is never reported because sockets are registered for
/// plain data only.
async fn wait_for_hang_up(stream: Arc<TcpStream>) {
    let _ = stream.ready(Interest::PRIORITY).await;
}

/// Asks the system whether the client has shut down its write side or reset the connection by now. The runtime
/// considers a stream that it has just accepted to be readable, before it has received the event for that end.
#[allow(unsafe_code, reason = "only a system call shows an end that lies behind unread bytes")]
fn has_hung_up(stream: &TcpStream) -> bool {
    let mut poll_fd = libc::pollfd { fd: stream.as_raw_fd(), events: libc::POLLRDHUP, revents: 0 };
    // SAFETY: the pointer refers to one entry, which outlives the call; the descriptor belongs to the borrowed stream.
    let ready_count = unsafe { libc::poll(&raw mut poll_fd, 1, 0) };
    ready_count > 0 && poll_fd.revents & (libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR) != 0
}

/// Reads directly from the socket what has arrived, without waiting: it may have arrived since the runtime's last readiness
/// event.
fn read_arrived(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    (&*SockRef::from(stream)).read(buffer)
}

/// Reads from a connection; waits while nothing has arrived.
fn read(stream: &TcpStream, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read(buf.initialize_unfilled()) {
            Ok(read) => {
                buf.advance(read);
                return Poll::Ready(Ok(()));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// Retries a write operation, each time the connection becomes writable, until it doesn't report `WouldBlock`.
fn write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    operation: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match operation(stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}

/// Answers a request with the routes, and decides whether the connection closes after the answer.
async fn answer(
    request: Request<Incoming>,
    mut routes: Router,
    connection: Arc<Connection>,
) -> Result<Response<AnswerBody>, Infallible> {
    let mut request = request.map(Body::new);
    let deadline = connection.open_request();
    request.extensions_mut().insert(Arrival { deadline, connection: connection.clone() });
    let busy = BusyGuard(connection);
    let mut close_after = request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = routes.call(request).await?;
    close_after |= [StatusCode::REQUEST_TIMEOUT, StatusCode::PAYLOAD_TOO_LARGE].contains(&response.status());
    close_after |= busy.0.decide_last_answer();
    if close_after {
        // The gate does not know where a chunked request or one with an unread body ends, so nothing behind it may be
        // treated as another request.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| AnswerBody { body, _busy: busy }))
}

/// Marks a connection as busy until the answer is complete or given up.
struct BusyGuard(Arc<Connection>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.answered();
    }
}

/// The body of an answer, which keeps its connection marked as busy.
struct AnswerBody {
    body: Body,
    _busy: BusyGuard,
}

impl http_body::Body for AnswerBody {
    type Data = bytes::Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<bytes::Bytes>, axum::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The part of a request that the gate is reading.
enum Reading {
    /// A head, which is held back until it is complete.
    Head,
    /// A body of which this many bytes are still to arrive.
    Body(u64),
    /// Everything that arrives is passed on; the connection ends with this request.
    Rest,
}

/// A client connection that passes only complete and unambiguous heads on to hyper.
struct Gate {
    /// Shared with the futures that wait for the client to close its side.
    stream: Arc<TcpStream>,
    connection: Arc<Connection>,
    /// Bytes that have been read from the stream and not passed on yet.
    pending: BytesMut,
    /// How many of the pending bytes may be passed on.
    passable: usize,
    reading: Reading,
    /// The pending bytes are the beginning of a head that the connection has been told of.
    head_started: bool,
    /// A head has been passed on since the task last let others run.
    has_passed_head: bool,
    /// An incomplete head without a further line is parsed again only once this many bytes are pending, so that the work
    /// does not grow with the square of its length.
    parse_at: usize,
}

impl Gate {
    /// Tells the connection of each head once, as soon as its first bytes are pending.
    fn report_head(&mut self) {
        if !self.pending.is_empty() && !std::mem::replace(&mut self.head_started, true) {
            self.connection.head_started();
        }
    }

    /// Parses the pending bytes as a head, and makes them passable once the head is complete.
    fn parse_head(&mut self) {
        match framing(&self.pending) {
            Framing::Partial => self.parse_at = 2 * self.pending.len(),
            Framing::Sized(head, body) => {
                self.head_started = false;
                self.pass_head(head);
                self.reading = if body == 0 { Reading::Head } else { Reading::Body(body) };
            }
            Framing::Chunked(head) => {
                self.pass_head(head);
                self.reading = Reading::Rest;
            }
            Framing::Malformed => {
                self.pending = BytesMut::from(INVALID_HEAD);
                self.passable = INVALID_HEAD.len();
                self.reading = Reading::Rest;
            }
        }
    }

    /// Makes the complete head at the start of the pending bytes passable, without the fields that nobody reads.
    fn pass_head(&mut self, head_length: usize) {
        let head = without_unread_fields(&self.pending[..head_length]);
        self.passable = head.len();
        self.parse_at = 0;
        self.has_passed_head = true;
        let mut pending = BytesMut::from(&head[..]);
        pending.extend_from_slice(&self.pending[head_length..]);
        self.pending = pending;
        self.connection.arrival.clear_head();
    }

    /// Adds what has been read to the pending head. Returns false if there is no memory for it.
    fn append_to_head(&mut self, bytes: &[u8]) -> bool {
        self.pending.extend_from_slice(bytes);
        if bytes.contains(&b'\n') {
            self.parse_at = 0;
        }
        let beyond_first_read = self.pending.capacity().saturating_sub(READ_BYTES);
        beyond_first_read == 0 || self.connection.arrival.resize_head(beyond_first_read).is_ok()
    }

    /// Returns true if another head waits although one has been passed on in this turn. Others get theirs first: a client that
    /// sends many requests at once has one of them handled in a turn.
    fn yields_to_others(&mut self, cx: &Context<'_>) -> bool {
        let yields = std::mem::take(&mut self.has_passed_head);
        if yields {
            cx.waker().wake_by_ref();
        }
        yields
    }

    /// Passes on the passable bytes, as far as the buffer has space. Returns false if nothing was passed on.
    fn pass_on(&mut self, buf: &mut ReadBuf<'_>) -> bool {
        let length = self.passable.min(buf.remaining());
        buf.put_slice(&self.pending[..length]);
        self.pending.advance(length);
        self.passable -= length;
        if self.pending.is_empty() {
            // Gives back the buffer of a large head.
            self.pending = BytesMut::new();
        }
        if length > 0 && self.passable == 0 && matches!(self.reading, Reading::Head) {
            self.report_head();
        }
        length > 0
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let gate = &mut *self;
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        loop {
            if gate.pass_on(buf) {
                return Poll::Ready(Ok(()));
            }
            match gate.reading {
                Reading::Head => {
                    if !gate.pending.is_empty() {
                        gate.report_head();
                        if !gate.connection.is_last_read() && gate.yields_to_others(cx) {
                            return Poll::Pending;
                        }
                        if gate.pending.len() >= gate.parse_at {
                            gate.parse_head();
                        }
                        if gate.passable > 0 {
                            continue;
                        }
                    }
                    if gate.connection.arrival.is_shed() {
                        // The connection ends with the answer that is owed for what it has sent.
                        return Poll::Pending;
                    }
                    let mut buffer = [0; READ_BYTES];
                    let mut read_buf = ReadBuf::new(&mut buffer);
                    if gate.pending.is_empty() && gate.connection.is_evicted() {
                        // If no request has arrived, the connection ends.
                        let received =
                            read_arrived(&gate.stream, read_buf.initialize_unfilled()).unwrap_or(0);
                        read_buf.advance(received);
                    } else if gate.connection.is_last_read() {
                        match read_arrived(&gate.stream, read_buf.initialize_unfilled()) {
                            Ok(received) => read_buf.advance(received),
                            // Nothing more has arrived, so the head is given up.
                            Err(_) => return Poll::Pending,
                        }
                    } else {
                        ready!(read(&gate.stream, cx, &mut read_buf))?;
                    }
                    if read_buf.filled().is_empty() {
                        return Poll::Ready(Ok(()));
                    }
                    if !gate.append_to_head(read_buf.filled()) {
                        // The connection is answered and closed by the task that serves it.
                        cx.waker().wake_by_ref();
                        return Poll::Pending;
                    }
                }
                Reading::Body(left) if !gate.pending.is_empty() => {
                    gate.passable = usize::try_from(left).unwrap_or(usize::MAX).min(gate.pending.len());
                    gate.count_body_bytes(gate.passable);
                }
                Reading::Body(left) => {
                    let limit = usize::try_from(left).unwrap_or(usize::MAX).min(buf.remaining());
                    let limit = limit.min(MAX_READ_BYTES);
                    let mut read_buf = ReadBuf::new(buf.initialize_unfilled_to(limit));
                    ready!(read(&gate.stream, cx, &mut read_buf))?;
                    let read = read_buf.filled().len();
                    buf.advance(read);
                    gate.count_body_bytes(read);
                    return Poll::Ready(Ok(()));
                }
                Reading::Rest if !gate.pending.is_empty() => gate.passable = gate.pending.len(),
                Reading::Rest => {
                    let limit = buf.remaining().min(MAX_READ_BYTES);
                    let mut read_buf = ReadBuf::new(buf.initialize_unfilled_to(limit));
                    ready!(read(&gate.stream, cx, &mut read_buf))?;
                    let read = read_buf.filled().len();
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl Gate {
    /// Counts bytes of the body as read.
    fn count_body_bytes(&mut self, read: usize) {
        if let Reading::Body(left) = self.reading {
            let left = left.saturating_sub(read as u64);
            self.reading = if left == 0 { Reading::Head } else { Reading::Body(left) };
        }
    }
}

impl AsyncWrite for Gate {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = write(&self.stream, cx, |stream| stream.try_write(buf));
        self.connection.set_stalled(written.is_pending());
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = write(&self.stream, cx, |stream| stream.try_write_vectored(bufs));
        self.connection.set_stalled(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        match SockRef::from(&*self.stream).shutdown(Shutdown::Write) {
            // `NotConnected`: the client has already closed the connection.
            Err(error) if error.kind() != io::ErrorKind::NotConnected => Poll::Ready(Err(error)),
            _ => Poll::Ready(Ok(())),
        }
    }
}
