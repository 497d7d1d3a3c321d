//! Stories of answers that are broken: that never end, come twice, contradict themselves or get lost. Each request
//! has one final answer, in time, and what may have run and must not run twice is never sent again.

mod peers;

use std::time::Duration;

use peers::*;
use tokio::time::{Instant, sleep, timeout};

async fn pair() -> (Peer, Peer, Conductor) {
    let (reader, writer) = (Peer::start().await, Peer::start().await);
    let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
    let conductor = Conductor::start(&servers, "").await;
    (reader, writer, conductor)
}

/// Reads the next prompt; the reader's connection is kept.
async fn read(reader: &mut Peer) {
    let mut seen = reader.next().await;
    seen.answer("202 Accepted", "", r#"{"cached_tokens":0}"#).await;
    seen.go_on();
}

/// Sends a text again and again, until the other side has hung up; how long that took.
async fn for_ever(wire: &mut Wire, text: &str, pause: Duration) -> Duration {
    let began = Instant::now();
    while wire.takes(text).await {
        sleep(pause).await;
    }
    began.elapsed()
}

/// A chunk with this text.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Failure: a stream is cut while its server writes, or work goes on for a client that has left it.
#[test]
fn a_stream_goes_on_for_as_long_as_its_server_makes_events_and_its_client_stays() {
    story(async {
        let (mut reader, mut writer, conductor) = pair().await;
        let mut client = conductor.ask("c1", "ask", 4000).await;
        read(&mut reader).await;
        let mut seen = writer.next().await;
        seen.begin().await;
        // More than it was asked for (80 tokens), and longer than its client would have waited for the first one.
        let began = Instant::now();
        let mut n = 0;
        while began.elapsed() < Duration::from_millis(5_200) {
            seen.chunk(&format!("data: {n}\n\n")).await;
            let written = Instant::now();
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
        read(&mut reader).await;
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
        read(&mut reader).await;
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
