//! Where a request on a kept connection ends, by its head. The library that serves the front drops a
//! `Content-Length` beside `Transfer-Encoding` unseen, and such a body may hide a second request.

/// The largest head that is read.
pub const MOST_HEAD: usize = 16 * 1024;
/// The most headers, as the library behind takes them.
const MOST_HEADERS: usize = 100;

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
    Bad,
}

/// Reads the head at the start of these bytes.
pub fn framing(bytes: &[u8]) -> Framing {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let end = match request.parse(bytes) {
        Ok(httparse::Status::Complete(end)) if end <= MOST_HEAD => end,
        Ok(httparse::Status::Partial) if bytes.len() < MOST_HEAD => return Framing::Partial,
        _ => return Framing::Bad,
    };
    let all = |name: &'static str| request.headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    let mut lengths = all("content-length").map(|header| length(header.value));
    match (all("transfer-encoding").next(), lengths.next()) {
        (None, None) => Framing::Sized(end, 0),
        (None, Some(Some(first))) if lengths.all(|other| other == Some(first)) => Framing::Sized(end, first),
        (Some(_), None) => Framing::Chunked(end),
        _ => Framing::Bad,
    }
}

/// Digits only: a sign or a list would be read differently elsewhere.
fn length(value: &[u8]) -> Option<u64> {
    let digits = value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| digits)?.parse().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_head_that_can_be_taken_in_two_ways_is_bad() {
        let read = |headers: &str| framing(format!("POST /v1/x HTTP/1.1\r\n{headers}\r\nrest").as_bytes());
        assert_eq!(read(""), Framing::Sized(23, 0));
        assert_eq!(read("Content-Length: 4\r\ncontent-length: 4\r\n"), Framing::Sized(61, 4));
        assert_eq!(read("Transfer-Encoding: chunked\r\n"), Framing::Chunked(51));
        for bad in [
            "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            "Content-Length: 4\r\nContent-Length: 5\r\n",
            "Content-Length: -4\r\n",
            "Content-Length: +4\r\n",
            "Content-Length: 4, 4\r\n",
            "Content-Length: 99999999999999999999\r\n",
            "No colon\r\n",
        ] {
            assert_eq!(read(bad), Framing::Bad, "{bad}");
        }
        assert_eq!(framing(b"POST /v1/x HTTP/1.1\r\nX-Fa"), Framing::Partial);
        assert_eq!(
            framing(&[b"GET / HTTP/1.1\r\nX: ", "x".repeat(MOST_HEAD).as_bytes()].concat()),
            Framing::Bad
        );
    }
}
