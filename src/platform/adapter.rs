//! Headers of requests and answers, and the other names of the platform.

use bytes::Bytes;
use http::{header, HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode};

use super::{document, heartbeat};
use crate::findings::Findings;
use crate::prelude::*;
use crate::request::body::{full, Body};
use crate::request::context;
use crate::request::reason::{Failure, Outcome, Reason};
use crate::sidecar::adapter::{Adapter, AnswerFacts, CallerFacts, Dispatch, TargetCall};
use crate::sidecar::routes::RouteTable;
use crate::sidecar::target::TargetId;

const ID: HeaderName = HeaderName::from_static("dragonflyquay-request-id");
/// Remaining time, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("dragonflyquay-deadline-ms");
const SIGNATURE: HeaderName = HeaderName::from_static("dragonflyquay-response-signature");
/// Target that must run the request; any other answers 421.
const EXPECTED: HeaderName = HeaderName::from_static("dragonflyquay-expected-instance");
/// The target proves that it did not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("dragonflyquay-not-executed");
const CALLER: HeaderName = HeaderName::from_static("dragonflyquay-caller-service");
const INSTANCE: HeaderName = HeaderName::from_static("dragonflyquay-instance-id");

/// Headers of a request that are written anew or that callers may not set.
const WRITTEN: [HeaderName; 4] = [ID, DEADLINE, EXPECTED, CALLER];

/// Key of the operator's configuration.
const CONFIG_KEY: &str = "op/config";
/// Path of readiness checks.
const READY_PATH: &str = "/api/ready";

/// Names and formats of the platform.
pub struct PlatformAdapter;

fn put(h: &mut HeaderMap, name: HeaderName, value: &str) {
    // Ids and names were read from headers or JSON; one that is no header value has no reader.
    if let Ok(v) = HeaderValue::from_str(value) {
        h.insert(name, v);
    }
}

impl Adapter for PlatformAdapter {
    fn caller(&self, h: &HeaderMap) -> CallerFacts {
        let left =
            context::parse_header::<f64>(h, &DEADLINE).filter(|ms| ms.is_finite() && *ms >= 0.0);
        CallerFacts {
            id: context::parse_header(h, &ID),
            left: left.map(|ms| Duration::from_secs_f64(ms.min(86_400_000.0) / 1000.0)),
        }
    }

    fn strip(&self, h: &mut HeaderMap) {
        for name in &WRITTEN {
            h.remove(name);
        }
    }

    fn dispatch(&self, h: &mut HeaderMap, d: &Dispatch<'_>) {
        put(h, ID, d.id);
        put(h, DEADLINE, &d.left.as_millis().to_string());
        put(h, CALLER, d.caller);
        if !d.target.is_empty() {
            put(h, EXPECTED, d.target);
        }
    }

    fn answer(&self, status: StatusCode, h: &HeaderMap) -> AnswerFacts {
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        AnswerFacts {
            id: context::parse_header(h, &ID),
            signed: h.contains_key(&SIGNATURE),
            not_run: misdirected || h.contains_key(&NOT_EXECUTED),
            misdirected,
            encoded: h.contains_key(header::CONTENT_ENCODING),
        }
    }

    fn refusal(&self, f: &Failure, id: Option<&str>, again: Option<Duration>) -> Response<Body> {
        let text = format!("{{\"reason\":\"{}\"}}", f.reason);
        let mut res = Response::new(full(text));
        *res.status_mut() = status(f);
        let h = res.headers_mut();
        let json = HeaderValue::from_static("application/json");
        h.insert(header::CONTENT_TYPE, json);
        if let Some(id) = id {
            put(h, ID, id);
        }
        if let Some(again) = again.filter(|_| f.outcome == Outcome::NotRun) {
            put(
                h,
                header::RETRY_AFTER,
                &format!("{:.3}", again.as_secs_f64()),
            );
        }
        res
    }

    fn config_key(&self) -> &'static str {
        CONFIG_KEY
    }

    fn config(&self, data: Bytes) -> Result<RouteTable, Findings> {
        document::read(data)
    }

    fn target_call(&self, method: &Method, path: &str, body: &[u8]) -> Result<TargetCall, String> {
        heartbeat::read(method, path, body)
    }

    fn is_ready_check(&self, method: &Method, path: &str) -> bool {
        *method == Method::GET && path == READY_PATH
    }

    fn probed(&self, status: StatusCode, h: &HeaderMap) -> Option<TargetId> {
        let id = context::parse_header(h, &INSTANCE);
        id.filter(|_| status == StatusCode::OK)
    }
}

/// 503 promises that the request has not run and never will; 502 and 504 promise nothing.
fn status(f: &Failure) -> StatusCode {
    match (f.outcome, f.reason) {
        (Outcome::NotRun, Reason::NoRoute) => StatusCode::NOT_FOUND,
        (Outcome::NotRun, Reason::BadRequest) => StatusCode::BAD_REQUEST,
        (Outcome::NotRun, Reason::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        (Outcome::NotRun, Reason::SlowCaller) => StatusCode::REQUEST_TIMEOUT,
        (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Reason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
