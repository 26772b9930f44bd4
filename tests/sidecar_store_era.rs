//! Nodes of the `sidecar` command while the store comes back from an older copy, with separate processes.

mod site_kit;
mod workdir;

use std::time::{Duration, Instant};

use site_kit::store::{FirstEra, KvServer};
use site_kit::{config, Node, Site, SERVICE};
use workdir::wait_until;

/// Time after which the links of new nodes have settled, and few nodes watch the store.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A configuration that serves `/added-N/` for each version N from 2 on.
fn added_config(version: u64) -> String {
    let route = |v: u64| {
        format!(
            r#",{{"name":"added-{v}","prefix":"/added-{v}/","route_type":"safe","timeout_ms":5000,"priority":1,"service":"{SERVICE}","retry_attempts":2}}"#
        )
    };
    config(version, &(2..=version).map(route).collect::<String>())
}

fn serves(node: &Node, version: u64) -> bool {
    let path = format!("/added-{version}/x");
    node.send("GET", &path).is_some_and(|r| r.status == 200)
}

fn wait_version(site: &Site, version: u64) {
    let all = || site.nodes.iter().all(|n| serves(n, version));
    wait_until(&format!("version {version} at all nodes"), all);
}

/// Guards against a watch that goes on from a revision of an earlier era: the store gives that revision out again, and
/// a version that it acknowledged after the drill never comes into force.
#[test]
fn a_version_arrives_although_the_store_gives_its_revision_out_again() {
    let site = Site::start(4);
    std::thread::sleep(SETTLE_TIME);
    let copy = site.store.store.save();
    site.store.put_config(&added_config(2));
    site.store.put_config(&added_config(3));
    wait_version(&site, 3);
    // The nodes wait for a moment before they watch on, so that no call is open in the drill.
    site.store.drill(copy);
    site.store.put_config(&added_config(3));
    site.store.put_config(&added_config(4));
    wait_version(&site, 4);
}

/// Key prefix of announced stops in the store.
const STOPS: &str = "dq/left/";

/// Makes the target of a node announce its stop, and waits until the store has it.
fn announce_stop(site: &Site, node: usize) {
    site.nodes[node].target.state.lock().unwrap().reported = "draining";
    wait_until("the stop is in the store", || {
        !site.store.keys(STOPS).is_empty()
    });
}

/// Guards against an announced stop that was acknowledged because the store had it, and that is gone with a drill: the next
/// process of the node would not know of it.
#[test]
fn a_stop_that_a_drill_lost_is_written_again() {
    lose_stop(FirstEra::default());
}

/// Guards against a first drill that is taken for the first response of the store, because the store counts its eras from
/// zero.
#[test]
fn a_stop_is_written_again_after_the_first_drill_of_a_store() {
    lose_stop(FirstEra(0));
}

fn lose_stop(first_era: FirstEra) {
    let mut site = Site::empty();
    site.store = KvServer::start_in(first_era);
    site.store.put_config(&config(1, ""));
    for i in 0..3 {
        site.add_node(i);
    }
    site.nodes.iter().for_each(Node::wait_ready);
    site.wait_linked();
    let copy = site.store.store.save();
    announce_stop(&site, 0);
    site.store.drill(copy);
    assert!(site.store.keys(STOPS).is_empty());
    wait_until("the stop is in the store again", || {
        !site.store.keys(STOPS).is_empty()
    });
}

/// Time for all nodes to write again what a drill lost; less than the interval at which most nodes renew their leases.
const REWRITE_TIME: Duration = Duration::from_secs(8);

/// Guards against nodes that hear of a drill only when they renew their leases the next time: nodes that start meanwhile
/// do not find them.
#[test]
fn all_nodes_register_again_soon_after_a_drill() {
    let mut site = Site::empty();
    site.store.put_config(&config(1, ""));
    let copy = site.store.store.save();
    for i in 0..5 {
        site.add_node(i);
    }
    site.nodes.iter().for_each(Node::wait_ready);
    site.wait_linked();
    // By then three nodes watch the store, and the others call it rarely.
    std::thread::sleep(Duration::from_secs(9));
    // The connections stay open, so that no other nodes begin to watch.
    site.store.store.restore(copy);
    let start = Instant::now();
    wait_until("all nodes are registered", || {
        site.store.keys("dq/node/").len() == 5
    });
    assert!(start.elapsed() < REWRITE_TIME, "{:?}", start.elapsed());
}
