//! Stories of the days in service: clients that send what can't be read or keep what others need, instances
//! whose answers are spoilt. What the words mean is in ARCHITECTURE.md.

mod peers;

use std::time::Duration;

use peers::stopwatch::Stopwatch;
use peers::*;
use serde_json::json;
use tokio::time::{Instant, timeout};

/// Failure: clients that have asked once and stay, or never ask, use the budget up and shut others out.
#[test]
fn connections_that_rest_make_room_for_those_that_ask() {
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
        // One that is being answered does not have to go.
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

/// Failure: clients that say nothing, or never end what they say, are kept for good.
#[test]
fn who_says_nothing_or_never_ends_is_closed_or_told_within_3_s() {
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

/// Failure: a body with two lengths hides a second request, which would run unasked.
#[test]
fn a_request_with_two_lengths_is_refused_and_nothing_behind_it_is_read() {
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

/// Failure: a client that uses the id of another's open request gets that one's answer, or ends it.
#[test]
fn an_id_that_is_open_is_refused_and_the_first_request_goes_on() {
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
        // Once it is over the id is nobody's.
        let mut again = conductor.ask("c1", "ask", 4000).await;
        reader.next().await.answer("500 No", "", "").await;
        drop(again.until("\r\n\r\n").await);
    });
}

/// Failure: a booking whose answer can't be read runs again, its client waits until its time is over, or it
/// is given bytes that are no event.
#[test]
fn a_stream_spoilt_before_its_first_event_is_a_failed_attempt_that_may_have_run() {
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

/// Failure: a stream spoilt later looks whole to its client, or its connection stays open.
#[test]
fn a_stream_spoilt_later_ends_the_clients_connection_without_the_last_chunk() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        // The first two frames are swallowed by a chunk that is declared too long; then nothing comes.
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

/// Failure: what comes beside a good stream spoils it, or is taken for the answer to the next request.
#[test]
fn what_a_good_answer_brings_beyond_itself_is_passed_over() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let mut client = conductor.ask("c1", "ask", 4000).await;
        reader.reads().await;
        let mut seen = writer.next().await;
        seen.wire.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n").await;
        // Longer than a head that has begun may take.
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

/// Failure: on a long day, instances that were replaced are still sent to, or new ones are not.
#[test]
fn instances_are_replaced_again_and_again_while_clients_ask_once_and_stay() {
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
