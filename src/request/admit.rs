//! Admitting node: waits for a slot of the local backend server and sends a relayed request to it.

use http::uri::PathAndQuery;
use http::{header, HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::body::{buffer_short_response, guard_response, Body, BodyLimits, BufferedBody};
use super::checks::{self, InFlight};
use super::context::{self, Context};
use super::entry;
use super::owner;
use super::reason::{Failure, Outcome, Reason, OUTCOME, REASON};
use super::routed::fingerprint;
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::node::Process;
use crate::process::target::backend::AdmittedRequest;

/// A request that an entry node relayed to this admitting node.
struct RelayedRequest {
    ctx: Context,
    deadline: Now,
    fingerprint: Digest,
    parts: http::request::Parts,
    body: BufferedBody,
}

/// Serves one request relayed by another node.
pub async fn serve(p: Arc<Process>, req: Request<Incoming>) -> Response<Body> {
    let id = req.headers().get(context::REQUEST_ID).cloned();
    let mut fingerprint = None;
    let result = async {
        if owner::is_for_owner(&req) {
            return owner::serve(&p, req).await.map(entry::mark_done);
        }
        let relayed = accept(&p, req).await?;
        fingerprint = Some(relayed.fingerprint);
        checks::read_suspect(&p, || relayed.fingerprint, &relayed.parts.headers);
        let admitted = checks::check_admission(&p, &relayed.fingerprint, relayed.deadline).await?;
        forward(&p, relayed, admitted).await
    };
    let mut res = result.await.unwrap_or_else(|f| f.response());
    if let Some(f) = fingerprint.filter(|_| res.headers().contains_key(REASON)) {
        checks::write_suspect(&p, || f, res.headers_mut());
    }
    entry::close_if_draining(&p, &mut res);
    // Lets the entry node detect a response that belongs to another request.
    if let Some(id) = id {
        res.headers_mut().insert(context::REQUEST_ID, id);
    }
    res
}

/// Verifies the HMAC of the request and reads the prefix of the body.
async fn accept(p: &Process, req: Request<Incoming>) -> Result<RelayedRequest, Failure> {
    let start = p.clock.now();
    let (parts, body) = req.into_parts();
    let ctx = Context::read_verified(&parts, p.shared_key.as_ref())?;
    let limits = BodyLimits::new(&p.settings.limits);
    let read = BufferedBody::read(body.map_err(Into::into).boxed_unsync(), limits);
    let body = tokio::time::timeout(ctx.remaining, read)
        .await
        .unwrap_or(Err(Reason::SlowCaller))
        .map_err(Failure::not_run)?;
    let host: String = context::parse_header(&parts.headers, &header::HOST).unwrap_or_default();
    let root = PathAndQuery::from_static("/");
    let path = parts.uri.path_and_query().unwrap_or(&root);
    Ok(RelayedRequest {
        deadline: start + ctx.remaining,
        fingerprint: fingerprint(&parts.method, &host, path, &body.prefix),
        ctx,
        parts,
        body,
    })
}

/// Waits for a slot, sends the request to the backend server and returns its response.
async fn forward(
    p: &Arc<Process>,
    relayed: RelayedRequest,
    admitted: AdmittedRequest,
) -> Result<Response<Body>, Failure> {
    p.backend().ok_or(Failure::not_run(Reason::NotReady))?;
    let snapshot = p.config.load_full();
    let (rank, caller) = (&relayed.ctx.rank, &relayed.ctx.caller);
    let slot = p
        .slots
        .acquire(snapshot.as_deref(), rank, caller, relayed.deadline);
    let mut slot = slot.await?;
    let backend = p.backend().ok_or(Failure::not_run(Reason::NotReady))?;
    let mut in_flight = InFlight::begin(admitted)?;
    let remaining = relayed.deadline.saturating_sub(p.clock.now());
    let result = tokio::time::timeout(remaining, send(p, &relayed, backend, remaining)).await;
    let result = result.unwrap_or(Err(Failure::unknown(Reason::Deadline)));
    in_flight
        .finish(result.as_ref().map(|_| ()).map_err(|f| *f))
        .await;
    let mut res = result?;
    slot.mark_ran();
    let h = res.headers_mut();
    h.insert(OUTCOME, HeaderValue::from_static(Outcome::Done.as_str()));
    h.insert(context::LOAD_PERCENT, p.slots.load_percent().into());
    let remaining = relayed.deadline.saturating_sub(p.clock.now());
    Ok(guard_response(res, remaining, (slot, in_flight)))
}

/// Sends the request to the backend server and checks the response.
async fn send(
    p: &Process,
    relayed: &RelayedRequest,
    backend: std::net::SocketAddr,
    timeout: Duration,
) -> Result<Response<Body>, Failure> {
    let req = backend_request(relayed, backend, timeout)?;
    let mut res = p.upstream.send(req).await?;
    if relayed.ctx.is_mismatched(res.headers()) {
        return Err(Failure::unknown(Reason::BadResponse));
    }
    let declined = res.status() == StatusCode::SERVICE_UNAVAILABLE
        && res
            .headers()
            .get(context::NOT_RUN)
            .is_some_and(|v| v == "true");
    if declined {
        return Err(Failure::not_run(Reason::Declined));
    }
    context::strip_hop_by_hop(res.headers_mut());
    context::strip_internal(res.headers_mut());
    buffer_short_response(res, timeout).await
}

/// Builds the request for the backend server, with `timeout` as its remaining time. Its depth is already that of the
/// calls that the backend server makes while it handles the request, so that the backend server only needs to copy the
/// `dq-` headers to them.
fn backend_request(
    relayed: &RelayedRequest,
    backend: std::net::SocketAddr,
    timeout: Duration,
) -> Result<Request<Body>, Failure> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(backend.to_string())
        .path_and_query(
            relayed
                .parts
                .uri
                .path_and_query()
                .map_or("/", |p| p.as_str()),
        )
        .build()
        .map_err(|_| Failure::not_run(Reason::BadRequest))?;
    let mut req = Request::new(relayed.body.replay());
    *req.method_mut() = relayed.parts.method.clone();
    *req.uri_mut() = uri;
    *req.headers_mut() = relayed.parts.headers.clone();
    context::strip_for_forwarding(req.headers_mut());
    let ctx = Context {
        remaining: timeout,
        depth: relayed.ctx.depth.saturating_add(1),
        ..relayed.ctx.clone()
    };
    ctx.write(req.headers_mut());
    Ok(req)
}
