//! Client of the metadata store of the platform.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use tokio::sync::watch;

use crate::platform::store_messages::{
    decode, encode_query, new_write, unknown_outcome, ConflictResponse, Item, LeaseRequest,
    LeaseResponse, Precondition, RangeResponse, Transaction, WatchResponse, Write, WriteResponse,
};
use crate::prelude::*;
use crate::store::era::EraTracker;
use crate::store::{Changes, Entry, Era, LeaseId, Listing, Revision, Store, StoreError, Swap};

/// Response header with the era of the store.
const ERA_HEADER: &str = "store-era";

/// Maximum size of a response, in bytes; a watch may deliver a series of whole configuration documents.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Client of the store's HTTP interface.
pub struct PlatformStore {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timeout: Duration,
    era: EraTracker,
}

/// Response of the store to a call that it processed.
struct Answer {
    status: StatusCode,
    data: Bytes,
    /// Era in which the store processed the call.
    era: Era,
}

impl Answer {
    fn unexpected(&self) -> StoreError {
        StoreError::Invalid(format!("status {}", self.status))
    }
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
            era: EraTracker::default(),
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
    ) -> Result<Answer, StoreError> {
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
            let era = self.observe_era(res.headers())?;
            let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES);
            let body = body.collect().await.map_err(unknown_outcome)?;
            let data = body.to_bytes();
            Ok(Answer { status, data, era })
        };
        let result = tokio::time::timeout(timeout, exchange).await;
        let timed_out =
            || StoreError::Unknown(format!("no response within {} ms", timeout.as_millis()));
        let answer = result.map_err(|_| timed_out())??;
        match answer.status {
            // The store did not process the call.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(StoreError::Unavailable(format!("status {}", answer.status)))
            }
            s if s.is_server_error() => Err(unknown_outcome(format!("status {s}"))),
            _ => Ok(answer),
        }
    }

    /// Records the era that a response names. One that names none is of the latest era.
    fn observe_era(&self, headers: &HeaderMap) -> Result<Era, StoreError> {
        let Some(value) = headers.get(ERA_HEADER) else {
            return Ok(self.era.latest());
        };
        let number = value.to_str().ok().and_then(|v| v.trim().parse().ok());
        let era = number
            .map(Era)
            .ok_or_else(|| unknown_outcome(format!("{ERA_HEADER} {value:?} is not a number")))?;
        self.era.observe(era)?;
        Ok(era)
    }

    async fn call_get(&self, path: &str, timeout: Duration) -> Result<Answer, StoreError> {
        self.call(Method::GET, path, Bytes::new(), timeout).await
    }

    async fn call_post<T>(&self, path: &str, body: &T) -> Result<Answer, StoreError>
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
            let answer = self.call_get(&path, self.timeout).await?;
            let page: RangeResponse = match answer.status {
                StatusCode::OK => decode(&answer.data)?,
                _ => return Err(answer.unexpected()),
            };
            // The pages are not one snapshot. A watch from the revision of the first page also delivers the changes
            // that later pages may already contain.
            let listing = out.get_or_insert_with(|| Listing {
                entries: Vec::new(),
                revision: Revision::new(answer.era, page.at),
            });
            if listing.revision.era() != answer.era {
                return Err(unknown_outcome("the store began a new era between pages"));
            }
            let has_next = page.has_more && !page.items.is_empty();
            for item in page.items {
                after.clone_from(&item.key);
                let entry = item.readable(|i| i.entry(answer.era));
                listing.entries.extend(entry);
            }
            if !has_next {
                return Ok(out.unwrap_or_default());
            }
        }
    }

    async fn run_transaction(&self, txn: &Transaction<'_>) -> Result<(Swap, Era), StoreError> {
        let Answer { status, data, era } = self.call_post("/api/kv-txn", txn).await?;
        let swap = match status {
            StatusCode::OK => {
                let written: WriteResponse = decode(&data)?;
                Swap::Done(Revision::new(era, written.revision))
            }
            StatusCode::PRECONDITION_FAILED => {
                let found = decode::<ConflictResponse>(&data)?.items;
                // The response also lists keys that do not exist, with revision 0 or as deleted.
                let found = found.into_iter().find(|i| i.revision > 0 && !i.deleted);
                Swap::Conflict(found.map(|i| i.entry(era)).transpose()?)
            }
            StatusCode::NOT_FOUND => return Err(StoreError::NoLease),
            s => return Err(StoreError::Invalid(format!("status {s}"))),
        };
        Ok((swap, era))
    }

    /// Number of a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::NoLease`] if the lease is of an earlier era, in which its number may stand for another lease.
    fn lease_number(&self, lease: LeaseId) -> Result<u64, StoreError> {
        match lease.era() == self.era.latest() {
            true => Ok(lease.number()),
            false => Err(StoreError::NoLease),
        }
    }

    /// Creates a write of a key.
    fn new_write<'a>(
        &self,
        key: &'a str,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<Write<'a>, StoreError> {
        let lease = lease.map(|l| self.lease_number(l)).transpose()?;
        new_write(key, value, lease)
    }
}

/// Error of a write whose response shows that the store has begun a new era. The numbers that were sent may have stood for
/// something else.
fn new_era() -> StoreError {
    unknown_outcome("the store began a new era during the call")
}

#[async_trait]
impl Store for PlatformStore {
    fn era(&self) -> watch::Receiver<Era> {
        self.era.subscribe()
    }

    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let path = format!("/api/kv-key?key={}", encode_query(key));
        let answer = self.call_get(&path, self.timeout).await?;
        match answer.status {
            StatusCode::OK => decode::<Item>(&answer.data)?.entry(answer.era).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(answer.unexpected()),
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
        if !expect.is_valid_in(self.era.latest()) {
            return self.get(key).await.map(Swap::Conflict);
        }
        let mut txn = Transaction {
            precondition: vec![Precondition {
                key,
                revision: expect.number(),
            }],
            ..Transaction::default()
        };
        match &value {
            Some(value) => txn.writes.push(self.new_write(key, value, lease)?),
            None => txn.remove.push(key),
        }
        let (swap, era) = self.run_transaction(&txn).await?;
        let done = matches!(swap, Swap::Done(_));
        match done && !(expect.is_valid_in(era) && is_of_era(lease, era)) {
            true => Err(new_era()),
            false => Ok(swap),
        }
    }

    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        let txn = Transaction {
            writes: vec![self.new_write(key, &value, lease)?],
            ..Transaction::default()
        };
        match self.run_transaction(&txn).await? {
            (Swap::Done(_), era) if !is_of_era(lease, era) => Err(new_era()),
            (Swap::Done(r), _) => Ok(r),
            (Swap::Conflict(_), _) => Err(unknown_outcome(
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
        let answer = self.call_post("/api/kv-lease", &grant).await?;
        match answer.status {
            s if s.is_success() => {
                let granted: LeaseResponse = decode(&answer.data)?;
                Ok(LeaseId::new(answer.era, granted.lease))
            }
            _ => Err(answer.unexpected()),
        }
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("/api/kv-keep/{}", self.lease_number(lease)?);
        let answer = self.call_post(&path, &serde_json::json!({})).await?;
        match answer.status {
            // The lease that was renewed is another one with the same number.
            _ if answer.era != lease.era() => Err(StoreError::NoLease),
            s if s.is_success() => Ok(()),
            StatusCode::NOT_FOUND => Err(StoreError::NoLease),
            _ => Err(answer.unexpected()),
        }
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let Ok(number) = self.lease_number(lease) else {
            return Ok(());
        };
        let path = format!("/api/kv-lease-end/{number}");
        let out = self.call(Method::DELETE, &path, Bytes::new(), self.timeout);
        out.await.map(drop)
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        if from.era() != self.era.latest() {
            return Err(StoreError::Compacted);
        }
        let path = format!(
            "/api/kv-watch?prefix={}&after={}&wait_ms={}",
            encode_query(prefix),
            from.number(),
            wait.as_millis()
        );
        let answer = self.call_get(&path, wait + self.timeout).await?;
        let era = answer.era;
        match answer.status {
            _ if era != from.era() => Err(StoreError::Compacted),
            StatusCode::OK => {
                let w: WatchResponse = decode(&answer.data)?;
                let events = w.events.into_iter();
                Ok(Changes {
                    events: events
                        .filter_map(|i| i.readable(|i| i.event(era)))
                        .collect(),
                    revision: Revision::new(era, w.at),
                })
            }
            StatusCode::GONE => Err(StoreError::Compacted),
            _ => Err(answer.unexpected()),
        }
    }
}

fn is_of_era(lease: Option<LeaseId>, era: Era) -> bool {
    lease.is_none_or(|l| l.era() == era)
}
