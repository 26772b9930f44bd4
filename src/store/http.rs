//! Store adapter: HTTP with JSON.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use super::server::{Answer, Call};
use super::{Changes, Entry, LeaseId, Listing, Revision, Store, StoreError, Swap};
use crate::prelude::*;

/// Largest answer that is read, in bytes; JSON writes a byte of a value as up to four characters.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client of the store's HTTP interface.
pub struct HttpStore {
    client: Client<HttpConnector, Full<Bytes>>,
    url: String,
    timeout: Duration,
}

impl HttpStore {
    /// Creates a client; no connection is opened before the first call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        Self {
            // A write must never be sent twice, so that its outcome stays known to the caller.
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
            url: format!("http://{address}/v1/call"),
            timeout,
        }
    }

    async fn call(&self, call: &Call, timeout: Duration) -> Result<Answer, StoreError> {
        let answer = tokio::time::timeout(timeout, self.exchange(call))
            .await
            .map_err(|_| {
                StoreError::Unknown(format!("no answer within {} ms", timeout.as_millis()))
            })??;
        match answer {
            Answer::Error(e) => Err(e),
            a => Ok(a),
        }
    }

    async fn exchange(&self, call: &Call) -> Result<Answer, StoreError> {
        let body = serde_json::to_vec(call).map_err(|e| StoreError::Invalid(e.to_string()))?;
        let req = http::Request::post(&self.url)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| StoreError::Invalid(e.to_string()))?;
        let res = self
            .client
            .request(req)
            .await
            .map_err(|e| match e.is_connect() {
                true => StoreError::Unavailable(with_causes(&e)),
                false => StoreError::Unknown(with_causes(&e)),
            })?;
        let status = res.status();
        let data = Limited::new(res.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|e| StoreError::Unknown(e.to_string()))?
            .to_bytes();
        match status {
            s if s.is_success() => decode_answer(&data),
            s if s.is_client_error() => Err(StoreError::Invalid(format!("status {s}"))),
            s => Err(StoreError::Unknown(format!("status {s}"))),
        }
    }
}

/// Text of an error and its causes; the outer one only says "client error".
fn with_causes(e: &dyn std::error::Error) -> String {
    match e.source() {
        Some(cause) => format!("{e}: {}", with_causes(cause)),
        None => e.to_string(),
    }
}

/// Decodes the body of an answer.
///
/// # Errors
///
/// [`StoreError::Unknown`], because a write with a damaged answer may have taken effect.
pub fn decode_answer(data: &[u8]) -> Result<Answer, StoreError> {
    serde_json::from_slice(data).map_err(|e| StoreError::Unknown(e.to_string()))
}

fn unexpected<T>() -> Result<T, StoreError> {
    Err(StoreError::Unknown("answer of another kind".into()))
}

#[async_trait]
impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        match self.call(&Call::Get(key.into()), self.timeout).await? {
            Answer::Entry(e) => Ok(e),
            _ => unexpected(),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        match self.call(&Call::List(prefix.into()), self.timeout).await? {
            Answer::Listing(l) => Ok(l),
            _ => unexpected(),
        }
    }

    async fn swap(
        &self,
        key: &str,
        expect: Revision,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        let call = Call::Swap {
            key: key.into(),
            expect,
            value,
            lease,
        };
        match self.call(&call, self.timeout).await? {
            Answer::Swap(s) => Ok(s),
            _ => unexpected(),
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        match self
            .call(&Call::Grant(ttl.as_millis() as u64), self.timeout)
            .await?
        {
            Answer::Lease(id) => Ok(id),
            _ => unexpected(),
        }
    }

    async fn keep(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.call(&Call::Keep(lease), self.timeout).await.map(drop)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.call(&Call::Revoke(lease), self.timeout)
            .await
            .map(drop)
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let call = Call::Watch {
            prefix: prefix.into(),
            from,
            wait_ms: wait.as_millis() as u64,
        };
        match self.call(&call, wait + self.timeout).await? {
            Answer::Changes(c) => Ok(c),
            _ => unexpected(),
        }
    }
}
