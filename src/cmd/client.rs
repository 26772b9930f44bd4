//! Calls to a node's admin API.

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

/// Longest wait for an answer. A planned stop makes a few store calls of one second each.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Largest answer, in bytes; enough for the members of the target size.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Error answer of the admin API.
#[derive(Debug, Deserialize)]
struct Refusal {
    message: String,
}

async fn exchange(req: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), String> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let res = client.request(req).await.map_err(|e| e.to_string())?;
    let status = res.status();
    let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES).collect();
    let data = body.await.map_err(|e| e.to_string())?.to_bytes();
    Ok((status, data))
}

/// Calls an endpoint and decodes its answer.
///
/// # Errors
///
/// [`Exit::Unavailable`] when the node does not answer, otherwise the exit code that fits the status.
pub async fn call<B, T>(node: SocketAddr, method: Method, path: &str, body: &B) -> CmdResult<T>
where
    B: Serialize,
    T: DeserializeOwned,
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
    let (status, data) = match tokio::time::timeout(TIMEOUT, exchange(req)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(e)) => return fail(Exit::Unavailable, format!("node {node}: {e}")),
        Err(_) => return fail(Exit::Unavailable, format!("node {node}: no answer in time")),
    };
    if status.is_success() {
        return serde_json::from_slice(&data)
            .or_else(|e| fail(Exit::Failed, format!("node {node}: {e}")));
    }
    let message =
        serde_json::from_slice::<Refusal>(&data).map_or(status.to_string(), |r| r.message);
    let exit = match status {
        StatusCode::NOT_FOUND | StatusCode::PRECONDITION_FAILED => Exit::Refused,
        StatusCode::CONFLICT => Exit::Conflict,
        StatusCode::GATEWAY_TIMEOUT => Exit::Unknown,
        StatusCode::SERVICE_UNAVAILABLE => Exit::Unavailable,
        _ => Exit::Failed,
    };
    fail(exit, format!("node {node}: {message}"))
}
