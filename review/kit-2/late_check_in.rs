//! A target that has replaced another one at its machine leaves before its first check-in has arrived.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::{request, Site, SERVICE};
use crate::target::Target;
use crate::Verdict;

const NODES: usize = 3;
const DRAIN: Duration = Duration::from_millis(2000);
/// How late the first check-in of the new target arrives.
const LATE: Duration = Duration::from_millis(3500);
/// Time from the start of the new target to its departure.
const LIFE: Duration = Duration::from_millis(1000);
/// Time for which it serves after the acknowledgement.
const SERVES: Duration = Duration::from_millis(8000);
const WORK: Duration = Duration::from_millis(60);
const LIMIT_MS: u64 = 1000;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut site = Site::new(NODES, record);
    if !site.start_all(WORK) {
        return Verdict::NotRun;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let consumers = start_consumers(&site, record, &stop);
    sleep(Duration::from_secs(2));

    let first = site.targets[0].clone();
    // The first target is stopped as planned, and another one takes its place.
    let control = site.nodes[0].control;
    first.leaving.store(true, Ordering::SeqCst);
    first.tell(control, "draining", first.check_in("draining"));
    sleep(DRAIN + Duration::from_millis(500));
    first.tell(control, "departure", first.departure());
    first.end();
    sleep(Duration::from_millis(500));
    let second = Target::start("i-second", SERVICE, site.nodes[0].app, WORK, record);
    let late = second.check_in("ready");
    let started = Instant::now();
    let delay = if trouble { LATE } else { Duration::ZERO };
    let t = second.clone();
    let sender = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(control).unwrap();
        sleep(delay);
        let (head, body) = late;
        let out = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        let _ = stream.write_all(out.as_bytes());
        t.note("its first check-in arrives");
        sleep(Duration::from_secs(1));
    });
    sleep(LIFE.saturating_sub(started.elapsed()));
    second.leaving.store(true, Ordering::SeqCst);
    let acknowledged = second.tell(control, "departure", second.departure());
    let ack = record.now();
    sleep(SERVES);
    second.end();
    sleep(Duration::from_millis(1500));
    stop.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|c| c.join().unwrap());
    let _ = sender.join();
    site.end();
    if !acknowledged {
        return Verdict::NotRun;
    }
    judge(record, ack)
}

/// Consumers at all machines, each with a request that may be repeated and one that may not in turn.
fn start_consumers(
    site: &Site,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<()>> {
    let machines = site.nodes.iter().flat_map(|n| [n.outbound; 4]);
    machines
        .map(|to| {
            let (record, stop) = (record.clone(), stop.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    request(&record, to, "GET", "/safe/lookup", LIMIT_MS);
                    request(&record, to, "POST", "/once/booking", LIMIT_MS);
                    sleep(Duration::from_millis(40));
                }
            })
        })
        .collect()
}

/// The rule: no request reaches the target later than the drain time after the acknowledgement.
fn judge(record: &Record, ack: Duration) -> Verdict {
    let at_targets = record.at_targets.lock().unwrap().clone();
    let late = at_targets
        .iter()
        .filter(|r| r.target == "i-second" && !r.ran && r.at > ack + DRAIN);
    let late: BTreeSet<&str> = late.map(|r| r.id.as_str()).collect();
    let answers = record.answers.lock().unwrap().clone();
    let failed = answers
        .iter()
        .filter(|a| a.status != 200 && late.contains(a.id.as_str()));
    let after = (ack + DRAIN).as_secs_f64();
    let text = format!(
        "DRAIN: {} requests reach i-second after {after:.3}, {} of them without a success",
        late.len(),
        failed.count()
    );
    record.write(&text);
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
