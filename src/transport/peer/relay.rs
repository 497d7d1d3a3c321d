//! Relays the stream of one answer: passes its events on as they arrive and as fast as the client takes them, and ends it if
//! it breaks, is spoilt or goes on no further.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{Duration, Instant, sleep_until};

use super::connector::{RequestTracker, is_unreadable};
use super::window::{AnswerWindow, MAX_PART_BYTES};
use super::{AttemptEnd, Dialect, Peer, load_header};
use crate::interface::*;
use crate::limits::memory::OutOfMemory;
use crate::protocol::platform;
use crate::protocol::stream::{MalformedStream, StreamInspector};
use crate::recovery::{AnswerProgress, Arrived};
use crate::transport::delivery::PostTarget;
use crate::transport::hub::message::{Body, Message, Part};
use crate::transport::memory::PartialEvents;

/// Most parts of an answer that are buffered for its client.
const MAX_BUFFERED_PARTS: usize = 32;
/// Most bytes of comments before a stream's first event.
const MAX_COMMENT_BYTES: usize = 16 * 1024;

/// Why an answer ends before its last chunk.
enum Break {
    /// The client has left.
    ClientGone,
    /// The connection to the server broke.
    Reset,
    /// The answer is spoilt, or goes on no further.
    Spoilt(&'static str),
}

/// Relays one answer.
pub(super) struct AnswerRelay<'a> {
    peer: &'a Peer,
    tracker: &'a RequestTracker,
    request: RequestId,
    attempt: u32,
    body: Incoming,
    content_type: Option<HeaderValue>,
    /// The load report in the answer's head.
    load: Option<String>,
    /// The answer marks its own end.
    is_delimited: bool,
    parts: mpsc::Sender<Part>,
    /// The receiving end, until the first event has arrived.
    receiver: Option<mpsc::Receiver<Part>>,
    window: AnswerWindow,
    inspector: StreamInspector,
    /// Comments before the first event, which don't begin the stream.
    before_first_event: BytesMut,
    /// What is buffered of events that are not complete.
    buffered: PartialEvents,
    started: Instant,
    progress: AnswerProgress,
    /// How many bytes of the body have arrived.
    received_bytes: u64,
}

impl<'a> AnswerRelay<'a> {
    pub(super) fn new(
        peer: &'a Peer,
        tracker: &'a RequestTracker,
        (request, attempt): (RequestId, u32),
        response: Response<Incoming>,
    ) -> Self {
        let memory = &peer.context.hub.budget().memory;
        let (parts, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
        AnswerRelay {
            peer,
            tracker,
            request,
            attempt,
            content_type: response.headers().get(CONTENT_TYPE).cloned(),
            load: load_header(response.headers()),
            is_delimited: platform::is_self_delimiting(response.headers()),
            body: response.into_body(),
            parts,
            receiver: Some(receiver),
            window: AnswerWindow::new(memory.clone()),
            inspector: StreamInspector::default(),
            before_first_event: BytesMut::new(),
            buffered: PartialEvents::new(memory),
            started: Instant::now(),
            progress: AnswerProgress::begin(0),
            received_bytes: 0,
        }
    }

    /// Relays the answer to its end, and returns how it ended.
    pub(super) async fn run(mut self) -> AttemptEnd {
        let outcome = match self.relay().await {
            Ok(outcome) => outcome,
            Err(Break::ClientGone) => Outcome::Cancelled,
            Err(Break::Reset) => Outcome::Reset,
            Err(Break::Spoilt(reason)) => {
                tracing::debug!(
                    target: "birchspur::attempt",
                    {
                        attempt = self.attempt,
                        server.address = &*self.peer.address(),
                        received_bytes = self.received_bytes,
                        events = self.inspector.events,
                        reason
                    },
                    "gave up an answer"
                );
                Outcome::Error
            }
        };
        match outcome {
            Outcome::Served => AttemptEnd {
                outcome,
                kept_tokens: self.inspector.kept_tokens,
                load: self.inspector.load.or(self.load),
            },
            outcome => AttemptEnd::with_outcome(outcome),
        }
    }

    /// A tool server's answer need not consist of events, and it may be silent for as long as its nested calls take.
    fn consists_of_events(&self) -> bool {
        self.peer.context.dialect == Dialect::Platform
    }

    fn elapsed(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    async fn relay(&mut self) -> Result<Outcome, Break> {
        while let Some(data) = self.next_data().await? {
            let sound = self.sound_part(&data);
            let events = self.next_events(sound.clone()).await?;
            self.pass_on(events).await?;
            if sound.len() < data.len() {
                return Err(Break::Spoilt("a chunk is larger than any event"));
            }
        }
        let rest =
            self.inspector.finish().map_err(|MalformedStream| Break::Spoilt("bytes outside events"))?;
        if self.receiver.is_some() {
            return Err(Break::Spoilt("the answer has no event"));
        } else if self.consists_of_events() && !self.is_delimited {
            // Only the connection's end marks the end of this answer, so the rest of it may be missing.
            return Err(Break::Reset);
        }
        self.send(&rest).await?;
        self.parts.send(Part::End).await.map_err(|_| Break::ClientGone)?;
        Ok(Outcome::Served)
    }

    /// Waits for the next bytes; returns `None` at the answer's regular end.
    async fn next_data(&mut self) -> Result<Option<Bytes>, Break> {
        let due = self.started + Duration::from_micros(self.progress.due());
        loop {
            // When the client leaves, the channel closes, and returning from this call closes the connection.
            let frame = tokio::select! {
                biased;
                () = self.parts.closed() => return Err(Break::ClientGone),
                frame = self.body.frame() => frame,
                () = sleep_until(due), if self.peer.context.dialect == Dialect::Platform => {
                    return Err(Break::Spoilt("no event in time"));
                }
            };
            match frame.map(|frame| frame.map(Frame::into_data)) {
                Some(Ok(Ok(data))) if !data.is_empty() => return Ok(Some(data)),
                Some(Ok(_)) => {}
                Some(Err(error)) if is_unreadable(&error) => {
                    return Err(Break::Spoilt("the answer can't be read"));
                }
                Some(Err(_)) => return Err(Break::Reset),
                None => return Ok(None),
            }
        }
    }

    /// Returns the part of the data that precedes a chunk which is larger than any event.
    fn sound_part(&mut self, data: &Bytes) -> Bytes {
        let before = self.received_bytes;
        self.received_bytes += data.len() as u64;
        match self.tracker.answer_chunks().oversized_after.filter(|_| self.consists_of_events()) {
            Some(sound) => data.slice(..data.len().min(sound.saturating_sub(before) as usize)),
            None => data.clone(),
        }
    }

    /// Returns the events that are now complete, and keeps the rest. Only whole events are passed on, so a stream that is
    /// corrupt in its first event has not begun.
    async fn next_events(&mut self, data: Bytes) -> Result<Bytes, Break> {
        if !self.consists_of_events() {
            return Ok(data);
        }
        let events_before = self.inspector.events;
        let complete =
            self.inspector.feed(data).map_err(|MalformedStream| Break::Spoilt("bytes outside events"))?;
        let completes_event = self.inspector.events > events_before;
        let arrived = Arrived {
            completes_event,
            writes_event: self.inspector.is_within_event() && self.tracker.answer_chunks().is_within_chunk,
            says_complete: self.inspector.has_ended,
        };
        // If data arrives all the time, the wait for it never gets to the timer.
        if !self.progress.record(self.elapsed(), arrived) {
            return Err(Break::Spoilt("no event in time"));
        }
        let buffered = self.inspector.buffered_bytes() + self.before_first_event.len();
        self.charge_buffered(buffered).await?;
        if self.receiver.is_none() {
            return Ok(complete);
        }
        self.before_first_event.extend_from_slice(&complete);
        match completes_event {
            true => Ok(self.before_first_event.split().freeze()),
            false if self.before_first_event.len() > MAX_COMMENT_BYTES => Err(Break::Spoilt("only comments")),
            false => Ok(Bytes::new()),
        }
    }

    /// Charges what is buffered. While there is no memory, the server's own connection holds the answer back.
    async fn charge_buffered(&mut self, bytes: usize) -> Result<(), Break> {
        let began_at = self.elapsed();
        let charged = tokio::select! {
            biased;
            charged = self.buffered.resize(bytes) => charged,
            () = self.parts.closed() => return Err(Break::ClientGone),
        };
        charged.map_err(|OutOfMemory| Break::Spoilt("no memory for its event"))?;
        self.progress.was_held_back(self.elapsed() - began_at);
        Ok(())
    }

    /// Passes bytes on to the client. With the first of them the hub is sent the receiving end, and gives it to the client if
    /// this attempt's answer is chosen.
    async fn pass_on(&mut self, bytes: Bytes) -> Result<(), Break> {
        if bytes.is_empty() {
            return Ok(());
        }
        if let Some(parts) = self.receiver.take() {
            let (request, attempt) = (self.request, self.attempt);
            let server = match self.peer.context.dialect {
                Dialect::Tools => Some(Arc::new(self.peer.clone()) as Arc<dyn PostTarget>),
                Dialect::Platform => None,
            };
            let body = Body { content_type: self.content_type.take(), parts, server };
            self.peer.context.hub.send(Message::AnswerStarted { request, attempt, body }).await;
        }
        let sent_at = self.elapsed();
        self.send(&bytes).await?;
        self.progress.was_held_back(self.elapsed() - sent_at);
        Ok(())
    }

    /// Sends bytes, as fast as the client takes them.
    async fn send(&self, bytes: &[u8]) -> Result<(), Break> {
        for part in bytes.chunks(MAX_PART_BYTES) {
            let part = tokio::select! {
                biased;
                () = self.parts.closed() => return Err(Break::ClientGone),
                part = self.window.admit(part) => part,
            };
            self.parts.send(Part::Data(part)).await.map_err(|_| Break::ClientGone)?;
        }
        Ok(())
    }
}
