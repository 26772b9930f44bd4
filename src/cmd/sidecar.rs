//! `sidecar`: runs the node beside a target on the users' platform; only this process reaches the target.

use super::{block_on, fail, fail_findings, parse_path, CmdError, CmdResult, Exit};
use crate::platform;
use crate::prelude::*;
use crate::sidecar::process::start;
use crate::{logging, settings};

/// Text that `sidecar --help` prints.
pub const USAGE: &str = "\
Runs the node beside a target until it is stopped. SIGTERM stops it gracefully, SIGHUP reloads the settings.

Usage: dragonflyquay sidecar SETTINGS.toml

Exit codes: 0 stopped, 1 failed, 2 usage, 3 settings refused.
";

/// Runs a sidecar until it receives a signal to stop. The given settings file is read again when it changes.
pub fn run(parser: lexopt::Parser) -> CmdResult {
    let Some(path) = parse_path(parser, USAGE, "SETTINGS.toml")? else {
        return Ok(());
    };
    let settings = settings::read(&path).or_else(|findings| fail_findings(&path, &findings))?;
    logging::init_stdout(settings.log.level).or_else(|e| fail(Exit::Failed, e))?;
    let timeout = Duration::from_millis(settings.store.timeout_ms);
    let store = Arc::new(platform::store::PlatformStore::new(
        settings.store.address,
        timeout,
    ));
    let adapter = Arc::new(platform::adapter::PlatformAdapter);
    block_on(settings.node.threads, async {
        start::run(settings, path, adapter, store)
            .await
            .map_err(|e| {
                let message = format!("{e:?}");
                e.change_context(CmdError {
                    exit: Exit::Failed,
                    message,
                })
            })
    })
}
