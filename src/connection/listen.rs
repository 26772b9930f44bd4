//! HTTP/1.1 listeners with limits on connections, headers and timeouts.

use std::convert::Infallible;
use std::future::Future;
use std::net::IpAddr;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};

use super::read_ahead::ReadAhead;
use crate::prelude::*;
use crate::request::body::Body;
use crate::settings::LimitSettings;

/// Delay after a failed `accept`, which usually means that the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Waits until `closing` is set to true. Never returns when the sender was dropped without setting it.
async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|c| *c).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Serves HTTP/1.1 connections forever. Connections above the limit wait in the listen backlog.
pub async fn serve<H, F>(listener: TcpListener, limits: LimitSettings, handler: H)
where
    H: Fn(Request<Incoming>, IpAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let (_sender, closing) = watch::channel(false);
    serve_until(listener, move || limits.clone(), closing, handler).await;
}

/// Serves HTTP/1.1 connections until `closing` is set and all requests in progress have finished.
///
/// Connections above the limit wait in the listen backlog. Each new connection gets the limits in force when it is
/// accepted, except for the number of connections, which is read once at the start.
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
    let max = limits().connections;
    let permits = Arc::new(Semaphore::new(max));
    let mut stop = closing.clone();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_closing(&mut stop) => break,
        };
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
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
    let all = u32::try_from(max).unwrap_or(u32::MAX);
    let _ = permits.acquire_many(all).await;
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
    let stream = ReadAhead::new(stream);
    let watched = stream.clone();
    let service = service_fn(move |req| {
        watched.start();
        let response = handler(req, from);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.header_bytes.max(8192))
        .max_headers(limits.headers)
        .serve_connection(TokioIo::new(stream.clone()), service);
    tokio::pin!(connection);
    let serve = async {
        tokio::select! {
            _ = connection.as_mut() => {}
            () = wait_closing(&mut closing) => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
    };
    // Dropping the connection cancels the request that is being handled.
    tokio::select! {
        () = serve => {}
        () = stream.wait_closed() => {}
    }
}
