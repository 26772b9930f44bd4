//! Connections to the target beside this node.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use bytes::Bytes;
use http::{header, HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::connection::upstream::SendError;
use crate::prelude::*;

/// Time to open a connection on the own VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest answer that is held, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Longest time for which an idle connection is used again when the target names no shorter one. The target closes idle
/// connections by itself; a request that crosses that close may be lost.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// How much earlier than the target's own idle timeout a connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// Longest idle time of a connection that carries work which must not run twice, because it cannot be sent again.
const IDLE_TIME_ONCE: Duration = Duration::from_millis(1500);

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Whole {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time for which the target ran the request; zero if unknown.
    pub ran: Duration,
}

struct Conn {
    sender: SendRequest<Full<Bytes>>,
    /// Time for which it may stay idle.
    keep: Duration,
}

struct Idle {
    conn: Conn,
    since: Now,
}

/// A connection whose answer has been read; dropping it closes it.
pub struct Used(Option<Conn>);

/// Idle connections to one address.
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
}

impl Pool {
    /// A pool without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Closes all idle connections, because another target has the address.
    pub fn clear(&self) {
        self.idle().clear();
    }

    /// Takes the connection that was used last, so that the others become idle long enough to be closed.
    fn take(&self, once: bool, now: Now) -> Option<Conn> {
        let mut idle = self.idle();
        idle.retain(|i| !i.conn.sender.is_closed() && now < i.since + i.conn.keep);
        let i = idle.last()?;
        let fresh = !once || now < i.since + IDLE_TIME_ONCE;
        match fresh {
            true => idle.pop().map(|i| i.conn),
            false => None,
        }
    }

    /// Makes a connection available again after its answer proved good.
    pub fn keep(&self, mut used: Used, now: Now) {
        if let Some(conn) = used.0.take().filter(|c| !c.keep.is_zero()) {
            self.idle().push(Idle { conn, since: now });
        }
    }

    async fn open(&self) -> Result<Conn, SendError> {
        let connect = TcpStream::connect(self.address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(s)) => s,
            Ok(Err(e)) => return Err(SendError::NotSent(e.to_string())),
            Err(_) => return Err(SendError::NotSent("connection timed out".into())),
        };
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|e| SendError::NotSent(e.to_string()))?;
        tokio::spawn(async move {
            // An error reaches the request that uses the connection; an idle one is closed by it.
            let _ = connection.await;
        });
        let keep = IDLE_TIME;
        Ok(Conn { sender, keep })
    }

    /// Sends a request and reads the whole answer. `once` says that it must not be sent twice. Dropping the future
    /// closes the connection, which tells the target that the caller has gone.
    ///
    /// # Errors
    ///
    /// See [`SendError`].
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        once: bool,
        now: Now,
    ) -> Result<(Whole, Used), SendError> {
        let mut req = req;
        while let Some(mut conn) = self.take(once, now) {
            // A connection that the target has closed refuses the request without having written a byte of it.
            if conn.sender.ready().await.is_err() {
                continue;
            }
            match conn.sender.try_send_request(req).await {
                Ok(res) => return read(conn, res).await,
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(lost(e.error())),
                },
            }
        }
        let mut conn = self.open().await?;
        match conn.sender.try_send_request(req).await {
            Ok(res) => read(conn, res).await,
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent(e.error().to_string())),
                None => Err(lost(e.error())),
            },
        }
    }
}

fn lost(e: &hyper::Error) -> SendError {
    match e.is_parse() {
        true => SendError::BadResponse(e.to_string()),
        false => SendError::Lost(e.to_string()),
    }
}

async fn read(
    conn: Conn,
    res: Response<hyper::body::Incoming>,
) -> Result<(Whole, Used), SendError> {
    let (parts, body) = res.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|e| SendError::BadResponse(e.to_string()))?;
    let keep = keep_time(&parts.headers);
    let whole = Whole {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
        ran: Duration::ZERO,
    };
    Ok((whole, Used(Some(Conn { keep, ..conn }))))
}

/// Time for which a connection may stay idle after this answer; zero when it must not be used again.
fn keep_time(h: &HeaderMap) -> Duration {
    let text = |name| {
        h.get(name)
            .and_then(|v: &http::HeaderValue| v.to_str().ok())
    };
    let closes = text(header::CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close"));
    if closes {
        return Duration::ZERO;
    }
    let named = text(header::HeaderName::from_static("keep-alive"));
    let seconds = named.and_then(|v| {
        let mut parts = v.split(',').filter_map(|p| p.trim().split_once('='));
        let (_, n) = parts.find(|(k, _)| k.eq_ignore_ascii_case("timeout"))?;
        n.trim().parse::<u64>().ok()
    });
    let limit = seconds.map(|s| Duration::from_secs(s).saturating_sub(IDLE_MARGIN));
    limit.map_or(IDLE_TIME, |l| l.min(IDLE_TIME))
}
