//! Measures how adoption time, control traffic, store calls and idle cost grow with the number of nodes, each of them a
//! separate process.
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
use support::figures::{write_json, Summary};
use support::fleet::{Fleet, StoreStats};
use support::fleet_table::{linear_fits, print_fits, print_sizes, SizeResults};
use support::{log_field, process_usage, Result};

const USAGE: &str = "\
Measures adoption time of versions, control traffic, store calls and idle cost by number of nodes.

Usage: measure_fleet [OPTIONS]

  --sizes N,N,...  numbers of nodes (default 10,20,40,80)
  --commits N      commits without restarts, and again with restarts (default 20)
  --routes N       routes in the manifest (default 200)
  --idle-s N       duration of the idle measurement, in seconds (default 20)
  --seed N         seed for choosing the nodes to kill (default 1)
  --out FILE       write the JSON results to a file instead of standard output
";

/// Time after which a node counts as not having adopted a version; the requirement is 11 s.
const ADOPT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after each commit, so that its traffic does not overlap the next one.
const COMMIT_PAUSE: Duration = Duration::from_millis(300);
/// Pause after the start, for the last member records to spread before the idle measurement.
const SETTLE_TIME: Duration = Duration::from_secs(2);

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
                a.sizes = sizes.map_err(|_| format!("invalid value for --sizes: {list}"))?;
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

/// Returns the manifest of commit `k`, which differs from the others in the deadline of one route.
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

/// Waits until each node logs that it adopted the version. Returns the milliseconds since acceptance by node,
/// `None` after a timeout.
fn adopt_times(f: &Fleet, version: u64, accepted: Instant) -> Vec<Option<f64>> {
    let end = accepted + ADOPT_TIMEOUT;
    let wait = |n: &support::fleet::Node| loop {
        let (logged, line) = n.process.wait_line("event=version_adopted", end).ok()?;
        if log_field(&line, "number")?.parse::<u64>().ok()? >= version {
            // A node may log before this process has read the store's response to the commit.
            return Some(logged.saturating_duration_since(accepted).as_secs_f64() * 1000.0);
        }
    };
    f.nodes.iter().map(wait).collect()
}

/// Counters of the whole fleet at one time.
struct Counters {
    /// Time at which they were read.
    at: Instant,
    sent_bytes: f64,
    /// Control bytes sent and received, by kind of message.
    kind_bytes: BTreeMap<String, f64>,
    store: StoreStats,
    cpu: Duration,
}

fn read_counters(f: &Fleet) -> Counters {
    let m = f.http.metrics(&f.admin_addresses());
    Counters {
        at: Instant::now(),
        sent_bytes: m.sum("dq_control_bytes_total", &["direction=\"sent\""]),
        kind_bytes: m.sum_by_label("dq_control_bytes_total", "kind"),
        store: f.store_stats(),
        cpu: f
            .pids()
            .into_iter()
            .filter_map(process_usage)
            .map(|u| u.cpu)
            .sum(),
    }
}

/// Starts `n` nodes with backend servers and commits the first version.
fn start_fleet(a: &Args, n: usize) -> Result<(Fleet, u64)> {
    eprintln!("{n} nodes: starting");
    let mut f = Fleet::start("fleet", n, "")?;
    for i in 0..n {
        f.start_backend(&format!("service-{i}"), &[])?;
    }
    let (version, accepted) = f.commit(&manifest(a.routes, 0), 0)?;
    adopt_times(&f, version, accepted);
    if !f.wait_status("nodes", n as u64) {
        eprintln!(
            "{n} nodes: not all know each other after 60 s; known nodes: {:?}",
            f.status("nodes")
        );
    }
    std::thread::sleep(SETTLE_TIME);
    Ok((f, version))
}

/// Cost of a fleet without commits and requests.
struct IdleCost {
    bytes_per_s: f64,
    calls_per_s: f64,
    /// CPU time of all nodes per second.
    cpu_ratio: f64,
    /// Watches that wait at the store.
    waiting_watches: u64,
    /// Resident memory by node.
    memory_mb: Vec<f64>,
}

fn measure_idle(a: &Args, f: &Fleet) -> IdleCost {
    eprintln!("{} nodes: measuring idle cost", f.nodes.len());
    let before = read_counters(f);
    std::thread::sleep(a.idle);
    let after = read_counters(f);
    let seconds = (after.at - before.at).as_secs_f64();
    let memory = f
        .pids()
        .into_iter()
        .filter_map(process_usage)
        .map(|u| u.memory_bytes as f64 / 1e6);
    IdleCost {
        bytes_per_s: (after.sent_bytes - before.sent_bytes) / seconds,
        calls_per_s: (after.store.calls() - before.store.calls()) as f64 / seconds,
        cpu_ratio: (after.cpu - before.cpu).as_secs_f64() / seconds,
        waiting_watches: after.store.waiting,
        memory_mb: memory.collect(),
    }
}

/// Results of commits to an otherwise idle fleet.
#[derive(Default)]
struct CommitResults {
    /// Last version.
    version: u64,
    /// Adoption times in milliseconds.
    adopt_ms: Vec<f64>,
    /// Adoptions that did not happen within the timeout.
    not_adopted: usize,
    /// Control bytes sent, less those that the idle fleet sends in the same time.
    bytes: f64,
    /// Control bytes sent by kind of message, including the idle traffic.
    kind_bytes: BTreeMap<String, f64>,
    /// Store calls, less those that the idle fleet makes in the same time.
    calls: f64,
}

fn measure_commits(a: &Args, f: &Fleet, version: u64, idle: &IdleCost) -> Result<CommitResults> {
    eprintln!("{} nodes: measuring commits", f.nodes.len());
    let mut out = CommitResults {
        version,
        ..CommitResults::default()
    };
    let before = read_counters(f);
    for k in 1..=a.commits {
        let (accepted_version, accepted) = f.commit(&manifest(a.routes, k), out.version)?;
        out.version = accepted_version;
        let adopt_ms = adopt_times(f, accepted_version, accepted);
        out.not_adopted += adopt_ms.iter().filter(|t| t.is_none()).count();
        out.adopt_ms.extend(adopt_ms.into_iter().flatten());
        std::thread::sleep(COMMIT_PAUSE);
    }
    let after = read_counters(f);
    let seconds = (after.at - before.at).as_secs_f64();
    out.bytes = (after.sent_bytes - before.sent_bytes - idle.bytes_per_s * seconds).max(0.0);
    // Each message is counted by its sender and by its receiver.
    let sent = |(kind, n): (&String, &f64)| {
        let before = before.kind_bytes.get(kind).copied().unwrap_or(0.0);
        (kind.clone(), (n - before) / 2.0)
    };
    out.kind_bytes = after.kind_bytes.iter().map(sent).collect();
    out.calls = (after.store.calls() - before.store.calls()) as f64 - idle.calls_per_s * seconds;
    Ok(out)
}

fn measure(a: &Args, n: usize) -> Result<SizeResults> {
    let (mut f, version) = start_fleet(a, n)?;
    let idle = measure_idle(a, &f);
    let commit_results = measure_commits(a, &f, version, &idle)?;
    let churn = measure_churn(a, &mut f, commit_results.version)?;
    let (nodes, commits) = (n as f64, a.commits as f64);
    Ok(SizeResults {
        nodes: n,
        idle_ms: Summary::of(commit_results.adopt_ms),
        churn_survivors_ms: Summary::of(churn.survivors),
        churn_restarted_ms: Summary::of(churn.restarted),
        not_converged: commit_results.not_adopted + churn.not_adopted,
        control_bytes_per_change_node: commit_results.bytes / commits / nodes,
        kinds: commit_results
            .kind_bytes
            .into_iter()
            .map(|(k, n)| (k, n / commits / nodes))
            .collect(),
        manifest_bytes: canonical(&manifest(a.routes, 0)).len(),
        store_calls_per_change: commit_results.calls / commits,
        store_calls_per_s_idle: idle.calls_per_s,
        store_waiting: idle.waiting_watches,
        control_bytes_per_s_node: idle.bytes_per_s / nodes,
        cpu_percent_node: 100.0 * idle.cpu_ratio / nodes,
        memory_mb_node: idle.memory_mb.iter().sum::<f64>() / nodes,
        memory_mb_max: idle.memory_mb.iter().copied().fold(0.0, f64::max),
    })
}

/// Adoption times in milliseconds while nodes restart.
#[derive(Default)]
struct ChurnResults {
    survivors: Vec<f64>,
    restarted: Vec<f64>,
    not_adopted: usize,
}

/// Kills a fifth of the nodes before each commit and restarts them right after it.
fn measure_churn(a: &Args, f: &mut Fleet, mut version: u64) -> Result<ChurnResults> {
    eprintln!("{} nodes: measuring commits with restarts", f.nodes.len());
    let mut rng = StdRng::seed_from_u64(a.seed);
    let mut out = ChurnResults::default();
    for k in 1..=a.commits {
        let mut killed: Vec<_> = (0..f.nodes.len()).collect();
        killed.shuffle(&mut rng);
        killed.truncate(f.nodes.len().div_ceil(5));
        for i in &killed {
            f.kill(*i);
        }
        let (accepted_version, accepted) = f.commit(&manifest(a.routes, a.commits + k), version)?;
        version = accepted_version;
        for i in &killed {
            f.restart(*i)?;
        }
        for (i, time) in adopt_times(f, version, accepted).into_iter().enumerate() {
            match time {
                Some(ms) if killed.contains(&i) => out.restarted.push(ms),
                Some(ms) => out.survivors.push(ms),
                None => out.not_adopted += 1,
            }
        }
        std::thread::sleep(COMMIT_PAUSE);
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
    let fits = linear_fits(&sizes);
    print_sizes(&sizes);
    print_fits(&fits);
    let json =
        serde_json::json!({ "seed": a.seed, "commits": a.commits, "sizes": sizes, "fits": fits });
    write_json(&json, a.out.as_deref())
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
