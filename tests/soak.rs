//! A randomized fault soak: real processes, proxies and signals, and checks of the promises from what callers and targets
//! see.
//!
//! `DQ_SOAK_SEEDS=1-50 DQ_SOAK_SECONDS=10 cargo test --release --test soak` plays fresh seeds by hand; a seed that breaks
//! a promise leaves the output of its processes in `target/soak`.

mod site_kit;
mod soak_kit;
mod workdir;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use soak_kit::client::{self, At};
use soak_kit::{plan, Site, DRAIN};
use tokio::runtime::Runtime;

/// Seeds of the run in CI.
const SEEDS: [u64; 2] = [1, 2];
/// Seeds that broke a promise once, each with its cause.
const REGRESSIONS: [(u64, &str); 0] = [];
/// Nodes of a site, half of them in each of two zones and beside targets of each of two services.
const NODES: usize = 4;
/// Callers at each node.
const CALLERS: usize = 3;
/// Time in which a calm site has to serve again and to have the newest version everywhere; generous for busy machines.
const RECOVERY: Duration = Duration::from_secs(20);
/// Interval of heartbeats and of the look at processes.
const TICK: Duration = Duration::from_millis(300);

/// Plays one seed; returns what broke a promise.
fn play(rt: &Runtime, seed: u64, length: Duration) -> Vec<String> {
    let mut site = Site::start(rt, NODES);
    let newest = Arc::new(AtomicU64::new(site.version));
    let stop = Arc::new(AtomicBool::new(false));
    calm_down(rt, &mut site, &newest).unwrap();
    let mut callers = Vec::new();
    for i in 0..NODES * CALLERS {
        let node = i % NODES;
        let (ledger, stop) = (site.ledger.clone(), stop.clone());
        let work = client::work(node, site.caller(node), ledger, stop, newest.clone());
        callers.push(rt.spawn(work));
    }
    let start = Instant::now();
    let mut ticked = start;
    for (at, event, time) in plan::schedule(seed, NODES, length) {
        while start.elapsed() < at {
            std::thread::sleep(Duration::from_millis(10));
            if ticked.elapsed() >= TICK {
                ticked = Instant::now();
                site.tick();
            }
        }
        site.act(&event, time);
        newest.store(site.version, Ordering::SeqCst);
    }
    let recovered = calm_down(rt, &mut site, &newest);
    stop.store(true, Ordering::SeqCst);
    for c in callers {
        let _ = rt.block_on(c);
    }
    // What was refused must not run later either.
    std::thread::sleep(Duration::from_secs(1));
    let services: Vec<_> = site.nodes.iter().map(|n| n.service.clone()).collect();
    let mut broken = site.ledger.check(DRAIN, &services);
    broken.extend(recovered.err());
    let logs = site.logs();
    let panics = logs.iter().flatten().filter(|l| l.contains("panicked"));
    broken.extend(panics.map(|l| format!("panic: {l}")));
    let (sent, ran, done) = site.ledger.counts();
    println!(
        "seed {seed}: {sent} sent, {ran} ran, {done} served, {} broken",
        broken.len()
    );
    if sent < 100 || done < sent / 20 {
        broken.push(format!("the site served hardly anything: {done} of {sent}"));
    }
    if !broken.is_empty() {
        keep(seed, &broken, &logs);
    }
    broken
}

/// Ends all disturbance, and waits until every node serves both services and the newest route.
fn calm_down(rt: &Runtime, site: &mut Site, newest: &AtomicU64) -> Result<(), String> {
    site.calm();
    newest.store(site.version, Ordering::SeqCst);
    let end = Instant::now() + RECOVERY;
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
            let Some((address, process)) = site.caller(i)() else {
                continue;
            };
            let at = At {
                node: i,
                address,
                process,
            };
            for path in [
                "/safe-a/x".into(),
                "/safe-b/x".into(),
                format!("/v{}/x", site.version),
            ] {
                let mut served = false;
                // Targets fail some requests on purpose.
                for _ in 0..4 {
                    served |=
                        rt.block_on(client::send(&http, &site.ledger, &at, &path)) == Some(200);
                }
                if !served {
                    missing.push_str(&format!(" n{i} does not serve {path};"));
                }
            }
        }
        if missing.is_empty() {
            return Ok(());
        }
        std::thread::sleep(TICK);
    }
    Err(format!("no recovery:{missing}"))
}

fn keep(seed: u64, broken: &[String], logs: &[Vec<String>]) {
    let dir = workdir::repo_file(&format!("target/soak/{seed}"));
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(format!("{dir}/broken.txt"), broken.join("\n")).unwrap();
    for (i, lines) in logs.iter().enumerate() {
        std::fs::write(format!("{dir}/n{i}.log"), lines.join("\n")).unwrap();
    }
}

/// Seeds to play: those of the environment, or the fixed ones.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("DQ_SOAK_SEEDS") else {
        let kept = REGRESSIONS.iter().map(|(seed, _)| *seed);
        return SEEDS.into_iter().chain(kept).collect();
    };
    let (from, to) = text.split_once('-').unwrap_or((&text, &text));
    (from.parse().unwrap()..=to.parse().unwrap()).collect()
}

/// Guards against promises that break only under overlapping disturbances: answers mixed up, work run twice or after a
/// refusal, work for a target that left, older versions, requests without an answer, and a site that does not recover.
#[test]
fn promises_hold_under_faults() {
    let seconds = std::env::var("DQ_SOAK_SECONDS")
        .ok()
        .and_then(|s| s.parse().ok());
    let length = Duration::from_secs(seconds.unwrap_or(8));
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .unwrap();
    let mut broken = Vec::new();
    for seed in seeds() {
        let found = play(&rt, seed, length);
        broken.extend(found.into_iter().map(|b| format!("seed {seed}: {b}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
