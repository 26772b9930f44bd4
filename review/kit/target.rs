//! Stand-in for a target: runs requests on its slots and sends heartbeats to the node beside it.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::site::{Record, HEARTBEAT_MS};

/// Requests that wait for a slot, at most.
const QUEUE: usize = 24;
/// Time after which a crashed target is back.
const CRASH_DOWN: Duration = Duration::from_secs(2);

/// A request that reached a target.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at_ms: u64,
    pub target: String,
    pub request: String,
    pub path: String,
    /// Whether the target began to run it.
    pub run: bool,
}

/// A heartbeat that may be delivered later.
pub struct Heartbeat {
    path: String,
    body: String,
}

struct Lifetime {
    id: String,
    born: u64,
    seq: u64,
    up: bool,
    /// Whether it has announced its stop. It then sends no more heartbeats and its health probe fails.
    leaving: bool,
    busy: usize,
    waiting: usize,
    connections: BTreeMap<u64, TcpStream>,
}

pub struct Target {
    pub name: String,
    service: String,
    zone: String,
    slots: usize,
    pub address: SocketAddr,
    pub control: SocketAddr,
    state: Mutex<Lifetime>,
    freed: Condvar,
    /// Whether a request with `poison` in its path crashes the target.
    pub poison_works: AtomicBool,
    pub crashes: Mutex<Vec<u64>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    record: Arc<Record>,
    last_connection: AtomicU64,
}

pub struct Place<'a> {
    pub name: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub address: SocketAddr,
    pub control: SocketAddr,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Time that a path asks for: `/any/w350` takes 350 ms.
fn work(path: &str) -> Duration {
    let part = path.rsplit("/w").next().unwrap_or("");
    Duration::from_millis(part.parse().unwrap_or(20))
}

impl Target {
    pub fn start(
        p: &Place<'_>,
        slots: usize,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let target = Arc::new(Self {
            name: p.name.into(),
            service: p.service.into(),
            zone: p.zone.into(),
            slots,
            address: p.address,
            control: p.control,
            state: Mutex::new(Lifetime {
                id: format!("i-{}-1", p.name),
                born: unix_ms(),
                seq: 0,
                up: false,
                leaving: false,
                busy: 0,
                waiting: 0,
                connections: BTreeMap::new(),
            }),
            freed: Condvar::new(),
            poison_works: AtomicBool::new(false),
            crashes: Mutex::default(),
            arrivals: arrivals.clone(),
            record: record.clone(),
            last_connection: AtomicU64::new(0),
        });
        target.clone().listen();
        let t = target.clone();
        std::thread::spawn(move || loop {
            t.send_heartbeat();
            std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        });
        target
    }

    fn listen(self: Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("bind target");
        self.state.lock().unwrap().up = true;
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !self.state.lock().unwrap().up {
                    return;
                }
                let t = self.clone();
                std::thread::spawn(move || t.serve(stream));
            }
        });
    }

    fn send_heartbeat(&self) {
        if let Some(h) = self.next_heartbeat() {
            self.deliver(&h);
        }
    }

    /// Makes the next heartbeat; `None` if the target sends none now.
    pub fn next_heartbeat(&self) -> Option<Heartbeat> {
        let mut s = self.state.lock().unwrap();
        if !s.up || s.leaving {
            return None;
        }
        s.seq += 1;
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","cold_remaining_ms":0,"seq":{},"born":{}}}"#,
            self.service, self.address, self.zone, self.slots, s.seq, s.born
        );
        Some(Heartbeat {
            path: format!("/api/instances/{}", s.id),
            body,
        })
    }

    /// Delivers a heartbeat. Returns the status of the response.
    pub fn deliver(&self, h: &Heartbeat) -> Option<u16> {
        let json = "content-type: application/json\r\n";
        let answer = http::call(
            self.control,
            "PUT",
            &h.path,
            json,
            &h.body,
            Duration::from_secs(1),
        );
        answer.ok().map(|m| m.status())
    }

    /// Announces the stop. Returns whether it was acknowledged. The target goes on serving.
    pub fn leave(&self) -> bool {
        let mut s = self.state.lock().unwrap();
        s.leaving = true;
        let (path, body) = (
            format!("/api/instances/{}", s.id),
            format!(r#"{{"born":{}}}"#, s.born),
        );
        drop(s);
        let json = "content-type: application/json\r\n";
        let answer = http::call(
            self.control,
            "DELETE",
            &path,
            json,
            &body,
            Duration::from_secs(1),
        );
        answer.is_ok_and(|m| m.status() == 200)
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(mut out), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        let n = self.last_connection.fetch_add(1, Ordering::SeqCst);
        self.state.lock().unwrap().connections.insert(n, kept);
        let mut input = BufReader::new(stream);
        while let Ok(m) = http::read_message(&mut input) {
            let Some(text) = self.respond(&m) else { break };
            if out.write_all(text.as_bytes()).is_err() {
                break;
            }
        }
        self.state.lock().unwrap().connections.remove(&n);
    }

    /// Returns the response; `None` if the target has crashed.
    fn respond(self: &Arc<Self>, m: &Message) -> Option<String> {
        let id = self.state.lock().unwrap().id.clone();
        let own = format!("dragonflyquay-instance-id: {id}\r\n");
        if m.target() == "/health" {
            let status = if self.state.lock().unwrap().leaving {
                503
            } else {
                200
            };
            return Some(http::response(status, &own, "{}"));
        }
        let request = m.header("dragonflyquay-request-id").to_owned();
        let echo = format!("dragonflyquay-request-id: {request}\r\n{own}");
        let not_run = format!("{echo}dragonflyquay-not-executed: 1\r\n");
        if request.is_empty() {
            return Some(http::response(400, &not_run, ""));
        }
        let expected = m.header("dragonflyquay-expected-instance");
        if !expected.is_empty() && expected != id {
            return Some(http::response(421, &not_run, ""));
        }
        if !self.take_slot() {
            self.note(&request, m.target(), false);
            return Some(http::response(503, &not_run, ""));
        }
        self.note(&request, m.target(), true);
        let crashes = m.target().contains("poison") && self.poison_works.load(Ordering::SeqCst);
        std::thread::sleep(work(m.target()));
        self.free_slot();
        if crashes {
            self.crash(&id);
            return None;
        }
        let signed = format!("{echo}dragonflyquay-response-signature: s.{request}\r\n");
        Some(http::response(
            200,
            &signed,
            &format!("done by {} {request}", self.service),
        ))
    }

    fn note(&self, request: &str, path: &str, run: bool) {
        let at_ms = self.record.now();
        let what = if run { "runs" } else { "rejects" };
        self.record
            .line(&format!("target {} {what} {request} {path}", self.name));
        self.arrivals.lock().unwrap().push(Arrival {
            at_ms,
            target: self.name.clone(),
            request: request.into(),
            path: path.into(),
            run,
        });
    }

    fn take_slot(&self) -> bool {
        let mut s = self.state.lock().unwrap();
        if s.busy >= self.slots && s.waiting >= QUEUE {
            return false;
        }
        s.waiting += 1;
        while s.busy >= self.slots {
            s = self.freed.wait(s).unwrap();
        }
        s.waiting -= 1;
        s.busy += 1;
        true
    }

    fn free_slot(&self) {
        let mut s = self.state.lock().unwrap();
        s.busy = s.busy.saturating_sub(1);
        drop(s);
        self.freed.notify_one();
    }

    /// The target's process ends for good.
    pub fn end(&self) {
        let mut s = self.state.lock().unwrap();
        s.up = false;
        for c in std::mem::take(&mut s.connections).into_values() {
            let _ = c.shutdown(Shutdown::Both);
        }
        drop(s);
        let _ = TcpStream::connect(self.address);
        self.record.line(&format!("target {} has ended", self.name));
    }

    /// The target's process ends and is back after some seconds as another lifetime.
    fn crash(self: &Arc<Self>, id: &str) {
        let mut s = self.state.lock().unwrap();
        if !s.up || s.id != id {
            return;
        }
        s.up = false;
        for c in std::mem::take(&mut s.connections).into_values() {
            let _ = c.shutdown(Shutdown::Both);
        }
        drop(s);
        // Wakes the thread that accepts, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        self.crashes.lock().unwrap().push(self.record.now());
        self.record.line(&format!("target {} crashes", self.name));
        let t = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(CRASH_DOWN);
            let mut s = t.state.lock().unwrap();
            s.born = unix_ms();
            s.seq = 0;
            s.id = format!("i-{}-{}", t.name, s.born);
            drop(s);
            t.clone().listen();
            t.record.line(&format!("target {} is back", t.name));
            t.send_heartbeat();
        });
    }
}
