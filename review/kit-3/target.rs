//! Stand-in for an application target, as PROTOCOL.md describes it.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{read_request, write_response, Connection, Request};
use crate::json::quote;
use crate::record::Record;

/// What a target is told to do; tests change it while it runs.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// `ready` or `draining` in check-ins.
    pub reported: &'static str,
    /// Header lines in all responses, each with its end.
    pub headers: String,
    /// Time for which a request runs.
    pub work: Duration,
    /// Whether the health probe answers 200.
    pub healthy: bool,
    /// Whether check-ins are sent.
    pub beats: bool,
}

/// A request that a target began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub path: String,
    pub target: String,
    pub service: String,
    pub caller: String,
    pub tenant: String,
    pub body: usize,
}

/// A running target.
pub struct Target {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub version: String,
    pub born: u64,
    slots: usize,
    queue: usize,
    seq: AtomicU64,
    pub behaviour: Mutex<Behaviour>,
    busy: Mutex<(usize, usize)>,
    freed: Condvar,
    pub runs: Mutex<Vec<Run>>,
    pub ended: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

/// What distinguishes a target.
pub struct Identity<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub version: &'a str,
    pub slots: usize,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Target {
    /// Starts a target at an address and its check-ins at the address of its node.
    pub fn start(who: &Identity<'_>, address: SocketAddr, control: SocketAddr, beat: Duration, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind(address).unwrap();
        let t = Arc::new(Self {
            id: who.id.into(),
            service: who.service.into(),
            zone: who.zone.into(),
            version: who.version.into(),
            address,
            born: unix_ms(),
            slots: who.slots,
            queue: 4 * who.slots,
            seq: AtomicU64::new(0),
            behaviour: Mutex::new(Behaviour {
                reported: "ready",
                headers: String::new(),
                work: Duration::from_millis(20),
                healthy: true,
                beats: true,
            }),
            busy: Mutex::default(),
            freed: Condvar::new(),
            runs: Mutex::default(),
            ended: AtomicBool::new(false),
            open: Mutex::default(),
            record: record.clone(),
        });
        let s = t.clone();
        std::thread::spawn(move || s.accept(&listener));
        let s = t.clone();
        std::thread::spawn(move || {
            while !s.ended.load(Ordering::SeqCst) {
                if s.behaviour.lock().unwrap().beats {
                    let _ = s.check_in(control);
                }
                let end = Instant::now() + beat;
                while Instant::now() < end && !s.ended.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(10));
                }
            }
        });
        t
    }

    /// Sends one check-in. Returns whether it was acknowledged.
    pub fn check_in(&self, control: SocketAddr) -> bool {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let state = self.behaviour.lock().unwrap().reported;
        let body = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":{},\"slots\":{},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"seq\":{seq},\"born\":{}}}",
            quote(&self.service),
            self.address,
            quote(&self.zone),
            quote(&self.version),
            self.slots,
            self.born
        );
        self.call_control(control, "PUT", &body)
    }

    /// Announces that the target goes.
    pub fn sign_off(&self, control: SocketAddr) -> bool {
        let body = format!("{{\"born\":{}}}", self.born);
        self.call_control(control, "DELETE", &body)
    }

    fn call_control(&self, control: SocketAddr, method: &str, body: &str) -> bool {
        let timeout = Duration::from_secs(1);
        let headers = format!("Host: {control}\r\nContent-Type: application/json\r\nConnection: close\r\n");
        let answer = Connection::open(control, timeout)
            .and_then(|mut c| c.exchange(method, &format!("/api/instances/{}", self.id), &headers, body.as_bytes()));
        matches!(answer, Ok((200..=299, _)))
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        listener.set_nonblocking(true).unwrap();
        while !self.ended.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.open.lock().unwrap().push(copy);
                    }
                    let s = self.clone();
                    std::thread::spawn(move || s.serve(stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Ends the target at once.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for s in self.open.lock().unwrap().drain(..) {
            let _ = s.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = read_request(&mut reader) {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let (status, headers, body) = self.respond(&req);
            if self.ended.load(Ordering::SeqCst) || write_response(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Takes a slot; false if the queue is full.
    fn take_slot(&self) -> bool {
        let mut busy = self.busy.lock().unwrap();
        if busy.0 < self.slots {
            busy.0 += 1;
            return true;
        }
        if busy.1 >= self.queue {
            return false;
        }
        busy.1 += 1;
        while busy.0 >= self.slots {
            busy = self.freed.wait(busy).unwrap();
        }
        busy.1 -= 1;
        busy.0 += 1;
        true
    }

    fn free_slot(&self) {
        self.busy.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }

    fn respond(&self, req: &Request) -> (u16, String, String) {
        let b = self.behaviour.lock().unwrap().clone();
        if req.path() == "/health" {
            let status = if b.healthy && b.reported == "ready" { 200 } else { 503 };
            return (status, format!("Dragonflyquay-Instance-Id: {}\r\n{}", self.id, b.headers), String::new());
        }
        let header = |name: &str| req.message.header(name).unwrap_or_default().to_owned();
        let id = header("dragonflyquay-request-id");
        let echo = format!("Dragonflyquay-Request-Id: {id}\r\n{}", b.headers);
        let not_run = |status: u16, why: &str| {
            self.record.line(&format!("target {} rejects {id} ({why})", self.id));
            (status, format!("{echo}Dragonflyquay-Not-Executed: 1\r\n"), String::new())
        };
        if id.is_empty() {
            return not_run(400, "no id");
        }
        let expected = header("dragonflyquay-expected-instance");
        if !expected.is_empty() && expected != self.id {
            let headers = format!("{echo}Dragonflyquay-Instance-Id: {}\r\n", self.id);
            return (421, headers, String::new());
        }
        if !self.take_slot() {
            return not_run(503, "full");
        }
        let run = Run {
            at: Instant::now(),
            id: id.clone(),
            path: req.target.clone(),
            target: self.id.clone(),
            service: self.service.clone(),
            caller: header("dragonflyquay-caller-service"),
            tenant: header("dragonflyquay-tenant"),
            body: req.message.body.len(),
        };
        self.record.line(&format!("target {} ({}) runs {id} {} {}", self.id, self.service, req.method, req.target));
        self.runs.lock().unwrap().push(run);
        std::thread::sleep(b.work);
        self.free_slot();
        let now = self.behaviour.lock().unwrap().headers.clone();
        let headers = format!(
            "Dragonflyquay-Request-Id: {id}\r\n{now}Dragonflyquay-Response-Signature: sig-{}-{id}\r\n",
            self.id
        );
        let mut text = format!("{} ran {id}", self.id);
        // A consumer may name the size of the answer.
        if let Some(bytes) = req.query("bytes").and_then(|b| b.parse::<usize>().ok()) {
            text.extend(std::iter::repeat_n('.', bytes.saturating_sub(text.len())));
        }
        (200, headers, text)
    }
}
