//! A small site for tests of the request path, and a backend server that writes scripted responses.
#![allow(dead_code, unreachable_pub)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::workdir::{http, http_json, wait_until, ChildProcess, Ports, Response, Workdir};

/// Manifest of the test site. All routes are idempotent. GET /get/* and PUT /put/* have a deadline of 600 ms, /long/*
/// and /alone/* of 20 s; /alone/* allows one concurrent request per caller.
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

/// A store and one node that has adopted the test manifest.
pub struct Site {
    pub dir: Workdir,
    pub node: Ports,
    pub store: SocketAddr,
    processes: Vec<ChildProcess>,
}

/// Counters of a `devbackend` process.
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
        wait_until("version adopted", ready);
        Self {
            dir,
            node,
            store,
            processes: vec![store_process, node_process],
        }
    }

    /// Starts another node that has the first one as its seed.
    pub fn add_node(&mut self, id: &str, extra: &str) -> Ports {
        let seeds = [self.node.peer];
        let (process, ports) = self.dir.start_node(id, "a", self.store, &seeds, extra);
        self.processes.push(process);
        ports
    }

    /// Starts a `devbackend` process beside the node and waits until requests reach it.
    pub fn start_backend(&mut self, options: &[&str]) -> SocketAddr {
        let admin = self.node.admin.to_string();
        let mut args = vec!["devbackend", "--service", "s", "--node", &admin];
        args.extend(options);
        let process = self.dir.start(&args);
        let line = process.wait_line("listening ");
        self.processes.push(process);
        self.wait_until_routed();
        line.trim_start_matches("listening ").parse().unwrap()
    }

    /// Starts a [`ScriptedBackend`] beside the node and waits until requests reach it.
    pub fn start_scripted<F>(&self, script: F) -> ScriptedBackend
    where
        F: Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let s = ScriptedBackend::start(self.node.admin, script);
        self.wait_until_routed();
        s
    }

    fn wait_until_routed(&self) {
        wait_until("target known", || {
            self.get("/get/probe")
                .is_some_and(|r| r.header("dq-reason") != "no-target")
        });
    }

    pub fn get(&self, path: &str) -> Option<Response> {
        http(self.node.caller, "GET", path, &[], "")
    }

    /// Value of a metric of the first node; empty if it has none yet.
    pub fn metric(&self, name: &str) -> String {
        let response = http(self.node.admin, "GET", "/metrics", &[], "").unwrap();
        let line = response.body.lines().find(|l| l.starts_with(name));
        line.and_then(|l| l.split(' ').nth(1))
            .unwrap_or("")
            .to_owned()
    }
}

/// Reads the counters of a `devbackend` process.
pub fn stats(backend: SocketAddr) -> Stats {
    let r = http(backend, "GET", "/.dev/stats", &[], "").unwrap();
    serde_json::from_str(&r.body).unwrap()
}

/// Number of runs with this idempotency key at a `devbackend` process.
pub fn runs(backend: SocketAddr, key: &str) -> u64 {
    let path = format!("/.dev/runs/{key}");
    let r = http(backend, "GET", &path, &[], "").unwrap();
    r.body.parse().unwrap()
}

/// A backend server whose responses are written by a function of the test.
pub struct ScriptedBackend {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl ScriptedBackend {
    /// Starts the server and announces it to a node. The script gets the head of each request and the connection, and
    /// returns whether the connection stays open.
    pub fn start<F>(admin: SocketAddr, script: F) -> Self
    where
        F: Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = stopped.clone();
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
        Self { address, stopped }
    }
}

impl Drop for ScriptedBackend {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Announces a target to a node.
pub fn announce(admin: SocketAddr, address: SocketAddr, state: &str) {
    let announcement = format!(
        "{{\"service\":\"s\",\"address\":\"{address}\",\"slots\":6,\"connections\":100,\
         \"state\":\"{state}\",\"incarnation\":1}}"
    );
    let _ = http_json(admin, "POST", "/announce", &announcement);
}

/// Serves one connection. Only request heads are read, so requests need an empty body.
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

/// A complete response with status 200 and this body.
pub fn ok_response(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Request target in a request head.
pub fn request_path(head: &str) -> &str {
    head.split(' ').nth(1).unwrap_or("")
}

/// Opens a connection, writes a request and returns the connection.
pub fn open_request(address: SocketAddr, head: &str) -> TcpStream {
    let mut s = TcpStream::connect(address).unwrap();
    s.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    s.write_all(head.as_bytes()).unwrap();
    s
}
