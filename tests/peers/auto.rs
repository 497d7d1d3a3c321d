//! Stand-ins that answer by themselves, and note what reached them and when.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::net::TcpListener;

use super::stopwatch::Stopwatch;
use super::{Peer, Wire, header};

/// One request that reached a stand-in.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
}

/// What a stand-in's record of held states says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A prompt has been read, and its state is held.
    Held,
    /// A writer has been sent the request.
    Fetched,
    /// The call that lets go of what is held has come.
    Released,
}

/// One line of that record.
#[derive(Clone, Debug)]
pub struct Noted {
    pub at: Duration,
    pub id: String,
    pub step: Step,
}

/// The record of several stand-ins, in the order of the events, on one clock.
#[derive(Clone)]
pub struct Record {
    clock: Stopwatch,
    lines: Arc<Mutex<Vec<Noted>>>,
}

impl Record {
    pub fn new() -> Self {
        Record { clock: Stopwatch::start(), lines: Arc::default() }
    }

    fn note(&self, id: &str, step: Step) {
        let mut lines = self.lines.lock().expect("no panic");
        lines.push(Noted { at: self.clock.elapsed(), id: id.to_string(), step });
    }

    pub fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    pub fn lines(&self) -> Vec<Noted> {
        self.lines.lock().expect("no panic").clone()
    }
}

/// A reader or a writer of the platform's protocol that serves everything.
pub struct Auto {
    pub address: String,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

/// What a stand-in writes down.
#[derive(Clone)]
struct Notes {
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    record: Record,
}

impl Auto {
    pub async fn start(reads: bool) -> Self {
        Self::with_record(reads, Record::new()).await
    }

    /// The same, which also notes what is held, in a record that it may share with others.
    pub async fn with_record(reads: bool, record: Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let notes = Notes { arrivals: arrivals.clone(), record };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(Wire { stream, ahead: Vec::new() }, reads, notes.clone()));
            }
        });
        Auto { address, arrivals }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no panic").clone()
    }
}

async fn serve(mut wire: Wire, reads: bool, notes: Notes) {
    while let Some((head, _)) = wire.message().await {
        if let Some(rest) = head.strip_prefix("DELETE /kv/leases/") {
            notes.record.note(rest.split(' ').next().unwrap_or_default(), Step::Released);
            wire.write_all_it_takes("HTTP/1.1 204 No Content\r\n\r\n").await;
            continue;
        } else if head.starts_with("GET ") {
            wire.write_all_it_takes(
                "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nTEXT util=0.1, queue=0, x0=0.2",
            )
            .await;
            continue;
        }
        let id = header(&head, "x-correlation-id").unwrap_or_default();
        notes.record.note(&id, if reads { Step::Held } else { Step::Fetched });
        notes.arrivals.lock().expect("no panic").push(Arrival { at: Instant::now(), id });
        if reads {
            wire.write_all_it_takes(
                "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}",
            )
            .await;
        } else {
            wire.write_all_it_takes(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
                 E\r\ndata: [DONE]\n\n\r\n0\r\n\r\n",
            )
            .await;
        }
    }
}

/// Starts a tool server that answers each call at once, and returns its address.
pub async fn tool_server() -> String {
    let mut server = Peer::start().await;
    let address = server.address.clone();
    tokio::spawn(async move {
        loop {
            let mut seen = server.next().await;
            let result = json!({"jsonrpc": "2.0", "id": seen.json()["id"], "result": {}}).to_string();
            seen.wire
                .write_all_it_takes(&format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{result}",
                    result.len()
                ))
                .await;
            seen.go_on();
        }
    });
    address
}
