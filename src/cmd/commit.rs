//! `commit`: stores a manifest and moves the head.

use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::prelude::*;

use super::{block_on, fail, read_manifest, usage, CmdResult, Exit};
use crate::prelude::*;
use crate::store::http::HttpStore;
use crate::store::StoreError;
use crate::version::publish::{self, Outcome};
use crate::version::snapshot::canonical;

/// Usage text.
pub const USAGE: &str = "\
Checks a manifest, stores it and makes it the next version.

Usage: dragonflyquay commit MANIFEST --base NUMBER --store IP:PORT [--timeout-ms MS]

  --base NUMBER     version that this commit follows; 0 for the first
  --store IP:PORT   address of the platform's store
  --timeout-ms MS   longest wait for one answer of the store (default 2000)

Exit codes: 0 accepted, 1 failed, 2 usage, 3 refused, 4 conflict, 5 outcome unknown, 6 store unavailable.
After 5 or 6 run the same command again; it finds its own commit.
";

struct Args {
    path: PathBuf,
    base: VersionNumber,
    store: SocketAddr,
    timeout: Duration,
}

fn parse(mut args: lexopt::Parser) -> CmdResult<Option<Args>> {
    let (mut path, mut base, mut store, mut timeout_ms) = (None, None, None, 2000);
    while let Some(arg) = args.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => return Ok(None),
            Long("base") => base = Some(args.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("store") => store = Some(args.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("timeout-ms") => {
                timeout_ms = args.value().and_then(|v| v.parse()).map_err(usage)?
            }
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
    let m = read_manifest(&a.path)?;
    let store = HttpStore::new(a.store, a.timeout);
    block_on(1, async {
        match publish::commit(&store, &m.site, a.base, &canonical(&m)).await {
            Ok(Outcome::Accepted(v)) => {
                println!("accepted version {} hash {}", v.number, v.hash);
                Ok(())
            }
            Ok(Outcome::Conflict { head, winner }) => {
                let winner = winner.map_or_else(|| "unknown".to_owned(), |w| w.to_string());
                fail(
                    Exit::Conflict,
                    format!(
                        "conflict: the head is at version {} hash {}; version {} was made by commit {winner}",
                        head.number,
                        head.hash,
                        a.base + 1
                    ),
                )
            }
            Err(e @ StoreError::Unavailable(_)) => {
                fail(Exit::Unavailable, format!("{}: {e}", a.store))
            }
            Err(e @ StoreError::Unknown(_)) => fail(
                Exit::Unknown,
                format!("{}: {e}; run the command again", a.store),
            ),
            Err(e) => fail(Exit::Failed, format!("{}: {e}", a.store)),
        }
    })
}
