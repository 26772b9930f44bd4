//! Stand-in of a target for the soak: runs requests, notes each run, and fails some as their ids decide.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::history::{Ledger, Run};

/// A lifetime of a target.
#[derive(Debug, Clone)]
pub struct Lifetime {
    pub id: String,
    /// Grows with each lifetime.
    pub born: u64,
    pub draining: bool,
    pub seq: u64,
}

/// A running stand-in.
pub struct Target {
    pub address: SocketAddr,
    pub life: Arc<Mutex<Lifetime>>,
}

type Res = http::Response<Full<Bytes>>;

impl Target {
    pub async fn start(node: usize, ledger: Arc<Ledger>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let life = Arc::new(Mutex::new(Lifetime {
            id: format!("i-{node}-0"),
            born: 1000,
            draining: false,
            seq: 0,
        }));
        let l = life.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (life, ledger) = (l.clone(), ledger.clone());
                tokio::spawn(async move {
                    let service = service_fn(move |req| {
                        let (life, ledger) = (life.clone(), ledger.clone());
                        async move { answer(node, &life, &ledger, &req).await }
                    });
                    let http = hyper::server::conn::http1::Builder::new();
                    let _ = http.serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Self { address, life }
    }

    /// Begins a new lifetime at the same address.
    pub fn replace(&self) {
        let mut life = self.life.lock().unwrap();
        let (stem, n) = life.id.rsplit_once('-').unwrap();
        life.id = format!("{stem}-{}", n.parse::<u64>().unwrap() + 1);
        life.born += 1000;
        life.draining = false;
        life.seq = 0;
    }

    /// Body of the next heartbeat. `address` is where the node reaches the target.
    pub fn heartbeat(&self, service: &str, address: SocketAddr) -> (String, String, bool) {
        let mut life = self.life.lock().unwrap();
        life.seq += 1;
        let state = if life.draining { "draining" } else { "ready" };
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"z","version":"v1","slots":4,"state":"{state}","cold_remaining_ms":0,"seq":{},"born":{}}}"#,
            life.seq, life.born
        );
        (life.id.clone(), body, life.draining)
    }
}

/// Hash of an id, which decides what happens to the request; runs of one id differ by target.
fn fate(id: &str, node: usize) -> u64 {
    let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    let h = id.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    mix(mix(h, node as u8), 7) >> 20
}

async fn answer(
    node: usize,
    life: &Mutex<Lifetime>,
    ledger: &Ledger,
    req: &http::Request<Incoming>,
) -> Result<Res, Infallible> {
    let life = life.lock().unwrap().clone();
    let header = |name: &str| {
        let value = req.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = header("dragonflyquay-request-id");
    let base = http::Response::builder()
        .header("dragonflyquay-request-id", &id)
        .header("dragonflyquay-instance-id", &life.id);
    let empty = |b: http::response::Builder, status: u16| {
        Ok(b.status(status).body(Full::default()).unwrap())
    };
    if req.uri().path() == "/health" {
        return empty(base, if life.draining { 503 } else { 200 });
    }
    let expected = header("dragonflyquay-expected-instance");
    if !expected.is_empty() && expected != life.id {
        return empty(base, 421);
    }
    let fate = fate(&id, node);
    if fate % 100 < 5 {
        return empty(base.header("dragonflyquay-not-executed", "1"), 503);
    }
    ledger.ran(
        &id,
        Run {
            node,
            lifetime: life.id.clone(),
            path: req.uri().path().into(),
            caller: header("dragonflyquay-caller-service"),
            at: Instant::now(),
        },
    );
    tokio::time::sleep(Duration::from_millis(5 + fate / 100 % 40)).await;
    let base = base.header("dragonflyquay-response-signature", format!("sig-{id}"));
    let status = match fate % 100 {
        5..=7 => 500,
        // A lost answer: the connection is held until the caller gives up.
        8 => std::future::pending().await,
        _ => 200,
    };
    let body = Full::from(format!("body-{id}"));
    Ok(base.status(status).body(body).unwrap())
}
