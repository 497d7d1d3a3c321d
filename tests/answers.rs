//! Stories of answers that are broken: that never end, come twice, contradict themselves or get lost. Each request
//! has one final answer, in time, and what may have run and must not run twice is never sent again.

mod peers;

use std::future::Future;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use milletseam::transport::peer::connector::REUSE_DELAY;
use peers::stopwatch::Stopwatch;
use peers::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};

/// Sends a text again and again, until the other side has hung up; how long that took.
async fn for_ever(wire: &mut Wire, text: &str, pause: Duration) -> Duration {
    let began = Stopwatch::start();
    while wire.takes(text).await {
        sleep(pause).await;
    }
    began.elapsed()
}

/// A chunk with this text.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Failure: bytes that go on for ever without an event keep a request until its time is over, or are its answer.
#[test]
fn an_answer_that_goes_on_without_an_event_is_a_failed_attempt() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let cases = [
            ("HTTP/1.1 200 OK\r\n".to_string(), "X-More: y\r\n".to_string()),
            (HEAD.to_string(), chunk(": wait\n\n")),
            (format!("{HEAD}ffffff\r\ndata: "), "x".to_string()),
            (HEAD.to_string(), chunk("data: x\n")),
        ];
        for (n, (start, more)) in cases.into_iter().enumerate() {
            let mut client = conductor.ask(&format!("c{n}"), "book", 9000).await;
            reader.reads().await;
            let mut seen = writer.next().await;
            seen.wire.write(&start).await;
            let hung_up = for_ever(&mut seen.wire, &more, Duration::from_millis(20));
            let took = timeout(Duration::from_secs(3), hung_up).await.expect("its connection is closed");
            assert!(took < Duration::from_secs(2), "{took:?} of {more}");
            let head = client.until("\r\n\r\n").await.expect("an answer");
            assert!(head.starts_with("HTTP/1.1 500"), "{head} after {more}");
            assert_eq!((reader.unseen(), writer.unseen()), (0, 0));
        }
    });
}

/// Failure: a server that has stopped making events, but not writing, keeps its client for ever.
#[test]
fn a_stream_that_goes_on_without_events_is_broken_off() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let mut open = Vec::new();
        for (n, more) in [chunk(": wait\n\n"), "x".to_string()].into_iter().enumerate() {
            let mut client = conductor.ask(&format!("c{n}"), "book", 9000).await;
            reader.reads().await;
            let mut seen = writer.next().await;
            seen.begin().await;
            seen.chunk("data: 1\n\n").await;
            client.until("data: 1\n\n").await.expect("an event");
            if n == 1 {
                seen.wire.write("ffffff\r\ndata: ").await;
            }
            open.push((seen, client, more));
        }
        let (two, one) = (open.pop().expect("two"), open.pop().expect("one"));
        let end = |(mut seen, mut client, more): (Seen, Wire, String)| async move {
            for_ever(&mut seen.wire, &more, Duration::from_millis(100)).await;
            assert!(!client.rest().await.contains("0\r\n\r\n"), "it is not called whole");
        };
        // Whoever waits is owed the end within 5 s of the last event.
        let both = async { tokio::join!(end(one), end(two)) };
        timeout(Duration::from_secs(5), both).await.expect("both are broken off");
    });
}

/// Failure: a stream is cut while its server writes, or work goes on for a client that has left it.
#[test]
fn a_stream_goes_on_for_as_long_as_its_server_makes_events_and_its_client_stays() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let mut client = conductor.ask("c1", "ask", 4000).await;
        reader.reads().await;
        let mut seen = writer.next().await;
        seen.begin().await;
        // More than it was asked for (80 tokens), and longer than its client would have waited for the first one.
        let began = Instant::now();
        let mut n = 0;
        while began.elapsed() < Duration::from_millis(5_200) {
            seen.chunk(&format!("data: {n}\n\n")).await;
            let written = Stopwatch::start();
            client.until(&format!("data: {n}\n\n")).await.expect("an event");
            assert!(written.elapsed() < Duration::from_millis(300), "{:?}", written.elapsed());
            sleep(Duration::from_millis(40)).await;
            n += 1;
        }
        drop(client);
        let more = chunk("data: more\n\n");
        let hung_up = for_ever(&mut seen.wire, &more, Duration::from_millis(5));
        timeout(Duration::from_secs(1), hung_up).await.expect("nobody wants it any more");
    });
}

/// Failure: what a client does not read is kept in memory.
#[test]
fn an_endless_stream_that_nobody_reads_is_held_back() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let _client = conductor.ask("c1", "ask", 4000).await;
        reader.reads().await;
        let mut seen = writer.next().await;
        seen.begin().await;
        let part = chunk(&format!("data: {}\n\n", "x".repeat(60_000)));
        let mut taken = 0;
        // The sockets' own buffers hold some megabytes on either side.
        while timeout(Duration::from_millis(500), seen.wire.takes(&part)).await.is_ok() {
            taken += part.len();
            assert!(taken < 64 << 20, "{taken} bytes were taken");
        }
    });
}

/// Failure: an event waits for the rest of its chunk, or of its packet.
#[test]
fn events_pass_as_they_come_in_however_small_pieces() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let mut client = conductor.ask("c1", "ask", 4000).await;
        reader.reads().await;
        let mut seen = writer.next().await;
        seen.begin().await;
        // One chunk holds what is sent byte by byte, with many events in it.
        let events: Vec<String> = (0..20).map(|n| format!("data: {n}\n\n")).collect();
        seen.wire.write(&format!("{:x}\r\n", events.concat().len() + 8)).await;
        for event in &events {
            for piece in event.as_bytes().chunks(1) {
                seen.wire.write(std::str::from_utf8(piece).expect("text")).await;
                tokio::task::yield_now().await;
            }
            let passes = client.until(event);
            timeout(Duration::from_millis(300), passes).await.expect("in time").expect("an event");
        }
        seen.wire.write("data: x\n\r\n").await;
        drop(seen);
        client.rest().await;
    });
}

/// Rounds in which a second answer came while its connection rested; on a busy machine some come later.
async fn rounds<F: Future<Output = bool>>(round: impl Fn() -> F) {
    let mut counted = 0;
    while counted < 3 {
        counted += u32::from(round().await);
    }
}

/// Failure: an answer that comes twice is taken for that to the next request on its connection.
#[test]
fn a_second_answer_is_nobodys() {
    story(rounds(|| async {
        let (mut reader, mut writer, conductor) = pair().await;
        let whole = |body: &str| format!("{HEAD}{}0\r\n\r\n", chunk(body));
        let mut first = conductor.ask("c1", "ask", 4000).await;
        reader.reads().await;
        let mut seen = writer.next().await;
        // The next request is read, and waits for a writer just as the first one ends.
        let mut second = conductor.ask("b1", "book", 9000).await;
        let mut next = reader.next().await;
        let began = Instant::now();
        seen.wire.write(&whole("data: own\n\n")).await;
        first.until("0\r\n\r\n").await.expect("a whole answer");
        next.answer("202 Accepted", "", "{}").await;
        sleep(Duration::from_millis(3)).await;
        seen.wire.write_all_it_takes(&whole("data: other\n\n")).await;
        if began.elapsed() >= REUSE_DELAY {
            return false;
        }
        let mut next = writer.next().await;
        assert!(next.head.contains("b1"), "{}", next.head);
        next.wire.write(&whole("data: good\n\n")).await;
        let answer = second.until("0\r\n\r\n").await.expect("a whole answer");
        assert!(answer.contains("data: good") && !answer.contains("other"), "{answer}");
        assert_eq!(writer.unseen() + reader.unseen(), 0);
        true
    }));
}

/// Failure: a call that lets go is taken for answered by a reader's second answer, and the state stays pinned.
#[test]
fn a_second_answer_lets_go_of_nothing() {
    story(rounds(|| async {
        let (mut reader, writer) = (Peer::start().await, nowhere());
        let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
        let conductor = Conductor::start(&servers, "").await;
        let _client = conductor.ask("b1", "book", 400).await;
        let mut seen = reader.next().await;
        let answer = "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}";
        let began = Instant::now();
        seen.wire.write(answer).await;
        sleep(Duration::from_millis(3)).await;
        seen.wire.write_all_it_takes(answer).await;
        if began.elapsed() >= REUSE_DELAY {
            return false;
        }
        assert!(reader.next_release().await.starts_with("DELETE /kv/leases/b1 "));
        true
    }));
}

/// What ends the connection of an answer half way.
async fn ends(mut seen: Seen, text: &str, reset: bool) {
    seen.wire.write(text).await;
    // What was written reaches the other side ahead of a reset only if that has read it.
    sleep(Duration::from_millis(20)).await;
    if reset {
        seen.wire.reset();
    }
}

/// Failure: half an answer is passed on as a whole one, or what has run once runs again.
#[test]
fn half_an_answer_is_one_that_may_have_run() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let unframed = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        let halves = [
            "HT".to_string(),
            "HTTP/1.1 200 OK\r\nContent-Ty".to_string(),
            HEAD.to_string(),
            format!("{HEAD}e\r\ndata: "),
            format!("{HEAD}e\r\ndata: [DO"),
            format!("{HEAD}4\r\ndata"),
            "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\ndata: 1".to_string(),
            "HTTP/1.1 503 No\r\nX-Unproc".to_string(),
            format!("{unframed}data: 1\n"),
        ];
        for (n, half) in halves.iter().enumerate() {
            for reset in [false, true] {
                let mut client = conductor.ask(&format!("b{n}-{reset}"), "book", 9000).await;
                reader.reads().await;
                ends(writer.next().await, half, reset).await;
                let head = client.until("\r\n\r\n").await.expect("an answer");
                assert!(head.starts_with("HTTP/1.1 500"), "{head} after {half}");
                assert_eq!((reader.unseen(), writer.unseen()), (0, 0));
            }
        }
        // Once it has begun its client hears that it has broken off.
        for (n, begun) in [HEAD, unframed].into_iter().enumerate() {
            let mut client = conductor.ask(&format!("c{n}"), "ask", 4000).await;
            reader.reads().await;
            let mut seen = writer.next().await;
            let event = if begun == HEAD { chunk("data: 1\n\n") } else { "data: 1\n\n".to_string() };
            seen.wire.write(&format!("{begun}{event}")).await;
            client.until("data: 1\n\n").await.expect("an event");
            drop(seen);
            assert!(!client.rest().await.contains("0\r\n\r\n"), "it is not called whole");
            assert_eq!((reader.unseen(), writer.unseen()), (0, 0));
        }
    });
}

/// Failure: an answer that breaks off right behind its first event ends its client's connection before anything of it is
/// written, so that the request is lost.
#[test]
fn what_came_before_an_answer_broke_off_reaches_its_client() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        for n in 0..20 {
            let mut client = conductor.ask(&format!("d{n}"), "ask", 4000).await;
            reader.reads().await;
            ends(writer.next().await, &format!("{HEAD}{}", chunk("data: 1\n\n")), false).await;
            let answer = client.rest().await;
            assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("data: 1\n\n"), "{n}: {answer}");
            assert!(!answer.contains("0\r\n\r\n"), "it is not called whole");
        }
    });
}

/// Failure: work whose connection is reset long after it has begun is taken for never sent, or not tried again.
#[test]
fn a_reset_long_after_the_send_ends_a_booking_and_has_a_question_asked_again() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let mut booking = conductor.ask("b1", "book", 9000).await;
        reader.reads().await;
        let booked = writer.next().await;
        let mut question = conductor.ask("c1", "ask", 5000).await;
        reader.reads().await;
        let asked = writer.next().await;
        sleep(Duration::from_millis(1_500)).await;
        let broke = Stopwatch::start();
        booked.wire.reset();
        let head = booking.until("\r\n\r\n").await.expect("an answer");
        assert!(head.starts_with("HTTP/1.1 500"), "{head}");
        assert!(broke.elapsed() < Duration::from_millis(300), "{:?}", broke.elapsed());
        asked.wire.reset();
        let mut again = tokio::select! {
            seen = writer.next() => seen,
            () = async { reader.reads().await; std::future::pending().await } => unreachable!(),
        };
        assert!(again.head.contains("c1"), "{}", again.head);
        again.begin().await;
        again.chunk("data: [DONE]\n\n").await;
        again.end().await;
        assert!(question.rest_of_answer().await.starts_with("HTTP/1.1 200"));
        assert_eq!(writer.unseen(), 0);
    });
}

/// Failure: a request whose answer got lost keeps its client beyond its time, or runs twice.
#[test]
fn an_answer_that_is_lost_ends_a_request_at_its_time() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let began = Stopwatch::start();
        let mut booking = conductor.ask("b1", "book", 1_500).await;
        reader.reads().await;
        let _kept = writer.next().await;
        let head = booking.until("\r\n\r\n").await.expect("an answer");
        // Whether it is given up before its time or at it: nobody may call it harmless.
        assert!(head.starts_with("HTTP/1.1 500") || head.starts_with("HTTP/1.1 504"), "{head}");
        assert!(began.elapsed() < Duration::from_millis(1_700), "{:?}", began.elapsed());
        assert_eq!((reader.unseen(), writer.unseen()), (0, 0));
    });
}

/// Failure: an answer that contradicts itself is believed where it says that nothing ran.
#[test]
fn a_contradictory_answer_is_one_that_may_have_run() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let away = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        let answers = [
            format!("{HEAD}4\r\ndata{away}"),
            format!("{HEAD}{away}"),
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Length: 4\r\n\r\ndata: 1\n\n".to_string(),
            "HTTP/1.1 200 OK\r\nContent-Length: -9\r\n\r\ndata: 1\n\n".to_string(),
            "HTTP/1.1 099 Odd\r\n\r\n".to_string(),
            "HTTP/1.1 20 Odd\r\n\r\n".to_string(),
            "HTTP/1.1 twohundred\r\n\r\n".to_string(),
            "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n".to_string(),
            "HTTP/1.1 204 Odd\r\n\r\n".to_string(),
            "HTTP/1.1 304 Odd\r\nX-Unprocessed: 1\r\n\r\n".to_string(),
            "HTTP/1.1 101 Odd\r\nUpgrade: odd\r\nConnection: upgrade\r\n\r\n".to_string(),
            "HTTP/7.5 200 OK\r\nContent-Length: 9\r\n\r\ndata: 1\n\n".to_string(),
            "HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_string(),
            "HTTP/1.1 503 No\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n".to_string(),
            // It has a state to fetch, and reads nothing.
            "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}".to_string(),
            "HTTP/1.1 500 No\r\nContent-Length: 99\r\n\r\nhalf a body, and no more".to_string(),
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Unprocessed: 1\r\n\r\n0\r\n\r\n".to_string(),
        ];
        for (n, answer) in answers.iter().enumerate() {
            let mut client = conductor.ask(&format!("b{n}"), "book", 9000).await;
            reader.reads().await;
            let mut seen = writer.next().await;
            let began = Stopwatch::start();
            seen.wire.write_all_it_takes(answer).await;
            let head = client.until("\r\n\r\n").await.expect("an answer");
            assert!(head.starts_with("HTTP/1.1 500"), "{head} after {answer}");
            assert!(began.elapsed() < Duration::from_secs(2), "{:?} after {answer}", began.elapsed());
            assert_eq!((reader.unseen(), writer.unseen()), (0, 0), "{answer}");
        }
        // A body with both framings ends where its last chunk says; nothing behind that is anybody's.
        let mut client = conductor.ask("c1", "ask", 4000).await;
        reader.reads().await;
        let mut seen = writer.next().await;
        let both = HEAD.replace("\r\n\r\n", "\r\nContent-Length: 5\r\n\r\n");
        seen.wire.write(&format!("{both}{}0\r\n\r\n", chunk("data: 1\n\n"))).await;
        assert!(client.rest_of_answer().await.contains("data: 1\n\n"));
        seen.go_on();
        let mut next = conductor.ask("c2", "ask", 4000).await;
        serve(&mut reader, &mut writer).await;
        assert!(next.rest_of_answer().await.contains("data: [DONE]"));
    });
}

/// Failure: a reader's answer whose body never ends keeps a request until its time is over.
#[test]
fn a_read_whose_answer_never_ends_is_tried_again() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let mut client = conductor.ask("c1", "ask", 5000).await;
        let mut seen = reader.next().await;
        seen.wire.write("HTTP/1.1 202 Accepted\r\nContent-Length: 999\r\n\r\n{\"cached_").await;
        let hung_up = for_ever(&mut seen.wire, " ", Duration::from_millis(20));
        let took = timeout(Duration::from_secs(3), hung_up).await.expect("its connection is closed");
        assert!(took < Duration::from_secs(2), "{took:?}");
        serve(&mut reader, &mut writer).await;
        assert!(client.rest_of_answer().await.starts_with("HTTP/1.1 200"));
    });
}

/// Failure: a booking that was turned away is given up since the body beside the proof never ends.
#[test]
fn a_head_that_turns_a_request_away_counts_though_its_body_never_ends() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let mut client = conductor.ask("b1", "book", 9000).await;
        reader.reads().await;
        let mut seen = writer.next().await;
        seen.wire.write("HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 99\r\n\r\nhalf a body").await;
        // Its state still waits: the writer gets it again.
        let mut again = writer.next().await;
        again.begin().await;
        again.chunk("data: [DONE]\n\n").await;
        again.end().await;
        assert!(client.rest_of_answer().await.starts_with("HTTP/1.1 200"));
    });
}

/// Failure: figures that are doubled or nonsense bring the program down, or spoil the answer that they come with.
#[test]
fn what_an_answer_tells_of_itself_may_be_nonsense() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let usage = |kept: &str| {
            format!("data: {{\"usage\":{{\"prompt_tokens_details\":{{\"cached_tokens\":{kept}}}}}}}\n\n")
        };
        let kept = ["0", "-1", "1e300", "18446744073709551615", "\"many\"", "null", "[[[[", "{}"];
        for (n, kept) in kept.into_iter().enumerate() {
            let mut client = conductor.ask(&format!("c{n}"), "ask", 4000).await;
            let mut seen = reader.next().await;
            let load = "X-Backend-Load: TEXT x0=1e308, depth=-3, depth=1e999, x0=x0=, =,,,\r\n";
            seen.answer("202 Accepted", load, &format!("{{\"cached_tokens\":{kept}}}")).await;
            seen.go_on();
            let mut seen = writer.next().await;
            seen.begin().await;
            let events = format!("data: 1\n\n{}{}data: [DONE]\n\n", usage(kept), usage("800"));
            seen.chunk(&format!("{events}: X-Backend-Load: \n\n: X-Backend-Load: TEXT x0=9e99\n\n")).await;
            seen.end().await;
            seen.go_on();
            assert!(client.rest_of_answer().await.contains(&events), "unchanged, with {kept}");
        }
    });
}

/// Failure: a booking without a body is taken for one that no server has got, as its last byte is that of its head: it
/// runs twice.
#[test]
fn a_booking_without_a_body_that_may_have_run_is_never_sent_again() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        // On a new connection, and on the one that the answer between the two has left.
        for n in 0..2 {
            let mut client = Wire::connect(&conductor.front).await;
            client.write(&platform_request(&format!("b{n}"), "book", 9000, "")).await;
            reader.reads().await;
            let seen = writer.next().await;
            assert!(seen.body.is_empty());
            seen.wire.reset();
            let head = client.until("\r\n\r\n").await.expect("an answer");
            assert!(head.starts_with("HTTP/1.1 500"), "{head}");
            assert_eq!((reader.unseen(), writer.unseen()), (0, 0), "it is not sent again");
            let mut between = conductor.ask(&format!("c{n}"), "ask", 4000).await;
            serve(&mut reader, &mut writer).await;
            assert!(between.rest_of_answer().await.starts_with("HTTP/1.1 200"));
            sleep(2 * REUSE_DELAY).await;
        }
    });
}

/// Failure: nobody hears that a request without a body has been written: its writer's connection is given up as one
/// that does not come up, and the request goes elsewhere.
#[test]
fn a_request_without_a_body_is_with_its_writer_once_its_head_is() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let mut client = Wire::connect(&conductor.front).await;
        client.write(&platform_request("b1", "book", 9000, "")).await;
        reader.reads().await;
        let mut seen = writer.next().await;
        // Nobody has heard the writer when the 300 ms are over for which a state may wait: it is released, and a running
        // writer keeps what it waits for. Its connection is not given up, and the request goes nowhere else.
        let released = timeout(Duration::from_millis(500), reader.next_release()).await;
        assert!(released.is_ok(), "the state of a writer that may hang is released");
        sleep(Duration::from_millis(200)).await;
        assert_eq!((reader.unseen(), writer.unseen()), (0, 0), "it is with its writer");
        seen.begin().await;
        seen.chunk("data: [DONE]\n\n").await;
        seen.end().await;
        assert!(client.rest_of_answer().await.starts_with("HTTP/1.1 200"));
    });
}

/// How a writer ends a connection.
const ENDS: [&str; 5] =
    ["at once", "its own side at once", "amid a request", "after a request", "with a reset"];

/// A writer that ends each connection in the way that is told, and the ids of the requests that it has had whole.
async fn ending(how: Arc<AtomicUsize>) -> (String, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let whole: Arc<Mutex<Vec<String>>> = Arc::default();
    let notes = whole.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let how = ENDS[how.load(Ordering::Relaxed)];
            let notes = notes.clone();
            tokio::spawn(async move {
                match how {
                    "at once" => return,
                    "amid a request" => {
                        let _ = stream.read(&mut [0; 100]).await;
                        return;
                    }
                    "its own side at once" => {
                        let _ = socket2::SockRef::from(&stream).shutdown(std::net::Shutdown::Write);
                    }
                    _ => {}
                }
                let mut wire = Wire::of(stream);
                while let Some((head, _)) = wire.message().await {
                    let Some(id) = header(&head, "x-correlation-id") else {
                        // A probe, or a call to let go.
                        wire.write_all_it_takes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
                        continue;
                    };
                    notes.lock().expect("no panic").push(id);
                    return if how == "with a reset" { wire.reset() } else { drop(wire) };
                }
            });
        }
    });
    (address, whole)
}

/// Failure: a booking whose connection is shut around its write is taken for one that was never written.
#[test]
fn a_booking_whose_connection_ends_around_its_write_runs_once_at_most() {
    story(async {
        let mut reader = Peer::start().await;
        let how = Arc::new(AtomicUsize::new(0));
        let writers = [ending(how.clone()).await, ending(how.clone()).await];
        let mut servers = vec![member("s-r", &reader.address, "reader")];
        servers.extend(writers.iter().map(|(address, _)| member(&format!("s-{address}"), address, "writer")));
        let conductor = Conductor::start(&servers, "").await;
        let reads = tokio::spawn(async move {
            loop {
                reader.reads().await;
            }
        });
        let bodies = [String::new(), "{}".to_string(), "x".repeat(250_000)];
        let mut ran = 0;
        for n in 0..60 {
            how.store(n % ENDS.len(), Ordering::Relaxed);
            let (id, body) = (format!("b{n}"), &bodies[n % bodies.len()]);
            let mut client = Wire::connect(&conductor.front).await;
            client.write(&platform_request(&id, "book", 1_000, body)).await;
            let head = client.until("\r\n\r\n").await.expect("an answer");
            // What is written already may still come.
            sleep(Duration::from_millis(5)).await;
            let had = |(_, whole): &(String, Arc<Mutex<Vec<String>>>)| {
                whole.lock().expect("no panic").iter().filter(|had| **had == id).count()
            };
            let runs: usize = writers.iter().map(had).sum();
            let harmless = head.starts_with("HTTP/1.1 503");
            let case = format!("{} bytes, closed {}: {head}", body.len(), ENDS[n % ENDS.len()]);
            assert!(runs <= usize::from(!harmless), "run {runs} times; {case}");
            assert!(
                harmless || head.starts_with("HTTP/1.1 500") || head.starts_with("HTTP/1.1 504"),
                "{case}"
            );
            ran += runs;
        }
        assert!(ran >= 30, "{ran} of 60 have run");
        reads.abort();
    });
}
