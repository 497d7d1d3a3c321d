use super::*;

#[test]
fn head_with_ambiguous_body_length_is_malformed() {
    let read = |headers: &str| framing(format!("POST /v1/x HTTP/1.1\r\n{headers}\r\nrest").as_bytes());
    assert_eq!(read(""), Framing::Sized(23, 0));
    assert_eq!(read("Content-Length: 4\r\ncontent-length: 4\r\n"), Framing::Sized(61, 4));
    assert_eq!(read("Transfer-Encoding: chunked\r\n"), Framing::Chunked(51));
    for headers in [
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Content-Length: -4\r\n",
        "Content-Length: +4\r\n",
        "Content-Length: 4, 4\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "No colon\r\n",
    ] {
        assert_eq!(read(headers), Framing::Malformed, "{headers}");
    }
    assert_eq!(framing(b"POST /v1/x HTTP/1.1\r\nX-Fa"), Framing::Partial);
    assert_eq!(
        framing(&[b"GET / HTTP/1.1\r\nX: ", "x".repeat(MAX_HEAD_BYTES).as_bytes()].concat()),
        Framing::Malformed
    );
}

/// Failure: fields that nobody reads take memory for as long as their request is open, or a field that is read gets lost.
#[test]
fn only_fields_that_are_read_are_passed_on() {
    let head = "\r\nPOST /v1/x?Host: HTTP/1.1\r\nHost: x\r\nX-00: v\r\nx-FACTS: a=1\r\nAccept: */*\r\n\r\n";
    let kept = "\r\nPOST /v1/x?Host: HTTP/1.1\r\nHost: x\r\nx-FACTS: a=1\r\n\r\n";
    assert_eq!(String::from_utf8_lossy(&without_unread_fields(head.as_bytes())), kept);
}
