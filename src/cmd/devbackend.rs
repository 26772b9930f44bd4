//! `devbackend`: sample backend server.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use lexopt::prelude::*;

use super::{block_on, fail, usage, CmdResult, Exit};
use crate::connection::listen;
use crate::prelude::*;
use crate::process::admin::Announcement;
use crate::process::record::TargetState;
use crate::request::body::{full, Body};
use crate::settings::LimitSettings;

/// Usage text.
pub const USAGE: &str = "\
Runs a sample backend server that announces itself to a node.

Usage: dragonflyquay devbackend --service NAME --node IP:PORT [--listen IP:PORT] [--slots N] [--work-ms MS]

  --service NAME    service that it runs
  --node IP:PORT    admin address of its node
  --listen IP:PORT  address that takes requests (default 127.0.0.1:0)
  --slots N         requests that it runs at once (default 6)
  --work-ms MS      time that each request takes (default 5)

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
}

fn parse(mut args: lexopt::Parser) -> CmdResult<Option<Args>> {
    let (mut service, mut node, mut slots, mut work_ms) = (None, None, 6, 5);
    let mut listen = SocketAddr::from(([127, 0, 0, 1], 0));
    while let Some(arg) = args.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => return Ok(None),
            Long("service") => service = Some(args.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("node") => node = Some(args.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("listen") => listen = args.value().and_then(|v| v.parse()).map_err(usage)?,
            Long("slots") => slots = args.value().and_then(|v| v.parse()).map_err(usage)?,
            Long("work-ms") => work_ms = args.value().and_then(|v| v.parse()).map_err(usage)?,
            other => return Err(usage(other.unexpected())),
        }
    }
    match (service, node) {
        (Some(service), Some(node)) => Ok(Some(Args {
            service,
            node,
            listen,
            slots,
            work: Duration::from_millis(work_ms),
        })),
        _ => fail(Exit::Usage, "--service and --node are needed; see --help"),
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
    let listener = match tokio::net::TcpListener::bind(a.listen).await {
        Ok(l) => l,
        Err(e) => return fail(Exit::Failed, format!("{}: {e}", a.listen)),
    };
    let address = listener.local_addr().unwrap_or(a.listen);
    let work = a.work;
    tokio::spawn(listen::serve(
        listener,
        LimitSettings::default(),
        move |req, _| answer(req, work),
    ));
    tokio::spawn(announce(a, address));
    Ok(address)
}

async fn answer(req: Request<Incoming>, work: Duration) -> Response<Body> {
    let line = format!("{} {}\n", req.method(), req.uri().path());
    let body = req.into_body().collect().await.map(|b| b.to_bytes());
    tokio::time::sleep(work).await;
    let mut out = line.into_bytes();
    out.extend(body.unwrap_or_default());
    Response::new(full(out))
}

async fn announce(a: Args, address: SocketAddr) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let incarnation = uuid::Uuid::now_v7().as_u64_pair().0;
    loop {
        let text = Announcement {
            service: a.service.clone(),
            address: address.to_string(),
            slots: a.slots,
            connections: 100,
            state: TargetState::Ready,
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
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
