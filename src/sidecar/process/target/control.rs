//! Calls from the target, readiness checks, and monitoring of the target.

use http::{header, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::connection::body_buffer;
use crate::connection::meter::ActiveRequest;
use crate::prelude::*;
use crate::request::body::{full, Body};
use crate::sidecar::adapter::{TargetCall, TargetHeaders};
use crate::sidecar::process::node::{lock, Node};
use crate::sidecar::process::sample::Confirmation;
use crate::sidecar::process::target::departure;
use crate::sidecar::process::target::heartbeat::{Heartbeat, ReportedState};
use crate::sidecar::process::target::state::TargetId;

/// Maximum size of the body of a call, in bytes.
const MAX_CALL_BYTES: usize = 64 << 10;
/// Interval at which the state of the target is checked, for example for missing heartbeats.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the start of the process after which the target is probed if it has not sent a heartbeat.
const PROBE_DELAY: Duration = Duration::from_millis(60);
/// Timeout of the probe, which waits for a slot of the target like any other request.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of slots assumed for a target until its first heartbeat.
const ASSUMED_SLOTS: u32 = 4;
const PROBE_REQUEST_ID: &str = "probe";

fn json_response(status: StatusCode, body: &'static str) -> Response<Body> {
    let mut res = Response::new(full(body));
    *res.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}

/// Serves a readiness check: status 200 if the node is ready and 503 if not; 404 for other requests.
pub async fn serve_readiness(n: Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    match n.adapter.is_readiness_check(req.method(), req.uri().path()) {
        false => json_response(StatusCode::NOT_FOUND, "{}"),
        true if n.ready() => json_response(StatusCode::OK, "{}"),
        true => json_response(StatusCode::SERVICE_UNAVAILABLE, "{}"),
    }
}

/// Serves a call of the target: a heartbeat or the announcement of its stop.
pub async fn serve(n: Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    let (parts, body) = req.into_parts();
    let active = parts.extensions.get::<ActiveRequest>();
    let Ok(body) = body_buffer::collect(body, MAX_CALL_BYTES, active).await else {
        return json_response(StatusCode::BAD_REQUEST, "{}");
    };
    let call = n
        .adapter
        .parse_target_call(&parts.method, parts.uri.path(), &body);
    match call {
        Ok(TargetCall::Heartbeat(h)) => handle_heartbeat(&n, &h).await,
        Ok(TargetCall::Stop(id, incarnation)) => handle_stop(&n, &id, incarnation).await,
        Err(e) => {
            n.metrics
                .rejected_inputs
                .with_label_values(&["heartbeat"])
                .inc();
            n.log.event("heartbeat_rejected", &[("error", &e)]);
            json_response(StatusCode::BAD_REQUEST, "{}")
        }
    }
}

async fn handle_heartbeat(n: &Arc<Node>, h: &Heartbeat) -> Response<Body> {
    let result = n.target().on_heartbeat(h, n.clock.now());
    match result {
        Ok(_) => {
            n.last_confirmed
                .record(Confirmation::Heartbeat, n.clock.now());
            n.on_own_heartbeat(h);
            n.apply_target_state();
            match h.state {
                ReportedState::Draining => {
                    let departed = n.target().last_departed(&h.id);
                    acknowledge_stop(n, &h.id, departed.unwrap_or(h.incarnation)).await
                }
                ReportedState::Ready => json_response(StatusCode::OK, "{}"),
            }
        }
        Err(e) => {
            n.metrics
                .rejected_inputs
                .with_label_values(&[e.as_str()])
                .inc();
            n.log.event(
                "heartbeat_refused",
                &[("target", &h.id), ("reason", e.as_str())],
            );
            json_response(StatusCode::CONFLICT, "{}")
        }
    }
}

async fn handle_stop(n: &Arc<Node>, id: &TargetId, incarnation: u64) -> Response<Body> {
    let result = n
        .target()
        .on_stop(id, incarnation, n.latest_incarnation(), n.clock.now());
    let departed = match result {
        Ok(departed) => {
            n.apply_target_state();
            departed
        }
        Err(e) => {
            n.metrics
                .rejected_inputs
                .with_label_values(&[e.as_str()])
                .inc();
            n.log
                .event("stop_refused", &[("target", id), ("reason", e.as_str())]);
            n.target().last_departed(id).unwrap_or(incarnation)
        }
    };
    // Its sender could do nothing about a failure, so a call that changes nothing succeeds too.
    acknowledge_stop(n, id, departed).await
}

/// Acknowledges an announced stop once it is kept beyond this process. If it is not, the target may ask again.
async fn acknowledge_stop(n: &Arc<Node>, id: &TargetId, incarnation: u64) -> Response<Body> {
    match departure::keep(n, id, incarnation).await {
        true => json_response(StatusCode::OK, "{}"),
        false => json_response(StatusCode::SERVICE_UNAVAILABLE, "{}"),
    }
}

/// Monitors the target: probes it once after the start of the process, and then checks its state and the other nodes
/// periodically. Never returns.
pub async fn monitor_target(n: Arc<Node>) {
    tokio::time::sleep(PROBE_DELAY).await;
    let mut probed = false;
    let mut falls = 0;
    loop {
        let wanted = n.target().is_unknown() || n.target().is_unconfirmed();
        if !probed && wanted && n.can_probe() {
            probed = true;
            probe_target(&n).await;
        }
        n.apply_target_state();
        n.report_pace(&mut falls);
        lock(&n.crash_suspects).expire(n.clock.now());
        let changes = n.members().expire(n.clock.now());
        changes.into_iter().for_each(|c| n.apply_change(c));
        let delay = match probed || !n.target().is_unknown() {
            true => CHECK_INTERVAL,
            false => PROBE_DELAY,
        };
        tokio::time::sleep(delay).await;
    }
}

/// Learns the id of the target from a health probe. A target that is about to stop or is not healthy gets no requests
/// before its first heartbeat.
async fn probe_target(n: &Arc<Node>) {
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
    let any_target = TargetId::default();
    let values = TargetHeaders {
        id: PROBE_REQUEST_ID,
        remaining: PROBE_TIMEOUT,
        target: &any_target,
        caller: &n.service,
        tenant: &TenantId::default(),
    };
    n.adapter.set_target_headers(req.headers_mut(), &values);
    let now = n.clock.now();
    let occupancy = n.slots.occupy(PROBE_TIMEOUT);
    let send = n.pool.send_occupying(req, false, now, Some(occupancy));
    let sent = tokio::time::timeout(PROBE_TIMEOUT, send).await;
    let Ok(Ok((response, conn))) = sent else {
        n.log.event("target_probed", &[("target", "none")]);
        return;
    };
    n.pool.put_back(conn, n.clock.now());
    if let Some(id) = n.adapter.probed_target(response.status, &response.headers) {
        n.log.event("target_probed", &[("target", &id)]);
        n.target().on_probe(id, ASSUMED_SLOTS, n.clock.now());
    }
}
