//! The clients of a crowd.

use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

use super::process::Process;
use super::verdict::{End, Log, Request};
use crate::http::status;

/// The largest body, in bytes.
const MAX_BODY: usize = 256 * 1024;
/// How long after its time a client waits before it takes a request for lost.
const BEYOND: Duration = Duration::from_secs(2);
/// Longer than any stream may last.
const STREAM_TIME: Duration = Duration::from_secs(25);

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Sends small requests on a connection that it keeps.
    Usual,
    /// Sends large bodies in small pieces.
    InPieces,
    /// Stops half way through a large body.
    Half,
    /// Sends heads of many fields.
    ManyFields,
    /// Takes its answers slowly.
    SlowTaker,
    /// Books, leaves, and comes back with the same id.
    Leaver,
    /// Sends unsound requests at full speed for a while.
    Flood,
}

impl Kind {
    pub(super) fn drawn(rng: &mut Rng) -> Self {
        let kinds = [
            Kind::Usual,
            Kind::InPieces,
            Kind::Half,
            Kind::ManyFields,
            Kind::SlowTaker,
            Kind::Leaver,
            // A flood is rare: one of them is enough for a play.
            if rng.u8(..20) == 0 { Kind::Flood } else { Kind::Usual },
        ];
        kinds[rng.usize(..kinds.len())]
    }
}

/// Returns the class that a request's id names. Runs are judged by it.
fn class_of(id: &str) -> &str {
    id.split('-').next().unwrap_or(id)
}

/// Returns the text of a request of the class that its id names.
pub(super) fn request_text(id: &str, time_left_ms: u64, body: &str) -> String {
    let class = class_of(id);
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Session-Key: s-{id}\r\nX-Time-Left-Ms: {time_left_ms}\r\n\
         X-Facts: prefix=5c0f,prompt_len=800,prefix_len=200,max_out=80\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// One client.
pub(super) struct Client {
    kind: Kind,
    number: usize,
    process: Arc<Process>,
    log: Log,
    rng: Rng,
    wire: Option<TcpStream>,
    requests: usize,
}

impl Client {
    pub(super) fn new(kind: Kind, number: usize, process: Arc<Process>, log: Log, rng: Rng) -> Self {
        Client { kind, number, process, log, rng, wire: None, requests: 0 }
    }

    /// Sends requests until this time.
    pub(super) async fn run(mut self, until: Instant) {
        while Instant::now() < until {
            sleep(Duration::from_millis(self.rng.u64(5..300))).await;
            self.requests += 1;
            let class = if self.kind == Kind::Leaver || self.rng.u8(..4) == 0 { "book" } else { "ask" };
            let id = format!("{class}-{}-{}", self.number, self.requests);
            match self.kind {
                Kind::Usual => self.ask(&id, "{}", Duration::ZERO).await,
                Kind::InPieces => self.send_in_pieces(&id, MAX_BODY).await,
                Kind::Half => self.send_in_pieces(&id, MAX_BODY / 2).await,
                Kind::ManyFields => self.send_many_fields(&id).await,
                Kind::SlowTaker => self.ask(&id, "{}", Duration::from_millis(300)).await,
                Kind::Leaver => self.leave_and_come_back(&id).await,
                Kind::Flood => self.flood().await,
            }
        }
    }

    /// Sends a request on the kept connection, and reads its answer with this pause between reads. A request that meets the
    /// end of a kept connection is sent once more on a new one, under a new id: it may not have been read.
    async fn ask(&mut self, id: &str, body: &str, pause: Duration) {
        let text = request_text(id, 2000, body);
        if let Some(wire) = self.wire.take()
            && !self.exchange(wire, id, &text, pause, true).await
        {
            return;
        }
        if self.wire.is_some() {
            return;
        }
        let Some(wire) = self.process.connect().await else { return };
        let again = format!("{id}-new");
        let text = request_text(&again, 2000, body);
        self.exchange(wire, &again, &text, pause, false).await;
    }

    /// Sends a request and follows its answer. Returns true if it may be sent again, as the kept connection had ended or
    /// as it was answered and the connection is kept.
    async fn exchange(
        &mut self,
        mut wire: TcpStream,
        id: &str,
        text: &str,
        pause: Duration,
        is_kept: bool,
    ) -> bool {
        if wire.write_all(text.as_bytes()).await.is_err() {
            return true;
        }
        let sent = Instant::now();
        let answer = follow(&mut wire, sent, pause).await;
        if answer.end == End::Unanswered && is_kept {
            return true;
        }
        self.note(id, sent, &answer);
        if answer.keeps_connection {
            self.wire = Some(wire);
        }
        answer.keeps_connection
    }

    fn note(&self, id: &str, sent: Instant, answer: &Answer) {
        self.log.add_request(Request {
            id: id.to_string(),
            sent,
            time_left: Duration::from_secs(2),
            answered: answer.answered,
            ended: Instant::now(),
            end: answer.end,
            last_bytes: answer.last_bytes,
            is_taken_slowly: self.kind == Kind::SlowTaker,
        });
    }

    /// Sends this many bytes of a request with the largest body, in pieces.
    async fn send_in_pieces(&mut self, id: &str, bytes: usize) {
        let Some(wire) = self.process.connect().await else { return };
        let text = request_text(id, 2000, &"x".repeat(MAX_BODY));
        let piece = [1, 100, 536, 1_400, 65_536][self.rng.usize(..5)];
        // Single bytes are sent for as long as a request may take.
        let pause = Duration::from_millis(if piece < 200 { 2 } else { 4 });
        let (mut reader, mut writer) = wire.into_split();
        let end = text.len().min(bytes);
        let write = async {
            for piece in text.as_bytes()[..end].chunks(piece) {
                if writer.write_all(piece).await.is_err() {
                    return;
                }
                sleep(pause).await;
            }
            // What was not sent whole is owed an answer all the same.
        };
        let sent = Instant::now();
        let read = follow_half(&mut reader);
        let ((), (answered, end)) = tokio::join!(write, read);
        let answer = Answer { answered, last_bytes: answered, end, keeps_connection: false };
        // The client's time runs from the end of its request; what is judged here is that there is an answer.
        let judged_from = answered.unwrap_or(sent);
        self.note(id, judged_from, &answer);
    }

    async fn send_many_fields(&mut self, id: &str) {
        let Some(wire) = self.process.connect().await else { return };
        let fields: String =
            (0..90).map(|number| format!("X-{number:02}: {}\r\n", "v".repeat(150))).collect();
        let text = request_text(id, 2000, "{}").replacen("\r\n", &format!("\r\n{fields}"), 1);
        self.exchange(wire, id, &text, Duration::ZERO, false).await;
        self.wire = None;
    }

    /// Books, leaves after a while, and comes back with the same id.
    async fn leave_and_come_back(&mut self, id: &str) {
        let text = request_text(id, 2000, "{}");
        let Some(mut wire) = self.process.connect().await else { return };
        if wire.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        let sent = Instant::now();
        sleep(Duration::from_millis(self.rng.u64(0..300))).await;
        drop(wire);
        self.note(id, sent, &Answer::without_bytes(End::Left));
        sleep(Duration::from_millis(self.rng.u64(0..100))).await;
        let Some(mut wire) = self.process.connect().await else { return };
        if wire.write_all(text.as_bytes()).await.is_ok() {
            let _ = follow(&mut wire, Instant::now(), Duration::ZERO).await;
        }
    }

    /// Sends unsound requests as fast as they are taken, for a second.
    async fn flood(&mut self) {
        let Some(wire) = self.process.connect().await else { return };
        let (mut reader, mut writer) = wire.into_split();
        let text = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}".repeat(100);
        let until = Instant::now() + Duration::from_secs(1);
        let write =
            async { while Instant::now() < until && writer.write_all(text.as_bytes()).await.is_ok() {} };
        let read = async {
            let mut buffer = vec![0; 64 * 1024];
            while matches!(reader.read(&mut buffer).await, Ok(1..)) {}
        };
        tokio::select! {
            () = write => {}
            () = read => {}
        }
    }
}

/// An answer as its client saw it.
struct Answer {
    answered: Option<Instant>,
    /// When bytes of it arrived last.
    last_bytes: Option<Instant>,
    end: End,
    keeps_connection: bool,
}

impl Answer {
    /// An answer of which nothing was seen.
    fn without_bytes(end: End) -> Self {
        Answer { answered: None, last_bytes: None, end, keeps_connection: false }
    }
}

/// Reads the status line of an answer to a request that may not be whole.
async fn follow_half(reader: &mut (impl AsyncReadExt + Unpin)) -> (Option<Instant>, End) {
    let until = Instant::now() + STREAM_TIME;
    let mut bytes = Vec::new();
    while !bytes.windows(2).any(|pair| pair == b"\r\n") {
        if !matches!(timeout_at(until, reader.read_buf(&mut bytes)).await, Ok(Ok(1..))) {
            return (None, End::Unanswered);
        }
    }
    let answered = Some(Instant::now());
    let status = status(&String::from_utf8_lossy(&bytes)).unwrap_or(0);
    if status == 200 { (answered, End::Left) } else { (answered, End::Answered(status)) }
}

/// Follows the answer to a request that was complete at `sent`, with this pause between reads.
async fn follow(wire: &mut TcpStream, sent: Instant, pause: Duration) -> Answer {
    let head_until = sent + Duration::from_secs(2) + BEYOND;
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if !matches!(timeout_at(head_until, wire.read_buf(&mut bytes)).await, Ok(Ok(1..))) {
            return Answer::without_bytes(End::Unanswered);
        }
    };
    let answered = Some(Instant::now());
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
    let status = status(&head).unwrap_or(0);
    let closes = head.contains("connection: close");
    if !head.contains("transfer-encoding") {
        let length = crate::http::header(&head, "content-length").and_then(|text| text.parse().ok());
        let is_read = bytes.len() - head_end >= length.unwrap_or(0_usize);
        let (end, keeps_connection) = (End::Answered(status), is_read && !closes);
        return Answer { answered, last_bytes: answered, end, keeps_connection };
    }
    let mut tail = bytes.split_off(head_end);
    let until = Instant::now() + STREAM_TIME;
    let mut last_bytes = answered;
    loop {
        if tail.ends_with(b"\r\n0\r\n\r\n") {
            return Answer { answered, last_bytes, end: End::Whole, keeps_connection: !closes };
        }
        if tail.len() > 4096 {
            tail.drain(..tail.len() - 16);
        }
        sleep(pause).await;
        let mut buffer = vec![0; if pause.is_zero() { 64 * 1024 } else { 256 * 1024 }];
        match timeout_at(until, wire.read(&mut buffer)).await {
            Ok(Ok(length @ 1..)) => {
                last_bytes = Some(Instant::now());
                tail.extend_from_slice(&buffer[..length]);
            }
            _ => return Answer { answered, last_bytes, end: End::Broken, keeps_connection: false },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against look-ups under ids of bookings: a look-up may run twice, and would be judged as a booking that did.
    #[test]
    fn request_has_the_class_that_its_id_names() {
        for (id, class) in [("book-7-1", "book"), ("ask-7-2", "ask"), ("ask-7-2-again", "ask")] {
            let text = request_text(id, 2000, "{}");
            assert!(text.contains(&format!("X-Service-Class: {class}\r\n")), "{text}");
        }
    }
}
