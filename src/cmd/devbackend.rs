//! `devbackend`: sample backend server.

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
use behavior::{pause, Server};

/// Usage text.
pub const USAGE: &str = "\
Runs a sample backend server that announces itself to a node.

Usage: dragonflyquay devbackend --service NAME --node IP:PORT [OPTIONS]

  --service NAME           service that it runs
  --node IP:PORT           admin address of its node
  --listen IP:PORT         address that takes requests (default 127.0.0.1:0)
  --slots N                requests that it runs at once; others wait (default 6)
  --work-ms MS             time that each request takes (default 5)
  --jitter-ms MS           longest random addition to it (default 0)
  --cold-ms MS             addition right after the start, gone after 10 s (default 0)
  --shed-percent P         requests refused without running, with dq-not-run: true (default 0)
  --crash-path PATH        end the process when a request to this path runs
  --zone-delay-ms MS       delay of each way between zones (default 0)
  --connect-delay-ms MS    time that a new connection costs (default 0)
  --connections N          open connections; others wait (default 100)
  --refuse-connections     close connections over the limit instead of letting them wait
  --health-lag-ms MS       time by which announced and reported health lag behind (default 0)
  --seed N                 seed of the random choices (default 1)

A request header x-test-fault asks for one faulty answer: shed, late (after the deadline), truncate, truncate-chunked,
stream (endless) or error (status 500). On the same port: GET /.dev/stats, GET /.dev/runs/KEY (runs with this
Idempotency-Key), GET /.dev/health, POST /.dev/slots/N and POST /.dev/state/STATE (ready, starting, draining, gone).

Exit codes: 0 stopped, 1 failed, 2 usage.
";

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of a sample backend server.
#[derive(Clone)]
pub struct Args {
    /// Service that it runs.
    pub service: String,
    /// Admin address of its node.
    pub node: SocketAddr,
    /// Address that takes requests.
    pub listen: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time that each request takes.
    pub work: Duration,
    /// Open connections.
    pub connections: u32,
    /// Whether connections over the limit are closed instead of waiting.
    pub refuse: bool,
    /// Time that a new connection costs.
    pub connect_delay: Duration,
    /// Faults and delays.
    pub behavior: Behavior,
}

impl Default for Args {
    fn default() -> Self {
        Self {
            service: String::new(),
            node: SocketAddr::from(([0, 0, 0, 0], 0)),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 6,
            work: Duration::from_millis(5),
            connections: 100,
            refuse: false,
            connect_delay: Duration::ZERO,
            behavior: Behavior::default(),
        }
    }
}

fn value<T>(args: &mut lexopt::Parser) -> CmdResult<T>
where
    T: std::str::FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    args.value().and_then(|v| v.parse()).map_err(usage)
}

fn time(args: &mut lexopt::Parser) -> CmdResult<Duration> {
    value(args).map(Duration::from_millis)
}

fn parse(mut args: lexopt::Parser) -> CmdResult<Option<Args>> {
    let mut a = Args::default();
    while let Some(arg) = args.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => return Ok(None),
            Long("service") => a.service = value(&mut args)?,
            Long("node") => a.node = value(&mut args)?,
            Long("listen") => a.listen = value(&mut args)?,
            Long("slots") => a.slots = value(&mut args)?,
            Long("connections") => a.connections = value(&mut args)?,
            Long("refuse-connections") => a.refuse = true,
            Long("connect-delay-ms") => a.connect_delay = time(&mut args)?,
            Long("work-ms") => a.work = time(&mut args)?,
            Long("jitter-ms") => a.behavior.jitter = time(&mut args)?,
            Long("cold-ms") => a.behavior.cold = time(&mut args)?,
            Long("shed-percent") => a.behavior.shed_percent = value(&mut args)?,
            Long("crash-path") => a.behavior.crash_path = Some(value(&mut args)?),
            Long("zone-delay-ms") => a.behavior.zone_delay = time(&mut args)?,
            Long("health-lag-ms") => a.behavior.health_lag = time(&mut args)?,
            Long("seed") => a.behavior.seed = value(&mut args)?,
            other => return Err(usage(other.unexpected())),
        }
    }
    match a.service.is_empty() || a.node.port() == 0 {
        true => fail(Exit::Usage, "--service and --node are needed; see --help"),
        false => Ok(Some(a)),
    }
}

/// Runs the command.
pub fn run(args: lexopt::Parser) -> CmdResult {
    let Some(a) = parse(args)? else {
        print!("{USAGE}");
        return Ok(());
    };
    block_on(2, async {
        println!("listening {}", start(a).await?);
        let _ = tokio::signal::ctrl_c().await;
        Ok(())
    })
}

/// Starts a sample backend server and returns its address.
///
/// # Errors
///
/// [`Exit::Failed`] when the address cannot be listened on.
pub async fn start(a: Args) -> CmdResult<SocketAddr> {
    let listener = match TcpListener::bind(a.listen).await {
        Ok(l) => l,
        Err(e) => return fail(Exit::Failed, format!("{}: {e}", a.listen)),
    };
    let address = listener.local_addr().unwrap_or(a.listen);
    let server = Arc::new(Server::new(a.behavior.clone(), a.work, a.slots));
    tokio::spawn(serve(listener, a.clone(), server.clone()));
    tokio::spawn(announce(a, address, server));
    Ok(address)
}

async fn serve(listener: TcpListener, a: Args, server: Arc<Server>) {
    let free = Arc::new(Semaphore::new(a.connections as usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let permit = match a.refuse {
            true => free.clone().try_acquire_owned().ok(),
            false => free.clone().acquire_owned().await.ok(),
        };
        let Some(permit) = permit else { continue };
        let _ = stream.set_nodelay(true);
        let (server, delay) = (server.clone(), a.connect_delay);
        tokio::spawn(async move {
            pause(delay).await;
            let service = service_fn(move |req| {
                let answer = server.clone().answer(req);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            drop(permit);
        });
    }
}

async fn announce(a: Args, address: SocketAddr, server: Arc<Server>) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let incarnation = uuid::Uuid::now_v7().as_u64_pair().0;
    loop {
        let text = Announcement {
            service: a.service.clone(),
            address: address.to_string(),
            slots: server.slots(),
            connections: a.connections,
            state: server.reported(),
            incarnation,
            healthy: None,
            load_percent: None,
            floor: None,
        };
        let body = Bytes::from(serde_json::to_vec(&text).unwrap_or_default());
        let req = Request::post(format!("http://{}/announce", a.node))
            .header("content-type", "application/json")
            .body(Full::new(body));
        if let Ok(req) = req {
            let _ = client.request(req).await;
        }
        let _ = tokio::time::timeout(ANNOUNCE_INTERVAL, server.changed.notified()).await;
    }
}
