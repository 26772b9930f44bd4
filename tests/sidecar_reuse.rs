//! Targets of other services at the address of a target that has ended, at nodes of the `sidecar` command.

mod site_kit;
mod workdir;

use std::time::Duration;

use site_kit::{Node, Site};
use workdir::{http_json, wait_until};

const OTHER_SERVICE: &str = "other";

/// Ends the target of a node. A target of another service, with another id, takes over its address.
fn replace_target(node: &Node) {
    node.stop_heartbeats();
    let mut s = node.target.state.lock().unwrap();
    s.id = "other-1".into();
    s.incarnation += 5000;
}

/// Sends a heartbeat of the other target.
fn send_other_heartbeat(node: &Node, seq: u64) -> Option<u16> {
    let born = node.target.state.lock().unwrap().incarnation;
    let body = format!(
        r#"{{"service":"{OTHER_SERVICE}","address":"{}","zone":"az","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"seq":{seq},"born":{born}}}"#,
        node.target.address
    );
    let path = "/api/instances/other-1";
    http_json(node.control, "PUT", path, &body).map(|res| res.status)
}

/// Sends requests at all nodes for two seconds. Returns how many the target at the address of the first node ran.
fn runs_at_first(site: &Site) -> usize {
    let target = &site.nodes[0].target;
    target.received.lock().unwrap().clear();
    for seq in 1..20 {
        send_other_heartbeat(&site.nodes[0], seq);
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
