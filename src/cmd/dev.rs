//! `dev`: runs a small whole site in one process.

use std::path::{Path, PathBuf};

use lexopt::prelude::*;

use super::{block_on, fail, usage, CmdResult, Exit};
use crate::devsite::{self, Site};
use crate::load::plan::{Kind, Plan};
use crate::load::run;
use crate::logging;
use crate::prelude::*;
use crate::settings::LogLevel;
use crate::version::manifest::Resource;

/// Usage text.
pub const USAGE: &str = "\
Runs a small whole site in one process: store stand-in, 10 nodes in 4 availability zones and their sample backend
servers. Prints a request and a commit to try. Everything listens on loopback addresses; nothing is kept.

Usage: dragonflyquay dev [--port PORT] [--once]

  --port PORT  first of 51 ports: the store, then the caller, admin, relay and peer addresses of the nodes and the
               backend servers, ten each (default: free ports)
  --once       run one request and one commit, then exit; fails when either does

Exit codes: 0 stopped, 1 failed, 2 usage.
";

/// Path of the sample manifest in the repository.
const SAMPLE: &str = "examples/trust.toml";
/// A request that the sample manifest routes.
const REQUEST: &str = "/catalogue/oak";
/// Wait between attempts of the first request, while the nodes learn about the backend servers.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Attempts of the first request.
const ATTEMPTS: usize = 400;
const THREADS: usize = 4;

/// Runs the command.
pub fn run(mut args: lexopt::Parser) -> CmdResult {
    let (mut port, mut once) = (None, false);
    while let Some(arg) = args.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => {
                print!("{USAGE}");
                return Ok(());
            }
            Long("port") => port = Some(args.value().and_then(|v| v.parse()).map_err(usage)?),
            Long("once") => once = true,
            other => return Err(usage(other.unexpected())),
        }
    }
    if port.is_some_and(|p: u16| p == 0 || p.checked_add(devsite::PORT_COUNT - 1).is_none()) {
        return fail(Exit::Usage, "--port: 51 ports have to fit; see --help");
    }
    logging::init_stderr(LogLevel::Warn).or_else(|e| fail(Exit::Failed, e))?;
    block_on(THREADS, async {
        let site = devsite::start(port).await?;
        let m = devsite::sample_manifest()?;
        let number = site.commit(&m, 0).await?;
        describe(&site);
        in_force(&site, number).await?;
        first_request(&site).await?;
        match once {
            true => once_more(&site, number).await,
            false => serve(&site, number).await,
        }
    })
}

fn describe(site: &Site) {
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

async fn in_force(site: &Site, number: VersionNumber) -> CmdResult {
    let took = site.wait_in_force(number).await?;
    println!(
        "version {number} is in force on {} of {} nodes, {} ms after it was accepted",
        site.count_in_force(number),
        site.members.len(),
        took.as_millis()
    );
    Ok(())
}

/// Sends one request through the first node; true when it was answered.
async fn request(site: &Site) -> bool {
    let plan = Plan {
        requests: 1,
        request: vec![Kind {
            path: REQUEST.into(),
            rate: 1000.0,
            deadline_ms: 1000,
            ..Kind::default()
        }],
        ..Plan::default()
    };
    let report = run::run(&plan, vec![site.members[0].node.addresses.caller]).await;
    report.ranks.values().any(|r| r.good > 0)
}

async fn first_request(site: &Site) -> CmdResult {
    for _ in 0..ATTEMPTS {
        if request(site).await {
            println!("GET {REQUEST} was answered through node {}", name(site));
            return Ok(());
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    fail(Exit::Failed, format!("GET {REQUEST} was not answered"))
}

fn name(site: &Site) -> &str {
    &site.members[0].node.process.settings.node.id
}

async fn once_more(site: &Site, base: VersionNumber) -> CmdResult {
    let mut m = devsite::sample_manifest()?;
    m.resource.push(Resource::CallerLimit {
        name: "dev-limit".into(),
        concurrent: 8,
    });
    let number = site.commit(&m, base).await?;
    in_force(site, number).await?;
    match request(site).await {
        true => {
            println!("GET {REQUEST} was answered on version {number}");
            Ok(())
        }
        false => fail(
            Exit::Failed,
            format!("GET {REQUEST} failed on version {number}"),
        ),
    }
}

/// A manifest file that the printed command can name; a copy made for it is removed at the end.
struct ManifestFile {
    path: PathBuf,
    copy: bool,
}

impl ManifestFile {
    fn find() -> CmdResult<Self> {
        if Path::new(SAMPLE).is_file() {
            return Ok(Self {
                path: SAMPLE.into(),
                copy: false,
            });
        }
        let name = format!("dragonflyquay-{}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        match std::fs::write(&path, devsite::MANIFEST) {
            Ok(()) => Ok(Self { path, copy: true }),
            Err(e) => fail(Exit::Failed, format!("{}: {e}", path.display())),
        }
    }
}

impl Drop for ManifestFile {
    fn drop(&mut self) {
        if self.copy {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

async fn serve(site: &Site, mut number: VersionNumber) -> CmdResult {
    let program = std::env::args()
        .next()
        .unwrap_or_else(|| "dragonflyquay".into());
    let manifest = ManifestFile::find()?;
    let first = &site.members[0].node.addresses;
    println!(
        "\nTry a request:\n  curl -i http://{}{REQUEST}",
        first.caller
    );
    println!(
        "Then change {0} if you like, and commit it as the next version:\n  {program} commit {0} --base {number} --store {1}",
        manifest.path.display(),
        site.store
    );
    println!(
        "See what a node runs, or book a courier, which runs at most once for each key:\n  \
         {program} status --node {}\n  \
         curl -i -X POST -H \"idempotency-key: $(curl -s -X POST http://{1}/.dq/key)\" http://{1}/bookings",
        first.admin, first.caller
    );
    println!("Ctrl-C stops the site.");
    loop {
        let next = tokio::select! {
            _ = tokio::signal::ctrl_c() => return Ok(()),
            next = site.next_version(number) => next?,
        };
        if let Err(e) = in_force(site, next).await {
            println!("{}", e.current_context());
        }
        number = next;
    }
}
