//! CONFIG: one zone loses power or its path to the store, and the operator changes the configuration.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http;
use crate::site::{config, fresh_id, Record, Route, Site, HOST, STOP};

/// What happens to the zone.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    /// Its machines lose power.
    Power,
    /// Its machines reach the store no more; all else works.
    StorePath,
}

/// Zone that is struck. Its machines run another service than the one that consumers use at the moment.
const DARK: &str = "site-a";
const CONFIG_APPLY_MS: u64 = 2000;
/// Time for which the handling of requests is observed after the change.
const OBSERVED_MS: u64 = 15_000;

fn send(site: &Site, node: usize, path: &str) -> Option<u16> {
    let id = fresh_id();
    let headers = format!(
        "Host: {HOST}\r\nDragonflyquay-Request-Id: {id}\r\nDragonflyquay-Deadline-Ms: 800\r\n"
    );
    let n = &site.nodes[node];
    let answer = http::call(n.caller, "GET", path, &headers, "", Duration::from_secs(2));
    let status = answer.ok().map(|m| m.status());
    let text = status.map_or("none".to_owned(), |s| s.to_string());
    site.record
        .line(&format!("consumer at {} sent {id} {path}: {text}", n.name));
    status
}

pub fn run(record: &Arc<Record>, trouble: bool, fault: Fault) -> bool {
    let route = |prefix, service| Route {
        prefix,
        kind: "safe",
        service,
        attempts: 2,
    };
    let services = ["desk", "hall"];
    let old = [
        route("/look/", "desk"),
        route("/gone/", "desk"),
        route("/hall/", "hall"),
    ];
    let new = [
        route("/look/", "desk"),
        route("/fresh/", "desk"),
        route("/hall/", "hall"),
    ];
    let machines = [
        (DARK, 1, "hall"),
        (DARK, 2, "hall"),
        (DARK, 3, "hall"),
        ("site-b", 1, "desk"),
        ("site-b", 2, "desk"),
        ("site-b", 3, "desk"),
        ("site-f", 1, "desk"),
        ("site-f", 2, "desk"),
        ("site-f", 3, "desk"),
    ];
    let first = config(11, &services, &old, 5000);
    let second_path = (fault == Fault::StorePath).then_some(DARK);
    let site = Site::start_with(record, &machines, 6, &first, second_path, false);
    let calm: Vec<usize> = (0..site.nodes.len())
        .filter(|i| site.nodes[*i].service == "desk")
        .collect();
    let done = AtomicBool::new(false);
    let late = Mutex::new(vec![0u32; site.nodes.len()]);
    let mut acked = 0;
    std::thread::scope(|s| {
        // Ordinary traffic at the machines that keep power.
        for node in calm.clone() {
            let (site, done) = (&site, &done);
            s.spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    send(site, node, "/look/w40");
                    std::thread::sleep(Duration::from_millis(150));
                }
            });
        }
        std::thread::sleep(Duration::from_secs(4));
        if fault == Fault::StorePath {
            site.store
                .put("op/config", &config(12, &services, &old, 5000));
            record.say("operator: version 12 is acknowledged; it changes no route");
            std::thread::sleep(Duration::from_millis(1500));
        }
        match fault {
            _ if !trouble => {}
            Fault::Power => {
                record.say(&format!("zone {DARK} loses power"));
                let dark = site.nodes.iter().filter(|n| n.name.contains(DARK));
                dark.for_each(|n| n.signal(STOP));
            }
            Fault::StorePath => {
                record.say(&format!("zone {DARK} is cut off from the store"));
                site.store.second_cut.store(true, Ordering::SeqCst);
            }
        }
        std::thread::sleep(Duration::from_millis(500));
        site.store
            .put("op/config", &config(14, &services, &new, 5000));
        acked = record.now();
        record.say("operator: version 14 is acknowledged; it drops /gone/ and adds /fresh/");
        for node in calm.clone() {
            let (site, late) = (&site, &late);
            s.spawn(move || {
                while record.now() < acked + OBSERVED_MS {
                    for path in ["/fresh/w5", "/gone/w5"] {
                        let sent = record.now();
                        let status = send(site, node, path);
                        let old_version = match path {
                            "/fresh/w5" => status == Some(404),
                            _ => status == Some(200),
                        };
                        if old_version && sent > acked + CONFIG_APPLY_MS {
                            late.lock().unwrap()[node] += 1;
                            record.line(&format!(
                                "CONFIG: {path} handled as version 11 says, sent {} ms after the acknowledgement",
                                sent - acked
                            ));
                        }
                    }
                    std::thread::sleep(Duration::from_millis(200));
                }
            });
        }
        std::thread::sleep(Duration::from_millis(OBSERVED_MS));
        done.store(true, Ordering::SeqCst);
    });
    let late = late.lock().unwrap();
    for node in calm {
        record.say(&format!(
            "{}: {} requests handled by the older version later than {CONFIG_APPLY_MS} ms after the acknowledgement",
            site.nodes[node].name, late[node]
        ));
    }
    late.iter().sum::<u32>() > 0
}
