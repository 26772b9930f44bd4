//! Compares the default policies with their baselines on models of two deployments, with nodes as separate processes.
//!
//! `cargo build --release && cargo run --release --example measure_policy -- --seconds 5`

mod support;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use dragonflyquay::load::plan::{KeySource, Plan, RequestKind};
use lexopt::prelude::*;
use serde::Serialize;
use serde_json::Value as Json;
use support::figures::{print_table, write_json, Summary};
use support::fleet::Fleet;
use support::site::{Deployment, DEPLOYMENTS};
use support::{ChildProcess, Http, Result};

const USAGE: &str = "\
Compares the default policies with their baselines on models of two deployments.

Usage: measure_policy [OPTIONS]

  --deployments NAME,...  of trust and leiloes (default both)
  --policies NAME,...     of chosen, random, fifo, unlimited and all-baselines (default all five)
  --factors N,...         load of the flooded service as a multiple of its capacity (default 0.8,1.5,3,10)
  --seconds N             length of each run (default 5)
  --seed N                seed of the arrival times (default 1)
  --key SOURCE            keys of non-idempotent requests: per-request or issued (default issued)
  --out FILE              write the JSON results to a file instead of standard output
";

/// Policies by name, with their settings as TOML; `chosen` are the defaults of the node.
const POLICIES: [(&str, &str); 5] = [
    ("chosen", ""),
    ("random", "[policy]\nbalance = \"random\""),
    ("fifo", "[policy]\nqueue = \"fifo\""),
    ("unlimited", "[policy]\nretries = \"unlimited\""),
    (
        "all-baselines",
        "[policy]\nbalance = \"random\"\nqueue = \"fifo\"\nretries = \"unlimited\"",
    ),
];

/// Limit on requests in flight of each route. The flooded route has its own limit and so does not block the others.
const MAX_IN_FLIGHT: usize = 3000;
/// Pause between two runs, for queues to empty.
const RUN_PAUSE: Duration = Duration::from_secs(2);
/// Request rate when measuring added latency; far below capacity.
const LATENCY_RATE_PER_S: f64 = 100.0;
/// Pairs of runs, direct and through a node, that measure added latency.
const LATENCY_PAIRS: usize = 5;

struct Args {
    deployments: Vec<String>,
    policies: Vec<String>,
    factors: Vec<f64>,
    seconds: u64,
    seed: u64,
    key: KeySource,
    out: Option<String>,
}

/// Results of one run with one policy.
#[derive(Debug, Serialize)]
struct PolicyRun {
    deployment: &'static str,
    policy: &'static str,
    /// Flooded route, if any, and the load of its service as a multiple of its capacity.
    flood: Option<(String, f64)>,
    /// Load report of each route.
    kinds: Vec<(String, Json)>,
    /// Smallest share of the requests of a route that got a response in time, over all routes that are not flooded.
    least_share: f64,
    /// Attempts per request.
    amplification: f64,
}

/// Parses a comma-separated list.
fn parse_list<T>(text: &str) -> Result<Vec<T>>
where
    T: std::str::FromStr,
{
    text.split(',')
        .map(|w| w.parse().map_err(|_| format!("invalid value: {w}")))
        .collect()
}

fn parse() -> Result<Option<Args>> {
    let mut a = Args {
        deployments: DEPLOYMENTS.iter().map(|d| d.name.to_owned()).collect(),
        policies: POLICIES.iter().map(|p| p.0.to_owned()).collect(),
        factors: vec![0.8, 1.5, 3.0, 10.0],
        seconds: 5,
        seed: 1,
        key: KeySource::Issued,
        out: None,
    };
    let mut p = lexopt::Parser::from_env();
    let text = |e: lexopt::Error| e.to_string();
    while let Some(arg) = p.next().map_err(text)? {
        let name = match arg {
            Long("help") => return Ok(None),
            Long(name) => name.to_owned(),
            other => return Err(other.unexpected().to_string()),
        };
        let value: String = p.value().and_then(|v| v.parse()).map_err(text)?;
        match name.as_str() {
            "deployments" => a.deployments = parse_list(&value)?,
            "policies" => a.policies = parse_list(&value)?,
            "factors" => a.factors = parse_list(&value)?,
            "seconds" => a.seconds = value.parse().map_err(|_| value)?,
            "seed" => a.seed = value.parse().map_err(|_| value)?,
            "key" => a.key = value.parse()?,
            "out" => a.out = Some(value),
            _ => return Err(format!("unknown option --{name}")),
        }
    }
    Ok(Some(a))
}

/// Runs a `load` process for each kind of request, all at the same time. Returns their reports by route.
fn run_load(
    a: &Args,
    f: &Fleet,
    targets: &[SocketAddr],
    kinds: &[(String, RequestKind)],
) -> Result<Vec<(String, Json)>> {
    let mut started = Vec::new();
    for (i, (name, kind)) in kinds.iter().enumerate() {
        let plan = Plan {
            duration_ms: a.seconds * 1000,
            requests: 1_000_000,
            in_flight: MAX_IN_FLIGHT,
            seed: a.seed + i as u64,
            kinds: vec![kind.clone()],
        };
        let text = toml::to_string(&plan).map_err(|e| e.to_string())?;
        let path = f.write(&format!("plan-{i}.toml"), &text)?;
        let mut args = vec!["load", "--json", "--plan", &path];
        let addresses: Vec<_> = targets.iter().map(ToString::to_string).collect();
        args.extend(addresses.iter().flat_map(|t| ["--target", t]));
        started.push((name.clone(), ChildProcess::start(&args)?));
    }
    let finish = |(name, run): (String, ChildProcess)| {
        let json: Json = serde_json::from_str(&run.finish()?).map_err(|e| e.to_string())?;
        Ok((name.clone(), json["ranks"][name.as_str()].clone()))
    };
    started.into_iter().map(finish).collect()
}

fn caller_addresses(f: &Fleet) -> Vec<SocketAddr> {
    f.nodes.iter().map(|n| n.addresses.caller).collect()
}

fn run_policy(
    a: &Args,
    d: &'static Deployment,
    policy: &'static str,
    f: &Fleet,
    flood: Option<(&str, f64)>,
) -> Result<PolicyRun> {
    let before = f
        .http
        .metrics(&f.admin_addresses())
        .sum("dq_retries_total", &[]);
    let kinds = run_load(a, f, &caller_addresses(f), &d.request_kinds(flood, a.key)?)?;
    let retries = f
        .http
        .metrics(&f.admin_addresses())
        .sum("dq_retries_total", &[])
        - before;
    let arrived: f64 = kinds.iter().filter_map(|k| k.1["arrived"].as_f64()).sum();
    let good_share = |k: &Json| Some(k["good"].as_f64()? / k["arrived"].as_f64()?);
    let others = kinds.iter().filter(|k| flood.is_none_or(|fl| fl.0 != k.0));
    std::thread::sleep(RUN_PAUSE);
    Ok(PolicyRun {
        deployment: d.name,
        policy,
        flood: flood.map(|(name, factor)| (name.to_owned(), factor)),
        least_share: others.filter_map(|k| good_share(&k.1)).fold(1.0, f64::min),
        amplification: 1.0 + retries / arrived.max(1.0),
        kinds,
    })
}

/// A backend server that announces itself as ready and closes every connection that it accepts.
struct FailingBackend {
    stop: Arc<AtomicBool>,
}

impl FailingBackend {
    fn start(service: &'static str, slots: u32, node: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let stop = Arc::new(AtomicBool::new(false));
        let body = serde_json::json!({
            "service": service, "address": address.to_string(), "slots": slots, "connections": 100,
            "state": "ready", "incarnation": 1
        });
        let stopped = stop.clone();
        std::thread::spawn(move || {
            let Ok(http) = Http::new() else { return };
            while !stopped.load(Ordering::Relaxed) {
                let _ = http
                    .rt
                    .block_on(http.call("POST", node, "/announce", &body.to_string()));
                std::thread::sleep(Duration::from_millis(500));
            }
            // Wakes the accepting thread, so that it sees the stop flag.
            let _ = std::net::TcpStream::connect(address);
        });
        let stopped = stop.clone();
        std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                drop(listener.accept());
            }
        });
        Ok(Self { stop })
    }
}

impl Drop for FailingBackend {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Replaces a third of the targets of each service with failing backend servers and runs the normal load.
fn run_failing_third(
    a: &Args,
    d: &'static Deployment,
    policy: &'static str,
    f: &mut Fleet,
) -> Result<PolicyRun> {
    let (mut failing, mut offset) = (Vec::new(), 0);
    for (service, targets) in d.services {
        for i in offset..offset + targets / 3 {
            f.backends[i].process.kill();
            failing.push(FailingBackend::start(
                service,
                d.slots,
                f.nodes[i].addresses.admin,
            )?);
        }
        offset += targets;
    }
    std::thread::sleep(RUN_PAUSE);
    run_policy(a, d, policy, f, None)
}

/// Latency with and without a node in between, in milliseconds.
#[derive(Debug, Default, Serialize)]
struct AddedLatency {
    /// p50 and p99 of requests straight to a backend server, by run.
    direct: Vec<(f64, f64)>,
    /// p50 and p99 of requests through a node, by run.
    through: Vec<(f64, f64)>,
    /// Differences of the p50 of each pair of runs.
    added_p50: Summary,
    /// Differences of the p99 of each pair of runs.
    added_p99: Summary,
}

fn measure_added_latency(a: &Args, d: &'static Deployment) -> Result<AddedLatency> {
    let f = d.start("", 0)?;
    let kind = d
        .request_kinds(None, a.key)?
        .into_iter()
        .find(|k| k.0 == d.urgent_route);
    let (name, mut kind) = kind.ok_or("no urgent route")?;
    kind.rate = LATENCY_RATE_PER_S;
    let kinds = [(name, kind)];
    let mut out = AddedLatency::default();
    for _ in 0..LATENCY_PAIRS {
        let quantiles = |targets: &[SocketAddr]| {
            let q = run_load(a, &f, targets, &kinds)?[0].1["latency_ms"].clone();
            Ok::<_, String>((
                q["p50"].as_f64().unwrap_or(0.0),
                q["p99"].as_f64().unwrap_or(0.0),
            ))
        };
        let direct: Vec<_> = f.backends[..d.services[0].1]
            .iter()
            .map(|b| b.address)
            .collect();
        out.direct.push(quantiles(&direct)?);
        out.through.push(quantiles(&caller_addresses(&f))?);
    }
    let pairs = || out.through.iter().zip(&out.direct);
    let p50 = pairs().map(|(t, d)| t.0 - d.0).collect();
    let p99 = pairs().map(|(t, d)| t.1 - d.1).collect();
    out.added_p50 = Summary::of(p50);
    out.added_p99 = Summary::of(p99);
    Ok(out)
}

fn print_runs(runs: &[PolicyRun], title: &str, urgent: &str) {
    let Some(first) = runs.first() else { return };
    let mut heading = row!["policy", "flood", "load", "least share", "amplification"];
    heading.extend(first.kinds.iter().map(|(name, _)| format!("{name} good/s")));
    heading.push(format!("{urgent} p99 ms"));
    let mut rows = vec![heading];
    for r in runs {
        let (flood, factor) = r.flood.clone().unwrap_or(("-".into(), 0.0));
        let mut cells = row![
            r.policy,
            flood,
            factor,
            format!("{:.2}", r.least_share),
            format!("{:.2}", r.amplification)
        ];
        let number = |j: &Json| format!("{:.1}", j.as_f64().unwrap_or(0.0));
        cells.extend(r.kinds.iter().map(|(_, j)| number(&j["goodput"])));
        let found = r.kinds.iter().find(|k| k.0 == urgent);
        cells.push(found.map_or("-".into(), |(_, j)| number(&j["latency_ms"]["p99"])));
        rows.push(cells);
    }
    print_table(title, &rows);
}

fn measure_deployment(a: &Args, d: &'static Deployment) -> Result<Json> {
    let (mut runs, mut failing) = (Vec::new(), Vec::new());
    for (policy, settings) in POLICIES
        .iter()
        .filter(|p| a.policies.iter().any(|n| n == p.0))
    {
        eprintln!("{}: {policy}", d.name);
        let mut f = d.start(settings, d.work_ms)?;
        runs.push(run_policy(a, d, policy, &f, None)?);
        for flood in [d.least_urgent, d.urgent_route] {
            for factor in &a.factors {
                runs.push(run_policy(a, d, policy, &f, Some((flood, *factor)))?);
            }
        }
        failing.push(run_failing_third(a, d, policy, &mut f)?);
    }
    print_runs(
        &runs,
        &format!("{}: floods; load 0 is the normal load", d.name),
        d.urgent_route,
    );
    print_runs(
        &failing,
        &format!("{}: normal load, a third of the targets failing", d.name),
        d.urgent_route,
    );
    eprintln!("{}: measuring added latency", d.name);
    let added = measure_added_latency(a, d)?;
    let line =
        |name: &str, s: &Summary| row![name, format!("{:.3}", s.p50), format!("{:.3}", s.max)];
    print_table(
        &format!(
            "{}: latency that a node adds to a request, ms, {LATENCY_PAIRS} pairs of runs",
            d.name
        ),
        &[
            row!["quantile of requests", "median of pairs", "max of pairs"],
            line("p50", &added.added_p50),
            line("p99", &added.added_p99),
        ],
    );
    Ok(
        serde_json::json!({ "deployment": d.name, "runs": runs, "failing_third": failing, "added_ms": added }),
    )
}

fn run() -> Result<()> {
    let Some(a) = parse()? else {
        print!("{USAGE}");
        return Ok(());
    };
    let wanted = DEPLOYMENTS
        .iter()
        .filter(|d| a.deployments.iter().any(|n| n == d.name));
    let all: Vec<_> = wanted
        .map(|d| measure_deployment(&a, d))
        .collect::<Result<_>>()?;
    write_json(
        &serde_json::json!({ "seed": a.seed, "seconds": a.seconds, "deployments": all }),
        a.out.as_deref(),
    )
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("measure_policy: {e}");
            std::process::ExitCode::FAILURE
        }
    }
}
