//! Requests of a connection that run beside each other.

use bytes::Bytes;
use http::{request, Request};
use http_body_util::Empty;

use crate::connection::pipeline::{EarlyStart, ResponseFuture};
use crate::prelude::*;
use crate::sidecar::process::node::{Node, Phase};
use crate::sidecar::request::entry;

/// Starts idempotent requests of callers while earlier ones of their connection run.
pub(crate) struct EarlyRequests(pub(crate) Arc<Node>);

impl EarlyStart for EarlyRequests {
    fn may_overlap(&self, request: &request::Parts) -> bool {
        let table = self.0.routes.load();
        let host = entry::host(&request.headers, &request.uri);
        let route = table
            .as_ref()
            .and_then(|t| t.route(host, request.uri.path()));
        // The connections of a stopping node close after the response to the request that runs.
        self.0.phase() == Phase::Serving && route.is_some_and(|r| r.idempotent)
    }

    fn start(&self, request: Request<Empty<Bytes>>) -> ResponseFuture {
        Box::pin(entry::serve(self.0.clone(), request.map(|_| None), false))
    }
}
