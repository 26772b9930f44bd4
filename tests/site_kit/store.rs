//! Stand-in for the platform's store: serves its published calls from an in-memory store, with faults.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::Bytes;
use dragonflyquay::store::mem::{MemStore, SavedState};
use dragonflyquay::store::{Entry, Era, Event, LeaseId, Revision, Store, StoreError, Swap};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::sync::watch;

/// Faults of the store.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Responds to all calls with status 503.
    pub unavailable: bool,
    /// Does not respond to any call, including those that were waiting before.
    pub unresponsive: bool,
    /// Number of writes whose responses are lost after the writes took effect.
    pub lost_write_responses: u32,
    /// The next watch gets status 410.
    pub compacted: bool,
}

/// Era that the stand-in names in its responses before its first drill.
#[derive(Debug, Clone, Copy)]
pub struct FirstEra(pub u64);

impl Default for FirstEra {
    fn default() -> Self {
        Self(1)
    }
}

/// An address of the stand-in with faults of its own, for the nodes that a test cuts off from the store.
#[derive(Clone)]
pub struct Entrance {
    pub address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
}

impl Entrance {
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap() = faults;
    }
}

/// A running stand-in.
pub struct KvServer {
    pub address: SocketAddr,
    pub store: Arc<MemStore>,
    pub faults: Arc<Mutex<Faults>>,
    calls: Arc<Mutex<Vec<String>>>,
    /// Closes all connections when it changes.
    cut: watch::Sender<()>,
    first_era: FirstEra,
    runtime: tokio::runtime::Runtime,
}

impl KvServer {
    pub fn start() -> Self {
        Self::start_in(FirstEra::default())
    }

    pub fn start_in(first_era: FirstEra) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let (store, calls) = (Arc::default(), Arc::default());
        let cut = watch::channel(()).0;
        let entrance = open_entrance(&runtime, &store, &calls, &cut, first_era);
        Self {
            address: entrance.address,
            store,
            faults: entrance.faults,
            calls,
            cut,
            first_era,
            runtime,
        }
    }

    /// Opens another address of the same store.
    pub fn add_entrance(&self) -> Entrance {
        let Self { store, calls, .. } = self;
        open_entrance(&self.runtime, store, calls, &self.cut, self.first_era)
    }

    /// Comes back from an older copy, as in a drill: the connections are closed, the era rises, and revisions and lease
    /// ids are given out again.
    pub fn drill(&self, copy: SavedState) {
        self.store.restore(copy);
        self.cut.send_replace(());
    }

    /// Writes the operator's configuration.
    pub fn put_config(&self, text: &str) {
        let put = self.store.put("op/config", text.as_bytes().to_vec(), None);
        self.runtime.block_on(put).unwrap();
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let list = self.runtime.block_on(self.store.list(prefix)).unwrap();
        list.entries.into_iter().map(|e| e.key).collect()
    }

    /// Keys with a prefix, and their values.
    pub fn entries(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let list = self.runtime.block_on(self.store.list(prefix)).unwrap();
        let entries = list.entries.into_iter();
        entries.map(|e| (e.key, e.value)).collect()
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let found = self.runtime.block_on(self.store.get(key)).unwrap();
        found.map(|e| e.value)
    }

    pub fn put(&self, key: &str, value: &[u8]) {
        let put = self.store.put(key, value.to_vec(), None);
        self.runtime.block_on(put).unwrap();
    }

    pub fn remove(&self, key: &str) {
        self.runtime.block_on(self.store.remove(key)).unwrap();
    }

    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap() = faults;
    }

    /// Calls so far, as method, path and query.
    pub fn calls(&self) -> Vec<String> {
        self.calls.lock().unwrap().clone()
    }
}

fn open_entrance(
    runtime: &tokio::runtime::Runtime,
    store: &Arc<MemStore>,
    calls: &Arc<Mutex<Vec<String>>>,
    cut: &watch::Sender<()>,
    FirstEra(first_era): FirstEra,
) -> Entrance {
    let listener = runtime
        .block_on(tokio::net::TcpListener::bind("127.0.0.1:0"))
        .unwrap();
    let entrance = Entrance {
        address: listener.local_addr().unwrap(),
        faults: Arc::default(),
    };
    let (store, calls) = (store.clone(), calls.clone());
    let (faults, cut) = (entrance.faults.clone(), cut.clone());
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (store, faults, calls) = (store.clone(), faults.clone(), calls.clone());
            let mut cut = cut.subscribe();
            tokio::spawn(async move {
                let service = service_fn(move |req| {
                    let (store, faults, calls) = (store.clone(), faults.clone(), calls.clone());
                    async move {
                        let era = era_of(&store);
                        let res = respond(&store, &faults, &calls, req).await;
                        // A call that gets no response never finishes, also after the fault has ended.
                        let Some(mut res) = res.filter(|_| era_of(&store) == era) else {
                            return std::future::pending().await;
                        };
                        let headers = res.headers_mut();
                        headers.insert("store-era", (first_era + era.0).into());
                        Ok::<_, Infallible>(res)
                    }
                });
                let http = hyper::server::conn::http1::Builder::new();
                tokio::select! {
                    _ = http.serve_connection(TokioIo::new(stream), service) => {}
                    _ = cut.changed() => {}
                }
            });
        }
    });
    entrance
}

fn era_of(store: &MemStore) -> Era {
    *store.era().borrow()
}

type KvResponse = http::Response<Full<Bytes>>;

fn response(status: u16, v: &Value) -> Option<KvResponse> {
    let res = http::Response::builder().status(status);
    Some(res.body(Full::from(v.to_string())).unwrap())
}

fn item_json(e: &Entry) -> Value {
    json!({"key": e.key, "value": STANDARD.encode(&e.value), "revision": e.revision.number(),
           "created": e.revision.number(), "lease": 0})
}

fn event_json(e: &Event) -> Value {
    match &e.value {
        Some(v) => {
            json!({"key": e.key, "value": STANDARD.encode(v), "revision": e.revision.number(),
                          "created": e.revision.number(), "lease": 0})
        }
        None => json!({"key": e.key, "revision": e.revision.number(), "deleted": true}),
    }
}

fn query_param(query: &str, name: &str) -> String {
    let found = query.split('&').filter_map(|p| p.split_once('='));
    let found = found.filter(|(k, _)| *k == name).map(|(_, v)| v).next();
    let mut out = Vec::new();
    let mut bytes = found.unwrap_or_default().bytes();
    while let Some(b) = bytes.next() {
        match b {
            b'%' => {
                let hex: String = bytes.by_ref().take(2).map(char::from).collect();
                out.push(u8::from_str_radix(&hex, 16).unwrap());
            }
            b => out.push(b),
        }
    }
    String::from_utf8(out).unwrap()
}

async fn respond(
    store: &MemStore,
    faults: &Mutex<Faults>,
    calls: &Mutex<Vec<String>>,
    req: http::Request<Incoming>,
) -> Option<KvResponse> {
    let (parts, body) = req.into_parts();
    let (path, query) = (parts.uri.path(), parts.uri.query().unwrap_or_default());
    calls
        .lock()
        .unwrap()
        .push(format!("{} {path}?{query}", parts.method));
    let body = body.collect().await.ok()?.to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let active_faults = faults.lock().unwrap().clone();
    if active_faults.unresponsive {
        return None;
    }
    if active_faults.unavailable {
        return response(503, &json!({}));
    }
    let res = match (parts.method.as_str(), path) {
        ("GET", "/api/kv-key") => match store.get(&query_param(query, "key")).await.ok()? {
            Some(e) => response(200, &item_json(&e)),
            None => response(404, &json!({})),
        },
        ("GET", "/api/kv-range") => range(store, query).await,
        ("GET", "/api/kv-watch") => watch(store, faults, query).await,
        ("POST", "/api/kv-txn") => run_transaction(store, faults, &body).await,
        ("POST", "/api/kv-lease") => {
            let ttl = Duration::from_millis(body["ttl_ms"].as_u64()?);
            let lease = store.grant_lease(ttl).await.ok()?;
            response(
                200,
                &json!({"lease": lease.number(), "ttl_ms": body["ttl_ms"]}),
            )
        }
        ("POST", p) => {
            let id = p.strip_prefix("/api/kv-keep/")?.parse().ok()?;
            let id = LeaseId::new(era_of(store), id);
            match store.renew_lease(id).await {
                Ok(()) => response(200, &json!({"ttl_ms": 1})),
                Err(_) => response(404, &json!({})),
            }
        }
        ("DELETE", p) => {
            let id = p.strip_prefix("/api/kv-lease-end/")?.parse().ok()?;
            let id = LeaseId::new(era_of(store), id);
            let _ = store.revoke_lease(id).await;
            response(200, &json!({}))
        }
        _ => response(400, &json!({})),
    };
    // The fault also applies to calls that were waiting when it began.
    match faults.lock().unwrap().unresponsive {
        true => None,
        false => res,
    }
}

/// Responds with pages of two items, so that tests get several pages.
async fn range(store: &MemStore, query: &str) -> Option<KvResponse> {
    let list = store.list(&query_param(query, "prefix")).await.ok()?;
    let after = query_param(query, "after");
    let following: Vec<_> = list.entries.iter().filter(|e| e.key > after).collect();
    let items: Vec<_> = following.iter().take(2).map(|e| item_json(e)).collect();
    let has_more = following.len() > 2;
    response(
        200,
        &json!({"items": items, "has_more": has_more, "at": list.revision.number()}),
    )
}

async fn watch(store: &MemStore, faults: &Mutex<Faults>, query: &str) -> Option<KvResponse> {
    let wait = Duration::from_millis(query_param(query, "wait_ms").parse().ok()?);
    let from = query_param(query, "after").parse().ok()?;
    let from = Revision::new(era_of(store), from);
    if std::mem::take(&mut faults.lock().unwrap().compacted) {
        return response(410, &json!({}));
    }
    match store.watch(&query_param(query, "prefix"), from, wait).await {
        Ok(c) => {
            let events: Vec<_> = c.events.iter().map(event_json).collect();
            response(200, &json!({"events": events, "at": c.revision.number()}))
        }
        Err(_) => response(410, &json!({})),
    }
}

/// Runs one write or removal with at most one precondition; the program sends no other transactions.
async fn run_transaction(
    store: &MemStore,
    faults: &Mutex<Faults>,
    body: &Value,
) -> Option<KvResponse> {
    let write = &body["writes"][0];
    let removal = body["remove"][0].as_str();
    let key = write["key"].as_str().or(removal)?;
    let value = match write["value"].as_str() {
        Some(v) => Some(STANDARD.decode(v).ok()?),
        None => None,
    };
    let lease = write["lease"].as_u64().filter(|l| *l > 0);
    let lease = lease.map(|l| LeaseId::new(era_of(store), l));
    let condition = &body["precondition"][0];
    let out = match (condition["revision"].as_u64(), value) {
        (Some(0), value) => store.swap(key, Revision::ABSENT, value, lease).await,
        (Some(expect), value) => {
            let expect = Revision::new(era_of(store), expect);
            store.swap(key, expect, value, lease).await
        }
        (None, Some(value)) => store.put(key, value, lease).await.map(Swap::Done),
        (None, None) => store
            .remove(key)
            .await
            .map(|()| Swap::Done(Revision::ABSENT)),
    };
    let mut f = faults.lock().unwrap();
    if f.lost_write_responses > 0 {
        f.lost_write_responses -= 1;
        return None;
    }
    match out {
        Ok(Swap::Done(r)) => response(200, &json!({"revision": r.number()})),
        Ok(Swap::Conflict(Some(e))) => response(412, &json!({"items": [item_json(&e)]})),
        Ok(Swap::Conflict(None)) => response(412, &json!({"items": [{"key": key, "revision": 0}]})),
        Err(StoreError::NoLease) => response(404, &json!({})),
        Err(_) => response(400, &json!({})),
    }
}
