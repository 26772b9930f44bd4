//! Callers of the soak test. They keep connections open and record each request and its response.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use super::history::{History, Sent};
use super::HOST;

/// Deadline of each request.
pub const DEADLINE: Duration = Duration::from_millis(1500);
/// Time after the deadline until a request counts as left without a response. Far above the delay of a regular response
/// on a busy machine.
const RESPONSE_MARGIN: Duration = Duration::from_secs(8);

/// API key of a caller, and the tenant that it belongs to; empty if it is unknown.
pub struct Credentials {
    pub key: &'static str,
    pub tenant: &'static str,
}

pub const UNLIMITED: Credentials = Credentials {
    key: "k-unlimited",
    tenant: "unlimited",
};
pub const LIMITED: Credentials = Credentials {
    key: "k-limited",
    tenant: "limited",
};
pub const UNKNOWN: Credentials = Credentials {
    key: "k-unknown",
    tenant: "",
};

/// Size of the body of an upload, in bytes: several pieces of a large body.
const UPLOAD_BYTES: usize = 40_000;

/// Body of a request: bytes that depend on its id for an upload, empty for others.
pub fn request_body(id: &str, path: &str) -> Bytes {
    match path.starts_with("/upload") {
        true => id.bytes().cycle().take(UPLOAD_BYTES).collect(),
        false => Bytes::new(),
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// The node that a request is sent to.
pub struct Destination {
    pub node: usize,
    pub address: SocketAddr,
    /// Number of the process of the node, counted from 1.
    pub process: usize,
}

type Http = Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>;

/// Returns a client that keeps connections open and does not retry requests.
pub fn client() -> Http {
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build_http()
}

/// Sends and records a request and checks its response. Returns the status, `None` if there is no response.
pub async fn send(
    http: &Http,
    history: &History,
    to: &Destination,
    credentials: &Credentials,
    path: &str,
) -> Option<u16> {
    let id = format!("{:08x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
    let start = Instant::now();
    let sent = Sent {
        node: to.node,
        process: to.process,
        path: path.into(),
        tenant: credentials.tenant.into(),
        once: path.starts_with("/once") || path.starts_with("/upload"),
        at: start,
        status: None,
    };
    history.add_request(&id, sent);
    let req = http::Request::builder()
        .uri(format!("http://{}{path}", to.address))
        .header("host", HOST)
        .header("dragonflyquay-request-id", &id)
        .header(
            "dragonflyquay-deadline-ms",
            DEADLINE.as_millis().to_string(),
        )
        .header("authorization", format!("Bearer {}", credentials.key))
        .method(if path.starts_with("/upload") {
            "POST"
        } else {
            "GET"
        })
        .body(Full::new(request_body(&id, path)))
        .unwrap();
    let exchange = async {
        let res = http.request(req).await.ok()?;
        let (parts, body) = res.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some((parts, body))
    };
    let out = match tokio::time::timeout(DEADLINE + RESPONSE_MARGIN, exchange).await {
        Ok(out) => out,
        Err(_) => {
            if !history.was_disturbed(to.node, start, Instant::now()) {
                history.add_violation(format!("no response: {id} {path} at n{}", to.node));
            }
            None
        }
    };
    let (parts, body) = out?;
    let status = parts.status.as_u16();
    history.set_status(&id, status);
    let text = |name: &str| {
        parts
            .headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
    };
    let valid = text("dragonflyquay-response-signature") == format!("sig-{id}")
        && text("dragonflyquay-request-id") == id
        && body == format!("body-{id}");
    if parts.status.is_success() && !valid {
        history.add_violation(format!(
            "wrong response: {id} {path} got {parts:?} {body:?}"
        ));
    }
    if status == 401 && !credentials.tenant.is_empty() {
        history.add_violation(format!("known key refused: {id} {path} at n{}", to.node));
    }
    if status == 404 && !path.starts_with("/v") {
        history.add_violation(format!(
            "existing route not found: {id} {path} at n{}",
            to.node
        ));
    }
    Some(status)
}

/// Sends requests to one node, one after the other, until `stop` is set. `lookup` returns the address of the node and
/// the number of its process while the process runs.
pub async fn run_caller<F>(
    node: usize,
    lookup: F,
    history: Arc<History>,
    stop: Arc<AtomicBool>,
    newest: Arc<AtomicU64>,
) where
    F: Fn() -> Option<(SocketAddr, usize)>,
{
    let http = client();
    // The newest version whose route was served, and the process that served it.
    let (mut seen, mut seen_process) = (0, 0);
    let mut n = 0;
    while !stop.load(Ordering::SeqCst) {
        tokio::time::sleep(Duration::from_millis(15)).await;
        let Some((address, process)) = lookup() else {
            continue;
        };
        let to = Destination {
            node,
            address,
            process,
        };
        if seen_process != process {
            (seen, seen_process) = (0, process);
        }
        n += 1;
        let paths = [
            "/safe-a/x",
            "/once-b/x",
            "/safe-b/x",
            "/once-a/x",
            "/upload-a/x",
        ];
        if n % 6 != 0 {
            let credentials = match n % 16 {
                1 => &UNKNOWN,
                2 | 9 | 14 => &LIMITED,
                _ => &UNLIMITED,
            };
            send(&http, &history, &to, credentials, paths[n % paths.len()]).await;
            continue;
        }
        let version = newest.load(Ordering::SeqCst);
        match send(&http, &history, &to, &UNLIMITED, &format!("/v{version}/x")).await {
            Some(404) if version <= seen => {
                history.add_violation(format!(
                    "older version: n{node} process {process} no longer has /v{version}/"
                ));
            }
            Some(s) if s != 404 && s != 503 => seen = seen.max(version),
            _ => {}
        }
    }
}
