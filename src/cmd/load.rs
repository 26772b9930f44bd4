//! `load`: generates load on nodes and reports latency, goodput and outcomes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use lexopt::prelude::*;

use super::{block_on, fail, fail_findings, usage, CmdResult, Exit};
use crate::load::plan::{self, Plan, RequestKind};
use crate::load::run;

/// Text that `load --help` prints.
pub const USAGE: &str = "\
Sends requests at a given mean rate without waiting for responses (open loop) and reports the results by rank label.

Usage: dragonflyquay load --target IP:PORT... (--plan FILE | --path PATH) [OPTIONS]

  --target IP:PORT   caller address of a node; may be given several times, requests go to the addresses in turn
  --allow-remote     allow addresses that are not loopback addresses
  --plan FILE        TOML file with the run and its [[request]] kinds
  --json             print the report as JSON

One kind of request, instead of [[request]] in a plan:
  --path PATH        request path; {n} is replaced by the number of the request
  --method METHOD    HTTP method (default GET)
  --rank LABEL       label in the report (default all)
  --rate N           mean arrivals per second (default 10)
  --key SOURCE       idempotency key: none, per-request or issued (default none)
  --deadline-ms MS   deadline from the intended send time; 0 for none (default 0)
  --callers N        number of caller identities to send; a node accepts them only from the address of its backend
                     server; with 0 none is sent and the node takes the address of the caller (default 0)
  --body TEXT        request body (default empty)

Limits of the run; they override the plan:
  --duration-ms MS   time in which requests arrive (default 10000)
  --requests N       maximum number of requests (default 100000)
  --in-flight N      maximum number of requests in flight (default 1000); arrivals above it are counted, not sent
  --seed N           seed of the arrival times (default 1)

Exit codes: 0 finished, 1 failed, 2 usage, 3 refused.
";

const WORKER_THREADS: usize = 2;

#[derive(Default)]
struct Args {
    targets: Vec<SocketAddr>,
    allow_remote: bool,
    json: bool,
    plan: Option<PathBuf>,
    kind: Option<RequestKind>,
    duration_ms: Option<u64>,
    requests: Option<u64>,
    in_flight: Option<usize>,
    seed: Option<u64>,
}

fn parse(mut parser: lexopt::Parser) -> CmdResult<Option<Args>> {
    let mut args = Args::default();
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => return Ok(None),
            Long("target") => args.targets.push(parse_value(&mut parser)?),
            Long("allow-remote") => args.allow_remote = true,
            Long("json") => args.json = true,
            Long("plan") => args.plan = Some(PathBuf::from(parser.value().map_err(usage)?)),
            Long("duration-ms") => args.duration_ms = Some(parse_value(&mut parser)?),
            Long("requests") => args.requests = Some(parse_value(&mut parser)?),
            Long("in-flight") => args.in_flight = Some(parse_value(&mut parser)?),
            Long("seed") => args.seed = Some(parse_value(&mut parser)?),
            Long(name) => {
                let name = name.to_owned();
                parse_kind_option(&name, args.kind.get_or_insert_default(), &mut parser)?;
            }
            other => return Err(usage(other.unexpected())),
        }
    }
    if args.targets.is_empty() || args.plan.is_some() == args.kind.is_some() {
        return fail(
            Exit::Usage,
            "--target and either --plan or --path are required; see --help",
        );
    }
    Ok(Some(args))
}

fn parse_kind_option(name: &str, kind: &mut RequestKind, parser: &mut lexopt::Parser) -> CmdResult {
    match name {
        "path" => kind.path = parse_value(parser)?,
        "method" => kind.method = parse_value(parser)?,
        "rank" => kind.rank = parse_value(parser)?,
        "rate" => kind.rate = parse_value(parser)?,
        "key" => kind.key = parse_value(parser)?,
        "deadline-ms" => kind.deadline_ms = parse_value(parser)?,
        "callers" => kind.callers = parse_value(parser)?,
        "body" => kind.body = parse_value(parser)?,
        _ => return Err(usage(Long(name).unexpected())),
    }
    Ok(())
}

fn parse_value<T>(parser: &mut lexopt::Parser) -> CmdResult<T>
where
    T: std::str::FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    parser.value().and_then(|v| v.parse()).map_err(usage)
}

/// Reads the plan file or builds a plan from the options, and applies the limits of the command line.
fn build_plan(args: &Args) -> CmdResult<Plan> {
    let path = args.plan.as_deref().unwrap_or(Path::new("options"));
    let mut plan = match &args.plan {
        Some(path) => {
            let text = std::fs::read_to_string(path)
                .or_else(|e| fail(Exit::Failed, format!("{}: {e}", path.display())))?;
            plan::parse(&text).or_else(|findings| fail_findings(path, &findings))?
        }
        None => Plan {
            kinds: args.kind.clone().into_iter().collect(),
            ..Plan::default()
        },
    };
    plan.duration_ms = args.duration_ms.unwrap_or(plan.duration_ms);
    plan.requests = args.requests.unwrap_or(plan.requests);
    plan.in_flight = args.in_flight.unwrap_or(plan.in_flight);
    plan.seed = args.seed.unwrap_or(plan.seed);
    plan.check()
        .or_else(|findings| fail_findings(path, &findings))?;
    Ok(plan)
}

/// Sends the load and prints the report, with `--json` in JSON.
pub fn run(parser: lexopt::Parser) -> CmdResult {
    let Some(args) = parse(parser)? else {
        print!("{USAGE}");
        return Ok(());
    };
    let plan = build_plan(&args)?;
    let remote_target = args.targets.iter().find(|t| !t.ip().is_loopback());
    if let Some(t) = remote_target.filter(|_| !args.allow_remote) {
        return fail(
            Exit::Refused,
            format!("{t} is not a loopback address; add --allow-remote to send load to it"),
        );
    }
    let report = block_on(WORKER_THREADS, async {
        Ok(run::run(&plan, args.targets).await)
    })?;
    match args.json {
        true => println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        ),
        false => print!("{report}"),
    }
    Ok(())
}
