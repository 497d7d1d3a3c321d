//! Determines from a request's head where the request ends on a persistent connection. The HTTP library of the
//! front silently ignores a `Content-Length` next to a `Transfer-Encoding`, and the body of such a request may hide
//! a second request (request smuggling).

/// The largest head that is accepted.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most headers, which is also the limit of the HTTP library that parses the request afterwards.
const MAX_HEADERS: usize = 100;

/// The extent of a request, as its first bytes give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The head is not complete yet.
    Partial,
    /// The lengths of the head and of the body, in bytes.
    Sized(usize, u64),
    /// The length of the head in bytes; the body is chunked and marks its own end.
    Chunked(usize),
    /// The bytes are no request head, or the length of the body is ambiguous.
    Malformed,
}

/// Parses the request head at the start of `bytes`.
pub fn framing(bytes: &[u8]) -> Framing {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let end = match request.parse(bytes) {
        Ok(httparse::Status::Complete(end)) if end <= MAX_HEAD_BYTES => end,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Framing::Partial,
        _ => return Framing::Malformed,
    };
    let headers_named =
        |name: &'static str| request.headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    let mut lengths = headers_named("content-length").map(|header| length(header.value));
    match (headers_named("transfer-encoding").next(), lengths.next()) {
        (None, None) => Framing::Sized(end, 0),
        (None, Some(Some(first))) if lengths.all(|other| other == Some(first)) => Framing::Sized(end, first),
        (Some(_), None) => Framing::Chunked(end),
        _ => Framing::Malformed,
    }
}

/// Parses the value of a `Content-Length`. Only digits are accepted, as other parsers read a sign or a list
/// differently.
fn length(value: &[u8]) -> Option<u64> {
    let digits = value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| digits)?.parse().ok()
}

#[cfg(test)]
mod tests;
