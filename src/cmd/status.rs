//! `status`: shows what a node, its zone or all nodes run.

use std::net::SocketAddr;

use http::Method;
use lexopt::prelude::*;
use serde_json::{json, Value};

use super::{block_on, client, fail, usage, CmdResult, Exit};
use crate::prelude::*;
use crate::process::lifecycle::operator_api::{MemberStatus, StopStatus, SuspectStatus};

/// Usage text.
pub const USAGE: &str = "\
Shows what a node runs, how far it is behind, the members that it knows and planned stops.
All answers come from the nodes' memory, so that the command works while the store is down. Each listed node is asked
for its version; one that does not answer is shown with the version of its last record and source=record.

Usage: dragonflyquay status --node IP:PORT [--zone | --all] [--json]

  --node IP:PORT  admin address of the node
  --zone          list the nodes of its availability zone
  --all           list all nodes
  --json          print JSON

Exit codes: 0 success, 1 failed, 2 usage, 6 node unavailable.
";

/// Nodes that are asked for their version at the same time.
const ASKED_TOGETHER: usize = 64;
/// Longest wait for one of them.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

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
    let members = refresh(members).await;
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
            "member={} az={} state={} version={} lag={} source={} service={} target={}",
            m.node,
            m.az,
            m.state,
            m.version,
            m.lag,
            m.source,
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

/// Asks each member for its version, [`ASKED_TOGETHER`] at a time. Records carry versions with a delay, so that a
/// change does not cost a record of every node.
async fn refresh(mut members: Vec<MemberStatus>) -> Vec<MemberStatus> {
    for part in members.chunks_mut(ASKED_TOGETHER) {
        let asked = part.iter().map(|m| ask(m.admin.clone()));
        let asked: Vec<_> = asked.map(tokio::spawn).collect();
        for (m, task) in part.iter_mut().zip(asked) {
            if let Ok(Some((version, lag))) = task.await {
                m.version = version;
                m.lag = lag;
                m.source = "node".into();
            }
        }
    }
    members
}

/// Version and lag of a node; `None` when it does not answer in time.
async fn ask(admin: String) -> Option<(u64, u64)> {
    let address = admin.parse().ok()?;
    let call = client::call::<_, Value>(address, Method::GET, "/status", &());
    let status = tokio::time::timeout(ASK_TIMEOUT, call).await.ok()?.ok()?;
    Some((status["version"].as_u64()?, status["lag"].as_u64()?))
}

fn plain(v: &Value) -> String {
    v.as_str().map_or_else(|| v.to_string(), str::to_owned)
}
