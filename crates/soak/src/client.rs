//! Clients: each sends one request after the other on a connection that it keeps, and notes what comes back.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::http::{Reader, header, status};
use crate::record::{Micros, Record, Step, now};

/// How much longer than its own time a client waits before it takes a request for lost.
const BEYOND: Duration = Duration::from_secs(2);

/// A request as a client sends it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: &'static str,
    /// How long its client waits.
    pub wait: Duration,
}

impl Request {
    fn text(&self) -> String {
        let Request { id, class, wait } = self;
        let millis = wait.as_millis();
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\n\
             X-Service-Class: {class}\r\nX-Session-Key: s-{id}\r\nX-Time-Left-Ms: {millis}\r\n\
             X-Facts: prefix=5c0f,prompt_len=800,prefix_len=200,max_out=80\r\nContent-Length: 2\r\n\r\n{{}}"
        )
    }
}

/// How a request went for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Went {
    /// There is an answer, and the connection may be used again.
    Answered,
    /// There is an answer, and the connection has ended.
    AnsweredLast,
    /// The connection ended without an answer.
    Unanswered,
    /// No connection could be made: the request was not sent.
    NotSent,
}

/// Where clients connect: the program's listener behind the platform's front.
#[derive(Clone)]
pub struct Front {
    /// The address.
    pub address: String,
    /// The front brings no new connections any more.
    pub closed: Arc<AtomicBool>,
}

/// One client.
pub struct Client {
    front: Front,
    record: Record,
    wire: Option<Reader<TcpStream>>,
    /// When that connection came up.
    connected: Micros,
}

impl Client {
    /// A client of this front, with no connection yet.
    pub fn new(front: &Front, record: &Record) -> Self {
        Client { front: front.clone(), record: record.clone(), wire: None, connected: 0 }
    }

    fn note_sent(&self, request: &Request) {
        let (class, wait) = (request.class.to_string(), request.wait.as_micros() as Micros);
        self.record.note("client", &request.id, Step::Sent { class, wait, connected: self.connected });
    }

    async fn connect(&mut self) -> std::io::Result<()> {
        if self.wire.is_none() {
            if self.front.closed.load(Ordering::Relaxed) {
                return Err(std::io::ErrorKind::ConnectionRefused.into());
            }
            let stream = TcpStream::connect(&self.front.address).await?;
            stream.set_nodelay(true)?;
            self.wire = Some(Reader::new(stream));
            self.connected = now();
        }
        Ok(())
    }

    /// Sends a request and reads its answer. One that meets the end of a kept connection is sent once more on a new one.
    pub async fn ask(&mut self, request: &Request) -> Went {
        let kept = self.wire.is_some();
        let went = self.ask_once(request).await;
        if went == Went::Unanswered && kept {
            // Whether it was read before the connection ended is not known: it goes by a new id.
            let again = Request { id: format!("{}-again", request.id), ..request.clone() };
            self.record.note("client", &request.id, Step::Left);
            return self.ask_once(&again).await;
        }
        went
    }

    async fn ask_once(&mut self, request: &Request) -> Went {
        if self.connect().await.is_err() {
            return Went::NotSent;
        }
        let Some(mut wire) = self.wire.take() else { return Went::NotSent };
        if wire.stream.write_all(request.text().as_bytes()).await.is_err() {
            return Went::Unanswered;
        }
        self.note_sent(request);
        let until = Instant::now() + request.wait + BEYOND;
        let Ok(Ok(Some((head, _)))) = timeout_at(until, wire.head()).await else { return Went::Unanswered };
        self.record.note("client", &request.id, Step::Answered { status: status(&head).unwrap_or(0) });
        let whole = rest(&mut wire, &head).await;
        self.record.note("client", &request.id, Step::Ended { whole });
        let last = header(&head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !whole || last {
            return Went::AnsweredLast;
        }
        self.wire = Some(wire);
        Went::Answered
    }

    /// Sends a request and leaves when told.
    pub async fn ask_and_leave(&mut self, request: &Request, leave: impl Future<Output = ()>) {
        self.wire = None;
        if self.connect().await.is_err() {
            return;
        }
        let Some(mut wire) = self.wire.take() else { return };
        if wire.stream.write_all(request.text().as_bytes()).await.is_err() {
            return;
        }
        self.note_sent(request);
        leave.await;
        drop(wire);
        self.record.note("client", &request.id, Step::Left);
    }
}

/// Reads the rest of an answer; false if the connection ends before it.
async fn rest(wire: &mut Reader<TcpStream>, head: &str) -> bool {
    let chunked = header(head, "transfer-encoding").is_some();
    let length: usize = header(head, "content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut body = wire.take_ahead();
    loop {
        let ended = if chunked { body.ends_with(b"0\r\n\r\n") } else { body.len() >= length };
        if ended {
            return true;
        }
        if !matches!(wire.more().await, Ok(more) if more > 0) {
            return false;
        }
        body.extend(wire.take_ahead());
    }
}
