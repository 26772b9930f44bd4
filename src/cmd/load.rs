//! `load`: sends load to nodes and reports latency, goodput and outcomes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use lexopt::prelude::*;

use super::{block_on, fail, refused, usage, CmdResult, Exit};
use crate::load::plan::{self, Kind, Plan};
use crate::load::run;

/// Usage text.
pub const USAGE: &str = "\
Sends requests at a set rate, whether or not earlier ones were answered, and reports the results by rank label.

Usage: dragonflyquay load --target IP:PORT... (--plan FILE | --path PATH) [OPTIONS]

  --target IP:PORT   caller address of a node; may be repeated, used in turn
  --allow-remote     allow addresses that are not loopback addresses
  --plan FILE        TOML file with the run and its [[request]] kinds
  --json             print the report as JSON

One kind of request, instead of [[request]] in a plan:
  --path PATH        path; {n} is replaced by the number of the request
  --method METHOD    HTTP method (default GET)
  --rank LABEL       label in the report (default all)
  --rate N           mean arrivals per second (default 10)
  --key SOURCE       idempotency key: none, per-request or issued (default none)
  --deadline-ms MS   deadline from the intended send time; 0 for none (default 0)
  --callers N        number of caller identities, accepted by nodes from the address of their backend server; 0 leaves
                     it to the node (default 0)
  --body TEXT        body (default empty)

Limits of the run; they override the plan:
  --duration-ms MS   time in which requests arrive (default 10000)
  --requests N       most requests (default 100000)
  --in-flight N      most requests in flight (default 1000); arrivals above it are counted, not sent
  --seed N           seed of the arrival times (default 1)

Exit codes: 0 finished, 1 failed, 2 usage, 3 refused.
";

/// Worker threads of the generator.
const THREADS: usize = 2;

#[derive(Default)]
struct Args {
    targets: Vec<SocketAddr>,
    remote: bool,
    json: bool,
    plan: Option<PathBuf>,
    kind: Option<Kind>,
    duration_ms: Option<u64>,
    requests: Option<u64>,
    in_flight: Option<usize>,
    seed: Option<u64>,
}

fn parse(mut args: lexopt::Parser) -> CmdResult<Option<Args>> {
    let mut a = Args::default();
    while let Some(arg) = args.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => return Ok(None),
            Long("target") => a.targets.push(read(&mut args)?),
            Long("allow-remote") => a.remote = true,
            Long("json") => a.json = true,
            Long("plan") => a.plan = Some(PathBuf::from(args.value().map_err(usage)?)),
            Long("duration-ms") => a.duration_ms = Some(read(&mut args)?),
            Long("requests") => a.requests = Some(read(&mut args)?),
            Long("in-flight") => a.in_flight = Some(read(&mut args)?),
            Long("seed") => a.seed = Some(read(&mut args)?),
            Long(name) => {
                let name = name.to_owned();
                parse_kind(&name, a.kind.get_or_insert_default(), &mut args)?;
            }
            other => return Err(usage(other.unexpected())),
        }
    }
    if a.targets.is_empty() || a.plan.is_some() == a.kind.is_some() {
        return fail(
            Exit::Usage,
            "--target and either --plan or --path are needed; see --help",
        );
    }
    Ok(Some(a))
}

fn parse_kind(name: &str, k: &mut Kind, args: &mut lexopt::Parser) -> CmdResult {
    match name {
        "path" => k.path = read(args)?,
        "method" => k.method = read(args)?,
        "rank" => k.rank = read(args)?,
        "rate" => k.rate = read(args)?,
        "key" => k.key = read(args)?,
        "deadline-ms" => k.deadline_ms = read(args)?,
        "callers" => k.callers = read(args)?,
        "body" => k.body = read(args)?,
        _ => return Err(usage(Long(name).unexpected())),
    }
    Ok(())
}

fn read<T>(args: &mut lexopt::Parser) -> CmdResult<T>
where
    T: std::str::FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    args.value().and_then(|v| v.parse()).map_err(usage)
}

fn make_plan(a: &Args) -> CmdResult<Plan> {
    let path = a.plan.as_deref().unwrap_or(Path::new("options"));
    let mut p = match &a.plan {
        Some(path) => {
            let text = std::fs::read_to_string(path)
                .or_else(|e| fail(Exit::Failed, format!("{}: {e}", path.display())))?;
            plan::parse(&text).or_else(|f| refused(path, &f))?
        }
        None => Plan {
            request: a.kind.clone().into_iter().collect(),
            ..Plan::default()
        },
    };
    p.duration_ms = a.duration_ms.unwrap_or(p.duration_ms);
    p.requests = a.requests.unwrap_or(p.requests);
    p.in_flight = a.in_flight.unwrap_or(p.in_flight);
    p.seed = a.seed.unwrap_or(p.seed);
    p.check().or_else(|f| refused(path, &f))?;
    Ok(p)
}

/// Runs the command.
pub fn run(args: lexopt::Parser) -> CmdResult {
    let Some(a) = parse(args)? else {
        print!("{USAGE}");
        return Ok(());
    };
    let plan = make_plan(&a)?;
    let remote = a.targets.iter().find(|t| !t.ip().is_loopback());
    if let Some(t) = remote.filter(|_| !a.remote) {
        return fail(
            Exit::Refused,
            format!(
                "{t} is not a loopback address; add --allow-remote if the load is meant for it"
            ),
        );
    }
    let report = block_on(THREADS, async { Ok(run::run(&plan, a.targets).await) })?;
    match a.json {
        true => println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        ),
        false => print!("{report}"),
    }
    Ok(())
}
