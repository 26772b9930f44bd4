//! A small site for tests of the request path, and a backend server that answers with given bytes.
#![allow(dead_code, unreachable_pub)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::workdir::{http, http_json, wait_until, ChildProcess, Ports, Response, Workdir};

/// Routes of the test site: GET /get/* and PUT /put/* are idempotent and have 600 ms; GET /long/* has 20 s.
const MANIFEST: &str = r#"
site = "trust"
rank = [
  { name = "urgent", order = 0, min_share_percent = 0 },
  { name = "bulk", order = 1, min_share_percent = 20 },
]
service = [{ name = "s" }]
resource = [
  { kind = "header-set", name = "h", headers = { x-site = "trust" } },
  { kind = "caller-limit", name = "one", concurrent = 1 },
]

[[route]]
name = "get"
method = "GET"
path = "/get/*"
service = "s"
rank = "urgent"
deadline_ms = 600
idempotent = true
retries = 2
resources = ["h"]

[[route]]
name = "put"
method = "PUT"
path = "/put/*"
service = "s"
rank = "bulk"
deadline_ms = 600
idempotent = true
retries = 0

[[route]]
name = "long"
method = "GET"
path = "/long/*"
service = "s"
rank = "urgent"
deadline_ms = 20000
idempotent = true
retries = 2

[[route]]
name = "big"
method = "PUT"
path = "/long/*"
service = "s"
rank = "bulk"
deadline_ms = 20000
idempotent = true
retries = 0

[[route]]
name = "alone"
method = "GET"
path = "/alone/*"
service = "s"
rank = "urgent"
deadline_ms = 20000
idempotent = true
retries = 0
resources = ["one"]
"#;

/// A store, one node and the manifest in force.
pub struct Site {
    pub dir: Workdir,
    pub node: Ports,
    pub store: SocketAddr,
    processes: Vec<ChildProcess>,
}

/// Counters of a sample backend server.
pub type Stats = serde_json::Value;

impl Site {
    /// Starts the site; `extra` is appended to the node's settings.
    pub fn start(extra: &str) -> Self {
        let dir = Workdir::new();
        let (store_process, store) = dir.start_store();
        let (node_process, node) = dir.start_node("n1", "a", store, &[], extra);
        dir.write("site.toml", MANIFEST);
        let address = store.to_string();
        let out = dir.run(&["commit", "site.toml", "--base", "0", "--store", &address]);
        assert!(out.status.success(), "{out:?}");
        let ready = || http(node.admin, "GET", "/ready", &[], "").is_some_and(|r| r.status == 200);
        wait_until("version in force", ready);
        Self {
            dir,
            node,
            store,
            processes: vec![store_process, node_process],
        }
    }

    /// Starts another node that knows the first one.
    pub fn add_node(&mut self, id: &str, extra: &str) -> Ports {
        let seeds = [self.node.peer];
        let (process, ports) = self.dir.start_node(id, "a", self.store, &seeds, extra);
        self.processes.push(process);
        ports
    }

    /// Starts a sample backend server beside the node and waits until requests reach it.
    pub fn backend(&mut self, options: &[&str]) -> SocketAddr {
        let admin = self.node.admin.to_string();
        let mut args = vec!["devbackend", "--service", "s", "--node", &admin];
        args.extend(options);
        let process = self.dir.start(&args);
        let line = process.wait_line("listening ");
        self.processes.push(process);
        self.wait_routed();
        line.trim_start_matches("listening ").parse().unwrap()
    }

    /// Starts a scripted backend server beside the node and waits until requests reach it.
    pub fn scripted<F>(&self, script: F) -> Scripted
    where
        F: Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let s = Scripted::start(self.node.admin, script);
        self.wait_routed();
        s
    }

    fn wait_routed(&self) {
        wait_until("target known", || {
            self.get("/get/probe")
                .is_some_and(|r| r.header("dq-reason") != "no-target")
        });
    }

    pub fn get(&self, path: &str) -> Option<Response> {
        http(self.node.caller, "GET", path, &[], "")
    }

    /// The only node's metric, as text; empty when it has no value yet.
    pub fn metric(&self, name: &str) -> String {
        let text = http(self.node.admin, "GET", "/metrics", &[], "").unwrap();
        let line = text.body.lines().find(|l| l.starts_with(name));
        line.and_then(|l| l.split(' ').nth(1))
            .unwrap_or("")
            .to_owned()
    }
}

/// Counters of a sample backend server.
pub fn stats(backend: SocketAddr) -> Stats {
    let r = http(backend, "GET", "/.dev/stats", &[], "").unwrap();
    serde_json::from_str(&r.body).unwrap()
}

/// Runs with this idempotency key at a sample backend server.
pub fn runs(backend: SocketAddr, key: &str) -> u64 {
    let path = format!("/.dev/runs/{key}");
    let r = http(backend, "GET", &path, &[], "").unwrap();
    r.body.parse().unwrap()
}

/// A backend server whose answers a test writes byte by byte.
pub struct Scripted {
    pub address: SocketAddr,
    end: Arc<AtomicBool>,
}

impl Scripted {
    /// Announces itself to a node. The script gets the head of each request and its connection, and says whether the
    /// connection stays open.
    pub fn start<F>(admin: SocketAddr, script: F) -> Self
    where
        F: Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let end = Arc::new(AtomicBool::new(false));
        let stop = end.clone();
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                announce(admin, address, "ready");
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        let script = Arc::new(script);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let script = script.clone();
                std::thread::spawn(move || serve(stream, script.as_ref()));
            }
        });
        Self { address, end }
    }
}

impl Drop for Scripted {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
    }
}

/// Announces a target.
pub fn announce(admin: SocketAddr, address: SocketAddr, state: &str) {
    let text = format!(
        "{{\"service\":\"s\",\"address\":\"{address}\",\"slots\":6,\"connections\":100,\
         \"state\":\"{state}\",\"incarnation\":1}}"
    );
    let _ = http_json(admin, "POST", "/announce", &text);
}

/// Serves one connection; request bodies are read only as far as they come with the head.
fn serve<F>(mut stream: TcpStream, script: &F)
where
    F: Fn(&str, &mut TcpStream) -> bool,
{
    let mut head = Vec::new();
    let mut byte = [0];
    while let Ok(1) = stream.read(&mut byte) {
        head.push(byte[0]);
        if head.ends_with(b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&head).into_owned();
            head.clear();
            if !script(&text, &mut stream) {
                return;
            }
        }
    }
}

/// A whole answer with this body.
pub fn good(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Path of a request head.
pub fn path_of(head: &str) -> &str {
    head.split(' ').nth(1).unwrap_or("")
}

/// Sends a request whose connection stays in the caller's hands.
pub fn open(address: SocketAddr, text: &str) -> TcpStream {
    let mut s = TcpStream::connect(address).unwrap();
    s.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    s.write_all(text.as_bytes()).unwrap();
    s
}
