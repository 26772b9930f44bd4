//! A request that has been matched to a route, at the entry node or at the owner of its key.

use std::net::IpAddr;

use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::body::{Body, BodyError, BodyLimits, BufferedBody};
use super::checks;
use super::context::{self, Context};
use super::reason::{Failure, Reason};
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::node::Process;
use crate::process::routing::callers::Permit;
use crate::settings::LimitSettings;
use crate::version::manifest::{Resource, Route};
use crate::version::snapshot::Snapshot;

/// Maximum number of levels of a call tree. The first call has depth 0; a call at this depth is rejected, which ends
/// call loops.
pub const MAX_CALL_DEPTH: u8 = 6;

/// A request with its route, from arrival to response.
pub struct RoutedRequest {
    /// Configuration version that routed the request.
    pub snapshot: Arc<Snapshot>,
    /// Route of `snapshot` that matches the request.
    pub route: Route,
    /// Context to propagate; `retries` decreases with each retry.
    pub ctx: Context,
    /// Deadline, by the limit of the route or a shorter one of the caller.
    pub deadline: Now,
    /// HTTP method, sent to the target unchanged.
    pub method: Method,
    /// Path and query; `/` if the URI has neither.
    pub path: PathAndQuery,
    /// Value of the host header; empty when absent.
    pub host: String,
    /// Headers to forward: without hop-by-hop and internal headers, with the header sets of the route.
    pub headers: HeaderMap,
    /// Body with a buffered prefix.
    pub body: BufferedBody,
    /// Permits of the route's `caller-limit` resources, held until the response has ended.
    pub permits: Vec<Permit>,
}

impl BodyLimits {
    /// Limits by `limits.body_bytes` and `limits.body_timeout_ms` in the settings.
    pub fn new(s: &LimitSettings) -> Self {
        Self {
            max_bytes: s.body_bytes as u64,
            read_timeout: Duration::from_millis(s.body_timeout_ms),
        }
    }
}

impl RoutedRequest {
    /// Matches a caller's request to a route and reads the prefix of its body.
    ///
    /// # Errors
    ///
    /// There is no version or no route, a `caller-limit` is reached, or the request is malformed, too slow or too
    /// large. It was not run.
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
        let host = context::parse_header::<String>(&parts.headers, &http::header::HOST);
        let host = host.unwrap_or_default();
        let route = snapshot
            .route(parts.method.as_str(), &host, parts.uri.path())
            .ok_or(Failure::not_run(Reason::NoRoute))?
            .clone();
        let number = snapshot.version.number;
        let ctx = caller_context(&route, number, &parts.headers, from, p.is_local(from))?;
        let permits = acquire_permits(p, &snapshot, &route, &ctx.caller)?;
        let body = body.map_err(Into::into).boxed_unsync();
        let mut routed = Self::from_parts(p, start, (snapshot, route, ctx), parts, body).await?;
        routed.permits = permits;
        Ok(routed)
    }

    /// Accepts a request that another node relayed to the owner of its key.
    ///
    /// # Errors
    ///
    /// There is no version or no route here, or the request is malformed, unauthenticated, too slow or too large. This
    /// attempt was not run.
    pub async fn accept_relayed(p: &Process, req: Request<Incoming>) -> Result<Self, Failure> {
        let start = p.clock.now();
        let (parts, body) = req.into_parts();
        let ctx = Context::read_verified(&parts, p.shared_key.as_ref())?;
        let snapshot = p.config.load_full();
        let snapshot = snapshot.ok_or(Failure::not_run(Reason::NoVersion))?;
        let host = context::parse_header::<String>(&parts.headers, &http::header::HOST);
        let route = snapshot
            .route(
                parts.method.as_str(),
                &host.unwrap_or_default(),
                parts.uri.path(),
            )
            .ok_or(Failure::not_run(Reason::NoRoute))?
            .clone();
        let body = body.map_err(Into::into).boxed_unsync();
        Self::from_parts(p, start, (snapshot, route, ctx), parts, body).await
    }

    /// Reads the prefix of the body and prepares the headers for forwarding.
    async fn from_parts(
        p: &Process,
        start: Now,
        (snapshot, route, ctx): (Arc<Snapshot>, Route, Context),
        parts: http::request::Parts,
        body: Body,
    ) -> Result<Self, Failure> {
        let limits = BodyLimits::new(&p.settings.limits);
        let read = BufferedBody::read(body, limits);
        let body = tokio::time::timeout(ctx.remaining, read)
            .await
            .unwrap_or(Err(Reason::SlowCaller))
            .map_err(Failure::not_run)?;
        let mut headers = parts.headers;
        context::strip_for_forwarding(&mut headers);
        apply_header_sets(&snapshot, &route, &mut headers);
        let host = context::parse_header::<String>(&headers, &http::header::HOST);
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

    /// Hash of method, host, path, query and body prefix.
    pub fn fingerprint(&self) -> Digest {
        fingerprint(&self.method, &self.host, &self.path, &self.body.prefix)
    }

    /// Builds the request to another node's relay port, with the time that remains now.
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
        let mut req = Request::new(self.body.replay());
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = uri;
        *req.headers_mut() = self.headers.clone();
        ctx.write(req.headers_mut());
        checks::write_suspect(p, || self.fingerprint(), req.headers_mut());
        if let Some(key) = &p.shared_key {
            ctx.sign(key, &self.method, self.path.as_str(), req.headers_mut());
        }
        Ok(req)
    }
}

/// The host for comparison of requests, empty if it is an IP address. Callers that address nodes by IP address send the
/// address of the entry node, which differs when the same request arrives at another node.
fn normalized_host(host: &str) -> &str {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let ip = name.trim_matches(['[', ']']).parse::<IpAddr>();
    match ip.is_ok() || host.parse::<IpAddr>().is_ok() {
        true => "",
        false => host,
    }
}

/// Hash that identifies the content of a keyed request. The body has to be fully buffered.
pub fn content_hash(routed: &RoutedRequest) -> Digest {
    Digest::of_parts(&[
        routed.method.as_str().as_bytes(),
        normalized_host(&routed.host).as_bytes(),
        routed.path.as_str().as_bytes(),
        &routed.body.prefix,
    ])
}

/// Hash of method, host, path, query and body prefix, by which quarantine identifies a request.
///
/// The buffered prefix may exceed [`super::body::PREFIX_BYTES`] by a part of a frame, so at most that many bytes are
/// hashed: every node has to compute the same value.
pub fn fingerprint(method: &Method, host: &str, path: &PathAndQuery, prefix: &[u8]) -> Digest {
    let host = normalized_host(host);
    let prefix = &prefix[..prefix.len().min(super::body::PREFIX_BYTES)];
    Digest::of_parts(&[
        method.as_str().as_bytes(),
        host.as_bytes(),
        path.as_str().as_bytes(),
        prefix,
    ])
}

/// Builds the context from the headers of a caller. They can lower the limits of the route, but not raise them.
///
/// `local` is set if the request comes from the backend server beside this node. Only that one may name another caller,
/// because a caller that could choose its name would get more than its share of a queue.
fn caller_context(
    route: &Route,
    version: VersionNumber,
    h: &HeaderMap,
    from: IpAddr,
    local: bool,
) -> Result<Context, Failure> {
    let limit_ms = u64::from(route.deadline_ms);
    let requested_ms: Option<u64> = context::parse_header(h, &context::DEADLINE_MS);
    let retries: Option<u8> = context::parse_header(h, &context::RETRIES);
    let depth = context::parse_header(h, &context::DEPTH).unwrap_or(0);
    if depth >= MAX_CALL_DEPTH {
        return Err(Failure::not_run(Reason::BadRequest));
    }
    let named_caller = context::parse_header::<SmolStr>(h, &context::CALLER);
    Ok(Context {
        id: context::parse_header(h, &context::REQUEST_ID)
            .filter(|id: &SmolStr| (1..=64).contains(&id.len()))
            .unwrap_or_else(|| uuid::Uuid::now_v7().to_string().into()),
        remaining: Duration::from_millis(requested_ms.map_or(limit_ms, |ms| ms.min(limit_ms))),
        rank: route.rank.clone(),
        retries: retries.map_or(route.retries, |r| r.min(route.retries)),
        depth,
        version,
        caller: named_caller
            .filter(|c| local && (1..=64).contains(&c.len()))
            .unwrap_or_else(|| from.to_string().into()),
    })
}

fn apply_header_sets(snapshot: &Snapshot, route: &Route, h: &mut HeaderMap) {
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

fn acquire_permits(
    p: &Process,
    snapshot: &Snapshot,
    route: &Route,
    caller: &CallerId,
) -> Result<Vec<Permit>, Failure> {
    let mut permits = Vec::new();
    for name in &route.resources {
        if let Some(Resource::CallerLimit { name, concurrent }) = snapshot.resource(name) {
            let permit = p.callers.acquire(name, caller, *concurrent);
            permits.push(permit.ok_or(Failure::not_run(Reason::CallerLimit))?);
        }
    }
    Ok(permits)
}
