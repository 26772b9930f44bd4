//! Callers of the soak: they keep their connections, and note what they sent and got.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use super::history::{Ledger, Sent};
use super::HOST;

/// Time that a caller gives.
pub const DEADLINE: Duration = Duration::from_millis(1500);
/// Time beyond the deadline after which a request counts as left without an answer. Far above what an orderly answer takes
/// on a busy machine.
const SILENCE: Duration = Duration::from_secs(8);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// The node that a request goes to: its number, caller address and process.
pub struct At {
    pub node: usize,
    pub address: SocketAddr,
    pub process: usize,
}

type Http = Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>;

/// A client that keeps connections and sends nothing twice.
pub fn client() -> Http {
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build_http()
}

/// Sends a request, notes it, and checks the answer. Returns the status.
pub async fn send(http: &Http, ledger: &Ledger, at: &At, path: &str) -> Option<u16> {
    let id = format!("{:08x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
    let start = Instant::now();
    let sent = Sent {
        node: at.node,
        process: at.process,
        path: path.into(),
        once: path.starts_with("/once"),
        at: start,
        status: None,
    };
    ledger.sent(&id, sent);
    let req = http::Request::builder()
        .uri(format!("http://{}{path}", at.address))
        .header("host", HOST)
        .header("dragonflyquay-request-id", &id)
        .header(
            "dragonflyquay-deadline-ms",
            DEADLINE.as_millis().to_string(),
        )
        .body(Full::default())
        .unwrap();
    let exchange = async {
        let res = http.request(req).await.ok()?;
        let (parts, body) = res.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some((parts, body))
    };
    let out = match tokio::time::timeout(DEADLINE + SILENCE, exchange).await {
        Ok(out) => out,
        Err(_) => {
            if !ledger.was_troubled(at.node, start, Instant::now()) {
                ledger.violation(format!("no answer: {id} {path} at n{}", at.node));
            }
            None
        }
    };
    let (parts, body) = out?;
    let status = parts.status.as_u16();
    ledger.answered(&id, status);
    let text = |name: &str| {
        parts
            .headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
    };
    let whole = text("dragonflyquay-response-signature") == format!("sig-{id}")
        && text("dragonflyquay-request-id") == id
        && body == format!("body-{id}");
    if parts.status.is_success() && !whole {
        ledger.violation(format!("mixed: {id} {path} got {parts:?} {body:?}"));
    }
    if status == 404 && !path.starts_with("/v") {
        ledger.violation(format!("denied: {id} {path} at n{}", at.node));
    }
    Some(status)
}

/// Sends requests to one node, one after the other, until told to stop.
pub async fn work<F>(
    node: usize,
    caller: F,
    ledger: Arc<Ledger>,
    stop: Arc<AtomicBool>,
    newest: Arc<AtomicU64>,
) where
    F: Fn() -> Option<(SocketAddr, usize)>,
{
    let http = client();
    // The newest version whose route this process had.
    let (mut seen, mut of) = (0, 0);
    let mut n = 0;
    while !stop.load(Ordering::SeqCst) {
        tokio::time::sleep(Duration::from_millis(15)).await;
        let Some((address, process)) = caller() else {
            continue;
        };
        let at = At {
            node,
            address,
            process,
        };
        if of != process {
            (seen, of) = (0, process);
        }
        n += 1;
        let kinds = ["/safe-a/x", "/once-b/x", "/safe-b/x", "/once-a/x"];
        if n % 6 != 0 {
            send(&http, &ledger, &at, kinds[n % kinds.len()]).await;
            continue;
        }
        let version = newest.load(Ordering::SeqCst);
        match send(&http, &ledger, &at, &format!("/v{version}/x")).await {
            Some(404) if version <= seen => {
                ledger.violation(format!(
                    "older: n{node} process {process} lost /v{version}/"
                ));
            }
            Some(s) if s != 404 && s != 503 => seen = seen.max(version),
            _ => {}
        }
    }
}
