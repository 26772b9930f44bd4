//! `sidecar`: runs the node beside a target on the users' platform; only this process reaches the target.

use std::path::PathBuf;

use super::{block_on, fail, fail_findings, usage, CmdError, CmdResult, Exit};
use crate::platform;
use crate::prelude::*;
use crate::sidecar::process::start;
use crate::{logging, settings};

/// Text that `sidecar --help` prints.
pub const USAGE: &str = "\
Runs the node beside a target until it is stopped. SIGTERM stops it gracefully, SIGHUP reloads the settings.

Usage: dragonflyquay sidecar SETTINGS.toml [--set KEY=VALUE]...

  --set KEY=VALUE  overrides a setting, such as sidecar.apply_ms=2500; a key without a value changes nothing

Exit codes: 0 stopped, 1 failed, 2 usage, 3 settings refused.
";

/// Runs a sidecar until it receives a signal to stop. The given settings file is read again when it changes.
pub fn run(parser: lexopt::Parser) -> CmdResult {
    let Some(source) = parse_source(parser)? else {
        return Ok(());
    };
    let settings = source
        .read()
        .or_else(|findings| fail_findings(&source.path, &findings))?;
    logging::init_stdout(settings.log.level).or_else(|e| fail(Exit::Failed, e))?;
    let timeout = Duration::from_millis(settings.store.timeout_ms);
    let store = Arc::new(platform::store::PlatformStore::new(
        settings.store.address,
        timeout,
    ));
    let adapter = Arc::new(platform::adapter::PlatformAdapter);
    block_on(settings.node.threads, async {
        start::run(settings, source, adapter, store)
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

/// Parses the arguments; `None` if the help was printed.
fn parse_source(mut parser: lexopt::Parser) -> CmdResult<Option<settings::Source>> {
    use lexopt::Arg::{Long, Short, Value};
    use lexopt::ValueExt;
    let (mut path, mut overrides) = (None, Vec::new());
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => {
                print!("{USAGE}");
                return Ok(None);
            }
            Long("set") => {
                let value = parser.value().and_then(|v| v.string());
                overrides.push(value.map_err(usage)?);
            }
            Value(v) if path.is_none() => path = Some(PathBuf::from(v)),
            other => return Err(usage(other.unexpected())),
        }
    }
    let Some(path) = path else {
        return fail(Exit::Usage, "SETTINGS.toml is missing; see --help");
    };
    let mut source = settings::Source::new(path);
    for text in &overrides {
        source
            .add_override(text)
            .or_else(|e| fail(Exit::Usage, format!("--set {text}: {e}")))?;
    }
    Ok(Some(source))
}
