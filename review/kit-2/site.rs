//! A small site: the stand-in for the store, and nodes that are started with the command of the deploy file.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;

/// Bounds and limits as in the settings of the small deployments.
const SETTINGS: [(&str, &str); 12] = [
    ("region", "ulaanbaatar"),
    ("heartbeat_ms", "1500"),
    ("bounds.drain_ms", "2000"),
    ("bounds.grace_s", "6"),
    ("bounds.budget_window_s", "10"),
    ("bounds.retry_budget_ratio", "0.2"),
    ("bounds.budget_min_retries", "56"),
    ("bounds.config_apply_ms", "2000"),
    ("limits.link_mbps", "1000.0"),
    ("limits.max_fds", "4100"),
    ("limits.cpu_share", "0.2"),
    ("limits.cores", "1"),
];
/// Memory of a machine of `lft-relogio` and of one of `tuul-samples`.
pub const MEMORY_MB: u64 = 110;
pub const LARGER_MEMORY_MB: u64 = 260;
/// Interval of the check-ins of targets.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time after which ready nodes have found one another and probed their targets.
const LINK_TIME: Duration = Duration::from_secs(4);
/// Ports of each machine, which has a loopback address of its own.
const PORTS: [u16; 7] = [8145, 8146, 8147, 8141, 8144, 7380, 7395];
pub const HOST: &str = "desk.example";
pub const SERVICE: &str = "catalogue-desk";
/// Another service, which `/hall/` leads to.
pub const OTHER_SERVICE: &str = "parcel-hall";

/// Configuration with an idempotent route `/safe/`, and the routes `/once/` and `/hall/` whose requests may run once.
pub fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","prefix":"/{name}/","route_type":"{kind}","timeout_ms":1000,"aim_ms":800,"priority":1,"service":"{service}","retry_attempts":2}}"#
        )
    };
    let routes = [
        route("safe", "safe", SERVICE),
        route("once", "unsafe", SERVICE),
        route("hall", "unsafe", OTHER_SERVICE),
    ];
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}}"#
        )
    };
    let services = [service(SERVICE), service(OTHER_SERVICE)];
    let limits = r#"{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}"#;
    format!(
        r#"{{"version":{version},"services":[{}],"limits":{limits},"virtual_hosts":[{{"host":"{HOST}","paths":[{}]}}]}}"#,
        services.join(","),
        routes.join(",")
    )
}

/// A node and the addresses of its machine.
pub struct Node {
    pub name: String,
    pub service: String,
    pub app: SocketAddr,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    command: Vec<String>,
    file: PathBuf,
    pub child: Option<Child>,
}

pub struct Site {
    pub store: Store,
    pub nodes: Vec<Node>,
    /// The first target of each node.
    pub targets: Vec<Arc<Target>>,
    pub record: Arc<Record>,
    dir: PathBuf,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Request id that no other request has.
pub fn fresh_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_0000_0000u64 + NEXT_ID.fetch_add(1, Ordering::SeqCst)
    )
}

/// Loopback addresses for a number of machines whose ports are free.
fn free_machines(count: usize) -> Vec<IpAddr> {
    let process = std::process::id();
    let is_free = |ip: &IpAddr| PORTS.iter().all(|p| TcpListener::bind((*ip, *p)).is_ok());
    let nets = (0..250u32).map(|i| (1 + (process + i) % 250) as u8);
    let machines = |net: u8| -> Vec<IpAddr> {
        (0..count)
            .map(|i| Ipv4Addr::new(127, 77, net, 1 + i as u8).into())
            .collect()
    };
    nets.map(machines).find(|m| m.iter().all(is_free)).unwrap()
}

/// Replaces the placeholders of a template; those without a value by nothing.
fn fill(template: &str, values: &BTreeMap<String, String>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").unwrap();
        out.push_str(before);
        out.push_str(values.get(name).map_or("", |v| v));
        rest = after;
    }
    out + rest
}

fn run_line() -> String {
    let deploy = std::fs::read_to_string("deploy/system.toml").unwrap();
    let line = deploy
        .lines()
        .find_map(|l| l.strip_prefix("run = \""))
        .unwrap();
    line.trim_end_matches('"').to_owned()
}

impl Site {
    /// Starts a store with a configuration, and prepares `count` nodes of one service.
    pub fn new(count: usize, record: &Arc<Record>) -> Self {
        Self::with_services(&vec![SERVICE; count], MEMORY_MB, record)
    }

    /// Starts a store with a configuration, and prepares a node for a target of each of these services, in four zones.
    pub fn with_services(services: &[&str], memory_mb: u64, record: &Arc<Record>) -> Self {
        let dir = PathBuf::from(std::env::var("CASE_DIR").unwrap());
        let mut site = Self {
            store: Store::start(),
            nodes: Vec::new(),
            targets: Vec::new(),
            record: record.clone(),
            dir,
        };
        site.store.put("op/config", config(7).as_bytes());
        let machines = free_machines(services.len()).into_iter().zip(services);
        for (i, (ip, service)) in machines.enumerate() {
            let node = site.prepare(i, ip, service, memory_mb);
            site.nodes.push(node);
        }
        site
    }

    fn prepare(&self, i: usize, ip: IpAddr, service: &str, memory_mb: u64) -> Node {
        let address = |port: usize| SocketAddr::new(ip, PORTS[port]);
        let (app, outbound, ready, control) = (address(0), address(2), address(3), address(4));
        let name = format!("sidecar-{}", i + 1);
        let mut values: BTreeMap<String, String> = SETTINGS
            .iter()
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect();
        let mut set = |k: &str, v: String| values.insert(k.into(), v);
        set("node", name.clone());
        set("zone", format!("z{}", i % 4));
        set("service", service.into());
        set("app_addr", app.to_string());
        set("listen.outbound", outbound.to_string());
        set("listen.inbound", address(1).to_string());
        set("listen.ready", ready.to_string());
        set("listen.control", control.to_string());
        set("port_range.0", PORTS[5].to_string());
        set("port_range.1", PORTS[6].to_string());
        set("ip", ip.to_string());
        set("limits.memory_mb", memory_mb.to_string());
        set("platform.address", self.store.address.to_string());
        let file = self.dir.join(format!("{name}.toml"));
        let template = std::fs::read_to_string("deploy/node.toml").unwrap();
        std::fs::write(&file, fill(&template, &values)).unwrap();
        let line = fill(&run_line(), &values)
            .replace("/etc/dragonflyquay/node.toml", &file.display().to_string());
        let command = line.split(' ').map(str::to_owned).collect();
        Node {
            name,
            service: service.into(),
            app,
            outbound,
            ready,
            control,
            command,
            file,
            child: None,
        }
    }

    /// Starts all nodes, each with a target that takes `work` for a request, and waits until they are ready and linked.
    /// Returns whether they are.
    pub fn start_all(&mut self, work: Duration) -> bool {
        for i in 0..self.nodes.len() {
            let t = Target::start(
                &format!("i-{i}"),
                &self.nodes[i].service,
                self.nodes[i].app,
                work,
                &self.record,
            );
            self.start(i);
            t.keep_checking_in(self.nodes[i].control, HEARTBEAT);
            self.targets.push(t);
        }
        let ready = (0..self.nodes.len()).all(|i| self.wait_ready(i));
        std::thread::sleep(LINK_TIME);
        ready
    }

    /// Starts the process of a node.
    pub fn start(&mut self, i: usize) {
        let n = &mut self.nodes[i];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(n.file.with_extension("log"))
            .unwrap();
        let mut command = Command::new(&n.command[0]);
        command.args(&n.command[1..]).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        let child = command.spawn().unwrap();
        let id = child.id();
        n.child = Some(child);
        let mut ids = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join("processes"))
            .unwrap();
        let _ = writeln!(ids, "{id}");
        self.record.write(&format!("node {} starts", n.name));
    }

    /// Sends a signal to the process of a node.
    pub fn signal(&self, i: usize, signal: &str) {
        let child = self.nodes[i].child.as_ref().unwrap();
        let _ = Command::new("kill")
            .args([&format!("-{signal}"), &child.id().to_string()])
            .status();
        self.record
            .write(&format!("node {} gets {signal}", self.nodes[i].name));
    }

    /// Whether the process of a node has ended.
    pub fn has_ended(&mut self, i: usize) -> bool {
        let child = self.nodes[i].child.as_mut().unwrap();
        matches!(child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the end of a node's process.
    pub fn wait_end(&mut self, i: usize) {
        let _ = self.nodes[i].child.as_mut().unwrap().wait();
        self.record
            .write(&format!("node {} has ended", self.nodes[i].name));
    }

    /// Waits until a node says that it is ready. Returns whether it does.
    pub fn wait_ready(&self, i: usize) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if is_ready(self.nodes[i].ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Memory of a node's process without what it shares with files, in KB.
    pub fn memory_kb(&self, i: usize) -> u64 {
        let id = self.nodes[i].child.as_ref().map_or(0, |c| c.id());
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
        line.and_then(|l| l.split_whitespace().next()?.parse().ok())
            .unwrap_or(0)
    }

    /// Stops all processes.
    pub fn end(&mut self) {
        self.targets.iter().for_each(|t| t.end());
        for n in &mut self.nodes {
            if let Some(child) = &mut n.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Whether a node answers the readiness check with 200.
pub fn is_ready(at: SocketAddr) -> bool {
    let answer = call(
        at,
        "GET /api/ready HTTP/1.1\r\nHost: ready\r\n",
        b"",
        Duration::from_secs(1),
    );
    answer.is_some_and(|a| a.status() == 200)
}

/// Sends a request of a consumer on a new connection, and records it. Returns its id and status, 0 without an answer.
pub fn request(
    record: &Record,
    to: SocketAddr,
    method: &str,
    path: &str,
    limit_ms: u64,
) -> (String, u16) {
    let id = fresh_id();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nDragonflyquay-Request-Id: {id}\r\nDragonflyquay-Deadline-Ms: {limit_ms}\r\n"
    );
    let sent = record.now();
    let answer = call(to, &head, b"", Duration::from_millis(limit_ms));
    let status = answer.map_or(0, |a| a.status());
    record.answered(&id, sent, status);
    (id, status)
}
