//! Calls of the target beside this node, readiness checks, and what the node does about its target over time.

use http::{header, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::adapter::{Dispatch, TargetCall};
use super::discovery;
use super::node::Node;
use super::sample::Fact;
use super::target::{Heartbeat, ReportedState, TargetId};
use crate::prelude::*;
use crate::request::body::{full, Body};

/// Largest call of a target, in bytes.
const MAX_CALL_BYTES: usize = 64 << 10;
/// Time for a note in the store before a leaving target gets its acknowledgement, well within the second that it waits.
const NOTE_TIME: Duration = Duration::from_millis(400);
/// Interval in which silence of the target is noticed.
const TICK: Duration = Duration::from_millis(500);
/// Time after the start without a heartbeat after which the target is asked for its name.
const PROBE_AFTER: Duration = Duration::from_millis(60);
/// Time for the answer to a probe, which waits for a slot like any request.
const PROBE_TIME: Duration = Duration::from_millis(900);
/// Slots assumed until the first heartbeat tells them.
const PROBED_SLOTS: u32 = 4;
/// Id of the probe's request.
const PROBE_ID: &str = "probe";

fn reply(status: StatusCode, body: &'static str) -> Response<Body> {
    let mut res = Response::new(full(body));
    *res.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}

/// Answers a readiness check.
pub async fn ready(n: Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    match n.adapter.is_ready_check(req.method(), req.uri().path()) {
        false => reply(StatusCode::NOT_FOUND, "{}"),
        true if n.ready() => reply(StatusCode::OK, "{}"),
        true => reply(StatusCode::SERVICE_UNAVAILABLE, "{}"),
    }
}

/// Answers a call of the target.
pub async fn serve(n: Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    let (parts, body) = req.into_parts();
    let Ok(body) = Limited::new(body, MAX_CALL_BYTES).collect().await else {
        return reply(StatusCode::BAD_REQUEST, "{}");
    };
    let call = n
        .adapter
        .target_call(&parts.method, parts.uri.path(), &body.to_bytes());
    match call {
        Ok(TargetCall::Heartbeat(h)) => heartbeat(&n, &h).await,
        Ok(TargetCall::Ended(id, born)) => ended(&n, &id, born).await,
        Err(e) => {
            n.metrics.rejected.with_label_values(&["heartbeat"]).inc();
            n.log.event("heartbeat_rejected", &[("error", &e)]);
            reply(StatusCode::BAD_REQUEST, "{}")
        }
    }
}

async fn heartbeat(n: &Arc<Node>, h: &Heartbeat) -> Response<Body> {
    let leaving = n.target().is_leaving();
    let out = n.target().on_heartbeat(h, n.clock.now());
    match out {
        Ok(_) => {
            n.confirmed.note(Fact::Heartbeat, n.clock.now());
            n.refresh_target();
            if h.state == ReportedState::Draining && !leaving {
                note_left(n, &h.id, h.incarnation).await;
            }
            reply(StatusCode::OK, "{}")
        }
        Err(e) => {
            n.metrics.rejected.with_label_values(&[e.as_str()]).inc();
            n.log.event(
                "heartbeat_refused",
                &[("target", &h.id), ("reason", e.as_str())],
            );
            reply(StatusCode::CONFLICT, "{}")
        }
    }
}

async fn ended(n: &Arc<Node>, id: &TargetId, born: u64) -> Response<Body> {
    let leaving = n.target().is_leaving();
    let out = n.target().on_stop(id, born, n.clock.now());
    match out {
        Ok(_) => {
            n.refresh_target();
            if !leaving {
                note_left(n, id, born).await;
            }
            reply(StatusCode::OK, "{}")
        }
        // A call about an earlier lifetime changes nothing, and there is nothing that its sender could still do.
        Err(e) => {
            n.metrics.rejected.with_label_values(&[e.as_str()]).inc();
            reply(StatusCode::OK, "{}")
        }
    }
}

/// The acknowledgement binds also after a restart of this node, so it is noted in the store first. When the store does
/// not answer in time, the next process relies on the target's health probe.
async fn note_left(n: &Arc<Node>, id: &TargetId, born: u64) {
    n.log.event("target_leaving", &[("target", id)]);
    let note = discovery::note_left(n, id, born);
    match tokio::time::timeout(NOTE_TIME, note).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => n.log.event("note_failed", &[("error", &e.to_string())]),
        Err(_) => n.log.event("note_failed", &[("error", "timeout")]),
    }
}

/// Looks after the target for ever: learns it soon after the start, and notices its silence.
pub async fn watch(n: Arc<Node>) {
    tokio::time::sleep(PROBE_AFTER).await;
    let mut probed = false;
    loop {
        if !probed && n.target().is_unknown() && n.ready_to_probe() {
            probed = true;
            probe(&n).await;
        }
        n.refresh_target();
        let changes = n.members().expire(n.clock.now());
        changes.into_iter().for_each(|c| n.apply(c));
        let pause = match probed || !n.target().is_unknown() {
            true => TICK,
            false => PROBE_AFTER,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Asks the target for its name and health. A target that leaves or is not well is not served before its heartbeat.
async fn probe(n: &Arc<Node>) {
    let path = n.health_path();
    let Some(path) = path else { return };
    let mut req = Request::new(Full::default());
    *req.method_mut() = Method::GET;
    let Ok(uri) = path.parse() else { return };
    *req.uri_mut() = uri;
    let address = n.settings().sidecar.target.to_string();
    if let Ok(host) = HeaderValue::try_from(address) {
        req.headers_mut().insert(header::HOST, host);
    }
    let none = TargetId::default();
    let dispatch = Dispatch {
        id: PROBE_ID,
        left: PROBE_TIME,
        target: &none,
        caller: &n.service,
    };
    n.adapter.dispatch(req.headers_mut(), &dispatch);
    let now = n.clock.now();
    let sent = tokio::time::timeout(PROBE_TIME, n.pool.send(req, false, now)).await;
    let Ok(Ok((whole, used))) = sent else {
        n.log.event("target_probed", &[("target", "none")]);
        return;
    };
    n.pool.put_back(used, n.clock.now());
    if let Some(id) = n.adapter.probed(whole.status, &whole.headers) {
        n.log.event("target_probed", &[("target", &id)]);
        n.target().on_probe(id, PROBED_SLOTS, n.clock.now());
    }
}
