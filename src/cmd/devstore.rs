//! `devstore`: runs a stand-in for the platform's store.

use std::net::SocketAddr;

use lexopt::prelude::*;

use super::{block_on, fail, usage, CmdResult, Exit};
use crate::prelude::*;
use crate::store::mem::MemStore;
use crate::store::server::{self, StandInStore};

/// Text that `devstore --help` prints.
pub const USAGE: &str = "\
Runs an in-memory stand-in for the platform's store, for tests and trials. Its data is lost when it stops.

Usage: dragonflyquay devstore [--listen IP:PORT]

  --listen IP:PORT  address (default 127.0.0.1:7500); the first output line shows the address in use

Faults are set with PUT /v1/faults, counters are read with GET /v1/stats. POST /v1/expire-leases ends all leases;
POST /v1/save saves the current state and POST /v1/restore restores it.

Exit codes: 0 stopped, 1 failed, 2 usage.
";

/// Prints the address of the stand-in store and runs it until Ctrl-C.
pub fn run(mut parser: lexopt::Parser) -> CmdResult {
    let mut listen = SocketAddr::from(([127, 0, 0, 1], 7500));
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => {
                print!("{USAGE}");
                return Ok(());
            }
            Long("listen") => listen = parser.value().and_then(|v| v.parse()).map_err(usage)?,
            other => return Err(usage(other.unexpected())),
        }
    }
    block_on(2, async {
        let stand_in = Arc::new(StandInStore::new(Arc::new(MemStore::default())));
        let server = match server::start(listen, stand_in) {
            Ok(s) => s,
            Err(e) => return fail(Exit::Failed, format!("{listen}: {e}")),
        };
        println!("listening {}", server.local_addr());
        let _ = tokio::signal::ctrl_c().await;
        Ok(())
    })
}
