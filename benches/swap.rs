//! Measures how long a new file of servers takes to affect routing: `cargo bench --bench swap`.
//!
//! One program runs in this process on its own thread and runtime; the clients and a stand-in for all servers
//! run on another thread. Two disjoint sets of servers replace each other in turn; every server has an
//! address of its own in 127.0.0.0/8. The benchmark prints the time from the rename of the file to the first
//! request that reaches a server of the new set, the longest time for which the program's event loop did not
//! run, and the memory of the process.

#[path = "../tests/peers/mod.rs"]
mod peers;

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use milletseam::documents::seal;
use peers::{Conductor, Wire, config, platform_request};
use serde_json::json;
use tokio::net::TcpListener;

/// The number of replacements, which is lower for large sets because each takes longer.
fn swap_count(servers: usize) -> usize {
    if servers > 1_000 { 20 } else { 100 }
}

/// The address of a server. Its second part encodes the set, so that the stand-in can tell the sets apart.
fn address(set: usize, n: usize, port: u16) -> String {
    format!("127.{}.{}.{}:{port}", set + 1, n / 250, n % 250 + 1)
}

fn server_file(revision: usize, set: usize, servers: usize, port: u16) -> String {
    let mut text = format!("servers zone=\"a\" revision={revision}\n");
    for n in 0..servers {
        let kind = if n % 2 == 0 { "reader" } else { "writer" };
        let (address, cell) = (address(set, n, port), n / 10);
        text += &format!("server \"s{set}-{n}\" address=\"{address}\" kind=\"{kind}\" cell={cell}\n");
    }
    seal::sealed(&text, servers)
}

/// Serves all requests and records to which set the latest request was sent.
async fn stand_in(listener: TcpListener, latest_set: Arc<AtomicU64>) {
    while let Ok((stream, _)) = listener.accept().await {
        let local = stream.local_addr().expect("an address").to_string();
        let set: u64 =
            local.split('.').nth(1).and_then(|n| n.parse().ok()).expect("an address of this benchmark");
        let latest_set = latest_set.clone();
        tokio::spawn(async move {
            let mut wire = Wire::of(stream);
            while let Some((head, _)) = wire.message().await {
                let response = if head.starts_with("DELETE ") {
                    "HTTP/1.1 204 No Content\r\n\r\n"
                } else if head.starts_with("GET ") {
                    "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nTEXT util=0.1, queue=0, x0=0.2"
                } else {
                    latest_set.store(set, Ordering::SeqCst);
                    // Readers have even numbers, so the last part of their address is odd.
                    let last_part =
                        local.rsplit('.').next().and_then(|l| l.split(':').next()?.parse::<u32>().ok());
                    if last_part.is_some_and(|last_part| last_part % 2 == 1) {
                        "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"
                    } else {
                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\n\
                         data: [DONE]\n\n"
                    }
                };
                wire.write_all_it_takes(response).await;
            }
        });
    }
}

fn memory_mb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

fn replace_file(path: &Path, text: &str) -> Instant {
    let temporary = path.with_file_name(".beside");
    fs::write(&temporary, text).expect("a file");
    let renamed_at = Instant::now();
    fs::rename(temporary, path).expect("a rename");
    renamed_at
}

/// Starts the program on a thread of its own; returns the address of its front, and the longest stall so far
/// in microseconds.
fn start_program(folder: PathBuf) -> (String, Arc<AtomicU64>) {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async move {
            let operator = format!(
                "servers {{\n directory {:?}\n pace \"10ms\"\n drain \"300ms\"\n leave-at-most 1.0\n}}\n",
                folder.display().to_string()
            );
            let mut config = config("", &[]);
            config["limits"]["sockets"] = json!(1024);
            config["settings"]["Rules"]["WarmUpMs"] = json!(1.0);
            let conductor = Conductor::start_with(config, &operator).await;
            let longest_stall_us = Arc::new(AtomicU64::new(0));
            sender.send((conductor.front.clone(), longest_stall_us.clone())).expect("the benchmark waits");
            // A sleep of a millisecond that ends later has been delayed by the blocked loop.
            loop {
                let due = Instant::now() + Duration::from_millis(1);
                tokio::time::sleep(Duration::from_millis(1)).await;
                let delay_us = due.elapsed().as_micros() as u64;
                longest_stall_us.fetch_max(delay_us, Ordering::SeqCst);
            }
        });
    });
    receiver.recv().expect("the program starts")
}

async fn run(servers: usize) {
    let listener = TcpListener::bind("0.0.0.0:0").await.expect("a port");
    let port = listener.local_addr().expect("an address").port();
    let latest_set = Arc::new(AtomicU64::new(0));
    tokio::spawn(stand_in(listener, latest_set.clone()));
    let folder = std::env::temp_dir().join(format!("birchspur-swap-{}-{servers}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("a.kdl");
    replace_file(&path, &server_file(1, 0, servers, port));
    let (front, longest_stall_us) = start_program(folder.clone());
    let stop = Arc::new(AtomicBool::new(false));
    for client in 0..4 {
        let (front, stop) = (front.clone(), stop.clone());
        tokio::spawn(async move {
            for n in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let mut wire = Wire::connect(&front).await;
                wire.write(&platform_request(&format!("c{client}-{n}"), "ask", 4000, "{}")).await;
                wire.until("\r\n\r\n").await;
                tokio::time::sleep(Duration::from_micros(500)).await;
            }
        });
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    longest_stall_us.store(0, Ordering::SeqCst);
    let mut times_ms = Vec::new();
    for swap in 0..swap_count(servers) {
        let set = (swap + 1) % 2;
        let text = server_file(swap + 2, set, servers, port);
        let renamed_at = replace_file(&path, &text);
        while latest_set.load(Ordering::SeqCst) != set as u64 + 1 {
            assert!(renamed_at.elapsed() < Duration::from_secs(30), "the set never comes into service");
            tokio::time::sleep(Duration::from_micros(200)).await;
        }
        times_ms.push(renamed_at.elapsed().as_secs_f64() * 1e3);
        tokio::time::sleep(Duration::from_millis(330)).await;
    }
    stop.store(true, Ordering::Relaxed);
    times_ms.sort_by(f64::total_cmp);
    let longest_stall_ms = longest_stall_us.load(Ordering::SeqCst) as f64 / 1e3;
    println!(
        "{servers:>7}  {:>16.1}  {:>7.1}  {longest_stall_ms:>16.1}  {:>9.0}",
        times_ms[times_ms.len() / 2],
        times_ms[times_ms.len() * 99 / 100],
        memory_mb()
    );
    let _ = fs::remove_dir_all(&folder);
}

fn main() {
    println!("servers  to first send ms      p99  longest stall ms  memory MB");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for servers in [10, 1_000, 10_000] {
        runtime.block_on(run(servers));
    }
    std::process::exit(0);
}
