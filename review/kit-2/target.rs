//! Stand-in for a target: runs requests on its slots, records them, and sends check-ins when told to.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{call, read_message, response, Message};
use crate::record::Record;

const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Part of a path whose request crashes the target that begins to run it.
pub const CRASHING: &str = "/crash-";

#[derive(Default)]
struct Use {
    running: usize,
    waiting: usize,
}

/// One start of a target.
pub struct Target {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    work: Duration,
    seq: AtomicU64,
    pub leaving: AtomicBool,
    pub ended: AtomicBool,
    usage: (Mutex<Use>, Condvar),
    open: Mutex<BTreeMap<u64, TcpStream>>,
    record: Arc<Record>,
}

impl Target {
    /// Starts a target at an address; port 0 stands for any free port.
    pub fn start(
        id: &str,
        service: &str,
        at: SocketAddr,
        work: Duration,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(at).unwrap();
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let target = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr().unwrap(),
            born: since_epoch.unwrap().as_millis() as u64,
            work,
            seq: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            usage: Default::default(),
            open: Mutex::default(),
            record: record.clone(),
        });
        record.write(&format!(
            "target {id} starts at {}, born {}",
            target.address, target.born
        ));
        let t = target.clone();
        std::thread::spawn(move || t.accept(listener));
        target
    }

    /// Records a line about the target.
    pub fn note(&self, what: &str) {
        self.record.write(&format!("target {}: {what}", self.id));
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        for (n, stream) in listener.incoming().flatten().enumerate() {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let _ = stream.set_nodelay(true);
            let Ok(clone) = stream.try_clone() else {
                continue;
            };
            self.open.lock().unwrap().insert(n as u64, clone);
            let t = self.clone();
            std::thread::spawn(move || {
                t.serve(stream);
                t.open.lock().unwrap().remove(&(n as u64));
            });
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(m) = read_message(&mut reader) {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let Some(out) = self.handle(&m) else { return };
            if writer.write_all(&out).is_err() {
                return;
            }
        }
    }

    fn refusal(&self, status: u16, id: &str) -> Option<Vec<u8>> {
        let headers =
            format!("Dragonflyquay-Request-Id: {id}\r\nDragonflyquay-Not-Executed: 1\r\n");
        Some(response(status, &headers, b""))
    }

    /// Takes a slot; false if the queue is full or the time limit passes before.
    fn take_slot(&self, end: Instant) -> bool {
        let mut u = self.usage.0.lock().unwrap();
        if u.running >= SLOTS && u.waiting >= QUEUE {
            return false;
        }
        u.waiting += 1;
        while u.running >= SLOTS && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            u = self.usage.1.wait_timeout(u, left).unwrap().0;
        }
        u.waiting -= 1;
        let free = u.running < SLOTS;
        u.running += usize::from(free);
        free
    }

    fn handle(self: &Arc<Self>, m: &Message) -> Option<Vec<u8>> {
        if m.path() == "/health" {
            let status = if self.leaving.load(Ordering::SeqCst) {
                503
            } else {
                200
            };
            return Some(response(
                status,
                &format!("Dragonflyquay-Instance-Id: {}\r\n", self.id),
                b"",
            ));
        }
        let id = m.header("dragonflyquay-request-id").to_owned();
        if id.is_empty() {
            return self.refusal(400, "");
        }
        let expected = m.header("dragonflyquay-expected-instance");
        if !expected.is_empty() && expected != self.id {
            return self.refusal(421, &id);
        }
        let crashes = m.path().contains(CRASHING);
        self.record.arrived(&self.id, &id, crashes);
        let ms: u64 = m
            .header("dragonflyquay-deadline-ms")
            .parse()
            .unwrap_or(1000);
        if !self.take_slot(Instant::now() + Duration::from_millis(ms)) {
            return self.refusal(503, &id);
        }
        self.record.runs(&self.id, &id, crashes);
        if crashes {
            self.end();
            return None;
        }
        std::thread::sleep(self.work);
        self.usage.0.lock().unwrap().running -= 1;
        self.usage.1.notify_one();
        if self.ended.load(Ordering::SeqCst) {
            return None;
        }
        let headers = format!(
            "Content-Type: text/plain\r\nDragonflyquay-Request-Id: {id}\r\nDragonflyquay-Response-Signature: sig-{id}\r\n"
        );
        Some(response(
            200,
            &headers,
            format!("done {id} by {}", self.id).as_bytes(),
        ))
    }

    /// Ends the process of the target: its connections close, and its address refuses new ones.
    pub fn end(&self) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record.write(&format!("target {} ends", self.id));
        for s in self.open.lock().unwrap().values() {
            let _ = s.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
    }

    /// Head and body of the next check-in.
    pub fn check_in(&self, state: &str) -> (String, String) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"z","version":"v1","slots":{SLOTS},"state":"{state}","cold_remaining_ms":0,"seq":{seq},"born":{}}}"#,
            self.service, self.address, self.born
        );
        (self.call_head("PUT"), body)
    }

    /// Head and body of the announcement that the target leaves.
    pub fn departure(&self) -> (String, String) {
        (
            self.call_head("DELETE"),
            format!(r#"{{"born":{}}}"#, self.born),
        )
    }

    fn call_head(&self, method: &str) -> String {
        let id = &self.id;
        format!("{method} /api/instances/{id} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n")
    }

    /// Makes a call to the node, and records the answer. Returns whether it is a success.
    pub fn tell(&self, control: SocketAddr, what: &str, (head, body): (String, String)) -> bool {
        let answer = call(control, &head, body.as_bytes(), Duration::from_secs(1));
        let status = answer.map_or(0, |a| a.status());
        if what != "ready" || status != 200 {
            self.record
                .write(&format!("target {} tells {what}: {status}", self.id));
        }
        (200..300).contains(&status)
    }

    /// Sends check-ins until the target leaves or ends.
    pub fn keep_checking_in(self: &Arc<Self>, control: SocketAddr, interval: Duration) {
        let t = self.clone();
        std::thread::spawn(move || {
            while !t.ended.load(Ordering::SeqCst) && !t.leaving.load(Ordering::SeqCst) {
                t.tell(control, "ready", t.check_in("ready"));
                std::thread::sleep(interval);
            }
        });
    }
}
