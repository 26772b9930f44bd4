//! ROUTE: a target ends for good, and its address goes to a target of another service.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http;
use crate::site::{config, fresh_id, Record, Route, Site, HOST, TERM};
use crate::target::{Place, Target};

/// Time from the end of the target to the start of the other one; `reuse_after_s` is 2.
const REUSE_AFTER: Duration = Duration::from_millis(2500);
/// Time from the start of the other target to the SIGTERM that a node gets after its target has ended.
const TERM_AFTER: Duration = Duration::from_millis(2500);
/// Time for which requests go on after that.
const REST: Duration = Duration::from_millis(5500);

fn send(site: &Site, node: usize, wrong: &Mutex<usize>) {
    let id = fresh_id();
    let headers = format!(
        "Host: {HOST}\r\nDragonflyquay-Request-Id: {id}\r\nDragonflyquay-Deadline-Ms: 800\r\n"
    );
    let n = &site.nodes[node];
    let answer = http::call(
        n.caller,
        "GET",
        "/look/w20",
        &headers,
        "",
        Duration::from_secs(2),
    );
    let text = answer.map_or("none".to_owned(), |m| {
        let body = String::from_utf8_lossy(&m.body).into_owned();
        if m.status() == 200 && body.contains("done by hall") {
            *wrong.lock().unwrap() += 1;
        }
        format!("{} {body}", m.status())
    });
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
    let document = config(7, &["desk", "hall"], &routes, 5000);
    let site = Site::start_without_config(record, &machines, 6, &document);
    let first = &site.nodes[0];
    let done = AtomicBool::new(false);
    let wrong = Mutex::new(0);
    std::thread::scope(|s| {
        for node in 0..site.nodes.len() {
            for _ in 0..4 {
                let (site, done, wrong) = (&site, &done, &wrong);
                s.spawn(move || {
                    while !done.load(Ordering::SeqCst) {
                        send(site, node, wrong);
                        std::thread::sleep(Duration::from_millis(100));
                    }
                });
            }
        }
        std::thread::sleep(Duration::from_secs(2));
        if trouble {
            record.say("the target of the first node ends for good");
            first.target.end();
            std::thread::sleep(REUSE_AFTER);
            let place = Place {
                name: "other",
                service: "hall",
                zone: "ub-a",
                address: first.target.address,
                control: first.target.control,
            };
            Target::start(&place, 6, &site.arrivals, record);
            record.say("a target of another service has started at its address");
            std::thread::sleep(TERM_AFTER);
            record.say("SIGTERM to the first node, whose target has ended");
            first.signal(TERM);
        }
        std::thread::sleep(REST);
        done.store(true, Ordering::SeqCst);
    });
    let arrivals = site.arrivals.lock().unwrap();
    let runs = arrivals
        .iter()
        .filter(|a| a.target == "other" && a.run)
        .count();
    let wrong = *wrong.lock().unwrap();
    record.say(&format!("requests for the service desk that a target of the service hall ran: {runs}; answered with its response: {wrong}"));
    runs > 0
}
