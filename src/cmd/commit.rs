//! `commit`: stores a manifest as the next version and moves the head of the store to it.

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

/// Text that `commit --help` prints.
pub const USAGE: &str = "\
Validates a manifest, stores it and makes it the next version.

Usage: dragonflyquay commit MANIFEST --base NUMBER --store IP:PORT [--timeout-ms MS] [--json]

  --base NUMBER     version that the manifest is based on; 0 for the first commit
  --store IP:PORT   address of the platform's store
  --timeout-ms MS   timeout of each call to the store (default 2000)
  --json            print the outcome as one line of JSON: result, exit, number, hash, head, winner, messages

Exit codes: 0 accepted, 1 failed, 2 usage, 3 refused, 4 conflict, 5 outcome unknown, 6 store unavailable.
After 5 or 6 run the same command again; it detects whether the first run was accepted.
";

struct Args {
    path: PathBuf,
    base: VersionNumber,
    store: SocketAddr,
    timeout: Duration,
    json: bool,
}

/// Outcome that `--json` prints.
#[derive(Debug, Default, Serialize)]
struct JsonReport {
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

fn parse(mut parser: lexopt::Parser) -> CmdResult<Option<Args>> {
    let (mut path, mut base, mut store, mut timeout_ms) = (None, None, None, 2000);
    let mut json = false;
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => return Ok(None),
            Long("base") => base = Some(parser.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("store") => store = Some(parser.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("timeout-ms") => {
                timeout_ms = parser.value().and_then(|v| v.parse()).map_err(usage)?
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
            "MANIFEST, --base and --store are required; see --help",
        ),
    }
}

/// Commits a manifest file and prints the accepted version, or with `--json` any outcome.
pub fn run(parser: lexopt::Parser) -> CmdResult {
    let Some(args) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    let mut report = JsonReport::default();
    let result = execute(&args, &mut report);
    if let Err(e) = &result {
        let e = e.current_context();
        report.exit = e.exit as u8;
        report.result = e.exit.as_str();
        report.messages = e.message.lines().map(str::to_owned).collect();
    }
    match (args.json, report.accepted) {
        (true, _) => println!("{}", serde_json::to_string(&report).unwrap_or_default()),
        (false, Some(v)) => println!("accepted version {} hash {}", v.number, v.hash),
        _ => {}
    }
    result
}

fn execute(args: &Args, report: &mut JsonReport) -> CmdResult {
    let manifest = read_manifest(&args.path)?;
    let store = HttpStore::new(args.store, args.timeout);
    block_on(1, async {
        match publish::commit(&store, &manifest.site, args.base, &canonical(&manifest)).await {
            Ok(Outcome::Accepted(v)) => {
                report.result = "accepted";
                report.accepted = Some(v);
                // A failed removal of old content does not undo the commit; the next commit retries it.
                let _ = gc::remove_old_content(&store, &manifest.site).await;
                Ok(())
            }
            Ok(Outcome::Conflict { head, winner }) => {
                report.head = Some(head);
                report.winner = winner;
                fail(Exit::Conflict, conflict_message(args, head, winner))
            }
            Err(e) => store_failure(args, &e),
        }
    })
}

fn conflict_message(args: &Args, head: VersionRef, winner: Option<Digest>) -> String {
    let prefix = format!("{}: conflict", args.path.display());
    let current = format!("the head is at version {} hash {}", head.number, head.hash);
    let hint = format!(
        "merge with version {0} and commit with --base {0}",
        head.number
    );
    match winner {
        _ if args.base > head.number => format!(
            "{prefix}: base {} is above the head; {current}; nothing was written; {hint}",
            args.base
        ),
        Some(w) => format!(
            "{prefix}: version {} was made by commit {w}; {current}; {hint}",
            args.base + 1
        ),
        None => format!(
            "{prefix}: version {} was made by a commit that is no longer recorded or was replaced; {current}; {hint}",
            args.base + 1
        ),
    }
}

fn store_failure(args: &Args, e: &StoreError) -> CmdResult {
    let (exit, hint) = match e {
        StoreError::Unavailable(_) => (
            Exit::Unavailable,
            "this run has not moved the head; check --store and run the same command again",
        ),
        StoreError::Unknown(_) => (
            Exit::Unknown,
            "run the same command again; it detects whether this run was accepted",
        ),
        _ => (Exit::Failed, "this run has not moved the head"),
    };
    fail(exit, format!("store {}: {e}; {hint}", args.store))
}
