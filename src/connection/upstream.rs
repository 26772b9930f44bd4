//! HTTP client connections to other nodes and to the backend server.

use std::fmt;

use async_trait::async_trait;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::prelude::*;
use crate::request::body::Body;
use crate::request::reason::{Failure, Reason};

/// Why a request got no usable response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent, so it was not run.
    NotSent(String),
    /// The connection failed after the request was sent, so it may have been run.
    Lost(String),
    /// The response is not valid HTTP, or it has neither a length nor chunked encoding, so that its end cannot
    /// be distinguished from a broken connection.
    BadResponse(String),
}

impl From<SendError> for Failure {
    fn from(e: SendError) -> Self {
        match e {
            SendError::NotSent(_) => Self::not_run(Reason::NotSent),
            SendError::Lost(_) => Self::unknown(Reason::Lost),
            SendError::BadResponse(_) => Self::unknown(Reason::BadResponse),
        }
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(m) => write!(f, "not sent: {m}"),
            Self::Lost(m) => write!(f, "connection lost after sending: {m}"),
            Self::BadResponse(m) => write!(f, "invalid response: {m}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Status of a response to a request, from its number: the protocol has none outside of 200 to 599, and an informational
/// one is not the response. `None` for any other number; whoever sent it may have run the request.
pub fn final_status(code: u16) -> Option<StatusCode> {
    let status = StatusCode::from_u16(code).ok();
    status.filter(|_| (200..600).contains(&code))
}

/// Checks that the status of a response is a [`final_status`].
///
/// # Errors
///
/// [`SendError::BadResponse`] if it is not.
pub fn check_status(status: StatusCode) -> Result<(), SendError> {
    match final_status(status.as_u16()) {
        Some(_) => Ok(()),
        None => Err(SendError::BadResponse(format!(
            "status {}",
            status.as_str()
        ))),
    }
}

/// Sends a request to another process.
///
/// Dropping the returned future or an unfinished response body closes the connection, so that a late response cannot
/// be taken for the response to the next request.
#[async_trait]
pub trait Upstream: Send + Sync {
    /// Sends one request, whose URI names the address, and waits for the head of the response.
    async fn send(&self, req: Request<Body>) -> Result<Response<Body>, SendError>;
}

/// Settings of [`HttpUpstream`].
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// Longest time that opening a connection may take; a request on it then counts as not sent.
    pub connect_timeout: Duration,
    /// Time without a request after which a pooled connection is closed.
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
            // The other side may close a pooled connection just before it is used. The library then retries on another
            // connection, but only if no byte was written. All other retries are counted and limited outside this
            // client.
            client: Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .pool_idle_timeout(settings.idle_timeout)
                .pool_max_idle_per_host(settings.idle_connections)
                .retry_canceled_requests(true)
                .build(connector),
        }
    }
}

#[async_trait]
impl Upstream for HttpUpstream {
    async fn send(&self, req: Request<Body>) -> Result<Response<Body>, SendError> {
        let is_head = req.method() == Method::HEAD;
        let result = self.client.request(req).await;
        if let Ok(res) = &result {
            check_status(res.status())?;
        }
        match result {
            Ok(res) if is_head || is_delimited(&res) => {
                Ok(res.map(|b| b.map_err(Into::into).boxed_unsync()))
            }
            Ok(_) => Err(SendError::BadResponse(
                "neither content-length nor transfer-encoding".into(),
            )),
            Err(e) if is_unsent(&e) => Err(SendError::NotSent(describe(&e))),
            Err(e) if hyper_error(&e).is_some_and(hyper::Error::is_parse) => {
                Err(SendError::BadResponse(describe(&e)))
            }
            Err(e) => Err(SendError::Lost(describe(&e))),
        }
    }
}

/// Whether the end of the response can be distinguished from a broken connection.
fn is_delimited<B>(res: &Response<B>) -> bool {
    let h = res.headers();
    let bodiless = matches!(
        res.status(),
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    bodiless || h.contains_key(CONTENT_LENGTH) || h.contains_key(TRANSFER_ENCODING)
}

/// Whether no byte of the request left this process: the connection did not open, or a pooled one was closed
/// before the request was handed to it, which the library reports as cancelled.
fn is_unsent(e: &hyper_util::client::legacy::Error) -> bool {
    e.is_connect() || hyper_error(e).is_some_and(hyper::Error::is_canceled)
}

fn hyper_error(e: &hyper_util::client::legacy::Error) -> Option<&hyper::Error> {
    std::error::Error::source(e).and_then(|s| s.downcast_ref())
}

fn describe(e: &hyper_util::client::legacy::Error) -> String {
    match hyper_error(e) {
        Some(source) => format!("{e}: {source}"),
        None => e.to_string(),
    }
}
