//! A caller's request as the entry node holds it.

use std::net::IpAddr;

use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::body::{Body, BodyError, BodyLimits, HeldBody};
use super::context::{self, Context};
use super::gate;
use super::reason::{Failure, Reason};
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::node::Process;
use crate::process::routing::callers::Permit;
use crate::settings::LimitSettings;
use crate::version::manifest::{Resource, Route};
use crate::version::snapshot::Snapshot;

/// Largest depth of a call tree; deeper calls are refused, which ends call loops.
pub const MAX_DEPTH: u8 = 6;

/// A request with its route, from its arrival to its answer.
pub struct Job {
    /// Version that the request started with.
    pub snapshot: Arc<Snapshot>,
    /// Route.
    pub route: Route,
    /// What travels with the request; `retries` shrinks with each retry.
    pub ctx: Context,
    /// Time at which the caller's deadline passes.
    pub deadline: Now,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// Value of the host header, empty when absent.
    pub host: String,
    /// Headers to forward: without hop-by-hop and internal ones, with those of the route's resources.
    pub headers: HeaderMap,
    /// Body, of which the first part has been read.
    pub body: HeldBody,
    /// Permits of the route's `caller-limit` resources, held until the answer has ended.
    pub permits: Vec<Permit>,
}

impl BodyLimits {
    /// The limits of these settings.
    pub fn new(s: &LimitSettings) -> Self {
        Self {
            bytes: s.body_bytes as u64,
            part: Duration::from_millis(s.body_timeout_ms),
        }
    }
}

impl Job {
    /// Matches the route of a request and reads the first part of its body.
    ///
    /// # Errors
    ///
    /// No version or route, or a malformed, slow or too large request. It was not run.
    pub async fn accept<B>(p: &Process, req: Request<B>, from: IpAddr) -> Result<Self, Failure>
    where
        B: http_body::Body<Data = bytes::Bytes> + Send + 'static,
        B::Error: Into<BodyError>,
    {
        let start = p.clock.now();
        let snapshot = p
            .config
            .load_full()
            .ok_or(Failure::not_run(Reason::NoVersion))?;
        let (parts, body) = req.into_parts();
        let host = context::header::<String>(&parts.headers, &http::header::HOST);
        let host = host.unwrap_or_default();
        let route = snapshot
            .route(parts.method.as_str(), &host, parts.uri.path())
            .ok_or(Failure::not_run(Reason::NoRoute))?
            .clone();
        let number = snapshot.version.number;
        let ctx = caller_context(&route, number, &parts.headers, from, p.is_local(from))?;
        let permits = take_permits(p, &snapshot, &route, &ctx.caller)?;
        let body = body.map_err(Into::into).boxed_unsync();
        let mut job = Self::read(p, start, (snapshot, route, ctx), parts, body).await?;
        job.permits = permits;
        Ok(job)
    }

    /// Reads a request that another node relayed to the owner of its key.
    ///
    /// # Errors
    ///
    /// No version or route here, or a malformed, unproven, slow or too large request. This attempt was not run.
    pub async fn relayed(p: &Process, req: Request<Incoming>) -> Result<Self, Failure> {
        let start = p.clock.now();
        let (parts, body) = req.into_parts();
        let ctx = Context::read_proven(&parts, p.shared_key.as_ref())?;
        let snapshot = p.config.load_full();
        let snapshot = snapshot.ok_or(Failure::not_run(Reason::NoVersion))?;
        let host = context::header::<String>(&parts.headers, &http::header::HOST);
        let route = snapshot
            .route(
                parts.method.as_str(),
                &host.unwrap_or_default(),
                parts.uri.path(),
            )
            .ok_or(Failure::not_run(Reason::NoRoute))?
            .clone();
        let body = body.map_err(Into::into).boxed_unsync();
        Self::read(p, start, (snapshot, route, ctx), parts, body).await
    }

    async fn read(
        p: &Process,
        start: Now,
        (snapshot, route, ctx): (Arc<Snapshot>, Route, Context),
        parts: http::request::Parts,
        body: Body,
    ) -> Result<Self, Failure> {
        let limits = BodyLimits::new(&p.settings.limits);
        let read = HeldBody::read(body, limits);
        let body = tokio::time::timeout(ctx.remaining, read)
            .await
            .unwrap_or(Err(Reason::SlowCaller))
            .map_err(Failure::not_run)?;
        let mut headers = parts.headers;
        context::strip(&mut headers);
        add_headers(&snapshot, &route, &mut headers);
        let host = context::header::<String>(&headers, &http::header::HOST);
        Ok(Self {
            deadline: start + ctx.remaining,
            path: parts
                .uri
                .path_and_query()
                .cloned()
                .unwrap_or(PathAndQuery::from_static("/")),
            method: parts.method,
            snapshot,
            route,
            ctx,
            host: host.unwrap_or_default(),
            headers,
            body,
            permits: Vec::new(),
        })
    }

    /// Hash of method, host, path, query and the first part of the body.
    pub fn fingerprint(&self) -> Digest {
        fingerprint(&self.method, &self.host, &self.path, &self.body.prefix)
    }

    /// A request for another node's relay port, with the remaining time as of `now`.
    ///
    /// # Errors
    ///
    /// The path cannot be part of a URI. The request was not run.
    pub fn relay_request(
        &self,
        p: &Process,
        to: std::net::SocketAddr,
    ) -> Result<Request<Body>, Failure> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(to.to_string())
            .path_and_query(self.path.clone())
            .build()
            .map_err(|_| Failure::not_run(Reason::BadRequest))?;
        let mut ctx = self.ctx.clone();
        ctx.remaining = self.deadline.saturating_sub(p.clock.now());
        let mut req = Request::new(self.body.body());
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = uri;
        *req.headers_mut() = self.headers.clone();
        ctx.write(req.headers_mut());
        gate::write_suspect(p, || self.fingerprint(), req.headers_mut());
        if let Some(key) = &p.shared_key {
            ctx.prove(key, &self.method, self.path.as_str(), req.headers_mut());
        }
        Ok(req)
    }
}

/// The host as far as it names the work: callers that address nodes by IP number send the entry node's own address,
/// which differs when the same request comes through another node.
fn host_name(host: &str) -> &str {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let number = name.trim_matches(['[', ']']).parse::<IpAddr>();
    match number.is_ok() || host.parse::<IpAddr>().is_ok() {
        true => "",
        false => host,
    }
}

/// Hash of all that makes two requests with one key the same request. The body has to be held.
pub fn content(job: &Job) -> Digest {
    Digest::of_parts(&[
        job.method.as_str().as_bytes(),
        host_name(&job.host).as_bytes(),
        job.path.as_str().as_bytes(),
        &job.body.prefix,
    ])
}

/// Hash of method, host, path, query and the first part of the body.
///
/// The first part may hold one network read more than the named size, so exactly
/// [`super::body::PREFIX_BYTES`] are hashed: every node has to find the same value.
pub fn fingerprint(method: &Method, host: &str, path: &PathAndQuery, prefix: &[u8]) -> Digest {
    let host = host_name(host);
    let part = &prefix[..prefix.len().min(super::body::PREFIX_BYTES)];
    Digest::of_parts(&[
        method.as_str().as_bytes(),
        host.as_bytes(),
        path.as_str().as_bytes(),
        part,
    ])
}

/// Reads the headers of a caller. They can lower the limits of the route and never raise one.
///
/// `local` says that the caller runs beside this node: only its own backend server may name another caller,
/// because a caller that could choose its name would get more than its share of a queue.
fn caller_context(
    route: &Route,
    version: VersionNumber,
    h: &HeaderMap,
    from: IpAddr,
    local: bool,
) -> Result<Context, Failure> {
    let limit = u64::from(route.deadline_ms);
    let asked: Option<u64> = context::header(h, &context::DEADLINE);
    let retries: Option<u8> = context::header(h, &context::RETRIES);
    let depth = context::header(h, &context::DEPTH).unwrap_or(0);
    if depth >= MAX_DEPTH {
        return Err(Failure::not_run(Reason::BadRequest));
    }
    let named = context::header::<SmolStr>(h, &context::CALLER);
    Ok(Context {
        id: context::header(h, &context::REQUEST_ID)
            .filter(|id: &SmolStr| (1..=64).contains(&id.len()))
            .unwrap_or_else(|| uuid::Uuid::now_v7().to_string().into()),
        remaining: Duration::from_millis(asked.map_or(limit, |a| a.min(limit))),
        rank: route.rank.clone(),
        retries: retries.map_or(route.retries, |r| r.min(route.retries)),
        depth,
        version,
        caller: named
            .filter(|c| local && (1..=64).contains(&c.len()))
            .unwrap_or_else(|| from.to_string().into()),
    })
}

fn add_headers(snapshot: &Snapshot, route: &Route, h: &mut HeaderMap) {
    for name in &route.resources {
        let Some(Resource::HeaderSet { headers, .. }) = snapshot.resource(name) else {
            continue;
        };
        for (k, v) in headers {
            let name = k.parse::<http::HeaderName>();
            if let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(v)) {
                h.insert(name, value);
            }
        }
    }
}

fn take_permits(
    p: &Process,
    snapshot: &Snapshot,
    route: &Route,
    caller: &CallerId,
) -> Result<Vec<Permit>, Failure> {
    let mut out = Vec::new();
    for name in &route.resources {
        if let Some(Resource::CallerLimit { name, concurrent }) = snapshot.resource(name) {
            let permit = p.callers.acquire(name, caller, *concurrent);
            out.push(permit.ok_or(Failure::not_run(Reason::CallerLimit))?);
        }
    }
    Ok(out)
}
