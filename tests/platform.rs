//! Stories of the platform's front: a conductor between clients and instances that follow a script.

mod peers;

use std::time::{Duration, Instant};

use peers::*;
use serde_json::json;
use tokio::time::sleep;

async fn read(reader: &mut Peer) {
    reader.next().await.answer("202 Accepted", "", r#"{"cached_tokens":0}"#).await;
}

#[test]
fn a_request_is_read_then_written_and_its_events_pass_unchanged() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let mut client = conductor.ask("c1", "ask", 4000).await;
        let mut seen = reader.next().await;
        assert!(seen.head.starts_with("POST /v1/chat/completions?x=1 "), "{}", seen.head);
        assert_eq!(header(&seen.head, "x-correlation-id").as_deref(), Some("c1"));
        let left: u32 = header(&seen.head, "x-time-left-ms").expect("time left").parse().expect("a number");
        assert!((3000..=4000).contains(&left), "{left}");
        assert_eq!(seen.body, "{}");
        seen.answer("202 Accepted", "", r#"{"cached_tokens":5}"#).await;
        let mut seen = writer.next().await;
        seen.begin().await;
        seen.chunk("data: {\"a\":1}\n\n").await;
        let head = client.until("\r\n\r\n").await.expect("a head");
        assert!(head.starts_with("HTTP/1.1 200") && head.contains("text/event-stream"), "{head}");
        // The first event is there before the second one is made.
        assert_eq!(client.until("1}\n\n").await.expect("an event"), "F\r\ndata: {\"a\":1}\n\n");
        seen.chunk("data: [DONE]\n\n: X-Backend-Load: TEXT x0=0.5\n\n").await;
        seen.end().await;
        let rest = client.until("\r\n0\r\n\r\n").await.expect("a whole answer");
        assert!(rest.contains("data: [DONE]\n\n: X-Backend-Load: TEXT x0=0.5\n\n"), "{rest}");
    });
}

/// Failure: a booking goes out again, or is called harmless, though its writer may have run it.
/// Failure: a further attempt tells its server the time that the first one had.
#[test]
fn each_attempt_tells_at_most_what_is_left_to_its_client() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let began = Instant::now();
        let _client = conductor.ask("c1", "ask", 3000).await;
        let mut told = Vec::new();
        for refused in [true, false] {
            let mut seen = reader.next().await;
            told.push((began.elapsed(), seen.head.clone()));
            sleep(Duration::from_millis(200)).await;
            match refused {
                true => seen.answer("500 Internal Server Error", "", "").await,
                false => seen.answer("202 Accepted", "", "{}").await,
            }
            seen.go_on();
        }
        let seen = writer.next().await;
        told.push((began.elapsed(), seen.head.clone()));
        for (passed, head) in &told {
            let says: u64 = header(head, "x-time-left-ms").expect("time left").parse().expect("a number");
            // The client's own way is in neither; reading the story's clock comes after the attempt was sent.
            let left = Duration::from_secs(3).saturating_sub(*passed) + Duration::from_millis(100);
            assert!(Duration::from_millis(says) <= left, "{says} ms told after {passed:?}");
        }
        assert!(told[2].0 >= Duration::from_millis(400), "each took its time");
    });
}

#[test]
fn a_booking_whose_writer_dies_is_failed_and_never_sent_again() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let other = Peer::start().await;
        let servers = [
            member("s-r", &reader.address, "reader"),
            member("s-w", &writer.address, "writer"),
            member("s-x", &other.address, "writer"),
        ];
        let conductor = Conductor::start(&servers, "").await;
        let mut other = other;
        let mut client = conductor.ask("b1", "book", 9000).await;
        read(&mut reader).await;
        let seen = tokio::select! {
            seen = writer.next() => seen,
            seen = other.next() => seen,
        };
        drop(seen);
        let head = client.until("\r\n\r\n").await.expect("a head");
        assert!(head.starts_with("HTTP/1.1 500"), "{head}");
        assert_eq!(writer.unseen() + other.unseen() + reader.unseen(), 0);
    });
}

/// Failure: a connection that never came up is taken for one that broke.
#[test]
fn a_booking_that_reached_nobody_goes_to_another_writer() {
    story(async {
        let (mut reader, mut writer, dead) = (Peer::start().await, Peer::start().await, nowhere());
        let servers = [
            member("s-r", &reader.address, "reader"),
            member("s-dead", &dead.address, "writer"),
            member("s-w", &writer.address, "writer"),
        ];
        let conductor = Conductor::start(&servers, "").await;
        // Chance picks the first writer: in some of these the dead one comes first.
        for n in 0..8 {
            let mut client = conductor.ask(&format!("b{n}"), "book", 9000).await;
            read(&mut reader).await;
            let mut seen = writer.next().await;
            seen.begin().await;
            seen.chunk("data: [DONE]\n\n").await;
            seen.end().await;
            assert!(client.until("0\r\n\r\n").await.expect("an answer").starts_with("HTTP/1.1 200"));
        }
    });
}

/// Failure: the client takes a broken stream for a whole one.
#[test]
fn a_stream_that_breaks_ends_without_the_last_chunk() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let mut client = conductor.ask("c1", "ask", 4000).await;
        read(&mut reader).await;
        let mut seen = writer.next().await;
        seen.begin().await;
        seen.chunk("data: {}\n\n").await;
        client.until("data: {}\n\n").await.expect("the first event");
        drop(seen);
        let rest = client.rest().await;
        assert_eq!(rest, "\r\n", "only the end of the first chunk");
        assert_eq!(writer.unseen() + reader.unseen(), 0);
    });
}

/// Failure: work goes on, and state stays pinned, for a client that has left.
#[test]
fn a_client_that_leaves_closes_its_attempt_and_lets_go_of_its_state() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let client = conductor.ask("c1", "ask", 4000).await;
        let mut seen = reader.next().await;
        drop(client);
        assert_eq!(seen.wire.rest().await, "", "the connection is closed");
        assert!(reader.next_release().await.starts_with("DELETE /kv/leases/c1 "));

        let mut client = conductor.ask("c2", "ask", 4000).await;
        read(&mut reader).await;
        let mut seen = writer.next().await;
        seen.begin().await;
        seen.chunk("data: {}\n\n").await;
        client.until("data: {}\n\n").await.expect("the first event");
        drop(client);
        assert_eq!(seen.wire.rest().await, "", "the connection is closed");
    });
}

/// Failure: a refusal is held back until the client can't come again.
#[test]
fn without_servers_a_request_is_refused_at_once_with_advice() {
    story(async {
        let conductor = Conductor::start(&[], "").await;
        let mut client = conductor.ask("b1", "book", 9000).await;
        let began = std::time::Instant::now();
        let head = client.until("\r\n\r\n").await.expect("a head");
        assert!(head.starts_with("HTTP/1.1 503"), "{head}");
        assert!(header(&head, "retry-after").is_some(), "{head}");
        assert!(began.elapsed().as_secs() < 5, "long before its deadline");
    });
}

/// Failure: an instance that stays silent keeps a request beyond its deadline.
#[test]
fn silence_is_answered_at_the_deadline_and_closes_the_attempt() {
    story(async {
        let (mut reader, _writer, conductor) = pair().await;
        let mut client = conductor.ask("b1", "book", 300).await;
        let mut seen = reader.next().await;
        let head = client.until("\r\n\r\n").await.expect("a head");
        // The read is still out, so this is no promise that trying again is harmless.
        assert!(head.starts_with("HTTP/1.1 504"), "{head}");
        assert_eq!(seen.wire.rest().await, "", "the connection is closed");
        assert!(reader.next_release().await.starts_with("DELETE /kv/leases/b1 "));
    });
}

/// Failure: a fetch goes out on a connection that was open before and may be silent, or is sent again by a library when
/// its connection breaks.
#[test]
fn a_fetch_has_a_connection_of_its_own_and_is_not_sent_again_by_the_library() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let mut client = conductor.ask("c1", "ask", 4000).await;
        read(&mut reader).await;
        let mut first = writer.next().await;
        first.begin().await;
        first.chunk("data: [DONE]\n\n").await;
        first.end().await;
        client.until("0\r\n\r\n").await.expect("a whole answer");
        let mut second = conductor.ask("b2", "book", 9000).await;
        read(&mut reader).await;
        let seen = writer.next().await;
        assert!(seen.head.contains("b2"), "{}", seen.head);
        assert_eq!(first.wire.rest().await, "", "the first connection ends, and carries nothing more");
        drop(seen);
        assert!(second.until("\r\n\r\n").await.expect("a head").starts_with("HTTP/1.1 500"));
        assert_eq!(writer.unseen(), 0);
    });
}

#[test]
fn bad_input_is_told_apart_and_harms_nobody() {
    story(async {
        let (mut reader, _writer, conductor) = pair().await;
        let good = platform_request("c1", "ask", 4000, "{}");
        let long = "x".repeat(256 * 1024 + 1);
        let cases = [
            (good.replace("X-Correlation-Id: c1\r\n", ""), "400"),
            (good.replace("X-Service-Class: ask", "X-Service-Class: nobody"), "400"),
            (good.replace("X-Time-Left-Ms: 4000", "X-Time-Left-Ms: -1"), "400"),
            (good.replace("prompt_len=800", "prompt_len=99999999999999999999"), "400"),
            (good.replace("prompt_len=800", "prompt_len=9999999999999999"), "400"),
            (good.replace("prompt_len=800,", ""), "400"),
            (good.replace("X-Facts: ", "X-Facts: ,"), "400"),
            (good.replace("/v1/chat", "/nowhere"), "404"),
            (good.replace("POST /v1/", "GET /v1/"), "405"),
            (platform_request("c1", "ask", 4000, &long), "413"),
            ("no HTTP at all\r\n\r\n".to_string(), "400"),
        ];
        for (request, status) in cases {
            let mut wire = Wire::connect(&conductor.front).await;
            wire.write(&request).await;
            let head = wire.until("\r\n\r\n").await.expect("an answer");
            assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{head} for {request:.300}");
        }
        assert_eq!(reader.unseen(), 0);
        let _client = conductor.ask("c2", "ask", 4000).await;
        reader.next().await;
    });
}

/// Failure: a watch that pauses or is lost, and a list that comes whole, leave old servers in use.
#[test]
fn the_watch_goes_on_through_a_reset_and_a_whole_list() {
    story(async {
        let (mut old, mut new) = (Peer::start().await, Peer::start().await);
        let writer = Peer::start().await;
        let mut discovery = Peer::start().await;
        let config = config(&discovery.address, &[member("s-old", &old.address, "reader")]);
        let starting = tokio::spawn(async { Conductor::start_with(config, "").await });
        let mut seen = discovery.next().await;
        // What is known already need not be told again.
        assert!(seen.head.starts_with("GET /discovery/hosts?from=1&hold_ms="), "{}", seen.head);
        let servers = [member("s-old", &old.address, "reader"), member("s-w", &writer.address, "writer")];
        seen.answer("200 OK", "", &list(7, true, &servers).to_string()).await;
        let answered = std::time::Instant::now();
        let (head, _) = seen.wire.message().await.expect("the watch");
        assert!(answered.elapsed().as_millis() < 200, "a later call would begin a new watch");
        assert!(head.starts_with("GET /discovery/hosts?from=7&hold_ms="), "{head}");
        drop(seen); // a reset
        let mut seen = discovery.next().await;
        assert!(seen.head.starts_with("GET /discovery/hosts?from=7&hold_ms="), "{}", seen.head);
        // Discovery has started anew: its versions have gone back.
        seen.answer("200 OK", "", &list(2, false, &[]).to_string()).await;
        let (head, _) = seen.wire.message().await.expect("a call for the whole list");
        assert!(head.starts_with("GET /discovery/hosts HTTP"), "{head}");
        let servers = [member("s-new", &new.address, "reader"), member("s-w", &writer.address, "writer")];
        seen.answer("200 OK", "", &list(3, true, &servers).to_string()).await;
        let (head, _) = seen.wire.message().await.expect("the watch");
        assert!(head.starts_with("GET /discovery/hosts?from=3&"), "{head}");
        let conductor = starting.await.expect("it serves");
        let _client = conductor.ask("c1", "ask", 4000).await;
        new.next().await;
        assert_eq!(old.unseen(), 0);
    });
}

/// Failure: a discovery that has too many callers is asked again at once, by each of them; or nobody is served until
/// it answers.
#[test]
fn a_discovery_that_refuses_is_left_alone_for_a_while_and_the_known_list_serves() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
        let mut discovery = Peer::start().await;
        let mut config = config(&discovery.address, &servers);
        config["settings"]["ReplicasOfMe"] = json!(10);
        let began = std::time::Instant::now();
        let starting = Conductor::start_with(config, "");
        let (conductor, mut seen) = tokio::join!(starting, async {
            let mut seen = discovery.next().await;
            seen.answer("503 Service Unavailable", "", "").await;
            seen
        });
        assert!(began.elapsed().as_millis() < 1_500, "{:?}", began.elapsed());
        let refused = std::time::Instant::now();
        let mut client = conductor.ask("c1", "ask", 4000).await;
        read(&mut reader).await;
        let mut answer = writer.next().await;
        answer.begin().await;
        answer.chunk("data: [DONE]\n\n").await;
        answer.end().await;
        client.until("0\r\n\r\n").await.expect("an answer by the known list");
        let (head, _) = seen.wire.message().await.expect("the watch");
        assert!(
            head.starts_with("GET /discovery/hosts?from=1&hold_ms="),
            "it goes on from what it knows: {head}"
        );
        assert!(refused.elapsed().as_millis() >= 300, "{:?}", refused.elapsed());
    });
}

/// Failure: a state stays pinned because the reader that should let go of it has died.
#[test]
fn where_the_holder_is_dead_another_server_is_told_to_let_go() {
    story(async {
        let (mut a, mut b) = (Peer::start().await, Peer::start().await);
        let writer = nowhere();
        let servers = [
            member("s-a", &a.address, "reader"),
            member("s-b", &b.address, "reader"),
            member("s-w", &writer.address, "writer"),
        ];
        let conductor = Conductor::start(&servers, "").await;
        let _client = conductor.ask("c1", "ask", 4000).await;
        let (mut seen, holder, other) = tokio::select! {
            seen = a.next() => (seen, &mut a, &mut b),
            seen = b.next() => (seen, &mut b, &mut a),
        };
        seen.answer("202 Accepted", "", "{}").await;
        drop(seen);
        holder.stop().await;
        assert!(other.next_release().await.starts_with("DELETE /kv/leases/c1 "));
    });
}

/// Failure: a request is written to a connection that its server has just closed as idle.
#[test]
fn idle_connections_are_closed_ahead_of_the_servers_limit() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
        let mut discovery = Peer::start().await;
        let mut config = config(&discovery.address, &servers);
        config["settings"]["Limits"]["ConnIdleMs"] = json!(2000.0);
        let starting = Conductor::start_with(config, "");
        let (conductor, ()) = tokio::join!(starting, async {
            let mut seen = discovery.next().await;
            seen.answer("200 OK", "", &list(1, true, &servers).to_string()).await;
        });
        let _client = conductor.ask("c1", "ask", 4000).await;
        // The reader's connection is idle earlier and sets the times at which the pool looks: not when the
        // writer's has just expired.
        let mut first = reader.next().await;
        first.answer("202 Accepted", "", "{}").await;
        first.go_on();
        let mut seen = writer.next().await;
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        seen.begin().await;
        seen.chunk("data: [DONE]\n\n").await;
        seen.end().await;
        let idle = std::time::Instant::now();
        assert_eq!(seen.wire.rest().await, "");
        assert!(idle.elapsed().as_millis() < 2000, "{:?}", idle.elapsed());
    });
}

/// Failure: clients take so many descriptors that no server can be reached.
#[test]
fn beyond_the_budget_a_client_waits_until_another_has_left() {
    story(async {
        let mut reader = Peer::start().await;
        let servers = [member("s-r", &reader.address, "reader")];
        let mut discovery = Peer::start().await;
        let mut config = config(&discovery.address, &servers);
        config["limits"]["sockets"] = json!(64);
        let starting = Conductor::start_with(config, "");
        let (conductor, ()) = tokio::join!(starting, async {
            let mut seen = discovery.next().await;
            seen.answer("200 OK", "", &list(1, true, &servers).to_string()).await;
        });
        let mut first = Vec::new();
        for n in 0..12 {
            first.push(conductor.ask(&format!("c{n}"), "ask", 4000).await);
            reader.next().await.go_on();
        }
        let _waits = conductor.ask("late", "ask", 4000).await;
        let early = tokio::time::timeout(std::time::Duration::from_millis(200), reader.next()).await;
        assert!(early.is_err(), "its connection is not taken yet");
        first.clear();
        assert!(reader.next().await.head.contains("late"));
    });
}

/// Failure: the body of a request loses its first part when another request is behind it.
#[test]
fn body_with_another_request_behind_it_is_passed_on_whole() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let bodies = ["a", "b", "c"].map(|letter| letter.repeat(100_000));
        let requests: String = bodies
            .iter()
            .enumerate()
            .map(|(number, body)| platform_request(&format!("c{number}"), "ask", 4000, body))
            .collect();
        let mut client = Wire::connect(&conductor.front).await;
        client.write(&requests).await;
        for body in &bodies {
            let mut seen = reader.next().await;
            assert!(seen.body == *body, "{} bytes of {}", seen.body.len(), body.len());
            seen.answer("202 Accepted", "", r#"{"cached_tokens":0}"#).await;
            seen.go_on();
            writer.writes().await;
            client.rest_of_answer().await;
        }
    });
}
