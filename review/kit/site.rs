//! A small deployment: node processes started as the deploy file says, on loopback addresses, and the record of a run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;
use crate::target::{Arrival, Place, Target};

pub const HEARTBEAT_MS: u64 = 1500;
pub const HOST: &str = "ficu95.example";
pub const TERM: i32 = 15;
pub const STOP: i32 = 19;
const KILL: i32 = 9;
/// Command of the deploy file, without its settings file.
const PROGRAM: [&str; 2] = ["target/release/dragonflyquay", "sidecar"];

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
}

/// What was sent, answered and run, with the time in ms since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("record file")),
        })
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {text}", self.now());
    }

    /// Writes a line to the record and to the screen.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:>7} {text}", self.now());
    }
}

/// Process ids of the nodes, so that every way out ends them.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn end_processes() {
    let list = match PROCESSES.lock() {
        Ok(mut list) => std::mem::take(&mut *list),
        Err(e) => std::mem::take(&mut *e.into_inner()),
    };
    for pid in list {
        // SAFETY: plain system call; the process is a child that has not been waited for.
        unsafe { kill(pid as i32, KILL) };
    }
}

pub struct Node {
    pub name: String,
    pub service: String,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub admin: SocketAddr,
    pub target: Arc<Target>,
    pub child: Mutex<Child>,
    file: PathBuf,
}

/// Starts a node process as the deploy file says.
fn start_process(file: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(file.with_extension("log"));
    let log = log.expect("log");
    let mut command = Command::new(PROGRAM[0]);
    command.arg(PROGRAM[1]).arg(file).stdin(Stdio::null());
    command.stdout(log.try_clone().expect("log")).stderr(log);
    // SAFETY: the call is safe between fork and exec; it ends the node if this process dies.
    unsafe {
        command.pre_exec(|| {
            prctl(1, KILL as u64, 0, 0, 0);
            Ok(())
        });
    }
    let child = command.spawn().expect("target/release/dragonflyquay");
    PROCESSES.lock().unwrap().push(child.id());
    child
}

impl Node {
    /// Kills the process and starts it again. Only the main thread may call this: a node ends with its thread.
    pub fn restart(&self, pause: Duration) {
        self.signal(KILL);
        let mut child = self.child.lock().unwrap();
        let _ = child.wait();
        let pid = child.id();
        PROCESSES.lock().unwrap().retain(|p| *p != pid);
        std::thread::sleep(pause);
        *child = start_process(&self.file);
    }

    pub fn signal(&self, signal: i32) {
        let pid = self.child.lock().unwrap().id();
        // SAFETY: plain system call; the process is a child that has not been waited for.
        unsafe { kill(pid as i32, signal) };
    }

    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        let ended = matches!(child.try_wait(), Ok(Some(_)));
        if ended {
            let pid = child.id();
            PROCESSES.lock().unwrap().retain(|p| *p != pid);
        }
        ended
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::call(
            self.ready,
            "GET",
            "/api/ready",
            "",
            "",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|m| m.status() == 200)
    }

    fn links(&self) -> usize {
        let answer = http::call(
            self.admin,
            "GET",
            "/status",
            "host: x\r\n",
            "",
            Duration::from_secs(1),
        );
        let Ok(m) = answer else { return 0 };
        let body = crate::json::Json::parse(&String::from_utf8_lossy(&m.body));
        body.map_or(0, |b| b.get("links").number() as usize)
    }
}

pub struct Site {
    pub store: Arc<Store>,
    pub nodes: Vec<Node>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub record: Arc<Record>,
    dir: PathBuf,
    second_path: Option<&'static str>,
}

/// One machine: zone, number within the zone, service.
pub type Machine = (&'static str, u32, &'static str);

impl Site {
    /// Starts the store with a configuration, and the nodes and targets of these machines.
    pub fn start(record: &Arc<Record>, machines: &[Machine], slots: usize, config: &str) -> Self {
        Self::start_with(record, machines, slots, config, None, false)
    }

    /// Starts a site as [`Site::start`] does; the operator writes the first configuration when the nodes run.
    pub fn start_without_config(
        record: &Arc<Record>,
        machines: &[Machine],
        slots: usize,
        config: &str,
    ) -> Self {
        Self::start_with(record, machines, slots, config, None, true)
    }

    /// Starts a site as [`Site::start`] does; the machines of one zone reach the store by its second path.
    pub fn start_with(
        record: &Arc<Record>,
        machines: &[Machine],
        slots: usize,
        config: &str,
        second_path: Option<&'static str>,
        config_last: bool,
    ) -> Self {
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("temporary folder");
        let store = Store::start();
        let mut site = Self {
            store,
            nodes: Vec::new(),
            arrivals: Arc::default(),
            record: record.clone(),
            dir,
            second_path,
        };
        if !config_last {
            site.store.put("op/config", config);
        }
        for (zone, number, service) in machines {
            site.add(zone, *number, service, slots);
        }
        if config_last {
            std::thread::sleep(Duration::from_millis(2 * HEARTBEAT_MS));
            site.store.put("op/config", config);
        }
        record.line("the first configuration is there");
        site.wait(machines.len() - 1);
        site
    }

    fn add(&mut self, zone: &'static str, number: u32, service: &str, slots: usize) {
        let name = format!("sidecar-{zone}-{number}");
        let port = free_ports(7);
        let store_address = match self.second_path == Some(zone) {
            true => self.store.second_address,
            false => self.store.address,
        };
        let address = |i: usize| format!("127.0.0.1:{}", port[i]);
        let parse = |i: usize| address(i).parse::<SocketAddr>().expect("address");
        let target = Target::start(
            &Place {
                name: &name,
                service,
                zone,
                address: parse(6),
                control: parse(3),
            },
            slots,
            &self.arrivals,
            &self.record,
        );
        let values = [
            ("node", name.clone()),
            ("zone", zone.into()),
            ("region", "region-1".into()),
            ("ip", "127.0.0.1".into()),
            ("port_range.0", port[4].to_string()),
            ("port_range.1", port[5].to_string()),
            ("listen.outbound", address(0)),
            ("listen.inbound", address(1)),
            ("listen.ready", address(2)),
            ("listen.control", address(3)),
            ("platform.address", store_address.to_string()),
            ("app_addr", address(6)),
            ("service", service.into()),
            ("heartbeat_ms", HEARTBEAT_MS.to_string()),
            ("bounds.drain_ms", "2000".into()),
            ("bounds.grace_s", "6".into()),
            ("limits.link_mbps", "1000.0".into()),
            ("bounds.budget_window_s", "10".into()),
            ("bounds.retry_budget_ratio", "0.2".into()),
            ("bounds.budget_min_retries", "56".into()),
        ];
        let template = std::fs::read_to_string("deploy/node.toml").expect("deploy/node.toml");
        let file = self.dir.join(format!("{name}.toml"));
        std::fs::write(&file, fill(&template, &values.into_iter().collect())).expect("settings");
        let child = start_process(&file);
        self.nodes.push(Node {
            name,
            service: service.into(),
            caller: parse(0),
            ready: parse(2),
            admin: parse(4),
            target,
            child: Mutex::new(child),
            file,
        });
    }

    fn wait(&self, links: usize) {
        let end = Instant::now() + Duration::from_secs(20);
        for n in &self.nodes {
            while !n.is_ready() || n.links() < links {
                assert!(Instant::now() < end, "{} is not ready", n.name);
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        // Every target has sent a heartbeat.
        std::thread::sleep(Duration::from_millis(HEARTBEAT_MS + 500));
        self.record
            .say(&format!("{} nodes are ready and linked", self.nodes.len()));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        end_processes();
        for n in &self.nodes {
            let _ = n.child.lock().unwrap().wait();
        }
        match std::env::var("KEEP_LOGS").is_ok() {
            true => println!("logs: {}", self.dir.display()),
            false => drop(std::fs::remove_dir_all(&self.dir)),
        }
    }
}

/// Fills in a settings template as DEPLOY.md describes; only plain values occur.
fn fill(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").expect("closing braces");
        out.push_str(before);
        out.push_str(
            values
                .get(name)
                .unwrap_or_else(|| panic!("no value for {name}")),
        );
        rest = after;
    }
    out + rest
}

/// Finds free ports below those that the system gives to outgoing connections.
fn free_ports(count: usize) -> Vec<u16> {
    static NEXT: Mutex<u16> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    if *next == 0 {
        *next = 12_000 + (std::process::id() % 190) as u16 * 100;
    }
    let mut found = Vec::new();
    while found.len() < count {
        *next = if *next > 31_000 { 12_000 } else { *next + 1 };
        if TcpListener::bind(("127.0.0.1", *next)).is_ok() {
            found.push(*next);
        }
    }
    found
}

/// A route of a configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub attempts: u32,
}

/// A configuration document with these routes, all of one host.
pub fn config(version: u64, services: &[&str], routes: &[Route], header_ms: u64) -> String {
    let service = |s: &&str| {
        format!(
            r#"{{"name":"{s}","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}}"#
        )
    };
    let route = |r: &Route| {
        format!(
            r#"{{"name":"r-{}","prefix":"{}","route_type":"{}","timeout_ms":1000,"aim_ms":800,"priority":1,"service":"{}","retry_attempts":{}}}"#,
            r.prefix.trim_matches('/'),
            r.prefix,
            r.kind,
            r.service,
            r.attempts
        )
    };
    let services: Vec<String> = services.iter().map(service).collect();
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        r#"{{"version":{version},"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":{header_ms},"idle_timeout_ms":15000}},"virtual_hosts":[{{"host":"{HOST}","paths":[{}]}}]}}"#,
        services.join(","),
        routes.join(",")
    )
}

/// Head of a consumer's request.
pub fn head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    let length = if method == "GET" {
        ""
    } else {
        "Content-Length: 0\r\n"
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nDragonflyquay-Request-Id: {id}\r\nDragonflyquay-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
    )
}

/// A new request id.
pub fn fresh_id() -> String {
    static NEXT: Mutex<u64> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    *next += 1;
    format!("{:016x}", 0x9c41_0000_0000_0000u64 + *next)
}
