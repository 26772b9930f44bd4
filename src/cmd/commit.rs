//! `commit`: stores a manifest and moves the head.

use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::prelude::*;
use serde::Serialize;

use super::{block_on, fail, read_manifest, usage, CmdResult, Exit};
use crate::digest::Digest;
use crate::prelude::*;
use crate::store::http::HttpStore;
use crate::store::StoreError;
use crate::version::gc;
use crate::version::publish::{self, Outcome};
use crate::version::snapshot::{canonical, VersionRef};

/// Usage text.
pub const USAGE: &str = "\
Checks a manifest, stores it and makes it the next version.

Usage: dragonflyquay commit MANIFEST --base NUMBER --store IP:PORT [--timeout-ms MS] [--json]

  --base NUMBER     version that this commit follows; 0 for the first
  --store IP:PORT   address of the platform's store
  --timeout-ms MS   longest wait for one answer of the store (default 2000)
  --json            print the outcome as one line of JSON: result, exit, number, hash, head, winner, messages

Exit codes: 0 accepted, 1 failed, 2 usage, 3 refused, 4 conflict, 5 outcome unknown, 6 store unavailable.
After 5 or 6 run the same command again; it finds its own commit.
";

struct Args {
    path: PathBuf,
    base: VersionNumber,
    store: SocketAddr,
    timeout: Duration,
    json: bool,
}

/// Outcome in the form that `--json` prints.
#[derive(Debug, Default, Serialize)]
struct Line {
    result: &'static str,
    exit: u8,
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    accepted: Option<VersionRef>,
    #[serde(skip_serializing_if = "Option::is_none")]
    head: Option<VersionRef>,
    #[serde(skip_serializing_if = "Option::is_none")]
    winner: Option<Digest>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    messages: Vec<String>,
}

fn parse(mut args: lexopt::Parser) -> CmdResult<Option<Args>> {
    let (mut path, mut base, mut store, mut timeout_ms) = (None, None, None, 2000);
    let mut json = false;
    while let Some(arg) = args.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => return Ok(None),
            Long("base") => base = Some(args.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("store") => store = Some(args.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("timeout-ms") => {
                timeout_ms = args.value().and_then(|v| v.parse()).map_err(usage)?
            }
            Long("json") => json = true,
            Value(v) if path.is_none() => path = Some(PathBuf::from(v)),
            other => return Err(usage(other.unexpected())),
        }
    }
    match (path, base, store) {
        (Some(path), Some(base), Some(store)) => Ok(Some(Args {
            path,
            base,
            store,
            timeout: Duration::from_millis(timeout_ms),
            json,
        })),
        _ => fail(
            Exit::Usage,
            "MANIFEST, --base and --store are needed; see --help",
        ),
    }
}

/// Runs the command.
pub fn run(args: lexopt::Parser) -> CmdResult {
    let Some(a) = parse(args)? else {
        print!("{USAGE}");
        return Ok(());
    };
    let mut line = Line::default();
    let out = execute(&a, &mut line);
    if let Err(e) = &out {
        let e = e.current_context();
        line.exit = e.exit as u8;
        line.result = e.exit.as_str();
        line.messages = e.message.lines().map(str::to_owned).collect();
    }
    match (a.json, line.accepted) {
        (true, _) => println!("{}", serde_json::to_string(&line).unwrap_or_default()),
        (false, Some(v)) => println!("accepted version {} hash {}", v.number, v.hash),
        _ => {}
    }
    out
}

fn execute(a: &Args, line: &mut Line) -> CmdResult {
    let m = read_manifest(&a.path)?;
    let store = HttpStore::new(a.store, a.timeout);
    block_on(1, async {
        match publish::commit(&store, &m.site, a.base, &canonical(&m)).await {
            Ok(Outcome::Accepted(v)) => {
                line.result = "accepted";
                line.accepted = Some(v);
                // The commit is accepted whatever becomes of the removal; the next commit tries again.
                let _ = gc::remove_old_content(&store, &m.site).await;
                Ok(())
            }
            Ok(Outcome::Conflict { head, winner }) => {
                line.head = Some(head);
                line.winner = winner;
                fail(Exit::Conflict, conflict(a, head, winner))
            }
            Err(e) => failed(a, &e),
        }
    })
}

fn conflict(a: &Args, head: VersionRef, winner: Option<Digest>) -> String {
    let place = format!("{}: conflict", a.path.display());
    let present = format!("the head is at version {} hash {}", head.number, head.hash);
    let remedy = format!(
        "merge with version {0} and commit with --base {0}",
        head.number
    );
    match winner {
        _ if a.base > head.number => format!(
            "{place}: base {} is above the head; {present}; nothing was written; {remedy}",
            a.base
        ),
        Some(w) => format!(
            "{place}: version {} was made by commit {w}; {present}; {remedy}",
            a.base + 1
        ),
        None => format!(
            "{place}: version {} was made by a commit that is no longer recorded or was replaced; {present}; {remedy}",
            a.base + 1
        ),
    }
}

fn failed(a: &Args, e: &StoreError) -> CmdResult {
    let (exit, remedy) = match e {
        StoreError::Unavailable(_) => (
            Exit::Unavailable,
            "this run has not moved the head; check --store and run the same command again",
        ),
        StoreError::Unknown(_) => (
            Exit::Unknown,
            "run the same command again, it finds its own commit",
        ),
        _ => (Exit::Failed, "this run has not moved the head"),
    };
    fail(exit, format!("store {}: {e}; {remedy}", a.store))
}
