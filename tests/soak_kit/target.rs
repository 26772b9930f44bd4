//! Simulated target for the soak test. It records each run and fails some requests, selected by a hash of their ids.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::client::request_body;
use super::history::{History, Run};

/// State of an incarnation of a target.
#[derive(Debug, Clone)]
pub struct Incarnation {
    pub id: String,
    /// Grows with each incarnation.
    pub born: u64,
    pub draining: bool,
    /// Number of the last heartbeat.
    pub seq: u64,
}

/// What a target runs.
#[derive(Debug, Clone, Copy)]
pub struct Version {
    pub name: &'static str,
    /// Percentage of the requests that fail in addition to those that fail at every target.
    pub bad_percent: u64,
}

/// A running target.
pub struct Target {
    pub address: SocketAddr,
    pub version: Version,
    pub incarnation: Arc<Mutex<Incarnation>>,
}

type Res = http::Response<Full<Bytes>>;

impl Target {
    pub async fn start(node: usize, version: Version, history: Arc<History>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let incarnation = Arc::new(Mutex::new(Incarnation {
            id: format!("i-{node}-0"),
            born: 1000,
            draining: false,
            seq: 0,
        }));
        let shared = incarnation.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (incarnation, history) = (shared.clone(), history.clone());
                tokio::spawn(async move {
                    let service = service_fn(move |req| {
                        let (incarnation, history) = (incarnation.clone(), history.clone());
                        async move { respond(node, version, &incarnation, &history, req).await }
                    });
                    let http = hyper::server::conn::http1::Builder::new();
                    let _ = http.serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Self {
            address,
            version,
            incarnation,
        }
    }

    /// Begins a new incarnation at the same address.
    pub fn replace(&self) {
        let mut incarnation = self.incarnation.lock().unwrap();
        let (stem, n) = incarnation.id.rsplit_once('-').unwrap();
        incarnation.id = format!("{stem}-{}", n.parse::<u64>().unwrap() + 1);
        incarnation.born += 1000;
        incarnation.draining = false;
        incarnation.seq = 0;
    }

    /// Returns the id of the incarnation, the body of its next heartbeat, and whether it drains. `address` is where the
    /// node reaches the target.
    pub fn heartbeat(&self, service: &str, address: SocketAddr) -> (String, String, bool) {
        let mut incarnation = self.incarnation.lock().unwrap();
        incarnation.seq += 1;
        let state = if incarnation.draining {
            "draining"
        } else {
            "ready"
        };
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"z","version":"{}","slots":4,"state":"{state}","cold_remaining_ms":0,"seq":{},"born":{}}}"#,
            self.version.name, incarnation.seq, incarnation.born
        );
        (incarnation.id.clone(), body, incarnation.draining)
    }
}

/// FNV-1a hash of a request id and a node, which selects the behavior of the target for that request. It depends on the
/// node, so that an attempt at another target may end differently.
fn request_hash(id: &str, node: usize) -> u64 {
    let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    let h = id.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    mix(mix(h, node as u8), 7) >> 20
}

async fn respond(
    node: usize,
    version: Version,
    incarnation: &Mutex<Incarnation>,
    history: &History,
    req: http::Request<Incoming>,
) -> Result<Res, hyper::Error> {
    let incarnation = incarnation.lock().unwrap().clone();
    let header = |name: &str| {
        let value = req.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = header("dragonflyquay-request-id");
    let base = http::Response::builder()
        .header("dragonflyquay-request-id", &id)
        .header("dragonflyquay-instance-id", &incarnation.id);
    let empty = |b: http::response::Builder, status: u16| {
        Ok(b.status(status).body(Full::default()).unwrap())
    };
    if req.uri().path() == "/health" {
        return empty(base, if incarnation.draining { 503 } else { 200 });
    }
    let expected = header("dragonflyquay-expected-instance");
    if !expected.is_empty() && expected != incarnation.id {
        return empty(base, 421);
    }
    let hash = request_hash(&id, node);
    if hash % 100 < 5 {
        return empty(base.header("dragonflyquay-not-executed", "1"), 503);
    }
    let path = req.uri().path().to_owned();
    let has_key = req.headers().contains_key("authorization");
    let (caller, tenant) = (
        header("dragonflyquay-caller-service"),
        header("dragonflyquay-tenant"),
    );
    // A body that breaks off ends the connection, and its request does not run.
    let body = req.into_body().collect().await?.to_bytes();
    let failed = (5..=7).contains(&(hash % 100)) || hash / 10_000 % 100 < version.bad_percent;
    history.add_run(
        &id,
        Run {
            node,
            incarnation: incarnation.id.clone(),
            version: version.name,
            failed,
            same_body: body == request_body(&id, &path),
            path,
            caller,
            tenant,
            has_key,
            at: Instant::now(),
        },
    );
    tokio::time::sleep(Duration::from_millis(5 + hash / 100 % 40)).await;
    let base = base.header("dragonflyquay-response-signature", format!("sig-{id}"));
    let status = match hash % 100 {
        _ if failed => 500,
        // Lost response: holds the connection until the caller gives up.
        8 => std::future::pending().await,
        _ => 200,
    };
    let body = Full::from(format!("body-{id}"));
    Ok(base.status(status).body(body).unwrap())
}
