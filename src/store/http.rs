//! Client of the stand-in store: each call is one HTTP request with a JSON body.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::sync::watch;

use super::era::EraTracker;
use super::server::{Call, CallResponse, ERA_HEADER};
use super::{Changes, Entry, Era, LeaseId, Listing, Revision, Store, StoreError, Swap};
use crate::prelude::*;

/// Maximum size of a response body, in bytes. In JSON, each byte of a value takes up to four characters.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of the stand-in store at one address.
pub struct HttpStore {
    client: Client<HttpConnector, Full<Bytes>>,
    url: String,
    timeout: Duration,
    era: EraTracker,
}

impl HttpStore {
    /// Creates a client that opens its first connection with the first call. `timeout` limits connecting and each call;
    /// a watch may take its wait in addition.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        Self {
            // No retries: the outcome of a write that is sent twice would be unknown to the caller.
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
            url: format!("http://{address}/v1/call"),
            timeout,
            era: EraTracker::default(),
        }
    }

    async fn call(&self, call: &Call, timeout: Duration) -> Result<CallResponse, StoreError> {
        let response = tokio::time::timeout(timeout, self.send(call))
            .await
            .map_err(|_| {
                StoreError::Unknown(format!("no response within {} ms", timeout.as_millis()))
            })??;
        match response {
            CallResponse::Error(e) => Err(e),
            r => Ok(r),
        }
    }

    async fn send(&self, call: &Call) -> Result<CallResponse, StoreError> {
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
                true => StoreError::Unavailable(error_chain(&e)),
                false => StoreError::Unknown(error_chain(&e)),
            })?;
        let status = res.status();
        let era = res.headers().get(ERA_HEADER);
        let era = era.and_then(|h| h.to_str().ok()?.parse().ok());
        // The stand-in checks the era of each revision and lease itself, and begins anew when it is started again.
        if let Some(era) = era {
            self.era.follow(Era(era));
        }
        let data = Limited::new(res.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|e| StoreError::Unknown(e.to_string()))?
            .to_bytes();
        match status {
            s if s.is_success() => decode_response(&data),
            s if s.is_client_error() => Err(StoreError::Invalid(format!("status {s}"))),
            s => Err(StoreError::Unknown(format!("status {s}"))),
        }
    }
}

/// Text of an error with all its causes, because the outermost one only says "client error".
fn error_chain(e: &dyn std::error::Error) -> String {
    match e.source() {
        Some(cause) => format!("{e}: {}", error_chain(cause)),
        None => e.to_string(),
    }
}

/// Decodes the body of a response.
///
/// # Errors
///
/// [`StoreError::Unknown`] for an invalid body, because the write may have taken effect.
pub fn decode_response(data: &[u8]) -> Result<CallResponse, StoreError> {
    serde_json::from_slice(data).map_err(|e| StoreError::Unknown(e.to_string()))
}

fn unexpected<T>() -> Result<T, StoreError> {
    Err(StoreError::Unknown(
        "response does not match the call".into(),
    ))
}

#[async_trait]
impl Store for HttpStore {
    fn era(&self) -> watch::Receiver<Era> {
        self.era.subscribe()
    }

    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        match self.call(&Call::Get(key.into()), self.timeout).await? {
            CallResponse::Entry(e) => Ok(e),
            _ => unexpected(),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        match self.call(&Call::List(prefix.into()), self.timeout).await? {
            CallResponse::Listing(l) => Ok(l),
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
            CallResponse::Swap(s) => Ok(s),
            _ => unexpected(),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        match self
            .call(&Call::Grant(ttl.as_millis() as u64), self.timeout)
            .await?
        {
            CallResponse::Lease(id) => Ok(id),
            _ => unexpected(),
        }
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.call(&Call::Keep(lease), self.timeout).await.map(drop)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
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
            CallResponse::Changes(c) => Ok(c),
            _ => unexpected(),
        }
    }
}
