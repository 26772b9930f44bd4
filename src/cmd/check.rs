//! `check`: validates a manifest and reports all findings.

use super::{parse_path, read_manifest, CmdResult};

/// Text that `check --help` prints.
pub const USAGE: &str = "\
Validates a manifest and reports all findings; contacts no node and no store.

Usage: dragonflyquay check MANIFEST

Exit codes: 0 valid, 1 unreadable, 2 usage, 3 refused.
";

/// Validates a manifest file and prints the numbers of its entries, or fails with all findings.
pub fn run(parser: lexopt::Parser) -> CmdResult {
    let Some(path) = parse_path(parser, USAGE, "MANIFEST")? else {
        return Ok(());
    };
    let manifest = read_manifest(&path)?;
    println!(
        "{}: valid; {} services, {} routes, {} resources",
        path.display(),
        manifest.service.len(),
        manifest.route.len(),
        manifest.resource.len()
    );
    Ok(())
}
