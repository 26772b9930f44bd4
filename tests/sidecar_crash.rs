//! Requests that crash the targets that run them, at nodes of the `sidecar` command.

mod peer_kit;
mod site_kit;
mod workdir;

use std::time::Duration;

use peer_kit::{Behavior, Peer};
use site_kit::{Node, Site};
use workdir::{http, wait_until};

const NODES: usize = 5;
/// Number of targets that a request may crash before it counts as the cause.
const MAX_CRASHES: usize = 3;

/// Runs of requests with this text in their path, at all targets.
fn runs(site: &Site, text: &str) -> usize {
    let count = |n: &Node| {
        let received = n.target.received.lock().unwrap();
        received.iter().filter(|r| r.path.contains(text)).count()
    };
    site.nodes.iter().map(count).sum()
}

/// Waits until all targets have started again and are used.
fn wait_up(site: &Site) {
    for n in &site.nodes {
        wait_until("the target is up", || !n.target.state.lock().unwrap().down);
    }
    // The next heartbeats.
    std::thread::sleep(Duration::from_millis(700));
}

fn serve_healthy(site: &Site) {
    for n in &site.nodes {
        for _ in 0..4 {
            assert_eq!(n.send("GET", "/safe/healthy").unwrap().status, 200);
        }
    }
}

/// Guards against a request that crashes targets each time that it comes: it is known by what it is, at all nodes, while
/// other requests of its route are served.
#[test]
fn a_crashing_request_is_not_retried_at_any_node() {
    let site = Site::start(NODES);
    serve_healthy(&site);
    for i in 0..6 {
        site.nodes[i % NODES].send("GET", "/safe/poison?q=1");
        wait_up(&site);
        serve_healthy(&site);
    }
    let crashes = runs(&site, "poison");
    assert!(crashes <= MAX_CRASHES + 1, "{crashes} crashes");
    let res = site.nodes[0].send("GET", "/safe/poison?q=1").unwrap();
    assert_eq!(res.status, 503);
    assert_eq!(runs(&site, "poison"), crashes, "status 503: it has not run");
    // Another request of the route is another request, although it may crash targets as well.
    site.nodes[0].send("GET", "/safe/poison?q=2");
    assert!(runs(&site, "poison") > crashes);
}

/// Guards against requests that are not idempotent and crash targets: they are never retried, but they come again.
#[test]
fn a_crashing_request_that_is_not_idempotent_is_rejected() {
    let site = Site::start(NODES);
    for i in 0..6 {
        site.nodes[i % NODES].send("POST", "/once/poison");
        wait_up(&site);
        // Crashes at the same time count once.
        std::thread::sleep(Duration::from_millis(500));
    }
    let crashes = runs(&site, "poison");
    assert!(crashes <= MAX_CRASHES + 1, "{crashes} crashes");
}

/// Guards against healthy requests that are rejected because targets ended while they ran, for another reason. All have
/// the same content.
#[test]
fn requests_are_served_after_targets_end_for_other_reasons() {
    let site = Site::start(NODES);
    for i in 0..6 {
        let crashing = &site.nodes[i % NODES].target;
        std::thread::scope(|s| {
            for n in &site.nodes {
                let caller = n.caller;
                s.spawn(move || {
                    for _ in 0..3 {
                        let id = site_kit::fresh_id();
                        let headers = [
                            ("dragonflyquay-request-id", id.as_str()),
                            ("dragonflyquay-deadline-ms", "4000"),
                            ("host", site_kit::HOST),
                        ];
                        http(caller, "GET", "/safe/slow", &headers, "");
                    }
                });
            }
            std::thread::sleep(Duration::from_millis(200));
            crashing.crash();
        });
        wait_up(&site);
        for n in &site.nodes {
            assert_eq!(n.send("GET", "/safe/slow").unwrap().status, 200);
        }
    }
}

/// Crashes targets with a request until it counts as the cause.
fn crash_until_known(site: &Site) {
    for n in &site.nodes {
        n.send("GET", "/safe/poison?q=1");
        wait_up(site);
    }
    let crashes = runs(site, "poison");
    assert!(crashes >= MAX_CRASHES, "{crashes} crashes");
}

/// Sends the crashing request at all nodes: it is rejected, or runs at one target if the time of that has passed.
fn assert_not_retried(site: &Site) {
    for n in &site.nodes {
        let before = runs(site, "poison");
        let res = n.send("GET", "/safe/poison?q=1").unwrap();
        match runs(site, "poison") - before {
            0 => assert_eq!(res.status, 503),
            1 => assert_eq!(res.status, 502),
            more => panic!("{more} targets"),
        }
        wait_up(site);
    }
}

/// Ends the process of a node, by a planned stop or not, and starts it again beside its target.
fn restart(site: &mut Site, i: usize, planned: bool) {
    let target = site.nodes[i].target.clone();
    site.nodes[i].stop_heartbeats();
    if planned {
        site.nodes[i].process.signal("TERM");
        site.nodes[i].process.wait();
    } else {
        site.nodes[i].process.kill();
    }
    site.nodes[i] = site.start_node(&format!("n{i}"), &format!("az{i}"), target);
    site.nodes[i].wait_ready();
    site.wait_linked();
}

/// Guards against a crashing request that is retried again when all nodes have been restarted in turn, or at a node that was
/// added later.
#[test]
fn a_crashing_request_is_known_after_restarts_of_all_nodes() {
    for planned in [false, true] {
        let mut site = Site::start(3);
        crash_until_known(&site);
        for i in 0..3 {
            restart(&mut site, i, planned);
        }
        site.add_node(3).wait_ready();
        site.wait_linked();
        assert_not_retried(&site);
        serve_healthy(&site);
    }
}

/// Guards against a crashing request that nobody knows any more after all nodes have ended together, and against one that
/// stays known although it was served since.
#[test]
fn a_crashing_request_is_known_after_all_nodes_ended_together() {
    let mut site = Site::start(2);
    crash_until_known(&site);
    let stored = |site: &Site| !site.store.keys("dq/crash/").is_empty();
    wait_until("the request in the store", || stored(&site));
    let targets: Vec<_> = site.nodes.iter().map(|n| n.target.clone()).collect();
    for n in &mut site.nodes {
        n.stop_heartbeats();
        n.process.kill();
    }
    site.nodes.clear();
    for (i, target) in targets.into_iter().enumerate() {
        let node = site.start_node(&format!("n{i}"), &format!("az{i}"), target);
        site.nodes.push(node);
    }
    site.nodes.iter().for_each(Node::wait_ready);
    site.wait_linked();
    assert_not_retried(&site);
    let set_failing = |failing| {
        for n in &site.nodes {
            n.target.state.lock().unwrap().failing = failing;
        }
    };
    // A response of a target shows that it does not crash it any more.
    set_failing(true);
    wait_until("the request is served", || {
        site.nodes[0]
            .send("GET", "/safe/poison?q=1")
            .unwrap()
            .status
            == 500
    });
    wait_until("the request is not in the store", || !stored(&site));
}

/// Guards against a crashing request that the store loses when it comes back from an older copy: after all nodes have ended
/// nobody would know it.
#[test]
fn a_crashing_request_that_a_drill_lost_is_written_again() {
    let site = Site::start(2);
    let copy = site.store.store.save();
    crash_until_known(&site);
    let stored = || !site.store.keys("dq/crash/").is_empty();
    wait_until("the request in the store", stored);
    site.store.drill(copy);
    assert!(!stored());
    wait_until("the request in the store again", stored);
}

/// Guards against a node that has just started, and sends a request that was lost at one target to another before it knows
/// whether it is one that crashes targets.
#[test]
fn lost_requests_are_not_retried_before_other_nodes_have_told_what_they_know() {
    let mut site = Site::empty();
    site.store.put_config(&site_kit::config(1, ""));
    let behavior = Behavior {
        status: None,
        informs: false,
    };
    let peers = ["a", "b"].map(|name| Peer::start(&site, name, behavior));
    let sent = || peers.iter().map(Peer::request_count).sum::<usize>();
    site.add_node(0);
    let n = &site.nodes[0];
    // Only the targets of the peers take requests.
    n.target.state.lock().unwrap().reported = "draining";
    n.wait_ready();
    wait_until("requests at the peers", || {
        n.send("GET", "/safe/x");
        sent() > 0
    });
    for _ in 0..5 {
        let before = sent();
        assert_eq!(n.send("GET", "/safe/x").unwrap().status, 502);
        assert_eq!(sent() - before, 1);
    }
    peers[0].set_behavior(Behavior {
        informs: true,
        ..behavior
    });
    wait_until("a retry", || {
        let before = sent();
        n.send("GET", "/safe/x");
        sent() - before == 2
    });
}
