//! `sidecar`: the process beside a target that only it can reach, on the users' platform.

use super::{block_on, fail, only_path, refused, CmdError, CmdResult, Exit};
use crate::platform;
use crate::prelude::*;
use crate::sidecar::start;
use crate::{logging, settings};

/// Usage text.
pub const USAGE: &str = "\
Runs the node beside a target until it is told to stop. SIGTERM ends it in
order, SIGHUP reads the settings again.

Usage: dragonflyquay sidecar SETTINGS.toml

Exit codes: 0 stopped, 1 failed, 2 usage, 3 settings refused.
";

/// Runs the command.
pub fn run(args: lexopt::Parser) -> CmdResult {
    let Some(path) = only_path(args, USAGE, "SETTINGS.toml")? else {
        return Ok(());
    };
    let s = settings::read(&path).or_else(|f| refused(&path, &f))?;
    logging::init_stdout(s.log.level).or_else(|e| fail(Exit::Failed, e))?;
    let timeout = Duration::from_millis(s.store.timeout_ms);
    let store = Arc::new(platform::store::PlatformStore::new(
        s.store.address,
        timeout,
    ));
    let adapter = Arc::new(platform::adapter::PlatformAdapter);
    block_on(s.node.threads, async {
        start::run(s, path, adapter, store).await.map_err(|e| {
            let message = format!("{e:?}");
            e.change_context(CmdError {
                exit: Exit::Failed,
                message,
            })
        })
    })
}
