//! HTTP client connections to other nodes and to the backend server.

use std::fmt;

use async_trait::async_trait;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::prelude::*;
use crate::request::body::Body;

/// Why no answer came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// The connection never opened, so the request was not run.
    NotSent(String),
    /// The request may have been run.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(m) => write!(f, "not sent: {m}"),
            Self::Lost(m) => write!(f, "connection lost after sending: {m}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Sends a request to another process.
///
/// Dropping the returned future or an unfinished response body closes the connection, so that a late answer
/// cannot reach the next request.
#[async_trait]
pub trait Upstream: Send + Sync {
    /// Sends one request, whose URI names the address, and waits for the head of the answer.
    async fn send(&self, req: Request<Body>) -> Result<Response<Body>, SendError>;
}

/// Settings of [`HttpUpstream`].
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// Time to open a connection.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Idle connections kept for each address.
    pub idle_connections: usize,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(30),
            idle_connections: 32,
        }
    }
}

/// HTTP/1.1 client with pooled connections.
pub struct HttpUpstream {
    client: Client<HttpConnector, Body>,
}

impl HttpUpstream {
    /// Creates a client; no connection is opened before the first request.
    pub fn new(settings: &UpstreamSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(settings.connect_timeout));
        connector.set_nodelay(true);
        Self {
            // The library must not send a request twice on its own: retries are counted and limited elsewhere.
            client: Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .pool_idle_timeout(settings.idle_timeout)
                .pool_max_idle_per_host(settings.idle_connections)
                .retry_canceled_requests(false)
                .build(connector),
        }
    }
}

#[async_trait]
impl Upstream for HttpUpstream {
    async fn send(&self, req: Request<Body>) -> Result<Response<Body>, SendError> {
        match self.client.request(req).await {
            Ok(res) => Ok(res.map(|b| b.map_err(Into::into).boxed_unsync())),
            Err(e) if e.is_connect() => Err(SendError::NotSent(e.to_string())),
            Err(e) => Err(SendError::Lost(e.to_string())),
        }
    }
}
