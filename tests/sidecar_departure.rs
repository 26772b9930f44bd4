//! Stops of targets that a node of the `sidecar` command acknowledged, and what becomes of them when the node ends.

mod site_kit;
mod workdir;

use std::sync::Arc;
use std::time::Duration;

use site_kit::store::Faults;
use site_kit::target::Target;
use site_kit::{Node, Site, SERVICE};
use workdir::{http_json, wait_until};

const UNAVAILABLE: Faults = Faults {
    unavailable: true,
    unresponsive: false,
    lost_write_responses: 0,
    compacted: false,
};
const UNRESPONSIVE: Faults = Faults {
    unavailable: false,
    unresponsive: true,
    ..UNAVAILABLE
};

/// Announces the stop of the target of a node. Returns the status of the response.
fn announce_stop(node: &Node) -> Option<u16> {
    let path = format!("/api/instances/{}", node.target.state.lock().unwrap().id);
    let born = node.target.state.lock().unwrap().incarnation;
    let body = format!(r#"{{"born":{born}}}"#);
    http_json(node.control, "DELETE", &path, &body).map(|res| res.status)
}

/// Kills a node and starts it again beside its target, which goes on.
fn restart(site: &mut Site, i: usize) {
    let target = site.nodes[i].target.clone();
    site.nodes[i].stop_heartbeats();
    site.nodes[i].process.kill();
    site.nodes[i] = site.start_node(&format!("n{i}"), &format!("az{i}"), target);
}

/// Sends requests at all nodes for a while. Returns how many of them the target ran.
fn requests_at(site: &Site, target: &Arc<Target>) -> usize {
    target.received.lock().unwrap().clear();
    for _ in 0..20 {
        for n in &site.nodes {
            n.send("GET", "/safe/1");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let received = target.received.lock().unwrap();
    received
        .iter()
        .filter(|r| r.path.contains("/safe/"))
        .count()
}

fn stop_survives_the_node(faults: Faults) {
    let mut site = Site::start(3);
    let target = site.nodes[0].target.clone();
    site.store.set_faults(faults);
    site.nodes[0].stop_heartbeats();
    assert_eq!(announce_stop(&site.nodes[0]), Some(200));
    // The heartbeats that the new process gets are late: the target sent them before it announced its stop.
    restart(&mut site, 0);
    std::thread::sleep(Duration::from_millis(500));
    site.store.set_faults(Faults::default());
    site.nodes[0].wait_ready();
    site.wait_linked();
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(requests_at(&site, &target), 0);
    // A new lifetime of the target gets requests soon, also under the same id.
    target.state.lock().unwrap().incarnation += 1000;
    wait_until("requests at the new lifetime", || {
        requests_at(&site, &target) > 0
    });
}

/// Guards against an acknowledged stop that is forgotten with the process of the node, because the store did not take it.
#[test]
fn an_acknowledged_stop_survives_the_node_while_the_store_is_unavailable() {
    stop_survives_the_node(UNAVAILABLE);
}

/// Guards against the same with a store that does not respond at all.
#[test]
fn an_acknowledged_stop_survives_the_node_while_the_store_is_unresponsive() {
    stop_survives_the_node(UNRESPONSIVE);
}

/// Guards against an acknowledgement that nothing stands behind: neither the store nor another node knows of the stop.
#[test]
fn a_stop_that_cannot_be_kept_is_not_acknowledged() {
    let site = Site::start(1);
    site.store.set_faults(UNAVAILABLE);
    assert_eq!(announce_stop(&site.nodes[0]), Some(503));
    site.store.set_faults(Faults::default());
    // The write is tried until it is in, although the target may not ask again.
    wait_until("the stop in the store", || {
        !site.store.keys("dq/left/i-0").is_empty()
    });
    assert_eq!(announce_stop(&site.nodes[0]), Some(200));
}

/// Guards against a stop that only other nodes know of, after the store is back.
#[test]
fn a_stop_is_written_when_the_store_is_back() {
    let site = Site::start(2);
    site.store.set_faults(UNAVAILABLE);
    assert_eq!(announce_stop(&site.nodes[0]), Some(200));
    assert!(site.store.keys("dq/left/").is_empty());
    site.store.set_faults(Faults::default());
    wait_until("the stop in the store", || {
        !site.store.keys("dq/left/i-0").is_empty()
    });
}

/// Guards against an acknowledged stop that is not written to the store, because another target of the same VM announces its
/// stop before the store is back.
#[test]
fn the_stops_of_successive_targets_are_all_written() {
    let site = Site::start(3);
    site.store.set_faults(UNAVAILABLE);
    assert_eq!(announce_stop(&site.nodes[0]), Some(200));
    let target = &site.nodes[0].target;
    target.end();
    target.start_another("i-next", SERVICE);
    wait_until("the next target", || {
        site.nodes[0].status().contains("\"target\":\"i-next\"")
    });
    assert_eq!(announce_stop(&site.nodes[0]), Some(200));
    assert!(site.store.keys("dq/left/").is_empty());
    site.store.set_faults(Faults::default());
    wait_until("both stops in the store", || {
        site.store.keys("dq/left/") == ["dq/left/i-0", "dq/left/i-next"]
    });
}

/// What a node knows of the targets of its VM when one of them announces its stop.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Known {
    Nothing,
    AnotherTarget,
    EarlierIncarnation,
}

/// Starts a target in the place of that of the first node, which has received no heartbeat of it.
fn start_unheard_target(site: &mut Site, known: Known) {
    let target = site.nodes[0].target.clone();
    site.nodes[0].stop_heartbeats();
    // A heartbeat may be on its way.
    std::thread::sleep(Duration::from_millis(400));
    target.end();
    match known {
        Known::EarlierIncarnation => target.start_another("i-0", SERVICE),
        Known::Nothing | Known::AnotherTarget => target.start_another("i-unheard", SERVICE),
    }
    if known == Known::Nothing {
        site.nodes[0].process.kill();
        site.nodes[0] = site.start_silent_node("n0", "az0", target);
        site.nodes[0].wait_ready();
    }
}

/// Guards against a stop that is acknowledged and forgotten, because the target's node has not received a heartbeat of it:
/// a late heartbeat then brings the target requests.
#[test]
fn an_acknowledged_stop_binds_a_target_that_was_not_heard_of() {
    for known in [
        Known::Nothing,
        Known::AnotherTarget,
        Known::EarlierIncarnation,
    ] {
        let mut site = Site::start(2);
        start_unheard_target(&mut site, known);
        let target = site.nodes[0].target.clone();
        assert_eq!(announce_stop(&site.nodes[0]), Some(200));
        // An earlier incarnation, which the node took for the one that leaves, accepts requests for a moment.
        std::thread::sleep(Duration::from_millis(1200));
        target.send_heartbeat(site.nodes[0].control);
        assert_eq!(requests_at(&site, &target), 0, "{known:?}");
        restart(&mut site, 0);
        site.nodes[0].wait_ready();
        std::thread::sleep(Duration::from_secs(1));
        assert_eq!(requests_at(&site, &target), 0, "{known:?}, restarted");
        target.state.lock().unwrap().incarnation += 1000;
        wait_until("requests at the new lifetime", || {
            requests_at(&site, &target) > 0
        });
    }
}

/// Guards against such a stop that only the store knows of, and that a new process of the node does not while the store is
/// away.
#[test]
fn other_nodes_remember_the_stop_of_a_target_that_was_not_heard_of() {
    let mut site = Site::start(2);
    start_unheard_target(&mut site, Known::AnotherTarget);
    let target = site.nodes[0].target.clone();
    assert_eq!(announce_stop(&site.nodes[0]), Some(200));
    site.store.set_faults(UNAVAILABLE);
    site.nodes[0].process.kill();
    site.nodes[0] = site.start_silent_again("n0", "az0", &site.nodes[0]);
    wait_until("the link to the new process", || {
        site.nodes[1].status().contains("\"links\":1")
    });
    // Several heartbeats are late.
    for _ in 0..10 {
        target.send_heartbeat(site.nodes[0].control);
        assert_eq!(requests_at(&site, &target), 0);
    }
}

/// Guards against a stop that a new process of the node forgets, because the store lists more stops of other nodes than a node
/// remembers.
#[test]
fn the_stops_of_many_other_nodes_displace_no_own_one() {
    let mut site = Site::start(1);
    let target = site.nodes[0].target.clone();
    site.nodes[0].stop_heartbeats();
    assert_eq!(announce_stop(&site.nodes[0]), Some(200));
    for i in 0..200 {
        site.store.put(&format!("dq/left/other-{i}"), b"1000");
    }
    restart(&mut site, 0);
    site.nodes[0].wait_ready();
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(requests_at(&site, &target), 0);
    target.state.lock().unwrap().incarnation += 1000;
    wait_until("requests at the new lifetime", || {
        requests_at(&site, &target) > 0
    });
}

/// Guards against good targets that get no requests after a restart of their node, because it waits for a confirmation
/// that they do not leave.
#[test]
fn a_good_target_is_used_soon_after_a_restart_of_its_node() {
    let mut site = Site::start(2);
    for _ in 0..3 {
        restart(&mut site, 0);
        site.nodes[0].wait_ready();
        let target = site.nodes[0].target.clone();
        wait_until("requests at the target", || requests_at(&site, &target) > 0);
    }
}
