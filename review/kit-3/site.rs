//! A small site: the store, targets, and real processes of the project beside them, with the commands and the settings
//! template of the deploy file.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::{Entrance, Store};
use crate::target::{Identity, Target};

/// Figures of the deployment, as the settings name them. Those of `sites/tuul-samples.toml`.
pub struct Figures {
    pub heartbeat_ms: u64,
    pub drain_ms: u64,
    pub grace_s: u64,
    pub memory_mb: u64,
    pub max_fds: u64,
    pub link_mbps: u64,
    /// Further fields by their names in the template, such as `bounds.quota_window_s`.
    pub more: Vec<(&'static str, String)>,
}

impl Default for Figures {
    fn default() -> Self {
        Self { heartbeat_ms: 1500, drain_ms: 2000, grace_s: 6, memory_mb: 260, max_fds: 4100, link_mbps: 1000, more: Vec::new() }
    }
}

/// A process of the project and its addresses.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub admin: SocketAddr,
    pub target: Arc<Target>,
    words: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Ids of all processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub entrance: Arc<Entrance>,
    pub nodes: Vec<Node>,
    pub figures: Figures,
    dir: PathBuf,
    run: String,
    template: String,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request id that no other request has.
pub fn new_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// A free loopback address. Its port lies below those that the system gives to clients, and is given out once.
fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU64 = AtomicU64::new(0);
    const FIRST: u64 = 20_000;
    const COUNT: u64 = 12_000;
    let start = u64::from(std::process::id()) * 131;
    loop {
        let port = FIRST + (start + NEXT_PORT.fetch_add(1, Ordering::SeqCst)) % COUNT;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().unwrap();
        }
    }
}

/// Sends a signal to a process that this program started.
fn signal(id: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
}

/// Ends all processes that this program started.
pub fn end_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        signal(id, "KILL");
    }
}

/// Replaces `{{name}}` by values; a name without a value becomes nothing.
fn render(text: &str, value: &dyn Fn(&str) -> Option<String>) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, end) = after.split_once("}}").expect("an open placeholder");
        out.push_str(before);
        out.push_str(&value(name.trim()).unwrap_or_default());
        rest = end;
    }
    out + rest
}

/// The value of a key of the deploy file.
fn deploy_value(text: &str, key: &str) -> String {
    let found = text.lines().filter_map(|l| l.split_once('=')).find(|(k, _)| k.trim() == key);
    found.map(|(_, v)| v.trim().trim_matches('"').to_owned()).expect("a key of the deploy file")
}

impl Site {
    /// Prepares a site without nodes, in a temporary folder.
    pub fn new(record: Arc<Record>, figures: Figures) -> Self {
        let deploy = std::fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
        let template = std::fs::read_to_string(deploy_value(&deploy, "template")).expect("the settings template");
        let dir = std::env::temp_dir().join(format!("dq-review-3-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let (store, entrance) = Store::start();
        Self {
            record,
            store,
            entrance,
            nodes: Vec::new(),
            figures,
            dir,
            run: deploy_value(&deploy, "run"),
            template,
        }
    }

    /// Writes a configuration as the operator. Returns its revision.
    pub fn put_config(&self, version: u64, text: &str) -> u64 {
        let revision = self.store.put("op/config", text);
        self.record.line(&format!("operator writes version {version}, acknowledged at revision {revision}"));
        revision
    }

    /// Starts a target and its node. Returns its index.
    pub fn add(&mut self, who: &Identity<'_>, name: &str) -> usize {
        let control = free_address();
        let app = free_address();
        let beat = Duration::from_millis(self.figures.heartbeat_ms);
        let target = Target::start(who, app, control, beat, &self.record);
        let store = self.entrance.address;
        self.add_node(who, name, target, control, store)
    }

    fn add_node(&mut self, who: &Identity<'_>, name: &str, target: Arc<Target>, control: SocketAddr, store: SocketAddr) -> usize {
        let (outbound, inbound, ready, admin, peer) =
            (free_address(), free_address(), free_address(), free_address(), free_address());
        let f = &self.figures;
        let value = |field: &str| -> Option<String> {
            let more = f.more.iter().find(|(k, _)| *k == field).map(|(_, v)| v.clone());
            Some(match field {
                "node" => name.to_owned(),
                "zone" => who.zone.to_owned(),
                "region" => "region".to_owned(),
                "service" => who.service.to_owned(),
                "app_addr" => target.address.to_string(),
                "ip" => "127.0.0.1".to_owned(),
                "port_range.0" => admin.port().to_string(),
                "port_range.1" => peer.port().to_string(),
                "listen.outbound" => outbound.to_string(),
                "listen.inbound" => inbound.to_string(),
                "listen.ready" => ready.to_string(),
                "listen.control" => control.to_string(),
                "platform.address" => store.to_string(),
                "heartbeat_ms" => f.heartbeat_ms.to_string(),
                "bounds.drain_ms" => f.drain_ms.to_string(),
                "bounds.grace_s" => f.grace_s.to_string(),
                "bounds.budget_window_s" => "10".to_owned(),
                "bounds.retry_budget_ratio" => "0.2".to_owned(),
                "bounds.budget_min_retries" => "56".to_owned(),
                "limits.link_mbps" => format!("{}.0", f.link_mbps),
                "limits.memory_mb" => f.memory_mb.to_string(),
                "limits.max_fds" => f.max_fds.to_string(),
                _ => return more,
            })
        };
        let settings = self.dir.join(format!("{name}.toml"));
        std::fs::write(&settings, render(&self.template, &value)).unwrap();
        let path = settings.display().to_string();
        let words = self.run.replace("/etc/dragonflyquay/node.toml", &path);
        let words = words.split(' ').map(|w| render(w, &value)).collect();
        let node = Node {
            name: name.to_owned(),
            zone: who.zone.to_owned(),
            service: who.service.to_owned(),
            outbound,
            control,
            ready,
            admin,
            target,
            words,
            settings,
            log: self.dir.join(format!("{name}.log")),
            child: Mutex::new(None),
        };
        node.start(&self.record);
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    /// Waits until all nodes answer that they are ready. Returns false if that takes too long.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while !self.nodes.iter().all(Node::is_ready) {
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Sends a request as a consumer on a new connection. Returns the status and the answer; `None` if the connection
    /// ended without one.
    pub fn send(&self, node: usize, method: &str, host: &str, path: &str, more: &str, deadline_ms: u64, body: &[u8]) -> (String, Option<(u16, Message)>) {
        let id = new_id();
        let answer = self.send_as(&id, node, method, host, path, more, deadline_ms, body);
        (id, answer)
    }

    #[allow(clippy::too_many_arguments)]
    pub fn send_as(&self, id: &str, node: usize, method: &str, host: &str, path: &str, more: &str, deadline_ms: u64, body: &[u8]) -> Option<(u16, Message)> {
        let n = &self.nodes[node];
        let headers = request_headers(id, host, more, deadline_ms);
        self.record.line(&format!("consumer sends {id} {method} {host}{path} to {}", n.name));
        let connection = Connection::open(n.outbound, Duration::from_millis(1000));
        let answer = connection.and_then(|mut c| {
            c.set_timeout(Duration::from_millis(deadline_ms + 1000));
            c.exchange(method, path, &headers, body)
        });
        match &answer {
            Ok((status, _)) => self.record.line(&format!("consumer gets {status} for {id}")),
            Err(e) => self.record.line(&format!("consumer gets no answer for {id}: {e}")),
        }
        answer.ok()
    }

    /// Lines of a node's log that contain one of these texts.
    pub fn log_lines(&self, node: usize, texts: &[&str]) -> Vec<String> {
        let log = std::fs::read_to_string(&self.nodes[node].log).unwrap_or_default();
        log.lines().filter(|l| texts.iter().any(|t| l.contains(t))).map(str::to_owned).collect()
    }

    /// Ends all processes and targets, and removes the temporary folder.
    pub fn end(&self) {
        for n in &self.nodes {
            n.kill();
            n.target.end();
        }
        self.store.stop();
        end_all();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Header lines of a consumer's request.
pub fn request_headers(id: &str, host: &str, more: &str, deadline_ms: u64) -> String {
    format!("Host: {host}\r\nDragonflyquay-Request-Id: {id}\r\nDragonflyquay-Deadline-Ms: {deadline_ms}\r\n{more}")
}

impl Node {
    /// Starts the process.
    pub fn start(&self, record: &Record) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let errors = log.try_clone().unwrap();
        let child = Command::new(Path::new(&self.words[0]))
            .args(&self.words[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("DRAGONFLYQUAY_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file");
        STARTED.lock().unwrap().push(child.id());
        record.line(&format!("process of {} starts", self.name));
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, name: &str, record: &Record) {
        if let Some(c) = self.child.lock().unwrap().as_ref() {
            record.line(&format!("process of {} gets SIG{name}", self.name));
            signal(c.id(), name);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut c) = self.child.lock().unwrap().take() {
            let _ = c.kill();
            let _ = c.wait();
            STARTED.lock().unwrap().retain(|id| *id != c.id());
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Waits for the end of the process.
    pub fn wait_ended(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while !self.has_ended() {
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        true
    }

    /// A figure of `/proc/PID/status` in KB; 0 without a process.
    fn status_kb(&self, name: &str) -> u64 {
        let id = self.child.lock().unwrap().as_ref().map(Child::id);
        let status = id.and_then(|id| std::fs::read_to_string(format!("/proc/{id}/status")).ok()).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with(name));
        let kb = line.and_then(|l| l.split_whitespace().nth(1)).and_then(|t| t.parse().ok());
        kb.unwrap_or(0)
    }

    /// Memory that the process uses now.
    pub fn memory_kb(&self) -> u64 {
        self.status_kb("VmRSS:")
    }

    /// Memory that the process uses now, without what it shares with files.
    pub fn own_memory_kb(&self) -> u64 {
        self.status_kb("RssAnon:")
    }

    /// Greatest memory that the process has used.
    pub fn peak_kb(&self) -> u64 {
        self.status_kb("VmHWM:")
    }

    /// Whether the node answers that it is ready.
    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let headers = format!("Host: {}\r\nConnection: close\r\n", self.ready);
        let answer = Connection::open(self.ready, timeout).and_then(|mut c| c.exchange("GET", "/api/ready", &headers, b""));
        matches!(answer, Ok((200, _)))
    }
}
