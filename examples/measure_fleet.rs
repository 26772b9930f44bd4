//! Measures convergence, control bytes, store calls and idle cost by fleet size, with separate node processes.
//!
//! `cargo build --release && cargo run --release --example measure_fleet -- --sizes 10,20,40,80`

mod support;

use std::time::{Duration, Instant};

use dragonflyquay::version::manifest::{Manifest, Rank, Route, Service};
use dragonflyquay::version::snapshot::canonical;
use lexopt::prelude::*;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use serde::Serialize;
use support::figures::{output, table, Fit, Summary};
use support::fleet::{Fleet, StoreStats};
use support::{field, usage, Result};

const USAGE: &str = "\
Measures convergence, control bytes, store calls and idle cost by fleet size.

Usage: measure_fleet [OPTIONS]

  --sizes N,N,...  fleet sizes (default 10,20,40,80)
  --commits N      commits idle, and again with restarts (default 20)
  --routes N       routes in the manifest (default 200)
  --idle-s N       length of the idle window, in seconds (default 20)
  --seed N         seed of the choice of killed nodes (default 1)
  --out FILE       write the JSON results to a file instead of the output
";

/// Time after which a node counts as not converged; the requirement is 11 s.
const LIMIT: Duration = Duration::from_secs(30);
/// Pause between commits, so that the spread of one does not overlap the next.
const PAUSE: Duration = Duration::from_millis(300);

struct Args {
    sizes: Vec<usize>,
    commits: usize,
    routes: usize,
    idle: Duration,
    seed: u64,
    out: Option<String>,
}

/// Results of one fleet size.
#[derive(Debug, Serialize)]
struct Size {
    nodes: usize,
    /// Accepted to in force, in milliseconds, over all nodes and commits.
    idle_ms: Summary,
    /// The same for nodes that were not killed, while a fifth of the nodes restarts.
    churn_survivors_ms: Summary,
    /// The same for the nodes that were killed right before the commit.
    churn_restarted_ms: Summary,
    /// Nodes that did not reach a version within the limit, over all commits.
    not_converged: usize,
    control_bytes_per_change_node: f64,
    manifest_bytes: usize,
    store_calls_per_change: f64,
    store_calls_per_s_idle: f64,
    store_waiting: u64,
    control_bytes_per_s_node: f64,
    cpu_percent_node: f64,
    memory_mb_node: f64,
    memory_mb_max: f64,
}

fn parse() -> Result<Option<Args>> {
    let mut a = Args {
        sizes: vec![10, 20, 40, 80],
        commits: 20,
        routes: 200,
        idle: Duration::from_secs(20),
        seed: 1,
        out: None,
    };
    let mut p = lexopt::Parser::from_env();
    let text = |e: lexopt::Error| e.to_string();
    while let Some(arg) = p.next().map_err(text)? {
        match arg {
            Long("sizes") => {
                let list: String = p.value().and_then(|v| v.parse()).map_err(text)?;
                let sizes: std::result::Result<_, _> = list.split(',').map(str::parse).collect();
                a.sizes = sizes.map_err(|_| format!("--sizes {list}"))?;
            }
            Long("commits") => a.commits = p.value().and_then(|v| v.parse()).map_err(text)?,
            Long("routes") => a.routes = p.value().and_then(|v| v.parse()).map_err(text)?,
            Long("idle-s") => {
                a.idle = Duration::from_secs(p.value().and_then(|v| v.parse()).map_err(text)?)
            }
            Long("seed") => a.seed = p.value().and_then(|v| v.parse()).map_err(text)?,
            Long("out") => a.out = Some(p.value().and_then(|v| v.parse()).map_err(text)?),
            Long("help") => return Ok(None),
            other => return Err(other.unexpected().to_string()),
        }
    }
    Ok(Some(a))
}

/// A manifest in which commit `k` changes one route.
fn manifest(routes: usize, k: usize) -> Manifest {
    let services = routes.div_ceil(4);
    let route = |i: usize| Route {
        name: format!("route-{i}").into(),
        method: "GET".into(),
        path: format!("/service-{}/part-{i}/*", i % services).into(),
        service: format!("service-{}", i % services).into(),
        rank: "normal".into(),
        deadline_ms: if i == k % routes {
            1000 + k as u32
        } else {
            1000
        },
        idempotent: true,
        retries: 1,
        ..Route::default()
    };
    Manifest {
        site: "fleet".into(),
        rank: vec![Rank {
            name: "normal".into(),
            ..Rank::default()
        }],
        service: (0..services)
            .map(|i| Service {
                name: format!("service-{i}").into(),
            })
            .collect(),
        resource: Vec::new(),
        route: (0..routes).map(route).collect(),
    }
}

/// Waits until each node logs that it adopted the version; times in milliseconds since the acceptance.
fn adopted(f: &Fleet, number: u64, accepted: Instant) -> Vec<Option<f64>> {
    let end = accepted + LIMIT;
    let wait = |n: &support::fleet::Node| loop {
        let (at, line) = n.run.wait_line("event=version_adopted", end).ok()?;
        if field(&line, "number")?.parse::<u64>().ok()? >= number {
            // A node may log before this process has read the store's answer to the commit.
            return Some(at.saturating_duration_since(accepted).as_secs_f64() * 1000.0);
        }
    };
    f.nodes.iter().map(wait).collect()
}

struct Window {
    at: Instant,
    bytes: f64,
    store: StoreStats,
    cpu: Duration,
}

fn window(f: &Fleet) -> Window {
    let m = f.http.metrics(&f.admin());
    Window {
        at: Instant::now(),
        bytes: m.sum("dq_control_bytes_total", &["direction=\"sent\""]),
        store: f.store_stats(),
        cpu: f.pids().into_iter().filter_map(usage).map(|u| u.cpu).sum(),
    }
}

fn measure(a: &Args, n: usize) -> Result<Size> {
    eprintln!("{n} nodes: start");
    let mut f = Fleet::start("fleet", n, "")?;
    for i in 0..n {
        f.start_backend(&format!("service-{i}"), 6, 5)?;
    }
    let base_manifest = manifest(a.routes, 0);
    let (mut number, at) = f.commit(&base_manifest, 0)?;
    adopted(&f, number, at);
    if !f.wait_status("nodes", n as u64) {
        eprintln!(
            "{n} nodes: not all nodes know each other after 60 s: {:?}",
            f.status("nodes")
        );
    }
    std::thread::sleep(Duration::from_secs(2));
    eprintln!("{n} nodes: idle window");
    let first = window(&f);
    std::thread::sleep(a.idle);
    let second = window(&f);
    let memory: Vec<_> = f
        .pids()
        .into_iter()
        .filter_map(usage)
        .map(|u| u.memory_bytes as f64 / 1e6)
        .collect();
    let seconds = (second.at - first.at).as_secs_f64();
    let idle_rate = (second.bytes - first.bytes) / seconds;
    let idle_calls = (second.store.calls() - first.store.calls()) as f64 / seconds;
    eprintln!("{n} nodes: commits");
    let (mut idle_ms, mut missing) = (Vec::new(), 0);
    let before = window(&f);
    for k in 1..=a.commits {
        let (made, at) = f.commit(&manifest(a.routes, k), number)?;
        number = made;
        let times = adopted(&f, number, at);
        missing += times.iter().filter(|t| t.is_none()).count();
        idle_ms.extend(times.into_iter().flatten());
        std::thread::sleep(PAUSE);
    }
    let after = window(&f);
    let span = (after.at - before.at).as_secs_f64();
    let changes = a.commits as f64;
    let extra = (after.bytes - before.bytes - idle_rate * span).max(0.0);
    let calls = (after.store.calls() - before.store.calls()) as f64 - idle_calls * span;
    let churn = churn(a, &mut f, number)?;
    Ok(Size {
        nodes: n,
        idle_ms: Summary::of(idle_ms),
        churn_survivors_ms: Summary::of(churn.survivors),
        churn_restarted_ms: Summary::of(churn.restarted),
        not_converged: missing + churn.missing,
        control_bytes_per_change_node: extra / changes / n as f64,
        manifest_bytes: canonical(&base_manifest).len(),
        store_calls_per_change: calls / changes,
        store_calls_per_s_idle: idle_calls,
        store_waiting: second.store.waiting,
        control_bytes_per_s_node: idle_rate / n as f64,
        cpu_percent_node: 100.0 * (second.cpu - first.cpu).as_secs_f64() / seconds / n as f64,
        memory_mb_node: memory.iter().sum::<f64>() / n as f64,
        memory_mb_max: memory.iter().copied().fold(0.0, f64::max),
    })
}

#[derive(Default)]
struct Churn {
    survivors: Vec<f64>,
    restarted: Vec<f64>,
    missing: usize,
}

/// Before each commit a fifth of the nodes is killed; they start again right after it.
fn churn(a: &Args, f: &mut Fleet, mut number: u64) -> Result<Churn> {
    eprintln!("{} nodes: commits with restarts", f.nodes.len());
    let mut rng = StdRng::seed_from_u64(a.seed);
    let mut out = Churn::default();
    for k in 1..=a.commits {
        let mut order: Vec<_> = (0..f.nodes.len()).collect();
        order.shuffle(&mut rng);
        order.truncate(f.nodes.len().div_ceil(5));
        for i in &order {
            f.kill(*i);
        }
        let (made, at) = f.commit(&manifest(a.routes, a.commits + k), number)?;
        number = made;
        for i in &order {
            f.restart(*i)?;
        }
        for (i, time) in adopted(f, number, at).into_iter().enumerate() {
            match time {
                Some(ms) if order.contains(&i) => out.restarted.push(ms),
                Some(ms) => out.survivors.push(ms),
                None => out.missing += 1,
            }
        }
        std::thread::sleep(PAUSE);
    }
    Ok(out)
}

fn summary_row(n: usize, s: &Summary) -> Vec<String> {
    row![
        n,
        s.count,
        format!("{:.1}", s.p50),
        format!("{:.1}", s.p99),
        format!("{:.1}", s.max)
    ]
}

fn show(sizes: &[Size], fits: &[(&str, Fit)]) {
    let head = row!["nodes", "samples", "p50 ms", "p99 ms", "max ms"];
    let block = |title: &str, pick: fn(&Size) -> &Summary| {
        let mut rows = vec![head.clone()];
        rows.extend(sizes.iter().map(|s| summary_row(s.nodes, pick(s))));
        table(title, &rows);
    };
    block("Accepted to in force, idle", |s| &s.idle_ms);
    block(
        "Accepted to in force, a fifth restarting: the others",
        |s| &s.churn_survivors_ms,
    );
    block(
        "Accepted to in force, a fifth restarting: the restarted",
        |s| &s.churn_restarted_ms,
    );
    let mut rows = vec![row![
        "nodes",
        "missing",
        "B/change/node",
        "manifest B",
        "calls/change",
        "idle calls/s",
        "waiting",
        "idle B/s/node",
        "cpu %/node",
        "MB/node",
        "MB max"
    ]];
    rows.extend(sizes.iter().map(|s| {
        row![
            s.nodes,
            s.not_converged,
            format!("{:.0}", s.control_bytes_per_change_node),
            s.manifest_bytes,
            format!("{:.1}", s.store_calls_per_change),
            format!("{:.2}", s.store_calls_per_s_idle),
            s.store_waiting,
            format!("{:.0}", s.control_bytes_per_s_node),
            format!("{:.2}", s.cpu_percent_node),
            format!("{:.1}", s.memory_mb_node),
            format!("{:.1}", s.memory_mb_max)
        ]
    }));
    table("Control traffic, store and idle cost", &rows);
    let mut rows = vec![row!["figure by nodes", "slope", "intercept", "residuals"]];
    rows.extend(fits.iter().map(|(name, f)| {
        let rest: Vec<_> = f.residuals.iter().map(|r| format!("{r:.2}")).collect();
        row![
            name,
            format!("{:.4}", f.slope),
            format!("{:.2}", f.intercept),
            rest.join(" ")
        ]
    }));
    table("Least-squares lines", &rows);
}

fn fits(sizes: &[Size]) -> Vec<(&'static str, Fit)> {
    let fit = |pick: fn(&Size) -> f64| {
        let points: Vec<_> = sizes.iter().map(|s| (s.nodes as f64, pick(s))).collect();
        Fit::of(&points)
    };
    vec![
        ("p99 ms idle", fit(|s| s.idle_ms.p99)),
        ("B/change/node", fit(|s| s.control_bytes_per_change_node)),
        ("store calls/change", fit(|s| s.store_calls_per_change)),
        ("store calls/s idle", fit(|s| s.store_calls_per_s_idle)),
        ("waiting watches", fit(|s| s.store_waiting as f64)),
        ("idle B/s/node", fit(|s| s.control_bytes_per_s_node)),
        ("cpu %/node", fit(|s| s.cpu_percent_node)),
        ("MB/node", fit(|s| s.memory_mb_node)),
    ]
}

fn run() -> Result<()> {
    let Some(a) = parse()? else {
        print!("{USAGE}");
        return Ok(());
    };
    let sizes: Vec<_> = a
        .sizes
        .iter()
        .map(|n| measure(&a, *n))
        .collect::<Result<_>>()?;
    let fits = fits(&sizes);
    show(&sizes, &fits);
    let json =
        serde_json::json!({ "seed": a.seed, "commits": a.commits, "sizes": sizes, "fits": fits });
    output(&json, a.out.as_deref())
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("measure_fleet: {e}");
            std::process::ExitCode::FAILURE
        }
    }
}
