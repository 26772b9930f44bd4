//! Targets of other services at the address of a target that has ended, at nodes of the `sidecar` command.

mod site_kit;
mod workdir;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use site_kit::capacity::{Capacity, WhenFull};
use site_kit::store::Faults;
use site_kit::target::ReceivedRequest;
use site_kit::{Node, Site, SERVICE};
use workdir::wait_until;

const OTHER_SERVICE: &str = "other";
const OTHER_TARGET: &str = "other-1";
/// Callers that send at the same time, more than the target has slots.
const CALLERS: usize = 20;
/// Requests of each caller that must end while the other target is at the address.
const REQUESTS_PER_CALLER: usize = 3;

/// Ends the target of a node. A target of another service, with another id, takes over its address.
fn replace_target(node: &Node) {
    node.stop_heartbeats();
    let mut s = node.target.state.lock().unwrap();
    s.id = OTHER_TARGET.into();
    s.service = OTHER_SERVICE;
    s.incarnation += 5000;
}

/// Ends the target of a node and closes its connections. Another target starts at its address before the node can count
/// the former one as dead because of missing heartbeats.
fn reuse_address(node: &Node, id: &str, service: &'static str) {
    node.target.end();
    node.target.start_another(id, service);
}

/// Sends 20 requests at each node. Returns the number of those with status 200.
fn send_requests(site: &Site) -> usize {
    let all = (0..20).flat_map(|_| &site.nodes);
    let sent = all.filter_map(|n| n.send("GET", "/safe/1"));
    sent.filter(|res| res.status == 200).count()
}

/// Requests that the target with this id ran at the address of the first node.
fn runs_by(site: &Site, id: &str) -> Vec<ReceivedRequest> {
    let received = site.nodes[0].target.received.lock().unwrap();
    received
        .iter()
        .filter(|r| r.target == id)
        .cloned()
        .collect()
}

/// Sends requests at all nodes for two seconds. Returns how many the target at the address of the first node ran.
fn runs_at_first(site: &Site) -> usize {
    let target = &site.nodes[0].target;
    target.received.lock().unwrap().clear();
    for _ in 1..20 {
        target.send_heartbeat(site.nodes[0].control);
        for n in &site.nodes {
            n.send("GET", "/safe/1");
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let received = target.received.lock().unwrap();
    received.iter().filter(|r| r.path.contains("safe")).count()
}

/// Guards against a node that takes a target of another service for its own, because it answers a health probe. The node
/// has made no probe before, since its target reported before the node knew the configuration.
#[test]
fn a_target_of_another_service_gets_no_requests() {
    let mut site = Site::empty();
    for i in 0..2 {
        site.add_node(i);
    }
    std::thread::sleep(Duration::from_secs(1));
    site.store.put_config(&site_kit::config(1, ""));
    site.nodes.iter().for_each(Node::wait_ready);
    site.wait_linked();
    replace_target(&site.nodes[0]);
    assert_eq!(runs_at_first(&site), 0);
}

/// Guards against the same at a node that restarts while the other target has the address, with or without other nodes
/// that remember the former one.
#[test]
fn a_target_of_another_service_gets_no_requests_after_a_restart() {
    for nodes in [1, 2] {
        let mut site = Site::start(nodes);
        let target = site.nodes[0].target.clone();
        replace_target(&site.nodes[0]);
        site.nodes[0].process.kill();
        site.nodes[0] = site.start_silent_node("n0", "az0", target);
        site.nodes[0].wait_ready();
        assert_eq!(runs_at_first(&site), 0);
    }
}

/// Guards against a true target that is found only by its next heartbeat after a restart of its node.
#[test]
fn a_known_target_is_found_by_a_probe() {
    let mut site = Site::start(2);
    let target = site.nodes[0].target.clone();
    site.nodes[0].stop_heartbeats();
    site.nodes[0].process.kill();
    site.nodes[0] = site.start_silent_node("n0", "az0", target);
    site.nodes[0].wait_ready();
    wait_until("the target is found", || {
        let s = site.nodes[0].status();
        s.contains("\"target\":\"i-0\"")
    });
    wait_until("a response of the target", || {
        site.nodes[0].send("GET", "/safe/1").unwrap();
        target_runs(&site) > 0
    });
}

fn target_runs(site: &Site) -> usize {
    site.nodes[0].target.received.lock().unwrap().len()
}

/// Guards against requests that a target of another service gets at a node that restarts when no other live node
/// remembers the former target.
#[test]
fn a_target_of_another_service_gets_no_requests_if_no_node_remembers_the_former_one() {
    let mut site = Site::start(2);
    let targets: Vec<_> = site.nodes.iter().map(|n| n.target.clone()).collect();
    reuse_address(&site.nodes[0], OTHER_TARGET, OTHER_SERVICE);
    site.nodes.iter_mut().for_each(|n| n.process.kill());
    site.nodes[1] = site.start_node("n1", "az1", targets[1].clone());
    site.nodes[1].wait_ready();
    site.nodes[0] = site.start_silent_node("n0", "az0", targets[0].clone());
    site.nodes[0].wait_ready();
    let line = site.nodes[0].process.wait_line("event=target_probed");
    assert!(line.contains(OTHER_TARGET), "{line}");
    wait_until("requests are served", || send_requests(&site) > 0);
    let refused = targets[0].send_heartbeat(site.nodes[0].control);
    assert_eq!(refused, Some(409));
    assert!(send_requests(&site) > 0);
    assert_eq!(runs_by(&site, OTHER_TARGET).len(), 0);
}

/// Guards against requests that a target of another service gets at a restarted node which receives its heartbeats before
/// it reaches the store or other nodes, or probes the target.
#[test]
fn heartbeats_of_another_service_that_come_first_are_refused() {
    for nodes in [1, 2] {
        let mut site = Site::start(nodes);
        let target = site.nodes[0].target.clone();
        reuse_address(&site.nodes[0], OTHER_TARGET, OTHER_SERVICE);
        site.nodes[0].process.kill();
        // Without the store the node knows neither the health path nor other nodes.
        site.store.set_faults(Faults {
            unavailable: true,
            ..Faults::default()
        });
        site.nodes[0] = site.start_silent_node("n0", "az0", target.clone());
        for _ in 0..5 {
            let refused = target.send_heartbeat(site.nodes[0].control);
            assert_eq!(refused, Some(409));
        }
        site.store.set_faults(Faults::default());
        site.nodes[0].wait_ready();
        let line = site.nodes[0].process.wait_line("event=target_probed");
        assert!(line.contains(OTHER_TARGET), "{line}");
        send_requests(&site);
        target.send_heartbeat(site.nodes[0].control);
        send_requests(&site);
        assert_eq!(runs_by(&site, OTHER_TARGET).len(), 0);
    }
}

/// Sends requests of 1 s from many callers while `f` runs. `ended` counts the responses.
fn under_load<F>(site: &Site, ended: &AtomicUsize, f: F)
where
    F: FnOnce(),
{
    struct Stop<'a>(&'a AtomicBool);
    impl Drop for Stop<'_> {
        fn drop(&mut self) {
            self.0.store(true, Ordering::SeqCst);
        }
    }
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for i in 0..CALLERS {
            let (caller, stop) = (site.nodes[i % site.nodes.len()].caller, &stop);
            let path = ["/safe/busy-1000", "/once/busy-1000"][i / 2 % 2];
            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    site_kit::send_to(caller, &site_kit::fresh_id(), "GET", path, "4000");
                    ended.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
        let _stop = Stop(&stop);
        f();
    });
}

/// Number of requests that run or wait at the target of a node.
fn queued(node: &Node) -> u64 {
    let status: serde_json::Value = serde_json::from_str(&node.status()).unwrap_or_default();
    status["queued"].as_u64().unwrap_or_default()
}

/// Guards against requests that run or wait for a slot when the target ends, and are then run by the other one.
#[test]
fn requests_in_flight_are_not_run_by_a_target_of_another_service() {
    for nodes in [1, 2] {
        let site = Site::start(nodes);
        let capacities: Vec<_> = site
            .nodes
            .iter()
            .map(|n| {
                let slots = n.target.state.lock().unwrap().slots as usize;
                let capacity = Arc::new(Capacity::new(slots, WhenFull::Reject));
                n.target.state.lock().unwrap().capacity = Some(capacity.clone());
                capacity
            })
            .collect();
        let (first, ended) = (&site.nodes[0], AtomicUsize::new(0));
        under_load(&site, &ended, || {
            let slots = capacities[0].slots;
            wait_until("running and waiting requests", || {
                let running = capacities[0].running.load(Ordering::SeqCst);
                running == slots && queued(first) > slots as u64
            });
            reuse_address(first, OTHER_TARGET, OTHER_SERVICE);
            first.process.wait_line("event=heartbeat_refused");
            ended.store(0, Ordering::SeqCst);
            wait_until("requests beside the other target", || {
                ended.load(Ordering::SeqCst) >= CALLERS * REQUESTS_PER_CALLER
            });
        });
        assert!(!runs_by(&site, "i-0").is_empty());
        assert_eq!(runs_by(&site, OTHER_TARGET).len(), 0);
    }
}

/// Guards against a target of the first service that is not found at an address that another one had in between, or that
/// gets requests for the earlier ones; the node has run all the time, or has restarted beside the other target.
#[test]
fn a_later_target_of_the_first_service_is_found() {
    const LATER: &str = "i-0-later";
    for restart in [false, true] {
        let mut site = Site::start(2);
        let target = site.nodes[0].target.clone();
        reuse_address(&site.nodes[0], OTHER_TARGET, OTHER_SERVICE);
        site.nodes[0].process.wait_line("event=heartbeat_refused");
        if restart {
            site.nodes[0].process.kill();
            site.nodes[0] = site.start_node("n0", "az0", target.clone());
            site.nodes[0].wait_ready();
            site.nodes[0].process.wait_line("event=heartbeat_refused");
        }
        send_requests(&site);
        reuse_address(&site.nodes[0], LATER, SERVICE);
        wait_until("the later target is found", || {
            let status = site.nodes[0].status();
            status.contains(&format!("\"target\":\"{LATER}\""))
        });
        wait_until("a response of the later target", || {
            send_requests(&site);
            !runs_by(&site, LATER).is_empty()
        });
        send_requests(&site);
        let runs = runs_by(&site, LATER);
        assert!(runs.iter().all(|r| r.expected_target == LATER), "{runs:?}");
        assert_eq!(runs_by(&site, OTHER_TARGET).len(), 0);
    }
}
