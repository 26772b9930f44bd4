//! `status`: shows what a node, its zone or all nodes run.

use std::net::SocketAddr;

use http::Method;
use lexopt::prelude::*;
use serde_json::{json, Value};

use super::{block_on, client, fail, usage, CmdResult, Exit};
use crate::process::operate::{MemberStatus, StopStatus, SuspectStatus};

/// Usage text.
pub const USAGE: &str = "\
Shows what a node runs, how far it is behind, the members that it knows and planned stops.
All answers come from the node's memory, so that the command works while the store is down.

Usage: dragonflyquay status --node IP:PORT [--zone | --all] [--json]

  --node IP:PORT  admin address of the node
  --zone          list the nodes of its availability zone
  --all           list all nodes
  --json          print JSON

Exit codes: 0 success, 1 failed, 2 usage, 6 node unavailable.
";

/// Which members to list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    Node,
    Zone,
    All,
}

/// Runs the command.
pub fn run(mut args: lexopt::Parser) -> CmdResult {
    let (mut node, mut scope, mut json) = (None, Scope::Node, false);
    while let Some(arg) = args.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => {
                print!("{USAGE}");
                return Ok(());
            }
            Long("node") => node = Some(args.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("zone") => scope = Scope::Zone,
            Long("all") => scope = Scope::All,
            Long("json") => json = true,
            other => return Err(usage(other.unexpected())),
        }
    }
    let Some(node) = node else {
        return fail(Exit::Usage, "--node is needed; see --help");
    };
    block_on(1, show(node, scope, json))
}

async fn show(node: SocketAddr, scope: Scope, json: bool) -> CmdResult {
    let status: Value = client::call(node, Method::GET, "/status", &()).await?;
    let stop: StopStatus = client::call(node, Method::GET, "/stop", &()).await?;
    let mut members: Vec<MemberStatus> = client::call(node, Method::GET, "/members", &()).await?;
    let suspects: Vec<SuspectStatus> = client::call(node, Method::GET, "/quarantine", &()).await?;
    let (id, az) = (status["node"].clone(), status["az"].clone());
    members.retain(|m| match scope {
        Scope::Node => m.node == id,
        Scope::Zone => m.az == az,
        Scope::All => true,
    });
    let quarantined = suspects.iter().filter(|s| s.quarantined).count();
    if json {
        let all = json!({
            "status": status, "stop": stop, "members": members, "quarantine": suspects,
        });
        println!("{}", serde_json::to_string_pretty(&all).unwrap_or_default());
        return Ok(());
    }
    let fields = status.as_object().into_iter().flatten();
    let fields: Vec<_> = fields.map(|(k, v)| format!("{k}={}", plain(v))).collect();
    println!("{}", fields.join(" "));
    println!(
        "stop={} requests_left={} suspects={} quarantined={quarantined}",
        plain(&serde_json::to_value(stop.phase).unwrap_or_default()),
        stop.busy,
        suspects.len()
    );
    for m in members {
        let target = m
            .target
            .map(|t| serde_json::to_value(t).unwrap_or_default());
        println!(
            "member={} az={} state={} version={} lag={} service={} target={}",
            m.node,
            m.az,
            m.state,
            m.version,
            m.lag,
            if m.service.is_empty() {
                "-"
            } else {
                &m.service
            },
            target.as_ref().map_or("-".to_owned(), plain),
        );
    }
    Ok(())
}

fn plain(v: &Value) -> String {
    v.as_str().map_or_else(|| v.to_string(), str::to_owned)
}
