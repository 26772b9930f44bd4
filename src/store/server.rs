//! Stand-in for the platform's store: HTTP with JSON over the in-memory store, with faults and counters.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use dropshot::{
    endpoint, ApiDescription, Body, ConfigDropshot, HttpError, HttpResponseOk,
    HttpResponseUpdatedNoContent, HttpServer, RequestContext, ServerBuilder, TypedBody,
};
use http::Response;
use http_body::Frame;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use super::faults::Faults;
use super::faults::{FaultyStore, CLOSED};
use super::mem::MemStore;
use super::{Changes, Entry, LeaseId, Listing, Revision, Store, StoreError, Swap};
use crate::prelude::*;

/// A call to the store.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub enum Call {
    /// See [`Store::get`].
    Get(String),
    /// See [`Store::list`].
    List(String),
    /// See [`Store::swap`].
    Swap {
        /// Key.
        key: String,
        /// Expected revision, 0 for an absent key.
        expect: Revision,
        /// New value, or `None` to delete.
        value: Option<Vec<u8>>,
        /// Lease to attach.
        lease: Option<LeaseId>,
    },
    /// See [`Store::grant`]; milliseconds.
    Grant(u64),
    /// See [`Store::keep`].
    Keep(LeaseId),
    /// See [`Store::revoke`].
    Revoke(LeaseId),
    /// See [`Store::watch`].
    Watch {
        /// Key prefix.
        prefix: String,
        /// Revision after which changes are returned.
        from: Revision,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
    },
}

/// Answer to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub enum Answer {
    /// Answer to `Get`.
    Entry(Option<Entry>),
    /// Answer to `List`.
    Listing(Listing),
    /// Answer to `Swap`.
    Swap(Swap),
    /// Answer to `Grant`.
    Lease(LeaseId),
    /// Answer to `Keep` and `Revoke`.
    Done,
    /// Answer to `Watch`.
    Changes(Changes),
    /// The call failed.
    Error(StoreError),
}

/// Calls served since the start, by kind, and watches that wait now.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Stats {
    /// Reads (`Get` and `List`).
    pub reads: u64,
    /// Writes (`Swap` and lease calls).
    pub writes: u64,
    /// Watch calls.
    pub watches: u64,
    /// Watches that wait now.
    pub waiting: u64,
}

#[derive(Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    waiting: AtomicU64,
}

/// State of the stand-in server.
pub struct StandIn {
    store: Arc<FaultyStore>,
    counters: Counters,
}

impl StandIn {
    /// Creates a stand-in over a store.
    pub fn new(store: Arc<MemStore>) -> Self {
        Self {
            store: Arc::new(FaultyStore::new(store)),
            counters: Counters::default(),
        }
    }

    /// The store with its faults.
    pub fn store(&self) -> &Arc<FaultyStore> {
        &self.store
    }

    /// Serves one call.
    pub async fn serve(&self, call: Call) -> Answer {
        let c = &self.counters;
        let kind = match call {
            Call::Get(_) | Call::List(_) => &c.reads,
            Call::Watch { .. } => &c.watches,
            _ => &c.writes,
        };
        kind.fetch_add(1, Ordering::Relaxed);
        self.run(call).await.unwrap_or_else(Answer::Error)
    }

    async fn run(&self, call: Call) -> Result<Answer, StoreError> {
        let s = &self.store;
        Ok(match call {
            Call::Get(key) => Answer::Entry(s.get(&key).await?),
            Call::List(prefix) => Answer::Listing(s.list(&prefix).await?),
            Call::Swap {
                key,
                expect,
                value,
                lease,
            } => Answer::Swap(s.swap(&key, expect, value, lease).await?),
            Call::Grant(ms) => Answer::Lease(s.grant(Duration::from_millis(ms)).await?),
            Call::Keep(id) => s.keep(id).await.map(|()| Answer::Done)?,
            Call::Revoke(id) => s.revoke(id).await.map(|()| Answer::Done)?,
            Call::Watch {
                prefix,
                from,
                wait_ms,
            } => {
                let waiting = Waiting::new(&self.counters.waiting);
                let found = s.watch(&prefix, from, Duration::from_millis(wait_ms)).await;
                drop(waiting);
                Answer::Changes(found?)
            }
        })
    }

    /// Counters of this stand-in.
    pub fn stats(&self) -> Stats {
        let c = &self.counters;
        let load = |x: &AtomicU64| x.load(Ordering::Relaxed);
        Stats {
            reads: load(&c.reads),
            writes: load(&c.writes),
            watches: load(&c.watches),
            waiting: load(&c.waiting),
        }
    }
}

/// Counts a waiting watch for as long as it lives, also when its caller disconnects.
struct Waiting<'a>(&'a AtomicU64);

impl<'a> Waiting<'a> {
    fn new(n: &'a AtomicU64) -> Self {
        n.fetch_add(1, Ordering::Relaxed);
        Self(n)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

type Ctx = RequestContext<Arc<StandIn>>;

/// Serves one store call.
#[endpoint { method = POST, path = "/v1/call", request_body_max_bytes = 8 * 1024 * 1024 }]
async fn post_call(ctx: Ctx, body: TypedBody<Call>) -> Result<Response<Body>, HttpError> {
    let answer = ctx.context().serve(body.into_inner()).await;
    let body = match &answer {
        Answer::Error(StoreError::Unknown(m)) if m == CLOSED => Body::wrap(NoAnswer),
        a => serde_json::to_vec(a).unwrap_or_default().into(),
    };
    Response::builder()
        .header("content-type", "application/json")
        .body(body)
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// A body that fails at once. The HTTP server then closes the connection before it has sent the response head.
struct NoAnswer;

impl http_body::Body for NoAnswer {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Poll::Ready(Some(Err(std::io::ErrorKind::ConnectionAborted.into())))
    }
}

/// Replaces the injected faults.
#[endpoint { method = PUT, path = "/v1/faults" }]
async fn put_faults(
    ctx: Ctx,
    body: TypedBody<Faults>,
) -> Result<HttpResponseOk<Faults>, HttpError> {
    let new = body.into_inner();
    *ctx.context().store.faults() = new.clone();
    Ok(HttpResponseOk(new))
}

/// Ends all leases now.
#[endpoint { method = POST, path = "/v1/expire-leases" }]
async fn post_expire(ctx: Ctx) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    ctx.context().store.inner().expire_leases();
    Ok(HttpResponseUpdatedNoContent())
}

/// Keeps the present state for a later restore.
#[endpoint { method = POST, path = "/v1/save" }]
async fn post_save(ctx: Ctx) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    ctx.context().store.save();
    Ok(HttpResponseUpdatedNoContent())
}

/// Returns to the saved state, or to an empty store when none was saved.
#[endpoint { method = POST, path = "/v1/restore" }]
async fn post_restore(ctx: Ctx) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    ctx.context().store.restore();
    Ok(HttpResponseUpdatedNoContent())
}

/// Returns the call counters.
#[endpoint { method = GET, path = "/v1/stats" }]
async fn get_stats(ctx: Ctx) -> Result<HttpResponseOk<Stats>, HttpError> {
    Ok(HttpResponseOk(ctx.context().stats()))
}

/// Starts the stand-in server on `address`.
///
/// # Errors
///
/// A text that says why the server could not start.
pub fn start(
    address: SocketAddr,
    standin: Arc<StandIn>,
) -> Result<HttpServer<Arc<StandIn>>, String> {
    let mut api = ApiDescription::new();
    api.register(post_call).map_err(|e| e.to_string())?;
    api.register(put_faults).map_err(|e| e.to_string())?;
    api.register(post_expire).map_err(|e| e.to_string())?;
    api.register(post_save).map_err(|e| e.to_string())?;
    api.register(post_restore).map_err(|e| e.to_string())?;
    api.register(get_stats).map_err(|e| e.to_string())?;
    let log = crate::logging::dropshot_log();
    ServerBuilder::new(api, standin, log)
        .config(ConfigDropshot {
            bind_address: address,
            ..Default::default()
        })
        .start()
        .map_err(|e| e.to_string())
}
