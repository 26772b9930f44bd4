//! Stand-in of the platform's store: its published calls over an in-memory store, with faults.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::Bytes;
use dragonflyquay::store::mem::MemStore;
use dragonflyquay::store::{Entry, Event, Store, StoreError, Swap};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};

/// What the store does wrong.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Answers 503.
    pub busy: bool,
    /// Answers nothing, also not to what it was asked before.
    pub silent: bool,
    /// The answers of this number of writes are lost after they took effect.
    pub lose_writes: u32,
    /// Watches get 410 until they begin again.
    pub compacted: bool,
}

/// A running stand-in.
pub struct KvServer {
    pub address: SocketAddr,
    pub store: Arc<MemStore>,
    pub faults: Arc<Mutex<Faults>>,
    calls: Arc<Mutex<Vec<String>>>,
    runtime: tokio::runtime::Runtime,
}

impl KvServer {
    pub fn start() -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let listener = runtime
            .block_on(tokio::net::TcpListener::bind("127.0.0.1:0"))
            .unwrap();
        let address = listener.local_addr().unwrap();
        let server = Self {
            address,
            store: Arc::default(),
            faults: Arc::default(),
            calls: Arc::default(),
            runtime,
        };
        let (store, faults) = (server.store.clone(), server.faults.clone());
        let calls = server.calls.clone();
        server.runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (store, faults, calls) = (store.clone(), faults.clone(), calls.clone());
                tokio::spawn(async move {
                    let service = service_fn(move |req| {
                        let (store, faults, calls) = (store.clone(), faults.clone(), calls.clone());
                        async move {
                            let res = answer(&store, &faults, &calls, req).await;
                            // Silence lasts for what was asked during it.
                            if res.is_none() {
                                std::future::pending::<()>().await;
                            }
                            Ok::<_, Infallible>(res.unwrap_or_default())
                        }
                    });
                    let http = hyper::server::conn::http1::Builder::new();
                    let _ = http.serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        server
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

    pub fn set(&self, faults: Faults) {
        *self.faults.lock().unwrap() = faults;
    }

    /// Calls so far, as method and path without the query.
    pub fn calls(&self) -> Vec<String> {
        self.calls.lock().unwrap().clone()
    }
}

type Res = http::Response<Full<Bytes>>;

fn reply(status: u16, v: &Value) -> Option<Res> {
    let res = http::Response::builder().status(status);
    Some(res.body(Full::from(v.to_string())).unwrap())
}

fn item(e: &Entry) -> Value {
    json!({"key": e.key, "value": STANDARD.encode(&e.value), "revision": e.revision,
           "created": e.revision, "lease": 0})
}

fn event(e: &Event) -> Value {
    match &e.value {
        Some(v) => json!({"key": e.key, "value": STANDARD.encode(v), "revision": e.revision,
                          "created": e.revision, "lease": 0}),
        None => json!({"key": e.key, "revision": e.revision, "deleted": true}),
    }
}

fn param(query: &str, name: &str) -> String {
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

async fn answer(
    store: &MemStore,
    faults: &Mutex<Faults>,
    calls: &Mutex<Vec<String>>,
    req: http::Request<Incoming>,
) -> Option<Res> {
    let (parts, body) = req.into_parts();
    let (path, query) = (parts.uri.path(), parts.uri.query().unwrap_or_default());
    calls
        .lock()
        .unwrap()
        .push(format!("{} {path}", parts.method));
    let body = body.collect().await.ok()?.to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let before = faults.lock().unwrap().clone();
    if before.silent {
        return None;
    }
    if before.busy {
        return reply(503, &json!({}));
    }
    let res = match (parts.method.as_str(), path) {
        ("GET", "/api/kv-key") => match store.get(&param(query, "key")).await.ok()? {
            Some(e) => reply(200, &item(&e)),
            None => reply(404, &json!({})),
        },
        ("GET", "/api/kv-range") => range(store, query).await,
        ("GET", "/api/kv-watch") => watch(store, faults, query).await,
        ("POST", "/api/kv-txn") => txn(store, faults, &body).await,
        ("POST", "/api/kv-lease") => {
            let ttl = Duration::from_millis(body["ttl_ms"].as_u64()?);
            let lease = store.grant_lease(ttl).await.ok()?;
            reply(200, &json!({"lease": lease, "ttl_ms": body["ttl_ms"]}))
        }
        ("POST", p) => {
            let id = p.strip_prefix("/api/kv-keep/")?.parse().ok()?;
            match store.renew_lease(id).await {
                Ok(()) => reply(200, &json!({"ttl_ms": 1})),
                Err(_) => reply(404, &json!({})),
            }
        }
        ("DELETE", p) => {
            let id = p.strip_prefix("/api/kv-lease-end/")?.parse().ok()?;
            let _ = store.revoke_lease(id).await;
            reply(200, &json!({}))
        }
        _ => reply(400, &json!({})),
    };
    // An answer that waited when the silence began never comes.
    match faults.lock().unwrap().silent {
        true => None,
        false => res,
    }
}

/// Pages of two items, so that tests see several.
async fn range(store: &MemStore, query: &str) -> Option<Res> {
    let list = store.list(&param(query, "prefix")).await.ok()?;
    let after = param(query, "after");
    let rest: Vec<_> = list.entries.iter().filter(|e| e.key > after).collect();
    let items: Vec<_> = rest.iter().take(2).map(|e| item(e)).collect();
    let more = rest.len() > 2;
    reply(
        200,
        &json!({"items": items, "has_more": more, "at": list.revision}),
    )
}

async fn watch(store: &MemStore, faults: &Mutex<Faults>, query: &str) -> Option<Res> {
    let wait = Duration::from_millis(param(query, "wait_ms").parse().ok()?);
    let from = param(query, "after").parse().ok()?;
    if std::mem::take(&mut faults.lock().unwrap().compacted) {
        return reply(410, &json!({}));
    }
    match store.watch(&param(query, "prefix"), from, wait).await {
        Ok(c) => {
            let events: Vec<_> = c.events.iter().map(event).collect();
            reply(200, &json!({"events": events, "at": c.revision}))
        }
        Err(_) => reply(410, &json!({})),
    }
}

/// One write or removal with at most one condition, which is all that the product sends.
async fn txn(store: &MemStore, faults: &Mutex<Faults>, body: &Value) -> Option<Res> {
    let write = &body["writes"][0];
    let removal = body["remove"][0].as_str();
    let key = write["key"].as_str().or(removal)?;
    let value = match write["value"].as_str() {
        Some(v) => Some(STANDARD.decode(v).ok()?),
        None => None,
    };
    let lease = write["lease"].as_u64().filter(|l| *l > 0);
    let condition = &body["precondition"][0];
    let out = match (condition["revision"].as_u64(), value) {
        (Some(expect), value) => store.swap(key, expect, value, lease).await,
        (None, Some(value)) => store.put(key, value, lease).await.map(Swap::Done),
        (None, None) => store.remove(key).await.map(|()| Swap::Done(0)),
    };
    let mut f = faults.lock().unwrap();
    if f.lose_writes > 0 {
        f.lose_writes -= 1;
        return None;
    }
    match out {
        Ok(Swap::Done(r)) => reply(200, &json!({"revision": r})),
        Ok(Swap::Conflict(Some(e))) => reply(412, &json!({"items": [item(&e)]})),
        Ok(Swap::Conflict(None)) => reply(412, &json!({"items": [{"key": key, "revision": 0}]})),
        Err(StoreError::NoLease) => reply(404, &json!({})),
        Err(_) => reply(400, &json!({})),
    }
}
