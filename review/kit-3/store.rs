//! Stand-in for the platform's metadata store, as PROTOCOL.md describes it.
//!
//! One revision counter, leases, watches, and transactions with preconditions. A drill (letter 11) brings the store back
//! from an older copy of itself: revisions go back, and `Store-Era` rises.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{read_request, write_response, Request};
use crate::json::{quote, Json};

/// Time for which copies and history are kept.
const KEPT: Duration = Duration::from_secs(20);
/// Largest page of a listing.
const PAGE: usize = 500;

/// A key with its value, which stays as the base64 text that was sent.
#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
    at: Instant,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// All that the store keeps; a copy of it is what a drill restores.
#[derive(Debug, Clone, Default)]
struct Data {
    revision: u64,
    last_lease: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Lease>,
    events: VecDeque<Event>,
    /// Greatest revision whose event is no longer kept.
    dropped: u64,
}

impl Data {
    fn set(&mut self, key: &str, item: Option<(String, u64)>, now: Instant) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = item.map(|(value, lease)| Item { value, revision: self.revision, created, lease });
        match &item {
            Some(item) => drop(self.items.insert(key.to_owned(), item.clone())),
            None => drop(self.items.remove(key)),
        }
        self.events.push_back(Event { key: key.to_owned(), revision: self.revision, item, at: now });
    }

    /// Removes the keys of leases that have ended, and old history.
    fn expire(&mut self, now: Instant) {
        let ended: Vec<u64> = self.leases.iter().filter(|(_, l)| now >= l.ends).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id, now);
        }
        while self.events.front().is_some_and(|e| now > e.at + KEPT) {
            let old = self.events.pop_front();
            self.dropped = old.map_or(self.dropped, |e| e.revision);
        }
    }

    fn end_lease(&mut self, id: u64, now: Instant) {
        self.leases.remove(&id);
        let keys: Vec<String> = self.items.iter().filter(|(_, i)| i.lease == id).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.set(&key, None, now);
        }
    }
}

struct State {
    data: Data,
    /// Earlier copies, the latest last.
    copies: VecDeque<(Instant, Data)>,
    era: u64,
}

/// How calls at one address fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Serving,
    /// Connections are refused or closed.
    Away,
    /// Status 503; nothing is done.
    Busy,
    /// No response.
    Silent,
}

/// An address of the store.
pub struct Entrance {
    pub address: SocketAddr,
    mode: Mutex<Mode>,
    /// Connections that are open.
    open: Mutex<Vec<TcpStream>>,
}

impl Entrance {
    /// Changes the mode. `Away` closes all connections.
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
        if mode == Mode::Away {
            for s in self.open.lock().unwrap().drain(..) {
                let _ = s.shutdown(Shutdown::Both);
            }
        }
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }
}

/// The stand-in.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    entrances: Mutex<Vec<Arc<Entrance>>>,
    stopped: AtomicBool,
    pub calls: AtomicU64,
}

impl Store {
    /// Starts the store with one address.
    pub fn start() -> (Arc<Self>, Arc<Entrance>) {
        let data = Data { revision: 100, dropped: 100, ..Data::default() };
        let store = Arc::new(Self {
            state: Mutex::new(State { data, copies: VecDeque::new(), era: 1 }),
            changed: Condvar::new(),
            entrances: Mutex::default(),
            stopped: AtomicBool::new(false),
            calls: AtomicU64::new(0),
        });
        let s = store.clone();
        std::thread::spawn(move || {
            while !s.stopped.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(20));
                let mut state = s.lock();
                state.data.expire(Instant::now());
                drop(state);
                s.changed.notify_all();
            }
        });
        let entrance = store.add_entrance();
        (store, entrance)
    }

    /// Opens another address of the store.
    pub fn add_entrance(self: &Arc<Self>) -> Arc<Entrance> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let entrance = Arc::new(Entrance {
            address: listener.local_addr().unwrap(),
            mode: Mutex::new(Mode::Serving),
            open: Mutex::default(),
        });
        self.entrances.lock().unwrap().push(entrance.clone());
        let (s, e) = (self.clone(), entrance.clone());
        std::thread::spawn(move || s.accept(listener, &e));
        entrance
    }

    /// Accepts connections. While the store is away, its port refuses them.
    fn accept(self: &Arc<Self>, listener: TcpListener, entrance: &Arc<Entrance>) {
        listener.set_nonblocking(true).unwrap();
        let mut listener = Some(listener);
        while !self.stopped.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
            if entrance.mode() == Mode::Away {
                listener = None;
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(entrance.address).ok();
                let _ = listener.as_ref().map(|l| l.set_nonblocking(true));
            }
            while let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    let mut open = entrance.open.lock().unwrap();
                    if open.len() > 200 {
                        open.remove(0);
                    }
                    open.push(copy);
                }
                let (s, e) = (self.clone(), entrance.clone());
                std::thread::spawn(move || s.serve(stream, &e));
            }
        }
    }

    fn serve(&self, stream: TcpStream, entrance: &Entrance) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = read_request(&mut reader) {
            self.calls.fetch_add(1, Ordering::SeqCst);
            match entrance.mode() {
                Mode::Serving => {}
                Mode::Away => return,
                Mode::Busy => {
                    if write_response(&mut writer, 503, "", b"{}").is_err() {
                        return;
                    }
                    continue;
                }
                Mode::Silent => {
                    while entrance.mode() == Mode::Silent {
                        std::thread::sleep(Duration::from_millis(20));
                    }
                    return;
                }
            }
            // Answers take a few ms.
            std::thread::sleep(Duration::from_millis(4));
            let era = self.era();
            let (status, body) = self.respond(&req);
            // A connection of before a drill gets no answer from after it.
            if entrance.mode() == Mode::Away || era != self.era() {
                return;
            }
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if write_response(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn era(&self) -> u64 {
        self.lock().era
    }

    pub fn revision(&self) -> u64 {
        self.lock().data.revision
    }

    /// Writes a key as the operator. Returns its revision, which is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut s = self.lock();
        s.keep_copy();
        s.data.revision += 1;
        let now = Instant::now();
        s.data.set(key, Some((base64(value.as_bytes()), 0)), now);
        let revision = s.data.revision;
        drop(s);
        self.changed.notify_all();
        revision
    }

    /// Keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let s = self.lock();
        s.data.items.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// A drill: the store is away for a moment and comes back from a copy of this age. Returns the revisions before and
    /// after it.
    pub fn drill(&self, away: Duration, copy_age: Duration) -> (u64, u64) {
        let now = Instant::now();
        for e in self.entrances.lock().unwrap().iter() {
            e.set(Mode::Away);
        }
        let mut s = self.lock();
        let before = s.data.revision;
        let wanted = now.checked_sub(copy_age).unwrap_or(now);
        // The state at that time is the copy that was taken before the first write after it.
        let copy = s.copies.iter().find(|(at, _)| *at >= wanted).map(|(_, d)| d.clone());
        if let Some(mut copy) = copy {
            // Leases that the copy has go on with the time that they have left now.
            for (id, lease) in &mut copy.leases {
                if let Some(kept) = s.data.leases.get(id) {
                    lease.ends = kept.ends;
                }
            }
            s.data = copy;
        }
        s.era += 1;
        s.copies.clear();
        let after = s.data.revision;
        drop(s);
        self.changed.notify_all();
        std::thread::sleep(away);
        for e in self.entrances.lock().unwrap().iter() {
            e.set(Mode::Serving);
        }
        (before, after)
    }

    fn respond(&self, req: &Request) -> (u16, String) {
        let body = Json::parse(&req.message.text()).unwrap_or(Json::Null);
        match (req.method.as_str(), req.path()) {
            ("GET", "/api/kv-key") => self.get(&req.query("key").unwrap_or_default()),
            ("GET", "/api/kv-range") => self.range(req),
            ("GET", "/api/kv-watch") => self.watch(req),
            ("POST", "/api/kv-txn") => self.transact(&body),
            ("POST", "/api/kv-lease") => self.grant(&body),
            ("POST", p) if p.starts_with("/api/kv-keep/") => self.renew(p),
            ("DELETE", p) if p.starts_with("/api/kv-lease-end/") => self.end_lease(p),
            _ => (404, "{}".into()),
        }
    }

    fn get(&self, key: &str) -> (u16, String) {
        let s = self.lock();
        match s.data.items.get(key) {
            Some(item) => (200, item_json(key, item, Some(s.data.revision))),
            None => (404, "{}".into()),
        }
    }

    fn range(&self, req: &Request) -> (u16, String) {
        let prefix = req.query("prefix").unwrap_or_default();
        let after = req.query("after").unwrap_or_default();
        let s = self.lock();
        let found = s.data.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
        let found: Vec<_> = found.collect();
        let items: Vec<String> = found.iter().take(PAGE).map(|(k, i)| item_json(k, i, None)).collect();
        let has_more = found.len() > PAGE;
        let at = s.data.revision;
        (200, format!("{{\"items\":[{}],\"has_more\":{has_more},\"at\":{at}}}", items.join(",")))
    }

    fn watch(&self, req: &Request) -> (u16, String) {
        let prefix = req.query("prefix").unwrap_or_default();
        let number = |name| req.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let after = number("after");
        let end = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut s = self.lock();
        let era = s.era;
        loop {
            if s.era != era || after > s.data.revision || after < s.data.dropped {
                return (410, "{}".into());
            }
            let new = s.data.events.iter().filter(|e| e.revision > after && e.key.starts_with(&prefix));
            let events: Vec<String> = new.map(event_json).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let at = s.data.revision;
                return (200, format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            s = self.changed.wait_timeout(s, end - now).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut s = self.lock();
        let now = Instant::now();
        let writes = body.get("writes").as_list();
        let removes = body.get("remove").as_list();
        let keys = writes.iter().filter_map(|w| w.get("key").as_str());
        let mut keys = keys.chain(removes.iter().filter_map(Json::as_str));
        if keys.any(|k| k.starts_with("op/") || k.starts_with("servers/")) {
            return (403, "{}".into());
        }
        let failed = body.get("precondition").as_list().iter().any(|p| {
            let key = p.get("key").as_str().unwrap_or_default();
            let found = s.data.items.get(key).map_or(0, |i| i.revision);
            Some(found) != p.get("revision").as_u64()
        });
        if failed {
            let rows = body.get("precondition").as_list().iter();
            let items: Vec<String> = rows
                .filter_map(|p| p.get("key").as_str())
                .filter_map(|k| Some(item_json(k, s.data.items.get(k)?, None)))
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease_of = |w: &Json| w.get("lease").as_u64().unwrap_or(0);
        if writes.iter().any(|w| lease_of(w) > 0 && !s.data.leases.contains_key(&lease_of(w))) {
            return (404, "{}".into());
        }
        s.keep_copy();
        s.data.revision += 1;
        for w in writes {
            let key = w.get("key").as_str().unwrap_or_default().to_owned();
            let value = w.get("value").as_str().unwrap_or_default().to_owned();
            s.data.set(&key, Some((value, lease_of(w))), now);
        }
        for key in removes.iter().filter_map(Json::as_str) {
            if s.data.items.contains_key(key) {
                s.data.set(key, None, now);
            }
        }
        let revision = s.data.revision;
        drop(s);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, body: &Json) -> (u16, String) {
        let ttl = body.get("ttl_ms").as_u64().unwrap_or(1000).clamp(1000, 600_000);
        let mut s = self.lock();
        s.keep_copy();
        s.data.last_lease += 1;
        let id = s.data.last_lease;
        let ttl_time = Duration::from_millis(ttl);
        s.data.leases.insert(id, Lease { ttl: ttl_time, ends: Instant::now() + ttl_time });
        (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
    }

    fn renew(&self, path: &str) -> (u16, String) {
        let id = path.rsplit('/').next().and_then(|t| t.parse().ok()).unwrap_or(0);
        let mut s = self.lock();
        match s.data.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
            }
            None => (404, "{}".into()),
        }
    }

    fn end_lease(&self, path: &str) -> (u16, String) {
        let id = path.rsplit('/').next().and_then(|t| t.parse().ok()).unwrap_or(0);
        self.lock().data.end_lease(id, Instant::now());
        self.changed.notify_all();
        (200, "{}".into())
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

impl State {
    /// Keeps a copy of the data before a change.
    fn keep_copy(&mut self) {
        let now = Instant::now();
        while self.copies.front().is_some_and(|(at, _)| now > *at + KEPT) {
            self.copies.pop_front();
        }
        let copy = self.data.clone();
        self.copies.push_back((now, copy));
    }
}

fn item_json(key: &str, i: &Item, at: Option<u64>) -> String {
    let at = at.map_or(String::new(), |at| format!(",\"at\":{at}"));
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}{at}}}",
        quote(key),
        i.value,
        i.revision,
        i.created,
        i.lease
    )
}

fn event_json(e: &Event) -> String {
    match &e.item {
        Some(i) => item_json(&e.key, i, None),
        None => format!("{{\"key\":{},\"revision\":{},\"deleted\":true}}", quote(&e.key), e.revision),
    }
}

/// Standard base64 with padding.
pub fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(char::from(DIGITS[(n >> (18 - 6 * i) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}
