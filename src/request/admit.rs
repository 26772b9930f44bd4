//! Admitting node: gives a relayed request a slot of the backend server beside it.

use http::{Request, Response, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::body::Body;
use super::context::Context;
use super::reason::{Failure, Reason};
use crate::connection::upstream::SendError;
use crate::prelude::*;
use crate::process::node::Process;

/// Serves one request relayed by another node.
pub async fn serve(p: Arc<Process>, req: Request<Incoming>) -> Response<Body> {
    run(&p, req).await.unwrap_or_else(|f| f.response())
}

async fn run(p: &Process, req: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let ctx = Context::read(req.headers()).ok_or(Failure::not_run(Reason::BadRequest))?;
    let backend = p.backend().ok_or(Failure::not_run(Reason::NotReady))?;
    let (mut parts, body) = req.into_parts();
    parts.uri = Uri::builder()
        .scheme("http")
        .authority(backend.to_string())
        .path_and_query(parts.uri.path_and_query().map_or("/", |p| p.as_str()))
        .build()
        .map_err(|_| Failure::not_run(Reason::BadRequest))?;
    let req = Request::from_parts(parts, body.map_err(Into::into).boxed_unsync());
    match tokio::time::timeout(ctx.remaining, p.upstream.send(req)).await {
        Ok(Ok(res)) => Ok(res),
        Ok(Err(SendError::NotSent(_))) => Err(Failure::not_run(Reason::NotSent)),
        Ok(Err(SendError::Lost(_))) => Err(Failure::unknown(Reason::Lost)),
        Err(_) => Err(Failure::unknown(Reason::Deadline)),
    }
}
