//! Stand-in for the platform's store: serves the in-memory store over HTTP and JSON, with injected faults and counters.

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
use super::faults::{FaultyStore, CLOSE_ERROR};
use super::mem::MemStore;
use super::{Changes, Entry, LeaseId, Listing, Revision, Store, StoreError, Swap};
use crate::prelude::*;

/// Response header with the era of the store.
pub const ERA_HEADER: &str = "dq-store-era";

/// A call to the store, the body of a request.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub enum Call {
    /// See [`Store::get`].
    Get(String),
    /// See [`Store::list`].
    List(String),
    /// See [`Store::swap`].
    Swap {
        /// Key to write or delete.
        key: String,
        /// Expected revision, 0 for an absent key.
        expect: Revision,
        /// New value, or `None` to delete.
        value: Option<Vec<u8>>,
        /// Lease to which the key is attached.
        lease: Option<LeaseId>,
    },
    /// See [`Store::grant_lease`]; time to live in milliseconds.
    Grant(u64),
    /// See [`Store::renew_lease`].
    Keep(LeaseId),
    /// See [`Store::revoke_lease`].
    Revoke(LeaseId),
    /// See [`Store::watch`].
    Watch {
        /// Prefix of the keys to watch.
        prefix: String,
        /// Revision after which changes are returned.
        from: Revision,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
    },
}

/// Response to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Answer")]
pub enum CallResponse {
    /// Response to `Get`.
    Entry(Option<Entry>),
    /// Response to `List`.
    Listing(Listing),
    /// Response to `Swap`.
    Swap(Swap),
    /// Response to `Grant`.
    Lease(LeaseId),
    /// Response to `Keep` and `Revoke`.
    Done,
    /// Response to `Watch`.
    Changes(Changes),
    /// The call failed.
    Error(StoreError),
}

/// Calls served since the start by kind, and the watches that are waiting.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Stats {
    /// Reads (`Get` and `List`).
    pub reads: u64,
    /// Writes (`Swap`, `Grant`, `Keep` and `Revoke`).
    pub writes: u64,
    /// Watch calls (`Watch`).
    pub watches: u64,
    /// Watches that are waiting.
    pub waiting: u64,
}

#[derive(Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    waiting: AtomicU64,
}

/// State of the stand-in server: the store and the counters.
pub struct StandInStore {
    store: Arc<FaultyStore>,
    counters: Counters,
}

impl StandInStore {
    /// Creates a stand-in over a store, without injected faults and with all counters at 0.
    pub fn new(store: Arc<MemStore>) -> Self {
        Self {
            store: Arc::new(FaultyStore::new(store)),
            counters: Counters::default(),
        }
    }

    /// The store, with its injected faults.
    pub fn store(&self) -> &Arc<FaultyStore> {
        &self.store
    }

    /// Counts and runs one call.
    pub async fn serve(&self, call: Call) -> CallResponse {
        let c = &self.counters;
        let counter = match call {
            Call::Get(_) | Call::List(_) => &c.reads,
            Call::Watch { .. } => &c.watches,
            _ => &c.writes,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        self.run(call).await.unwrap_or_else(CallResponse::Error)
    }

    async fn run(&self, call: Call) -> Result<CallResponse, StoreError> {
        let s = &self.store;
        Ok(match call {
            Call::Get(key) => CallResponse::Entry(s.get(&key).await?),
            Call::List(prefix) => CallResponse::Listing(s.list(&prefix).await?),
            Call::Swap {
                key,
                expect,
                value,
                lease,
            } => CallResponse::Swap(s.swap(&key, expect, value, lease).await?),
            Call::Grant(ms) => CallResponse::Lease(s.grant_lease(Duration::from_millis(ms)).await?),
            Call::Keep(id) => s.renew_lease(id).await.map(|()| CallResponse::Done)?,
            Call::Revoke(id) => s.revoke_lease(id).await.map(|()| CallResponse::Done)?,
            Call::Watch {
                prefix,
                from,
                wait_ms,
            } => {
                let guard = WaitingGuard::new(&self.counters.waiting);
                let changes = s.watch(&prefix, from, Duration::from_millis(wait_ms)).await;
                drop(guard);
                CallResponse::Changes(changes?)
            }
        })
    }

    /// Number of calls since the start by kind, and of the watches that are waiting.
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

/// Counts a watch as waiting until dropped, also when the caller disconnects.
struct WaitingGuard<'a>(&'a AtomicU64);

impl<'a> WaitingGuard<'a> {
    fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

type Ctx = RequestContext<Arc<StandInStore>>;

/// Serves one store call.
#[endpoint { method = POST, path = "/v1/call", request_body_max_bytes = 8 * 1024 * 1024 }]
async fn post_call(ctx: Ctx, body: TypedBody<Call>) -> Result<Response<Body>, HttpError> {
    let response = ctx.context().serve(body.into_inner()).await;
    let era = *ctx.context().store.era().borrow();
    let body = match &response {
        CallResponse::Error(StoreError::Unknown(m)) if m == CLOSE_ERROR => Body::wrap(FailingBody),
        r => serde_json::to_vec(r).unwrap_or_default().into(),
    };
    Response::builder()
        .header("content-type", "application/json")
        .header(ERA_HEADER, era.0)
        .body(body)
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// A response body whose first read fails, so that the HTTP server closes the connection before it sends the head.
struct FailingBody;

impl http_body::Body for FailingBody {
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
    let faults = body.into_inner();
    *ctx.context().store.faults() = faults.clone();
    Ok(HttpResponseOk(faults))
}

/// Ends all leases now.
#[endpoint { method = POST, path = "/v1/expire-leases" }]
async fn post_expire(ctx: Ctx) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    ctx.context().store.inner().expire_leases();
    Ok(HttpResponseUpdatedNoContent())
}

/// Saves the current state for a later restore.
#[endpoint { method = POST, path = "/v1/save" }]
async fn post_save(ctx: Ctx) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    ctx.context().store.save();
    Ok(HttpResponseUpdatedNoContent())
}

/// Restores the saved state, or empties the store if none was saved.
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
/// A message that says why the server could not start.
pub fn start(
    address: SocketAddr,
    stand_in: Arc<StandInStore>,
) -> Result<HttpServer<Arc<StandInStore>>, String> {
    let mut api = ApiDescription::new();
    api.register(post_call).map_err(|e| e.to_string())?;
    api.register(put_faults).map_err(|e| e.to_string())?;
    api.register(post_expire).map_err(|e| e.to_string())?;
    api.register(post_save).map_err(|e| e.to_string())?;
    api.register(post_restore).map_err(|e| e.to_string())?;
    api.register(get_stats).map_err(|e| e.to_string())?;
    let log = crate::logging::dropshot_log();
    ServerBuilder::new(api, stand_in, log)
        .config(ConfigDropshot {
            bind_address: address,
            ..Default::default()
        })
        .start()
        .map_err(|e| e.to_string())
}
