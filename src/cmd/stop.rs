//! `stop`: drains the backend server of a node.

use std::net::SocketAddr;

use http::Method;
use lexopt::prelude::*;

use super::{block_on, client, fail, usage, CmdResult, Exit};
use crate::prelude::*;
use crate::process::lifecycle::drain::Phase;
use crate::process::lifecycle::operator_api::{StopRequest, StopStatus};

/// Usage text.
pub const USAGE: &str = "\
Stops the backend server of a node without interrupting a request, and waits until it is drained.

Usage: dragonflyquay stop --node IP:PORT [--force] [--timeout-s SECONDS]

  --node IP:PORT       admin address of the node
  --force              stop also when no other ready target without a planned stop remains
  --timeout-s SECONDS  longest wait for the end (default 300); the stop goes on after it

Exit codes: 0 drained, 1 failed, 2 usage, 3 refused because it is the last ready target or there is none, 4 other stops
came first, 5 outcome unknown (run the command again), 6 node or store unavailable, 7 not drained in time.
";

/// Interval in which progress is asked for.
const POLL: Duration = Duration::from_millis(250);

struct Args {
    node: SocketAddr,
    force: bool,
    timeout: Duration,
}

fn parse(mut args: lexopt::Parser) -> CmdResult<Option<Args>> {
    let (mut node, mut force, mut seconds) = (None, false, 300);
    while let Some(arg) = args.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => return Ok(None),
            Long("node") => node = Some(args.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("force") => force = true,
            Long("timeout-s") => seconds = args.value().and_then(|v| v.parse()).map_err(usage)?,
            other => return Err(usage(other.unexpected())),
        }
    }
    match node {
        Some(node) => Ok(Some(Args {
            node,
            force,
            timeout: Duration::from_secs(seconds),
        })),
        None => fail(Exit::Usage, "--node is needed; see --help"),
    }
}

/// Runs the command.
pub fn run(args: lexopt::Parser) -> CmdResult {
    let Some(a) = parse(args)? else {
        print!("{USAGE}");
        return Ok(());
    };
    block_on(1, async {
        let ask = StopRequest { force: a.force };
        let begun: StopStatus = client::call(a.node, Method::POST, "/stop", &ask).await?;
        match tokio::time::timeout(a.timeout, follow(a.node, begun)).await {
            Ok(done) => done,
            Err(_) => fail(
                Exit::Late,
                format!("node {}: not drained in time; the stop goes on", a.node),
            ),
        }
    })
}

/// Prints a line for each change until the node is drained.
async fn follow(node: SocketAddr, mut status: StopStatus) -> CmdResult {
    let mut shown = String::new();
    loop {
        let phase = serde_json::to_value(status.phase).unwrap_or_default();
        let phase = phase.as_str().unwrap_or_default();
        let line = format!(
            "node {} {phase}, {} requests left",
            status.node, status.busy
        );
        if line != shown {
            println!("{line}");
            shown = line;
        }
        match status.phase {
            Phase::Drained => return Ok(()),
            // A backend server that was replaced after the end of the stop serves again.
            Phase::Serving => return Ok(()),
            _ => tokio::time::sleep(POLL).await,
        }
        status = client::call(node, Method::GET, "/stop", &()).await?;
    }
}
