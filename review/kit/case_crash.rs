//! BUDGET: a request that crashes each target that begins to run it comes again and again.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::http;
use crate::site::{config, fresh_id, Record, Route, Site, HOST};

/// Time between two arrivals of the request from its consumer.
const INTERVAL: Duration = Duration::from_millis(2600);
const TIMES: usize = 12;
const STABLE_WINDOW_MS: u64 = 3000;
/// Number of retries that the rule allows.
const ALLOWED: usize = 3;

fn send(site: &Site, node: usize, path: &str) -> String {
    let id = fresh_id();
    let headers = format!(
        "Host: {HOST}\r\nDragonflyquay-Request-Id: {id}\r\nDragonflyquay-Deadline-Ms: 1000\r\n"
    );
    let n = &site.nodes[node];
    site.record
        .line(&format!("consumer at {} sends {id} {path}", n.name));
    let answer = http::call(n.caller, "GET", path, &headers, "", Duration::from_secs(2));
    let text = answer.map_or("none".to_owned(), |m| m.status().to_string());
    site.record.line(&format!("consumer gets {id}: {text}"));
    id
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let routes = [Route {
        prefix: "/look/",
        kind: "safe",
        service: "desk",
        attempts: 3,
    }];
    let machines = [
        ("ub-a", 1, "desk"),
        ("ub-a", 2, "desk"),
        ("ub-b", 1, "desk"),
        ("ub-b", 2, "desk"),
        ("ub-c", 1, "desk"),
        ("ub-c", 2, "desk"),
    ];
    let site = Site::start(record, &machines, 6, &config(7, &["desk"], &routes, 5000));
    for n in &site.nodes {
        n.target.poison_works.store(trouble, Ordering::SeqCst);
    }
    let done = AtomicBool::new(false);
    std::thread::scope(|s| {
        for node in 0..site.nodes.len() {
            let (site, done) = (&site, &done);
            s.spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    send(site, node, "/look/w40");
                    std::thread::sleep(Duration::from_millis(200));
                }
            });
        }
        std::thread::sleep(Duration::from_secs(3));
        for i in 0..TIMES {
            send(&site, i % site.nodes.len(), "/look/poison/w20");
            std::thread::sleep(INTERVAL);
        }
        done.store(true, Ordering::SeqCst);
    });
    judge(&site)
}

fn judge(site: &Site) -> bool {
    let mut crashes: Vec<u64> = Vec::new();
    for n in &site.nodes {
        crashes.extend(n.target.crashes.lock().unwrap().iter());
    }
    crashes.sort_unstable();
    let bound = crashes.get(2).map_or(u64::MAX, |t| t + STABLE_WINDOW_MS);
    let arrivals = site.arrivals.lock().unwrap();
    let mut first: BTreeMap<&str, u64> = BTreeMap::new();
    let mut retries = 0;
    for a in arrivals.iter().filter(|a| a.path.contains("poison")) {
        match first.contains_key(a.request.as_str()) {
            false => drop(first.insert(&a.request, a.at_ms)),
            true if a.at_ms > bound => {
                retries += 1;
                site.record.line(&format!(
                    "RETRY {retries}: {} reaches {}",
                    a.request, a.target
                ));
            }
            true => {}
        }
    }
    site.record.say(&format!(
        "{} crashes; {retries} retries of the request reached targets later than {STABLE_WINDOW_MS} ms after it had crashed the third; allowed: {ALLOWED}",
        crashes.len()
    ));
    retries > ALLOWED
}
