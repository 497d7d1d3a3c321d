//! Stories of requests that are given up before they are written: nothing of them may come to a server later, when the
//! next attempt is out.

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

/// Rounds in which the machine stood still do not count.
const ROUNDS: usize = 3;

/// A post to the address, and what tells its fate.
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

/// Failure: the connection of a request that is given up is flushed before it is closed, and brings the request to a
/// server that reads again later, though it was told as ended and has gone elsewhere.
#[test]
fn a_request_given_up_amid_its_body_never_comes_whole() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let client = client();
        // More than the system takes for a side that does not read.
        let body = Bytes::from(vec![b'x'; 32 << 20]);
        let (message, fate) = post(&address, body);
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
        // It is written until the system takes no more.
        let _ = timeout(Duration::from_millis(100), &mut call).await;
        fate.give_up();
        drop((call, fate));
        let mut wire = Wire::of(stream);
        let came = timeout(Duration::from_secs(5), wire.message()).await.expect("the connection ends");
        assert!(came.is_none(), "all of it has come");
    });
}

/// Failure: a request is written whole, given up while its server has not read it, and goes on to it from the system's
/// buffers, also once a cut network is back, where it runs beside the next attempt.
#[test]
fn a_request_given_up_in_the_systems_buffers_never_comes_whole() {
    story(async {
        let socket = TcpSocket::new_v4().expect("a socket");
        // Little fits into the server's side, so that the rest stays in the sender's.
        socket.set_recv_buffer_size(4096).expect("an option");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(8).expect("a listener");
        let address = listener.local_addr().expect("an address").to_string();
        let client = client();
        let (message, fate) = post(&address, Bytes::from(vec![b'x'; 200_000]));
        let mut call = Box::pin(client.request(message));
        let stream = tokio::select! {
            _ = &mut call => panic!("nobody has answered"),
            accepted = listener.accept() => accepted.expect("a connection").0,
        };
        let _ = timeout(Duration::from_millis(100), &mut call).await;
        fate.give_up();
        drop((call, fate));
        // The connection's own task ends it.
        sleep(Duration::from_millis(20)).await;
        let mut wire = Wire::of(stream);
        let came = timeout(Duration::from_secs(5), wire.message()).await.expect("the connection ends");
        assert!(came.is_none(), "all of it has come");
    });
}

/// Failure: a request waits on a connection that rests after an answer, is given up there, and is written all the same
/// once the rest is over.
#[test]
fn a_request_given_up_while_its_connection_rests_is_not_written() {
    story(async {
        let mut counted = 0;
        while counted < ROUNDS {
            let (mut reader, _writer, conductor) = pair().await;
            let _first = conductor.ask("c1", "ask", 4000).await;
            let mut seen = reader.next().await;
            let began = Instant::now();
            seen.answer("202 Accepted", "", "{}").await;
            sleep(Duration::from_millis(2)).await;
            let second = conductor.ask("b1", "book", 9000).await;
            sleep(Duration::from_millis(3)).await;
            drop(second);
            sleep(Duration::from_millis(1)).await;
            let in_time = began.elapsed() < REUSE_DELAY;
            let came = timeout(Duration::from_secs(2), seen.wire.message()).await;
            if in_time {
                counted += 1;
                assert!(!matches!(came, Ok(Some((head, _))) if head.contains("b1")), "it was written");
                assert_eq!(reader.unseen(), 0, "it was written elsewhere");
            }
        }
    });
}

/// Failure: a call without a body, such as one that lets go, is given up while its connection rests, and comes to its
/// server all the same, where the same request may have a new state by then.
#[test]
fn a_call_given_up_on_a_connection_that_rests_is_not_written() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let client = client();
        let mut counted = 0;
        while counted < ROUNDS {
            let (message, _fate) = post(&address, Bytes::new());
            let (answered, wire) = tokio::join!(client.request(message), async {
                let (stream, _) = listener.accept().await.expect("a connection");
                let mut wire = Wire::of(stream);
                wire.message().await.expect("a request");
                wire.write("HTTP/1.1 204 No Content\r\n\r\n").await;
                wire
            });
            let (began, mut wire) = (Instant::now(), wire);
            drop(answered.expect("an answer"));
            // The connection goes back to the pool.
            sleep(Duration::from_millis(1)).await;
            let (message, fate) = post(&address, Bytes::new());
            let mut call = Box::pin(client.request(message));
            assert!(timeout(Duration::from_millis(3), &mut call).await.is_err(), "it rests");
            let reused = fate.evidence() >= Evidence::Connected;
            drop((call, fate));
            if began.elapsed() < REUSE_DELAY && reused {
                counted += 1;
                assert!(wire.message().await.is_none(), "it was written");
            }
        }
    });
}
