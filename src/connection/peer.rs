//! Links between nodes: the transport's interface and its WebSocket implementation.

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

/// Most links that a listener keeps open.
pub const MAX_ACCEPTED: usize = 32;
/// New links that a listener accepts in a second.
pub const ACCEPT_RATE: u32 = 20;
/// Longest time that a refused peer is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Wait that a peer is told while all links are taken; it is expected to try another node first.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time to open a link.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Refusals that are answered at the same time; further connections are closed without an answer.
const MAX_REFUSALS: usize = 64;
/// Pause after a failed `accept`, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Header of a refusal: milliseconds to wait. `retry-after` has whole seconds only.
static RETRY_AFTER: HeaderName = HeaderName::from_static("dq-retry-after-ms");

/// Why a link could not be opened or has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// The other node takes no new link for this time.
    Busy(Duration),
    /// The other node refused this one, or this one refuses the other; another attempt gives the same result.
    Refused(SmolStr),
    /// A message is larger than [`MAX_FRAME_BYTES`].
    TooLarge,
    /// The message is not valid.
    Invalid(String),
    /// The other side closed the link.
    Closed,
    /// The connection failed.
    Failed(String),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy(d) => write!(f, "peer is busy for {} ms", d.as_millis()),
            Self::Refused(m) => write!(f, "link refused: {m}"),
            Self::TooLarge => f.write_str("message is too large"),
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
                None => Self::Failed(format!("status {}", r.status())),
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
    /// Sends one message.
    async fn send(&mut self, data: Vec<u8>) -> Result<(), LinkError>;
    /// Closes the link; messages sent before still arrive.
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
    /// Sending half.
    pub sink: Box<dyn LinkSink>,
    /// Receiving half.
    pub source: Box<dyn LinkSource>,
    /// Place among the accepted links, freed when the link is dropped.
    pub place: Option<Place>,
}

/// Opens and accepts links.
#[async_trait]
pub trait PeerTransport: Send + Sync {
    /// Opens a link.
    async fn connect(&self, address: SocketAddr) -> Result<RawLink, LinkError>;
    /// Waits for the next link that another node opens; fails when the transport has ended.
    async fn accept(&self) -> Result<RawLink, LinkError>;
}

/// Limits on accepted links: a token bucket for new ones, and a number of open ones.
#[derive(Debug, Default)]
pub struct AcceptLimit {
    /// Time at which the bucket is full again.
    full: Now,
    /// Latest time that a refused peer was given.
    promised: Now,
}

impl AcceptLimit {
    /// Accepts a new link, or returns the time after which the peer may try again.
    ///
    /// Each refused peer is given a later time than the one before, so that they do not all return at once.
    ///
    /// # Errors
    ///
    /// The wait.
    pub fn offer(&mut self, now: Now, open: usize) -> Result<(), Duration> {
        if open >= MAX_ACCEPTED {
            return Err(FULL_RETRY_AFTER);
        }
        let step = Duration::from_secs(1) / ACCEPT_RATE;
        let next = self.full.max(now) + step;
        if next <= now + Duration::from_secs(1) {
            self.full = next;
            return Ok(());
        }
        let latest = now + MAX_RETRY_AFTER;
        self.promised = (self.promised.max(now) + step).min(latest);
        Err(self.promised - now)
    }
}

/// One of the places for accepted links.
pub struct Place(Arc<AtomicUsize>);

impl Place {
    /// Takes a place; the counter holds the number of those taken.
    pub fn take(taken: &Arc<AtomicUsize>) -> Self {
        taken.fetch_add(1, Ordering::Relaxed);
        Self(taken.clone())
    }
}

impl Drop for Place {
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
                    return Err(LinkError::Invalid("text message".into()))
                }
                Some(Ok(_)) => {}
                Some(Err(e)) => return Err(e.into()),
                None => return Err(LinkError::Closed),
            }
        }
    }
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

fn raw(socket: Socket, place: Option<Place>) -> RawLink {
    let (sink, source) = socket.split();
    RawLink {
        sink: Box::new(WsSink(sink)),
        source: Box::new(WsSource(source)),
        place,
    }
}

async fn in_time<T, F>(open: F) -> Result<T, LinkError>
where
    F: std::future::Future<Output = Result<T, Error>>,
{
    match tokio::time::timeout(OPEN_TIMEOUT, open).await {
        Ok(r) => r.map_err(Into::into),
        Err(_) => Err(LinkError::Failed("no answer in time".into())),
    }
}

/// Links over WebSocket.
pub struct WsTransport {
    accepted: tokio::sync::Mutex<mpsc::Receiver<RawLink>>,
    task: tokio::task::JoinHandle<()>,
}

impl WsTransport {
    /// Starts to accept links.
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
        in_time(async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let url = format!("ws://{address}/");
            let (socket, _) =
                tokio_tungstenite::client_async_with_config(url, stream, Some(config())).await?;
            Ok(raw(socket, None))
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
    let taken = Arc::new(AtomicUsize::new(0));
    let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
    let limit = Mutex::new(AcceptLimit::default());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let offer = limit
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .offer(clock.now(), taken.load(Ordering::Relaxed));
        match offer {
            Ok(()) => {
                let (place, tx) = (Place::take(&taken), tx.clone());
                tokio::spawn(async move {
                    if let Ok(socket) = upgrade(stream, None).await {
                        let _ = tx.send(raw(socket, Some(place))).await;
                    }
                });
            }
            Err(wait) => {
                let Ok(permit) = refusals.clone().try_acquire_owned() else {
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

/// Answers the opening request of a WebSocket, with a refusal when there is a wait.
async fn upgrade(stream: TcpStream, wait: Option<Duration>) -> Result<Socket, LinkError> {
    #[allow(clippy::result_large_err)] // The library's callback type.
    let answer = |_: &Request, res: Response| match wait {
        Some(d) => Err(refusal(d)),
        None => Ok(res),
    };
    in_time(async {
        stream.set_nodelay(true)?;
        tokio_tungstenite::accept_hdr_async_with_config(stream, answer, Some(config())).await
    })
    .await
}

fn refusal(wait: Duration) -> ErrorResponse {
    let mut res = ErrorResponse::new(None);
    *res.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    let ms = wait.as_millis() as u64;
    let h = res.headers_mut();
    h.insert(http::header::RETRY_AFTER, ms.div_ceil(1000).into());
    h.insert(RETRY_AFTER.clone(), ms.max(1).into());
    res
}
