//! A small site for tests of the sidecar: a stand-in of the platform's store, stand-ins of targets, and real processes.
#![allow(dead_code, unreachable_pub)]

pub mod store;
pub mod target;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use super::workdir::{http, wait_until, ChildProcess, Response, Workdir};
use store::KvServer;
use target::Target;

/// Service of the targets.
pub const SERVICE: &str = "svc";
/// Host of the routes.
pub const HOST: &str = "h.example";
/// Settings that make a test short.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// A node with the target beside it.
pub struct Node {
    pub process: ChildProcess,
    pub caller: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub admin: SocketAddr,
    pub target: Arc<Target>,
    beating: Arc<AtomicBool>,
}

/// A store, nodes and targets.
pub struct Site {
    pub dir: Workdir,
    pub store: KvServer,
    pub nodes: Vec<Node>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// An id that no other request uses.
pub fn fresh_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// A configuration with a safe route `/safe/` and an unsafe one `/once/`.
pub fn config(version: u64, more: &str) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","prefix":"/{name}/","route_type":"{kind}","timeout_ms":5000,"aim_ms":4000,"priority":1,"service":"{SERVICE}","retry_attempts":2}}"#
        )
    };
    format!(
        r#"{{"version":{version},"services":[{{"name":"{SERVICE}","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"virtual_hosts":[{{"host":"{HOST}","paths":[{},{}{more}]}}]}}"#,
        route("safe", "safe"),
        route("once", "unsafe")
    )
}

impl Site {
    /// A site with this number of nodes, each in its own zone, ready to serve.
    pub fn start(nodes: usize) -> Self {
        let mut site = Self::empty();
        site.store.put_config(&config(1, ""));
        for i in 0..nodes {
            site.add(i);
        }
        for n in &site.nodes {
            n.wait_ready();
        }
        site.wait_linked();
        site
    }

    /// A store without nodes.
    pub fn empty() -> Self {
        Self {
            dir: Workdir::new(),
            store: KvServer::start(),
            nodes: Vec::new(),
        }
    }

    /// Adds a node with its target.
    pub fn add(&mut self, i: usize) -> &Node {
        let target = Arc::new(Target::start(&format!("i-{i}")));
        let node = self.start_node(&format!("n{i}"), &format!("az{i}"), target);
        self.nodes.push(node);
        &self.nodes[self.nodes.len() - 1]
    }

    /// Starts the process beside a target.
    pub fn start_node(&self, id: &str, az: &str, target: Arc<Target>) -> Node {
        let any = "\"127.0.0.1:0\"";
        let text = format!(
            "[node]\nid = \"{id}\"\naz = \"{az}\"\nthreads = 1\n\
             [listen]\ncaller = {any}\nrelay = {any}\nadmin = {any}\n\
             [store]\naddress = \"{}\"\ntimeout_ms = 500\n\
             [sidecar]\ntarget = \"{}\"\nservice = \"{SERVICE}\"\ncontrol = {any}\nready = {any}\n\
             heartbeat_ms = {}\nbudget_least = 1000.0\n",
            self.store.address,
            target.address,
            HEARTBEAT.as_millis()
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
        let beating = Arc::new(AtomicBool::new(true));
        let (control, on, t) = (field("control"), beating.clone(), target.clone());
        std::thread::spawn(move || {
            while on.load(Ordering::SeqCst) {
                t.beat(control);
                std::thread::sleep(HEARTBEAT);
            }
        });
        Node {
            caller: field("caller"),
            control,
            ready: field("ready"),
            admin: field("admin"),
            process,
            target,
            beating,
        }
    }

    /// Waits until every node has links to all others and knows their targets.
    pub fn wait_linked(&self) {
        let all = self.nodes.len();
        for n in &self.nodes {
            wait_until("links and target", || {
                let s = n.status();
                s.contains(&format!("\"links\":{}", all - 1)) && !s.contains("\"target\":null")
            });
        }
    }
}

impl Node {
    /// Sends a request with a fresh id.
    pub fn send(&self, method: &str, path: &str) -> Option<Response> {
        self.send_as(&fresh_id(), method, path, "4000")
    }

    /// Sends a request.
    pub fn send_as(&self, id: &str, method: &str, path: &str, left: &str) -> Option<Response> {
        let headers = [
            ("dragonflyquay-request-id", id),
            ("dragonflyquay-deadline-ms", left),
            ("host", HOST),
        ];
        http(self.caller, method, path, &headers, "")
    }

    pub fn status(&self) -> String {
        http(self.admin, "GET", "/status", &[], "").map_or_else(String::new, |a| a.body)
    }

    pub fn is_ready(&self) -> bool {
        http(self.ready, "GET", "/api/ready", &[], "").is_some_and(|a| a.status == 200)
    }

    pub fn wait_ready(&self) {
        wait_until("readiness", || self.is_ready());
    }

    /// Stops the heartbeats.
    pub fn stop_beating(&self) {
        self.beating.store(false, Ordering::SeqCst);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop_beating();
    }
}
