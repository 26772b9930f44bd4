//! Links between nodes: the transport interface and its WebSocket implementation.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use async_trait::async_trait;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use http::HeaderName;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error, Message};
use tokio_tungstenite::WebSocketStream;

use super::frame::MAX_FRAME_BYTES;
use crate::prelude::*;
use crate::process::clock::Clock;

/// Largest number of open links that a listener has accepted.
pub const MAX_ACCEPTED: usize = 32;
/// New links that a listener accepts per second.
pub const ACCEPT_RATE: u32 = 20;
/// Longest `retry-after` that is sent to a rejected peer, or respected when another node sends it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// `retry-after` while [`MAX_ACCEPTED`] links are open. The peer is expected to try another node first.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Longest time for the connection and the WebSocket upgrade of a new link, on either side.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Rejections that are sent at the same time; further connections are closed without a response.
const MAX_REJECTIONS: usize = 64;
/// Delay after a failed `accept`, which usually means that the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Header of a rejection: wait in milliseconds. The standard `retry-after` has whole seconds only.
static RETRY_AFTER: HeaderName = HeaderName::from_static("dq-retry-after-ms");

/// Why a link could not be opened or has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// The other node accepts no new link for this time.
    Busy(Duration),
    /// One of the nodes rejected the other in the handshake; another attempt would give the same result.
    Rejected(SmolStr),
    /// A message is larger than [`MAX_FRAME_BYTES`].
    TooLarge,
    /// A message is malformed, or not expected in this state.
    Invalid(String),
    /// The other side closed the link.
    Closed,
    /// The connection could not be opened, or it broke.
    Failed(String),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy(d) => write!(f, "peer accepts no new link for {} ms", d.as_millis()),
            Self::Rejected(m) => write!(f, "link rejected: {m}"),
            Self::TooLarge => f.write_str("message exceeds the size limit of a link"),
            Self::Invalid(m) => write!(f, "invalid message: {m}"),
            Self::Closed => f.write_str("link closed"),
            Self::Failed(m) => write!(f, "link failed: {m}"),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<Error> for LinkError {
    fn from(e: Error) -> Self {
        match e {
            Error::ConnectionClosed | Error::AlreadyClosed => Self::Closed,
            Error::Capacity(_) => Self::TooLarge,
            Error::Http(r) => match retry_after(&r) {
                Some(d) => Self::Busy(d),
                None => Self::Failed(format!("peer responded with status {}", r.status())),
            },
            e => Self::Failed(e.to_string()),
        }
    }
}

fn retry_after<B>(r: &http::Response<B>) -> Option<Duration> {
    let text = r.headers().get(&RETRY_AFTER)?.to_str().ok()?;
    text.parse()
        .ok()
        .map(|ms| Duration::from_millis(ms).min(MAX_RETRY_AFTER))
}

/// Sending half of a link.
#[async_trait]
pub trait LinkSink: Send {
    /// Sends an encoded frame as one message.
    async fn send(&mut self, data: Vec<u8>) -> Result<(), LinkError>;
    /// Closes the link. Messages that were sent before still arrive.
    async fn close(&mut self);
}

/// Receiving half of a link.
#[async_trait]
pub trait LinkSource: Send {
    /// Receives the next message; messages arrive in order.
    async fn receive(&mut self) -> Result<Vec<u8>, LinkError>;
}

/// An open link before the handshake.
pub struct RawLink {
    /// Half that sends encoded frames to the peer.
    pub sink: Box<dyn LinkSink>,
    /// Half that receives encoded frames in the order in which the peer sent them.
    pub source: Box<dyn LinkSource>,
    /// Permit of an accepted link, released when the link is dropped; `None` for a link that this node opened.
    pub permit: Option<LinkPermit>,
}

/// Opens and accepts links.
#[async_trait]
pub trait PeerTransport: Send + Sync {
    /// Opens a link to the node that listens on this address; the handshake follows.
    async fn connect(&self, address: SocketAddr) -> Result<RawLink, LinkError>;
    /// Waits for the next link that another node opens. Fails when the transport was shut down.
    async fn accept(&self) -> Result<RawLink, LinkError>;
}

/// Limits on accepted links: a token bucket for new links, and a maximum of open links.
#[derive(Debug, Default)]
pub struct AcceptLimit {
    /// Time at which the bucket is full again if no link is accepted before.
    full_at: Now,
    /// Latest time that was given to a rejected peer for its next try.
    last_retry: Now,
}

impl AcceptLimit {
    /// Accepts a new link, or returns the time after which the peer may try again.
    ///
    /// Each peer above the rate is given a later time than the one before, up to `MAX_RETRY_AFTER`, so that they do not
    /// all try again at once.
    ///
    /// # Errors
    ///
    /// The time that the peer has to wait.
    pub fn try_accept(&mut self, now: Now, open: usize) -> Result<(), Duration> {
        if open >= MAX_ACCEPTED {
            return Err(FULL_RETRY_AFTER);
        }
        let step = Duration::from_secs(1) / ACCEPT_RATE;
        let next = self.full_at.max(now) + step;
        if next <= now + Duration::from_secs(1) {
            self.full_at = next;
            return Ok(());
        }
        let latest = now + MAX_RETRY_AFTER;
        self.last_retry = (self.last_retry.max(now) + step).min(latest);
        Err(self.last_retry - now)
    }
}

/// Counts as one open link of a listener until it is dropped.
pub struct LinkPermit(Arc<AtomicUsize>);

impl LinkPermit {
    /// Adds one to the number of open links.
    pub fn acquire(open_links: &Arc<AtomicUsize>) -> Self {
        open_links.fetch_add(1, Ordering::Relaxed);
        Self(open_links.clone())
    }
}

impl Drop for LinkPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

type Socket = WebSocketStream<TcpStream>;

struct WsSink(SplitSink<Socket, Message>);

#[async_trait]
impl LinkSink for WsSink {
    async fn send(&mut self, data: Vec<u8>) -> Result<(), LinkError> {
        match data.len() {
            n if n > MAX_FRAME_BYTES => Err(LinkError::TooLarge),
            _ => Ok(self.0.send(Message::binary(data)).await?),
        }
    }

    async fn close(&mut self) {
        let _ = self.0.close().await;
    }
}

struct WsSource(SplitStream<Socket>);

#[async_trait]
impl LinkSource for WsSource {
    async fn receive(&mut self) -> Result<Vec<u8>, LinkError> {
        loop {
            match self.0.next().await {
                Some(Ok(Message::Binary(data))) => return Ok(data.into()),
                Some(Ok(Message::Text(_))) => {
                    return Err(LinkError::Invalid("text message, expected binary".into()))
                }
                Some(Ok(_)) => {}
                Some(Err(e)) => return Err(e.into()),
                None => return Err(LinkError::Closed),
            }
        }
    }
}

fn ws_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

fn raw_link(socket: Socket, permit: Option<LinkPermit>) -> RawLink {
    let (sink, source) = socket.split();
    RawLink {
        sink: Box::new(WsSink(sink)),
        source: Box::new(WsSource(source)),
        permit,
    }
}

async fn with_timeout<T, F>(open: F) -> Result<T, LinkError>
where
    F: std::future::Future<Output = Result<T, Error>>,
{
    match tokio::time::timeout(OPEN_TIMEOUT, open).await {
        Ok(r) => r.map_err(Into::into),
        Err(_) => Err(LinkError::Failed("opening timed out".into())),
    }
}

/// Transport over WebSocket; no more links are accepted once it is dropped.
pub struct WsTransport {
    accepted: tokio::sync::Mutex<mpsc::Receiver<RawLink>>,
    task: tokio::task::JoinHandle<()>,
}

impl WsTransport {
    /// Starts a task that accepts links from the listener.
    pub fn new(listener: TcpListener, clock: Arc<dyn Clock>) -> Self {
        let (tx, rx) = mpsc::channel(MAX_ACCEPTED);
        Self {
            accepted: rx.into(),
            task: tokio::spawn(listen(listener, clock, tx)),
        }
    }
}

impl Drop for WsTransport {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[async_trait]
impl PeerTransport for WsTransport {
    async fn connect(&self, address: SocketAddr) -> Result<RawLink, LinkError> {
        with_timeout(async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let url = format!("ws://{address}/");
            let (socket, _) =
                tokio_tungstenite::client_async_with_config(url, stream, Some(ws_config())).await?;
            Ok(raw_link(socket, None))
        })
        .await
    }

    async fn accept(&self) -> Result<RawLink, LinkError> {
        self.accepted
            .lock()
            .await
            .recv()
            .await
            .ok_or(LinkError::Closed)
    }
}

async fn listen(listener: TcpListener, clock: Arc<dyn Clock>, tx: mpsc::Sender<RawLink>) {
    let open_links = Arc::new(AtomicUsize::new(0));
    let rejections = Arc::new(Semaphore::new(MAX_REJECTIONS));
    let limit = Mutex::new(AcceptLimit::default());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let admission = limit
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .try_accept(clock.now(), open_links.load(Ordering::Relaxed));
        match admission {
            Ok(()) => {
                let (permit, tx) = (LinkPermit::acquire(&open_links), tx.clone());
                tokio::spawn(async move {
                    if let Ok(socket) = upgrade(stream, None).await {
                        let _ = tx.send(raw_link(socket, Some(permit))).await;
                    }
                });
            }
            Err(wait) => {
                let Ok(permit) = rejections.clone().try_acquire_owned() else {
                    continue;
                };
                tokio::spawn(async move {
                    let _ = upgrade(stream, Some(wait)).await;
                    drop(permit);
                });
            }
        }
    }
}

/// Responds to the opening request of a WebSocket: rejects it if `wait` is given, accepts it otherwise.
async fn upgrade(stream: TcpStream, wait: Option<Duration>) -> Result<Socket, LinkError> {
    #[allow(clippy::result_large_err)] // The type of the callback is given by the library.
    let respond = |_: &Request, res: Response| match wait {
        Some(d) => Err(rejection(d)),
        None => Ok(res),
    };
    with_timeout(async {
        stream.set_nodelay(true)?;
        tokio_tungstenite::accept_hdr_async_with_config(stream, respond, Some(ws_config())).await
    })
    .await
}

fn rejection(wait: Duration) -> ErrorResponse {
    let mut res = ErrorResponse::new(None);
    *res.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    let ms = wait.as_millis() as u64;
    let h = res.headers_mut();
    h.insert(http::header::RETRY_AFTER, ms.div_ceil(1000).into());
    h.insert(RETRY_AFTER.clone(), ms.max(1).into());
    res
}
