//! Admitting node: gives a relayed request a slot of the backend server beside it.

use http::uri::PathAndQuery;
use http::{header, HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::body::{guard, settle, Body, BodyLimits, HeldBody};
use super::context::{self, Context};
use super::entry;
use super::gate::{self, InFlight};
use super::job::fingerprint;
use super::owner;
use super::reason::{Failure, Outcome, Reason, OUTCOME, REASON};
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::node::Process;
use crate::process::target::backend::Pass;

/// A relayed request as the admitting node holds it.
struct Work {
    ctx: Context,
    deadline: Now,
    fingerprint: Digest,
    parts: http::request::Parts,
    body: HeldBody,
}

/// Serves one request relayed by another node.
pub async fn serve(p: Arc<Process>, req: Request<Incoming>) -> Response<Body> {
    let id = req.headers().get(context::REQUEST_ID).cloned();
    let mut admitted = None;
    let out = async {
        if owner::is_for_owner(&req) {
            return owner::serve(&p, req).await.map(entry::mark_done);
        }
        let work = check(&p, req).await?;
        admitted = Some(work.fingerprint);
        gate::read_suspect(&p, || work.fingerprint, &work.parts.headers);
        let pass = gate::check_admit(&p, &work.fingerprint, work.deadline).await?;
        forward(&p, work, pass).await
    };
    let mut res = out.await.unwrap_or_else(|f| f.response());
    if let Some(f) = admitted.filter(|_| res.headers().contains_key(REASON)) {
        gate::write_suspect(&p, || f, res.headers_mut());
    }
    entry::close_when_leaving(&p, &mut res);
    // Lets the entry node find out when an answer belongs to another request.
    if let Some(id) = id {
        res.headers_mut().insert(context::REQUEST_ID, id);
    }
    res
}

/// Checks the proof of the shared key and reads the first part of the body.
async fn check(p: &Process, req: Request<Incoming>) -> Result<Work, Failure> {
    let start = p.clock.now();
    let (parts, body) = req.into_parts();
    let ctx = Context::read_proven(&parts, p.shared_key.as_ref())?;
    let limits = BodyLimits::new(&p.settings.limits);
    let read = HeldBody::read(body.map_err(Into::into).boxed_unsync(), limits);
    let body = tokio::time::timeout(ctx.remaining, read)
        .await
        .unwrap_or(Err(Reason::SlowCaller))
        .map_err(Failure::not_run)?;
    let host: String = context::header(&parts.headers, &header::HOST).unwrap_or_default();
    let root = PathAndQuery::from_static("/");
    let path = parts.uri.path_and_query().unwrap_or(&root);
    Ok(Work {
        deadline: start + ctx.remaining,
        fingerprint: fingerprint(&parts.method, &host, path, &body.prefix),
        ctx,
        parts,
        body,
    })
}

/// Waits for a slot, sends the request to the backend server and returns its answer.
async fn forward(p: &Arc<Process>, work: Work, pass: Pass) -> Result<Response<Body>, Failure> {
    p.backend().ok_or(Failure::not_run(Reason::NotReady))?;
    let snapshot = p.config.load_full();
    let (rank, caller) = (&work.ctx.rank, &work.ctx.caller);
    let slot = p
        .slots
        .take(snapshot.as_deref(), rank, caller, work.deadline);
    let mut slot = slot.await?;
    let backend = p.backend().ok_or(Failure::not_run(Reason::NotReady))?;
    let mut flight = InFlight::begin(pass)?;
    let left = work.deadline.saturating_sub(p.clock.now());
    let sent = tokio::time::timeout(left, send(p, &work, backend, left)).await;
    let sent = sent.unwrap_or(Err(Failure::unknown(Reason::Deadline)));
    flight
        .ended(sent.as_ref().map(|_| ()).map_err(|f| *f))
        .await;
    let mut res = sent?;
    slot.ran();
    let h = res.headers_mut();
    h.insert(OUTCOME, HeaderValue::from_static(Outcome::Done.as_str()));
    h.insert(context::LOAD, p.slots.load_percent().into());
    let left = work.deadline.saturating_sub(p.clock.now());
    Ok(guard(res, left, (slot, flight)))
}

async fn send(
    p: &Process,
    work: &Work,
    backend: std::net::SocketAddr,
    left: Duration,
) -> Result<Response<Body>, Failure> {
    let req = backend_request(work, backend, left)?;
    let mut res = p.upstream.send(req).await?;
    if work.ctx.is_crossed(res.headers()) {
        return Err(Failure::unknown(Reason::BadAnswer));
    }
    let declined = res.status() == StatusCode::SERVICE_UNAVAILABLE
        && res
            .headers()
            .get(context::NOT_RUN)
            .is_some_and(|v| v == "true");
    if declined {
        return Err(Failure::not_run(Reason::Declined));
    }
    context::strip_hop(res.headers_mut());
    context::strip_internal(res.headers_mut());
    settle(res, left).await
}

/// The request as the backend server gets it. Its depth is that of the calls that the backend server makes for it,
/// so that copying the `dq-` headers to those calls is enough.
fn backend_request(
    work: &Work,
    backend: std::net::SocketAddr,
    left: Duration,
) -> Result<Request<Body>, Failure> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(backend.to_string())
        .path_and_query(work.parts.uri.path_and_query().map_or("/", |p| p.as_str()))
        .build()
        .map_err(|_| Failure::not_run(Reason::BadRequest))?;
    let mut req = Request::new(work.body.body());
    *req.method_mut() = work.parts.method.clone();
    *req.uri_mut() = uri;
    *req.headers_mut() = work.parts.headers.clone();
    context::strip(req.headers_mut());
    let ctx = Context {
        remaining: left,
        depth: work.ctx.depth.saturating_add(1),
        ..work.ctx.clone()
    };
    ctx.write(req.headers_mut());
    Ok(req)
}
