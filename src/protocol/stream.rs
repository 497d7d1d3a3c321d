//! The server-sent events of an answer's stream: which are complete, what is no event, and what the last ones tell.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use thiserror::Error;

use super::platform::{LOAD, ReadReply};

/// The data of the event with which a stream says that it is complete.
const DONE: &str = "[DONE]";

/// An answer that is declared as a stream of server-sent events but contains something else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the stream contains bytes that are not server-sent events")]
pub struct MalformedStream;

/// Inspects a stream of server-sent events as it is relayed: collects the usage and the load report at its end, and
/// detects bytes that are not part of an event. A chunk that is declared with a wrong size contains the frame of the
/// next chunk, or never ends.
#[derive(Default)]
pub struct StreamInspector {
    /// The event that is not complete yet.
    partial_event: BytesMut,
    /// Where its last line begins.
    last_line: usize,
    /// A line of it has content.
    partial_has_content: bool,
    /// The number of events so far. An event has data with content, and precedes the stream's own end.
    pub events: u64,
    /// The stream has said that it is complete. What follows is no event.
    pub has_ended: bool,
    /// Prompt tokens that were found in the cache.
    pub kept_tokens: u64,
    /// The text of the load report.
    pub load: Option<String>,
}

#[derive(Deserialize)]
struct Chunk {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens_details: Option<ReadReply>,
}

impl StreamInspector {
    /// The longest event in bytes. A longer one makes the stream malformed.
    const MAX_EVENT_BYTES: usize = 256 * 1024;

    /// Takes the next bytes and returns all events that are now complete, unchanged.
    pub fn feed(&mut self, bytes: Bytes) -> Result<Bytes, MalformedStream> {
        // The platform's events contain no carriage return. One here belongs to the frame of a chunk, perhaps the
        // last, that lies within a chunk whose declared size is too large.
        if bytes.contains(&b'\r') {
            return Err(MalformedStream);
        }
        let complete = match self.complete_len(&bytes) {
            0 => {
                self.extend_partial_event(&bytes);
                Bytes::new()
            }
            end => {
                let rest = bytes.slice(end..);
                let complete = match self.partial_event.is_empty() {
                    true => bytes.slice(..end),
                    false => {
                        self.partial_event.extend_from_slice(&bytes[..end]);
                        self.partial_event.split().freeze()
                    }
                };
                self.partial_event = BytesMut::new();
                (self.last_line, self.partial_has_content) = (0, false);
                self.extend_partial_event(&rest);
                complete
            }
        };
        if self.partial_event.len() > Self::MAX_EVENT_BYTES {
            return Err(MalformedStream);
        }
        self.inspect(&complete)?;
        Ok(complete)
    }

    /// Adds bytes that complete no event.
    fn extend_partial_event(&mut self, bytes: &[u8]) {
        let added_at = self.partial_event.len();
        self.partial_event.extend_from_slice(bytes);
        let new_lines = &self.partial_event[self.last_line..];
        self.partial_has_content |= new_lines.split(|byte: &u8| *byte == b'\n').any(has_content);
        if let Some(end) = bytes.iter().rposition(|byte| *byte == b'\n') {
            self.last_line = added_at + end + 1;
        }
    }

    /// Returns how many of these bytes belong to events that they complete. Only the new bytes are searched, so that the
    /// work grows with the length of an event and not with its square.
    fn complete_len(&self, bytes: &[u8]) -> usize {
        let within = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|start| start + 2);
        let across = self.partial_event.last() == Some(&b'\n') && bytes.first() == Some(&b'\n');
        within.unwrap_or(usize::from(across))
    }

    /// Returns how many bytes are buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.partial_event.capacity()
    }

    /// Returns true if a part of an event has arrived that has content.
    pub fn is_within_event(&self) -> bool {
        self.partial_has_content && !self.has_ended
    }

    /// Returns the bytes that are left when the stream has ended regularly.
    pub fn finish(&mut self) -> Result<Bytes, MalformedStream> {
        let rest = self.partial_event.split().freeze();
        self.inspect(&rest)?;
        Ok(rest)
    }

    /// Inspects complete events.
    fn inspect(&mut self, events: &[u8]) -> Result<(), MalformedStream> {
        let mut event_has_content = false;
        for line in events.split(|byte| *byte == b'\n') {
            self.inspect_line(line)?;
            if line.is_empty() {
                self.count_event(std::mem::take(&mut event_has_content));
            }
            event_has_content |= has_content(line);
            if line.strip_prefix(b"data:").is_some_and(|data| data.trim_ascii() == DONE.as_bytes()) {
                self.count_event(std::mem::take(&mut event_has_content));
                self.has_ended = true;
            }
        }
        self.count_event(event_has_content);
        Ok(())
    }

    fn count_event(&mut self, has_content: bool) {
        self.events += u64::from(has_content && !self.has_ended);
    }

    fn inspect_line(&mut self, line: &[u8]) -> Result<(), MalformedStream> {
        const FIELDS: [&str; 4] = ["data", "event", "id", "retry"];
        let line = std::str::from_utf8(line).map_err(|_| MalformedStream)?;
        let Some((name, value)) = line.split_once(':') else {
            return if line.is_empty() || FIELDS.contains(&line) { Ok(()) } else { Err(MalformedStream) };
        };
        if name.is_empty() {
            self.load = value
                .split_once(':')
                .filter(|(name, _)| name.trim().eq_ignore_ascii_case(LOAD))
                .map(|(_, text)| text.trim().to_string())
                .or(self.load.take());
        } else if name == "data" && value.contains("\"usage\"") {
            let usage = serde_json::from_str::<Chunk>(value.trim()).ok().and_then(|chunk| chunk.usage);
            if let Some(details) = usage.and_then(|usage| usage.prompt_tokens_details) {
                self.kept_tokens = details.cached_tokens;
            }
        }
        if name.is_empty() || FIELDS.contains(&name) { Ok(()) } else { Err(MalformedStream) }
    }
}

/// Returns true if a line holds data that is not blank.
fn has_content(line: &[u8]) -> bool {
    line.strip_prefix(b"data:").is_some_and(|data| !data.trim_ascii().is_empty())
}

#[cfg(test)]
mod tests;
