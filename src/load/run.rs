//! Sends the requests of a plan and collects the results.

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
use super::plan::{KeySource, Plan, RequestKind};
use super::report::{Completion, Recorder, Report};
use crate::prelude::*;
use crate::request::{context, reason};

/// Largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Wait for a response after the deadline, so that the node's own response for a missed deadline still arrives.
const RESPONSE_GRACE: Duration = Duration::from_secs(1);
/// Response timeout of a request without a deadline.
const NO_DEADLINE_TIMEOUT: Duration = Duration::from_secs(30);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

struct Generator {
    client: Client<HttpConnector, Full<Bytes>>,
    targets: Vec<SocketAddr>,
    recorder: Mutex<Recorder>,
}

struct ScheduledRequest {
    number: u64,
    target: SocketAddr,
    kind: Arc<RequestKind>,
    intended_at: Instant,
}

/// Runs a checked plan and waits until all requests are complete. The requests go to the caller addresses in turn.
pub async fn run(plan: &Plan, targets: Vec<SocketAddr>) -> Report {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(plan.in_flight)
        .retry_canceled_requests(false)
        .build(connector);
    let generator = Arc::new(Generator {
        client,
        targets,
        recorder: Mutex::default(),
    });
    let permits = Arc::new(Semaphore::new(plan.in_flight));
    let (p, g, s) = (plan.clone(), generator.clone(), permits.clone());
    let handle = tokio::runtime::Handle::current();
    // A separate thread sleeps more precisely than the timer of the runtime, which rounds to a millisecond.
    let period = tokio::task::spawn_blocking(move || send_all(&p, &g, &s, &handle)).await;
    // Each request has a timeout, so that all permits are returned.
    let _ = permits.acquire_many(plan.in_flight as u32).await;
    let report = generator
        .recorder()
        .report(plan.seed, period.unwrap_or_default());
    report
}

/// Sends each request at its intended time. Returns the time in which requests arrived.
fn send_all(
    plan: &Plan,
    generator: &Arc<Generator>,
    permits: &Arc<Semaphore>,
    handle: &tokio::runtime::Handle,
) -> Duration {
    let kinds: Vec<_> = plan.kinds.iter().cloned().map(Arc::new).collect();
    let rates = kinds.iter().map(|k| k.rate).collect();
    let duration = Duration::from_millis(plan.duration_ms);
    let start = Instant::now();
    let mut last_arrival = Duration::ZERO;
    for (number, (arrival, index)) in (0..plan.requests).zip(Arrivals::new(plan.seed, rates)) {
        if arrival > duration {
            return duration;
        }
        last_arrival = arrival;
        std::thread::sleep(arrival.saturating_sub(start.elapsed()));
        let kind = kinds[index].clone();
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            generator.recorder().record_over_limit(&kind.rank);
            continue;
        };
        let lag = start.elapsed().saturating_sub(arrival);
        generator.recorder().record_sent(&kind.rank, lag);
        let request = ScheduledRequest {
            number,
            target: generator.targets[number as usize % generator.targets.len()],
            kind,
            intended_at: start + arrival,
        };
        let generator = generator.clone();
        handle.spawn(async move {
            let completion = generator.send(&request).await;
            let deadline = Duration::from_millis(request.kind.deadline_ms);
            generator
                .recorder()
                .record_completion(&request.kind.rank, deadline, &completion);
            drop(permit);
        });
    }
    last_arrival
}

/// Completion of a request without a complete response.
fn no_response(reason: &str, intended_at: Instant) -> Completion {
    Completion {
        outcome: "no-answer".into(),
        reason: Some(reason.into()),
        success: false,
        latency: intended_at.elapsed(),
    }
}

impl Generator {
    fn recorder(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn send(&self, r: &ScheduledRequest) -> Completion {
        let timeout = match r.kind.deadline_ms {
            0 => NO_DEADLINE_TIMEOUT,
            ms => Duration::from_millis(ms) + RESPONSE_GRACE,
        };
        match tokio::time::timeout(timeout, self.exchange(r)).await {
            Ok(Ok(completion)) => completion,
            Ok(Err(reason)) => no_response(reason, r.intended_at),
            Err(_) => no_response("caller-timeout", r.intended_at),
        }
    }

    async fn exchange(&self, r: &ScheduledRequest) -> Result<Completion, &'static str> {
        let key = match r.kind.key {
            KeySource::None => None,
            KeySource::PerRequest => Some(uuid::Uuid::now_v7().to_string()),
            KeySource::Issued => Some(self.fetch_key(r.target).await?),
        };
        let req = build_request(r, key).map_err(|_| "caller-invalid")?;
        let res = self
            .client
            .request(req)
            .await
            .map_err(|e| match e.is_connect() {
                true => "caller-connect",
                false => "caller-lost",
            })?;
        let (parts, body) = res.into_parts();
        Limited::new(body, MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|_| "caller-cut")?;
        let outcome: Option<SmolStr> = context::parse_header(&parts.headers, &reason::OUTCOME);
        let is_done = outcome
            .as_ref()
            .is_none_or(|o| o == reason::Outcome::Done.as_str());
        Ok(Completion {
            success: is_done && parts.status.is_success(),
            outcome: outcome.unwrap_or_else(|| "none".into()),
            reason: context::parse_header(&parts.headers, &reason::REASON),
            latency: r.intended_at.elapsed(),
        })
    }

    /// Gets an idempotency key that a node issues.
    async fn fetch_key(&self, target: SocketAddr) -> Result<String, &'static str> {
        let req = Request::post(format!("http://{target}/.dq/key"))
            .body(Full::default())
            .map_err(|_| "caller-invalid")?;
        let res = self.client.request(req).await.map_err(|_| "caller-key")?;
        let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|_| "caller-key")?
            .to_bytes();
        let text = String::from_utf8_lossy(&body);
        // The body is the key itself or JSON that contains it; a key is a UUID of 36 characters.
        let key = text
            .split(|c: char| !c.is_ascii_hexdigit() && c != '-')
            .find(|word| word.len() == 36);
        key.map(str::to_owned).ok_or("caller-key")
    }
}

fn build_request(
    r: &ScheduledRequest,
    key: Option<String>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let path = r.kind.path.replace("{n}", &r.number.to_string());
    let uri = Uri::builder()
        .scheme("http")
        .authority(r.target.to_string())
        .path_and_query(path)
        .build()?;
    let mut req = Request::builder().method(r.kind.method.as_str()).uri(uri);
    if r.kind.deadline_ms > 0 {
        req = req.header(context::DEADLINE_MS, r.kind.deadline_ms.to_string());
    }
    if r.kind.callers > 0 {
        req = req.header(
            context::CALLER,
            format!("load-{}", r.number % r.kind.callers),
        );
    }
    if let Some(key) = key {
        req = req.header("idempotency-key", key);
    }
    req.body(Full::new(Bytes::from(r.kind.body.clone())))
}
