//! Takes clients' connections in and serves routes on them: hyper's server connection, with a gate before it
//! for what that can't be told to do. axum's own loop can't close a connection that says nothing, and hyper
//! takes a head with two framings for a good one.

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

use super::connection::{Connection, Connections, Place};
use crate::protocol::framing::{Framing, framing};
use crate::protocol::platform::MAX_BODY_BYTES;
use crate::recovery::{Phase, Socket};

/// Bytes read at once while a head is awaited.
const READ: usize = 2048;
/// What no parser takes for a head: hyper answers it with 400 and closes.
const NO_HEAD: &[u8] = b"-\r\n\r\n";
/// Bytes that are passed over behind the last answer: twice a body that is refused for its length.
const PASSED_OVER: usize = 2 * MAX_BODY_BYTES;
/// The client's end is waited for so long: what it still sends would otherwise have the connection reset, and with it
/// what it has not read yet of the answer.
const LINGER: Duration = Duration::from_millis(200);

/// A listener that takes no more connections than the budget has room for; others wait in the kernel's queue.
pub struct Listener {
    listener: TcpListener,
    socket: Socket,
    connections: Connections,
}

/// The time by which a request's body has to be there.
#[derive(Clone, Copy)]
pub struct WholeBy(pub Instant);

impl Listener {
    /// Listens on an address.
    pub async fn bind(address: &str, connections: Connections) -> io::Result<Self> {
        Ok(Listener { listener: TcpListener::bind(address).await?, socket: Socket::Own, connections })
    }

    /// Listens on a socket that somebody else opened, and that others may hold as well.
    pub fn adopt(listener: std::net::TcpListener, connections: Connections) -> io::Result<Self> {
        Ok(Listener { listener: TcpListener::from_std(listener)?, socket: Socket::Shared, connections })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    async fn accept(&self) -> (Gate, Place) {
        let permit = self.connections.room().await;
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    // Without it events would wait for the client's acknowledgements; the rest still works.
                    let _ = stream.set_nodelay(true);
                    let place = self.connections.enter(permit);
                    let gate = Gate {
                        stream: Arc::new(stream),
                        connection: place.connection.clone(),
                        held: BytesMut::new(),
                        pass: 0,
                        reading: Reading::Head,
                    };
                    return (gate, place);
                }
                // A connection that is gone already, or descriptors that ran out all the same.
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    /// Serves in the phases in which connections are taken here, then finishes what is open. The own descriptor is
    /// closed, and no more: others may go on with the socket.
    pub async fn serve(self, routes: Router) {
        let mut phases = self.connections.phases();
        let socket = self.socket;
        let _ = phases.wait_for(|phase| phase.accepts_from(socket) || *phase >= Phase::Draining).await;
        let mut open = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                _ = phases.wait_for(|phase| !phase.accepts_from(socket)) => break,
                (gate, place) = self.accept() => drop(open.spawn(tend(gate, place, routes.clone()))),
                Some(_) = open.join_next() => {}
            }
        }
        drop(self);
        while open.join_next().await.is_some() {}
    }
}

/// Keeps one connection from its start to its close; its place is free only then.
async fn tend(gate: Gate, place: Place, routes: Router) {
    let stream = gate.stream.clone();
    // Whatever waits for an answer here is dropped before the client's end is waited for.
    serve(gate, routes).await;
    linger(&stream).await;
    drop((stream, place));
}

/// Ends a connection: its write side is shut, and what still comes is passed over until the client ends it as well.
/// Nothing that is read from then on is a request.
pub(super) async fn linger(stream: &TcpStream) {
    // The client has ended it all already, or the system has.
    if SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let pass_over = async {
        let mut passed_over = 0;
        while passed_over < PASSED_OVER && stream.readable().await.is_ok() {
            let mut space = [0; 8 * READ];
            match stream.try_read(&mut space) {
                Ok(0) => return,
                Ok(more) => passed_over += more,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = tokio::time::timeout(LINGER, pass_over).await;
}

/// Serves one connection until it ends, is idle or late for too long, or has to go.
async fn serve(gate: Gate, routes: Router) {
    let connection = gate.connection.clone();
    let stream = gate.stream.clone();
    let mut hung_up = pin!(hung_up(stream.clone()));
    let mut gone = false;
    let service = service_fn(|request| answer(request, routes.clone(), connection.clone()));
    let mut http = pin!(http1::Builder::new().serve_connection(TokioIo::new(gate), service));
    // Each look reads what has come. hyper looks for the client's end only while it has nothing more to read, so a
    // further request hides it.
    let mut look = |cx: &mut Context<'_>| {
        let was_busy = connection.is_busy();
        let ended = http.as_mut().poll(cx).is_ready();
        // A request that has just been read is still on its way to the module, so this is in time for it.
        gone = gone || hung_up.as_mut().poll(cx).is_ready();
        gone = gone || !was_busy && connection.is_busy() && has_hung_up(&stream);
        ended || gone && connection.is_busy()
    };
    loop {
        let ends = connection.ends();
        if ends.is_some_and(|at| at <= Instant::now()) {
            if !connection.overdue() {
                return;
            }
            // The gate looks once more for a request that has just come, and ends the connection if there is none.
            let ended = poll_fn(|cx| Poll::Ready(look(cx))).await;
            if ended || connection.evicted() {
                return;
            }
            continue;
        }
        let ended = poll_fn(|cx| if look(cx) { Poll::Ready(()) } else { Poll::Pending });
        tokio::select! {
            () = ended => return,
            () = connection.stirred.notified() => {}
            () = crate::transport::clock::sleep_until(ends) => {}
        }
    }
}

/// Ends once the client has shut its side or reset the connection, also behind bytes that nobody has read. What it
/// waits for is urgent data or that end, and the first is never told: sockets are registered for plain data only.
async fn hung_up(stream: Arc<TcpStream>) {
    let _ = stream.ready(Interest::PRIORITY).await;
}

/// Whether the client has shut its side or reset the connection by now, as the system itself knows it. The runtime
/// takes a stream that it has just accepted for readable, before it has heard of that end.
#[allow(unsafe_code, reason = "what hides behind unread bytes can be asked only of the system")]
fn has_hung_up(stream: &TcpStream) -> bool {
    let mut asked = libc::pollfd { fd: stream.as_raw_fd(), events: libc::POLLRDHUP, revents: 0 };
    // SAFETY: one entry, which lives as long as the call; the descriptor is the stream's, which is borrowed.
    let told = unsafe { libc::poll(&raw mut asked, 1, 0) };
    told > 0 && asked.revents & (libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR) != 0
}

/// Reads what has come on a connection.
fn read(stream: &TcpStream, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read(out.initialize_unfilled()) {
            Ok(read) => {
                out.advance(read);
                return Poll::Ready(Ok(()));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// Writes by what is tried whenever a connection takes more.
fn write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    attempt: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match attempt(stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}

async fn answer(
    request: Request<Incoming>,
    mut routes: Router,
    connection: Arc<Connection>,
) -> Result<Response<Answer>, Infallible> {
    let mut request = request.map(Body::new);
    request.extensions_mut().insert(WholeBy(connection.open()));
    let busy = Busy(connection);
    let mut last = request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = routes.call(request).await?;
    last |= [StatusCode::REQUEST_TIMEOUT, StatusCode::PAYLOAD_TOO_LARGE].contains(&response.status());
    last |= busy.0.is_last();
    if last {
        // The gate does not know where such a request ends: nothing behind it may be taken for another.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| Answer { body, _busy: busy }))
}

/// Marks a connection as busy until the answer is made or given up.
struct Busy(Arc<Connection>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.answered();
    }
}

struct Answer {
    body: Body,
    _busy: Busy,
}

impl http_body::Body for Answer {
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

enum Reading {
    /// A head is awaited; what has come of it is held back until it is whole.
    Head,
    /// So many bytes of a body are still to come.
    Body(u64),
    /// All that comes passes; the connection ends with this request.
    Rest,
}

/// A client's connection, on which only whole and unambiguous heads pass.
struct Gate {
    /// Shared with whoever waits for the client's end.
    stream: Arc<TcpStream>,
    connection: Arc<Connection>,
    held: BytesMut,
    /// So much of what is held may pass.
    pass: usize,
    reading: Reading,
}

impl Gate {
    /// Looks at what is held while a head is awaited.
    fn look(&mut self) {
        match framing(&self.held) {
            Framing::Partial => {}
            Framing::Sized(head, body) => {
                self.pass = head;
                self.reading = if body == 0 { Reading::Head } else { Reading::Body(body) };
            }
            Framing::Chunked(head) => {
                self.pass = head;
                self.reading = Reading::Rest;
            }
            Framing::Malformed => {
                self.held = BytesMut::from(NO_HEAD);
                self.pass = NO_HEAD.len();
                self.reading = Reading::Rest;
            }
        }
    }

    /// Passes on what is held and may pass.
    fn hand_on(&mut self, out: &mut ReadBuf<'_>) -> bool {
        let most = self.pass.min(out.remaining());
        out.put_slice(&self.held[..most]);
        self.held.advance(most);
        self.pass -= most;
        if most > 0 && self.pass == 0 && matches!(self.reading, Reading::Head) {
            self.connection.ahead(!self.held.is_empty());
        }
        most > 0
    }
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let gate = &mut *self;
        if out.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        loop {
            if gate.hand_on(out) {
                return Poll::Ready(Ok(()));
            }
            match gate.reading {
                Reading::Head => {
                    if !gate.held.is_empty() {
                        gate.connection.arriving();
                        gate.look();
                        if gate.pass > 0 {
                            continue;
                        }
                    }
                    let mut space = [0; READ];
                    let mut part = ReadBuf::new(&mut space);
                    if gate.held.is_empty() && gate.connection.evicted() {
                        // Past what the runtime has heard of: it may have come since. Anything else is the end.
                        let came =
                            (&*SockRef::from(&*gate.stream)).read(part.initialize_unfilled()).unwrap_or(0);
                        part.advance(came);
                    } else {
                        ready!(read(&gate.stream, cx, &mut part))?;
                    }
                    if part.filled().is_empty() {
                        return Poll::Ready(Ok(()));
                    }
                    gate.held.extend_from_slice(part.filled());
                }
                Reading::Body(left) if !gate.held.is_empty() => {
                    gate.pass = usize::try_from(left).unwrap_or(usize::MAX).min(gate.held.len());
                    gate.count(gate.pass);
                }
                Reading::Body(left) => {
                    let most = usize::try_from(left).unwrap_or(usize::MAX).min(out.remaining());
                    let mut part = ReadBuf::new(out.initialize_unfilled_to(most));
                    ready!(read(&gate.stream, cx, &mut part))?;
                    let read = part.filled().len();
                    out.advance(read);
                    gate.count(read);
                    return Poll::Ready(Ok(()));
                }
                Reading::Rest if !gate.held.is_empty() => gate.pass = gate.held.len(),
                Reading::Rest => return read(&gate.stream, cx, out),
            }
        }
    }
}

impl Gate {
    /// So many bytes of the body have come.
    fn count(&mut self, read: usize) {
        if let Reading::Body(left) = self.reading {
            let left = left.saturating_sub(read as u64);
            self.reading = if left == 0 { Reading::Head } else { Reading::Body(left) };
        }
    }
}

impl AsyncWrite for Gate {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        write(&self.stream, cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        write(&self.stream, cx, |stream| stream.try_write_vectored(bufs))
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
            // The client has ended it all already.
            Err(error) if error.kind() != io::ErrorKind::NotConnected => Poll::Ready(Err(error)),
            _ => Poll::Ready(Ok(())),
        }
    }
}
