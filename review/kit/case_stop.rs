//! LOST: a planned stop of one node, while some consumers send the head of a request in two parts.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::site::{config, fresh_id, head, Record, Route, Site, TERM};

/// Time limit of the consumers.
const LIMIT_MS: u64 = 1000;
/// Pause between the two parts of a head; the configuration allows 5 s for a head.
const PAUSE: Duration = Duration::from_millis(450);
/// Starts of the consumers with a pause, after SIGTERM.
const SLOW_STARTS_MS: [u64; 4] = [1880, 1905, 1930, 1955];
/// Start of the last ordinary request, after SIGTERM.
const LAST_ORDINARY_MS: u64 = 1750;

struct Outcome {
    id: String,
    method: &'static str,
    /// Time at which the whole request was sent; `None` if the connection was closed before.
    sent: Option<u64>,
    ended: u64,
    /// Status of a complete response.
    status: Option<u16>,
}

fn consume(site: &Site, method: &'static str, path: &str, pause: Option<Duration>) -> Outcome {
    let (record, node) = (&site.record, &site.nodes[0]);
    let id = fresh_id();
    let text = head(method, path, &id, LIMIT_MS);
    let (first, rest) = text.split_at(text.len() / 2);
    let mut out = Outcome {
        id: id.clone(),
        method,
        sent: None,
        ended: 0,
        status: None,
    };
    if let Ok(mut c) = http::connect(node.caller, Duration::from_millis(3 * LIMIT_MS)) {
        record.line(&format!("consumer begins {id} {method} {path}"));
        let mut written = c.write_all(first.as_bytes());
        if let Some(pause) = pause {
            std::thread::sleep(pause);
        }
        written = written.and_then(|()| c.write_all(rest.as_bytes()));
        if written.is_ok() {
            out.sent = Some(record.now());
            record.line(&format!("consumer has sent {id}"));
        }
        out.status = http::read_response(&c).ok().map(|m| m.status());
    }
    out.ended = record.now();
    let answer = out
        .status
        .map_or("connection ended without an answer".into(), |s| {
            s.to_string()
        });
    record.line(&format!("consumer gets {id}: {answer}"));
    out
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let routes = [
        Route {
            prefix: "/book/",
            kind: "unsafe",
            service: "parcel",
            attempts: 2,
        },
        Route {
            prefix: "/look/",
            kind: "safe",
            service: "parcel",
            attempts: 2,
        },
    ];
    let machines = [
        ("ub-a", 1, "parcel"),
        ("ub-b", 1, "parcel"),
        ("ub-c", 1, "parcel"),
    ];
    let site = Site::start(record, &machines, 6, &config(7, &["parcel"], &routes, 5000));
    let outcomes = Mutex::new(Vec::new());
    // SIGTERM comes right after a readiness check, so the next two fail within 2 s, and consumers start until then.
    assert!(site.nodes[0].is_ready());
    if trouble {
        record.say("SIGTERM to the first node");
        site.nodes[0].signal(TERM);
    }
    let start = Instant::now();
    let until = |ms: u64| {
        let at = Duration::from_millis(ms);
        std::thread::sleep(at.saturating_sub(start.elapsed()));
    };
    std::thread::scope(|s| {
        let (site, outcomes, until) = (&site, &outcomes, &until);
        for ms in (0..=LAST_ORDINARY_MS).step_by(125) {
            s.spawn(move || {
                until(ms);
                let o = consume(site, "GET", "/look/w60", None);
                outcomes.lock().unwrap().push(o);
            });
        }
        for (i, ms) in SLOW_STARTS_MS.into_iter().enumerate() {
            s.spawn(move || {
                until(ms);
                let (method, path) = [("POST", "/book/w300"), ("GET", "/look/w300")][i % 2];
                let o = consume(site, method, path, Some(PAUSE));
                outcomes.lock().unwrap().push(o);
            });
        }
    });
    if trouble {
        let end = Instant::now() + Duration::from_secs(7);
        while !site.nodes[0].has_ended() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(10));
        }
        record.say("the first node has ended");
    }
    let outcomes = outcomes.into_inner().unwrap();
    judge(&site, &outcomes)
}

fn judge(site: &Site, outcomes: &[Outcome]) -> bool {
    let mut lost = 0;
    let arrivals = site.arrivals.lock().unwrap();
    for o in outcomes {
        let runs = arrivals
            .iter()
            .filter(|a| a.request == o.id && a.run)
            .count();
        let Some(sent) = o.sent.filter(|_| o.status.is_none()) else {
            continue;
        };
        let waited = o.ended - sent;
        // Rule LOST: passed on to a target, or cut later than loss_slack_ms (200) after its last byte.
        if runs > 0 || waited > 200 {
            lost += 1;
            site.record.say(&format!(
                "LOST: {} {} was sent whole, run {runs} times, and its connection ended after {waited} ms without an answer",
                o.method, o.id
            ));
        }
    }
    let answered = outcomes.iter().filter(|o| o.status == Some(200)).count();
    site.record.say(&format!(
        "{} requests, {answered} served, {lost} lost",
        outcomes.len()
    ));
    lost > 0
}
