//! Tests of watched files: invalid content never changes the routing, however it is written to the directory.

mod peers;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use milletseam::documents::seal;
use peers::auto::Auto;
use peers::*;
use serde_json::json;
use tracing::field::{Field, Visit};

/// A temporary folder for one test, removed when the value is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        // A folder in memory is preferred: on a disk, each rename over a file may wait for the disk and so
        // slow down the writing.
        let memory = PathBuf::from("/dev/shm");
        let base = if memory.is_dir() { memory } else { std::env::temp_dir() };
        let path = base.join(format!("birchspur-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(path.join("servers")).expect("a folder");
        Folder(path)
    }

    fn directory(&self) -> PathBuf {
        self.0.join("servers")
    }

    fn file(&self) -> PathBuf {
        self.directory().join("a.kdl")
    }

    fn operator(&self, more: &str) -> String {
        format!(
            "servers {{\n directory {:?}\n poll \"50ms\"\n pace \"100ms\"\n drain \"600ms\"\n \
             leave-at-most 1.0\n file-limit \"64KiB\"\n {more}\n}}\n",
            self.directory().display().to_string()
        )
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A sealed file of zone "a" with these servers: id, kind and address.
fn sealed_set(revision: u64, servers: &[(&str, &str, &str)]) -> String {
    let mut text = format!("servers zone=\"a\" revision={revision}\n");
    for (id, kind, address) in servers {
        text += &format!("server \"{id}\" address=\"{address}\" kind=\"{kind}\"\n");
    }
    seal::sealed(&text, servers.len())
}

/// Generations by number: when each was published, and the addresses of the servers that take work in it.
type Generations = BTreeMap<u64, (Instant, BTreeSet<String>)>;

/// Collects generations, sends and refusals from the program's log.
#[derive(Clone, Default)]
struct LogCapture {
    generations: Arc<Mutex<Generations>>,
    /// The generation and the server address of each send.
    sends: Arc<Mutex<Vec<(u64, String)>>>,
    /// The messages about refused files and sets.
    refused: Arc<Mutex<Vec<String>>>,
}

/// The fields of a log event that the tests use.
#[derive(Default)]
struct EventFields {
    message: String,
    generation: Option<u64>,
    address: Option<String>,
    ready: Option<String>,
}

impl Visit for EventFields {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "generation" {
            self.generation = Some(value);
        }
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "server.address" => self.address = Some(value.into()),
            "ready" => self.ready = Some(value.into()),
            _ => {}
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        if field.name() == "message" {
            self.message = format!("{value:?}");
        }
    }
}

impl tracing::Subscriber for LogCapture {
    fn enabled(&self, metadata: &tracing::Metadata<'_>) -> bool {
        matches!(metadata.target(), "birchspur::attempt" | "birchspur::membership")
    }

    fn new_span(&self, _: &tracing::span::Attributes<'_>) -> tracing::span::Id {
        tracing::span::Id::from_u64(1)
    }

    fn record(&self, _: &tracing::span::Id, _: &tracing::span::Record<'_>) {}
    fn record_follows_from(&self, _: &tracing::span::Id, _: &tracing::span::Id) {}
    fn enter(&self, _: &tracing::span::Id) {}
    fn exit(&self, _: &tracing::span::Id) {}

    fn event(&self, event: &tracing::Event<'_>) {
        let mut fields = EventFields::default();
        event.record(&mut fields);
        match fields {
            EventFields { generation: Some(generation), address: Some(address), .. } => {
                self.sends.lock().expect("no panic").push((generation, address));
            }
            EventFields { generation: Some(generation), ready: Some(ready), .. } => {
                let ready = ready.split(' ').filter(|a| !a.is_empty()).map(str::to_string).collect();
                self.generations.lock().expect("no panic").insert(generation, (Instant::now(), ready));
            }
            EventFields { message, .. } if message.starts_with("not taken") => {
                self.refused.lock().expect("no panic").push(message);
            }
            _ => {}
        }
    }
}

/// Writes a file by one of the methods that editors and deployment tools use: a rename, a truncating write, a
/// write in two halves, a replaced symbolic link, or a removal followed by a rename.
fn replace_file(method: u64, path: &Path, text: &[u8]) {
    let temporary = path.with_file_name(format!(".beside-{method}"));
    match method % 5 {
        0 => {
            fs::write(&temporary, text).expect("a file");
            fs::rename(&temporary, path).expect("a rename");
        }
        1 => fs::write(path, text).expect("truncated and written"),
        2 => {
            let (head, tail) = text.split_at(text.len() / 2);
            fs::write(path, head).expect("the first half");
            std::thread::sleep(Duration::from_millis(1));
            let mut file = fs::OpenOptions::new().append(true).open(path).expect("the file");
            std::io::Write::write_all(&mut file, tail).expect("the second half");
        }
        3 => {
            let target = path.with_file_name(format!("target-{}", method % 7));
            let _ = fs::remove_file(&target);
            fs::write(&target, text).expect("a target");
            std::os::unix::fs::symlink(&target, &temporary).expect("a link");
            fs::rename(&temporary, path).expect("the link is replaced");
        }
        _ => {
            let _ = fs::remove_file(path);
            fs::write(&temporary, text).expect("a file");
            fs::rename(&temporary, path).expect("a rename");
        }
    }
}

/// Replaces the whole directory by a new one.
fn replace_directory(folder: &Folder, text: &str) {
    let (new, old) = (folder.0.join("new"), folder.0.join("old"));
    fs::create_dir_all(&new).expect("a folder");
    fs::write(new.join("a.kdl"), text).expect("a file");
    fs::rename(folder.directory(), &old).expect("out of the way");
    fs::rename(&new, folder.directory()).expect("in its place");
    fs::remove_dir_all(&old).expect("removed");
}

/// The number of disjoint sets of servers, each with two readers and two writers.
const SET_COUNT: usize = 5;
const WRITE_DURATION: Duration = Duration::from_secs(10);
const WRITES_PER_SECOND: u64 = 250;

/// The id, kind and address of each server of a set.
type Servers = Vec<(String, &'static str, String)>;

/// Writes invalid and valid files until `stop` is set; returns the number of writes.
fn write_files(folder: &Folder, sets: &[Servers], stop: &AtomicBool, revision: &AtomicU64) -> u64 {
    let started = Instant::now();
    let mut write_count = 0;
    let path = folder.file();
    while !stop.load(Ordering::Relaxed) {
        write_count += 1;
        let next = revision.load(Ordering::Relaxed) + 1;
        let servers: Vec<(&str, &str, &str)> = sets[write_count as usize / 11 % sets.len()]
            .iter()
            .map(|(i, k, a)| (i.as_str(), *k, a.as_str()))
            .collect();
        let good_set = sealed_set(next, &servers);
        match write_count % 11 {
            0 => {
                replace_file(write_count, &path, good_set.as_bytes());
                revision.store(next, Ordering::Relaxed);
                // A valid file has to stay for a moment, or none is ever read.
                std::thread::sleep(Duration::from_millis(15));
            }
            1 => replace_file(
                write_count,
                &path,
                &good_set.as_bytes()[..good_set.len() * (write_count as usize % 97) / 97],
            ),
            2 => replace_file(write_count, &path, b""),
            3 => replace_file(
                write_count,
                &path,
                sealed_set(next, &[servers[0], servers[0], servers[2]]).as_bytes(),
            ),
            4 => replace_file(write_count, &path, sealed_set(next, &servers[2..]).as_bytes()),
            5 => replace_file(write_count, &path, &[good_set.as_bytes(), &[0xff, 0xfe]].concat()),
            6 => replace_file(
                write_count,
                &path,
                &[good_set.as_bytes(), &b"// more\n".repeat(10_000)].concat(),
            ),
            7 => replace_file(write_count, &path, sealed_set(1, &servers[..3]).as_bytes()),
            8 => replace_directory(folder, &good_set[..good_set.len() - 3]),
            9 => replace_file(write_count, &path, good_set.replace("reader", "raeder").as_bytes()),
            _ => replace_file(write_count, &path, seal::unsealed(&good_set).expect("a seal").as_bytes()),
        }
        let due = started + Duration::from_micros(write_count * 1_000_000 / WRITES_PER_SECOND);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    write_count
}

/// Sends one request; returns true if it was served, false if its only answer was another.
async fn send_request(front: &str, id: &str, class: &str) -> bool {
    let mut wire = Wire::connect(front).await;
    wire.write(&platform_request(id, class, 4000, "{}")).await;
    let head = wire.until("\r\n\r\n").await.expect("an answer");
    let served = head.starts_with("HTTP/1.1 200");
    if served {
        let body = wire.until("0\r\n\r\n").await.expect("a complete answer");
        assert_eq!(body.matches("[DONE]").count(), 1, "{body}");
    }
    served
}

/// Guards against accepting a file that is truncated, empty, contradictory or has too few servers, or a valid
/// one in parts; against requests to a server that has left; and against a booking that runs twice while one
/// set replaces another.
#[test]
fn frequent_invalid_files_never_mix_old_and_new_sets() {
    let log = LogCapture::default();
    let _guard = tracing::subscriber::set_default(log.clone());
    story(async {
        let folder = Folder::new("storm");
        let (mut sets, mut stand_ins): (Vec<Servers>, Vec<Auto>) = Default::default();
        for n in 0..SET_COUNT {
            let mut servers = Vec::new();
            for (role, kind) in [("r", "reader"), ("q", "reader"), ("w", "writer"), ("v", "writer")] {
                let stand_in = Auto::start(kind == "reader").await;
                servers.push((format!("{role}{n}"), kind, stand_in.address.clone()));
                stand_ins.push(stand_in);
            }
            sets.push(servers);
        }
        let first: Vec<(&str, &str, &str)> =
            sets[0].iter().map(|(i, k, a)| (i.as_str(), *k, a.as_str())).collect();
        fs::write(folder.file(), sealed_set(1, &first)).expect("a first set");
        let mut config = config("", &[]);
        config["settings"]["Rules"]["WarmUpMs"] = json!(50.0);
        let conductor = Conductor::start_with(config, &folder.operator("")).await;

        let (stop, revision) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
        let writer = std::thread::spawn({
            let (stop, sets) = (stop.clone(), sets.clone());
            move || {
                let write_count = write_files(&folder, &sets, &stop, &revision);
                (write_count, folder)
            }
        });
        let started = Instant::now();
        let mut clients = tokio::task::JoinSet::new();
        for client in 0..12 {
            let front = conductor.front.clone();
            clients.spawn(async move {
                let (mut request_count, mut served) = (0, Vec::new());
                while started.elapsed() < WRITE_DURATION {
                    let class = if request_count % 3 == 0 { "book" } else { "ask" };
                    let id = format!("{class}-{client}-{request_count}");
                    request_count += 1;
                    if send_request(&front, &id, class).await {
                        served.push(id);
                    }
                    tokio::time::sleep(Duration::from_millis(3)).await;
                }
                (request_count, served)
            });
        }
        let (mut request_count, mut served) = (0, Vec::new());
        while let Some(client) = clients.join_next().await {
            let (client_requests, ids) = client.expect("each request has one complete answer");
            request_count += client_requests;
            served.extend(ids);
        }
        stop.store(true, Ordering::Relaxed);
        let (write_count, _folder) = writer.join().expect("the writer's thread");
        // Each of the eleven kinds of write occurs many times, however slow the disk is.
        assert!(write_count as f64 >= 30.0 * WRITE_DURATION.as_secs_f64(), "{write_count} writes");

        let generations = log.generations.lock().expect("no panic").clone();
        let sends = log.sends.lock().expect("no panic").clone();
        let set_addresses: Vec<BTreeSet<String>> = sets
            .iter()
            .map(|servers| servers.iter().map(|(_, _, address)| address.clone()).collect())
            .collect();
        let mut seen_sets = BTreeSet::new();
        for (number, (_, ready)) in &generations {
            let set_index = set_addresses.iter().position(|set| set == ready);
            seen_sets.insert(
                set_index.unwrap_or_else(|| panic!("generation {number} mixes several sets: {ready:?}")),
            );
        }
        assert_eq!(seen_sets.len(), SET_COUNT, "each valid set was in service at some time");
        assert!(generations.len() >= 20, "{} generations", generations.len());
        for (generation, address) in &sends {
            let (_, ready) = &generations[generation];
            assert!(
                ready.contains(address),
                "a send to {address}, which generation {generation} does not list"
            );
        }
        // A request may reach a server up to 500 ms after the server left service, but not later.
        let mut in_service_spans: BTreeMap<&str, Vec<(Instant, Option<Instant>)>> = BTreeMap::new();
        for (at, ready) in generations.values() {
            for stand_in in &stand_ins {
                let in_service_spans = in_service_spans.entry(&stand_in.address).or_default();
                match (ready.contains(&stand_in.address), in_service_spans.last_mut()) {
                    (true, None | Some((_, Some(_)))) => in_service_spans.push((*at, None)),
                    (false, Some((_, end @ None))) => *end = Some(*at),
                    _ => {}
                }
            }
        }
        let mut bookings: BTreeMap<String, u32> = BTreeMap::new();
        for (n, stand_in) in stand_ins.iter().enumerate() {
            for arrival in stand_in.arrivals() {
                let grace = Duration::from_millis(500);
                let in_service = in_service_spans[stand_in.address.as_str()]
                    .iter()
                    .any(|(from, to)| arrival.at >= *from && to.is_none_or(|to| arrival.at <= to + grace));
                assert!(in_service, "{} reached a server that had left", arrival.id);
                if arrival.id.starts_with("book") && n % 4 >= 2 {
                    *bookings.entry(arrival.id).or_default() += 1;
                }
            }
        }
        assert!(bookings.values().all(|runs| *runs == 1), "a booking ran twice");
        for id in served.iter().filter(|id| id.starts_with("book")) {
            assert!(bookings.contains_key(id), "{id} was answered but did not run");
        }
        assert!(served.len() * 2 > request_count, "{} of {request_count} served", served.len());
    });
}

/// Returns why the only file of the directory is refused, or "nothing".
fn refused(folder: &Folder) -> String {
    let scan = milletseam::transport::list::files::Directory::new(folder.directory(), 1_000).scan();
    assert_eq!(scan.files.len(), 1, "{:?}", scan.files);
    match &scan.files[0] {
        Ok(_) => "nothing".into(),
        Err(refusal) => refusal.to_string(),
    }
}

/// Guards against an unreadable file blocking the thread or counting as an empty set.
#[test]
fn unreadable_files_are_refused_with_the_reason() {
    let folder = Folder::new("unreadable");
    let file = folder.file();
    let clear = || {
        let _ = fs::remove_dir_all(&file);
        let _ = fs::remove_file(&file);
    };
    std::os::unix::fs::symlink("nowhere", &file).expect("a link");
    assert!(refused(&folder).contains("a.kdl: can't be read"), "{}", refused(&folder));
    clear();
    fs::create_dir(&file).expect("a directory");
    assert!(refused(&folder).contains("it is not a regular file"));
    clear();
    let made = std::process::Command::new("mkfifo").arg(&file).status().expect("mkfifo runs");
    assert!(made.success() && refused(&folder).contains("it is not a regular file"));
    clear();
    fs::write(&file, "// ".repeat(400)).expect("a file");
    assert!(refused(&folder).contains("is larger than 1000 bytes"));
    fs::write(&file, b"servers zone=\"\xff\"").expect("a file");
    assert!(refused(&folder).contains("is not UTF-8"));
    fs::write(&file, sealed_set(1, &[("r", "reader", "10.0.0.1:1")])).expect("a file");
    assert_eq!(refused(&folder), "nothing");
    // Files that are still being written, and files with another extension, are ignored.
    fs::write(folder.directory().join(".b.kdl"), "torn").expect("a file");
    fs::write(folder.directory().join("b.kdl~"), "torn").expect("a file");
    assert_eq!(refused(&folder), "nothing");
    fs::remove_dir_all(folder.directory()).expect("removed");
    assert!(refused(&folder).contains("servers: can't be read"));
}

/// Writes the first of two disjoint sets, starts a conductor, writes the second, and waits until the log
/// shows it in service.
async fn wait_for_second_set(
    name: &str,
    poll: &str,
    write_first: impl FnOnce(&Folder, &str),
    write_second: impl FnOnce(&Folder, &str),
) {
    let folder = Folder::new(name);
    let sets = [1, 2].map(|n| {
        let (r, w) = (format!("127.0.0.1:{}", 10 + n), format!("127.0.0.1:{}", 20 + n));
        sealed_set(n, &[("r", "reader", r.as_str()), ("w", "writer", w.as_str())])
    });
    write_first(&folder, &sets[0]);
    let log = LogCapture::default();
    let _guard = tracing::subscriber::set_default(log.clone());
    let document = folder.operator("").replace("poll \"50ms\"", &format!("poll \"{poll}\""));
    let _conductor = Conductor::start_with(config("", &[]), &document).await;
    write_second(&folder, &sets[1]);
    let second: BTreeSet<String> = ["127.0.0.1:12", "127.0.0.1:22"].map(String::from).into();
    loop {
        let generations = log.generations.lock().expect("no panic").clone();
        if generations.values().any(|(_, ready)| *ready == second) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a change waiting for the poll although the operating system has reported it.
#[test]
fn file_rename_and_directory_replacement_are_seen_without_the_poll() {
    let first = |folder: &Folder, text: &str| fs::write(folder.file(), text).expect("a file");
    story(wait_for_second_set("hint-rename", "1h", first, |folder, text| {
        replace_file(0, &folder.file(), text.as_bytes())
    }));
    story(wait_for_second_set("hint-directory", "1h", first, replace_directory));
}

/// Guards against never noticing a change behind a symbolic link into another directory, for which the
/// operating system reports nothing.
#[test]
fn poll_finds_a_change_without_a_file_system_event() {
    let link_target = |folder: &Folder| folder.0.join("elsewhere.kdl");
    let first = |folder: &Folder, text: &str| {
        let target_directory = folder.0.join("far");
        fs::create_dir_all(&target_directory).expect("a folder");
        fs::write(target_directory.join("a"), text).expect("a file");
        fs::rename(target_directory.join("a"), link_target(folder)).expect("a rename");
        std::os::unix::fs::symlink(link_target(folder), folder.file()).expect("a link");
    };
    story(wait_for_second_set("poll", "30ms", first, |folder, text| {
        fs::write(link_target(folder), text).expect("a file")
    }));
}

/// Guards against a valid set that breaks an expectation going into service.
#[test]
fn set_that_breaks_an_expectation_is_refused_and_the_next_good_one_accepted() {
    let folder = Folder::new("guard");
    let document = folder.0.join("expectations.kdl");
    let expected = "expect \"w1 writes\" { when { request class=\"ask\"; }; then { writer \"w1\"; }; }\n";
    fs::write(&document, expected).expect("a file");
    story(async {
        let (old_reader, new_reader) = (Auto::start(true).await, Auto::start(true).await);
        let (expected_writer, unexpected_writer) = (Auto::start(false).await, Auto::start(false).await);
        let good_set = |revision, reader: &Auto| {
            sealed_set(
                revision,
                &[("r1", "reader", &reader.address), ("w1", "writer", &expected_writer.address)],
            )
        };
        replace_file(0, &folder.file(), good_set(1, &old_reader).as_bytes());
        let config = config("", &[]);
        let operator =
            folder.operator(&format!("expectations {:?} within=\"10s\"", document.display().to_string()));
        let log = LogCapture::default();
        let _guard = tracing::subscriber::set_default(log.clone());
        let conductor = Conductor::start_with(config, &operator).await;
        let ask = async |id: &str| {
            let answer = conductor.ask(id, "ask", 4000).await.rest_of_answer().await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        };
        ask("before").await;
        let servers = [
            ("r1", "reader", &new_reader),
            ("w1", "writer", &expected_writer),
            ("w2", "writer", &unexpected_writer),
        ];
        let bad_set = sealed_set(2, &servers.map(|(id, kind, at)| (id, kind, at.address.as_str())));
        replace_file(0, &folder.file(), bad_set.as_bytes());
        while log.refused.lock().expect("no panic").is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let refused = log.refused.lock().expect("no panic").join("\n");
        assert!(refused.contains("the expectation 'w1 writes' fails: request 1: it went to w2"), "{refused}");
        ask("between").await;
        replace_file(0, &folder.file(), good_set(3, &new_reader).as_bytes());
        let mut n = 0;
        while new_reader.arrivals().is_empty() {
            n += 1;
            // The reader at another address is cold: some requests are refused until it is chosen.
            let mut client = conductor.ask(&format!("after{n}"), "ask", 4000).await;
            client.until("\r\n\r\n").await.expect("an answer");
        }
        assert_eq!(unexpected_writer.arrivals().len(), 0, "the refused set got no requests");
        assert!(old_reader.arrivals().iter().any(|arrival| arrival.id == "between"));
    });
}
