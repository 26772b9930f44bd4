//! HTTP/1.1 listeners with limits on connections, headers and timeouts.

use std::convert::Infallible;
use std::future::Future;
use std::net::IpAddr;

use http::{header, Request, Response};
use hyper::body::{Body as _, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};

use super::gate::Door;
use super::meter::{Account, ActiveRequest, Meter};
use super::pipeline::{response_bytes, EarlyResponse, EarlyStart, Pipeline, PipelineLimits};
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
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: LimitSettings,
    handler: H,
    door: Option<Door>,
) where
    H: Fn(Request<Incoming>, IpAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let (_sender, closing) = watch::channel(false);
    serve_until(
        listener,
        move || limits.clone(),
        closing,
        handler,
        None,
        door,
    )
    .await;
}

/// Serves HTTP/1.1 connections until `closing` is set and all requests in progress have finished.
///
/// Connections above the limit wait in the listen backlog. Each new connection gets the limits in force when it is
/// accepted, except for the number of connections, which is read once at the start. `early` starts requests while
/// earlier ones of their connection run; without it, they run one after the other. With a `door`, connections count
/// against the budget of the process, and above the limit others give way to them.
pub async fn serve_until<L, H, F>(
    listener: TcpListener,
    limits: L,
    closing: watch::Receiver<bool>,
    handler: H,
    early: Option<Arc<dyn EarlyStart>>,
    door: Option<Door>,
) where
    L: Fn() -> LimitSettings,
    H: Fn(Request<Incoming>, IpAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let max = limits().connections;
    let permits = Arc::new(Semaphore::new(max));
    let room = Arc::new(Semaphore::new(max));
    let mut stop = closing.clone();
    loop {
        let waiting = match door {
            None => permits.clone().acquire_owned().await.ok(),
            Some(_) => None,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_closing(&mut stop) => break,
        };
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let limits = limits();
        let permit = match (waiting, &door) {
            (None, Some(door)) => find_room(&permits, door).await,
            (waiting, _) => waiting,
        };
        let account = match &door {
            Some(door) => open(door).await,
            None => None,
        };
        if permit.is_none() || account.is_none() && door.is_some() {
            continue;
        }
        let meter = account.as_ref().map(Account::meter);
        let stream = read_ahead(stream, &limits, &room, early.clone(), meter.clone());
        let serve = serve_connection(stream, from.ip(), limits, closing.clone(), handler.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = serve => {}
                () = evicted(meter) => {}
            }
            drop((account, permit));
        });
    }
    drop(listener);
    let all = u32::try_from(max).unwrap_or(u32::MAX);
    let _ = permits.acquire_many(all).await;
}

/// Admits a connection to the budget of the process; `None` if there is no room for it.
async fn open(door: &Door) -> Option<Account> {
    let account = door.open();
    door.settle().await;
    account
}

fn read_ahead(
    stream: TcpStream,
    limits: &LimitSettings,
    room: &Arc<Semaphore>,
    early: Option<Arc<dyn EarlyStart>>,
    meter: Option<Meter>,
) -> ReadAhead {
    let pipeline = PipelineLimits {
        requests: limits.pipelined,
        room: room.clone(),
        headers: limits.headers,
        header_bytes: limits.header_bytes,
        meter: meter.clone(),
    };
    ReadAhead::new(stream, Pipeline::new(early, pipeline), meter)
}

/// Waits until the connection has to be closed for others. Never returns without a budget.
async fn evicted(meter: Option<Meter>) {
    match meter {
        Some(meter) => meter.evicted().await,
        None => std::future::pending().await,
    }
}

/// Permit for a connection that was accepted. At a listener that has as many connections as it may have, another one
/// gives way; if none can, the wait is for the end of one.
async fn find_room(permits: &Arc<Semaphore>, door: &Door) -> Option<OwnedSemaphorePermit> {
    if permits.available_permits() == 0 {
        door.make_room();
    }
    permits.clone().acquire_owned().await.ok()
}

async fn serve_connection<H, F>(
    stream: ReadAhead,
    from: IpAddr,
    limits: LimitSettings,
    mut closing: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>, IpAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let watched = stream.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        // At once, because the library may read on before it polls the future.
        let (req, begun) = begin(&watched, req);
        let response = respond(watched.clone(), begun, req, from, handler.clone());
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.header_bytes.max(8192))
        .max_headers(limits.headers)
        .serve_connection(TokioIo::new(stream.clone()), service);
    tokio::pin!(connection);
    let stop = async {
        wait_closing(&mut closing).await;
        stream.stop_early_start().await;
    };
    let serve = async {
        tokio::select! {
            _ = connection.as_mut() => {}
            () = stop => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
    };
    // Dropping the connection cancels the request that is being handled and those that were started early.
    tokio::select! {
        () = serve => {}
        () = stream.wait_closed() => {}
    }
}

/// What was recorded when a request began.
struct Begun {
    early: Option<EarlyResponse>,
    /// Charges the connection, unless the request was started early.
    active: Option<ActiveRequest>,
}

/// Records that a request begins.
fn begin(stream: &ReadAhead, req: Request<Incoming>) -> (Request<Incoming>, Begun) {
    let (parts, body) = req.into_parts();
    let has_body = !body.is_end_stream();
    let early = stream.begin(&parts, has_body);
    let active = match early {
        Some(_) => None,
        None => stream.charge(&parts, has_body, body.size_hint().exact()),
    };
    let mut req = Request::from_parts(parts, body);
    if let Some(active) = &active {
        req.extensions_mut().insert(active.clone());
    }
    (req, Begun { early, active })
}

/// Handles a request, or waits for its response if it was started early.
async fn respond<H, F>(
    stream: ReadAhead,
    begun: Begun,
    req: Request<Incoming>,
    from: IpAddr,
    handler: H,
) -> Response<Body>
where
    H: Fn(Request<Incoming>, IpAddr) -> F,
    F: Future<Output = Response<Body>>,
{
    let method = req.method().clone();
    let early = match begun.early {
        Some(mut started) => started.wait().await,
        None => None,
    };
    let mut response = match early {
        Some(response) => response,
        None => handler(req, from).await,
    };
    if let Some(active) = begun.active {
        active.respond(response_bytes(&method, &response));
    }
    // The connection stays open until the requests that were started early have their responses.
    if stream.end() {
        response.headers_mut().remove(header::CONNECTION);
    }
    response
}
