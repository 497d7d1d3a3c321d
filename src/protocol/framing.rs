//! Determines from a request's head where the request ends on a persistent connection. The HTTP library of the
//! front silently ignores a `Content-Length` next to a `Transfer-Encoding`, and the body of such a request may hide
//! a second request (request smuggling).

/// The largest head that is accepted.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most headers, which is also the limit of the HTTP library that parses the request afterwards.
const MAX_HEADERS: usize = 100;

/// The header fields that the program and its HTTP library read, in lower case. Others are not passed on.
const FIELDS_READ: [&str; 15] = [
    "connection",
    "content-length",
    "content-type",
    "expect",
    "host",
    "keep-alive",
    "transfer-encoding",
    "x-account",
    "x-correlation-id",
    "x-facts",
    "x-repeat",
    "x-service-class",
    "x-session-key",
    "x-time-left-ms",
    "x-weight-hint",
];

/// Returns a complete and valid head without the fields that nobody reads. Parsed, these would take several times the
/// memory of their text for as long as the request is open.
pub fn without_unread_fields(head: &[u8]) -> Vec<u8> {
    let is_read = |line: &[u8]| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        // The line that ends the head has no name.
        line.iter().all(u8::is_ascii_whitespace)
            || FIELDS_READ.iter().any(|read| name.eq_ignore_ascii_case(read.as_bytes()))
    };
    let mut lines = head.split_inclusive(|byte| *byte == b'\n');
    // Empty lines may precede the request line.
    let mut kept = Vec::new();
    for line in lines.by_ref() {
        kept.extend_from_slice(line);
        if !line.iter().all(u8::is_ascii_whitespace) {
            break;
        }
    }
    lines.filter(|line| is_read(line)).for_each(|line| kept.extend_from_slice(line));
    kept
}

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
