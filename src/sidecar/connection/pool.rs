//! HTTP connections to the target of this node.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use bytes::Bytes;
use http::{header, HeaderMap, Request, Response, StatusCode};
use http_body::Body as _;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::AbortHandle;

use crate::connection::upstream::{check_status, SendError};
use crate::prelude::*;
use crate::sidecar::connection::ending::{self, Occupancy, Occupied};
use crate::sidecar::connection::metered::{Allowance, MeteredStream};
use crate::sidecar::connection::pacing::is_large;

/// Time to open a connection within this VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of a response body, which is buffered whole.
pub(crate) const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Part of a response body that needs no room, so that large bodies do not hold up others. It is there for each
/// connection of the target, so the sum has to be small.
const SMALL_BODY_BYTES: usize = 32 << 10;
/// Room for the rest of all bodies that are being read, so that a target that writes without end does not take the memory
/// of the process. Large bodies wait for room.
const MAX_BUFFERED_BYTES: usize = 16 << 20;
/// Size of the read buffer of a connection, which is also the maximum size of a response head.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Bytes that may arrive before the response head is complete: informational responses, the head and what is read with
/// it.
const MAX_HEAD_BYTES: usize = 4 * READ_BUFFER_BYTES;
/// Maximum time for which a connection is kept idle; the target may name a shorter one. The target closes idle
/// connections on its own, and a request that is sent at that moment may be lost.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// How much earlier than the idle timeout of the target a connection is closed.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// Maximum idle time of a connection for a request that is not idempotent, because it cannot be retried if it is lost.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(1500);

/// A whole response of a target.
#[derive(Debug, Clone)]
pub struct TargetResponse {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Headers of the response; see [`strip_response`](crate::sidecar::request::admit::strip_response).
    pub headers: HeaderMap,
    /// Body of the response, buffered whole.
    pub body: Bytes,
    /// Time for which the target ran the request; zero if unknown.
    pub service_time: Duration,
}

/// Time for which a connection that has carried a large body is not used again. Its target may have responded before it
/// has read the body, which the buffers of the system may hold, and another request would wait until it has.
const REST_AFTER_BODY: Duration = Duration::from_secs(1);
/// Time after its response for which the target may read the body of a request. Until then its memory is in use.
const SENDING_TIMEOUT: Duration = Duration::from_secs(15);

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    allowance: Allowance,
    task: AbortHandle,
    occupied: Occupied,
    /// Whether it has carried an earlier request.
    reused: bool,
    /// Whether the body of the last request is large, so that the target may respond before it has read it.
    large_body: bool,
    /// Zero if the connection must not be used again.
    idle_timeout: Duration,
}

struct IdleConnection {
    conn: Connection,
    since: Now,
}

impl IdleConnection {
    /// Whether it may be used again. The rest of a body is written until the target has not read it for long.
    fn is_kept(&self, now: Now) -> bool {
        if self.conn.sender.is_closed() || !self.is_sending() {
            return !self.conn.sender.is_closed() && now < self.since + self.conn.idle_timeout;
        }
        let in_time = now < self.since + SENDING_TIMEOUT;
        if !in_time {
            self.conn.task.abort();
        }
        in_time
    }

    /// Whether the body of the last request has yet to be written.
    fn is_sending(&self) -> bool {
        self.conn.large_body && !self.conn.sender.is_ready()
    }

    /// Whether the target may have yet to read the body of the last request.
    fn is_resting(&self, now: Now) -> bool {
        self.is_sending() || self.conn.large_body && now < self.since + REST_AFTER_BODY
    }
}

/// A connection whose response has been read. Dropping it closes the connection.
pub struct UsedConnection(Option<Connection>);

impl UsedConnection {
    /// Whether the connection had carried a request before this one.
    pub fn was_reused(&self) -> bool {
        self.0.as_ref().is_some_and(|c| c.reused)
    }
}

/// Idle connections to one address.
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    /// Room for large response bodies, in bytes.
    room: Semaphore,
}

impl Pool {
    /// Creates a pool for a target; connections are opened when requests need them.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            room: Semaphore::new(MAX_BUFFERED_BYTES),
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Closes all idle connections, because another target has taken over the address.
    pub fn clear(&self) {
        self.idle().clear();
    }

    /// Takes the connection that was used last, so that the others stay idle long enough to be closed.
    fn take(&self, non_idempotent: bool, now: Now) -> Option<Connection> {
        let mut idle = self.idle();
        idle.retain(|c| c.is_kept(now));
        let last = idle.iter().rposition(|c| !c.is_resting(now))?;
        let reusable = !non_idempotent || now < idle[last].since + MAX_IDLE_NON_IDEMPOTENT;
        reusable.then(|| idle.remove(last).conn)
    }

    /// Makes a connection available again after its response proved valid.
    pub fn put_back(&self, mut used: UsedConnection, now: Now) {
        let Some(mut conn) = used.0.take() else {
            return;
        };
        conn.occupied.set(None);
        if !conn.idle_timeout.is_zero() {
            conn.reused = true;
            self.idle().push(IdleConnection { conn, since: now });
        }
    }

    async fn open(&self) -> Result<Connection, SendError> {
        let connect = TcpStream::connect(self.address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(s)) => s,
            Ok(Err(e)) => return Err(SendError::NotSent(e.to_string())),
            Err(_) => return Err(SendError::NotSent("connection timed out".into())),
        };
        let _ = stream.set_nodelay(true);
        let allowance = Allowance::default();
        let stream = MeteredStream {
            stream,
            allowance: allowance.clone(),
        };
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| SendError::NotSent(e.to_string()))?;
        let occupied = Occupied::default();
        let task = tokio::spawn(ending::run(connection, occupied.clone()));
        let idle_timeout = MAX_IDLE;
        Ok(Connection {
            sender,
            allowance,
            task: task.abort_handle(),
            occupied,
            reused: false,
            large_body: false,
            idle_timeout,
        })
    }

    /// Whether the target refuses connections, because its process has ended; `None` if it does not respond.
    pub async fn is_refused(&self) -> Option<bool> {
        let connect = TcpStream::connect(self.address);
        match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(_)) => Some(false),
            Ok(Err(e)) => Some(e.kind() == ErrorKind::ConnectionRefused),
            Err(_) => None,
        }
    }

    /// Sends a request and reads the whole response. `non_idempotent` says that the request must not be run twice.
    /// Dropping the future closes the connection, which tells the target that the caller has gone.
    ///
    /// # Errors
    ///
    /// See [`SendError`].
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        non_idempotent: bool,
        now: Now,
    ) -> Result<(TargetResponse, UsedConnection), SendError> {
        self.send_occupying(req, non_idempotent, now, None).await
    }

    /// Sends a request as [`Pool::send`] does. `occupancy` is kept until the response proved valid or the target has
    /// closed the connection, also if the future is dropped before.
    ///
    /// # Errors
    ///
    /// See [`SendError`].
    pub async fn send_occupying(
        &self,
        req: Request<Full<Bytes>>,
        non_idempotent: bool,
        now: Now,
        occupancy: Option<Occupancy>,
    ) -> Result<(TargetResponse, UsedConnection), SendError> {
        let mut req = req;
        let large_body = is_large(req.body().size_hint().lower() as usize);
        while let Some(mut conn) = self.take(non_idempotent, now) {
            // A connection that the target has closed fails here, before any byte of the request is written.
            if conn.sender.ready().await.is_err() {
                continue;
            }
            conn.allowance.set(MAX_HEAD_BYTES);
            conn.large_body = large_body;
            conn.occupied.set(occupancy.clone());
            match conn.sender.try_send_request(req).await {
                Ok(res) => return self.read_response(conn, res).await,
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(send_error(e.error())),
                },
            }
        }
        let mut conn = self.open().await?;
        conn.allowance.set(MAX_HEAD_BYTES);
        conn.large_body = large_body;
        conn.occupied.set(occupancy);
        match conn.sender.try_send_request(req).await {
            Ok(res) => self.read_response(conn, res).await,
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent(e.error().to_string())),
                None => Err(send_error(e.error())),
            },
        }
    }

    async fn read_response(
        &self,
        conn: Connection,
        res: Response<Incoming>,
    ) -> Result<(TargetResponse, UsedConnection), SendError> {
        // Chunked encoding adds to the size of a body.
        conn.allowance.set(2 * MAX_RESPONSE_BYTES);
        let (parts, body) = res.into_parts();
        check_status(parts.status)?;
        let body = self.read_body(body).await?;
        let idle_timeout = parse_idle_timeout(&parts.headers);
        let response = TargetResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            service_time: Duration::ZERO,
        };
        Ok((
            response,
            UsedConnection(Some(Connection {
                idle_timeout,
                ..conn
            })),
        ))
    }

    /// Reads a body; a large one as far as there is room for it.
    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, SendError> {
        let bad = |e: &dyn std::fmt::Display| SendError::BadResponse(e.to_string());
        let mut taken: Option<SemaphorePermit<'_>> = None;
        let mut whole = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|e| bad(&e))?.into_data() else {
                continue;
            };
            if whole.len() + data.len() > MAX_RESPONSE_BYTES {
                return Err(bad(&"the body is too long"));
            }
            let large = (whole.len() + data.len()).saturating_sub(SMALL_BODY_BYTES);
            let room = self.room.acquire_many(large.min(data.len()) as u32).await;
            let room = room.map_err(|e| bad(&e))?;
            match &mut taken {
                Some(permit) => permit.merge(room),
                None => taken = Some(room),
            }
            append(&mut whole, &data);
        }
        Ok(whole.into())
    }
}

/// Appends data with little spare capacity, because the room for bodies does not count it.
pub(crate) fn append(whole: &mut Vec<u8>, data: &[u8]) {
    if whole.capacity() < whole.len() + data.len() {
        whole.reserve_exact(data.len() + whole.len() / 8);
    }
    whole.extend_from_slice(data);
}

fn send_error(e: &hyper::Error) -> SendError {
    match e.is_parse() {
        true => SendError::BadResponse(e.to_string()),
        false => SendError::Lost(e.to_string()),
    }
}

/// Time for which the connection may stay idle after a response with these headers; zero if it must not be used again.
fn parse_idle_timeout(h: &HeaderMap) -> Duration {
    let text = |name| {
        h.get(name)
            .and_then(|v: &http::HeaderValue| v.to_str().ok())
    };
    let closes = text(header::CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"));
    if closes {
        return Duration::ZERO;
    }
    let keep_alive = text(header::HeaderName::from_static("keep-alive"));
    let seconds = keep_alive.and_then(|v| {
        let mut parts = v.split(',').filter_map(|p| p.trim().split_once('='));
        let (_, value) = parts.find(|(k, _)| k.eq_ignore_ascii_case("timeout"))?;
        value.trim().parse::<u64>().ok()
    });
    let limit = seconds.map(|s| Duration::from_secs(s).saturating_sub(IDLE_MARGIN));
    limit.map_or(MAX_IDLE, |l| l.min(MAX_IDLE))
}
