//! Tests of the shutdown after SIGTERM, on real processes: what is taken, what is refused, and when the process ends.

mod peers;

use std::os::fd::OwnedFd;
use std::process::Stdio;
use std::time::Duration;

use peers::*;
use serde_json::{Value, json};
use tokio::io::AsyncReadExt;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep_until, timeout};

/// A request that is complete later than this after SIGTERM is lost if SIGKILL finds it unanswered.
const REQUESTS_EXCUSED_FOR: Duration = Duration::from_millis(700);

/// More events than are queued for one client.
const PROGRESS_EVENTS: usize = 100;

/// The socket at which a process listens for clients.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientSocket {
    Own,
    /// Inherited, and also held by the test.
    Inherited,
}

/// A process of the program with both fronts, before a reader, a writer and a tool server.
struct Process {
    child: Child,
    front: String,
    rpc: String,
    reader: Peer,
    writer: Peer,
    tool: Peer,
    _kept: (Folder, Reserved, Option<OwnedFd>),
}

impl Process {
    /// Starts a process, with changes to its configuration, and waits until it can serve.
    async fn start(name: &str, socket: ClientSocket, change: impl FnOnce(&mut Value)) -> Self {
        let (reader, writer, tool) = (Peer::start().await, Peer::start().await, Peer::start().await);
        let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
        let folder = Folder::new(name);
        let (own_front, rpc) = (nowhere(), nowhere());
        let mut config = config(&telling_once(&servers).await, &servers);
        change(&mut config);
        let inherited = (socket == ClientSocket::Inherited).then(|| {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address").to_string();
            (OwnedFd::from(listener), address)
        });
        let front = inherited.as_ref().map_or(&own_front.address, |(_, address)| address).clone();
        config["listen"] = json!(front);
        let tools = operator(None, &[member("t-a", &tool.address, "tool")]);
        let tools = tools.replace("127.0.0.1:0", &rpc.address).replace("\"15s\"", "\"4s\"");
        let operator = folder.write("operator.kdl", &tools);
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", "exec \"$0\" \"$@\" 7<&0 0</dev/null", env!("CARGO_BIN_EXE_birchspur")])
            .args(["serve", "--operator", &operator])
            .env("LB_CONFIG", folder.write("config.json", &config.to_string()))
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .stdin(Stdio::null())
            .kill_on_drop(true);
        let kept_socket = inherited.map(|(descriptor, _)| {
            let duplicate = descriptor.try_clone().expect("a descriptor");
            command.stdin(duplicate).env("LB_ACCEPT_FD", "7").env("TMPDIR", &folder.0);
            descriptor
        });
        let child = command.spawn().expect("it starts");
        let process = Process {
            child,
            front,
            rpc: rpc.address.clone(),
            reader,
            writer,
            tool,
            _kept: (folder, rpc, kept_socket),
        };
        process.wait_until_up().await;
        process
    }

    async fn wait_until_up(&self) {
        loop {
            if let Ok(stream) = tokio::net::TcpStream::connect(&self.front).await {
                let mut wire = Wire::of(stream);
                wire.write_all_it_takes(UP).await;
                if wire.until("\r\n").await.is_some_and(|line| line.contains("200")) {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends SIGTERM, and returns when that was.
    async fn terminate(&self) -> Instant {
        let id = self.child.id().expect("it runs").to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().await.expect("kill runs").success());
        Instant::now()
    }

    /// Begins a platform request whose answer is then in progress; returns the client and the server's side.
    async fn begin_stream(&mut self, id: &str) -> (Wire, Seen) {
        let mut client = Wire::connect(&self.front).await;
        client.write(&platform_request(id, "book", 9_000, "{}")).await;
        self.reader.reads().await;
        let mut seen = self.writer.next().await;
        seen.begin().await;
        seen.chunk("data: {\"n\":1}\n\n").await;
        client.until("data: {\"n\":1}\n\n").await.expect("the first event");
        (client, seen)
    }

    /// Waits for the end of the process, and returns what it has printed.
    async fn printed(mut self) -> String {
        assert!(self.child.wait().await.expect("it ends").success());
        let mut printed = String::new();
        self.child.stdout.take().expect("a pipe").read_to_string(&mut printed).await.expect("text");
        printed
    }
}

/// Returns a POST of JSON-RPC messages by one session.
fn rpc_post(messages: &Value) -> String {
    let body = messages.to_string();
    let length = body.len();
    format!("POST /rpc HTTP/1.1\r\nHost: x\r\nX-Session-Key: s1\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Guards against requests that are complete over 0.7 s after SIGTERM and are served all the same: SIGKILL then cuts them.
#[test]
fn request_that_is_complete_late_after_sigterm_is_refused() {
    for socket in [ClientSocket::Own, ClientSocket::Inherited] {
        story(async {
            let mut process = Process::start(&format!("late-{socket:?}"), socket, |_| {}).await;
            let request = platform_request("c1", "ask", 4_000, "{\"prompt\":1}");
            let body_begins = request.find("\r\n\r\n").expect("a head") + 4;
            let call = rpc_post(&tool_call(json!("late"), "path.hold"));
            // Each begins before SIGTERM and is complete after the time in which requests are taken.
            let cuts = [(&request, 20), (&request, body_begins), (&request, request.len() - 1)];
            let mut clients = Vec::new();
            for (text, cut) in cuts {
                let mut client = Wire::connect(&process.front).await;
                client.write(&text[..cut]).await;
                clients.push((client, &text[cut..]));
            }
            let mut rpc_client = Wire::connect(&process.rpc).await;
            rpc_client.write(&call[..call.len() - 1]).await;
            let (mut streaming, mut stream) = process.begin_stream("b1").await;
            let told_at = process.terminate().await;
            sleep_until(told_at + REQUESTS_EXCUSED_FOR).await;
            for (client, rest) in &mut clients {
                client.write(rest).await;
                let answer = client.whole_end().await.expect("an orderly end");
                assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
            }
            rpc_client.write(&call[call.len() - 1..]).await;
            let answer = rpc_client.whole_end().await.expect("an orderly end");
            assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("-32001"), "{answer}");
            assert!(answer.contains(r#""id":"late""#), "the refusal is told under the call's id: {answer}");
            // What was taken before is finished.
            stream.chunk("data: [DONE]\n\n").await;
            stream.end().await;
            assert!(streaming.rest_of_answer().await.contains("[DONE]"));
            let unseen = process.reader.unseen() + process.tool.unseen();
            assert_eq!(unseen, 0, "nothing that was refused has reached a server");
            let printed = process.printed().await;
            assert!(printed.contains("taken 5, sent 2, served 1, refused 4"), "{printed}");
        });
    }
}

/// Guards against calls that are refused late without an answer under their own ids, and against a cancellation that is
/// refused with them.
#[test]
fn late_batch_is_refused_call_by_call_and_its_cancellation_is_carried_out() {
    for socket in [ClientSocket::Own, ClientSocket::Inherited] {
        story(async {
            let mut process = Process::start(&format!("batch-{socket:?}"), socket, |_| {}).await;
            let batch = json!([
                tool_call(json!("first"), "path.hold"),
                {"jsonrpc": "2.0", "method": "notifications/cancelled", "params": {"requestId": "open"}},
                tool_call(json!(2), "wagon.position"),
                tool_call(json!(3), "no.such"),
            ]);
            let mut caller = Wire::connect(&process.rpc).await;
            caller.write(&rpc_post(&tool_call(json!("open"), "path.hold"))).await;
            let mut open_call = process.tool.next().await;
            open_call.begin().await;
            let text = rpc_post(&batch);
            let mut late = Wire::connect(&process.rpc).await;
            late.write(&text[..text.len() - 1]).await;
            let told_at = process.terminate().await;
            sleep_until(told_at + REQUESTS_EXCUSED_FOR).await;
            late.write(&text[text.len() - 1..]).await;
            let (head, body) = late.message().await.expect("an answer");
            assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
            let responses: Vec<Value> = serde_json::from_str(&body).expect("a batch of responses");
            let told: Vec<_> = responses
                .iter()
                .map(|response| (response["id"].clone(), response["error"]["code"].as_i64()))
                .collect();
            let expected =
                [(json!("first"), Some(-32001)), (json!(2), Some(-32001)), (json!(3), Some(-32602))];
            assert_eq!(told, expected);
            assert!(caller.rest_of_answer().await.contains("-32005"), "the open call is cancelled");
            assert_eq!(process.tool.unseen(), 0, "nothing that was refused has reached a server");
            let printed = process.printed().await;
            assert!(printed.contains("taken 3,") && printed.contains("refused 2"), "{printed}");
        });
    }
}

/// Guards against a request that is read while the answer before it is in progress, and dropped without an answer of its
/// own when that one ends: the connection counts as idle then, and the program closes idle connections.
#[test]
fn request_behind_an_answer_in_progress_is_refused_and_not_dropped() {
    for socket in [ClientSocket::Own, ClientSocket::Inherited] {
        story(async {
            let mut process = Process::start(&format!("behind-{socket:?}"), socket, |_| {}).await;
            let (mut client, mut stream) = process.begin_stream("b1").await;
            let (mut halting_client, mut halting_stream) = process.begin_stream("b2").await;
            let request = platform_request("c1", "ask", 4_000, "{}");
            client.write(&request).await;
            halting_client.write(&request[..20]).await;
            let told_at = process.terminate().await;
            sleep_until(told_at + REQUESTS_EXCUSED_FOR).await;
            for (client, stream) in [(&mut client, &mut stream), (&mut halting_client, &mut halting_stream)] {
                stream.chunk("data: [DONE]\n\n").await;
                stream.end().await;
                assert!(client.rest_of_answer().await.contains("[DONE]"));
                let answer = client.whole_end().await.expect("an orderly end");
                assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
            }
            assert_eq!(process.reader.unseen(), 0, "nothing that was refused has reached a server");
            let printed = process.printed().await;
            assert!(printed.contains("taken 3, sent 4, served 2, refused 1"), "{printed}");
        });
    }
}

/// Guards against clients that are left without an answer because they stopped in the middle of a request: with short
/// deadlines SIGKILL comes before the time in which a request has to be complete.
#[test]
fn incomplete_request_is_refused_before_the_earliest_sigkill() {
    story(async {
        let with_deadlines_of_1_s = |config: &mut Value| {
            for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
                class["DeadlineMs"] = json!(1_000.0);
                class["AimMs"] = json!(500.0);
            }
        };
        let process = Process::start("incomplete", ClientSocket::Own, with_deadlines_of_1_s).await;
        let request = platform_request("c1", "ask", 900, "{\"prompt\":1}");
        let told_at = process.terminate().await;
        let mut clients = Vec::new();
        for cut in [20, request.len() - 1] {
            let mut client = Wire::connect(&process.front).await;
            client.write(&request[..cut]).await;
            clients.push(client);
        }
        let killed_at = told_at + Duration::from_millis(1_700);
        for client in &mut clients {
            let left = killed_at.saturating_duration_since(Instant::now());
            let answer = timeout(left, client.until("\r\n")).await.expect("an answer before SIGKILL");
            assert_eq!(answer.as_deref(), Some("HTTP/1.1 503 Service Unavailable\r\n"));
        }
    });
}

/// Sets deadlines that have long passed when the answers of these tests end.
fn short_deadlines(config: &mut Value) {
    for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
        class["DeadlineMs"] = json!(2_000.0);
        class["AimMs"] = json!(1_000.0);
    }
}

/// Guards against a program that ends by itself while the events of an answer still come: a deadline bounds the wait for
/// the first event, not the length of the answer.
#[test]
fn answer_in_progress_is_finished_after_sigterm_however_long_it_takes() {
    for socket in [ClientSocket::Own, ClientSocket::Inherited] {
        story(async {
            let name = format!("long-{socket:?}");
            let mut process = Process::start(&name, socket, short_deadlines).await;
            let (mut client, mut stream) = process.begin_stream("b1").await;
            let told_at = process.terminate().await;
            for tick in 1..=13 {
                sleep_until(told_at + tick * Duration::from_millis(500)).await;
                stream.chunk(&format!("data: {{\"tick\":{tick}}}\n\n")).await;
            }
            stream.chunk("data: [DONE]\n\n").await;
            stream.end().await;
            let answer = client.rest_of_answer().await;
            assert!(answer.contains("{\"tick\":13}") && answer.contains("[DONE]"), "{answer}");
            let printed = process.printed().await;
            assert!(printed.contains("served 1, refused 0, failed 0, broken 0"), "{printed}");
        });
    }
}

/// Guards against a client that takes nothing of its answer and keeps a process for ever that was told to terminate. It gets
/// 30 s to go on.
#[test]
fn process_ends_30_s_after_sigterm_if_a_client_takes_nothing_of_its_answer() {
    story_within(Duration::from_secs(50), async {
        let mut process = Process::start("stalled", ClientSocket::Own, |_| {}).await;
        let (_stalled_client, mut stream) = process.begin_stream("b1").await;
        let event = format!("data: {}\n\n", "x".repeat(60_000));
        let fill = async {
            loop {
                stream.chunk(&event).await;
            }
        };
        // Once the server's bytes are no longer taken, neither are the program's.
        let mut filled = std::pin::pin!(fill);
        let _ = timeout(Duration::from_secs(2), &mut filled).await;
        let told_at = process.terminate().await;
        assert!(process.child.wait().await.expect("it ends").success());
        let ended_after = told_at.elapsed();
        let limit = Duration::from_secs(30);
        assert!(
            (limit..limit + Duration::from_secs(4)).contains(&ended_after),
            "the process ended after {ended_after:?}"
        );
    });
}

/// Sends a notification that calls a tool, which is accepted with 202, and returns its client.
async fn notify(process: &Process, tool: &str) -> Wire {
    let body = json!({"jsonrpc": "2.0", "method": "tools/call", "params": {"name": tool}});
    let mut client = Wire::connect(&process.rpc).await;
    client.write(&rpc_post(&body)).await;
    assert!(client.until("\r\n\r\n").await.expect("a head").starts_with("HTTP/1.1 202"));
    client
}

/// Guards against a call that was accepted with 202 and is dropped as the program ends, since no client waits for it.
#[test]
fn accepted_notification_is_carried_out_before_the_process_ends() {
    story(async {
        let mut process = Process::start("notification", ClientSocket::Own, |_| {}).await;
        let mut client = notify(&process, "path.hold").await;
        let mut booking = process.tool.next().await;
        booking.begin().await;
        booking.event(json!({"jsonrpc": "2.0", "method": "progress"})).await;
        process.terminate().await;
        // The client's connection is closed once the program no longer accepts requests.
        assert_eq!(client.whole_end().await, Some(String::new()));
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(process.child.try_wait().expect("a state").is_none(), "the booking is still in progress");
        booking.event(json!({"jsonrpc": "2.0", "id": booking.json()["id"], "result": "held"})).await;
        booking.end().await;
        assert!(process.printed().await.contains("taken 1, sent 1,"));
    });
}

/// Guards against a program that ends between a call that was accepted with 202 and one that is nested in it: for a moment
/// no request is open, and no client waits for either.
#[test]
fn call_nested_in_an_accepted_notification_is_carried_out_before_the_process_ends() {
    story(async {
        let mut process = Process::start("nested", ClientSocket::Own, |_| {}).await;
        let mut client = notify(&process, "wagon.position").await;
        let mut look_up = process.tool.next().await;
        look_up.begin().await;
        look_up.event(json!({"jsonrpc": "2.0", "method": "progress"})).await;
        process.terminate().await;
        assert_eq!(client.whole_end().await, Some(String::new()));
        // By now no client is connected, and only the notification keeps the process.
        tokio::time::sleep(Duration::from_secs(1)).await;
        // The nested call, the response and the end of the answer arrive together, behind events that take a while.
        let nested_call = tool_call(json!("nested"), "path.hold");
        let response = json!({"jsonrpc": "2.0", "id": look_up.json()["id"], "result": "found"});
        let progress = json!({"jsonrpc": "2.0", "method": "progress"});
        let events = format!("data: {progress}\n\n").repeat(PROGRESS_EVENTS);
        let events = format!("{events}data: {nested_call}\n\ndata: {response}\n\n");
        look_up.wire.write(&format!("{:x}\r\n{events}\r\n0\r\n\r\n", events.len())).await;
        look_up.go_on();
        let mut booking = timeout(Duration::from_secs(2), process.tool.next()).await.expect("it is placed");
        assert_eq!(booking.json()["params"]["name"], "path.hold");
        booking.begin().await;
        booking.event(json!({"jsonrpc": "2.0", "id": booking.json()["id"], "result": "held"})).await;
        booking.end().await;
        assert!(process.printed().await.contains("taken 2, sent 2,"));
    });
}
