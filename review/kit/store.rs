//! Stand-in for the platform's metadata store, as PROTOCOL.md describes it. It is sound but for outages that a case asks
//! for.

use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order; `None` for a deleted key.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    /// Whether the store is down: it answers 503 and does nothing.
    pub down: AtomicBool,
    /// Address of a path to the store that a case may cut.
    pub second_address: SocketAddr,
    /// Whether nothing comes through on that path, in either direction.
    pub second_cut: Arc<AtomicBool>,
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(data: &[u8]) -> String {
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let mut n = 0u32;
        for i in 0..3 {
            n = n << 8 | u32::from(*chunk.get(i).unwrap_or(&0));
        }
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(ALPHABET[(n >> (18 - 6 * i) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn decode(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for b in text.bytes() {
        let Some(v) = ALPHABET.iter().position(|a| *a == b) else {
            break;
        };
        n = n << 6 | v as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits & 255) as u8);
        }
    }
    out
}

fn item_json(key: &str, i: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
        encode(&i.value),
        i.revision,
        i.created,
        i.lease
    )
}

fn query(target: &str, name: &str) -> String {
    let found = target.split_once('?').map_or("", |(_, q)| q).split('&');
    let found = found
        .filter_map(|p| p.split_once('='))
        .find(|(k, _)| *k == name);
    let text = found.map_or("", |(_, v)| v);
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        match b {
            b'%' => {
                let hex: String = bytes.by_ref().take(2).map(char::from).collect();
                out.push(u8::from_str_radix(&hex, 16).unwrap_or(0));
            }
            b => out.push(b),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Passes bytes on in both directions until one side closes. While `cut` is set, nothing is passed on, and what arrived
/// meanwhile is lost.
fn pass(from: TcpStream, to: SocketAddr, cut: &Arc<AtomicBool>) {
    let Ok(to) = TcpStream::connect(to) else {
        return;
    };
    let copy = |mut input: TcpStream, mut output: TcpStream, cut: Arc<AtomicBool>| {
        let mut buffer = [0; 16 << 10];
        while let Ok(n) = input.read(&mut buffer) {
            if cut.load(Ordering::SeqCst) {
                // Both sides wait in vain, as behind a partition.
                std::thread::sleep(Duration::from_secs(3600));
            }
            if n == 0 || output.write_all(&buffer[..n]).is_err() {
                break;
            }
        }
        let _ = output.shutdown(std::net::Shutdown::Both);
    };
    let (Ok(a), Ok(b)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let c = cut.clone();
    std::thread::spawn(move || copy(a, b, c));
    copy(to, from, cut.clone());
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind store");
        let second = TcpListener::bind("127.0.0.1:0").expect("bind second path");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("address"),
            state: Mutex::new(State {
                revision: 100,
                items: BTreeMap::new(),
                history: Vec::new(),
                leases: BTreeMap::new(),
                last_lease: 0,
            }),
            changed: Condvar::new(),
            down: AtomicBool::new(false),
            second_address: second.local_addr().expect("address"),
            second_cut: Arc::default(),
        });
        let (to, cut) = (store.address, store.second_cut.clone());
        std::thread::spawn(move || {
            for stream in second.incoming().flatten() {
                let cut = cut.clone();
                std::thread::spawn(move || pass(stream, to, &cut));
            }
        });
        let s = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let s = s.clone();
                std::thread::spawn(move || s.serve(stream));
            }
        });
        let s = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(100));
            s.expire();
        });
        store
    }

    /// Writes a key as the operator does; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut s = self.state.lock().unwrap();
        s.write(key, Some((value.as_bytes().to_vec(), 0)));
        drop(s);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut s = self.state.lock().unwrap();
        let ended: Vec<u64> = s
            .leases
            .iter()
            .filter(|(_, l)| l.1 <= now)
            .map(|(id, _)| *id)
            .collect();
        ended.into_iter().for_each(|id| s.end_lease(id));
        drop(s);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Ok(m) = http::read_message(&mut input) {
            let (status, body) = match self.down.load(Ordering::SeqCst) {
                true => (503, "{}".into()),
                false => self.respond(&m),
            };
            let text = http::response(status, "content-type: application/json\r\n", &body);
            if out.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, m: &Message) -> (u16, String) {
        let target = m.target();
        let path = target.split('?').next().unwrap_or("");
        let body = Json::parse(&String::from_utf8_lossy(&m.body)).unwrap_or(Json::Null);
        match (m.method(), path) {
            ("GET", "/api/kv-key") => {
                let key = query(target, "key");
                let s = self.state.lock().unwrap();
                match s.items.get(&key) {
                    Some(i) => (200, item_json(&key, i)),
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (query(target, "prefix"), query(target, "after"));
                let s = self.state.lock().unwrap();
                let found = s
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = found.map(|(k, i)| item_json(k, i)).collect();
                let at = s.revision;
                (
                    200,
                    format!(
                        r#"{{"items":[{}],"has_more":false,"at":{at}}}"#,
                        items.join(",")
                    ),
                )
            }
            ("GET", "/api/kv-watch") => {
                let prefix = query(target, "prefix");
                let after = query(target, "after").parse().unwrap_or(0);
                let wait = Duration::from_millis(query(target, "wait_ms").parse().unwrap_or(0));
                self.watch(&prefix, after, wait)
            }
            ("POST", "/api/kv-txn") => self.transact(&body),
            ("POST", "/api/kv-lease") => {
                let mut s = self.state.lock().unwrap();
                let ttl = Duration::from_millis(body.get("ttl_ms").number());
                s.last_lease += 1;
                let id = s.last_lease;
                s.leases.insert(id, (ttl, Instant::now() + ttl));
                (
                    200,
                    format!(r#"{{"lease":{id},"ttl_ms":{}}}"#, ttl.as_millis()),
                )
            }
            ("POST", p) if p.starts_with("/api/kv-keep/") => {
                let id = p["/api/kv-keep/".len()..].parse().unwrap_or(0);
                let mut s = self.state.lock().unwrap();
                match s.leases.get_mut(&id) {
                    Some(l) => {
                        l.1 = Instant::now() + l.0;
                        (200, format!(r#"{{"ttl_ms":{}}}"#, l.0.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", p) if p.starts_with("/api/kv-lease-end/") => {
                let id = p["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.state.lock().unwrap().end_lease(id);
                self.changed.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut s = self.state.lock().unwrap();
        loop {
            let new = s
                .history
                .iter()
                .filter(|(r, k, _)| *r > after && k.starts_with(prefix));
            let events: Vec<String> = new
                .map(|(r, k, i)| match i {
                    Some(i) => item_json(k, i),
                    None => format!(r#"{{"key":"{k}","revision":{r},"deleted":true}}"#),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = s.revision;
                return (
                    200,
                    format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")),
                );
            }
            s = self.changed.wait_timeout(s, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut s = self.state.lock().unwrap();
        for p in body.get("precondition").list() {
            let key = p.get("key").text();
            let revision = s.items.get(key).map_or(0, |i| i.revision);
            if revision != p.get("revision").number() {
                let item = s
                    .items
                    .get(key)
                    .map(|i| item_json(key, i))
                    .unwrap_or_default();
                return (412, format!(r#"{{"items":[{item}]}}"#));
            }
        }
        for w in body.get("writes").list() {
            let lease = w.get("lease").number();
            if lease > 0 && !s.leases.contains_key(&lease) {
                return (404, "{}".into());
            }
        }
        for w in body.get("writes").list() {
            let value = decode(w.get("value").text());
            s.write(w.get("key").text(), Some((value, w.get("lease").number())));
        }
        for key in body.get("remove").list() {
            s.write(key.text(), None);
        }
        let revision = s.revision;
        drop(s);
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<(Vec<u8>, u64)>) {
        if value.is_none() && !self.items.contains_key(key) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let item = value.map(|(value, lease)| Item {
            value,
            revision,
            created: self.items.get(key).map_or(revision, |i| i.created),
            lease,
        });
        match &item {
            Some(i) => self.items.insert(key.into(), i.clone()),
            None => self.items.remove(key),
        };
        self.history.push((revision, key.into(), item));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == id)
            .map(|(k, _)| k.clone())
            .collect();
        if id > 0 {
            keys.iter().for_each(|k| self.write(k, None));
        }
    }
}
