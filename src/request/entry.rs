//! Entry node: matches the route, chooses a target and relays the request.

use std::net::{IpAddr, SocketAddr};

use http::{Request, Response, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::RngExt;

use super::body::Body;
use super::context::{self, Context};
use super::reason::{Failure, Outcome, Reason, OUTCOME};
use crate::connection::upstream::SendError;
use crate::prelude::*;
use crate::process::node::Process;
use crate::process::record::TargetState;
use crate::version::manifest::Route;
use crate::version::snapshot::Snapshot;

/// Serves one request of a caller.
pub async fn serve(p: Arc<Process>, req: Request<Incoming>, from: IpAddr) -> Response<Body> {
    let config = p.config.load_full();
    let out = match config {
        Some(snapshot) => relay(&p, &snapshot, req, from).await,
        None => Err(Failure::not_run(Reason::NoVersion)),
    };
    out.unwrap_or_else(|f| {
        p.metrics.refused(f.reason);
        f.response()
    })
}

async fn relay(
    p: &Process,
    snapshot: &Snapshot,
    req: Request<Incoming>,
    from: IpAddr,
) -> Result<Response<Body>, Failure> {
    let host = context::header::<String>(req.headers(), &http::header::HOST).unwrap_or_default();
    let route = snapshot
        .route(req.method().as_str(), &host, req.uri().path())
        .ok_or(Failure::not_run(Reason::NoRoute))?;
    let target = choose(p, &route.service).ok_or(Failure::not_run(Reason::NoTarget))?;
    let ctx = make_context(snapshot, route, &req, from);
    let req = readdress(req, target, &ctx)?;
    let sent = tokio::time::timeout(ctx.remaining, p.upstream.send(req)).await;
    match sent {
        Ok(Ok(mut res)) => {
            let done = http::HeaderValue::from_static(Outcome::Done.as_str());
            res.headers_mut().entry(OUTCOME).or_insert(done);
            Ok(res)
        }
        Ok(Err(SendError::NotSent(_))) => Err(Failure::not_run(Reason::NotSent)),
        Ok(Err(SendError::Lost(_))) => Err(Failure::unknown(Reason::Lost)),
        Err(_) => Err(Failure::unknown(Reason::Deadline)),
    }
}

fn choose(p: &Process, service: &str) -> Option<SocketAddr> {
    let records = p.records.load();
    let usable =
        |t: &crate::process::record::Target| t.service == service && t.state == TargetState::Ready;
    let found: Vec<_> = records
        .values()
        .filter(|r| r.target.as_ref().is_some_and(usable))
        .map(|r| r.addresses.relay)
        .collect();
    match found.len() {
        0 => None,
        n => Some(found[rand::rng().random_range(0..n)]),
    }
}

fn make_context(
    snapshot: &Snapshot,
    route: &Route,
    req: &Request<Incoming>,
    from: IpAddr,
) -> Context {
    let h = req.headers();
    let limit = u64::from(route.deadline_ms);
    let asked: Option<u64> = context::header(h, &context::DEADLINE);
    Context {
        id: context::header(h, &context::REQUEST_ID)
            .unwrap_or_else(|| uuid::Uuid::now_v7().to_string().into()),
        remaining: Duration::from_millis(asked.unwrap_or(limit).min(limit)),
        rank: route.rank.clone(),
        retries: context::header(h, &context::RETRIES)
            .unwrap_or(route.retries)
            .min(route.retries),
        depth: context::header(h, &context::DEPTH).unwrap_or(0),
        version: snapshot.version.number,
        caller: context::header(h, &context::CALLER).unwrap_or_else(|| from.to_string().into()),
    }
}

fn readdress(
    req: Request<Incoming>,
    to: SocketAddr,
    ctx: &Context,
) -> Result<Request<Body>, Failure> {
    let (mut parts, body) = req.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    parts.uri = Uri::builder()
        .scheme("http")
        .authority(to.to_string())
        .path_and_query(path)
        .build()
        .map_err(|_| Failure::not_run(Reason::BadRequest))?;
    ctx.write(&mut parts.headers);
    Ok(Request::from_parts(
        parts,
        body.map_err(Into::into).boxed_unsync(),
    ))
}
