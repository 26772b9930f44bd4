//! Randomized soak test with fault injection: runs real processes behind proxies, injects faults, and checks the
//! guarantees on the requests that callers sent and targets ran.
//!
//! `DQ_SOAK_SEEDS=1-50 DQ_SOAK_SECONDS=10 cargo test --release --test soak` runs other seeds; a seed that violates a
//! guarantee leaves the output of its processes in `target/soak`. With `DQ_SOAK_DRILLS=1` the store also comes back from
//! older copies.

mod site_kit;
mod soak_kit;
mod workdir;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use soak_kit::client::{self, Destination};
use soak_kit::{plan, Site, DRAIN_TIME};
use tokio::runtime::Runtime;

/// Seeds of the run in CI.
const SEEDS: [u64; 2] = [1, 2];
/// Seeds that violated a guarantee once, each with the cause.
const REGRESSION_SEEDS: [(u64, &str); 0] = [];
/// Nodes with callers, half of them in each of two availability zones. Each zone has the targets of one of two services.
/// One more node has the target of a new version of the first service.
const NODES: usize = 4;
const CALLERS_PER_NODE: usize = 3;
/// Time after the last fault in which every node has to become ready and to serve both services and the newest version;
/// generous for busy machines.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of heartbeats and of checks whether processes have exited.
const TICK_INTERVAL: Duration = Duration::from_millis(300);

/// Runs one seed for `length` and returns the violations.
fn run_seed(rt: &Runtime, seed: u64, length: Duration) -> Vec<String> {
    let mut site = Site::start(rt, NODES, seed);
    let newest = Arc::new(AtomicU64::new(site.version));
    let stop = Arc::new(AtomicBool::new(false));
    recover(rt, &mut site, &newest).unwrap();
    let mut callers = Vec::new();
    for i in 0..NODES * CALLERS_PER_NODE {
        let node = i % NODES;
        let (history, stop) = (site.history.clone(), stop.clone());
        let caller = client::run_caller(node, site.lookup(node), history, stop, newest.clone());
        callers.push(rt.spawn(caller));
    }
    let start = Instant::now();
    let mut last_tick = start;
    let events = match std::env::var_os("DQ_SOAK_DRILLS") {
        Some(_) => plan::schedule_with_drills(seed, NODES + 1, length),
        None => plan::schedule(seed, NODES + 1, length),
    };
    for (at, event, duration) in events {
        while start.elapsed() < at {
            std::thread::sleep(Duration::from_millis(10));
            if last_tick.elapsed() >= TICK_INTERVAL {
                last_tick = Instant::now();
                site.tick();
            }
        }
        site.apply(&event, duration);
        newest.store(site.version, Ordering::SeqCst);
    }
    let recovered = recover(rt, &mut site, &newest);
    let recovered_at = Instant::now();
    while !site.rollout.is_over(recovered_at) {
        std::thread::sleep(TICK_INTERVAL);
        site.tick();
    }
    stop.store(true, Ordering::SeqCst);
    for c in callers {
        let _ = rt.block_on(c);
    }
    // Rejected requests must not run later either.
    std::thread::sleep(Duration::from_secs(1));
    let services: Vec<_> = site.nodes.iter().map(|n| n.service.clone()).collect();
    let mut violations = site.history.check(DRAIN_TIME, &services);
    violations.extend(recovered.err());
    let (found, rollout) = site.rollout.check(&site.history);
    violations.extend(found);
    let logs = site.logs();
    let panics = logs.iter().flatten().filter(|l| l.contains("panicked"));
    violations.extend(panics.map(|l| format!("panic: {l}")));
    let verdicts = logs.iter().flatten();
    verdicts
        .filter(|l| l.contains("event=rollout_verdict"))
        .for_each(|l| println!("seed {seed}: {l}"));
    let (sent, ran, served) = site.history.counts();
    println!(
        "seed {seed}: {sent} sent, {ran} ran, {served} served; {rollout}; {} violations",
        violations.len()
    );
    if sent < 100 || served < sent / 20 {
        violations.push(format!(
            "too few requests served: {served} of {sent}; need 100 sent and 5% of them served"
        ));
    }
    if !violations.is_empty() {
        save_logs(seed, &violations, &logs);
    }
    violations
}

/// Ends all faults and waits until every node serves both services and the route of the newest version.
fn recover(rt: &Runtime, site: &mut Site, newest: &AtomicU64) -> Result<(), String> {
    site.end_faults();
    newest.store(site.version, Ordering::SeqCst);
    let end = Instant::now() + RECOVERY_TIMEOUT;
    let http = client::client();
    let mut missing = String::new();
    while Instant::now() < end {
        site.tick();
        missing.clear();
        for i in 0..NODES {
            if !site.is_ready(i) {
                missing.push_str(&format!(" n{i} is not ready;"));
                continue;
            }
            let Some((address, process)) = site.lookup(i)() else {
                continue;
            };
            let destination = Destination {
                node: i,
                address,
                process,
            };
            for path in [
                "/safe-a/x".into(),
                "/safe-b/x".into(),
                "/upload-a/x".into(),
                format!("/v{}/x", site.version),
            ] {
                let mut served = false;
                // Targets fail some requests on purpose, so try more than once.
                for _ in 0..4 {
                    served |= rt.block_on(client::send(
                        &http,
                        &site.history,
                        &destination,
                        &client::UNLIMITED,
                        &path,
                    )) == Some(200);
                }
                if !served {
                    missing.push_str(&format!(" n{i} does not serve {path};"));
                }
            }
        }
        if missing.is_empty() {
            return Ok(());
        }
        std::thread::sleep(TICK_INTERVAL);
    }
    Err(format!("the site did not recover:{missing}"))
}

/// Writes the violations and the output of each process to `target/soak`.
fn save_logs(seed: u64, violations: &[String], logs: &[Vec<String>]) {
    let dir = workdir::repo_file(&format!("target/soak/{seed}"));
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(format!("{dir}/broken.txt"), violations.join("\n")).unwrap();
    for (i, lines) in logs.iter().enumerate() {
        std::fs::write(format!("{dir}/n{i}.log"), lines.join("\n")).unwrap();
    }
}

/// Seeds to run: those in the environment, or else the fixed ones.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("DQ_SOAK_SEEDS") else {
        let regressions = REGRESSION_SEEDS.iter().map(|(seed, _)| *seed);
        return SEEDS.into_iter().chain(regressions).collect();
    };
    let (from, to) = text.split_once('-').unwrap_or((&text, &text));
    (from.parse().unwrap()..=to.parse().unwrap()).collect()
}

/// Guards against violations that occur only under overlapping faults: responses for the wrong request, requests that
/// are altered, run twice, run after a rejection, under another tenant, with an unknown key or beyond a quota, requests to a target that left, a node that returns to an older
/// version or does not find an existing route, requests without a response, processes that panic, exit unexpectedly or
/// do not stop, and a site that does not recover. In a rollout: requests at a version before its order or after its
/// rollback, a rollout that does not end, and a bad version that is completed.
#[test]
fn guarantees_hold_under_faults() {
    let seconds = std::env::var("DQ_SOAK_SECONDS")
        .ok()
        .and_then(|s| s.parse().ok());
    let length = Duration::from_secs(seconds.unwrap_or(8));
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .unwrap();
    let mut violations = Vec::new();
    for seed in seeds() {
        let found = run_seed(&rt, seed, length);
        violations.extend(found.into_iter().map(|v| format!("seed {seed}: {v}")));
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
