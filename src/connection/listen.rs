//! HTTP listeners with limits.

use std::convert::Infallible;
use std::future::Future;
use std::net::IpAddr;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};

use crate::prelude::*;
use crate::request::body::Body;
use crate::settings::LimitSettings;

/// Pause after a failed `accept`, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Waits until the channel says so; for ever when its sender has gone.
async fn closed(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|c| *c).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Serves HTTP/1.1 connections for ever; connections above the limit wait in the listen queue.
pub async fn serve<H, F>(listener: TcpListener, limits: LimitSettings, handler: H)
where
    H: Fn(Request<Incoming>, IpAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let (_open, closing) = watch::channel(false);
    serve_until(listener, move || limits.clone(), closing, handler).await;
}

/// Serves HTTP/1.1 connections until `closing` is set and all requests in progress have been answered.
///
/// Connections above the limit wait in the listen queue. A new connection gets the limits of that moment; their number
/// is that of the start.
pub async fn serve_until<L, H, F>(
    listener: TcpListener,
    limits: L,
    closing: watch::Receiver<bool>,
    handler: H,
) where
    L: Fn() -> LimitSettings,
    H: Fn(Request<Incoming>, IpAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let most = limits().connections;
    let free = Arc::new(Semaphore::new(most));
    let mut end = closing.clone();
    loop {
        let Ok(permit) = free.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closed(&mut end) => break,
        };
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let serve = serve_connection(
            stream,
            from.ip(),
            limits(),
            closing.clone(),
            handler.clone(),
        );
        tokio::spawn(async move {
            serve.await;
            drop(permit);
        });
    }
    drop(listener);
    let all = u32::try_from(most).unwrap_or(u32::MAX);
    let _ = free.acquire_many(all).await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    from: IpAddr,
    limits: LimitSettings,
    mut closing: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>, IpAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let answer = handler(req, from);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.header_bytes.max(8192))
        .max_headers(limits.headers)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        () = closed(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}
