//! Sends the requests of a plan.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use bytes::Bytes;
use http::{Request, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::sync::Semaphore;

use super::arrivals::Arrivals;
use super::plan::{KeySource, Kind, Plan};
use super::report::{Ended, Recorder, Report};
use crate::prelude::*;
use crate::request::{context, reason};

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Wait for an answer after the deadline, so that the node's own report of a missed deadline still arrives.
const GRACE: Duration = Duration::from_secs(1);
/// Wait for an answer of a request without a deadline.
const NO_DEADLINE_WAIT: Duration = Duration::from_secs(30);
/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

struct Generator {
    client: Client<HttpConnector, Full<Bytes>>,
    targets: Vec<SocketAddr>,
    recorder: Mutex<Recorder>,
}

/// One request to send.
struct Shot {
    number: u64,
    target: SocketAddr,
    kind: Arc<Kind>,
    intended: Instant,
}

/// Runs a checked plan against these caller addresses, in turn, and waits for the last answer.
pub async fn run(plan: &Plan, targets: Vec<SocketAddr>) -> Report {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(plan.in_flight)
        .retry_canceled_requests(false)
        .build(connector);
    let g = Arc::new(Generator {
        client,
        targets,
        recorder: Mutex::default(),
    });
    let slots = Arc::new(Semaphore::new(plan.in_flight));
    let (p, h, s) = (plan.clone(), g.clone(), slots.clone());
    let handle = tokio::runtime::Handle::current();
    // A thread of its own: its sleeps are more exact than those of the runtime, which round to a millisecond.
    let arrived = tokio::task::spawn_blocking(move || send_all(&p, &h, &s, &handle)).await;
    // Each request is bounded in time, so all slots become free.
    let _ = slots.acquire_many(plan.in_flight as u32).await;
    let report = g.recorder().report(plan.seed, arrived.unwrap_or_default());
    report
}

/// Sends each request at its time; returns the time in which requests arrived.
fn send_all(
    plan: &Plan,
    g: &Arc<Generator>,
    slots: &Arc<Semaphore>,
    handle: &tokio::runtime::Handle,
) -> Duration {
    let kinds: Vec<_> = plan.request.iter().cloned().map(Arc::new).collect();
    let rates = kinds.iter().map(|k| k.rate).collect();
    let limit = Duration::from_millis(plan.duration_ms);
    let start = Instant::now();
    let mut last = Duration::ZERO;
    for (number, (at, kind)) in (0..plan.requests).zip(Arrivals::new(plan.seed, rates)) {
        if at > limit {
            return limit;
        }
        last = at;
        std::thread::sleep(at.saturating_sub(start.elapsed()));
        let kind = kinds[kind].clone();
        let Ok(permit) = slots.clone().try_acquire_owned() else {
            g.recorder().over_limit(&kind.rank);
            continue;
        };
        let late = start.elapsed().saturating_sub(at);
        g.recorder().sent(&kind.rank, late);
        let shot = Shot {
            number,
            target: g.targets[number as usize % g.targets.len()],
            kind,
            intended: start + at,
        };
        let g = g.clone();
        handle.spawn(async move {
            let ended = g.send(&shot).await;
            let deadline = Duration::from_millis(shot.kind.deadline_ms);
            g.recorder().ended(&shot.kind.rank, deadline, &ended);
            drop(permit);
        });
    }
    last
}

fn failed(what: &str, since: Instant) -> Ended {
    Ended {
        outcome: "no-answer".into(),
        reason: Some(what.into()),
        success: false,
        latency: since.elapsed(),
    }
}

impl Generator {
    fn recorder(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn send(&self, s: &Shot) -> Ended {
        let wait = match s.kind.deadline_ms {
            0 => NO_DEADLINE_WAIT,
            ms => Duration::from_millis(ms) + GRACE,
        };
        match tokio::time::timeout(wait, self.exchange(s)).await {
            Ok(Ok(ended)) => ended,
            Ok(Err(what)) => failed(what, s.intended),
            Err(_) => failed("caller-timeout", s.intended),
        }
    }

    async fn exchange(&self, s: &Shot) -> Result<Ended, &'static str> {
        let key = match s.kind.key {
            KeySource::None => None,
            KeySource::PerRequest => Some(uuid::Uuid::now_v7().to_string()),
            KeySource::Issued => Some(self.issue(s.target).await?),
        };
        let req = request(s, key).map_err(|_| "caller-invalid")?;
        let res = self
            .client
            .request(req)
            .await
            .map_err(|e| match e.is_connect() {
                true => "caller-connect",
                false => "caller-lost",
            })?;
        let (parts, body) = res.into_parts();
        Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|_| "caller-cut")?;
        let outcome: Option<SmolStr> = context::parse_header(&parts.headers, &reason::OUTCOME);
        let ran = outcome
            .as_ref()
            .is_none_or(|o| o == reason::Outcome::Done.as_str());
        Ok(Ended {
            success: ran && parts.status.is_success(),
            outcome: outcome.unwrap_or_else(|| "none".into()),
            reason: context::parse_header(&parts.headers, &reason::REASON),
            latency: s.intended.elapsed(),
        })
    }

    /// Asks a node for an idempotency key.
    async fn issue(&self, target: SocketAddr) -> Result<String, &'static str> {
        let req = Request::post(format!("http://{target}/.dq/key"))
            .body(Full::default())
            .map_err(|_| "caller-invalid")?;
        let res = self.client.request(req).await.map_err(|_| "caller-key")?;
        let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|_| "caller-key")?
            .to_bytes();
        let text = String::from_utf8_lossy(&body);
        // The key stands alone or as a value in JSON.
        let key = text
            .split(|c: char| !c.is_ascii_hexdigit() && c != '-')
            .find(|w| w.len() == 36);
        key.map(str::to_owned).ok_or("caller-key")
    }
}

fn request(s: &Shot, key: Option<String>) -> Result<Request<Full<Bytes>>, http::Error> {
    let path = s.kind.path.replace("{n}", &s.number.to_string());
    let uri = Uri::builder()
        .scheme("http")
        .authority(s.target.to_string())
        .path_and_query(path)
        .build()?;
    let mut req = Request::builder().method(s.kind.method.as_str()).uri(uri);
    if s.kind.deadline_ms > 0 {
        req = req.header(context::DEADLINE_MS, s.kind.deadline_ms.to_string());
    }
    if s.kind.callers > 0 {
        req = req.header(
            context::CALLER,
            format!("load-{}", s.number % s.kind.callers),
        );
    }
    if let Some(key) = key {
        req = req.header("idempotency-key", key);
    }
    req.body(Full::new(Bytes::from(s.kind.body.clone())))
}
