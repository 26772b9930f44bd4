//! HTTP client for the admin API of a node.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::{fail, CmdResult, Exit};
use crate::prelude::*;

/// Covers the few store calls of a planned stop, which take up to one second each.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// Enough for the member list of the largest intended site.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Body of an error response of the admin API.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    message: String,
}

async fn send(req: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), String> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let res = client.request(req).await.map_err(|e| e.to_string())?;
    let status = res.status();
    let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES).collect();
    let data = body.await.map_err(|e| e.to_string())?.to_bytes();
    Ok((status, data))
}

/// Calls an endpoint and decodes its response.
///
/// # Errors
///
/// [`Exit::Unavailable`] when the node does not answer, otherwise the exit code for the status of the response.
pub async fn call<B, T>(node: SocketAddr, method: Method, path: &str, body: &B) -> CmdResult<T>
where
    B: Serialize,
    T: DeserializeOwned,
{
    decode(node, &call_raw(node, method, path, body).await?)
}

/// Decodes the body of a successful response.
///
/// # Errors
///
/// [`Exit::Failed`] when it is of another type.
pub fn decode<T>(node: SocketAddr, data: &[u8]) -> CmdResult<T>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(data).or_else(|e| fail(Exit::Failed, format!("node {node}: {e}")))
}

/// Calls an endpoint and returns the body of its response.
///
/// # Errors
///
/// As for [`call`], except that any body is accepted.
pub async fn call_raw<B>(node: SocketAddr, method: Method, path: &str, body: &B) -> CmdResult<Bytes>
where
    B: Serialize,
{
    let body = serde_json::to_vec(body).unwrap_or_default();
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{node}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)));
    let Ok(req) = req else {
        return fail(Exit::Usage, format!("{node}{path}: not a valid address"));
    };
    let (status, data) = match tokio::time::timeout(RESPONSE_TIMEOUT, send(req)).await {
        Ok(Ok(response)) => response,
        Ok(Err(e)) => return fail(Exit::Unavailable, format!("node {node}: {e}")),
        Err(_) => return fail(Exit::Unavailable, format!("node {node}: request timed out")),
    };
    if status.is_success() {
        return Ok(data);
    }
    let message =
        serde_json::from_slice::<ErrorBody>(&data).map_or(status.to_string(), |e| e.message);
    let exit = match status {
        StatusCode::NOT_FOUND | StatusCode::PRECONDITION_FAILED => Exit::Refused,
        StatusCode::CONFLICT => Exit::Conflict,
        StatusCode::GATEWAY_TIMEOUT => Exit::Unknown,
        StatusCode::SERVICE_UNAVAILABLE => Exit::Unavailable,
        _ => Exit::Failed,
    };
    fail(exit, format!("node {node}: {message}"))
}
