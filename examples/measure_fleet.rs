//! Measures convergence, control bytes, store calls and idle cost by fleet size, with separate node processes.
//!
//! `cargo build --release && cargo run --release --example measure_fleet -- --sizes 10,20,40,80`

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dragonflyquay::version::manifest::{Manifest, Rank, Route, Service};
use dragonflyquay::version::snapshot::canonical;
use lexopt::prelude::*;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use support::figures::{output, Summary};
use support::fleet::{Fleet, StoreStats};
use support::fleet_table::{fits, show, show_fits, Size};
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
/// Pause after the start, for the last records to spread before the idle window.
const SETTLE: Duration = Duration::from_secs(2);

struct Args {
    sizes: Vec<usize>,
    commits: usize,
    routes: usize,
    idle: Duration,
    seed: u64,
    out: Option<String>,
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
    /// Sent and received bytes by kind of message.
    kinds: BTreeMap<String, f64>,
    store: StoreStats,
    cpu: Duration,
}

fn window(f: &Fleet) -> Window {
    let m = f.http.metrics(&f.admin());
    Window {
        at: Instant::now(),
        bytes: m.sum("dq_control_bytes_total", &["direction=\"sent\""]),
        kinds: m.by("dq_control_bytes_total", "kind"),
        store: f.store_stats(),
        cpu: f.pids().into_iter().filter_map(usage).map(|u| u.cpu).sum(),
    }
}

/// Starts a fleet with its first version.
fn start(a: &Args, n: usize) -> Result<(Fleet, u64)> {
    eprintln!("{n} nodes: start");
    let mut f = Fleet::start("fleet", n, "")?;
    for i in 0..n {
        f.start_backend(&format!("service-{i}"), &[])?;
    }
    let (number, at) = f.commit(&manifest(a.routes, 0), 0)?;
    adopted(&f, number, at);
    if !f.wait_status("nodes", n as u64) {
        eprintln!(
            "{n} nodes: not all know each other after 60 s: {:?}",
            f.status("nodes")
        );
    }
    std::thread::sleep(SETTLE);
    Ok((f, number))
}

/// Cost of a fleet without changes.
struct Idle {
    bytes_per_s: f64,
    calls_per_s: f64,
    cpu_part: f64,
    waiting: u64,
    memory_mb: Vec<f64>,
}

fn idle(a: &Args, f: &Fleet) -> Idle {
    eprintln!("{} nodes: idle window", f.nodes.len());
    let first = window(f);
    std::thread::sleep(a.idle);
    let second = window(f);
    let seconds = (second.at - first.at).as_secs_f64();
    let memory = f
        .pids()
        .into_iter()
        .filter_map(usage)
        .map(|u| u.memory_bytes as f64 / 1e6);
    Idle {
        bytes_per_s: (second.bytes - first.bytes) / seconds,
        calls_per_s: (second.store.calls() - first.store.calls()) as f64 / seconds,
        cpu_part: (second.cpu - first.cpu).as_secs_f64() / seconds,
        waiting: second.store.waiting,
        memory_mb: memory.collect(),
    }
}

/// Commits to an otherwise idle fleet.
#[derive(Default)]
struct Changes {
    number: u64,
    times: Vec<f64>,
    missing: usize,
    /// Beyond what the idle fleet sends in the same time.
    bytes: f64,
    /// By kind of message, with the idle traffic.
    kinds: BTreeMap<String, f64>,
    calls: f64,
}

fn changes(a: &Args, f: &Fleet, number: u64, idle: &Idle) -> Result<Changes> {
    eprintln!("{} nodes: commits", f.nodes.len());
    let mut out = Changes {
        number,
        ..Changes::default()
    };
    let before = window(f);
    for k in 1..=a.commits {
        let (made, at) = f.commit(&manifest(a.routes, k), out.number)?;
        out.number = made;
        let times = adopted(f, made, at);
        out.missing += times.iter().filter(|t| t.is_none()).count();
        out.times.extend(times.into_iter().flatten());
        std::thread::sleep(PAUSE);
    }
    let after = window(f);
    let span = (after.at - before.at).as_secs_f64();
    out.bytes = (after.bytes - before.bytes - idle.bytes_per_s * span).max(0.0);
    // Each message is counted at both ends.
    let sent = |(kind, n): (&String, &f64)| {
        let before = before.kinds.get(kind).copied().unwrap_or(0.0);
        (kind.clone(), (n - before) / 2.0)
    };
    out.kinds = after.kinds.iter().map(sent).collect();
    out.calls = (after.store.calls() - before.store.calls()) as f64 - idle.calls_per_s * span;
    Ok(out)
}

fn measure(a: &Args, n: usize) -> Result<Size> {
    let (mut f, number) = start(a, n)?;
    let idle = idle(a, &f);
    let changes = changes(a, &f, number, &idle)?;
    let churn = churn(a, &mut f, changes.number)?;
    let (nodes, commits) = (n as f64, a.commits as f64);
    Ok(Size {
        nodes: n,
        idle_ms: Summary::of(changes.times),
        churn_survivors_ms: Summary::of(churn.survivors),
        churn_restarted_ms: Summary::of(churn.restarted),
        not_converged: changes.missing + churn.missing,
        control_bytes_per_change_node: changes.bytes / commits / nodes,
        kinds: changes
            .kinds
            .into_iter()
            .map(|(k, n)| (k, n / commits / nodes))
            .collect(),
        manifest_bytes: canonical(&manifest(a.routes, 0)).len(),
        store_calls_per_change: changes.calls / commits,
        store_calls_per_s_idle: idle.calls_per_s,
        store_waiting: idle.waiting,
        control_bytes_per_s_node: idle.bytes_per_s / nodes,
        cpu_percent_node: 100.0 * idle.cpu_part / nodes,
        memory_mb_node: idle.memory_mb.iter().sum::<f64>() / nodes,
        memory_mb_max: idle.memory_mb.iter().copied().fold(0.0, f64::max),
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
    show(&sizes);
    show_fits(&fits);
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
