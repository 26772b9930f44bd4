//! `status`: shows the state of a node, of the nodes of its availability zone or of all nodes.

use std::net::SocketAddr;

use http::Method;
use lexopt::prelude::*;
use serde_json::{json, Value};

use super::{block_on, client, fail, usage, CmdResult, Exit};
use crate::prelude::*;
use crate::process::lifecycle::operator_api::{MemberStatus, StopStatus, SuspectStatus};

/// Text that `status --help` prints.
pub const USAGE: &str = "\
Shows the version of a node, its lag, the members that it knows and planned stops.
All data comes from the nodes' memory, so that the command works while the store is down. Each listed node is queried
for its version; one that does not answer is shown with the version of its last record and source=record.

Usage: dragonflyquay status --node IP:PORT [--zone | --all] [--json]

  --node IP:PORT  admin address of the node
  --zone          list the nodes of its availability zone
  --all           list all nodes
  --json          print JSON

Exit codes: 0 success, 1 failed, 2 usage, 6 node unavailable.
";

/// Nodes that are queried for their version at the same time.
const MAX_CONCURRENT_QUERIES: usize = 64;
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Which members to list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    Node,
    Zone,
    All,
}

/// Prints the state of a node, its planned stop, its suspects and the selected members.
pub fn run(mut parser: lexopt::Parser) -> CmdResult {
    let (mut node, mut scope, mut json) = (None, Scope::Node, false);
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => {
                print!("{USAGE}");
                return Ok(());
            }
            Long("node") => node = Some(parser.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("zone") => scope = Scope::Zone,
            Long("all") => scope = Scope::All,
            Long("json") => json = true,
            other => return Err(usage(other.unexpected())),
        }
    }
    let Some(node) = node else {
        return fail(Exit::Usage, "--node is required; see --help");
    };
    block_on(1, print_status(node, scope, json))
}

async fn print_status(node: SocketAddr, scope: Scope, json: bool) -> CmdResult {
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
    let members = refresh_versions(members).await;
    let quarantined = suspects.iter().filter(|s| s.quarantined).count();
    if json {
        let report = json!({
            "status": status, "stop": stop, "members": members, "quarantine": suspects,
        });
        println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        );
        return Ok(());
    }
    let fields = status.as_object().into_iter().flatten();
    let fields: Vec<_> = fields
        .map(|(k, v)| format!("{k}={}", unquoted(v)))
        .collect();
    println!("{}", fields.join(" "));
    println!(
        "stop={} requests_left={} suspects={} quarantined={quarantined}",
        unquoted(&serde_json::to_value(stop.phase).unwrap_or_default()),
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
            target.as_ref().map_or("-".to_owned(), unquoted),
        );
    }
    Ok(())
}

/// Replaces the recorded version and lag of each member by those that the node itself reports. Records carry versions
/// with a delay, so that a new version does not make every node send a new record.
async fn refresh_versions(mut members: Vec<MemberStatus>) -> Vec<MemberStatus> {
    for batch in members.chunks_mut(MAX_CONCURRENT_QUERIES) {
        let queries = batch.iter().map(|m| query_version(m.admin.clone()));
        let tasks: Vec<_> = queries.map(tokio::spawn).collect();
        for (m, task) in batch.iter_mut().zip(tasks) {
            if let Ok(Some((version, lag))) = task.await {
                m.version = version;
                m.lag = lag;
                m.source = "node".into();
            }
        }
    }
    members
}

/// Queries a node for its version and lag; `None` when it does not answer in time.
async fn query_version(admin: String) -> Option<(u64, u64)> {
    let address = admin.parse().ok()?;
    let call = client::call::<_, Value>(address, Method::GET, "/status", &());
    let status = tokio::time::timeout(QUERY_TIMEOUT, call).await.ok()?.ok()?;
    Some((status["version"].as_u64()?, status["lag"].as_u64()?))
}

/// Formats a JSON value without the quotes of a string.
fn unquoted(v: &Value) -> String {
    v.as_str().map_or_else(|| v.to_string(), str::to_owned)
}
