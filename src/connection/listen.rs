//! HTTP listeners with limits.

use std::convert::Infallible;
use std::future::Future;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::prelude::*;
use crate::request::body::Body;
use crate::settings::LimitSettings;

/// Pause after a failed `accept`, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves HTTP/1.1 connections for ever; connections above the limit wait in the listen queue.
pub async fn serve<H, F>(listener: TcpListener, limits: LimitSettings, handler: H)
where
    H: Fn(Request<Incoming>, std::net::IpAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let free = Arc::new(Semaphore::new(limits.connections));
    loop {
        let Ok(permit) = free.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let limits = limits.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| {
                let answer = handler(req, from.ip());
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
                .max_buf_size(limits.header_bytes.max(8192))
                .max_headers(limits.headers)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            drop(permit);
        });
    }
}
