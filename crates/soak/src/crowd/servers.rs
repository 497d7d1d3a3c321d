//! Servers whose streams are sound, slow or spoilt, and a discovery that tells one list.

use std::io;
use std::time::Duration;

use fastrand::Rng;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use super::verdict::{Log, Run};
use crate::http::{Reader, call};
use crate::record::Call;
use crate::world::NotRun;

/// Connections that may wait.
const BACKLOG: u32 = 1024;
/// How long a spoilt stream goes on before its server gives up.
const SPOILT_FOR: Duration = Duration::from_secs(9);

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const EVENT: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"}}]}\n\n";

/// How a writer answers.
#[derive(Clone, Copy, Debug)]
enum Answer {
    /// Some events, and the end.
    Short,
    /// Megabytes of events, as fast as they are taken.
    Long,
    /// An event of some hundred bytes, byte by byte.
    Slow,
    /// A chunk that never ends, with data in it.
    OversizedChunk,
    /// Data behind the end that the stream itself tells.
    BeyondTheEnd,
    /// Data lines with nothing in them.
    Empty,
    /// Comments without end.
    Comments,
    /// Nothing more.
    Silent,
}

impl Answer {
    fn drawn(rng: &mut Rng) -> Self {
        match rng.u8(..20) {
            0 => Answer::OversizedChunk,
            1 => Answer::BeyondTheEnd,
            2 => Answer::Empty,
            3 => Answer::Comments,
            4 => Answer::Silent,
            5 | 6 => Answer::Slow,
            7 | 8 => Answer::Long,
            _ => Answer::Short,
        }
    }

    fn is_sound(self) -> bool {
        matches!(self, Answer::Short | Answer::Long | Answer::Slow)
    }
}

/// A reader or a writer.
pub(super) struct Server {
    pub(super) address: String,
    listener: TcpListener,
    reads: bool,
    rng: Rng,
    log: Log,
}

fn listen() -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(([127, 0, 0, 1], 0).into())?;
    socket.listen(BACKLOG)
}

impl Server {
    pub(super) async fn bind(reads: bool, rng: Rng, log: Log) -> Result<Self, NotRun> {
        let listener = listen().map_err(|error| NotRun::System("no port", error))?;
        let address = listener.local_addr().map_err(|error| NotRun::System("no port", error))?.to_string();
        Ok(Server { address, listener, reads, rng, log })
    }

    /// Serves until the task is ended.
    pub(super) async fn serve(mut self) {
        while let Ok((stream, _)) = self.listener.accept().await {
            let connection = Connection {
                wire: Reader::new(stream),
                reads: self.reads,
                rng: self.rng.fork(),
                log: self.log.clone(),
            };
            // A connection ends with its caller.
            tokio::spawn(async move {
                let _ = connection.serve().await;
            });
        }
    }
}

/// A connection of the process to a server.
struct Connection {
    wire: Reader<TcpStream>,
    reads: bool,
    rng: Rng,
    log: Log,
}

impl Connection {
    async fn serve(mut self) -> io::Result<()> {
        self.wire.stream.set_nodelay(true)?;
        while let Some(message) = self.wire.message().await? {
            let (kind, id) = call(&message.head, self.reads);
            match kind {
                Call::Release => self.write("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").await?,
                Call::Probe => {
                    let report = "TEXT util=0.1, queue=0, x0=0.2";
                    let length = report.len();
                    self.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{report}"))
                        .await?;
                }
                Call::Read => {
                    sleep(Duration::from_millis(self.rng.u64(5..40))).await;
                    self.write("HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}")
                        .await?;
                }
                Call::Fetch => self.fetch(id).await?,
            }
        }
        Ok(())
    }

    async fn write(&mut self, text: &str) -> io::Result<()> {
        self.wire.stream.write_all(text.as_bytes()).await
    }

    async fn chunk(&mut self, text: &str) -> io::Result<()> {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len())).await
    }

    /// Answers a request, and notes what it did however its caller ends.
    async fn fetch(&mut self, id: String) -> io::Result<()> {
        let answer = Answer::drawn(&mut self.rng);
        let began = Instant::now();
        let mut last_event = None;
        sleep(Duration::from_millis(self.rng.u64(5..40))).await;
        let answered = self.answer(answer, &mut last_event).await;
        self.log.add_run(Run { id, began, last_event, is_sound: answer.is_sound() });
        answered
    }

    async fn event(&mut self, last_event: &mut Option<Instant>, text: &str) -> io::Result<()> {
        // Noted before it is written: a caller that breaks the stream off later has had this event.
        *last_event = Some(Instant::now());
        self.chunk(text).await?;
        *last_event = Some(Instant::now());
        Ok(())
    }

    async fn answer(&mut self, answer: Answer, last_event: &mut Option<Instant>) -> io::Result<()> {
        self.write(HEAD).await?;
        for _ in 0..3 {
            self.event(last_event, EVENT).await?;
            sleep(Duration::from_millis(self.rng.u64(0..30))).await;
        }
        match answer {
            Answer::Short => {}
            Answer::Long => {
                let event = format!("data: {}\n\n", "y".repeat(2_000));
                for _ in 0..1_500 {
                    self.event(last_event, &event).await?;
                }
            }
            Answer::Slow => {
                let event = format!("data: {}\n\n", "z".repeat(600));
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                for byte in chunk.chars() {
                    self.write(&byte.to_string()).await?;
                    sleep(Duration::from_millis(7)).await;
                }
                *last_event = Some(Instant::now());
            }
            Answer::OversizedChunk => return self.go_on("c0000000\r\n", "data: more\n\n").await,
            Answer::BeyondTheEnd => {
                self.event(last_event, "data: [DONE]\n\n").await?;
                return self.go_on("", "c\r\ndata: more\n\n\r\n").await;
            }
            Answer::Empty => return self.go_on("", "7\r\ndata:\n\n\r\n").await,
            Answer::Comments => return self.go_on("", "5\r\n: x\n\n\r\n").await,
            Answer::Silent => return self.go_on("", "").await,
        }
        self.event(last_event, "data: [DONE]\n\n").await?;
        self.write("0\r\n\r\n").await
    }

    /// Writes what moves the stream on no further, until the caller closes the connection.
    async fn go_on(&mut self, first: &str, then: &str) -> io::Result<()> {
        self.write(first).await?;
        let until = Instant::now() + SPOILT_FOR;
        while Instant::now() < until {
            self.write(then).await?;
            let closed = timeout(Duration::from_millis(200), self.wire.stream.read_u8()).await;
            if closed.is_ok() {
                break;
            }
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

/// A discovery that tells one list, and is silent to watches.
pub(super) struct Discovery {
    pub(super) address: String,
    listener: TcpListener,
    list: String,
}

impl Discovery {
    pub(super) async fn bind(members: &[Value]) -> Result<Self, NotRun> {
        let listener = listen().map_err(|error| NotRun::System("no port", error))?;
        let address = listener.local_addr().map_err(|error| NotRun::System("no port", error))?.to_string();
        let list = json!({"revision": 1, "complete": true, "members": members}).to_string();
        Ok(Discovery { address, listener, list })
    }

    /// Serves until the task is ended.
    pub(super) async fn serve(self) {
        while let Ok((stream, _)) = self.listener.accept().await {
            let list = self.list.clone();
            tokio::spawn(async move {
                let _ = tell(Reader::new(stream), &list).await;
            });
        }
    }
}

async fn tell(mut wire: Reader<TcpStream>, list: &str) -> io::Result<()> {
    while let Some((head, _)) = wire.head().await? {
        let is_watch = head.lines().next().is_some_and(|line| line.contains("from="));
        if is_watch {
            sleep(Duration::from_secs(1)).await;
        }
        let body = match is_watch {
            true => json!({"revision": 1, "complete": false, "members": []}).to_string(),
            false => list.to_string(),
        };
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        wire.stream.write_all(text.as_bytes()).await?;
    }
    Ok(())
}
