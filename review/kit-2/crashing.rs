//! A request that crashes the targets that run it comes again whenever all nodes were restarted in turn.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, JoinHandle};
use std::time::Duration;

use crate::client::start_kept;
use crate::record::Record;
use crate::site::{request, Site, HEARTBEAT, SERVICE};
use crate::target::{Target, CRASHING};
use crate::Verdict;

const NODES: usize = 6;
const WORK: Duration = Duration::from_millis(40);
/// Time after which a target that has crashed is back.
const BACK_AFTER: Duration = Duration::from_secs(3);
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// Pause between the stops of two nodes.
const GAP: Duration = Duration::from_millis(2000);
/// Time from the stop signal of a node to the start of its next process.
const STOP_TIME: Duration = Duration::from_millis(6500);
const LIMIT_MS: u64 = 1000;
/// Crashes before the first restarts.
const FIRST_CRASHES: usize = 3;
/// How often all nodes are restarted in turn, and how often the request comes after each time.
const ROUNDS: usize = 2;
const ATTEMPTS: usize = 3;
/// Pause between two requests of consumers.
const PAUSE: Duration = Duration::from_millis(1500);
/// Number of retries that the rule allows.
const ALLOWED: usize = 3;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut site = Site::new(NODES, record);
    if !site.start_all(WORK) {
        return Verdict::NotRun;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let nodes = site.nodes.iter();
    let consumers: Vec<_> = nodes
        .flat_map(|n| start_kept(2, n.outbound, record, &stop))
        .collect();
    let supervisors: Vec<_> = (0..NODES)
        .map(|i| supervise(&site, i, record, &stop))
        .collect();
    let path = format!("/safe{CRASHING}7");
    for i in 0..NODES {
        if crashes(record).len() >= FIRST_CRASHES {
            break;
        }
        request(record, site.nodes[i].outbound, "GET", &path, LIMIT_MS);
        sleep(PAUSE);
    }
    let Some(third) = crashes(record).get(FIRST_CRASHES - 1).copied() else {
        return Verdict::NotRun;
    };
    record.write(&format!("third crash at {:.3}", third.as_secs_f64()));
    sleep(BACK_AFTER + STABLE_WINDOW);
    for round in 1..=ROUNDS {
        restart_in_turn(&mut site, trouble);
        sleep(STABLE_WINDOW + Duration::from_secs(2));
        record.write(&format!("the request comes again, round {round}"));
        for i in 0..ATTEMPTS {
            request(record, site.nodes[i * 2].outbound, "GET", &path, LIMIT_MS);
            sleep(PAUSE);
        }
        sleep(BACK_AFTER);
    }
    stop.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|c| c.join().unwrap());
    supervisors.into_iter().for_each(|s| s.join().unwrap());
    site.end();
    judge(record, third)
}

/// Starts another target whenever that of a machine has crashed.
fn supervise(
    site: &Site,
    i: usize,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (control, address) = (site.nodes[i].control, site.nodes[i].app);
    let (record, stop) = (record.clone(), stop.clone());
    let current = Mutex::new(site.targets[i].clone());
    std::thread::spawn(move || {
        let mut starts = 0;
        while !stop.load(Ordering::SeqCst) {
            let mut t = current.lock().unwrap();
            if t.ended.load(Ordering::SeqCst) {
                starts += 1;
                sleep(BACK_AFTER);
                *t = Target::start(&format!("i-{i}-{starts}"), SERVICE, address, WORK, &record);
                t.keep_checking_in(control, HEARTBEAT);
            }
            drop(t);
            sleep(Duration::from_millis(50));
        }
        current.lock().unwrap().end();
    })
}

/// Stops and starts the nodes in turn, or waits as long.
fn restart_in_turn(site: &mut Site, trouble: bool) {
    let mut stopped: Vec<usize> = Vec::new();
    let steps = NODES + (STOP_TIME.as_millis() / GAP.as_millis()) as usize + 1;
    for step in 0..steps {
        if trouble && step < NODES {
            site.signal(step, "TERM");
            stopped.push(step);
        }
        sleep(GAP);
        stopped.retain(|i| {
            let ended = site.has_ended(*i);
            if ended {
                site.start(*i);
            }
            !ended
        });
    }
}

/// Times at which targets began to run the request, each of which crashed.
fn crashes(record: &Record) -> Vec<Duration> {
    let at_targets = record.at_targets.lock().unwrap();
    at_targets
        .iter()
        .filter(|r| r.ran && r.crashes)
        .map(|r| r.at)
        .collect()
}

/// The rule: later than the stable window after the third crash, the request reaches targets in three retries at most.
fn judge(record: &Record, third: Duration) -> Verdict {
    let mut targets: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for r in record.at_targets.lock().unwrap().iter() {
        if r.crashes && r.at > third + STABLE_WINDOW {
            targets
                .entry(r.id.clone())
                .or_default()
                .insert(r.target.clone());
        }
    }
    let retries: usize = targets.values().map(|t| t.len() - 1).sum();
    let reached: usize = targets.values().map(BTreeSet::len).sum();
    record.write(&format!(
        "BUDGET: later than {:.3}, the request reaches {reached} targets, {retries} of them in retries",
        (third + STABLE_WINDOW).as_secs_f64()
    ));
    let ran = record.ran();
    let answers = record.answers.lock().unwrap();
    let others = answers
        .iter()
        .filter(|a| a.sent > third + STABLE_WINDOW && a.status == 502 && ran.contains(&a.id));
    record.write(&format!(
        "{} requests got 502 after a target had begun to run them",
        others.count()
    ));
    match retries > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
