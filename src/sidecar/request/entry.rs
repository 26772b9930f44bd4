//! Entry node: finds the route of a caller's request, tries targets one after the other and responds to the caller.

use std::net::IpAddr;

use bytes::Bytes;
use http::request::Parts;
use http::{header, HeaderMap, HeaderValue, Request, Response, Uri};
use http_body::Body as _;
use http_body_util::BodyExt;

use crate::connection::body_buffer;
use crate::connection::meter::ActiveRequest;
use crate::prelude::*;
use crate::request::body::{full, Body, BodyError};
use crate::request::context;
use crate::request::reason::{Failure, Outcome, Reason};
use crate::sidecar::adapter::CallerInfo;
use crate::sidecar::connection::pacing::{is_large, PacedBody};
use crate::sidecar::connection::pool::TargetResponse;
use crate::sidecar::process::bandwidth::Urgency;
use crate::sidecar::process::node::{Node, Phase};
use crate::sidecar::process::quota::driver;
use crate::sidecar::request::admit::{strip_response, TargetRequest};
use crate::sidecar::request::attempt::RequestState;
use crate::sidecar::request::attempts::run_attempts;
use crate::sidecar::request::authenticate::authenticate;
use crate::sidecar::request::resolve::{self, early_back_off, time_limit, CallerRequest, Resolved};
use crate::sidecar::request::upload::{self, upload_len, Upload};
use crate::sidecar::version::routes::{CallerLimits, RouteTable};

/// Maximum time for which a request waits for the first version. Short compared with the timeout of any caller, so that
/// the caller can still retry.
const VERSION_TIMEOUT: Duration = Duration::from_millis(150);
/// Size of the head of a response to a caller, in bytes.
const MEAN_HEAD_BYTES: usize = 250;
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Serves a request of a caller at the address `from`.
pub async fn serve_caller<B>(n: Arc<Node>, req: Request<B>, from: IpAddr) -> Response<Body>
where
    B: http_body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    let own_vm = from.is_loopback() || from == n.settings().listen.caller.ip();
    let active = req.extensions().get::<ActiveRequest>().cloned();
    let body = |b: B| (!b.is_end_stream()).then(|| keep_active(b, active));
    serve(n, req.map(body), !own_vm).await
}

/// A body whose request stays active until the body is dropped. Otherwise the rest of a rejected one, which is read and
/// discarded after the response, would count as the head of the next request.
fn keep_active<B>(body: B, active: Option<ActiveRequest>) -> Body
where
    B: http_body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    body.map_err(move |e| {
        let _ = &active;
        e.into()
    })
    .boxed_unsync()
}

/// Serves a request of a caller. A large body with an announced length is read as it is sent on; any other is read whole
/// before a target is chosen. `over_link` says whether it comes over the link of this VM.
pub(crate) async fn serve(
    n: Arc<Node>,
    req: Request<Option<Body>>,
    over_link: bool,
) -> Response<Body> {
    let start = n.clock.now();
    let info = n.adapter.caller_info(req.headers());
    let id = info.id.clone().unwrap_or_default();
    let _guard = n.track_request();
    let (parts, body) = req.into_parts();
    let active = parts.extensions.get::<ActiveRequest>().cloned();
    let mut body = CallerBody { body, over_link };
    let mut state = match read_request(&n, parts, &mut body, info, start).await {
        Ok(state) => state,
        Err(f) => {
            // The next request of the connection may begin before the discarded body is dropped.
            active.iter().for_each(ActiveRequest::set_running);
            body.discard(&n);
            return reject_early(&n, &id, &f);
        }
    };
    let shed = n.fairness().must_shed(&state.request.service, state.rank);
    let result = match shed {
        true => Err(Failure::not_run(Reason::HeldOff)),
        false => run_attempts(&n, &mut state).await,
    };
    let now = n.clock.now();
    let elapsed = now.saturating_sub(start);
    let (name, rank) = (&state.route.name, state.rank);
    n.metrics
        .record_request(name, rank, result.as_ref().err(), elapsed);
    let over_width = state.upload.is_some() && !shed && is_over_width(&result);
    if let Some(served) = was_served(&result).filter(|_| !over_width) {
        n.fairness()
            .record(&state.request.service, rank, served, now);
    }
    if let Some(upload) = state.upload.take() {
        upload.discard(&n, body_limits(&n).idle_timeout);
    }
    match result {
        Ok(response) => {
            if response.status.is_server_error() {
                log_failed(&n, &state, elapsed, "done", response.status.as_str());
            }
            caller_response(&n, &state.request, response)
        }
        Err(f) => {
            log_failed(&n, &state, elapsed, f.outcome.as_str(), f.reason.as_str());
            failure_response(&n, &f, &id, state.retry_after)
        }
    }
}

/// Counts, logs and answers a request that was rejected before a target was chosen.
fn reject_early(n: &Node, id: &str, f: &Failure) -> Response<Body> {
    n.metrics.record_request("none", 0, Some(f), Duration::ZERO);
    // Rejections by quotas are logged by tenant, because there may be very many.
    if f.reason != Reason::Quota {
        log_rejected(n, id, f);
    }
    failure_response(n, f, id, early_back_off(f))
}

/// Logs a request that was rejected before its route was known.
fn log_rejected(n: &Node, id: &str, f: &Failure) {
    n.log.event(
        "request_refused",
        &[
            ("request", id),
            ("version", &n.version().to_string()),
            ("outcome", f.outcome.as_str()),
            ("reason", f.reason.as_str()),
        ],
    );
}

/// Logs a request that failed, with everything that determined its result. The results of its attempts are collected
/// from the start, because it is not known in advance which requests will fail.
fn log_failed(n: &Node, state: &RequestState, elapsed: Duration, outcome: &str, reason: &str) {
    let request = &state.request;
    let remaining = request.deadline.saturating_sub(n.clock.now()).as_millis();
    n.log.event(
        "request_failed",
        &[
            ("request", &request.id),
            ("route", &request.route),
            ("service", &request.service),
            ("version", &state.version.to_string()),
            ("rank", &state.rank.to_string()),
            ("tenant", &request.tenant),
            ("as_rank", &request.rank.to_string()),
            ("outcome", outcome),
            ("reason", reason),
            ("ms", &elapsed.as_millis().to_string()),
            ("left_ms", &remaining.to_string()),
            ("again_ms", &state.retry_after.as_millis().to_string()),
            ("attempts", &state.trace),
        ],
    );
}

/// Whether a request was served (true) or rejected for lack of capacity (false); `None` if the result says nothing
/// about capacity.
fn was_served(result: &Result<TargetResponse, Failure>) -> Option<bool> {
    match result {
        Ok(_) => Some(true),
        Err(f) if f.outcome == Outcome::NotRun && f.reason.is_overload() => Some(false),
        Err(_) => None,
    }
}

/// Whether an upload was rejected because links into VMs are full. More slots for its rank would not help it.
fn is_over_width(result: &Result<TargetResponse, Failure>) -> bool {
    let reason = result.as_ref().err().map(|f| f.reason);
    matches!(reason, Some(Reason::LinkFull | Reason::HeldOff))
}

fn caller_response(
    n: &Arc<Node>,
    request: &TargetRequest,
    response: TargetResponse,
) -> Response<Body> {
    let urgency = Urgency {
        rank: request.rank,
        due: request.due,
    };
    let body = match is_large(response.body.len()) {
        true => PacedBody::new(n, urgency, response.body).boxed_unsync(),
        false => {
            n.shared_link
                .record_written(response.body.len() + MEAN_HEAD_BYTES);
            full(response.body)
        }
    };
    let mut res = Response::new(body);
    *res.status_mut() = response.status;
    *res.headers_mut() = response.headers;
    strip_response(res.headers_mut());
    close_when_leaving(n, res.headers_mut());
    res
}

fn failure_response(n: &Node, f: &Failure, id: &str, back_off: Duration) -> Response<Body> {
    // Without jitter, callers that were rejected together would retry together. Before the time of a quota there is no
    // room, and the times of its rejections differ.
    let jitter = match f.reason {
        Reason::Quota => 1.0 + 0.1 * rand::random::<f64>(),
        _ => 0.75 + 0.5 * rand::random::<f64>(),
    };
    let retry_after = resolve::retry_after(f, back_off).map(|t| t.mul_f64(jitter));
    let mut res = n
        .adapter
        .failure_response(f, (!id.is_empty()).then_some(id), retry_after);
    close_when_leaving(n, res.headers_mut());
    res
}

fn close_when_leaving(n: &Node, h: &mut HeaderMap) {
    if n.phase() != Phase::Serving {
        h.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Host that a request is for; empty if it does not say.
pub(crate) fn host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let header = headers.get(header::HOST);
    header
        .and_then(|v| v.to_str().ok())
        .or(uri.host())
        .unwrap_or_default()
}

/// Finds the route of a request and reads its body, unless that is an upload.
async fn read_request(
    n: &Arc<Node>,
    parts: Parts,
    body: &mut CallerBody,
    info: CallerInfo,
    start: Now,
) -> Result<RequestState, Failure> {
    let table = wait_for_version(n).await?;
    let (host, path) = (host(&parts.headers, &parts.uri), parts.uri.path());
    let (table, route, tenant) = authenticate(n, table, host, path, info.key.as_ref()).await?;
    let remaining = time_limit(&route, info.timeout);
    let quota = match &tenant {
        Some(t) => driver::take(n, t, remaining).await?,
        None => None,
    };
    let active = parts.extensions.get::<ActiveRequest>();
    active
        .into_iter()
        .for_each(|a| a.set_rank(table.rank(&route, tenant.as_deref())));
    let (body, upload) = body
        .take(n, table.limits.body_bytes, remaining, active)
        .await?;
    let quota = match (&tenant, quota) {
        (Some(t), Some(token)) => driver::renew(n, t, token, remaining).await?,
        _ => None,
    };
    let service = n
        .traffic_split()
        .next(&route.name, &route.services)
        .service
        .clone();
    let mut headers = parts.headers;
    context::strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    n.adapter.strip_reserved(&mut headers);
    if !table.tenants.is_empty() {
        n.adapter.strip_key(&mut headers);
    }
    let rank = table.rank(&route, tenant.as_deref());
    n.count_request(&service, rank, start);
    let resolved = Resolved {
        route: &route,
        service: &service,
        tenant: tenant.as_deref(),
        rank,
        start,
        remaining,
    };
    let path = parts.uri.path_and_query();
    let caller = CallerRequest {
        id: info.id.ok_or(Failure::not_run(Reason::BadRequest))?,
        method: parts.method,
        path: path.map_or("/", |p| p.as_str()).into(),
        headers,
        body,
    };
    Ok(RequestState {
        request: resolved.request(n, caller),
        upload,
        version: table.number,
        route,
        rank,
        quota,
        tried: Vec::new(),
        full: Vec::new(),
        sent: 0,
        possible_runs: 0,
        retry_after: Duration::ZERO,
        trace: String::new(),
    })
}

/// Returns the version in force. A process that has just started learns it within moments, so its first requests wait
/// for it.
async fn wait_for_version(n: &Node) -> Result<Arc<RouteTable>, Failure> {
    let end = n.clock.now() + VERSION_TIMEOUT;
    loop {
        match n.routes.load_full() {
            Some(table) => return Ok(table),
            None if n.clock.now() >= end => return Err(Failure::not_run(Reason::NoVersion)),
            None => tokio::time::sleep(VERSION_POLL_INTERVAL).await,
        }
    }
}

/// Limits on bodies of callers, from the version in force.
fn body_limits(n: &Node) -> CallerLimits {
    let table = n.routes.load();
    table.as_ref().map(|t| t.limits.clone()).unwrap_or_default()
}

/// Body of a caller's request; `None` if it is empty or was taken.
struct CallerBody {
    body: Option<Body>,
    over_link: bool,
}

impl CallerBody {
    /// Takes the body of a request that may run: whole, or as an upload if it announces that it is large.
    async fn take(
        &mut self,
        n: &Node,
        max: usize,
        remaining: Duration,
        active: Option<&ActiveRequest>,
    ) -> Result<(Bytes, Option<Arc<Upload>>), Failure> {
        let fits = |b: &mut Body| b.size_hint().lower() <= max as u64;
        if self.body.is_none() {
            return Ok((Bytes::new(), None));
        }
        let body = self.body.take_if(fits);
        let body = body.ok_or(Failure::not_run(Reason::TooLarge))?;
        match upload_len(&body) {
            Some(len) => {
                // It arrives no faster than a target takes it, so no least rate applies to its caller.
                active.into_iter().for_each(ActiveRequest::set_running);
                let upload = Upload::new(body, len, &n.upload_room, self.over_link);
                Ok((Bytes::new(), Some(Arc::new(upload))))
            }
            None => Ok((read_body(body, max, remaining, active).await?, None)),
        }
    }

    /// Discards a body that was not read, in the background.
    fn discard(&mut self, n: &Arc<Node>) {
        if let Some(body) = self.body.take() {
            let limits = body_limits(n);
            upload::discard(n, body, limits.body_bytes, limits.idle_timeout);
        }
    }
}

/// Reads a whole body, which is charged to the budget of the process until the request has its response.
async fn read_body(
    body: Body,
    max: usize,
    remaining: Duration,
    active: Option<&ActiveRequest>,
) -> Result<Bytes, Failure> {
    let read = tokio::time::timeout(remaining, body_buffer::collect(body, max, active)).await;
    read.unwrap_or(Err(Failure::not_run(Reason::SlowCaller)))
}
