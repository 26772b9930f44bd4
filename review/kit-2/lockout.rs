//! A crowd of clients sends bodies that stop one byte short of their end, at a path without a route, and stays
//! connected.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, JoinHandle};
use std::time::Duration;

use crate::client::{connect_crowd, head, LIMIT_MS};
use crate::record::Record;
use crate::site::{fresh_id, is_ready, request, Site, LARGER_MEMORY_MB, SERVICE};
use crate::Verdict;

const NODES: usize = 2;
const WORK: Duration = Duration::from_millis(30);
/// Clients of the crowd; the deploy file lets the callers of a node have 3,000 connections.
const CROWD: usize = 4000;
/// Bytes of each body, and how many are missing at its end.
const BODY: (usize, usize) = (100, 1);
/// Time for which the crowd stays.
const STAYS: Duration = Duration::from_secs(14);
/// Pause of each thread that connects clients, so that the queue of the listener does not overflow.
const PAUSE: Duration = Duration::from_millis(8);
/// Consumers that try new connections all the time; the rule names seven.
const CONSUMERS: usize = 10;
const STABLE_WINDOW: Duration = Duration::from_millis(3000);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut site = Site::with_services(&[SERVICE; NODES], LARGER_MEMORY_MB, record);
    if !site.start_all(WORK) {
        return Verdict::NotRun;
    }
    let to = site.nodes[0].outbound;
    let stop = Arc::new(AtomicBool::new(false));
    let consumers = start_consumers(to, record, &stop);
    let readiness = watch_readiness(site.nodes[0].ready, record, &stop);
    sleep(Duration::from_secs(4));
    let crowd =
        trouble.then(|| std::thread::spawn(move || connect_crowd(CROWD, move || send_part(to))));
    sleep(STAYS);
    let crowd = crowd.map(|c| c.join().unwrap());
    record.write(&format!(
        "the crowd leaves; it had {} connections",
        crowd.map_or(0, |c| c.len())
    ));
    sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|t| t.join().unwrap());
    let unready = readiness.join().unwrap();
    site.end();
    judge(record, &unready)
}

/// Connects a client of the crowd, which sends its body but for the last byte.
fn send_part(to: SocketAddr) -> Option<TcpStream> {
    let mut s = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let head = format!(
        "{}Content-Length: {}\r\n\r\n",
        head("POST", "/none/", &fresh_id()),
        BODY.0
    );
    let _ = s.write_all(format!("{head}{}", "x".repeat(BODY.0 - BODY.1)).as_bytes());
    sleep(PAUSE);
    Some(s)
}

fn start_consumers(
    to: SocketAddr,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    (0..CONSUMERS)
        .map(|_| {
            let (record, stop) = (record.clone(), stop.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    request(&record, to, "GET", "/safe/lookup", LIMIT_MS);
                    sleep(Duration::from_millis(100));
                }
            })
        })
        .collect()
}

/// Checks readiness all the time. Returns when the node was not ready.
fn watch_readiness(
    at: SocketAddr,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<Vec<Duration>> {
    let (record, stop) = (record.clone(), stop.clone());
    std::thread::spawn(move || {
        let (mut unready, mut checks) = (Vec::new(), 0);
        while !stop.load(Ordering::SeqCst) {
            checks += 1;
            if !is_ready(at) {
                unready.push(record.now());
                record.write("the node is not ready");
            }
            sleep(Duration::from_millis(250));
        }
        record.write(&format!(
            "{checks} readiness checks, {} without status 200",
            unready.len()
        ));
        unready
    })
}

/// The rule: a node that says it is ready takes new connections. A connection counts as taken if its request is answered.
fn judge(record: &Record, unready: &[Duration]) -> Verdict {
    let mut answers = record.answers.lock().unwrap().clone();
    answers.sort_by_key(|a| a.sent);
    let mut taken: Vec<Duration> = answers
        .iter()
        .filter(|a| a.status != 0)
        .map(|a| a.sent)
        .collect();
    taken.push(answers.last().map_or(Duration::ZERO, |a| a.sent));
    let gaps = taken.windows(2).map(|w| (w[0], w[1]));
    let ready = |from: Duration, to: Duration| !unready.iter().any(|t| *t >= from && *t <= to);
    let worst = gaps
        .filter(|(a, b)| ready(*a, *b))
        .max_by_key(|(a, b)| *b - *a);
    let (from, to) = worst.unwrap_or_default();
    let tried = answers
        .iter()
        .filter(|a| a.sent > from && a.sent < to)
        .count();
    record.write(&format!(
        "RECOVER: longest time in which the ready node takes no connection: {:.3} to {:.3}; {CONSUMERS} consumers tried {tried} times",
        from.as_secs_f64(),
        to.as_secs_f64()
    ));
    match to - from >= STABLE_WINDOW && tried >= 7 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
