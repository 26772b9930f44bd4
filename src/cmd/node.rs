//! `node`: runs the node process of a backend server VM.

use super::{block_on, fail, fail_findings, parse_path, CmdError, CmdResult, Exit};
use crate::prelude::*;
use crate::process::lifecycle::start;
use crate::store::http::HttpStore;
use crate::{logging, settings};

/// Text that `node --help` prints.
pub const USAGE: &str = "\
Runs the node of a backend server VM until it is stopped by a signal.

Usage: dragonflyquay node SETTINGS.toml

Exit codes: 0 stopped, 1 failed, 2 usage, 3 settings refused.
";

/// Runs a node with the given settings file until it receives a signal to stop.
pub fn run(parser: lexopt::Parser) -> CmdResult {
    let Some(path) = parse_path(parser, USAGE, "SETTINGS.toml")? else {
        return Ok(());
    };
    let settings = settings::read(&path).or_else(|findings| fail_findings(&path, &findings))?;
    logging::init_stderr(settings.log.level).or_else(|e| fail(Exit::Failed, e))?;
    let store = Arc::new(HttpStore::new(
        settings.store.address,
        Duration::from_millis(settings.store.timeout_ms),
    ));
    block_on(settings.node.threads, async {
        start::run(settings, store).await.map_err(|e| {
            let message = format!("{e:?}");
            e.change_context(CmdError {
                exit: Exit::Failed,
                message,
            })
        })
    })
}
