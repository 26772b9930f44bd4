//! `node`: the process on a backend server VM.

use super::{block_on, fail, only_path, refused, CmdError, CmdResult, Exit};
use crate::prelude::*;
use crate::process::lifecycle::start;
use crate::store::http::HttpStore;
use crate::{logging, settings};

/// Usage text.
pub const USAGE: &str = "\
Runs the node of a backend server VM until it is told to stop.

Usage: dragonflyquay node SETTINGS.toml

Exit codes: 0 stopped, 1 failed, 2 usage, 3 settings refused.
";

/// Runs the command.
pub fn run(args: lexopt::Parser) -> CmdResult {
    let Some(path) = only_path(args, USAGE, "SETTINGS.toml")? else {
        return Ok(());
    };
    let s = settings::read(&path).or_else(|f| refused(&path, &f))?;
    logging::init_stderr(s.log.level).or_else(|e| fail(Exit::Failed, e))?;
    let store = Arc::new(HttpStore::new(
        s.store.address,
        Duration::from_millis(s.store.timeout_ms),
    ));
    block_on(s.node.threads, async {
        start::run(s, store).await.map_err(|e| {
            let message = format!("{e:?}");
            e.change_context(CmdError {
                exit: Exit::Failed,
                message,
            })
        })
    })
}
