//! Tests of requests that are given up before they are written: nothing of them may reach a server later, when the next
//! attempt is in progress.

mod peers;

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use milletseam::protocol::settings::Links;
use milletseam::routing::Evidence;
use milletseam::transport::peer::connector::{self, REUSE_DELAY, TrackedBody};
use milletseam::transport::peer::idle::ConnectionBudget;
use peers::*;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, sleep, timeout};

/// Number of rounds that have to count. Rounds in which the machine stood still don't.
const ROUNDS: usize = 3;

/// Returns a POST request to the address, and its tracker.
fn post(address: &str, body: Bytes) -> (Request<TrackedBody>, connector::RequestTracker) {
    let uri = format!("http://{address}/v1/x");
    let mut head = Request::new(());
    (*head.method_mut(), *head.uri_mut()) = (Method::POST, uri.parse().expect("an address"));
    TrackedBody::attach(head, body, Box::new(|| {}))
}

fn client() -> connector::PeerClient {
    let links = Links { idle: 15_000_000, connect: 1_000_000 };
    connector::client(links, ConnectionBudget::new(10))
}

/// Guards against a connection that is flushed before it is closed although its request has been given up. A server
/// that reads again later would get the request, which was reported as ended and has been sent elsewhere.
#[test]
fn request_given_up_during_its_body_never_arrives_whole() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let client = client();
        // More than the system buffers while the server does not read.
        let body = Bytes::from(vec![b'x'; 32 << 20]);
        let (message, tracker) = post(&address, body);
        let call = client.request(message);
        let accepted = async {
            let (stream, _) = listener.accept().await.expect("a connection");
            stream.readable().await.expect("a head");
            stream
        };
        let (mut call, mut accepted) = (Box::pin(call), Box::pin(accepted));
        let stream = tokio::select! {
            _ = &mut call => panic!("nobody has answered"),
            stream = &mut accepted => stream,
        };
        // The request is written until the system accepts no more.
        let _ = timeout(Duration::from_millis(100), &mut call).await;
        tracker.give_up();
        drop((call, tracker));
        let mut wire = Wire::of(stream);
        let received = timeout(Duration::from_secs(5), wire.message()).await.expect("the connection ends");
        assert!(received.is_none(), "the whole request has arrived");
    });
}

/// Guards against a request that is completely written and given up before its server has read it, but is still
/// delivered from the system's buffers, even when a network failure has ended, and runs besides the next attempt.
#[test]
fn request_given_up_in_the_system_buffers_never_arrives_whole() {
    story(async {
        let socket = TcpSocket::new_v4().expect("a socket");
        // Little fits into the server's receive buffer, so the rest stays in the sender's buffers.
        socket.set_recv_buffer_size(4096).expect("an option");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(8).expect("a listener");
        let address = listener.local_addr().expect("an address").to_string();
        let client = client();
        let (message, tracker) = post(&address, Bytes::from(vec![b'x'; 200_000]));
        let mut call = Box::pin(client.request(message));
        let stream = tokio::select! {
            _ = &mut call => panic!("nobody has answered"),
            accepted = listener.accept() => accepted.expect("a connection").0,
        };
        let _ = timeout(Duration::from_millis(100), &mut call).await;
        tracker.give_up();
        drop((call, tracker));
        // The connection is closed by a task of its own.
        sleep(Duration::from_millis(20)).await;
        let mut wire = Wire::of(stream);
        let received = timeout(Duration::from_secs(5), wire.message()).await.expect("the connection ends");
        assert!(received.is_none(), "the whole request has arrived");
    });
}

/// Guards against a request that is given up while it waits for the delay after its connection's last answer, but is
/// written once the delay is over.
#[test]
fn request_given_up_during_the_reuse_delay_is_not_written() {
    story(async {
        let mut valid_rounds = 0;
        while valid_rounds < ROUNDS {
            let (mut reader, _writer, conductor) = pair().await;
            let _first = conductor.ask("c1", "ask", 4000).await;
            let mut seen = reader.next().await;
            let started = Instant::now();
            seen.answer("202 Accepted", "", "{}").await;
            sleep(Duration::from_millis(2)).await;
            let second = conductor.ask("b1", "book", 9000).await;
            sleep(Duration::from_millis(3)).await;
            drop(second);
            sleep(Duration::from_millis(1)).await;
            let in_time = started.elapsed() < REUSE_DELAY;
            let received = timeout(Duration::from_secs(2), seen.wire.message()).await;
            if in_time {
                valid_rounds += 1;
                assert!(
                    !matches!(received, Ok(Some((head, _))) if head.contains("b1")),
                    "the request was written"
                );
                assert_eq!(reader.unseen(), 0, "the request was written on another connection");
            }
        }
    });
}

/// Guards against a call without a body, such as a release, that is given up during the delay after its connection's
/// last answer, but still reaches its server. The same request may have a new state there by then.
#[test]
fn call_without_body_given_up_during_the_reuse_delay_is_not_written() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let client = client();
        let mut valid_rounds = 0;
        while valid_rounds < ROUNDS {
            let (message, _tracker) = post(&address, Bytes::new());
            let (answered, wire) = tokio::join!(client.request(message), async {
                let (stream, _) = listener.accept().await.expect("a connection");
                let mut wire = Wire::of(stream);
                wire.message().await.expect("a request");
                wire.write("HTTP/1.1 204 No Content\r\n\r\n").await;
                wire
            });
            let (started, mut wire) = (Instant::now(), wire);
            drop(answered.expect("an answer"));
            // The connection goes back to the pool.
            sleep(Duration::from_millis(1)).await;
            let (message, tracker) = post(&address, Bytes::new());
            let mut call = Box::pin(client.request(message));
            assert!(
                timeout(Duration::from_millis(3), &mut call).await.is_err(),
                "the call waits for the delay"
            );
            let reused = tracker.evidence() >= Evidence::Connected;
            drop((call, tracker));
            if started.elapsed() < REUSE_DELAY && reused {
                valid_rounds += 1;
                assert!(wire.message().await.is_none(), "the call was written");
            }
        }
    });
}
