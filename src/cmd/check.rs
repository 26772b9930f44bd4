//! `check`: reports every finding in a manifest.

use super::{only_path, read_manifest, CmdResult};

/// Usage text.
pub const USAGE: &str = "\
Reports every finding in a manifest; nothing is sent.

Usage: dragonflyquay check MANIFEST

Exit codes: 0 valid, 1 unreadable, 2 usage, 3 refused.
";

/// Runs the command.
pub fn run(args: lexopt::Parser) -> CmdResult {
    let Some(path) = only_path(args, USAGE, "MANIFEST")? else {
        return Ok(());
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
