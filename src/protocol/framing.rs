//! Where a request on a kept connection ends, by its head. The library that serves the front drops a
//! `Content-Length` beside `Transfer-Encoding` unseen, and such a body may hide a second request.

/// The largest head that is read.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most headers, as the library behind takes them.
const MAX_HEADERS: usize = 100;

/// What the first bytes of a request say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The head has not ended yet.
    Partial,
    /// A head of so many bytes, and a body of so many.
    Sized(usize, u64),
    /// A head of so many bytes, and a body that tells its own end.
    Chunked(usize),
    /// This is no head, or one that can be taken in two ways.
    Malformed,
}

/// Reads the head at the start of these bytes.
pub fn framing(bytes: &[u8]) -> Framing {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let end = match request.parse(bytes) {
        Ok(httparse::Status::Complete(end)) if end <= MAX_HEAD_BYTES => end,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Framing::Partial,
        _ => return Framing::Malformed,
    };
    let all = |name: &'static str| request.headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    let mut lengths = all("content-length").map(|header| length(header.value));
    match (all("transfer-encoding").next(), lengths.next()) {
        (None, None) => Framing::Sized(end, 0),
        (None, Some(Some(first))) if lengths.all(|other| other == Some(first)) => Framing::Sized(end, first),
        (Some(_), None) => Framing::Chunked(end),
        _ => Framing::Malformed,
    }
}

/// Digits only: a sign or a list would be read differently elsewhere.
fn length(value: &[u8]) -> Option<u64> {
    let digits = value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| digits)?.parse().ok()
}

#[cfg(test)]
mod tests;
