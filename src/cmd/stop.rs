//! `stop`: drains the backend server of a node and waits for the end.

use std::net::SocketAddr;

use http::Method;
use lexopt::prelude::*;

use super::{block_on, client, fail, usage, CmdResult, Exit};
use crate::prelude::*;
use crate::process::lifecycle::drain::Phase;
use crate::process::lifecycle::operator_api::{StopRequest, StopStatus};

/// Text that `stop --help` prints.
pub const USAGE: &str = "\
Stops the backend server of a node without interrupting a request, and waits until it is drained.

Usage: dragonflyquay stop --node IP:PORT [--force] [--timeout-s SECONDS]

  --node IP:PORT       admin address of the node
  --force              stop even if no other ready target without a planned stop remains
  --timeout-s SECONDS  maximum time to wait for the drain (default 300); the stop continues after it

Exit codes: 0 drained, 1 failed, 2 usage, 3 refused because it is the last ready target or there is none, 4 other stops
were planned at the same time, 5 outcome unknown (run the command again), 6 node or store unavailable, 7 not drained in
time.
";

/// Interval between requests for the progress.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

struct Args {
    node: SocketAddr,
    force: bool,
    timeout: Duration,
}

fn parse(mut parser: lexopt::Parser) -> CmdResult<Option<Args>> {
    let (mut node, mut force, mut seconds) = (None, false, 300);
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => return Ok(None),
            Long("node") => node = Some(parser.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("force") => force = true,
            Long("timeout-s") => seconds = parser.value().and_then(|v| v.parse()).map_err(usage)?,
            other => return Err(usage(other.unexpected())),
        }
    }
    match node {
        Some(node) => Ok(Some(Args {
            node,
            force,
            timeout: Duration::from_secs(seconds),
        })),
        None => fail(Exit::Usage, "--node is required; see --help"),
    }
}

/// Starts the planned stop of a node and waits until it is drained or the timeout has passed.
pub fn run(parser: lexopt::Parser) -> CmdResult {
    let Some(args) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    block_on(1, async {
        let request = StopRequest { force: args.force };
        let status: StopStatus = client::call(args.node, Method::POST, "/stop", &request).await?;
        match tokio::time::timeout(args.timeout, wait_drained(args.node, status)).await {
            Ok(result) => result,
            Err(_) => fail(
                Exit::TimedOut,
                format!(
                    "node {}: not drained in time; the stop continues",
                    args.node
                ),
            ),
        }
    })
}

/// Polls the progress and prints a line for each change until the node is drained.
async fn wait_drained(node: SocketAddr, mut status: StopStatus) -> CmdResult {
    let mut last_line = String::new();
    loop {
        let phase = serde_json::to_value(status.phase).unwrap_or_default();
        let phase = phase.as_str().unwrap_or_default();
        let line = format!(
            "node {} {phase}, {} requests left",
            status.node, status.busy
        );
        if line != last_line {
            println!("{line}");
            last_line = line;
        }
        match status.phase {
            Phase::Drained => return Ok(()),
            // The stop has finished and the backend server was replaced by one that is serving.
            Phase::Serving => return Ok(()),
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
        status = client::call(node, Method::GET, "/stop", &()).await?;
    }
}
