//! DRAIN: a target announces its stop while the store is down, and the node that acknowledged it is killed.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http;
use crate::site::{config, fresh_id, Record, Route, Site, HOST};

const DRAIN_MS: u64 = 2000;
const STABLE_WINDOW_MS: u64 = 3000;
/// Times after the store went down.
const LATE_HEARTBEAT_SENT: Duration = Duration::from_millis(300);
const LEAVE: Duration = Duration::from_millis(500);
const KILL: Duration = Duration::from_millis(1000);
const STORE_BACK: Duration = Duration::from_millis(1500);
const LATE_HEARTBEAT_ARRIVES: Duration = Duration::from_millis(3000);
const END: Duration = Duration::from_secs(12);

fn send(site: &Site, node: usize) {
    let id = fresh_id();
    let headers = format!(
        "Host: {HOST}\r\nDragonflyquay-Request-Id: {id}\r\nDragonflyquay-Deadline-Ms: 800\r\n"
    );
    let n = &site.nodes[node];
    let answer = http::call(
        n.caller,
        "GET",
        "/look/w60",
        &headers,
        "",
        Duration::from_secs(2),
    );
    let text = answer.map_or("none".to_owned(), |m| m.status().to_string());
    site.record
        .line(&format!("consumer at {} sent {id}: {text}", n.name));
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let routes = [Route {
        prefix: "/look/",
        kind: "safe",
        service: "desk",
        attempts: 2,
    }];
    let machines = [
        ("ub-a", 1, "desk"),
        ("ub-b", 1, "desk"),
        ("ub-c", 1, "desk"),
    ];
    let site = Site::start(record, &machines, 6, &config(7, &["desk"], &routes, 5000));
    let leaving = &site.nodes[0];
    let done = AtomicBool::new(false);
    let (mut acked, mut in_touch) = (0, 0);
    std::thread::scope(|s| {
        for node in 0..site.nodes.len() {
            for _ in 0..4 {
                let (site, done) = (&site, &done);
                s.spawn(move || {
                    while !done.load(Ordering::SeqCst) {
                        send(site, node);
                        std::thread::sleep(Duration::from_millis(100));
                    }
                });
            }
        }
        std::thread::sleep(Duration::from_secs(2));
        let start = Instant::now();
        let until = |at: Duration| std::thread::sleep(at.saturating_sub(start.elapsed()));
        if trouble {
            record.say("the store is down: it answers 503");
            site.store.down.store(true, Ordering::SeqCst);
        }
        until(LATE_HEARTBEAT_SENT);
        let late = leaving.target.next_heartbeat();
        record.say("the target of the first node sends a heartbeat that will arrive late");
        until(LEAVE);
        assert!(
            leaving.target.leave(),
            "the announced stop was not acknowledged"
        );
        acked = record.now();
        record.say("the target of the first node has announced its stop, and it was acknowledged");
        until(KILL);
        if trouble {
            record.say("the first node is killed and started again");
            leaving.restart(Duration::from_millis(200));
            in_touch = record.now();
        }
        until(STORE_BACK);
        if trouble {
            site.store.down.store(false, Ordering::SeqCst);
            in_touch = in_touch.max(record.now());
            record.say("the store is back");
        }
        in_touch += STABLE_WINDOW_MS;
        until(LATE_HEARTBEAT_ARRIVES);
        let status = late.and_then(|h| leaving.target.deliver(&h));
        record.say(&format!("the late heartbeat arrives: {status:?}"));
        until(END);
        done.store(true, Ordering::SeqCst);
    });
    let bound = in_touch.max(acked + DRAIN_MS);
    let arrivals = site.arrivals.lock().unwrap();
    let own = arrivals.iter().filter(|a| a.target == leaving.target.name);
    let own: Vec<u64> = own.map(|a| a.at_ms).collect();
    let after_ack = own.iter().filter(|t| **t > acked + DRAIN_MS).count();
    let broken = own.iter().filter(|t| **t > bound).count();
    record.say(&format!(
        "requests at the target: {after_ack} later than {DRAIN_MS} ms after the acknowledgement, {broken} of them with all machines in touch"
    ));
    broken > 0
}
