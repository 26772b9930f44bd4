//! Client of the metadata store of the platform.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;

use crate::platform::store_messages::{
    decode, encode_query, new_write, unknown_outcome, ConflictResponse, Item, LeaseRequest,
    LeaseResponse, Precondition, RangeResponse, Transaction, WatchResponse, WriteResponse,
};
use crate::prelude::*;
use crate::store::{Changes, Entry, LeaseId, Listing, Revision, Store, StoreError, Swap};

/// Maximum size of a response, in bytes; a watch may deliver a series of whole configuration documents.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Client of the store's HTTP interface.
pub struct PlatformStore {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timeout: Duration,
}

impl PlatformStore {
    /// Creates a client; no connection is opened before the first call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT.min(timeout)));
        connector.set_nodelay(true);
        Self {
            // A write must never be sent twice, or its outcome would not be known.
            client: Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .pool_idle_timeout(IDLE_TIMEOUT)
                .retry_canceled_requests(false)
                .build(connector),
            address,
            timeout,
        }
    }

    /// Makes a call. After `timeout` the call is dropped, which closes its connection, so that a late response is never
    /// taken for the response to another call.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| StoreError::Invalid(e.to_string()))?;
        let exchange = async {
            let res = self
                .client
                .request(req)
                .await
                .map_err(|e| match e.is_connect() {
                    true => StoreError::Unavailable(e.to_string()),
                    false => unknown_outcome(e),
                })?;
            let status = res.status();
            let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES);
            let body = body.collect().await.map_err(unknown_outcome)?;
            Ok((status, body.to_bytes()))
        };
        let result = tokio::time::timeout(timeout, exchange).await;
        let timed_out =
            || StoreError::Unknown(format!("no response within {} ms", timeout.as_millis()));
        let (status, data) = result.map_err(|_| timed_out())??;
        match status {
            // The store did not process the call.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(StoreError::Unavailable(format!("status {status}")))
            }
            s if s.is_server_error() => Err(unknown_outcome(format!("status {s}"))),
            s => Ok((s, data)),
        }
    }

    async fn call_get(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        self.call(Method::GET, path, Bytes::new(), timeout).await
    }

    async fn call_post<T>(&self, path: &str, body: &T) -> Result<(StatusCode, Bytes), StoreError>
    where
        T: Serialize + Sync,
    {
        let body = serde_json::to_vec(body).map_err(|e| StoreError::Invalid(e.to_string()))?;
        self.call(Method::POST, path, body.into(), self.timeout)
            .await
    }

    /// Reads all pages of the keys with a prefix. `options` is appended to the query.
    async fn read_range(&self, prefix: &str, options: &str) -> Result<Listing, StoreError> {
        let mut out: Option<Listing> = None;
        let mut after = String::new();
        loop {
            let mut path = format!("/api/kv-range?prefix={}{options}", encode_query(prefix));
            if !after.is_empty() {
                path.push_str(&format!("&after={}", encode_query(&after)));
            }
            let page: RangeResponse = match self.call_get(&path, self.timeout).await? {
                (StatusCode::OK, data) => decode(&data)?,
                (s, _) => return Err(StoreError::Invalid(format!("status {s}"))),
            };
            // The pages are not one snapshot. A watch from the revision of the first page also delivers the changes
            // that later pages may already contain.
            let listing = out.get_or_insert_with(|| Listing {
                entries: Vec::new(),
                revision: page.at,
            });
            let has_next = page.has_more && !page.items.is_empty();
            for item in page.items {
                after.clone_from(&item.key);
                listing.entries.extend(item.readable(Item::entry));
            }
            if !has_next {
                return Ok(out.unwrap_or_default());
            }
        }
    }

    async fn run_transaction(&self, txn: &Transaction<'_>) -> Result<Swap, StoreError> {
        match self.call_post("/api/kv-txn", txn).await? {
            (StatusCode::OK, data) => Ok(Swap::Done(decode::<WriteResponse>(&data)?.revision)),
            (StatusCode::PRECONDITION_FAILED, data) => {
                let found = decode::<ConflictResponse>(&data)?.items;
                // The response also lists keys that do not exist, with revision 0 or as deleted.
                let found = found.into_iter().find(|i| i.revision > 0 && !i.deleted);
                Ok(Swap::Conflict(found.map(Item::entry).transpose()?))
            }
            (StatusCode::NOT_FOUND, _) => Err(StoreError::NoLease),
            (s, _) => Err(StoreError::Invalid(format!("status {s}"))),
        }
    }
}

#[async_trait]
impl Store for PlatformStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let path = format!("/api/kv-key?key={}", encode_query(key));
        match self.call_get(&path, self.timeout).await? {
            (StatusCode::OK, data) => decode::<Item>(&data)?.entry().map(Some),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (s, _) => Err(StoreError::Invalid(format!("status {s}"))),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.read_range(prefix, "").await
    }

    async fn list_stale(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.read_range(prefix, "&stale_ok=1").await
    }

    async fn swap(
        &self,
        key: &str,
        expect: Revision,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        let mut txn = Transaction {
            precondition: vec![Precondition {
                key,
                revision: expect,
            }],
            ..Transaction::default()
        };
        match &value {
            Some(value) => txn.writes.push(new_write(key, value, lease)?),
            None => txn.remove.push(key),
        }
        self.run_transaction(&txn).await
    }

    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        let txn = Transaction {
            writes: vec![new_write(key, &value, lease)?],
            ..Transaction::default()
        };
        match self.run_transaction(&txn).await? {
            Swap::Done(r) => Ok(r),
            Swap::Conflict(_) => Err(unknown_outcome(
                "unconditional write failed with a conflict",
            )),
        }
    }

    async fn remove(&self, key: &str) -> Result<(), StoreError> {
        let txn = Transaction {
            remove: vec![key],
            ..Transaction::default()
        };
        self.run_transaction(&txn).await.map(drop)
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let grant = LeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        };
        match self.call_post("/api/kv-lease", &grant).await? {
            (s, data) if s.is_success() => Ok(decode::<LeaseResponse>(&data)?.lease),
            (s, _) => Err(StoreError::Invalid(format!("status {s}"))),
        }
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("/api/kv-keep/{lease}");
        match self.call_post(&path, &serde_json::json!({})).await? {
            (s, _) if s.is_success() => Ok(()),
            (StatusCode::NOT_FOUND, _) => Err(StoreError::NoLease),
            (s, _) => Err(StoreError::Invalid(format!("status {s}"))),
        }
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("/api/kv-lease-end/{lease}");
        let out = self.call(Method::DELETE, &path, Bytes::new(), self.timeout);
        out.await.map(drop)
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let ms = wait.as_millis();
        let path = format!(
            "/api/kv-watch?prefix={}&after={from}&wait_ms={ms}",
            encode_query(prefix)
        );
        let (status, data) = self.call_get(&path, wait + self.timeout).await?;
        match status {
            StatusCode::OK => {
                let w: WatchResponse = decode(&data)?;
                let events = w.events.into_iter();
                Ok(Changes {
                    events: events.filter_map(|i| i.readable(Item::event)).collect(),
                    revision: w.at,
                })
            }
            StatusCode::GONE => Err(StoreError::Compacted),
            s => Err(StoreError::Invalid(format!("status {s}"))),
        }
    }
}
