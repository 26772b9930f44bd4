//! Tests of rollouts on real processes.

mod site_kit;
mod workdir;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use site_kit::target::Target;
use site_kit::{Node, Site, SERVICE};
use workdir::wait_until;

const ORDER_KEY: &str = "op/rollout/svc";
const STATUS_KEY: &str = "status/rollout/svc";
/// Time limit of the orders, in seconds; shorter than usual, so that the tests take little time.
const LIMIT_S: u64 = 8;
const OLD_NODES: usize = 3;
/// Pause of each of the senders between two requests.
const PAUSE: Duration = Duration::from_millis(8);

fn order(to: &str) -> String {
    format!(r#"{{"service":"{SERVICE}","to_version":"{to}","duration_s":{LIMIT_S}}}"#)
}

fn status(site: &Site) -> String {
    let value = site.store.value(STATUS_KEY).unwrap_or_default();
    let status: serde_json::Value = serde_json::from_slice(&value).unwrap_or_default();
    format!("{} {}", status["state"], status["to_version"]).replace('"', "")
}

/// Adds two nodes whose targets have another version.
fn add_version(site: &mut Site, version: &'static str, failing: bool) {
    for i in OLD_NODES..OLD_NODES + 2 {
        let target = Arc::new(Target::start(&format!("i-{i}")));
        let mut state = target.state.lock().unwrap();
        state.version = version;
        state.failing = failing;
        drop(state);
        let node = site.start_node(&format!("n{i}"), &format!("az{}", i % OLD_NODES), target);
        site.nodes.push(node);
    }
}

fn count(nodes: &[Node]) -> usize {
    let received = nodes
        .iter()
        .map(|n| n.target.received.lock().unwrap().len());
    received.sum()
}

/// Ends the senders, also when a check fails.
struct Stop<'a>(&'a AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Sends requests to the old nodes while `f` runs. Returns its result and the number of failed requests.
fn under_load<T>(site: &mut Site, f: impl FnOnce(&mut Site) -> T) -> (T, usize) {
    let stop = AtomicBool::new(false);
    let failed = AtomicUsize::new(0);
    let callers: Vec<_> = site.nodes[..OLD_NODES].iter().map(|n| n.caller).collect();
    let out = std::thread::scope(|scope| {
        for caller in callers {
            let (stop, failed) = (&stop, &failed);
            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = site_kit::fresh_id();
                    let headers = [
                        ("dragonflyquay-request-id", id.as_str()),
                        ("dragonflyquay-deadline-ms", "2000"),
                        ("host", site_kit::HOST),
                    ];
                    let res = workdir::http(caller, "GET", "/safe/a", &headers, "");
                    let good = res.is_some_and(|r| r.status == 200);
                    failed.fetch_add(usize::from(!good), Ordering::SeqCst);
                    std::thread::sleep(PAUSE);
                }
            });
        }
        let _stop = Stop(&stop);
        f(site)
    });
    (out, failed.into_inner())
}

fn wait_status(site: &Site, wanted: &str) -> Duration {
    let start = Instant::now();
    wait_until(wanted, || status(site) == wanted);
    start.elapsed()
}

/// Guards against an order that is not followed, requests that still reach the old targets when the status says that they
/// may stop, and an order that is run again when it is repeated.
#[test]
fn a_good_version_gets_all_requests() {
    let mut site = Site::start(OLD_NODES);
    let ((), failed) = under_load(&mut site, |site| {
        site.store.put(ORDER_KEY, order("v2").as_bytes());
        wait_status(site, "running v2");
        add_version(site, "v2", false);
        wait_until("canary", || count(&site.nodes[OLD_NODES..]) > 0);
        site.store.put(ORDER_KEY, order("v2").as_bytes());
        wait_status(site, "completed v2");
        let before = count(&site.nodes[..OLD_NODES]);
        std::thread::sleep(Duration::from_millis(500));
        assert_eq!(count(&site.nodes[..OLD_NODES]), before);
        for n in &site.nodes {
            wait_until("the end at each node", || {
                n.status().contains(r#""step":"completed""#)
            });
        }
        assert_eq!(status(site), "completed v2");
    });
    assert_eq!(failed, 0);
}

/// Guards against a bad version that is not rolled back, gets requests after that, or gets them again when the order is
/// repeated or a node restarts.
#[test]
fn a_bad_version_is_rolled_back() {
    let mut site = Site::start(OLD_NODES);
    under_load(&mut site, |site| {
        site.store.put(ORDER_KEY, order("v2").as_bytes());
        wait_status(site, "running v2");
        add_version(site, "v2", true);
        wait_status(site, "rolled_back v2");
        for n in &site.nodes {
            wait_until("the end at each node", || {
                n.status().contains(r#""step":"rolled-back""#)
            });
        }
        let before = count(&site.nodes[OLD_NODES..]);
        assert!((1..50).contains(&before), "{before} requests");
        site.store.put(ORDER_KEY, order("v2").as_bytes());
        let target = site.nodes[1].target.clone();
        site.nodes[1].process.kill();
        let restarted = site.start_node("n1", "az1", target);
        restarted.wait_ready();
        for _ in 0..40 {
            restarted.send("GET", "/safe/a");
        }
        std::thread::sleep(Duration::from_secs(1));
        assert_eq!(count(&site.nodes[OLD_NODES..]), before);
        assert_eq!(status(site), "rolled_back v2");
    });
}

/// Guards against a rollout that does not end because its decider has died, and a decider that no other node replaces.
#[test]
fn another_node_takes_over_from_a_dead_decider() {
    let mut site = Site::start(OLD_NODES);
    let ((), _) = under_load(&mut site, |site| {
        site.store.put(ORDER_KEY, order("v2").as_bytes());
        wait_status(site, "running v2");
        let decider = || {
            let status = site.nodes[0].status();
            let at = status.find("\"decider\":\"")? + 11;
            let name: String = status[at..].chars().take_while(|c| *c != '"').collect();
            site.nodes
                .iter()
                .position(|n| n.status().contains(&format!("\"node\":\"{name}\"")))
        };
        wait_until("a decider", || decider().is_some());
        let first = decider().unwrap();
        site.nodes[first].process.kill();
        let other = (first + 1) % OLD_NODES;
        wait_until("another decider", || {
            let status = site.nodes[other].status();
            status.contains("\"term\":2")
        });
        wait_until("the end", || status(site) == "rolled_back v2");
        let line = site.nodes.iter().find_map(|n| {
            let lines = n.process.lines();
            lines
                .into_iter()
                .find(|l| l.contains("event=rollout_verdict"))
        });
        let line = line.expect("a verdict");
        assert!(line.contains("reason=no-targets"), "{line}");
    });
}

/// Guards against an unreadable order that stops the reading of others, and against store calls without an order.
#[test]
fn unreadable_orders_are_ignored() {
    let mut site = Site::start(2);
    site.store.put("op/rollout/other", b"{");
    site.store.put(ORDER_KEY, br#"{"service":"x"}"#);
    site.store.put("op/unrelated", &[0; 200_000]);
    site.store.put_config(&site_kit::config(2, ""));
    for n in &site.nodes {
        wait_until("the new version", || n.status().contains(r#""version":2"#));
        assert!(n.status().contains(r#""rollouts":[]"#), "{}", n.status());
    }
    let calls = site.store.calls();
    // The next page of a listing of all that the operator wrote begins after the key of an order.
    let keys = |c: &str| c.split("&after=").next().unwrap().to_owned();
    assert!(
        !calls.iter().any(|c| keys(c).contains("rollout")),
        "{calls:?}"
    );
    site.add_node(2).wait_ready();
}
