//! `dev`: runs a small complete site in one process.

use std::path::{Path, PathBuf};

use lexopt::prelude::*;

use super::{block_on, fail, usage, CmdResult, Exit};
use crate::devsite::{self, Site};
use crate::load::plan::{Plan, RequestKind};
use crate::load::run;
use crate::logging;
use crate::prelude::*;
use crate::settings::LogLevel;
use crate::version::manifest::Resource;

/// Text that `dev --help` prints.
pub const USAGE: &str = "\
Runs a small complete site in one process: store stand-in, 10 nodes in 4 availability zones and their sample backend
servers. Prints a request and a commit to try. All addresses are loopback addresses; no data is kept after the end.

Usage: dragonflyquay dev [--port PORT] [--once]

  --port PORT  first of 51 ports: the store, then the caller, admin, relay and peer addresses of the nodes and the
               backend servers, ten each (default: free ports)
  --once       send one request, make one commit, then exit; fails if either fails

Exit codes: 0 stopped, 1 failed, 2 usage.
";

/// Path of the sample manifest in the repository.
const SAMPLE_MANIFEST: &str = "examples/trust.toml";
/// Path of the sample request, which the sample manifest routes to the service `catalogue-desk`.
const REQUEST_PATH: &str = "/catalogue/oak";
/// Wait between sends of the first request, which fails until the nodes know the backend servers.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of times that the first request is sent.
const MAX_SENDS: usize = 400;
const WORKER_THREADS: usize = 4;

/// Runs the site until Ctrl-C, or with `--once` until a request on a second version succeeds.
pub fn run(mut parser: lexopt::Parser) -> CmdResult {
    let (mut port, mut once) = (None, false);
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => {
                print!("{USAGE}");
                return Ok(());
            }
            Long("port") => port = Some(parser.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("once") => once = true,
            other => return Err(usage(other.unexpected())),
        }
    }
    if port.is_some_and(|p: u16| p == 0 || p.checked_add(devsite::PORT_COUNT - 1).is_none()) {
        return fail(
            Exit::Usage,
            "--port: must be at least 1 and leave room for 51 ports; see --help",
        );
    }
    logging::init_stderr(LogLevel::Warn).or_else(|e| fail(Exit::Failed, e))?;
    block_on(WORKER_THREADS, async {
        let site = devsite::start(port).await?;
        let manifest = devsite::sample_manifest()?;
        let number = site.commit(&manifest, 0).await?;
        print_nodes(&site);
        wait_in_force(&site, number).await?;
        wait_first_success(&site).await?;
        match once {
            true => commit_and_request(&site, number).await,
            false => serve_until_interrupt(&site, number).await,
        }
    })
}

fn print_nodes(site: &Site) {
    println!("site trust: store {}", site.store);
    println!(
        "{:<6} {:<4} {:<16} {:<16} admin",
        "node", "zone", "service", "caller"
    );
    for m in &site.members {
        println!(
            "{:<6} {:<4} {:<16} {:<16} {}",
            m.node.process.settings.node.id,
            m.az,
            m.service,
            m.node.addresses.caller.to_string(),
            m.node.addresses.admin,
        );
    }
}

/// Waits until a version is in force on all nodes and prints the time that it took.
async fn wait_in_force(site: &Site, number: VersionNumber) -> CmdResult {
    let elapsed = site.wait_in_force(number).await?;
    println!(
        "version {number} is in force on {} of {} nodes, {} ms after it was accepted",
        site.count_in_force(number),
        site.members.len(),
        elapsed.as_millis()
    );
    Ok(())
}

/// Sends one request through the first node. Returns whether it succeeded.
async fn send_request(site: &Site) -> bool {
    let plan = Plan {
        requests: 1,
        kinds: vec![RequestKind {
            path: REQUEST_PATH.into(),
            rate: 1000.0,
            deadline_ms: 1000,
            ..RequestKind::default()
        }],
        ..Plan::default()
    };
    let report = run::run(&plan, vec![site.members[0].node.addresses.caller]).await;
    report.ranks.values().any(|r| r.good > 0)
}

/// Sends the sample request until it succeeds, at most [`MAX_SENDS`] times.
async fn wait_first_success(site: &Site) -> CmdResult {
    for _ in 0..MAX_SENDS {
        if send_request(site).await {
            println!(
                "GET {REQUEST_PATH} succeeded through node {}",
                first_node_id(site)
            );
            return Ok(());
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    fail(Exit::Failed, format!("GET {REQUEST_PATH} did not succeed"))
}

fn first_node_id(site: &Site) -> &str {
    &site.members[0].node.process.settings.node.id
}

/// Commits a changed manifest, waits until it is in force and sends a request on it.
async fn commit_and_request(site: &Site, base: VersionNumber) -> CmdResult {
    let mut manifest = devsite::sample_manifest()?;
    manifest.resource.push(Resource::CallerLimit {
        name: "dev-limit".into(),
        concurrent: 8,
    });
    let number = site.commit(&manifest, base).await?;
    wait_in_force(site, number).await?;
    match send_request(site).await {
        true => {
            println!("GET {REQUEST_PATH} succeeded on version {number}");
            Ok(())
        }
        false => fail(
            Exit::Failed,
            format!("GET {REQUEST_PATH} failed on version {number}"),
        ),
    }
}

/// Manifest file that the printed `commit` command names: the sample in the repository, or outside of a checkout a
/// temporary copy, which is removed on drop.
struct ManifestFile {
    path: PathBuf,
    is_temporary: bool,
}

impl ManifestFile {
    fn find_or_create() -> CmdResult<Self> {
        if Path::new(SAMPLE_MANIFEST).is_file() {
            return Ok(Self {
                path: SAMPLE_MANIFEST.into(),
                is_temporary: false,
            });
        }
        let name = format!("dragonflyquay-{}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        match std::fs::write(&path, devsite::MANIFEST) {
            Ok(()) => Ok(Self {
                path,
                is_temporary: true,
            }),
            Err(e) => fail(Exit::Failed, format!("{}: {e}", path.display())),
        }
    }
}

impl Drop for ManifestFile {
    fn drop(&mut self) {
        if self.is_temporary {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Prints commands to try and reports each new version until Ctrl-C.
async fn serve_until_interrupt(site: &Site, mut number: VersionNumber) -> CmdResult {
    let program = std::env::args()
        .next()
        .unwrap_or_else(|| "dragonflyquay".into());
    let manifest = ManifestFile::find_or_create()?;
    let addresses = &site.members[0].node.addresses;
    println!(
        "\nTry a request:\n  curl -i http://{}{REQUEST_PATH}",
        addresses.caller
    );
    println!(
        "Edit {0} if needed and commit it as the next version:\n  {program} commit {0} --base {number} --store {1}",
        manifest.path.display(),
        site.store
    );
    println!(
        "Query a node, or send a booking, which runs at most once for each idempotency key:\n  \
         {program} status --node {}\n  \
         curl -i -X POST -H \"idempotency-key: $(curl -s -X POST http://{1}/.dq/key)\" http://{1}/bookings",
        addresses.admin, addresses.caller
    );
    println!("Ctrl-C stops the site.");
    loop {
        let next = tokio::select! {
            _ = tokio::signal::ctrl_c() => return Ok(()),
            next = site.next_version(number) => next?,
        };
        if let Err(e) = wait_in_force(site, next).await {
            println!("{}", e.current_context());
        }
        number = next;
    }
}
