//! A crowd of clients at one machine, beside ordinary consumers whose requests run once at most. The kit takes the part of
//! the platform: it ends a process that exceeds the memory of its machine.

use std::collections::{BTreeMap, HashSet};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;
use crate::site::{new_id, request_headers, Figures, Node, Site};
use crate::target::Identity;
use crate::Verdict;

pub const HOST: &str = "clock.example";
const SERVICES: [&str; 2] = ["catalogo", "liquidacao"];
/// `memory_mb` of the machines of sites/lft-relogio.toml.
const MEMORY_MB: u64 = 110;
/// `max_body_bytes` of the configuration of that site.
pub const MAX_BODY_BYTES: usize = 67_108_864;
/// The machine at which all clients send.
const MACHINE: usize = 1;
/// Ordinary consumers there.
const CONSUMERS: usize = 24;
/// Time that the targets of the services work on a request: the longest for `standing-order`, and for `clock-stop` at the
/// slower targets of the site.
const WORK: [Duration; 2] = [Duration::from_millis(880), Duration::from_millis(670)];
/// Time for which the consumers are alone, and time for which the crowd is there, if it does not end the process sooner.
const CALM: Duration = Duration::from_secs(3);
const PRESS: Duration = Duration::from_secs(12);
/// Threads that open the connections of the crowd.
const CROWD_THREADS: usize = 4;
/// Time within which the consumers notice the end of their connections.
const NOTICE: Duration = Duration::from_millis(700);
/// Requests that the rule allows to be lost.
const ALLOWED: usize = 3;

fn config() -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!("{{\"name\":\"{name}\",\"prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\"timeout_ms\":20000,\"aim_ms\":800,\"priority\":1,\"service\":\"{service}\",\"retry_attempts\":2}}")
    };
    let services = SERVICES.map(|s| format!("{{\"name\":\"{s}\",\"health_path\":\"/health\",\"max_connections\":130,\"protocol\":\"h1\",\"tls\":false}}"));
    format!(
        "{{\"version\":1,\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":{MAX_BODY_BYTES},\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"virtual_hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{},{},{}]}}]}}",
        services.join(","),
        route("standing-order", "unsafe", SERVICES[0]),
        route("clock-stop", "unsafe", SERVICES[1]),
        route("lot-view", "safe", SERVICES[0])
    )
}

/// A connection as over a network: segments of 1,460 bytes and a small window.
fn connect_small(address: SocketAddr) -> std::io::Result<TcpStream> {
    extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
        fn connect(fd: i32, address: *const u8, len: u32) -> i32;
    }
    const AF_INET: i32 = 2;
    const SOCK_STREAM_CLOEXEC: i32 = 0o2_000_001;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(v4) = address else {
        return Err(ErrorKind::InvalidInput.into());
    };
    // sockaddr_in: family, port, address and padding.
    let mut raw = [0_u8; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
    raw[4..8].copy_from_slice(&v4.ip().octets());
    // SAFETY: the descriptor is new and owned by the stream; the pointers are to values that live on.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &4096, 4);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &536, 4);
        match connect(fd, raw.as_ptr(), 16) {
            0 => Ok(stream),
            _ => Err(std::io::Error::last_os_error()),
        }
    }
}

/// The site lft-relogio: twelve machines, four of them with the second service.
fn start_site(record: &Arc<Record>) -> Site {
    let figures = Figures { memory_mb: MEMORY_MB, ..Figures::default() };
    let mut site = Site::new(record.clone(), figures);
    site.put_config(1, &config());
    let zones = ["lisboa-a", "lisboa-b", "lisboa-c", "lisboa-d"];
    for i in 0..12 {
        let (id, name) = (format!("i-{i}"), format!("sidecar-{i}"));
        let service = usize::from(i % 3 == 1);
        let who = Identity { id: &id, service: SERVICES[service], zone: zones[i % 4], version: "v1", slots: 12 };
        site.add(&who, &name);
        site.nodes[i].target.behaviour.lock().unwrap().work = WORK[service];
    }
    site
}

/// A client that sends some bytes, and then stays without reading.
struct Client {
    stream: TcpStream,
    bytes: Vec<u8>,
    sent: usize,
}

impl Client {
    /// Sends what the connection takes. Returns whether the connection is open.
    fn go_on(&mut self) -> bool {
        while self.sent < self.bytes.len() {
            match self.stream.write(&self.bytes[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        true
    }
}

/// Opens the connections of the crowd one after the other, and goes on to send on all of them until `stop`. Returns how
/// many were opened.
fn press(address: SocketAddr, clients: usize, bytes: &Bytes<'_>, stop: &AtomicBool) -> usize {
    let mut open: Vec<Client> = Vec::new();
    let mut opened = 0;
    while !stop.load(Ordering::SeqCst) {
        for _ in 0..100 {
            if opened < clients {
                let Ok(stream) = connect_small(address) else { continue };
                let _ = stream.set_nonblocking(true);
                open.push(Client { stream, bytes: bytes(), sent: 0 });
                opened += 1;
            }
        }
        open.retain_mut(Client::go_on);
        if opened >= clients {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    opened
}

/// What ordinary consumers got.
#[derive(Default)]
struct Consumers {
    stop: AtomicBool,
    /// Answers by status.
    answers: Mutex<BTreeMap<u16, u32>>,
    /// Ids of requests that ended without an answer on a connection that had been kept.
    cut: Mutex<Vec<String>>,
}

impl Consumers {
    /// Sends a request on a kept connection, then the next one, until the stop.
    fn consume(&self, n: &Node, record: &Record) {
        let mut kept: Option<Connection> = None;
        while !self.stop.load(Ordering::SeqCst) {
            let reused = kept.is_some();
            let connection = kept.take().map_or_else(|| Connection::open(n.outbound, Duration::from_secs(6)), Ok);
            let Ok(mut c) = connection else {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            };
            c.set_timeout(Duration::from_secs(6));
            let id = new_id();
            let head = request_headers(&id, HOST, "", 5000);
            record.line(&format!("consumer sends {id} PUT /clock-stop/x to {}", n.name));
            match c.exchange("PUT", "/clock-stop/x", &head, b"stop") {
                Ok((status, _)) => {
                    record.line(&format!("consumer gets {status} for {id}"));
                    *self.answers.lock().unwrap().entry(status).or_default() += 1;
                    kept = Some(c);
                }
                Err(e) => {
                    record.line(&format!("consumer gets no answer for {id}: {e}"));
                    if reused && e.kind() != ErrorKind::WouldBlock {
                        self.cut.lock().unwrap().push(id);
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
            }
        }
    }

    /// Requests that ended without an answer, and how many of them a target had begun to run.
    fn lost(&self, site: &Site) -> (usize, usize) {
        let ran = |n: &Node| n.target.runs.lock().unwrap().iter().map(|r| r.id.clone()).collect::<Vec<_>>();
        let ran: HashSet<String> = site.nodes.iter().flat_map(ran).collect();
        let cut = self.cut.lock().unwrap();
        (cut.len(), cut.iter().filter(|id| ran.contains(*id)).count())
    }
}

/// Makes the bytes that a client sends, with ids of their own.
pub type Bytes<'a> = dyn Fn() -> Vec<u8> + Sync + 'a;

/// Descriptors that a process may have open at least.
const DESCRIPTORS: u64 = 4096;

/// Number of descriptors that this process and those that it starts may have open.
fn descriptors() -> u64 {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|l| l.strip_prefix("Max open files"));
    let soft = line.and_then(|l| l.split_whitespace().next());
    soft.and_then(|n| n.parse().ok()).unwrap_or(u64::MAX)
}

/// Plays a crowd.
pub fn play(record: &Arc<Record>, clients: usize, bytes: &Bytes<'_>) -> Verdict {
    if descriptors() < DESCRIPTORS {
        return Verdict::Failed(format!("a process needs {DESCRIPTORS} descriptors"));
    }
    let site = start_site(record);
    let verdict = match site.wait_ready(Duration::from_secs(15)) {
        true => judge(&site, record, clients, bytes),
        false => Verdict::Failed("the nodes are not ready".into()),
    };
    site.end();
    verdict
}

fn judge(site: &Site, record: &Record, clients: usize, bytes: &Bytes<'_>) -> Verdict {
    let n = &site.nodes[MACHINE];
    std::thread::sleep(Duration::from_secs(4));
    let consumers = Consumers::default();
    let most = std::thread::scope(|scope| {
        for _ in 0..CONSUMERS {
            scope.spawn(|| consumers.consume(n, record));
            // Their requests are spread over the time that one takes.
            std::thread::sleep(WORK[1] / CONSUMERS as u32);
        }
        std::thread::sleep(CALM);
        let most = press_until_killed(n, record, clients, bytes);
        std::thread::sleep(NOTICE);
        consumers.stop.store(true, Ordering::SeqCst);
        most
    });
    let (cut, lost) = consumers.lost(site);
    record.say(&format!("most memory: {} MB; answers to ordinary consumers by status: {:?}", most >> 10, consumers.answers.lock().unwrap()));
    record.say(&format!(
        "requests of ordinary consumers on kept connections that ended without an answer: {cut}, of which a target had begun to run {lost}"
    ));
    match lost > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Lets the crowd come, and kills the process if it exceeds its memory. Returns the most memory of its own that the
/// process had, in KB.
fn press_until_killed(n: &Node, record: &Record, clients: usize, bytes: &Bytes<'_>) -> u64 {
    record.say(&format!("{clients} clients come, each with {} bytes", bytes().len()));
    let stop = AtomicBool::new(false);
    let mut most = 0;
    std::thread::scope(|scope| {
        let crowd: Vec<_> = (0..CROWD_THREADS).map(|_| scope.spawn(|| press(n.outbound, clients / CROWD_THREADS, bytes, &stop))).collect();
        let end = Instant::now() + PRESS;
        while Instant::now() < end && most <= MEMORY_MB << 10 && !n.has_ended() {
            std::thread::sleep(Duration::from_millis(2));
            most = most.max(n.own_memory_kb());
        }
        if most > MEMORY_MB << 10 {
            record.say(&format!("{} uses {} MB of {MEMORY_MB} MB: the platform kills it", n.name, most >> 10));
            n.kill();
        } else if n.has_ended() {
            record.say(&format!("{} has ended", n.name));
            n.kill();
        }
        stop.store(true, Ordering::SeqCst);
        let opened: usize = crowd.into_iter().map(|c| c.join().unwrap_or(0)).sum();
        record.say(&format!("connections opened: {opened}"));
    });
    most
}
