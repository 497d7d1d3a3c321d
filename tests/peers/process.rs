//! The built program as a process of its own with both fronts, and what the system tells of its memory.

use std::process::Stdio;

use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{Duration, sleep};

use super::{Folder, Reserved, UP, Wire, nowhere, operator};

/// A running process of the program. It ends when this is dropped.
pub struct Process {
    pub child: Child,
    /// The address of the platform's front.
    pub front: String,
    /// The address of the JSON-RPC front.
    pub rpc: String,
    _kept: (Folder, Reserved, Reserved),
}

/// What the system says of a process's memory, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    pub resident: u64,
    /// The largest resident set since the start or the last reset.
    pub peak: u64,
}

impl Process {
    /// Starts a process with this configuration and these tool servers, and waits until it can serve.
    pub async fn start(name: &str, mut config: Value, tools: &[Value]) -> Self {
        let (folder, front, rpc) = (Folder::new(name), nowhere(), nowhere());
        config["listen"] = json!(front.address);
        let document = operator(None, tools).replace("127.0.0.1:0", &rpc.address);
        let child = Command::new(env!("CARGO_BIN_EXE_birchspur"))
            .args(["serve", "--operator", &folder.write("operator.kdl", &document)])
            .env("LB_CONFIG", folder.write("config.json", &config.to_string()))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .expect("it starts");
        let addresses = (front.address.clone(), rpc.address.clone());
        let process = Process { child, front: addresses.0, rpc: addresses.1, _kept: (folder, front, rpc) };
        process.wait_until_ready().await;
        process
    }

    async fn wait_until_ready(&self) {
        loop {
            if let Ok(stream) = TcpStream::connect(&self.front).await {
                let mut wire = Wire::of(stream);
                wire.write_all_it_takes(UP).await;
                if wire.until("\r\n").await.is_some_and(|line| line.contains(" 200 ")) {
                    return;
                }
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.id().expect("it runs")
    }

    /// Returns the process's memory; `None` if the process has ended.
    pub fn memory(&self) -> Option<Memory> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        let bytes = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse::<u64>().ok().map(|kib| kib * 1024)
        };
        Some(Memory { resident: bytes("VmRSS:")?, peak: bytes("VmHWM:")? })
    }
}

/// Polls the operators' address until the program reports that it can serve.
pub async fn wait_until_healthy(admin: &str) {
    loop {
        if let Ok(stream) = TcpStream::connect(admin).await {
            let mut wire = Wire::of(stream);
            wire.write_all_it_takes("GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n").await;
            if wire.rest().await.starts_with("HTTP/1.1 200") {
                return;
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
}
