//! A site of real processes whose connections all run through proxies, for the fault soak.
#![allow(dead_code, unreachable_pub)]

pub mod client;
pub mod history;
pub mod plan;
pub mod proxy;
pub mod target;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::site_kit::store::{Faults, KvServer};
use super::workdir::{http, http_json, Running, Workdir};
use history::{Ledger, Left};
use plan::{Event, Link};
use proxy::{Mode, Proxy};
use target::Target;
use tokio::runtime::Runtime;

/// Host of all routes.
pub const HOST: &str = "h.example";
/// Time after an acknowledged leave in which a target may still get requests.
pub const DRAIN: Duration = Duration::from_millis(2000);
/// Time after SIGTERM in which a process has to end.
const GRACE: Duration = Duration::from_secs(6);
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Time after a disturbance for which a node counts as disturbed.
pub const SETTLE: Duration = Duration::from_secs(3);

/// State of the process of a node.
enum State {
    Up(Running),
    /// Got SIGTERM at this time.
    Ending(Running, Instant),
    Down,
}

/// A node, its target and the proxies on its connections.
pub struct Node {
    pub service: String,
    pub target: Target,
    state: State,
    /// Processes of this node that were started.
    pub process: Arc<AtomicUsize>,
    /// Addresses of the running process: callers, heartbeats, readiness.
    ports: Arc<Mutex<Option<Ports>>>,
    relay: Proxy,
    store: Proxy,
    to_target: Proxy,
    log: Vec<String>,
}

#[derive(Debug, Clone, Copy)]
struct Ports {
    caller: SocketAddr,
    control: SocketAddr,
    ready: SocketAddr,
}

/// The whole site.
pub struct Site {
    dir: Workdir,
    pub kv: KvServer,
    pub nodes: Vec<Node>,
    pub ledger: Arc<Ledger>,
    pub version: u64,
    /// Time of the last change of the configuration, and the end of the store's last disturbance.
    pub changed: Instant,
}

/// Configuration with the routes `/safe/` and `/once/` of two services and one route for each version so far.
fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","prefix":"/{name}/","route_type":"{kind}","timeout_ms":1500,"aim_ms":500,"priority":1,"service":"{service}","retry_attempts":2}}"#
        )
    };
    let mut routes = Vec::new();
    for s in ["a", "b"] {
        routes.push(route(&format!("safe-{s}"), "safe", s));
        routes.push(route(&format!("once-{s}"), "unsafe", s));
    }
    routes.extend((1..=version).map(|v| route(&format!("v{v}"), "safe", "a")));
    let service = |s: &str| {
        format!(
            r#"{{"name":"{s}","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":{version},"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"virtual_hosts":[{{"host":"{HOST}","paths":[{}]}}]}}"#,
        service("a"),
        service("b"),
        routes.join(",")
    )
}

impl Site {
    /// A site whose nodes are all ready.
    pub fn start(rt: &Runtime, nodes: usize) -> Self {
        let mut site = Self {
            dir: Workdir::new(),
            kv: KvServer::start(),
            nodes: Vec::new(),
            ledger: Arc::default(),
            version: 0,
            changed: Instant::now(),
        };
        site.commit();
        for i in 0..nodes {
            let target = rt.block_on(Target::start(i, site.ledger.clone()));
            let node = Node {
                service: if i % 2 == 0 { "a" } else { "b" }.into(),
                state: State::Down,
                process: Arc::default(),
                ports: Arc::default(),
                relay: rt.block_on(Proxy::start()),
                store: rt.block_on(Proxy::start()),
                to_target: rt.block_on(Proxy::start()),
                log: Vec::new(),
                target,
            };
            node.store.forward(site.kv.address);
            node.to_target.forward(node.target.address);
            site.nodes.push(node);
            site.boot(i);
        }
        site
    }

    /// Writes the next version.
    pub fn commit(&mut self) {
        self.version += 1;
        self.kv.put_config(&config(self.version));
        self.changed = Instant::now();
    }

    /// Starts the process of a node.
    pub fn boot(&mut self, i: usize) {
        let n = &mut self.nodes[i];
        let any = "\"127.0.0.1:0\"";
        let text = format!(
            "[node]\nid = \"n{i}\"\naz = \"z{}\"\nthreads = 1\n\
             [listen]\ncaller = {any}\nrelay = {any}\nadmin = {any}\n\
             [store]\naddress = \"{}\"\ntimeout_ms = 700\n\
             [sidecar]\ntarget = \"{}\"\nservice = \"{}\"\ncontrol = {any}\nready = {any}\nadvertise = \"{}\"\n\
             heartbeat_ms = {}\nbudget_least = 1000.0\n",
            i % 2,
            n.store.address,
            n.to_target.address,
            n.service,
            n.relay.address,
            HEARTBEAT.as_millis()
        );
        let name = format!("n{i}.toml");
        self.dir.write(&name, &text);
        let process = self.dir.start(&["sidecar", &name]);
        let line = process.wait_line("event=started");
        let field = |key: &str| -> SocketAddr {
            let rest = line.split(&format!("{key}=")).nth(1).unwrap();
            rest.split_whitespace().next().unwrap().parse().unwrap()
        };
        n.relay.forward(field("relay"));
        n.process.fetch_add(1, Ordering::SeqCst);
        *n.ports.lock().unwrap() = Some(Ports {
            caller: field("caller"),
            control: field("control"),
            ready: field("ready"),
        });
        n.state = State::Up(process);
    }

    /// Address for callers of a node while its process runs, and which process that is.
    pub fn caller(&self, i: usize) -> impl Fn() -> Option<(SocketAddr, usize)> + Send + 'static {
        let (ports, process) = (self.nodes[i].ports.clone(), self.nodes[i].process.clone());
        move || {
            let ports = *ports.lock().unwrap();
            ports.map(|p| (p.caller, process.load(Ordering::SeqCst)))
        }
    }

    pub fn is_ready(&self, i: usize) -> bool {
        let ports = *self.nodes[i].ports.lock().unwrap();
        let Some(p) = ports else { return false };
        let up = matches!(self.nodes[i].state, State::Up(_));
        up && http(p.ready, "GET", "/api/ready", &[], "").is_some_and(|a| a.status == 200)
    }

    /// Carries out an event; `after` is how long it lasts.
    pub fn act(&mut self, event: &Event, after: Duration) {
        let now = Instant::now();
        if let Some(i) = event.node() {
            self.ledger.trouble(i, now, now + after + SETTLE);
        }
        match event {
            Event::Signal(i, name) => {
                if let State::Up(p) | State::Ending(p, _) = &self.nodes[*i].state {
                    p.signal(name);
                }
            }
            Event::Kill(i) => {
                let n = &mut self.nodes[*i];
                *n.ports.lock().unwrap() = None;
                if let State::Up(mut p) | State::Ending(mut p, _) =
                    std::mem::replace(&mut n.state, State::Down)
                {
                    n.log.extend(p.lines());
                    p.kill();
                    n.log.extend(p.lines());
                }
            }
            Event::Boot(i) => {
                if matches!(self.nodes[*i].state, State::Down) {
                    self.boot(*i);
                }
            }
            Event::Term(i) => {
                let n = &mut self.nodes[*i];
                if let State::Up(p) = std::mem::replace(&mut n.state, State::Down) {
                    p.signal("TERM");
                    n.state = State::Ending(p, now);
                }
            }
            Event::Net(i, link, mode) => {
                let n = &self.nodes[*i];
                match link {
                    Link::Relay => n.relay.set(*mode),
                    Link::Store => n.store.set(*mode),
                    Link::Target => n.to_target.set(*mode),
                }
            }
            Event::Store(faults) => {
                self.kv.set(faults.clone());
                self.changed = now;
            }
            Event::Lapse => self.kv.store.expire_leases(),
            Event::Commit(count) => (0..*count).for_each(|_| self.commit()),
            Event::Drain(i) => self.nodes[*i].target.life.lock().unwrap().draining = true,
            Event::Replace(i) => self.nodes[*i].target.replace(),
        }
    }

    /// Sends the heartbeats of all targets, and looks after processes that end.
    pub fn tick(&mut self) {
        let now = Instant::now();
        for i in 0..self.nodes.len() {
            let n = &mut self.nodes[i];
            match &mut n.state {
                State::Up(p) => {
                    if let Some(code) = p.ended() {
                        n.log.extend(p.lines());
                        self.ledger
                            .violation(format!("n{i} ended by itself: {code}"));
                        n.state = State::Down;
                    }
                }
                State::Ending(p, since) => {
                    let late = now > *since + GRACE + SETTLE;
                    let paused =
                        self.ledger
                            .was_troubled(i, *since + Duration::from_millis(1), now)
                            && late;
                    match p.ended() {
                        Some(code) => {
                            n.log.extend(p.lines());
                            if code != 0 {
                                self.ledger.violation(format!("n{i} ended with {code}"));
                            }
                            *n.ports.lock().unwrap() = None;
                            n.state = State::Down;
                            self.boot(i);
                        }
                        None if late && !paused => {
                            self.ledger
                                .violation(format!("n{i} did not end after SIGTERM"));
                            p.kill();
                        }
                        None => {}
                    }
                }
                State::Down => {}
            }
            self.heartbeat(i);
        }
    }

    fn heartbeat(&self, i: usize) {
        let n = &self.nodes[i];
        let Some(ports) = *n.ports.lock().unwrap() else {
            return;
        };
        let (id, body, draining) = n.target.heartbeat(&n.service, n.to_target.address);
        let ledger = self.ledger.clone();
        // A paused node must not keep the other targets from their heartbeats.
        std::thread::spawn(move || {
            let path = format!("/api/instances/{id}");
            let a = http_json(ports.control, "PUT", &path, &body);
            if draining && a.is_some_and(|a| a.status == 200) {
                let at = Instant::now();
                ledger.left(Left {
                    node: i,
                    lifetime: id,
                    at,
                });
            }
        });
    }

    /// Ends all disturbance and has every process running.
    pub fn calm(&mut self) {
        self.kv.set(Faults::default());
        for i in 0..self.nodes.len() {
            let n = &self.nodes[i];
            for p in [&n.relay, &n.store, &n.to_target] {
                p.set(Mode::Pass);
            }
            if let State::Up(p) | State::Ending(p, _) = &n.state {
                p.signal("CONT");
            }
            if n.target.life.lock().unwrap().draining {
                n.target.replace();
            }
            self.act(&Event::Boot(i), Duration::ZERO);
        }
    }

    /// Output of all processes, by node.
    pub fn logs(&mut self) -> Vec<Vec<String>> {
        let take = |n: &mut Node| {
            if let State::Up(p) | State::Ending(p, _) = &n.state {
                n.log.extend(p.lines());
            }
            std::mem::take(&mut n.log)
        };
        self.nodes.iter_mut().map(take).collect()
    }
}
