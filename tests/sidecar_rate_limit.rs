//! Rate limits that targets name, and their notices that they stop.

mod property;
mod site_kit;
mod workdir;

use std::time::{Duration, Instant};

use dragonflyquay::platform::adapter::PlatformAdapter;
use dragonflyquay::request::reason::Reason;
use dragonflyquay::sidecar::adapter::{Adapter, NamedLimit};
use dragonflyquay::sidecar::process::target::queue::{Action, Arrival, Queue};
use dragonflyquay::sidecar::process::target::rate_limit::RateLimit;
use http::{HeaderMap, HeaderValue, StatusCode};
use property::run;
use proptest::prelude::*;
use site_kit::{config, fresh_id, Site};
use workdir::wait_until;

/// Time within which the users count the requests at a target, and how many more than the limit they allow.
const COUNT_TIME: Duration = Duration::from_secs(4);
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Fails if some span of the counted length has more requests than a limit allows.
fn check_rate(times: &[Duration], rate: f64) {
    let allowed = ALLOWED_FACTOR * rate * COUNT_TIME.as_secs_f64() + ALLOWED_EXTRA;
    for (i, start) in times.iter().enumerate() {
        let count = times[i..]
            .iter()
            .take_while(|t| **t < *start + COUNT_TIME)
            .count();
        assert!(count as f64 <= allowed, "{count} requests, limit {rate}/s");
    }
}

/// Guards against more requests than a limit allows in any span of time, and against a limit that lets none pass.
#[test]
fn a_limit_holds_in_every_span() {
    let rates = prop_oneof![Just(0.0), Just(0.3), 0.0..200.0f64];
    run(64, &(rates, 1u64..40), |(rate, step)| {
        let mut limit = RateLimit::default();
        assert!(limit.take(ms(0)));
        limit.set(ms(0), Some(rate));
        let times: Vec<_> = (0..20_000 / step)
            .map(|i| ms(i * step))
            .filter(|now| limit.take(*now))
            .collect();
        check_rate(&times, rate);
        let offered = 1000.0 / step as f64;
        let expected = 20.0 * rate.max(0.5).min(offered);
        prop_assert!(
            times.len() as f64 >= 0.7 * expected - 1.0,
            "{}",
            times.len()
        );
        prop_assert!(limit.set(ms(20_000), None));
        prop_assert!((0..100).all(|_| limit.take(ms(20_000))));
        Ok(())
    });
}

fn arrival(ticket: u64, rank: usize, now: Duration) -> Arrival {
    Arrival {
        ticket,
        route: "r".into(),
        tenant: Default::default(),
        rank,
        objective: ms(400),
        due: now + ms(400),
        deadline: now + ms(1200),
        baseline: Duration::ZERO,
        max_wait: None,
        retry: false,
        link_backlog: ms(0),
        transfer: ms(0),
    }
}

/// Guards against requests above the limit that wait until their deadline, and against less urgent ones that go first.
#[test]
fn a_limited_queue_rejects_the_excess_at_once() {
    let mut q = Queue::default();
    q.set_slots(ms(0), 100);
    q.set_limit(ms(0), Some(10.0));
    let mut rejected = 0;
    let mut dispatched = Vec::new();
    for now in 0..5_000 {
        let mut actions = q.advance(ms(now));
        if now % 20 == 0 {
            let rank = usize::from(now % 40 == 0);
            actions.extend(q.arrive(ms(now), arrival(now, rank, ms(now))));
        }
        for action in actions {
            match action {
                Action::Dispatch(t) => {
                    dispatched.push((ms(now), t));
                    q.finish(ms(now), t, false);
                }
                Action::Reject(_, reason, back_off) => {
                    assert!(matches!(reason, Reason::RateLimited | Reason::Deadline));
                    assert!(reason == Reason::Deadline || !back_off.is_zero());
                    rejected += 1;
                }
            }
        }
    }
    let times: Vec<_> = dispatched.iter().map(|(t, _)| *t).collect();
    check_rate(&times, 10.0);
    assert!(
        (45..=55).contains(&dispatched.len()),
        "{}",
        dispatched.len()
    );
    assert!(rejected >= 180, "{rejected}");
    let urgent = dispatched.iter().filter(|(_, t)| t % 40 != 0).count();
    assert!(urgent * 10 >= dispatched.len() * 9, "{urgent}");
}

/// Guards against a limit that a restarted node forgets, and against an outdated hint that outlives what the target says.
#[test]
fn another_node_may_know_the_limit() {
    let mut q = Queue::default();
    q.set_slots(ms(0), 4);
    q.suggest_limit(ms(0), 3.0);
    assert_eq!(q.load(ms(0)).limit, Some(3.0));
    q.set_limit(ms(1), None);
    q.suggest_limit(ms(2), 3.0);
    assert_eq!(q.load(ms(2)).limit, None);
}

/// Guards against a malformed, huge, zero or repeated limit that stops or floods a target.
#[test]
fn odd_limits_are_read_safely() {
    let cases: [(&[&str], NamedLimit); 17] = [
        (&[], NamedLimit::Absent),
        (&["76.8"], NamedLimit::Rate(76.8)),
        (&["0"], NamedLimit::Rate(0.0)),
        (&["0.0"], NamedLimit::Rate(0.0)),
        (&[" 12 "], NamedLimit::Rate(12.0)),
        (&["99999999999999999999"], NamedLimit::Rate(1e6)),
        (&["50", "20"], NamedLimit::Rate(20.0)),
        (&["50, 20"], NamedLimit::Rate(20.0)),
        (&["50", "x"], NamedLimit::Rate(50.0)),
        (&[""], NamedLimit::Invalid),
        (&["x"], NamedLimit::Invalid),
        (&["-1"], NamedLimit::Invalid),
        (&["1e3"], NamedLimit::Invalid),
        (&["NaN"], NamedLimit::Invalid),
        (&["inf"], NamedLimit::Invalid),
        (&["1.2.3"], NamedLimit::Invalid),
        (&["."], NamedLimit::Invalid),
    ];
    for (values, expected) in cases {
        let mut h = HeaderMap::new();
        for v in values {
            h.append("server-limit", HeaderValue::from_str(v).unwrap());
        }
        let info = PlatformAdapter.response_info(StatusCode::OK, &h);
        assert_eq!(info.limit, expected, "{values:?}");
    }
    for (value, leaving) in [("1", true), ("0", false), ("", false), ("yes", false)] {
        let mut h = HeaderMap::new();
        h.append("server-leaving", HeaderValue::from_static(value));
        let info = PlatformAdapter.response_info(StatusCode::OK, &h);
        assert_eq!(info.leaving, leaving, "{value:?}");
    }
}

/// Sends requests to all nodes in turn for some time. Returns the numbers of served and refused ones.
fn offer(site: &Site, per_s: u64, time: Duration) -> (usize, usize) {
    let start = Instant::now();
    let mut threads = Vec::new();
    let mut sent = 0;
    while start.elapsed() < time {
        let caller = site.nodes[sent as usize % site.nodes.len()].caller;
        let id = fresh_id();
        threads.push(std::thread::spawn(move || {
            let headers = [
                ("dragonflyquay-request-id", id.as_str()),
                ("dragonflyquay-deadline-ms", "1200"),
                ("host", site_kit::HOST),
            ];
            let res = workdir::http(caller, "GET", "/safe/x", &headers, "");
            let res = res.unwrap();
            let retry_after = res.header("retry-after").parse::<f64>();
            assert!(res.status == 200 || retry_after.is_ok_and(|t| t > 0.0));
            res.status
        }));
        sent += 1;
        std::thread::sleep(Duration::from_millis(1000 / per_s));
    }
    let statuses: Vec<u16> = threads.into_iter().map(|t| t.join().unwrap()).collect();
    let served = statuses.iter().filter(|s| **s == 200).count();
    (served, statuses.len() - served)
}

/// Guards against a target that gets more than the limit that it names, summed over all nodes, and against a limit that
/// outlives what the target says.
#[test]
fn a_named_limit_holds_over_all_nodes() {
    let site = Site::start(3);
    for n in &site.nodes[1..] {
        n.target.state.lock().unwrap().reported = "draining";
    }
    let target = &site.nodes[0].target;
    wait_until("all requests go to the first target", || {
        let id = fresh_id();
        site.nodes[1].send_as(&id, "GET", "/safe/x", "4000");
        target.runs(&id) == 1
    });
    std::thread::sleep(ms(1100));
    let name_limit = |line: &str| target.state.lock().unwrap().headers = line.into();
    name_limit("server-limit: 20\r\n");
    offer(&site, 50, ms(500));
    let known = Instant::now();
    let (served, refused) = offer(&site, 100, ms(3000));
    let times: Vec<_> = {
        let received = target.received.lock().unwrap();
        let limited = received.iter().filter(|r| r.at >= known);
        limited.map(|r| r.at - known).collect()
    };
    check_rate(&times, 20.0);
    assert!(served >= 20, "{served} served, {refused} refused");
    assert!(refused > 0, "the excess waits");
    name_limit("");
    wait_until("the limit ends", || offer(&site, 50, ms(500)).1 == 0);
}

/// Guards against requests for a target that said in a response that it stops, also after a restart of its node.
#[test]
fn a_stop_that_a_response_announces_is_kept() {
    let mut site = Site::empty();
    site.store.put_config(&config(1, ""));
    site.add_node(0);
    site.add_node(1);
    site.nodes.iter().for_each(site_kit::Node::wait_ready);
    site.wait_linked();
    let target = site.nodes[0].target.clone();
    site.nodes[1].target.state.lock().unwrap().reported = "draining";
    wait_until("requests go to the first target", || {
        let id = fresh_id();
        site.nodes[1].send_as(&id, "GET", "/safe/x", "4000");
        target.runs(&id) == 1
    });
    // Its heartbeats go on to say that it is ready.
    target.state.lock().unwrap().headers = "server-leaving: 1\r\n".into();
    let refused = || {
        let mut results = site.nodes.iter().map(|n| n.send("GET", "/safe/x"));
        results.all(|res| res.is_some_and(|res| res.status == 503))
    };
    wait_until("requests are refused", refused);
    wait_until("the stop is recorded", || {
        !site.store.keys("dq/left/i-0").is_empty()
    });
    let before = target.received.lock().unwrap().len();
    drop(site.nodes.remove(0));
    let restarted = site.start_node("n0", "az0", target.clone());
    restarted.wait_ready();
    site.nodes.push(restarted);
    site.wait_linked();
    let end = Instant::now() + ms(1500);
    while Instant::now() < end {
        for n in &site.nodes {
            assert_eq!(n.send("GET", "/safe/x").unwrap().status, 503);
        }
    }
    assert_eq!(target.received.lock().unwrap().len(), before);
    target.state.lock().unwrap().headers.clear();
    target.state.lock().unwrap().incarnation = 2000;
    wait_until("a new incarnation serves requests", || {
        site.nodes[0].send("GET", "/safe/x").unwrap().status == 200
    });
}
