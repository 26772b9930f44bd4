//! Stand-in for a target: runs requests, records them, and fails in the way that the path of a request names.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::super::workdir::{http_json, wait_until};
use super::capacity::Capacity;
use super::SERVICE;

/// Time for which a target that has crashed accepts no connections.
const CRASH_DURATION: Duration = Duration::from_millis(700);
/// Interval at which a held request checks whether it may go on.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A request that a target ran.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub id: String,
    pub path: String,
    /// Id of the target that ran the request.
    pub target: String,
    /// Target that must run the request.
    pub expected_target: String,
    pub caller: String,
    pub tenant: String,
    pub authorization: String,
    pub remaining_ms: u64,
    pub body: Vec<u8>,
    /// Whether the connection was still open when the response was ready.
    pub connected: bool,
    pub at: Instant,
}

/// State of a target, which tests change.
#[derive(Debug, Clone)]
pub struct State {
    /// Target id.
    pub id: String,
    /// `service` in heartbeats.
    pub service: &'static str,
    /// `born` in heartbeats.
    pub incarnation: u64,
    /// `state` in heartbeats.
    pub reported: &'static str,
    /// Additional header lines of all responses, each with its line end.
    pub headers: String,
    /// Status line of the responses to requests with `status-line` in their path, without its end.
    pub status_line: String,
    /// Whether requests with `hold` in their path wait.
    pub held: bool,
    /// Whether the target has crashed and has not started again.
    pub down: bool,
    /// Whether the target has ended for good; another one may start at its address.
    pub ended: bool,
    /// `slots` in heartbeats.
    pub slots: u32,
    /// `version` in heartbeats.
    pub version: &'static str,
    /// Whether all requests get status 500.
    pub failing: bool,
    /// Slots that the target really has; without, it runs all requests at once.
    pub capacity: Option<Arc<Capacity>>,
}

/// A running stand-in.
pub struct Target {
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
    pub received: Arc<Mutex<Vec<ReceivedRequest>>>,
    seq: AtomicU64,
}

impl Target {
    pub fn start(id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State {
            id: id.into(),
            service: SERVICE,
            incarnation: 1000,
            reported: "ready",
            headers: String::new(),
            status_line: "HTTP/1.1 200 OK".into(),
            held: false,
            down: false,
            ended: false,
            slots: 4,
            version: "v1",
            failing: false,
            capacity: None,
        }));
        let received = Arc::new(Mutex::new(Vec::new()));
        let (s, r) = (state.clone(), received.clone());
        std::thread::spawn(move || run(listener, &s, &r));
        Self {
            address,
            state,
            received,
            seq: AtomicU64::new(0),
        }
    }

    /// Ends the target, which starts again after a moment.
    pub fn crash(&self) {
        crash(&self.state, self.address);
    }

    /// Ends the target and closes its connections. Its address refuses connections until [`Target::start_another`].
    pub fn end(&self) {
        self.state.lock().unwrap().ended = true;
        self.crash();
    }

    /// Starts another target at the address of one that has ended, and waits until it accepts connections. It runs all
    /// requests at once.
    pub fn start_another(&self, id: &str, service: &'static str) {
        let mut s = self.state.lock().unwrap();
        s.id = id.into();
        s.service = service;
        s.incarnation += 5000;
        s.ended = false;
        s.capacity = None;
        drop(s);
        wait_until("another target", || !self.state.lock().unwrap().down);
    }

    /// Sends a heartbeat, unless the target is down. Returns the status of the response.
    pub fn send_heartbeat(&self, control: SocketAddr) -> Option<u16> {
        let s = self.state.lock().unwrap().clone();
        if s.down {
            return None;
        }
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        self.send_heartbeat_as(control, &s, seq)
    }

    /// Sends a heartbeat with this state and sequence number.
    pub fn send_heartbeat_as(&self, control: SocketAddr, s: &State, seq: u64) -> Option<u16> {
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"az","version":"{}","slots":{},"state":"{}","cold_remaining_ms":0,"seq":{seq},"born":{}}}"#,
            s.service, self.address, s.version, s.slots, s.reported, s.incarnation
        );
        let path = format!("/api/instances/{}", s.id);
        http_json(control, "PUT", &path, &body).map(|res| res.status)
    }

    /// Number of times that a request id was run.
    pub fn runs(&self, id: &str) -> usize {
        let received = self.received.lock().unwrap();
        received.iter().filter(|r| r.id == id).count()
    }
}

/// Accepts connections. After a crash all are closed, and new ones are refused for a while.
fn run(
    listener: TcpListener,
    state: &Arc<Mutex<State>>,
    received: &Arc<Mutex<Vec<ReceivedRequest>>>,
) {
    let address = listener.local_addr().unwrap();
    let mut accepting = listener;
    loop {
        // Open connections by the addresses of their peers.
        let open: Arc<Mutex<BTreeMap<SocketAddr, TcpStream>>> = Arc::default();
        for stream in accepting.incoming().flatten() {
            if state.lock().unwrap().down {
                break;
            }
            let peer = stream.peer_addr().unwrap();
            let clone = stream.try_clone().unwrap();
            open.lock().unwrap().insert(peer, clone);
            let (s, r, open) = (state.clone(), received.clone(), open.clone());
            std::thread::spawn(move || {
                serve(stream, &s, &r);
                open.lock().unwrap().remove(&peer);
            });
        }
        drop(accepting);
        for stream in open.lock().unwrap().values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        std::thread::sleep(CRASH_DURATION);
        while state.lock().unwrap().ended {
            std::thread::sleep(HOLD_POLL_INTERVAL);
        }
        accepting = TcpListener::bind(address).unwrap();
        let mut s = state.lock().unwrap();
        s.incarnation += 1;
        s.down = false;
    }
}

fn crash(state: &Mutex<State>, address: SocketAddr) {
    state.lock().unwrap().down = true;
    // Ends the wait for the next connection.
    let _ = TcpStream::connect(address);
}

fn response_head(id: &str, headers: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ndragonflyquay-request-id: {id}\r\ndragonflyquay-response-signature: sig-{id}\r\n{headers}"
    )
}

fn valid_response(id: &str, headers: &str) -> String {
    format!(
        "{}content-length: 5\r\n\r\nhello",
        response_head(id, headers)
    )
}

/// Body of the responses to requests with `large` in their path, 1 MB.
pub fn large_body() -> String {
    (0..125_000).map(|n| format!("{n:07},")).collect()
}

/// Refusal of a request: status 503, or 421 unless it is only to be written later, with its id or without.
fn refusal(path: &str, id: &str, headers: &str) -> String {
    let status = match path.contains("-421") && !path.contains("-later") {
        true => "421 No",
        false => "503 No\r\ndragonflyquay-not-executed: 1",
    };
    let id = match path.contains("no-id") {
        true => String::new(),
        false => format!("dragonflyquay-request-id: {id}\r\n"),
    };
    format!("HTTP/1.1 {status}\r\n{id}{headers}content-length: 0\r\n\r\n")
}

/// Writes a part again and again until the other side closes the connection.
fn write_endlessly(out: &mut TcpStream, part: &[u8]) {
    while out.write_all(part).is_ok() {}
}

fn serve(stream: TcpStream, state: &Mutex<State>, received: &Mutex<Vec<ReceivedRequest>>) {
    let mut out = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    // Response that is written once more, before that to a request with `again` in its path.
    let mut copy = String::new();
    loop {
        let mut head = Vec::new();
        loop {
            let mut line = String::new();
            match input.read_line(&mut line) {
                Ok(n) if n > 0 => {}
                _ => return,
            }
            if line == "\r\n" {
                break;
            }
            head.push(line.trim_end().to_owned());
        }
        let header = |name: &str| {
            let mut found = head.iter().skip(1).filter_map(|l| l.split_once(':'));
            let found = found.find(|(k, _)| k.eq_ignore_ascii_case(name));
            found.map_or(String::new(), |(_, v)| v.trim().to_owned())
        };
        let path = head[0].split(' ').nth(1).unwrap_or_default().to_owned();
        let early = path.contains("early");
        if early {
            let headers = state.lock().unwrap().headers.clone();
            let response = valid_response(&header("dragonflyquay-request-id"), &headers);
            let _ = out.write_all(response.as_bytes());
        }
        while early && state.lock().unwrap().held {
            std::thread::sleep(HOLD_POLL_INTERVAL);
        }
        let mut body = vec![0; header("content-length").parse().unwrap_or(0)];
        if input.read_exact(&mut body).is_err() {
            return;
        }
        let s = state.lock().unwrap().clone();
        if path.contains("again") && out.write_all(copy.as_bytes()).is_err() {
            return;
        }
        let request = ReceivedRequest {
            id: header("dragonflyquay-request-id"),
            target: s.id.clone(),
            expected_target: header("dragonflyquay-expected-instance"),
            caller: header("dragonflyquay-caller-service"),
            tenant: header("dragonflyquay-tenant"),
            authorization: header("authorization"),
            remaining_ms: header("dragonflyquay-deadline-ms").parse().unwrap_or(0),
            path: path.clone(),
            body,
            connected: true,
            at: Instant::now(),
        };
        if path.contains("shed") {
            let later = path.replace("-later", "");
            copy = refusal(&later, &request.id, &s.headers);
        }
        if path.contains("copied") {
            copy = valid_response(&request.id, &s.headers);
        }
        if early {
            received.lock().unwrap().push(request);
            continue;
        }
        if !respond(&mut out, &path, &request, (&s, state), received) {
            return;
        }
    }
}

/// Responds to a request. Returns whether the connection stays open.
fn respond(
    out: &mut TcpStream,
    path: &str,
    request: &ReceivedRequest,
    (s, state): (&State, &Mutex<State>),
    received: &Mutex<Vec<ReceivedRequest>>,
) -> bool {
    let id = &request.id;
    let instance = format!("dragonflyquay-instance-id: {}\r\n{}", s.id, s.headers);
    if path == "/health" {
        let status = if s.reported == "ready" {
            "200 OK"
        } else {
            "503 No"
        };
        let text = format!("HTTP/1.1 {status}\r\n{instance}content-length: 0\r\n\r\n");
        return out.write_all(text.as_bytes()).is_ok();
    }
    if !request.expected_target.is_empty() && request.expected_target != s.id {
        let text = format!("HTTP/1.1 421 No\r\n{instance}content-length: 0\r\n\r\n");
        return out.write_all(text.as_bytes()).is_ok();
    }
    if path.contains("shed") {
        return out
            .write_all(refusal(path, id, &s.headers).as_bytes())
            .is_ok();
    }
    if let Some(c) = &s.capacity {
        match c.run(out, path, &refusal("shed", id, &s.headers)) {
            Ok(()) => {}
            Err(open) => return open,
        }
    }
    received.lock().unwrap().push(request.clone());
    while path.contains("hold") && state.lock().unwrap().held {
        std::thread::sleep(HOLD_POLL_INTERVAL);
    }
    let head = response_head(id, &s.headers);
    let valid = valid_response(id, &s.headers);
    let text = match path {
        _ if s.failing => valid.replacen("200 OK", "500 No", 1),
        p if p.contains("status-line") => {
            let text = match p.contains("plain") {
                true => valid.replace("response-signature", "other"),
                false => valid,
            };
            text.replacen("HTTP/1.1 200 OK", &s.status_line, 1)
        }
        p if p.contains("slow") => {
            std::thread::sleep(Duration::from_millis(600));
            let mut probe = [0];
            out.set_nonblocking(true).unwrap();
            let gone = matches!(out.peek(&mut probe), Ok(0));
            out.set_nonblocking(false).unwrap();
            if gone {
                let mut list = received.lock().unwrap();
                let found = list.iter_mut().rev().find(|r| r.id == *id);
                found.into_iter().for_each(|r| r.connected = false);
                return false;
            }
            valid
        }
        p if p.contains("large") => {
            let body = large_body();
            format!("{head}content-length: {}\r\n\r\n{body}", body.len())
        }
        p if p.contains("cut-") => {
            let end = match p.rsplit('-').next() {
                Some("status") => 11,
                Some("header") => head.len() - 9,
                Some("headers") => head.len(),
                _ => valid.len() - 7,
            };
            let _ = out.write_all(&valid.as_bytes()[..end]);
            return false;
        }
        p if p.contains("lost") => return false,
        p if p.contains("poison") => {
            crash(state, out.local_addr().unwrap());
            std::thread::sleep(CRASH_DURATION / 2);
            return false;
        }
        p if p.contains("endless") => {
            let part = vec![b'x'; 64 << 10];
            let (start, part) = match p.rsplit('-').next() {
                Some("status") => ("", b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()),
                Some("headers") => ("HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n".to_vec()),
                Some("header") => ("HTTP/1.1 200 OK\r\nx-long: ", part),
                Some("length") => {
                    let _ = out
                        .write_all(format!("{head}content-length: 9000000000\r\n\r\n").as_bytes());
                    ("", part)
                }
                Some(kind @ ("chunks" | "size" | "extension" | "trailers" | "bytes")) => {
                    let _ = out
                        .write_all(format!("{head}transfer-encoding: chunked\r\n\r\n").as_bytes());
                    match kind {
                        "chunks" => ("", [b"10000\r\n", &part[..], b"\r\n"].concat()),
                        "size" => ("", b"0".repeat(64 << 10)),
                        "extension" => ("5;x=", part),
                        "trailers" => ("0\r\n", b"x-more: 1\r\n".to_vec()),
                        _ => ("", b"1\r\nx\r\n".to_vec()),
                    }
                }
                _ => {
                    let _ = out.write_all(format!("{head}connection: close\r\n\r\n").as_bytes());
                    ("", part)
                }
            };
            let _ = out.write_all(start.as_bytes());
            write_endlessly(out, &part);
            return false;
        }
        p if p.contains("short") => {
            let _ = out.write_all(format!("{head}content-length: 50\r\n\r\nhello").as_bytes());
            return false;
        }
        p if p.contains("garbage") => {
            let _ = out.write_all(b"\x00\x01 no answer\r\n\r\n");
            return false;
        }
        p if p.contains("unframed") => {
            let _ = out.write_all(format!("{head}connection: close\r\n\r\nhello").as_bytes());
            return false;
        }
        p if p.contains("unsigned") => format!(
            "HTTP/1.1 200 OK\r\ndragonflyquay-request-id: {id}\r\ncontent-length: 5\r\n\r\nhello"
        ),
        p if p.contains("crossed") => valid.replace(&format!("request-id: {id}"), "request-id: x"),
        p if p.contains("extra") => format!("{valid}{}", valid.replace("hello", "extra")),
        p if p.contains("fail") => valid.replace("200 OK", "500 Internal Server Error"),
        p if p.contains("encoded") => {
            valid.replace("content-length", "content-encoding: gzip\r\ncontent-length")
        }
        _ => valid,
    };
    out.write_all(text.as_bytes()).is_ok()
}
