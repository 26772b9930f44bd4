//! `quarantine`: lists or clears requests that are suspected of crashing backend servers.

use std::net::SocketAddr;

use http::Method;
use lexopt::prelude::*;

use super::{block_on, client, fail, usage, CmdResult, Exit};
use crate::process::lifecycle::operator_api::{Cleared, SuspectStatus};

/// Text that `quarantine --help` prints.
pub const USAGE: &str = "\
Lists requests that are suspected of crashing backend servers, or clears them on all nodes.

Usage: dragonflyquay quarantine --node IP:PORT [--json] [--clear FINGERPRINT | --clear-all]

  --node IP:PORT       admin address of any node
  --json               print JSON
  --clear FINGERPRINT  clear one request
  --clear-all          clear all requests

Exit codes: 0 success, 1 failed, 2 usage, 3 no such request, 6 node unavailable.
";

/// Lists the suspects that a node knows, or clears one or all of them.
pub fn run(mut parser: lexopt::Parser) -> CmdResult {
    let (mut node, mut json, mut fingerprint, mut clear_all) = (None, false, None, false);
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => {
                print!("{USAGE}");
                return Ok(());
            }
            Long("node") => node = Some(parser.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("json") => json = true,
            Long("clear") => {
                fingerprint = Some(parser.value().and_then(|v| v.string()).map_err(usage)?)
            }
            Long("clear-all") => clear_all = true,
            other => return Err(usage(other.unexpected())),
        }
    }
    let Some(node) = node else {
        return fail(Exit::Usage, "--node is required; see --help");
    };
    block_on(1, async {
        match (fingerprint, clear_all) {
            (Some(_), true) => fail(Exit::Usage, "--clear and --clear-all cannot be combined"),
            (Some(f), false) => clear(node, &format!("/quarantine/{f}")).await,
            (None, true) => clear(node, "/quarantine").await,
            (None, false) => list(node, json).await,
        }
    })
}

async fn clear(node: SocketAddr, path: &str) -> CmdResult {
    let response: Cleared = client::call(node, Method::DELETE, path, &()).await?;
    println!("cleared {}", response.cleared);
    Ok(())
}

async fn list(node: SocketAddr, json: bool) -> CmdResult {
    let suspects: Vec<SuspectStatus> = client::call(node, Method::GET, "/quarantine", &()).await?;
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&suspects).unwrap_or_default()
        );
        return Ok(());
    }
    for s in suspects {
        let state = if s.quarantined {
            "quarantined"
        } else {
            "suspected"
        };
        println!(
            "{} {state} crashes={} age_ms={}",
            s.fingerprint, s.crashes, s.age_ms
        );
    }
    Ok(())
}
