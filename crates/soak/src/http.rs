//! As much of HTTP/1.1 as stand-ins and clients need: whole messages with a length, read from a stream.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

use crate::record::{Call, Micros, now};

/// The most that a message may hold.
const MOST_MESSAGE: usize = 512 * 1024;

/// A whole message, with the time of its first byte.
#[derive(Clone, Debug)]
pub struct Message {
    /// Head and empty line.
    pub head: String,
    /// Its body.
    pub body: Vec<u8>,
    /// When its first byte came.
    pub began: Micros,
}

/// Reads messages from a stream, with what has been read beyond the last one.
pub struct Reader<S> {
    /// The stream.
    pub stream: S,
    ahead: Vec<u8>,
}

impl<S: AsyncRead + Unpin> Reader<S> {
    /// A reader at the beginning of a message.
    pub fn new(stream: S) -> Self {
        Reader { stream, ahead: Vec::new() }
    }

    /// What has been read and not been used.
    pub fn take_ahead(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.ahead)
    }

    /// Reads more; an orderly end is no error and gives 0.
    pub async fn more(&mut self) -> io::Result<usize> {
        self.stream.read_buf(&mut self.ahead).await
    }

    async fn fill(
        &mut self,
        enough: impl Fn(&[u8]) -> Option<usize>,
    ) -> io::Result<Option<(Vec<u8>, Micros)>> {
        let mut began = (!self.ahead.is_empty()).then(now);
        loop {
            if let Some(length) = enough(&self.ahead) {
                let rest = self.ahead.split_off(length);
                return Ok(Some((std::mem::replace(&mut self.ahead, rest), began.unwrap_or_else(now))));
            }
            if self.more().await? == 0 || self.ahead.len() > MOST_MESSAGE {
                return Ok(None);
            }
            began.get_or_insert_with(now);
        }
    }

    /// The next head up to its empty line; none if the stream ends before.
    pub async fn head(&mut self) -> io::Result<Option<(String, Micros)>> {
        let end = |bytes: &[u8]| bytes.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4);
        let head = self.fill(end).await?;
        Ok(head.map(|(head, began)| (String::from_utf8_lossy(&head).into_owned(), began)))
    }

    /// The next message; none if the stream ends before it is whole.
    pub async fn message(&mut self) -> io::Result<Option<Message>> {
        let Some((head, began)) = self.head().await? else { return Ok(None) };
        let length = header(&head, "content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        let body = self.fill(|bytes| (bytes.len() >= length).then_some(length)).await?;
        Ok(body.map(|(body, _)| Message { head, body, began }))
    }
}

/// The value of a header.
pub fn header(head: &str, name: &str) -> Option<String> {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    fields
        .into_iter()
        .find(|(field, _)| field.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_string())
}

/// The status in the first line of an answer.
pub fn status(head: &str) -> Option<u16> {
    head.split(' ').nth(1)?.parse().ok()
}

/// What a call to a server of this role is, and the id of its request.
pub fn call(head: &str, reads: bool) -> (Call, String) {
    let path = head.split(' ').nth(1).unwrap_or_default();
    if let Some(id) = path.strip_prefix("/kv/leases/") {
        return (Call::Release, id.to_string());
    }
    let id = header(head, "x-correlation-id").unwrap_or_default();
    match head.split(' ').next() {
        Some("POST") if reads => (Call::Read, id),
        Some("POST") => (Call::Fetch, id),
        _ => (Call::Probe, id),
    }
}
