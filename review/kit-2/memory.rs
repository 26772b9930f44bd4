//! A crowd of clients sends large bodies of legal size and stops just short of their end, until the process of the node
//! needs more memory than its machine has.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{connect_crowd, head, start_kept};
use crate::record::Record;
use crate::site::{fresh_id, Site, MEMORY_MB};
use crate::Verdict;

const NODES: usize = 5;
const WORK: Duration = Duration::from_millis(120);
/// Clients of the crowd, a third of the 3,000 connections that the deploy file lets the callers of a node have.
const CROWD: usize = 1000;
/// Bytes of each body, of the 67,108,864 that the configuration allows, and how many are missing at its end.
const BODY: (usize, usize) = (1_000_000, 100);
/// Time for which the crowd stays.
const STAYS: Duration = Duration::from_secs(12);
const CONSUMERS: usize = 24;
/// Interval at which the machine checks the memory of the process.
const MEMORY_CHECK: Duration = Duration::from_millis(5);
/// Number of requests that the rule allows to be lost.
const ALLOWED: usize = 3;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut site = Site::new(NODES, record);
    if !site.start_all(WORK) {
        return Verdict::NotRun;
    }
    let to = site.nodes[0].outbound;
    let stop = Arc::new(AtomicBool::new(false));
    let consumers = start_kept(CONSUMERS, to, record, &stop);
    sleep(Duration::from_secs(4));
    let crowd =
        trouble.then(|| std::thread::spawn(move || connect_crowd(CROWD, move || send_part(to))));
    watch_memory(&mut site, record, STAYS);
    let crowd = crowd.map(|c| c.join().unwrap());
    record.write(&format!(
        "the crowd had {} connections",
        crowd.map_or(0, |c| c.len())
    ));
    sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|c| c.join().unwrap());
    site.end();
    judge(record)
}

/// Plays the machine: ends the process once it takes more memory than the machine has, and starts it again.
pub fn watch_memory(site: &mut Site, record: &Record, time: Duration) {
    let limit_kb = MEMORY_MB * 1024;
    let end = Instant::now() + time;
    let (mut peak, mut ended) = (0, false);
    while Instant::now() < end {
        sleep(MEMORY_CHECK);
        let used = if ended { 0 } else { site.memory_kb(0) };
        peak = peak.max(used);
        if used > limit_kb {
            record.write(&format!(
                "the node takes {used} KB of {limit_kb} KB, so its machine ends it"
            ));
            site.signal(0, "KILL");
            site.wait_end(0);
            sleep(Duration::from_millis(800));
            site.start(0);
            ended = true;
        }
    }
    record.write(&format!(
        "most memory of the node: {peak} KB of {limit_kb} KB"
    ));
}

/// Connects a client of the crowd, which sends its body but for the last bytes.
fn send_part(to: SocketAddr) -> Option<TcpStream> {
    let mut s = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let _ = s.set_write_timeout(Some(Duration::from_secs(1)));
    let head = format!(
        "{}Content-Length: {}\r\n\r\n",
        head("POST", "/once/upload", &fresh_id()),
        BODY.0
    );
    let body = vec![b'x'; BODY.0 - BODY.1];
    // A node that takes no more for now keeps the client waiting; it stays.
    let _ = s
        .write_all(head.as_bytes())
        .and_then(|()| s.write_all(&body));
    Some(s)
}

/// The rule: at most three requests from kept connections that were passed on to a sound target end with a closed
/// connection and no answer.
pub fn judge(record: &Record) -> Verdict {
    let ran = record.ran();
    let closed = record.closed.lock().unwrap().clone();
    let lost: BTreeSet<&String> = closed.iter().filter(|id| ran.contains(*id)).collect();
    for id in &lost {
        record.write(&format!(
            "request {id} ran, and its connection was closed without an answer"
        ));
    }
    record.write(&format!(
        "LOST: {} requests from kept connections ran at a target and ended with a closed connection, of {}",
        lost.len(),
        record.answers.lock().unwrap().len()
    ));
    match lost.len() > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
