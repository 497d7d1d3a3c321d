//! Stories of connections that do not come up: the time of a request runs on meanwhile, nothing was sent on them, and
//! what was held for them is free again.

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

/// A listener whose queue is full: the system drops whatever else would connect, which tries again after a second.
struct Full {
    address: String,
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl Full {
    async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(0).expect("a listener");
        let address = listener.local_addr().expect("an address").to_string();
        let mut queued = Vec::new();
        while let Ok(stream) = timeout(Duration::from_millis(100), TcpStream::connect(&address)).await {
            queued.push(stream.expect("a connection"));
        }
        Full { address, listener, queued }
    }

    /// Makes room: who tries again now comes up.
    async fn open(self) -> TcpListener {
        for _ in &self.queued {
            self.listener.accept().await.expect("a queued connection");
        }
        self.listener
    }
}

const LINKS: Links = Links { idle: 15_000_000, connect: 250_000 };

/// Failure: a dial that is given up, by its caller or by its time, keeps a descriptor for as long as the system tries.
#[test]
fn a_dial_holds_its_permit_for_no_longer_than_its_time() {
    story(async {
        let full = Full::start().await;
        let permits = Arc::new(Semaphore::new(2));
        let peers = client(LINKS, ConnectionBudget::with_permits(permits.clone()));
        let call = || {
            let mut request = Request::new(TrackedBody::empty());
            *request.uri_mut() = format!("http://{}/alive", full.address).parse().expect("an address");
            peers.request(request)
        };
        let (began, stopwatch) = (Instant::now(), Stopwatch::start());
        let given_up = timeout(Duration::from_millis(50), call()).await;
        assert!(given_up.is_err(), "it is out");
        tokio::task::yield_now().await;
        assert_eq!(permits.available_permits(), 2, "its caller has gone");
        let error = call().await.expect_err("it never comes up");
        assert!(error.is_connect(), "{error}");
        assert_eq!(permits.available_permits(), 2, "its time is over");
        let (took, given) = (began.elapsed(), stopwatch.elapsed());
        assert!(took > Duration::from_millis(290) && given < Duration::from_millis(900), "{took:?}");
    });
}

/// Failure: a booking is taken for run at a server that it never reached, or waits there beyond what is held.
#[test]
fn a_booking_whose_connection_does_not_come_up_goes_to_another_writer() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let full = Full::start().await;
        let servers = [
            member("s-r", &reader.address, "reader"),
            member("s-full", &full.address, "writer"),
            member("s-w", &writer.address, "writer"),
        ];
        // Chance picks the first writer: for some of these conductors, which have not met it yet, the full one comes
        // first, where no probe tells before that it is silent.
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

/// Failure: a state stays pinned while connections to writers are waited for.
#[test]
fn what_is_held_is_let_go_of_though_no_writers_connection_comes_up() {
    story(async {
        let mut reader = Peer::start().await;
        let full = [Full::start().await, Full::start().await, Full::start().await];
        let mut servers = vec![member("s-r", &reader.address, "reader")];
        servers.extend(full.iter().map(|one| member(&format!("s-{}", one.address), &one.address, "writer")));
        let conductor = Conductor::start(&servers, "").await;
        let mut client = conductor.ask("b1", "book", 1_000).await;
        let began = Stopwatch::start();
        let mut seen = reader.next().await;
        seen.answer("202 Accepted", "", "{}").await;
        let read = Stopwatch::start();
        seen.go_on();
        assert!(reader.next_release().await.starts_with("DELETE /kv/leases/b1 "));
        // 300 ms by the settings, and 300 ms more by the platform's protocol.
        assert!(read.elapsed() < Duration::from_millis(600), "{:?}", read.elapsed());
        let again = async {
            loop {
                let mut seen = reader.next().await;
                seen.answer("202 Accepted", "", "{}").await;
                seen.go_on();
            }
        };
        let head = tokio::select! {
            head = client.until("\r\n\r\n") => head.expect("an answer"),
            () = again => unreachable!(),
        };
        // It has reached nobody: to come again is harmless.
        assert!(head.starts_with("HTTP/1.1 503"), "{head}");
        assert!(began.elapsed() < Duration::from_millis(1_100), "{:?}", began.elapsed());
    });
}

/// Failure: a deadline waits for a connection.
#[test]
fn a_deadline_runs_on_while_connections_come_up() {
    story(async {
        let full = Full::start().await;
        let servers = [member("s-r", &full.address, "reader"), member("s-w", "127.0.0.1:1", "writer")];
        let conductor = Conductor::start(&servers, "").await;
        for (class, time_left) in [("ask", 100), ("book", 100), ("ask", 600), ("book", 600)] {
            let began = Stopwatch::start();
            let mut client = conductor.ask(&format!("{class}{time_left}"), class, time_left).await;
            let head = client.until("\r\n\r\n").await.expect("an answer");
            // At its deadline the attempt at the reader is still out: for a booking that is no proof yet.
            assert!(head.starts_with("HTTP/1.1 503") || class == "book" && head.contains("504"), "{head}");
            let most = Duration::from_millis(u64::from(time_left) + 100);
            assert!(began.elapsed() < most, "{:?}", began.elapsed());
        }
    });
}

/// Failure: a connection that comes up late carries a request that was given up long ago.
#[test]
fn a_connection_that_comes_up_late_carries_nothing_that_was_given_up() {
    story(async {
        let full = Full::start().await;
        let servers = [member("s-r", &full.address, "reader"), member("s-w", "127.0.0.1:1", "writer")];
        let mut config = config(&telling_once(&servers).await, &servers);
        // Longer than until the system tries again.
        config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(15_000.0);
        let conductor = Conductor::start_with(config, "").await;
        let client = conductor.ask("c1", "ask", 5000).await;
        sleep(Duration::from_millis(50)).await;
        drop(client);
        sleep(Duration::from_millis(50)).await;
        let listener = full.open().await;
        // The system would try again after a second. Calls that let go come on connections of their own.
        let (until, mut came) = (Instant::now() + Duration::from_millis(1_500), Vec::new());
        while let Ok(accepted) = timeout_at(until, listener.accept()).await {
            came.push(Wire::of(accepted.expect("a connection").0));
        }
        for mut wire in came {
            let sent = timeout(Duration::from_millis(50), wire.until("POST ")).await;
            assert!(!matches!(sent, Ok(Some(_))), "{sent:?}");
        }
    });
}

/// Failure: what was written in part is taken for run, or what was written whole for never run.
#[test]
fn a_request_may_have_run_once_its_last_byte_is_written_and_not_before() {
    story(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let peers = client(LINKS, ConnectionBudget::new(9));
        // Far more than the system takes at once; the server reads so much of it before its reset.
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
            let told = Arc::new(AtomicBool::new(false));
            let tells = told.clone();
            let tell = Box::new(move || tells.store(true, Ordering::Relaxed));
            let (message, fate) = TrackedBody::attach(head, vec![b'x'; body].into(), tell);
            let (answer, ()) = tokio::join!(peers.request(message), server);
            let error = answer.expect_err("it is reset");
            let whole = body < long || reads > long;
            assert_eq!(fate.may_have_run(&error), whole, "{reads} of {body}: {error:?}");
            assert_eq!(told.load(Ordering::Relaxed), whole, "{reads} of {body}");
        }
    });
}

/// Failure: connections that are idle hold all descriptors, and no new one can be made until they are too old.
#[test]
fn an_idle_connection_makes_room_for_a_new_one() {
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
            let (message, fate) = TrackedBody::attach(head, bytes::Bytes::new(), Box::new(|| {}));
            let answer = peers.request(message).await.expect("a connection");
            let body = answer.into_body().collect().await.expect("a whole answer");
            drop(fate);
            assert!(!body.to_bytes().is_empty());
        };
        // Each server in turn, twice: the third and the fourth find no descriptor free.
        for round in 0..8 {
            timeout(Duration::from_secs(2), call(round % 4)).await.expect("in time");
        }
    });
}

/// Failure: a connection on which a request is out is closed for another one.
#[test]
fn a_connection_in_use_makes_no_room() {
    story(async {
        let peers = client(LINKS, ConnectionBudget::new(1));
        let (mut slow, other) = (Peer::start().await, Peer::start().await);
        let message = |peer: &Peer| {
            let mut head = Request::new(());
            *head.uri_mut() = format!("http://{}/slow", peer.address).parse().expect("an address");
            TrackedBody::attach(head, bytes::Bytes::new(), Box::new(|| {}))
        };
        let (out, _fate) = message(&slow);
        let first = tokio::spawn(peers.request(out));
        let mut seen = slow.next().await;
        let (refused, _other_fate) = message(&other);
        assert!(peers.request(refused).await.expect_err("there is no room").is_connect());
        seen.answer("200 OK", "", "ok").await;
        assert!(first.await.expect("no panic").expect("an answer").status().is_success());
    });
}
