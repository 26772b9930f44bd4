//! `devbackend`: runs a sample backend server.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use lexopt::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use super::{block_on, fail, usage, CmdResult, Exit};
use crate::prelude::*;
use crate::process::observe::admin::Announcement;

mod behavior;

pub use behavior::Behavior;
use behavior::{sleep_nonzero, Server};

/// Text that `devbackend --help` prints.
pub const USAGE: &str = "\
Runs a sample backend server that announces itself to a node.

Usage: dragonflyquay devbackend --service NAME --node IP:PORT [OPTIONS]

  --service NAME           service that it runs
  --node IP:PORT           admin address of its node
  --listen IP:PORT         address that accepts requests (default 127.0.0.1:0)
  --slots N                requests that run at the same time; others wait (default 6)
  --work-ms MS             work time of each request (default 5)
  --jitter-ms MS           maximum random addition to the work time (default 0)
  --cold-ms MS             addition to the work time after the start, falling to 0 within 10 s (default 0)
  --shed-percent P         percentage of requests that are shed: not run, with dq-not-run: true (default 0)
  --crash-path PATH        exit when a request to this path runs
  --zone-delay-ms MS       one-way delay between zones, before and after each request (default 0)
  --connect-delay-ms MS    delay before a new connection is served (default 0)
  --connections N          maximum number of open connections; others wait (default 100)
  --refuse-connections     close connections over the limit instead of letting them wait
  --health-lag-ms MS       delay of changes of state in announcements and health checks (default 0)
  --seed N                 seed of the random choices (default 1)

The request header x-test-fault selects a fault of the response: shed, late (after the deadline), truncate,
truncate-chunked, stream (endless) or error (status 500). The same port also serves GET /.dev/stats, GET /.dev/runs/KEY
(runs with this Idempotency-Key), GET /.dev/health, POST /.dev/slots/N and POST /.dev/state/STATE (ready, starting,
draining, gone).

Exit codes: 0 stopped, 1 failed, 2 usage.
";

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of a sample backend server.
#[derive(Clone)]
pub struct Args {
    /// Service that the backend server announces.
    pub service: String,
    /// Admin address of its node, which receives the announcements.
    pub node: SocketAddr,
    /// Address on which it accepts requests; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Maximum number of requests that run at the same time; others wait.
    pub slots: u32,
    /// Time for which each request occupies a slot, before the additions in `behavior`.
    pub work_time: Duration,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Whether connections over the limit are closed; otherwise they wait.
    pub refuse_connections: bool,
    /// Delay before a new connection is served.
    pub connect_delay: Duration,
    /// Delays and faults; none by default.
    pub behavior: Behavior,
}

impl Default for Args {
    fn default() -> Self {
        Self {
            service: String::new(),
            node: SocketAddr::from(([0, 0, 0, 0], 0)),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 6,
            work_time: Duration::from_millis(5),
            connections: 100,
            refuse_connections: false,
            connect_delay: Duration::ZERO,
            behavior: Behavior::default(),
        }
    }
}

fn parse_value<T>(parser: &mut lexopt::Parser) -> CmdResult<T>
where
    T: std::str::FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    parser.value().and_then(|v| v.parse()).map_err(usage)
}

fn parse_millis(parser: &mut lexopt::Parser) -> CmdResult<Duration> {
    parse_value(parser).map(Duration::from_millis)
}

fn parse(mut parser: lexopt::Parser) -> CmdResult<Option<Args>> {
    let mut args = Args::default();
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => return Ok(None),
            Long("service") => args.service = parse_value(&mut parser)?,
            Long("node") => args.node = parse_value(&mut parser)?,
            Long("listen") => args.listen = parse_value(&mut parser)?,
            Long("slots") => args.slots = parse_value(&mut parser)?,
            Long("connections") => args.connections = parse_value(&mut parser)?,
            Long("refuse-connections") => args.refuse_connections = true,
            Long("connect-delay-ms") => args.connect_delay = parse_millis(&mut parser)?,
            Long("work-ms") => args.work_time = parse_millis(&mut parser)?,
            Long("jitter-ms") => args.behavior.jitter = parse_millis(&mut parser)?,
            Long("cold-ms") => args.behavior.cold_delay = parse_millis(&mut parser)?,
            Long("shed-percent") => args.behavior.shed_percent = parse_value(&mut parser)?,
            Long("crash-path") => args.behavior.crash_path = Some(parse_value(&mut parser)?),
            Long("zone-delay-ms") => args.behavior.zone_delay = parse_millis(&mut parser)?,
            Long("health-lag-ms") => args.behavior.health_lag = parse_millis(&mut parser)?,
            Long("seed") => args.behavior.seed = parse_value(&mut parser)?,
            other => return Err(usage(other.unexpected())),
        }
    }
    match args.service.is_empty() || args.node.port() == 0 {
        true => fail(Exit::Usage, "--service and --node are required; see --help"),
        false => Ok(Some(args)),
    }
}

/// Prints the address of the backend server and runs it until Ctrl-C.
pub fn run(parser: lexopt::Parser) -> CmdResult {
    let Some(args) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    block_on(2, async {
        println!("listening {}", start(args).await?);
        let _ = tokio::signal::ctrl_c().await;
        Ok(())
    })
}

/// Starts a sample backend server and returns its address.
///
/// # Errors
///
/// [`Exit::Failed`] when the address cannot be listened on.
pub async fn start(args: Args) -> CmdResult<SocketAddr> {
    let listener = match TcpListener::bind(args.listen).await {
        Ok(l) => l,
        Err(e) => return fail(Exit::Failed, format!("{}: {e}", args.listen)),
    };
    let address = listener.local_addr().unwrap_or(args.listen);
    let server = Arc::new(Server::new(
        args.behavior.clone(),
        args.work_time,
        args.slots,
    ));
    tokio::spawn(accept_connections(listener, args.clone(), server.clone()));
    tokio::spawn(announce(args, address, server));
    Ok(address)
}

/// Accepts connections up to the limit and serves them.
async fn accept_connections(listener: TcpListener, args: Args, server: Arc<Server>) {
    let permits = Arc::new(Semaphore::new(args.connections as usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let permit = match args.refuse_connections {
            true => permits.clone().try_acquire_owned().ok(),
            false => permits.clone().acquire_owned().await.ok(),
        };
        let Some(permit) = permit else { continue };
        let _ = stream.set_nodelay(true);
        let (server, delay) = (server.clone(), args.connect_delay);
        tokio::spawn(async move {
            sleep_nonzero(delay).await;
            let service = service_fn(move |req| {
                let response = server.clone().respond(req);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            drop(permit);
        });
    }
}

/// Announces the backend server to its node, at intervals and after each change.
async fn announce(args: Args, address: SocketAddr, server: Arc<Server>) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let incarnation = uuid::Uuid::now_v7().as_u64_pair().0;
    loop {
        let announcement = Announcement {
            service: args.service.clone(),
            address: address.to_string(),
            slots: server.slots(),
            connections: args.connections,
            state: server.reported_state(),
            incarnation,
            healthy: None,
            load_percent: None,
            floor: None,
        };
        let body = Bytes::from(serde_json::to_vec(&announcement).unwrap_or_default());
        let req = Request::post(format!("http://{}/announce", args.node))
            .header("content-type", "application/json")
            .body(Full::new(body));
        if let Ok(req) = req {
            let _ = client.request(req).await;
        }
        let _ = tokio::time::timeout(ANNOUNCE_INTERVAL, server.changed.notified()).await;
    }
}
