//! Tests of faults in everyday service: clients that send malformed requests or occupy resources that others need, and
//! servers whose answers are malformed. The terms are explained in ARCHITECTURE.md.

mod peers;

use std::time::Duration;

use peers::stopwatch::Stopwatch;
use peers::*;
use serde_json::json;
use tokio::time::{Instant, timeout};

/// Guards against clients that send one request and stay connected, or send none, and so use up the connection budget
/// and shut others out.
#[test]
fn idle_connections_are_closed_for_active_clients() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
        let conductor = Conductor::with_sockets(&servers, 64).await; // twelve are for clients
        let mut stay = Vec::new();
        for n in 0..14 {
            let mut client = conductor.ask(&format!("c{n}"), "ask", 4000).await;
            serve(&mut reader, &mut writer).await;
            client.until("0\r\n\r\n").await.expect("a whole answer");
            stay.push(client);
            stay.push(Wire::connect(&conductor.front).await);
        }
        // A connection whose answer is in progress is not closed.
        let mut open = conductor.ask("open", "ask", 4000).await;
        reader.reads().await;
        let mut seen = writer.next().await;
        seen.begin().await;
        seen.chunk("data: 1\n\n").await;
        open.until("data: 1\n\n").await.expect("an event");
        for _ in 0..14 {
            stay.push(Wire::connect(&conductor.front).await);
        }
        seen.chunk("data: 2\n\n").await;
        seen.end().await;
        assert!(open.rest_of_answer().await.ends_with("data: 2\n\n\r\n0\r\n\r\n"));
    });
}

/// Guards against connections that stay open for ever though the client sends nothing, or an endless request.
#[test]
fn silent_or_endless_client_is_closed_or_refused_within_3_s() {
    story(async {
        let (mut reader, _writer, conductor) = pair().await;
        let start = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n";
        let whole = platform_request("c1", "ask", 4000, "");
        let unsent = whole.replace("Content-Length: 0", "Content-Length: 9");
        let endless = format!("{start}X-Facts: {}", "a".repeat(9000));
        let began = Instant::now();
        let mut clients = Vec::new();
        for text in ["", "P", start, &endless, &unsent, "\0\x01 noise\r\n\r\n"] {
            let mut client = Wire::connect(&conductor.front).await;
            client.write(text).await;
            clients.push(client);
        }
        for mut client in clients {
            let left = Duration::from_secs(3).saturating_sub(began.elapsed());
            let answer = timeout(left, client.rest()).await.expect("a close or an error");
            assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
        }
        assert_eq!(reader.unseen(), 0);
    });
}

/// Guards against request smuggling: a body with two lengths hides a second request, which would run unasked.
#[test]
fn request_with_two_lengths_is_refused_and_nothing_behind_it_is_read() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let hidden = platform_request("c2", "book", 4000, "{}");
        let outer = platform_request("c1", "book", 4000, "");
        let sized = format!("Content-Length: {}\r\n", hidden.len() + 5);
        for lengths in [
            format!("Transfer-Encoding: chunked\r\n{sized}"),
            format!("{sized}Transfer-Encoding: chunked\r\n"),
            format!("{sized}Content-Length: 5\r\n"),
        ] {
            let mut client = Wire::connect(&conductor.front).await;
            client.write(&outer.replace("Content-Length: 0\r\n", &lengths)).await;
            client.write(&format!("0\r\n\r\n{hidden}")).await;
            assert!(client.rest().await.starts_with("HTTP/1.1 400"));
        }
        // A chunked body alone is fine, but the connection ends with it.
        let mut client = Wire::connect(&conductor.front).await;
        client.write(&outer.replace("Content-Length: 0", "Transfer-Encoding: chunked")).await;
        client.write(&format!("2\r\n{{}}\r\n0\r\n\r\n{hidden}")).await;
        serve(&mut reader, &mut writer).await;
        let answer = client.rest().await.to_lowercase();
        assert!(answer.contains("connection: close") && answer.matches("http/1.1").count() == 1, "{answer}");
        assert_eq!(reader.unseen(), 0);
    });
}

/// Guards against a client that uses the id of another client's open request and so receives its answer or ends it.
#[test]
fn duplicate_id_is_refused_and_the_first_request_goes_on() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let mut first = conductor.ask("c1", "ask", 4000).await;
        let seen = reader.next().await;
        let mut second = conductor.ask("c1", "ask", 4000).await;
        assert!(second.until("\r\n\r\n").await.expect("an answer").starts_with("HTTP/1.1 409"));
        drop(second);
        let mut seen = seen;
        seen.answer("202 Accepted", "", "{}").await;
        let mut seen = writer.next().await;
        seen.begin().await;
        seen.chunk("data: [DONE]\n\n").await;
        seen.end().await;
        first.until("0\r\n\r\n").await.expect("a whole answer");
        // Once the request has ended, the id may be used again.
        let mut again = conductor.ask("c1", "ask", 4000).await;
        reader.next().await.answer("500 No", "", "").await;
        drop(again.until("\r\n\r\n").await);
    });
}

/// Guards against a booking with a malformed answer that runs again, leaves its client waiting until the deadline, or
/// passes bytes to it that are not an event.
#[test]
fn stream_malformed_before_its_first_event_is_a_failed_attempt_that_may_have_run() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        for (n, spoilt) in [
            "\x02\x7fnoise\r\n\r\n".to_string(),
            "HTTP/1.1 200 OK\r\nX: y".to_string(), // and nothing more
            format!("HTTP/1.1 200 OK\r\nX: {}", "y".repeat(100_000)),
            format!("{HEAD}ff\r\ndata: 1\n"), // and nothing more
            format!("{HEAD}zz\r\ndata: 1\n\n\r\n"),
            format!("{HEAD}4\r\ndata: 1\n\n\r\n"),
            format!("{HEAD}1a\r\ndata: 1\n\n\r\n9\r\ndata: 2\n\n\r\n"),
            format!("{HEAD}c0000000\r\n{}", "data: 1".repeat(50_000)),
        ]
        .into_iter()
        .enumerate()
        {
            let mut client = conductor.ask(&format!("c{n}"), "book", 9000).await;
            reader.reads().await;
            let mut seen = writer.next().await;
            let began = Stopwatch::start();
            seen.wire.write_all_it_takes(&spoilt).await;
            let head = client.until("\r\n\r\n").await.expect("an answer");
            assert!(head.starts_with("HTTP/1.1 500"), "{head} after {spoilt:.99}");
            assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
            assert_eq!((reader.unseen(), writer.unseen()), (0, 0));
        }
    });
}

/// Guards against a stream that becomes malformed after its first event and looks complete to its client, or whose
/// connection stays open.
#[test]
fn stream_malformed_later_closes_the_client_connection_without_the_last_chunk() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        // The chunk in `last` is declared too long: it covers its own end and the last chunk. Nothing more is sent.
        let last = "1a\r\ndata: 2\n\n\r\n0\r\n\r\n";
        let noise = format!("c0000000\r\n{}", "noise".repeat(60_000));
        for (n, spoilt) in ["-1\r\n", "4\r\ndata: 2\n\n\r\n", "noise\n", last, "ff\r\ndata: 2\n\n", &noise]
            .into_iter()
            .enumerate()
        {
            let mut client = conductor.ask(&format!("c{n}"), "ask", 4000).await;
            reader.reads().await;
            let mut seen = writer.next().await;
            seen.begin().await;
            seen.chunk("data: 1\n\n").await;
            client.until("data: 1\n\n").await.expect("an event");
            seen.wire.write_all_it_takes(spoilt).await;
            let rest = timeout(Duration::from_secs(5), client.rest()).await.expect("an end");
            assert!(!rest.contains("0\r\n\r\n") && !rest.contains("noise"), "{rest} after {spoilt:.40}");
        }
    });
}

/// Guards against bytes around a valid stream that make it fail, or are taken for the answer to the next request.
#[test]
fn bytes_around_a_valid_answer_are_ignored() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let mut client = conductor.ask("c1", "ask", 4000).await;
        reader.reads().await;
        let mut seen = writer.next().await;
        seen.wire.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n").await;
        // Longer than a head may take once it has begun.
        tokio::time::sleep(Duration::from_millis(600)).await;
        seen.wire.write(&HEAD.replace("\r\n\r\n", "\r\nX-Backend-Load: TEXT \u{fe}=?,x0\r\n\r\n")).await;
        seen.chunk("data: 1\n\n: X-Backend-Load: TEXT util=many\n\n").await;
        seen.wire.write("0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother").await;
        let answer = client.until("0\r\n\r\n").await.expect("a whole answer");
        assert!(answer.contains("data: 1\n\n: X-Backend-Load: TEXT util=many\n\n"), "{answer}");
        let mut next = conductor.ask("c2", "ask", 4000).await;
        serve(&mut reader, &mut writer).await;
        assert!(next.until("0\r\n\r\n").await.expect("a whole answer").contains("data: [DONE]"));
    });
}

/// Guards against requests that are still sent to replaced instances, or not to new ones, after many replacements.
#[test]
fn requests_follow_repeated_replacement_of_instances_while_idle_clients_stay() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let fleet = |n: u64, reader: &Peer, writer: &Peer| {
            let ids = (format!("s-r{n}"), format!("s-w{n}"));
            [member(&ids.0, &reader.address, "reader"), member(&ids.1, &writer.address, "writer")]
        };
        let mut discovery = Peer::start().await;
        let mut servers = fleet(0, &reader, &writer);
        let starting = Conductor::start_with(config(&discovery.address, &servers), "");
        let (conductor, mut watch) = tokio::join!(starting, async {
            let mut watch = discovery.next().await;
            watch.answer("200 OK", "", &list(1, true, &servers).to_string()).await;
            watch
        });
        let mut stay = Vec::new();
        for n in 1..6 {
            watch.wire.message().await.expect("the watch");
            let (mut old_reader, mut old_writer) = (reader, writer);
            (reader, writer) = (Peer::start().await, Peer::start().await);
            let mut gone = servers;
            gone.iter_mut().for_each(|member| member["phase"] = json!("terminated"));
            servers = fleet(n, &reader, &writer);
            let changes = [&gone[..], &servers[..]].concat();
            watch.answer("200 OK", "", &list(n + 1, false, &changes).to_string()).await;
            old_reader.stop().await;
            old_writer.stop().await;
            let mut client = conductor.ask(&format!("c{n}"), "book", 9000).await;
            serve(&mut reader, &mut writer).await;
            assert!(client.rest_of_answer().await.starts_with("HTTP/1.1 200"));
            stay.push(client);
        }
    });
}
