//! Crowds of clients that respect no limit, and the bounds that a process must keep while they are connected.
#![allow(dead_code, unreachable_pub)]

pub mod shape;

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::runtime::Runtime;

use super::site_kit::{fresh_id, Site, HOST, SERVICE};
use super::workdir::{http, wait_until};
use shape::{Door, Script};

/// Memory for all clients of a process, in bytes.
pub const MEMORY_BYTES: usize = 8 << 20;
/// Descriptors of a process, all kinds together.
pub const DESCRIPTORS: usize = 100;
/// Connections for each listener that has a limit today.
pub const CONNECTIONS: usize = 40;
/// Connections of a crowd: more than a process has descriptors.
pub const CROWD: usize = 120;
/// Largest request body that the configuration allows, in bytes. Eight of them fill the memory for clients.
pub const BODY_BYTES: usize = 1 << 20;
/// Largest head of a request, in bytes.
pub const HEADER_BYTES: usize = 16 << 10;
/// Largest number of header fields of a request, the highest that the settings accept.
pub const FIELDS: usize = 1024;
/// Idle timeout of the connections of callers, in ms.
const IDLE_MS: u64 = 2000;
/// The same where a connection has to stay open for long, in ms.
const LONG_IDLE_MS: u64 = 60_000;
/// Time for which a crowd writes; it then stays connected.
const PLAY_TIME: Duration = Duration::from_millis(2500);
/// Receive buffer of a client, in bytes, so that unread responses stay in the process rather than in the system.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// Only one crowd at a time, so that each process has the machine for itself.
pub fn one_at_a_time() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(|e| e.into_inner())
}

/// A configuration with the routes `/safe/` (idempotent) and `/once/`, and short time limits.
fn config(body_bytes: usize, timeout_ms: u64, idle_ms: u64) -> String {
    let route = |name: &str, route_type: &str| {
        format!(
            r#"{{"name":"{name}","prefix":"/{name}/","route_type":"{route_type}","timeout_ms":{timeout_ms},"aim_ms":3000,"priority":1,"service":"{SERVICE}","retry_attempts":1}}"#
        )
    };
    format!(
        r#"{{"version":1,"services":[{{"name":"{SERVICE}","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":{HEADER_BYTES},"max_body_bytes":{body_bytes},"header_timeout_ms":1000,"idle_timeout_ms":{idle_ms}}},"virtual_hosts":[{{"host":"{HOST}","paths":[{},{}]}}]}}"#,
        route("safe", "safe"),
        route("once", "unsafe")
    )
}

/// A node whose limits are low enough for a small crowd to reach them.
pub struct LimitedNode {
    pub site: Site,
    idle_memory: usize,
}

impl LimitedNode {
    pub fn start() -> Self {
        let budget = format!("memory_bytes = {MEMORY_BYTES}\ndescriptors = {DESCRIPTORS}\n");
        Self::start_with(&config(BODY_BYTES, 4000, IDLE_MS), &(settings() + &budget))
    }

    /// Starts a node with the default budget of a VM, and a configuration with large bodies.
    pub fn start_on_vm(memory_mb: usize, body_bytes: usize) -> Self {
        let vm = format!("vm_memory_mb = {memory_mb}\n");
        Self::start_with(
            &config(body_bytes, 60_000, LONG_IDLE_MS),
            &(settings() + &vm),
        )
    }

    fn start_with(config: &str, settings: &str) -> Self {
        let mut site = Site::empty();
        site.store.put_config(config);
        site.add_node_with(0, settings);
        site.nodes[0].wait_ready();
        site.wait_linked();
        assert_eq!(site.nodes[0].send("GET", "/safe/x").unwrap().status, 200);
        let idle_memory = peak_memory(site.nodes[0].process.pid());
        Self { site, idle_memory }
    }

    pub fn address(&self, door: Door) -> SocketAddr {
        let n = &self.site.nodes[0];
        match door {
            Door::Route | Door::NoRoute | Door::ReadyPath => n.caller,
            Door::Ready => n.ready,
            Door::Control => n.control,
            Door::Admin => n.admin,
            Door::Relay => n.relay,
        }
    }

    /// Sends a request with a body of this size on a new connection. Returns the status of the response.
    pub fn post(&self, body_bytes: usize) -> Option<u16> {
        let id = fresh_id();
        let headers = [
            ("dragonflyquay-request-id", id.as_str()),
            ("dragonflyquay-deadline-ms", "60000"),
            ("host", HOST),
        ];
        let body = "x".repeat(body_bytes);
        let caller = self.site.nodes[0].caller;
        http(caller, "POST", "/once/x", &headers, &body).map(|res| res.status)
    }

    /// Plays a crowd at a door, and checks the process while the crowd is still connected.
    pub fn play(&mut self, door: Door, crowd: &[Script]) {
        let runtime = Runtime::new().unwrap();
        let address = self.address(door);
        let clients: Vec<_> = crowd
            .iter()
            .zip(0..)
            .map(|(script, i)| {
                runtime.spawn(play_client(address, script.clone(), script.stagger * i))
            })
            .collect();
        let mut descriptors = 0;
        runtime.block_on(async {
            for client in &clients {
                while !client.is_finished() {
                    descriptors = descriptors.max(self.open_descriptors());
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        });
        let pid = self.site.nodes[0].process.pid();
        let used = peak_memory(pid).saturating_sub(self.idle_memory);
        let ended = self.site.nodes[0].process.exit_code();
        println!("memory above idle {used} bytes, descriptors {descriptors}, ended {ended:?}");
        assert_eq!(ended, None, "the process has ended");
        assert!(used <= 2 * MEMORY_BYTES, "memory above idle: {used} bytes");
        assert!(descriptors <= DESCRIPTORS, "descriptors: {descriptors}");
        wait_until("an ordinary request is answered", || {
            let n = &self.site.nodes[0];
            n.send("GET", "/safe/x")
                .is_some_and(|res| res.status == 200)
        });
        drop(clients);
    }

    fn open_descriptors(&self) -> usize {
        let pid = self.site.nodes[0].process.pid();
        std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
    }
}

/// Settings of the node, beginning in the section `sidecar`.
fn settings() -> String {
    format!(
        "[limits]\nconnections = {CONNECTIONS}\nheaders = {FIELDS}\nheader_bytes = {HEADER_BYTES}\n\
         header_timeout_ms = 1000\n"
    )
}

/// Peak of the resident memory of a process, in bytes.
pub fn peak_memory(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmHWM:"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1));
    kb.map_or(0, |kb| kb.parse::<usize>().unwrap() << 10)
}

/// Writes a script for at most [`PLAY_TIME`]. The returned connection stays open until it is dropped.
async fn play_client(address: SocketAddr, script: Script, delay: Duration) -> Option<TcpStream> {
    tokio::time::sleep(delay).await;
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    let mut stream = socket.connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let write = async {
        stream.write_all(script.head().as_bytes()).await?;
        if script.waits {
            // The smallest response to the head is longer.
            stream.read_exact(&mut [0; 64]).await?;
        }
        stream.write_all(&script.start).await?;
        for _ in 0..script.pieces {
            if !script.pause.is_zero() {
                tokio::time::sleep(script.pause).await;
            }
            stream.write_all(&script.piece).await?;
        }
        std::future::pending::<std::io::Result<()>>().await
    };
    // An error means that the process has closed the connection, which it may.
    let _ = tokio::time::timeout(PLAY_TIME, write).await;
    Some(stream)
}
