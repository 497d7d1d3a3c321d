//! Follows the chunks of an answer as it arrives, beside the HTTP library, which tells nothing of their sizes: a chunk that is
//! declared larger than any event can be never ends, and a server that is in the middle of a chunk is writing.

/// The largest chunk, in bytes: several of the largest events.
pub const MAX_CHUNK_BYTES: u64 = 1024 * 1024;
/// The largest head that is looked at, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most headers of an answer.
const MAX_HEADERS: usize = 100;

/// Where the next byte of an answer belongs.
#[derive(Debug)]
enum Position {
    /// To the head, of which this has arrived.
    Head(Vec<u8>),
    /// To the line with the size of a chunk, of which this much is known.
    Size(u64),
    /// To the rest of that line.
    Extension(u64),
    /// To a chunk of which this many bytes are missing, with the line end that closes it.
    Chunk { data: u64, line_end: u64 },
    /// To the trailers, or to no chunk any more.
    End,
    /// To a body that does not consist of chunks.
    Unchunked,
}

/// Follows one answer.
#[derive(Debug)]
pub struct ChunkFollower {
    position: Position,
    /// How many bytes of data the chunks so far have brought.
    data_bytes: u64,
    /// How many bytes of data precede the first chunk that is too large.
    oversized_after: Option<u64>,
}

impl Default for ChunkFollower {
    fn default() -> Self {
        ChunkFollower { position: Position::Head(Vec::new()), data_bytes: 0, oversized_after: None }
    }
}

impl ChunkFollower {
    /// Takes the next bytes of the answer.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while let Some((first, rest)) = bytes.split_first() {
            match &mut self.position {
                Position::Head(head) => {
                    head.push(*first);
                    bytes = rest;
                    if head.ends_with(b"\n\r\n") || head.ends_with(b"\n\n") || head.len() > MAX_HEAD_BYTES {
                        self.position = after_head(head);
                    }
                }
                Position::Size(size) => {
                    match (*first as char).to_digit(16) {
                        Some(digit) => *size = size.saturating_mul(16).saturating_add(u64::from(digit)),
                        None => self.position = Position::Extension(*size),
                    }
                    if *first != b'\n' {
                        bytes = rest;
                    }
                }
                Position::Extension(size) => {
                    let size = *size;
                    if *first == b'\n' {
                        self.position = self.chunk_of(size);
                    }
                    bytes = rest;
                }
                Position::Chunk { data: 0, line_end: 0 } => self.position = Position::Size(0),
                Position::Chunk { data: 0, line_end } => {
                    *line_end = if *first == b'\n' { 0 } else { *line_end - 1 };
                    bytes = rest;
                }
                Position::Chunk { data, .. } => {
                    let length = (bytes.len() as u64).min(*data);
                    *data -= length;
                    self.data_bytes += length;
                    bytes = &bytes[length as usize..];
                }
                Position::End | Position::Unchunked => return,
            }
        }
    }

    /// Returns the position behind the line with a chunk's size.
    fn chunk_of(&mut self, size: u64) -> Position {
        match size {
            0 => Position::End,
            _ => {
                if size > MAX_CHUNK_BYTES {
                    self.oversized_after.get_or_insert(self.data_bytes);
                }
                Position::Chunk { data: size, line_end: 2 }
            }
        }
    }

    /// Returns how many bytes of data precede the first chunk that is too large, if there is one.
    pub fn oversized_after(&self) -> Option<u64> {
        self.oversized_after
    }

    /// Returns true if the server is in the middle of a chunk, or of a body that does not consist of chunks.
    pub fn is_within_chunk(&self) -> bool {
        matches!(self.position, Position::Chunk { data: 1.., .. } | Position::Unchunked)
    }
}

/// Returns the position behind a head.
fn after_head(head: &[u8]) -> Position {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    if !response.parse(head).is_ok_and(|status| status.is_complete()) {
        return Position::Unchunked;
    }
    // Interim answers precede the answer.
    if response.code.is_some_and(|code| code < 200) {
        return Position::Head(Vec::new());
    }
    let is_chunked = response.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case("transfer-encoding")
            && header.value.to_ascii_lowercase().windows(7).any(|word| word == b"chunked")
    });
    if is_chunked { Position::Size(0) } else { Position::Unchunked }
}

#[cfg(test)]
mod tests;
