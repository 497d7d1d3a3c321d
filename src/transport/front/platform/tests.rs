use std::convert::Infallible;

use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// Guards against a lost request: if an answer breaks off right after its first event, an early error would make hyper
/// end the connection before any of it is written.
#[test]
fn event_before_a_broken_stream_is_written_when_both_arrive_at_once() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let answer = runtime.block_on(async {
        let (mut client, server) = tokio::io::duplex(4096);
        let service = hyper::service::service_fn(|_| async {
            let (sender, parts) = tokio::sync::mpsc::channel(2);
            let event = Bytes::from_static(b"data: 1\n\n");
            sender.try_send(Part::Data(event)).expect("the channel has capacity");
            let events = EventBody {
                body: Body { content_type: None, parts, server: None },
                broken_off: false,
                _request_handle: (),
            };
            Ok::<_, Infallible>(Response::new(axum::body::Body::new(events)))
        });
        let served =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(server), service);
        let mut answer = Vec::new();
        client.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.expect("the server reads the request");
        let (_, read) = tokio::join!(served, client.read_to_end(&mut answer));
        read.expect("the answer ends");
        String::from_utf8(answer).expect("text")
    });
    assert!(answer.contains("data: 1\n\n"), "{answer:?}");
    assert!(!answer.contains("0\r\n\r\n"), "a broken answer has no last chunk: {answer:?}");
}
