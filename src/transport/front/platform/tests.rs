use std::convert::Infallible;

use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// Failure: an answer that breaks off right behind its first event ends the connection before anything of it is written,
/// so that the request is lost.
#[test]
fn what_came_before_a_break_is_written_though_both_are_there_at_once() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let answer = runtime.block_on(async {
        let (mut client, server) = tokio::io::duplex(4096);
        let service = hyper::service::service_fn(|_| async {
            let (sender, parts) = tokio::sync::mpsc::channel(2);
            let event = Bytes::from_static(b"data: 1\n\n");
            sender.try_send(Part::Data(event)).expect("room");
            let events = Events { body: Body { content_type: None, parts }, broken: false, _ticket: () };
            Ok::<_, Infallible>(Response::new(axum::body::Body::new(events)))
        });
        let served =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(server), service);
        let mut answer = Vec::new();
        client.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.expect("it reads");
        let (_, read) = tokio::join!(served, client.read_to_end(&mut answer));
        read.expect("an end");
        String::from_utf8(answer).expect("text")
    });
    assert!(answer.contains("data: 1\n\n"), "{answer:?}");
    assert!(!answer.contains("0\r\n\r\n"), "it is not called whole: {answer:?}");
}
