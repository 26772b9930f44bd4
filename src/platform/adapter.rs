//! Headers of requests and responses, and the other names of the platform.

use bytes::Bytes;
use http::{header, HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode};

use super::{document, heartbeat, rollout};
use crate::findings::Findings;
use crate::prelude::*;
use crate::request::body::{full, Body};
use crate::request::context;
use crate::request::reason::{Failure, Outcome, Reason};
use crate::sidecar::adapter::{
    Adapter, CallerInfo, NamedLimit, ResponseInfo, TargetCall, TargetHeaders,
};
use crate::sidecar::process::rollout::order::{Order, RolloutStatus};
use crate::sidecar::process::target::state::TargetId;
use crate::sidecar::version::routes::{ApiKey, RouteTable};

/// Id that a caller assigned to one attempt.
const REQUEST_ID: HeaderName = HeaderName::from_static("dragonflyquay-request-id");
/// Time left until the deadline, in ms; not a point in time.
const DEADLINE: HeaderName = HeaderName::from_static("dragonflyquay-deadline-ms");
/// Signature of the target; only its presence is checked.
const SIGNATURE: HeaderName = HeaderName::from_static("dragonflyquay-response-signature");
/// Id of the target that must run the request; any other target responds with status 421.
const EXPECTED_TARGET: HeaderName = HeaderName::from_static("dragonflyquay-expected-instance");
/// Present if the target did not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("dragonflyquay-not-executed");
/// Service on the VM where the request originated.
const CALLER_SERVICE: HeaderName = HeaderName::from_static("dragonflyquay-caller-service");
/// Name of the tenant of the caller.
const TENANT: HeaderName = HeaderName::from_static("dragonflyquay-tenant");
/// Id of the target that responded.
const TARGET_ID: HeaderName = HeaderName::from_static("dragonflyquay-instance-id");

/// Requests a second that the target takes from all nodes together, for as long as it says so; a decimal number.
const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// `1` if the target is about to stop.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// Limits above this rate, in requests per second, have no effect.
const MAX_RATE: f64 = 1e6;

/// Request headers that the node itself sets for its target. Those of the caller are removed.
const RESERVED: [HeaderName; 5] = [
    REQUEST_ID,
    DEADLINE,
    EXPECTED_TARGET,
    CALLER_SERVICE,
    TENANT,
];

/// Scheme of the `authorization` header that carries an API key.
const KEY_SCHEME: &str = "bearer";

/// Key of the operator's configuration document.
const CONFIG_KEY: &str = "op/config";
/// Prefix of the keys that the operator writes.
const OPERATOR_PREFIX: &str = "op/";
const READY_PATH: &str = "/api/ready";

/// Translates the names and formats of the users' platform.
pub struct PlatformAdapter;

fn set(h: &mut HeaderMap, name: HeaderName, value: &str) {
    // Ids from JSON may contain characters that are invalid in a header; no valid header could match such an id.
    if let Ok(v) = HeaderValue::from_str(value) {
        h.insert(name, v);
    }
}

impl Adapter for PlatformAdapter {
    fn caller_info(&self, h: &HeaderMap) -> CallerInfo {
        let timeout_ms =
            context::parse_header::<f64>(h, &DEADLINE).filter(|ms| ms.is_finite() && *ms >= 0.0);
        CallerInfo {
            id: context::parse_header(h, &REQUEST_ID),
            timeout: timeout_ms.map(|ms| Duration::from_secs_f64(ms.min(86_400_000.0) / 1000.0)),
            key: api_key(h),
        }
    }

    fn strip_reserved(&self, h: &mut HeaderMap) {
        for name in &RESERVED {
            h.remove(name);
        }
    }

    fn strip_key(&self, h: &mut HeaderMap) {
        h.remove(header::AUTHORIZATION);
    }

    fn set_target_headers(&self, h: &mut HeaderMap, values: &TargetHeaders<'_>) {
        set(h, REQUEST_ID, values.id);
        set(h, DEADLINE, &values.remaining.as_millis().to_string());
        set(h, CALLER_SERVICE, values.caller);
        if !values.tenant.is_empty() {
            set(h, TENANT, values.tenant);
        }
        if !values.target.is_empty() {
            set(h, EXPECTED_TARGET, values.target);
        }
    }

    fn response_info(&self, status: StatusCode, h: &HeaderMap) -> ResponseInfo {
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        ResponseInfo {
            id: context::parse_header(h, &REQUEST_ID),
            signed: h.contains_key(&SIGNATURE),
            not_run: misdirected || h.contains_key(&NOT_EXECUTED),
            misdirected,
            encoded: h.contains_key(header::CONTENT_ENCODING),
            limit: named_limit(h),
            leaving: h.get_all(&LEAVING).iter().any(|v| v == "1"),
        }
    }

    fn failure_response(
        &self,
        f: &Failure,
        id: Option<&str>,
        retry_after: Option<Duration>,
    ) -> Response<Body> {
        let body = format!("{{\"reason\":\"{}\"}}", f.reason);
        let mut res = Response::new(full(body));
        *res.status_mut() = failure_status(f);
        let h = res.headers_mut();
        let json = HeaderValue::from_static("application/json");
        h.insert(header::CONTENT_TYPE, json);
        if let Some(id) = id {
            set(h, REQUEST_ID, id);
        }
        if let Some(delay) = retry_after.filter(|_| f.outcome == Outcome::NotRun) {
            set(
                h,
                header::RETRY_AFTER,
                &format!("{:.3}", delay.as_secs_f64()),
            );
        }
        res
    }

    fn config_key(&self) -> &'static str {
        CONFIG_KEY
    }

    fn operator_prefix(&self) -> &'static str {
        OPERATOR_PREFIX
    }

    fn order_prefix(&self) -> &'static str {
        rollout::ORDER_PREFIX
    }

    fn parse_order(&self, key: &str, value: &[u8]) -> Result<Order, String> {
        rollout::parse_order(key, value)
    }

    fn rollout_status_key(&self, service: &str) -> String {
        rollout::status_key(service)
    }

    fn rollout_status(&self, status: &RolloutStatus) -> Vec<u8> {
        rollout::write_status(status)
    }

    fn parse_rollout_status(&self, value: &[u8]) -> Option<RolloutStatus> {
        rollout::parse_status(value)
    }

    fn parse_config(&self, data: Bytes) -> Result<RouteTable, Findings> {
        document::parse(data)
    }

    fn parse_target_call(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<TargetCall, String> {
        heartbeat::parse(method, path, body)
    }

    fn is_readiness_check(&self, method: &Method, path: &str) -> bool {
        *method == Method::GET && path == READY_PATH
    }

    fn probed_target(&self, status: StatusCode, h: &HeaderMap) -> Option<TargetId> {
        let id = context::parse_header(h, &TARGET_ID);
        let leaving = h.get_all(&LEAVING).iter().any(|v| v == "1");
        id.filter(|_| status == StatusCode::OK && !leaving)
    }
}

/// Reads the API key; `None` if there is none, or more than one.
fn api_key(h: &HeaderMap) -> Option<ApiKey> {
    let mut values = h.get_all(header::AUTHORIZATION).iter();
    let only = values.next().filter(|_| values.next().is_none());
    let (scheme, key) = only?.to_str().ok()?.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case(KEY_SCHEME) && !key.is_empty()).then(|| ApiKey::new(key))
}

/// Reads the rate limit. Of several values the lowest valid one counts.
fn named_limit(h: &HeaderMap) -> NamedLimit {
    let mut lines = h.get_all(&RATE_LIMIT).iter().peekable();
    if lines.peek().is_none() {
        return NamedLimit::Absent;
    }
    let values = lines.filter_map(|v| v.to_str().ok());
    let rates = values.flat_map(|v| v.split(',').filter_map(|t| parse_rate(t.trim())));
    rates
        .reduce(f64::min)
        .map_or(NamedLimit::Invalid, NamedLimit::Rate)
}

/// Parses a decimal number without sign and exponent.
fn parse_rate(text: &str) -> Option<f64> {
    let digits = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let rate = text.parse::<f64>().ok().filter(|_| digits)?;
    rate.is_finite().then_some(rate.min(MAX_RATE))
}

/// Status of the response for a failure. 503 guarantees that the request has not run and never will; 502 and 504 leave
/// open whether it ran.
fn failure_status(f: &Failure) -> StatusCode {
    match (f.outcome, f.reason) {
        (Outcome::NotRun, Reason::NoRoute) => StatusCode::NOT_FOUND,
        (Outcome::NotRun, Reason::UnknownKey) => StatusCode::UNAUTHORIZED,
        (Outcome::NotRun, Reason::BadRequest) => StatusCode::BAD_REQUEST,
        (Outcome::NotRun, Reason::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        (Outcome::NotRun, Reason::SlowCaller) => StatusCode::REQUEST_TIMEOUT,
        (Outcome::NotRun, Reason::Quota) => StatusCode::TOO_MANY_REQUESTS,
        (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Reason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
