//! A small site for tests of the sidecar: stand-ins for the platform's store and for targets, and real node processes.
#![allow(dead_code, unreachable_pub)]

pub mod capacity;
pub mod explain;
pub mod store;
pub mod target;
pub mod upload;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use super::workdir::{http, wait_until, ChildProcess, Response, Workdir};
use store::{Entrance, KvServer};
use target::Target;

/// Service of the targets.
pub const SERVICE: &str = "svc";
/// Host of the routes.
pub const HOST: &str = "h.example";
/// An address with a free port.
const ANY_PORT: &str = "127.0.0.1:0";
/// Interval of heartbeats; short, so that tests take little time.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// A node process and its target.
pub struct Node {
    pub process: ChildProcess,
    pub caller: SocketAddr,
    pub relay: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub admin: SocketAddr,
    pub target: Arc<Target>,
    /// Whether the target sends heartbeats.
    heartbeats_on: Arc<AtomicBool>,
}

/// A store, and nodes with their targets.
pub struct Site {
    pub dir: Workdir,
    pub store: KvServer,
    pub nodes: Vec<Node>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request id that no other request has.
pub fn fresh_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// A configuration with an idempotent route `/safe/`, a non-idempotent one `/once/`, and `more_routes`, which begin
/// with a comma unless empty.
pub fn config(version: u64, more_routes: &str) -> String {
    let route = |name: &str, route_type: &str| {
        format!(
            r#"{{"name":"{name}","prefix":"/{name}/","route_type":"{route_type}","timeout_ms":5000,"aim_ms":4000,"priority":1,"service":"{SERVICE}","retry_attempts":2}}"#
        )
    };
    format!(
        r#"{{"version":{version},"services":[{{"name":"{SERVICE}","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"virtual_hosts":[{{"host":"{HOST}","paths":[{},{}{more_routes}]}}]}}"#,
        route("safe", "safe"),
        route("once", "unsafe")
    )
}

/// Sends a request with this id to the callers' address of a node. Returns `None` if there is no response.
pub fn send_to(
    caller: SocketAddr,
    id: &str,
    method: &str,
    path: &str,
    timeout_ms: &str,
) -> Option<Response> {
    let headers = [
        ("dragonflyquay-request-id", id),
        ("dragonflyquay-deadline-ms", timeout_ms),
        ("host", HOST),
    ];
    http(caller, method, path, &headers, "")
}

impl Site {
    /// Starts a site with this number of nodes, each in its own availability zone, and waits until they are ready.
    pub fn start(nodes: usize) -> Self {
        let mut site = Self::empty();
        site.store.put_config(&config(1, ""));
        for i in 0..nodes {
            site.add_node(i);
        }
        for n in &site.nodes {
            n.wait_ready();
        }
        site.wait_linked();
        site
    }

    /// Starts a store without nodes.
    pub fn empty() -> Self {
        Self {
            dir: Workdir::new(),
            store: KvServer::start(),
            nodes: Vec::new(),
        }
    }

    /// Starts a target and its node.
    pub fn add_node(&mut self, i: usize) -> &Node {
        let target = Arc::new(Target::start(&format!("i-{i}")));
        let node = self.start_node(&format!("n{i}"), &format!("az{i}"), target);
        self.nodes.push(node);
        &self.nodes[self.nodes.len() - 1]
    }

    /// Starts a target and its node, with `extra` lines in the `sidecar` section of its settings.
    pub fn add_node_with(&mut self, i: usize, extra: &str) -> &Node {
        let target = Arc::new(Target::start(&format!("i-{i}")));
        let node = self.start_node_with(&format!("n{i}"), &format!("az{i}"), target, extra);
        self.nodes.push(node);
        &self.nodes[self.nodes.len() - 1]
    }

    /// Starts the node process of a target, and the heartbeats of the target.
    pub fn start_node(&self, id: &str, az: &str, target: Arc<Target>) -> Node {
        self.start_node_with(id, az, target, "")
    }

    /// Starts a target and its node, which reaches the store by an address of its own.
    pub fn add_node_at(&mut self, i: usize, entrance: &Entrance) -> &Node {
        let target = Arc::new(Target::start(&format!("i-{i}")));
        let (id, az) = (format!("n{i}"), format!("az{i}"));
        let node = self.start_node_at(&id, &az, target, "", entrance.address);
        self.nodes.push(node);
        &self.nodes[self.nodes.len() - 1]
    }

    /// Starts a node as [`Site::start_node`] does, with `extra` lines in the `sidecar` section of its settings.
    pub fn start_node_with(&self, id: &str, az: &str, target: Arc<Target>, extra: &str) -> Node {
        self.start_node_at(id, az, target, extra, self.store.address)
    }

    /// Starts a node whose target sends no heartbeats.
    pub fn start_silent_node(&self, id: &str, az: &str, target: Arc<Target>) -> Node {
        self.start_process(id, az, target, "", self.store.address, ANY_PORT)
    }

    /// Starts a node process again, at the same address for links and beside the same target, which sends no heartbeats.
    pub fn start_silent_again(&self, id: &str, az: &str, former: &Node) -> Node {
        let (target, relay) = (former.target.clone(), former.relay.to_string());
        self.start_process(id, az, target, "", self.store.address, &relay)
    }

    fn start_node_at(
        &self,
        id: &str,
        az: &str,
        target: Arc<Target>,
        extra: &str,
        store: SocketAddr,
    ) -> Node {
        let node = self.start_process(id, az, target.clone(), extra, store, ANY_PORT);
        let (control, on) = (node.control, node.heartbeats_on.clone());
        std::thread::spawn(move || {
            while on.load(Ordering::SeqCst) {
                target.send_heartbeat(control);
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        node
    }

    fn start_process(
        &self,
        id: &str,
        az: &str,
        target: Arc<Target>,
        extra: &str,
        store: SocketAddr,
        relay: &str,
    ) -> Node {
        let any_port = format!("\"{ANY_PORT}\"");
        let text = format!(
            "[node]\nid = \"{id}\"\naz = \"{az}\"\nthreads = 1\n\
             [listen]\ncaller = {any_port}\nrelay = \"{relay}\"\nadmin = {any_port}\n\
             [store]\naddress = \"{}\"\ntimeout_ms = 500\n\
             [sidecar]\ntarget = \"{}\"\nservice = \"{SERVICE}\"\ncontrol = {any_port}\nready = {any_port}\n\
             heartbeat_ms = {}\nbudget_least = 1000.0\n{extra}",
            store,
            target.address,
            HEARTBEAT_INTERVAL.as_millis()
        );
        let name = format!("{id}.toml");
        self.dir.write(&name, &text);
        let process = self.dir.start(&["sidecar", &name]);
        let line = process.wait_line("event=started");
        let field = |key: &str| -> SocketAddr {
            let at = line.find(&format!("{key}=")).unwrap() + key.len() + 1;
            let value = line[at..].split_whitespace().next().unwrap();
            value.trim_matches('"').parse().unwrap()
        };
        Node {
            caller: field("caller"),
            relay: field("relay"),
            control: field("control"),
            ready: field("ready"),
            admin: field("admin"),
            process,
            target,
            heartbeats_on: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Waits until every node has links to all others and knows its target.
    pub fn wait_linked(&self) {
        let count = self.nodes.len();
        for n in &self.nodes {
            wait_until("links and target", || {
                let s = n.status();
                s.contains(&format!("\"links\":{}", count - 1)) && !s.contains("\"target\":null")
            });
        }
    }

    /// Makes the target of the first of two nodes report that it stops soon, and waits until requests of that node run at
    /// the target of the second one.
    pub fn drain_first_target(&self) {
        self.nodes[0].target.state.lock().unwrap().reported = "draining";
        wait_until("requests go to the second node", || {
            let id = fresh_id();
            self.nodes[0].send_as(&id, "GET", "/safe/x", "4000");
            self.nodes[1].target.runs(&id) == 1
        });
    }
}

impl Node {
    /// Sends a request with a new id and a timeout of 4 s.
    pub fn send(&self, method: &str, path: &str) -> Option<Response> {
        self.send_as(&fresh_id(), method, path, "4000")
    }

    /// Sends a request with this id. Returns `None` if there is no response.
    pub fn send_as(
        &self,
        id: &str,
        method: &str,
        path: &str,
        timeout_ms: &str,
    ) -> Option<Response> {
        send_to(self.caller, id, method, path, timeout_ms)
    }

    pub fn status(&self) -> String {
        http(self.admin, "GET", "/status", &[], "").map_or_else(String::new, |res| res.body)
    }

    pub fn is_ready(&self) -> bool {
        http(self.ready, "GET", "/api/ready", &[], "").is_some_and(|res| res.status == 200)
    }

    pub fn wait_ready(&self) {
        wait_until("readiness", || self.is_ready());
    }

    /// Stops the heartbeats of the target.
    pub fn stop_heartbeats(&self) {
        self.heartbeats_on.store(false, Ordering::SeqCst);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop_heartbeats();
    }
}
