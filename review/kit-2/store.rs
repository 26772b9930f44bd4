//! Stand-in for the platform's metadata store, as the users' protocol page describes it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{response, serve, Message};
use crate::json::{self, from_base64, quote, to_base64, Value};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change: its revision, the key, and the item unless it was deleted.
    history: Vec<(u64, String, Option<Item>)>,
    /// Leases with their durations and ends.
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.into(), item.clone());
        self.history.push((self.revision, key.into(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.into(), None));
        }
    }

    /// Ends the leases that have run out, with their keys. Returns whether there were any.
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        ended.iter().for_each(|id| self.end_lease(*id));
        !ended.is_empty()
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == id)
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|k| self.remove(k));
        }
    }
}

/// A running store.
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new((
            Mutex::new(State {
                revision: 100,
                ..State::default()
            }),
            Condvar::new(),
        ));
        let s = shared.clone();
        serve(listener, move |m| Some(respond(&s, &m)));
        let s = shared.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(100));
            if s.0.lock().unwrap().expire() {
                s.1.notify_all();
            }
        });
        Self { address, shared }
    }

    /// Writes a key, as the operator does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut s = self.shared.0.lock().unwrap();
        s.revision += 1;
        s.write(key, value.to_vec(), 0);
        self.shared.1.notify_all();
    }
}

fn item_json(key: &str, i: &Item) -> String {
    format!(
        r#"{{"key":{},"value":"{}","revision":{},"created":{},"lease":{}}}"#,
        quote(key),
        to_base64(&i.value),
        i.revision,
        i.created,
        i.lease
    )
}

fn parameter(query: &str, name: &str) -> String {
    let found = query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(k, _)| *k == name);
    let text = found.map_or("", |(_, v)| v).as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < text.len() {
        let hex = (text[i] == b'%')
            .then(|| std::str::from_utf8(&text[i + 1..i + 3]).ok())
            .flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(b) => {
                out.push(b);
                i += 3;
            }
            None => {
                out.push(text[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn answer(status: u16, body: &str) -> Vec<u8> {
    response(
        status,
        "Content-Type: application/json\r\n",
        body.as_bytes(),
    )
}

fn respond(shared: &(Mutex<State>, Condvar), m: &Message) -> Vec<u8> {
    let (path, query) = m.path().split_once('?').unwrap_or((m.path(), ""));
    let body = json::parse(&m.body).unwrap_or(Value::Null);
    match (m.method(), path) {
        ("GET", "/api/kv-key") => get(shared, &parameter(query, "key")),
        ("GET", "/api/kv-range") => range(
            shared,
            &parameter(query, "prefix"),
            &parameter(query, "after"),
        ),
        ("GET", "/api/kv-watch") => watch(shared, query),
        ("POST", "/api/kv-txn") => transaction(shared, &body),
        ("POST", "/api/kv-lease") => grant(shared, &body),
        ("POST", p) if p.starts_with("/api/kv-keep/") => {
            keep(shared, p.rsplit('/').next().unwrap_or_default())
        }
        ("DELETE", p) if p.starts_with("/api/kv-lease-end/") => {
            let id = p
                .rsplit('/')
                .next()
                .and_then(|id| id.parse().ok())
                .unwrap_or(0);
            shared.0.lock().unwrap().end_lease(id);
            shared.1.notify_all();
            answer(200, "{}")
        }
        _ => answer(404, "{}"),
    }
}

fn get(shared: &(Mutex<State>, Condvar), key: &str) -> Vec<u8> {
    let s = shared.0.lock().unwrap();
    match s.items.get(key) {
        Some(i) => answer(200, &item_json(key, i)),
        None => answer(404, "{}"),
    }
}

fn range(shared: &(Mutex<State>, Condvar), prefix: &str, after: &str) -> Vec<u8> {
    let s = shared.0.lock().unwrap();
    let found = s
        .items
        .iter()
        .filter(|(k, _)| k.starts_with(prefix) && (after.is_empty() || k.as_str() > after));
    let items: Vec<String> = found.map(|(k, i)| item_json(k, i)).collect();
    answer(
        200,
        &format!(
            r#"{{"items":[{}],"has_more":false,"at":{}}}"#,
            items.join(","),
            s.revision
        ),
    )
}

fn watch(shared: &(Mutex<State>, Condvar), query: &str) -> Vec<u8> {
    let prefix = parameter(query, "prefix");
    let after: u64 = parameter(query, "after").parse().unwrap_or(0);
    let wait = Duration::from_millis(parameter(query, "wait_ms").parse().unwrap_or(0));
    let end = Instant::now() + wait;
    let mut s = shared.0.lock().unwrap();
    loop {
        let new = s
            .history
            .iter()
            .filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
        let events: Vec<String> = new
            .map(|(r, k, i)| match i {
                Some(i) => item_json(k, i),
                None => format!(r#"{{"key":{},"revision":{r},"deleted":true}}"#, quote(k)),
            })
            .collect();
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            return answer(
                200,
                &format!(r#"{{"events":[{}],"at":{}}}"#, events.join(","), s.revision),
            );
        }
        s = shared.1.wait_timeout(s, left).unwrap().0;
    }
}

fn transaction(shared: &(Mutex<State>, Condvar), body: &Value) -> Vec<u8> {
    let mut s = shared.0.lock().unwrap();
    let current = |s: &State, key: &str| s.items.get(key).map_or(0, |i| i.revision);
    let rows = body.get("precondition").list();
    if rows
        .iter()
        .any(|r| current(&s, r.get("key").text()) != r.get("revision").number())
    {
        let keys = rows.iter().map(|r| r.get("key").text());
        let items: Vec<String> = keys
            .filter_map(|k| Some(item_json(k, s.items.get(k)?)))
            .collect();
        return answer(412, &format!(r#"{{"items":[{}]}}"#, items.join(",")));
    }
    let writes = body.get("writes").list();
    let leases = writes.iter().map(|w| w.get("lease").number());
    if leases
        .filter(|l| *l > 0)
        .any(|l| !s.leases.contains_key(&l))
    {
        return answer(404, "{}");
    }
    s.revision += 1;
    for w in writes {
        let value = from_base64(w.get("value").text()).unwrap_or_default();
        s.write(w.get("key").text(), value, w.get("lease").number());
    }
    for k in body.get("remove").list() {
        s.remove(k.text());
    }
    shared.1.notify_all();
    answer(200, &format!(r#"{{"revision":{}}}"#, s.revision))
}

fn grant(shared: &(Mutex<State>, Condvar), body: &Value) -> Vec<u8> {
    let ttl_ms = body.get("ttl_ms").number().clamp(1000, 600_000);
    let ttl = Duration::from_millis(ttl_ms);
    let mut s = shared.0.lock().unwrap();
    s.last_lease += 1;
    let id = s.last_lease;
    s.leases.insert(id, (ttl, Instant::now() + ttl));
    answer(200, &format!(r#"{{"lease":{id},"ttl_ms":{ttl_ms}}}"#))
}

fn keep(shared: &(Mutex<State>, Condvar), id: &str) -> Vec<u8> {
    let mut s = shared.0.lock().unwrap();
    let lease = id.parse().ok().and_then(|id: u64| s.leases.get_mut(&id));
    match lease {
        Some(lease) => {
            lease.1 = Instant::now() + lease.0;
            answer(200, "{}")
        }
        None => answer(404, "{}"),
    }
}
