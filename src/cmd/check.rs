//! `check`: reports every finding in a manifest.

use std::path::PathBuf;

use lexopt::prelude::*;

use super::{fail, read_manifest, usage, CmdResult, Exit};

/// Usage text.
pub const USAGE: &str = "\
Reports every finding in a manifest; nothing is sent.

Usage: dragonflyquay check MANIFEST

Exit codes: 0 valid, 1 unreadable, 2 usage, 3 refused.
";

/// Runs the command.
pub fn run(mut args: lexopt::Parser) -> CmdResult {
    let mut path = None;
    while let Some(arg) = args.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => {
                print!("{USAGE}");
                return Ok(());
            }
            Value(v) if path.is_none() => path = Some(PathBuf::from(v)),
            other => return Err(usage(other.unexpected())),
        }
    }
    let Some(path) = path else {
        return fail(Exit::Usage, "MANIFEST is missing; see --help");
    };
    let m = read_manifest(&path)?;
    println!(
        "{}: valid; {} services, {} routes, {} resources",
        path.display(),
        m.service.len(),
        m.route.len(),
        m.resource.len()
    );
    Ok(())
}
