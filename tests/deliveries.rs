//! Results of the calls that tool servers make: each reaches its server, in whatever state connections, servers and clients
//! are, and what has become of it is counted.

mod peers;

use std::time::Duration;

use peers::process::Process;
use peers::*;
use serde_json::{Value, json};
use tokio::time::timeout;

/// The server's id for the call that it makes.
const RAISED: &str = "raised-1";
/// How many calls one server makes whose results wait, and what each of them takes at least, in bytes.
const RAISED_CALLS: u64 = 30;
const DELIVERY_BYTES: u64 = 4 * 1024;
/// How long the story waits for something that must not come.
const QUIET: Duration = Duration::from_millis(600);

/// Two tool servers and a conductor with an address for operators.
async fn two_with_figures() -> (Peer, Peer, Conductor) {
    let (a, b) = (Peer::start().await, Peer::start().await);
    let servers = [member("t-a", &a.address, "tool"), member("t-b", &b.address, "tool")];
    let conductor = with_figures(&servers, 256).await;
    (a, b, conductor)
}

/// A conductor with these tool servers, so many descriptors and an address for operators.
async fn with_figures(servers: &[Value], sockets: usize) -> Conductor {
    let mut config = config(&telling_once(&[]).await, &[]);
    config["admin"] = json!("127.0.0.1:0");
    config["limits"]["sockets"] = json!(sockets);
    Conductor::start_with(config, &operator(None, servers)).await
}

async fn answer(seen: &mut Seen, value: Value) {
    let text = result(&seen.json()["id"], value).to_string();
    seen.answer("200 OK", "Content-Type: application/json\r\n", &text).await;
}

/// Calls a look-up whose server raises a booking, which has come to its server.
async fn raise_booking(conductor: &Conductor, a: &mut Peer, b: &mut Peer) -> (Wire, Seen, Seen) {
    let client = conductor.call(json!("mine"), "wagon.position").await;
    let mut outer = either(a, b).await;
    outer.begin().await;
    outer.event(tool_call(json!(RAISED), "path.hold")).await;
    let booking = either(a, b).await;
    assert_eq!(booking.json()["params"]["name"], "path.hold");
    (client, outer, booking)
}

/// Ends the outer call and reads the client's stream to its end.
async fn finish(mut outer: Seen, client: &mut Wire) {
    outer.event(result(&outer.json()["id"], json!("found"))).await;
    outer.end().await;
    let stream = client.until("0\r\n\r\n").await.expect("the client's stream ends");
    assert!(stream.contains("\"found\""), "{stream}");
}

/// Waits until a figure has this value.
async fn until_figure(conductor: &Conductor, name: &str, value: u64) {
    while figure(&conductor.admin, name).await != value {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a result that is sent once, and lost when its server resets the connection, is busy or says nothing.
#[test]
fn result_is_posted_again_until_its_server_takes_it() {
    story(async {
        let (mut a, mut b, conductor) = two_with_figures().await;
        let (mut client, outer, mut booking) = raise_booking(&conductor, &mut a, &mut b).await;
        answer(&mut booking, json!("held")).await;
        booking.go_on();
        let expected = result(&json!(RAISED), json!("held"));
        let reset = either(&mut a, &mut b).await;
        assert_eq!(reset.json(), expected);
        reset.wire.reset();
        let mut busy = either(&mut a, &mut b).await;
        assert_eq!(busy.json(), expected);
        busy.answer("503 Service Unavailable", "", "").await;
        let silent = either(&mut a, &mut b).await;
        assert_eq!(silent.json(), expected);
        let mut taken = either(&mut a, &mut b).await;
        assert_eq!(taken.json(), expected);
        taken.answer("202 Accepted", "", "").await;
        finish(outer, &mut client).await;
        until_figure(&conductor, "delivered_posts", 1).await;
        assert_eq!(figure(&conductor.admin, "post_tries").await, 4);
        assert_eq!(figure(&conductor.admin, "posts_in_progress").await, 0);
        assert_eq!(a.unseen() + b.unseen(), 0, "nothing is posted again once it was taken");
        drop(silent);
    });
}

/// A server that does not want a result is not asked again.
#[test]
fn result_that_its_server_rejects_is_posted_once() {
    story(async {
        let (mut a, mut b, conductor) = two_with_figures().await;
        let (mut client, outer, mut booking) = raise_booking(&conductor, &mut a, &mut b).await;
        answer(&mut booking, json!("held")).await;
        booking.go_on();
        either(&mut a, &mut b).await.answer("404 Not Found", "", "").await;
        until_figure(&conductor, "rejected_posts", 1).await;
        assert!(timeout(QUIET, either(&mut a, &mut b)).await.is_err(), "it is not posted again");
        finish(outer, &mut client).await;
    });
}

/// Guards against a result that is posted on a connection which its server has forgotten while it was idle.
#[test]
fn result_reaches_a_server_that_resets_idle_connections() {
    story(async {
        let mut server = Peer::start().await;
        let conductor = with_figures(&[member("t-a", &server.address, "tool")], 256).await;
        let mut client = conductor.call(json!("mine"), "wagon.position").await;
        let mut outer = server.next().await;
        outer.begin().await;
        // Look-ups that are open together leave as many idle connections.
        let (mut look_ups, mut clients) = (Vec::new(), Vec::new());
        for id in 0..6 {
            clients.push(conductor.call(json!(id), "wagon.position").await);
            look_ups.push(server.next().await);
        }
        for look_up in &mut look_ups {
            answer(look_up, json!("here")).await;
        }
        for client in &mut clients {
            client.until("0\r\n\r\n").await.expect("a whole answer");
        }
        for look_up in look_ups {
            let mut wire = look_up.wire;
            tokio::spawn(async move {
                wire.until("\r\n").await;
                wire.reset();
            });
        }
        outer.event(tool_call(json!(RAISED), "path.hold")).await;
        // The booking itself may have gone out on such a connection, so its own result is not the point.
        let mut posted = loop {
            let mut seen = server.next().await;
            if seen.json()["id"] == RAISED {
                break seen;
            }
            answer(&mut seen, json!("held")).await;
            seen.go_on();
        };
        posted.answer("202 Accepted", "", "").await;
        finish(outer, &mut client).await;
        until_figure(&conductor, "delivered_posts", 1).await;
    });
}

/// Guards against a result that is lost while its server takes no connections.
#[test]
fn result_reaches_a_server_that_takes_connections_again() {
    story(async {
        let (mut a, mut b, conductor) = two_with_figures().await;
        let mut client = conductor.call(json!("mine"), "wagon.position").await;
        let (mut outer, raiser, other) = tokio::select! {
            seen = a.next() => (seen, &mut a, &mut b),
            seen = b.next() => (seen, &mut b, &mut a),
        };
        outer.begin().await;
        raiser.stop().await;
        outer.event(tool_call(json!(RAISED), "path.hold")).await;
        let mut booking = other.next().await;
        answer(&mut booking, json!("held")).await;
        assert_eq!(client.event().await.expect("the result")["method"], "notifications/tool_result");
        // The post has been refused a connection by then.
        while figure(&conductor.admin, "post_tries").await == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        raiser.resume().await;
        let mut posted = raiser.next().await;
        assert_eq!(posted.json(), result(&json!(RAISED), json!("held")));
        posted.answer("202 Accepted", "", "").await;
        finish(outer, &mut client).await;
        until_figure(&conductor, "delivered_posts", 1).await;
    });
}

/// Guards against a result that is lost because attempts use all connections to servers.
#[test]
fn result_is_posted_while_attempts_use_all_connections() {
    story(async {
        let mut server = Peer::start().await;
        let conductor = with_figures(&[member("t-a", &server.address, "tool")], 64).await;
        let mut client = conductor.call(json!("mine"), "wagon.position").await;
        let mut outer = server.next().await;
        outer.begin().await;
        let batch = (0..30).map(|id| tool_call(json!(id), "wagon.position")).collect();
        let mut crowd = conductor.post("X-Session-Key: s1\r\n", &Value::Array(batch).to_string()).await;
        // Once a call of the batch has failed or been refused, all connections are in use.
        let first = crowd.event().await.expect("an answer");
        assert!(first["error"]["code"].is_i64(), "{first}");
        outer.event(tool_call(json!(RAISED), "path.hold")).await;
        let mut posted = loop {
            let seen = server.next().await;
            if seen.json()["id"] == RAISED {
                break seen;
            }
            std::mem::forget(seen); // it stays open
        };
        assert!(
            posted.json()["error"]["code"].is_i64(),
            "no connection was left for the booking: {}",
            posted.body
        );
        posted.answer("202 Accepted", "", "").await;
        finish(outer, &mut client).await;
        until_figure(&conductor, "delivered_posts", 1).await;
    });
}

/// Guards against a result that waits behind a client that does not read.
#[test]
fn result_is_posted_while_the_client_does_not_read() {
    story(async {
        let (mut a, mut b, conductor) = two_with_figures().await;
        let (client, mut outer, mut booking) = raise_booking(&conductor, &mut a, &mut b).await;
        let note = json!({"jsonrpc": "2.0", "method": "progress", "params": {"text": "x".repeat(64 * 1024)}});
        let note = format!("data: {note}\n\n");
        let note = format!("{:x}\r\n{note}\r\n", note.len());
        // The stream is backed up once the server can't write any more.
        while timeout(Duration::from_millis(500), outer.wire.write(&note)).await.is_ok() {}
        answer(&mut booking, json!("held")).await;
        booking.go_on();
        let mut posted = either(&mut a, &mut b).await;
        assert_eq!(posted.json(), result(&json!(RAISED), json!("held")));
        posted.answer("202 Accepted", "", "").await;
        until_figure(&conductor, "delivered_posts", 1).await;
        drop((client, outer));
    });
}

/// Guards against a result that is dropped because the server has answered its own call meanwhile.
#[test]
fn result_is_posted_to_a_server_that_has_answered_its_own_call() {
    story(async {
        let (mut a, mut b, conductor) = two_with_figures().await;
        let (mut client, mut outer, mut booking) = raise_booking(&conductor, &mut a, &mut b).await;
        outer.event(result(&outer.json()["id"], json!("found"))).await;
        outer.end().await;
        assert_eq!(client.event().await.expect("the answer")["result"], "found");
        answer(&mut booking, json!("held")).await;
        booking.go_on();
        let mut posted = either(&mut a, &mut b).await;
        assert_eq!(posted.json(), result(&json!(RAISED), json!("held")));
        posted.answer("202 Accepted", "", "").await;
        assert_eq!(client.event().await.expect("the result")["method"], "notifications/tool_result");
        assert!(client.until("0\r\n\r\n").await.is_some(), "the client's stream ends");
        until_figure(&conductor, "delivered_posts", 1).await;
    });
}

/// Guards against a raised call that is called off with its client, and of which its server never hears again.
#[test]
fn server_is_told_that_its_raised_call_was_called_off() {
    story(async {
        let (mut a, mut b, conductor) = two_with_figures().await;
        let (mut client, mut outer, booking) = raise_booking(&conductor, &mut a, &mut b).await;
        outer.event(result(&outer.json()["id"], json!("found"))).await;
        outer.end().await;
        assert_eq!(client.event().await.expect("the answer")["result"], "found");
        drop(client);
        let mut posted = either(&mut a, &mut b).await;
        assert_eq!((&posted.json()["id"], &posted.json()["error"]["code"]), (&json!(RAISED), &json!(-32005)));
        posted.answer("202 Accepted", "", "").await;
        until_figure(&conductor, "delivered_posts", 1).await;
        drop(booking);
    });
}

/// Guards against a raised call that can't be read, and of which its server never hears.
#[test]
fn server_is_told_that_its_raised_call_is_not_valid() {
    story(async {
        let (mut a, mut b, conductor) = two_with_figures().await;
        let mut client = conductor.call(json!("mine"), "wagon.position").await;
        let mut outer = either(&mut a, &mut b).await;
        outer.begin().await;
        outer.event(json!({"jsonrpc": "2.0", "id": RAISED, "method": 7})).await;
        let mut posted = either(&mut a, &mut b).await;
        assert_eq!((&posted.json()["id"], &posted.json()["error"]["code"]), (&json!(RAISED), &json!(-32600)));
        posted.answer("202 Accepted", "", "").await;
        finish(outer, &mut client).await;
    });
}

/// Guards against a raised call whose time is over together with that of the call above it, so that its server does not
/// hear of its end.
#[test]
fn result_of_a_raised_call_without_an_answer_is_posted_in_time() {
    story(async {
        let (mut a, mut b, conductor) = two_with_figures().await;
        let call = tool_call(json!("mine"), "wagon.position").to_string();
        let mut client = conductor.post("X-Time-Left-Ms: 2000\r\n", &call).await;
        let mut outer = either(&mut a, &mut b).await;
        outer.begin().await;
        outer.event(tool_call(json!(RAISED), "path.hold")).await;
        let booking = either(&mut a, &mut b).await;
        let mut posted = either(&mut a, &mut b).await;
        assert_eq!((&posted.json()["id"], &posted.json()["error"]["code"]), (&json!(RAISED), &json!(-32004)));
        posted.answer("202 Accepted", "", "").await;
        finish(outer, &mut client).await;
        until_figure(&conductor, "delivered_posts", 1).await;
        drop(booking);
    });
}

/// A result is not posted to a server whose answer has broken off, and that is counted.
#[test]
fn result_for_a_server_that_is_gone_is_given_up() {
    story(async {
        let (mut a, mut b, conductor) = two_with_figures().await;
        let (mut client, outer, mut booking) = raise_booking(&conductor, &mut a, &mut b).await;
        answer(&mut booking, json!("held")).await;
        booking.go_on();
        // The server dies before it has answered the post.
        let posted = either(&mut a, &mut b).await;
        outer.wire.reset();
        until_figure(&conductor, "posts_to_gone_servers", 1).await;
        assert!(client.until("0\r\n\r\n").await.is_some(), "the client's stream ends");
        drop(posted);
        assert!(timeout(QUIET, either(&mut a, &mut b)).await.is_err(), "nothing is posted again");
        assert_eq!(figure(&conductor.admin, "post_tries").await, 1);
    });
}

/// Guards against a result that is lost because the process is told to end while it is being delivered.
#[test]
fn result_is_delivered_before_the_process_ends() {
    story(async {
        let (mut a, mut b) = (Peer::start().await, Peer::start().await);
        let servers = [member("t-a", &a.address, "tool"), member("t-b", &b.address, "tool")];
        let known = config(&telling_once(&[]).await, &[]);
        let mut process = Process::start("deliveries-sigterm", known, &servers).await;
        let conductor =
            Conductor { front: process.front.clone(), rpc: process.rpc.clone(), admin: String::new() };
        let (mut client, outer, mut booking) = raise_booking(&conductor, &mut a, &mut b).await;
        answer(&mut booking, json!("held")).await;
        booking.go_on();
        let mut busy = either(&mut a, &mut b).await;
        finish(outer, &mut client).await;
        drop(client);
        let id = process.id().to_string();
        let sent =
            tokio::process::Command::new("kill").args(["-TERM", &id]).status().await.expect("kill runs");
        assert!(sent.success());
        busy.answer("503 Service Unavailable", "", "").await;
        let mut busy = either(&mut a, &mut b).await;
        busy.answer("503 Service Unavailable", "", "").await;
        let mut posted = either(&mut a, &mut b).await;
        assert_eq!(posted.json(), result(&json!(RAISED), json!("held")));
        assert!(process.child.try_wait().expect("a process").is_none(), "it has not ended yet");
        posted.answer("202 Accepted", "", "").await;
        assert!(process.child.wait().await.expect("a process").success());
    });
}

/// Guards against results that wait for their server and are charged to nobody: each call has few, but there are many calls.
#[test]
fn results_that_wait_for_their_server_are_charged() {
    story(async {
        let mut server = Peer::start().await;
        let conductor = with_figures(&[member("t-a", &server.address, "tool")], 256).await;
        let _client = conductor.call(json!("mine"), "wagon.position").await;
        let mut outer = server.next().await;
        outer.begin().await;
        let before = figure(&conductor.admin, "charged_memory").await;
        for number in 0..RAISED_CALLS {
            outer.event(tool_call(json!(number), "no.such.tool")).await;
        }
        until_figure(&conductor, "posts_in_progress", RAISED_CALLS).await;
        let charged = figure(&conductor.admin, "charged_memory").await - before;
        assert!(charged >= RAISED_CALLS * DELIVERY_BYTES, "{charged} bytes for {RAISED_CALLS} results");
    });
}
