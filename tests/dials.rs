//! Tests of connections that are not established: a request's time runs on meanwhile, the request is known not to have
//! been sent on them, and what was held for them is released.

mod peers;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::Request;
use http_body_util::BodyExt;
use milletseam::protocol::settings::Links;
use milletseam::transport::peer::connector::{TrackedBody, client};
use milletseam::transport::peer::idle::ConnectionBudget;
use peers::stopwatch::Stopwatch;
use peers::*;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// A listener whose accept queue is full: the system drops further connection attempts, which are repeated after a
/// second.
struct FullListener {
    address: String,
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl FullListener {
    async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(0).expect("a listener");
        let address = listener.local_addr().expect("an address").to_string();
        let mut queued = Vec::new();
        while let Ok(stream) = timeout(Duration::from_millis(100), TcpStream::connect(&address)).await {
            queued.push(stream.expect("a connection"));
        }
        FullListener { address, listener, queued }
    }

    /// Empties the queue, so that a repeated connection attempt succeeds.
    async fn accept_queued(self) -> TcpListener {
        for _ in &self.queued {
            self.listener.accept().await.expect("a queued connection");
        }
        self.listener
    }
}

const LINKS: Links = Links { idle: 15_000_000, connect: 250_000 };

/// Guards against a dial that is dropped or has timed out, but keeps its descriptor for as long as the system goes on
/// trying to connect.
#[test]
fn dial_releases_its_permit_when_dropped_or_timed_out() {
    story(async {
        let full = FullListener::start().await;
        let permits = Arc::new(Semaphore::new(2));
        let peers = client(LINKS, ConnectionBudget::with_permits(permits.clone()));
        let call = || {
            let mut request = Request::new(TrackedBody::empty());
            *request.uri_mut() = format!("http://{}/alive", full.address).parse().expect("an address");
            peers.request(request)
        };
        let (started, stopwatch) = (Instant::now(), Stopwatch::start());
        let given_up = timeout(Duration::from_millis(50), call()).await;
        assert!(given_up.is_err(), "the call is still in progress");
        tokio::task::yield_now().await;
        assert_eq!(permits.available_permits(), 2, "the caller has dropped the call");
        let error = call().await.expect_err("the connection is never established");
        assert!(error.is_connect(), "{error}");
        assert_eq!(permits.available_permits(), 2, "the dial has timed out");
        let (took, unpaused) = (started.elapsed(), stopwatch.elapsed());
        assert!(took > Duration::from_millis(290) && unpaused < Duration::from_millis(900), "{took:?}");
    });
}

/// Guards against a booking that counts as run on a server which it never reached, or that waits for the connection
/// longer than its state is held.
#[test]
fn booking_goes_to_another_writer_when_its_connection_is_not_established() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let full = FullListener::start().await;
        let servers = [
            member("s-r", &reader.address, "reader"),
            member("s-full", &full.address, "writer"),
            member("s-w", &writer.address, "writer"),
        ];
        // The first writer is picked at random. For some of these conductors it is the full one, which they don't know
        // yet; without probes, nothing tells them before that it is silent.
        for n in 0..16 {
            let mut config = config(&telling_once(&servers).await, &servers);
            config["seed"] = json!(format!("{n:x}"));
            if n % 2 == 0 {
                config["settings"]["Limits"]["Probes"] = json!(false);
                config["settings"]["Report"]["Source"] = json!("none");
            }
            let conductor = Conductor::start_with(config, "").await;
            let mut client = conductor.ask(&format!("b{n}"), "book", 9000).await;
            reader.next().await.answer("202 Accepted", "", "{}").await;
            let read = Stopwatch::start();
            let mut seen = writer.next().await;
            assert!(read.elapsed() < Duration::from_millis(300), "{:?}", read.elapsed());
            seen.begin().await;
            seen.chunk("data: [DONE]\n\n").await;
            seen.end().await;
            assert!(client.rest_of_answer().await.starts_with("HTTP/1.1 200"));
        }
        assert_eq!(writer.unseen() + reader.unseen(), 0);
    });
}

/// Guards against a state that stays held while connections to writers are waited for.
#[test]
fn state_is_released_when_no_connection_to_a_writer_is_established() {
    story(async {
        let mut reader = Peer::start().await;
        let full = [FullListener::start().await, FullListener::start().await, FullListener::start().await];
        let mut servers = vec![member("s-r", &reader.address, "reader")];
        servers.extend(
            full.iter()
                .map(|listener| member(&format!("s-{}", listener.address), &listener.address, "writer")),
        );
        let conductor = Conductor::start(&servers, "").await;
        let mut client = conductor.ask("b1", "book", 1_000).await;
        let started = Stopwatch::start();
        let mut seen = reader.next().await;
        seen.answer("202 Accepted", "", "{}").await;
        let read = Stopwatch::start();
        seen.go_on();
        assert!(reader.next_release().await.starts_with("DELETE /kv/leases/b1 "));
        // 300 ms by the settings, and another 300 ms by the platform's protocol.
        assert!(read.elapsed() < Duration::from_millis(600), "{:?}", read.elapsed());
        let later_attempts = async {
            loop {
                let mut seen = reader.next().await;
                seen.answer("202 Accepted", "", "{}").await;
                seen.go_on();
            }
        };
        let head = tokio::select! {
            head = client.until("\r\n\r\n") => head.expect("an answer"),
            () = later_attempts => unreachable!(),
        };
        // The request has reached no writer, so it may be sent again.
        assert!(head.starts_with("HTTP/1.1 503"), "{head}");
        assert!(started.elapsed() < Duration::from_millis(1_100), "{:?}", started.elapsed());
    });
}

/// Guards against a request whose deadline is not kept while a connection is waited for.
#[test]
fn deadline_is_kept_while_connections_are_being_established() {
    story(async {
        let full = FullListener::start().await;
        let servers = [member("s-r", &full.address, "reader"), member("s-w", "127.0.0.1:1", "writer")];
        let conductor = Conductor::start(&servers, "").await;
        for (class, time_left) in [("ask", 100), ("book", 100), ("ask", 600), ("book", 600)] {
            let started = Stopwatch::start();
            let mut client = conductor.ask(&format!("{class}{time_left}"), class, time_left).await;
            let head = client.until("\r\n\r\n").await.expect("an answer");
            // At the deadline the attempt at the reader is still in progress, so it is not yet proven that a booking
            // has not run.
            assert!(head.starts_with("HTTP/1.1 503") || class == "book" && head.contains("504"), "{head}");
            let limit = Duration::from_millis(u64::from(time_left) + 100);
            assert!(started.elapsed() < limit, "{:?}", started.elapsed());
        }
    });
}

/// Guards against a connection that is established late and carries a request that was given up long before.
#[test]
fn late_connection_carries_no_request_that_was_given_up() {
    story(async {
        let full = FullListener::start().await;
        let servers = [member("s-r", &full.address, "reader"), member("s-w", "127.0.0.1:1", "writer")];
        let mut config = config(&telling_once(&servers).await, &servers);
        // Longer than the system waits before it tries to connect again.
        config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(15_000.0);
        let conductor = Conductor::start_with(config, "").await;
        let client = conductor.ask("c1", "ask", 5000).await;
        sleep(Duration::from_millis(50)).await;
        drop(client);
        sleep(Duration::from_millis(50)).await;
        let listener = full.accept_queued().await;
        // The system would try again after a second. Release calls arrive on connections of their own.
        let (until, mut late_connections) = (Instant::now() + Duration::from_millis(1_500), Vec::new());
        while let Ok(accepted) = timeout_at(until, listener.accept()).await {
            late_connections.push(Wire::of(accepted.expect("a connection").0));
        }
        for mut wire in late_connections {
            let sent = timeout(Duration::from_millis(50), wire.until("POST ")).await;
            assert!(!matches!(sent, Ok(Some(_))), "{sent:?}");
        }
    });
}

/// Guards against a partly written request that counts as run, and a completely written one that counts as not run.
#[test]
fn request_may_have_run_only_after_its_last_byte_is_written() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let peers = client(LINKS, ConnectionBudget::new(9));
        // Far more than the system buffers at once. The server resets the connection after reading the second number of
        // bytes.
        let long = 32 << 20;
        for (body, reads) in
            [(long, 100), (long, long / 2), (long, long + 1), (2, 1), (2, 60), (0, 1), (0, 40)]
        {
            let server = async {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let (mut space, mut read) = (vec![0; 1 << 16], 0);
                while read < reads {
                    read += stream.read(&mut space).await.expect("it writes");
                }
                Wire::of(stream).reset();
            };
            let mut head = Request::new(());
            *head.method_mut() = http::Method::POST;
            *head.uri_mut() = format!("http://{address}/").parse().expect("an address");
            let is_written = Arc::new(AtomicBool::new(false));
            let written_flag = is_written.clone();
            let on_written = Box::new(move || written_flag.store(true, Ordering::Relaxed));
            let (message, tracker) = TrackedBody::attach(head, vec![b'x'; body].into(), on_written);
            let (answer, ()) = tokio::join!(peers.request(message), server);
            let error = answer.expect_err("it is reset");
            let whole = body < long || reads > long;
            assert_eq!(tracker.may_have_run(&error), whole, "{reads} of {body}: {error:?}");
            assert_eq!(is_written.load(Ordering::Relaxed), whole, "{reads} of {body}");
        }
    });
}

/// Guards against idle connections that hold all descriptors, so that no new one can be opened until they expire.
#[test]
fn idle_connection_is_closed_when_a_new_one_needs_its_descriptor() {
    story(async {
        let budget = ConnectionBudget::new(2);
        let peers = client(LINKS, budget);
        let mut servers = Vec::new();
        for _ in 0..4 {
            servers.push(Peer::start().await);
        }
        let call = async |server: usize| {
            let mut head = Request::new(());
            *head.uri_mut() =
                format!("http://{}/alive", servers[server].address).parse().expect("an address");
            let (message, tracker) = TrackedBody::attach(head, bytes::Bytes::new(), Box::new(|| {}));
            let answer = peers.request(message).await.expect("a connection");
            let body = answer.into_body().collect().await.expect("a whole answer");
            drop(tracker);
            assert!(!body.to_bytes().is_empty());
        };
        // Each server in turn, twice. From the third call on, no descriptor is free.
        for round in 0..8 {
            timeout(Duration::from_secs(2), call(round % 4)).await.expect("in time");
        }
    });
}

/// Guards against a connection with a request in progress that is closed for the sake of a new one.
#[test]
fn connection_in_use_is_not_closed_for_a_new_one() {
    story(async {
        let peers = client(LINKS, ConnectionBudget::new(1));
        let (mut slow, other) = (Peer::start().await, Peer::start().await);
        let message = |peer: &Peer| {
            let mut head = Request::new(());
            *head.uri_mut() = format!("http://{}/slow", peer.address).parse().expect("an address");
            TrackedBody::attach(head, bytes::Bytes::new(), Box::new(|| {}))
        };
        let (request, _tracker) = message(&slow);
        let first = tokio::spawn(peers.request(request));
        let mut seen = slow.next().await;
        let (refused, _other_tracker) = message(&other);
        assert!(peers.request(refused).await.expect_err("no descriptor is free").is_connect());
        seen.answer("200 OK", "", "ok").await;
        assert!(first.await.expect("no panic").expect("an answer").status().is_success());
    });
}
