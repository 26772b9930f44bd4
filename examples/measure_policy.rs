//! Measures the policies against their baselines on the two deployments in shape, with separate processes.
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
use support::figures::{output, table, Summary};
use support::fleet::Fleet;
use support::site::{Deployment, DEPLOYMENTS};
use support::{Http, Result, Running};

const USAGE: &str = "\
Measures the chosen policies and their baselines on the two deployments in shape.

Usage: measure_policy [OPTIONS]

  --deployments NAME,...  of trust and leiloes (default both)
  --policies NAME,...     of chosen, random, fifo, unlimited and all-baselines (default all five)
  --factors N,...         total load of the flooded service by its capacity (default 0.8,1.5,3,10)
  --seconds N             length of each run (default 5)
  --seed N                seed of the arrival times (default 1)
  --key SOURCE            keys of non-idempotent requests: per-request or issued (default issued)
  --out FILE              write the JSON results to a file instead of the output
";

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

/// Most requests in flight of one kind; the flood has a limit of its own and so can't stop the other kinds.
const IN_FLIGHT: usize = 3000;
/// Rest between two runs, for queues to empty.
const REST: Duration = Duration::from_secs(2);
/// Rate of the latency comparison, in requests per second; far below capacity.
const LATENCY_RATE: f64 = 100.0;
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

/// One run of one policy.
#[derive(Debug, Serialize)]
struct Cell {
    deployment: &'static str,
    policy: &'static str,
    /// Flooded route, if any, and the total load of its service by capacity.
    flood: Option<(String, f64)>,
    /// Report of each kind, by route.
    kinds: Vec<(String, Json)>,
    /// Least part of the arrivals of a route outside the flood that was answered in time.
    least_share: f64,
    /// Attempts for each request that arrived.
    amplification: f64,
}

fn list<T>(text: &str) -> Result<Vec<T>>
where
    T: std::str::FromStr,
{
    text.split(',')
        .map(|w| w.parse().map_err(|_| format!("not valid: {w}")))
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
            "deployments" => a.deployments = list(&value)?,
            "policies" => a.policies = list(&value)?,
            "factors" => a.factors = list(&value)?,
            "seconds" => a.seconds = value.parse().map_err(|_| value)?,
            "seed" => a.seed = value.parse().map_err(|_| value)?,
            "key" => a.key = value.parse()?,
            "out" => a.out = Some(value),
            _ => return Err(format!("unknown option --{name}")),
        }
    }
    Ok(Some(a))
}

/// Runs one `load` process for each kind at the same time; returns their reports by route.
fn load(
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
            in_flight: IN_FLIGHT,
            seed: a.seed + i as u64,
            kinds: vec![kind.clone()],
        };
        let text = toml::to_string(&plan).map_err(|e| e.to_string())?;
        let path = f.write(&format!("plan-{i}.toml"), &text)?;
        let mut args = vec!["load", "--json", "--plan", &path];
        let addresses: Vec<_> = targets.iter().map(ToString::to_string).collect();
        args.extend(addresses.iter().flat_map(|t| ["--target", t]));
        started.push((name.clone(), Running::start(&args)?));
    }
    let finish = |(name, run): (String, Running)| {
        let json: Json = serde_json::from_str(&run.finish()?).map_err(|e| e.to_string())?;
        Ok((name.clone(), json["ranks"][name.as_str()].clone()))
    };
    started.into_iter().map(finish).collect()
}

fn callers(f: &Fleet) -> Vec<SocketAddr> {
    f.nodes.iter().map(|n| n.ports.caller).collect()
}

fn run_cell(
    a: &Args,
    d: &'static Deployment,
    policy: &'static str,
    f: &Fleet,
    flood: Option<(&str, f64)>,
) -> Result<Cell> {
    let before = f.http.metrics(&f.admin()).sum("dq_retries_total", &[]);
    let kinds = load(a, f, &callers(f), &d.kinds(flood, a.key)?)?;
    let retries = f.http.metrics(&f.admin()).sum("dq_retries_total", &[]) - before;
    let arrived: f64 = kinds.iter().filter_map(|k| k.1["arrived"].as_f64()).sum();
    let share = |k: &Json| Some(k["good"].as_f64()? / k["arrived"].as_f64()?);
    let others = kinds.iter().filter(|k| flood.is_none_or(|fl| fl.0 != k.0));
    std::thread::sleep(REST);
    Ok(Cell {
        deployment: d.name,
        policy,
        flood: flood.map(|(name, factor)| (name.to_owned(), factor)),
        least_share: others.filter_map(|k| share(&k.1)).fold(1.0, f64::min),
        amplification: 1.0 + retries / arrived.max(1.0),
        kinds,
    })
}

/// A backend server that announces itself as ready and closes each connection that it accepts.
struct Failing {
    stop: Arc<AtomicBool>,
}

impl Failing {
    fn start(service: &'static str, slots: u32, node: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let stop = Arc::new(AtomicBool::new(false));
        let body = serde_json::json!({
            "service": service, "address": address.to_string(), "slots": slots, "connections": 100,
            "state": "ready", "incarnation": 1
        });
        let ended = stop.clone();
        std::thread::spawn(move || {
            let Ok(http) = Http::new() else { return };
            while !ended.load(Ordering::Relaxed) {
                let _ = http
                    .rt
                    .block_on(http.call("POST", node, "/announce", &body.to_string()));
                std::thread::sleep(Duration::from_millis(500));
            }
            // Ends the accepting thread, which waits for a connection.
            let _ = std::net::TcpStream::connect(address);
        });
        let ended = stop.clone();
        std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                drop(listener.accept());
            }
        });
        Ok(Self { stop })
    }
}

impl Drop for Failing {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Runs the normal load while a third of each service's targets closes every connection.
fn failing_third(
    a: &Args,
    d: &'static Deployment,
    policy: &'static str,
    f: &mut Fleet,
) -> Result<Cell> {
    let (mut failing, mut first) = (Vec::new(), 0);
    for (service, targets) in d.services {
        for i in first..first + targets / 3 {
            f.backends[i].run.kill();
            failing.push(Failing::start(service, d.slots, f.nodes[i].ports.admin)?);
        }
        first += targets;
    }
    std::thread::sleep(REST);
    run_cell(a, d, policy, f, None)
}

/// Latency through a node and straight to a backend server, in milliseconds: (p50, p99) of each pair of runs.
#[derive(Debug, Default, Serialize)]
struct Added {
    direct: Vec<(f64, f64)>,
    through: Vec<(f64, f64)>,
    added_p50: Summary,
    added_p99: Summary,
}

fn added_latency(a: &Args, d: &'static Deployment) -> Result<Added> {
    let f = d.start("", 0)?;
    let kind = d.kinds(None, a.key)?.into_iter().find(|k| k.0 == d.urgent);
    let (name, mut kind) = kind.ok_or("no urgent route")?;
    kind.rate = LATENCY_RATE;
    let kinds = [(name, kind)];
    let mut out = Added::default();
    for _ in 0..LATENCY_PAIRS {
        let quantiles = |targets: &[SocketAddr]| {
            let q = load(a, &f, targets, &kinds)?[0].1["latency_ms"].clone();
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
        out.through.push(quantiles(&callers(&f))?);
    }
    let pairs = || out.through.iter().zip(&out.direct);
    let p50 = pairs().map(|(t, d)| t.0 - d.0).collect();
    let p99 = pairs().map(|(t, d)| t.1 - d.1).collect();
    out.added_p50 = Summary::of(p50);
    out.added_p99 = Summary::of(p99);
    Ok(out)
}

fn show(cells: &[Cell], title: &str, urgent: &str) {
    let Some(first) = cells.first() else { return };
    let mut head = row!["policy", "flood", "load", "least share", "amplification"];
    head.extend(first.kinds.iter().map(|(name, _)| format!("{name} good/s")));
    head.push(format!("{urgent} p99 ms"));
    let mut rows = vec![head];
    for c in cells {
        let (flood, factor) = c.flood.clone().unwrap_or(("-".into(), 0.0));
        let mut cells = row![
            c.policy,
            flood,
            factor,
            format!("{:.2}", c.least_share),
            format!("{:.2}", c.amplification)
        ];
        let number = |j: &Json| format!("{:.1}", j.as_f64().unwrap_or(0.0));
        cells.extend(c.kinds.iter().map(|(_, j)| number(&j["goodput"])));
        let found = c.kinds.iter().find(|k| k.0 == urgent);
        cells.push(found.map_or("-".into(), |(_, j)| number(&j["latency_ms"]["p99"])));
        rows.push(cells);
    }
    table(title, &rows);
}

fn measure(a: &Args, d: &'static Deployment) -> Result<Json> {
    let (mut cells, mut failing) = (Vec::new(), Vec::new());
    for (policy, settings) in POLICIES
        .iter()
        .filter(|p| a.policies.iter().any(|n| n == p.0))
    {
        eprintln!("{}: {policy}", d.name);
        let mut f = d.start(settings, d.work_ms)?;
        cells.push(run_cell(a, d, policy, &f, None)?);
        for flood in [d.least, d.urgent] {
            for factor in &a.factors {
                cells.push(run_cell(a, d, policy, &f, Some((flood, *factor)))?);
            }
        }
        failing.push(failing_third(a, d, policy, &mut f)?);
    }
    show(
        &cells,
        &format!("{}: floods; load 0 is the normal load", d.name),
        d.urgent,
    );
    show(
        &failing,
        &format!("{}: normal load, a third of the targets failing", d.name),
        d.urgent,
    );
    eprintln!("{}: added latency", d.name);
    let added = added_latency(a, d)?;
    let line =
        |name: &str, s: &Summary| row![name, format!("{:.3}", s.p50), format!("{:.3}", s.max)];
    table(
        &format!(
            "{}: latency added to a call, ms, {LATENCY_PAIRS} pairs of runs",
            d.name
        ),
        &[
            row!["quantile of calls", "median of pairs", "max of pairs"],
            line("p50", &added.added_p50),
            line("p99", &added.added_p99),
        ],
    );
    Ok(
        serde_json::json!({ "deployment": d.name, "runs": cells, "failing_third": failing, "added_ms": added }),
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
    let all: Vec<_> = wanted.map(|d| measure(&a, d)).collect::<Result<_>>()?;
    output(
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
