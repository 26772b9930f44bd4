//! A site of real processes with proxies on all of their connections, for the soak test.
#![allow(dead_code, unreachable_pub)]

pub mod client;
pub mod history;
pub mod plan;
pub mod proxy;
pub mod rollout;
pub mod target;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::site_kit::store::{Faults, KvServer};
use super::workdir::{http, http_json, ChildProcess, Workdir};
use dragonflyquay::store::mem::SavedState;
use history::{History, Leave, STORE};
use plan::{Connection, Event};
use proxy::{Mode, Proxy};
use rollout::{Rollout, NEW_VERSION, OLD_VERSION};
use target::{Target, Version};
use tokio::runtime::Runtime;

/// Host of all routes.
pub const HOST: &str = "h.example";
/// Requests per second and burst of the tenant with a quota.
pub const QUOTA: f64 = 6.0;
/// Most requests of that tenant that may run in a window, over all nodes, and the length of the window.
pub const QUOTA_BOUND: (f64, Duration) =
    ((QUOTA * 5.0 + QUOTA) * 1.1 + 20.0, Duration::from_secs(5));
/// Time after an acknowledged leave in which requests may still begin at the target.
pub const DRAIN_TIME: Duration = Duration::from_millis(2000);
/// Time after SIGTERM in which a process has to exit.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time after the end of a fault for which a node still counts as disturbed.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// State of the process of a node.
enum State {
    Up(ChildProcess),
    /// Received SIGTERM at this time.
    Stopping(ChildProcess, Instant),
    Down,
}

/// A node, its target and the proxies on its connections.
pub struct Node {
    pub service: String,
    pub target: Target,
    state: State,
    /// Number of processes of this node that were started; the running process has this number.
    pub starts: Arc<AtomicUsize>,
    /// Addresses of the running process.
    addresses: Arc<Mutex<Option<Addresses>>>,
    /// Proxy on links from other nodes.
    relay: Proxy,
    /// Proxy on connections to the store.
    store: Proxy,
    /// Proxy on connections to the target.
    to_target: Proxy,
    /// Output of the processes that have exited.
    log: Vec<String>,
}

#[derive(Debug, Clone, Copy)]
struct Addresses {
    caller: SocketAddr,
    /// Receives heartbeats of the target.
    control: SocketAddr,
    /// Serves the readiness check.
    ready: SocketAddr,
}

/// The store, the nodes and the recorded history.
pub struct Site {
    dir: Workdir,
    pub kv: KvServer,
    pub nodes: Vec<Node>,
    pub history: Arc<History>,
    pub version: u64,
    pub rollout: Rollout,
    /// Copy from which the store comes back in the next drill.
    copy: Option<SavedState>,
    /// Time of the last change of the configuration or of the store's faults.
    pub changed: Instant,
}

/// Configuration with a safe, an at-most-once and an upload route for each of two services, one route for each version so
/// far, and two tenants, of which one has a quota.
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
        routes.push(route(&format!("upload-{s}"), "upload", s));
    }
    routes.extend((1..=version).map(|v| route(&format!("v{v}"), "safe", "a")));
    let tenant = |c: &client::Credentials, rate: f64| {
        format!(
            r#"{{"name":"{}","api_keys":["{}"],"priority":1,"rate_per_s":{rate},"burst":{rate}}}"#,
            c.tenant, c.key
        )
    };
    let service = |s: &str| {
        format!(
            r#"{{"name":"{s}","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":{version},"tenants":[{},{}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"virtual_hosts":[{{"host":"{HOST}","paths":[{}]}}]}}"#,
        tenant(&client::UNLIMITED, 0.0),
        tenant(&client::LIMITED, QUOTA),
        service("a"),
        service("b"),
        routes.join(",")
    )
}

impl Site {
    /// Starts a site and waits until the processes of all nodes have started. The last of them has the target of the new
    /// version, which reports itself once the rollout is ordered, and no callers.
    pub fn start(rt: &Runtime, nodes: usize, seed: u64) -> Self {
        let mut site = Self {
            dir: Workdir::new(),
            kv: KvServer::start(),
            nodes: Vec::new(),
            history: Arc::default(),
            version: 0,
            rollout: Rollout::new(seed),
            copy: None,
            changed: Instant::now(),
        };
        site.commit();
        for i in 0..=nodes {
            let version = match i == nodes {
                true => Version {
                    name: NEW_VERSION,
                    bad_percent: site.rollout.bad_percent,
                },
                false => Version {
                    name: OLD_VERSION,
                    bad_percent: 0,
                },
            };
            let target = rt.block_on(Target::start(i, version, site.history.clone()));
            let node = Node {
                service: match i % 2 == 0 || i == nodes {
                    true => rollout::SERVICE.into(),
                    false => "b".into(),
                },
                state: State::Down,
                starts: Arc::default(),
                addresses: Arc::default(),
                relay: rt.block_on(Proxy::start()),
                store: rt.block_on(Proxy::start()),
                to_target: rt.block_on(Proxy::start()),
                log: Vec::new(),
                target,
            };
            node.store.forward(site.kv.address);
            node.to_target.forward(node.target.address);
            site.nodes.push(node);
            site.start_node(i);
        }
        site
    }

    /// Writes the next version of the configuration to the store.
    pub fn commit(&mut self) {
        self.version += 1;
        self.kv.put_config(&config(self.version));
        self.changed = Instant::now();
    }

    /// Starts the process of a node.
    pub fn start_node(&mut self, i: usize) {
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
            HEARTBEAT_INTERVAL.as_millis()
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
        n.starts.fetch_add(1, Ordering::SeqCst);
        *n.addresses.lock().unwrap() = Some(Addresses {
            caller: field("caller"),
            control: field("control"),
            ready: field("ready"),
        });
        n.state = State::Up(process);
    }

    /// Returns a function that gives the address of a node for callers and the number of its process, while the process
    /// runs.
    pub fn lookup(&self, i: usize) -> impl Fn() -> Option<(SocketAddr, usize)> + Send + 'static {
        let (addresses, starts) = (
            self.nodes[i].addresses.clone(),
            self.nodes[i].starts.clone(),
        );
        move || {
            let addresses = *addresses.lock().unwrap();
            addresses.map(|a| (a.caller, starts.load(Ordering::SeqCst)))
        }
    }

    pub fn is_ready(&self, i: usize) -> bool {
        let addresses = *self.nodes[i].addresses.lock().unwrap();
        let Some(p) = addresses else { return false };
        let up = matches!(self.nodes[i].state, State::Up(_));
        up && http(p.ready, "GET", "/api/ready", &[], "").is_some_and(|a| a.status == 200)
    }

    /// Applies an event that lasts for `duration`.
    pub fn apply(&mut self, event: &Event, duration: Duration) {
        let now = Instant::now();
        if let Some(i) = event.node() {
            self.history
                .add_disturbance(i, now, now + duration + SETTLE_TIME);
        }
        if matches!(
            event,
            Event::Store(_) | Event::Drill | Event::Proxy(_, Connection::Store, _)
        ) {
            self.history
                .add_disturbance(STORE, now, now + duration + SETTLE_TIME);
        }
        match event {
            Event::Signal(i, name) => {
                if let State::Up(p) | State::Stopping(p, _) = &self.nodes[*i].state {
                    p.signal(name);
                }
            }
            Event::Kill(i) => {
                let n = &mut self.nodes[*i];
                *n.addresses.lock().unwrap() = None;
                if let State::Up(mut p) | State::Stopping(mut p, _) =
                    std::mem::replace(&mut n.state, State::Down)
                {
                    n.log.extend(p.lines());
                    p.kill();
                    n.log.extend(p.lines());
                }
            }
            Event::Start(i) => {
                if matches!(self.nodes[*i].state, State::Down) {
                    self.start_node(*i);
                }
            }
            Event::Terminate(i) => {
                let n = &mut self.nodes[*i];
                if let State::Up(p) = std::mem::replace(&mut n.state, State::Down) {
                    p.signal("TERM");
                    n.state = State::Stopping(p, now);
                }
            }
            Event::Proxy(i, connection, mode) => {
                let n = &self.nodes[*i];
                match connection {
                    Connection::Relay => n.relay.set(*mode),
                    Connection::Store => n.store.set(*mode),
                    Connection::Target => n.to_target.set(*mode),
                }
            }
            Event::Store(faults) => {
                self.kv.set_faults(faults.clone());
                self.changed = now;
            }
            Event::ExpireLeases => self.kv.store.expire_leases(),
            Event::Copy => self.copy = Some(self.kv.store.save()),
            Event::Drill => self.drill(),
            Event::Commit(count) => (0..*count).for_each(|_| self.commit()),
            Event::Drain(i) => self.nodes[*i].target.incarnation.lock().unwrap().draining = true,
            Event::Replace(i) => self.nodes[*i].target.replace(),
            Event::Order => self.rollout.order(&self.kv),
        }
    }

    /// Brings the store back from its copy. The operator writes again what it lacks.
    fn drill(&mut self) {
        let Some(copy) = self.copy.take() else { return };
        let written = self.kv.entries("op/");
        self.kv.drill(copy);
        self.changed = Instant::now();
        for (key, value) in written {
            if self.kv.value(&key).as_ref() != Some(&value) {
                self.kv.put(&key, &value);
            }
        }
    }

    /// Sends the heartbeats of all targets, and checks and restarts processes that have exited.
    pub fn tick(&mut self) {
        let now = Instant::now();
        self.rollout.read_status(&self.kv);
        for i in 0..self.nodes.len() {
            let n = &mut self.nodes[i];
            match &mut n.state {
                State::Up(p) => {
                    if let Some(code) = p.exit_code() {
                        n.log.extend(p.lines());
                        self.history
                            .add_violation(format!("n{i} exited unexpectedly: {code}"));
                        n.state = State::Down;
                    }
                }
                State::Stopping(p, since) => {
                    let late = now > *since + STOP_TIMEOUT + SETTLE_TIME;
                    let disturbed =
                        self.history
                            .was_disturbed(i, *since + Duration::from_millis(1), now)
                            && late;
                    match p.exit_code() {
                        Some(code) => {
                            n.log.extend(p.lines());
                            if code != 0 {
                                self.history
                                    .add_violation(format!("n{i} exited with {code}"));
                            }
                            *n.addresses.lock().unwrap() = None;
                            n.state = State::Down;
                            self.start_node(i);
                        }
                        None if late && !disturbed => {
                            self.history
                                .add_violation(format!("n{i} did not exit after SIGTERM"));
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
        if n.target.version.name == NEW_VERSION && !self.rollout.is_ordered() {
            return;
        }
        let Some(addresses) = *n.addresses.lock().unwrap() else {
            return;
        };
        let (id, body, draining) = n.target.heartbeat(&n.service, n.to_target.address);
        let history = self.history.clone();
        // A paused node must not delay the heartbeats of the other targets.
        std::thread::spawn(move || {
            let path = format!("/api/instances/{id}");
            let response = http_json(addresses.control, "PUT", &path, &body);
            if draining && response.is_some_and(|r| r.status == 200) {
                let at = Instant::now();
                history.add_leave(Leave {
                    node: i,
                    incarnation: id,
                    at,
                });
            }
        });
    }

    /// Ends all faults and starts the processes that do not run.
    pub fn end_faults(&mut self) {
        self.kv.set_faults(Faults::default());
        for i in 0..self.nodes.len() {
            let n = &self.nodes[i];
            for p in [&n.relay, &n.store, &n.to_target] {
                p.set(Mode::Pass);
            }
            if let State::Up(p) | State::Stopping(p, _) = &n.state {
                p.signal("CONT");
            }
            if n.target.incarnation.lock().unwrap().draining {
                n.target.replace();
            }
            self.apply(&Event::Start(i), Duration::ZERO);
        }
    }

    /// Output of all processes, by node.
    pub fn logs(&mut self) -> Vec<Vec<String>> {
        let take = |n: &mut Node| {
            if let State::Up(p) | State::Stopping(p, _) = &n.state {
                n.log.extend(p.lines());
            }
            std::mem::take(&mut n.log)
        };
        self.nodes.iter_mut().map(take).collect()
    }
}
