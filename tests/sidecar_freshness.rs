//! Time until a configuration version is in force at nodes of the `sidecar` command that are themselves undisturbed, while
//! the nodes from which they get versions fail.

mod site_kit;
mod workdir;

use std::time::{Duration, Instant};

use site_kit::store::{Entrance, Faults};
use site_kit::{config, Node, Site, SERVICE};
use workdir::wait_until;

/// Time after the write of a version within which undisturbed nodes must serve by it.
const APPLY_TIME: Duration = Duration::from_secs(2);
const NODES: usize = 7;

/// Version 2, which adds the route `/fresh/`.
fn next_config() -> String {
    let route = format!(
        r#",{{"name":"fresh","prefix":"/fresh/","route_type":"safe","timeout_ms":5000,"priority":1,"service":"{SERVICE}","retry_attempts":2}}"#
    );
    config(2, &route)
}

/// A site in which each node reaches the store by an address of its own.
fn start_site() -> (Site, Vec<Entrance>) {
    let mut site = Site::empty();
    site.store.put_config(&config(1, ""));
    let entrances: Vec<_> = (0..NODES).map(|_| site.store.add_entrance()).collect();
    for (i, entrance) in entrances.iter().enumerate() {
        site.add_node_at(i, entrance);
    }
    site.nodes.iter().for_each(Node::wait_ready);
    site.wait_linked();
    (site, entrances)
}

/// Which nodes watch the store, according to their logs.
struct Watchers([bool; NODES]);

impl Watchers {
    /// Waits until the nodes have settled on three watchers.
    fn settled(site: &Site) -> Self {
        let mut watchers = Self([false; NODES]);
        // Nodes that watched while their links were opening stop when their watch ends.
        std::thread::sleep(Duration::from_secs(7));
        wait_until("three watchers", || watchers.update(site).len() == 3);
        watchers
    }

    /// Reads what the nodes have logged since the last call. Returns the indices of the watchers.
    fn update(&mut self, site: &Site) -> Vec<usize> {
        for (watches, node) in self.0.iter_mut().zip(&site.nodes) {
            let lines = node.process.lines();
            if let Some(last) = lines.iter().rfind(|l| l.contains("event=watching")) {
                *watches = last.contains("fresh=true");
            }
        }
        (0..NODES).filter(|i| self.0[*i]).collect()
    }
}

/// Writes version 2, and returns for each of the nodes how long it takes until the node serves by it.
fn time_to_apply(site: &Site, nodes: &[usize]) -> Vec<Duration> {
    let start = Instant::now();
    site.store.put_config(&next_config());
    let mut times = vec![None; nodes.len()];
    wait_until("the route of version 2 at all nodes", || {
        for (i, time) in nodes.iter().zip(&mut times) {
            let serves = || {
                site.nodes[*i]
                    .send("GET", "/fresh/1")
                    .is_some_and(|r| r.status == 200)
            };
            if time.is_none() && serves() {
                *time = Some(start.elapsed());
            }
        }
        times.iter().all(Option::is_some)
    });
    times.into_iter().flatten().collect()
}

fn others(of: &[usize]) -> Vec<usize> {
    (0..NODES).filter(|i| !of.contains(i)).collect()
}

fn assert_applied_in_time(times: &[Duration]) {
    assert!(times.iter().all(|t| *t < APPLY_TIME), "{times:?}");
}

/// Guards against nodes that keep an old version when all nodes that watch the store fall silent while their links are
/// idle, so that no request reveals it.
#[test]
fn a_version_arrives_although_all_watchers_fall_silent() {
    let (site, _) = start_site();
    let silent = Watchers::settled(&site).update(&site);
    for i in &silent {
        site.nodes[*i].process.signal("STOP");
    }
    let times = time_to_apply(&site, &others(&silent));
    for i in &silent {
        site.nodes[*i].process.signal("CONT");
    }
    assert_applied_in_time(&times);
}

/// Guards against watchers that say that they reach the store although their calls get no response: no other node takes
/// over until their watch calls time out.
#[test]
fn a_version_arrives_although_all_watchers_are_cut_off_from_the_store() {
    let (site, entrances) = start_site();
    let cut = Watchers::settled(&site).update(&site);
    for i in &cut {
        entrances[*i].set_faults(Faults {
            unresponsive: true,
            ..Faults::default()
        });
    }
    let times = time_to_apply(&site, &others(&cut));
    assert_applied_in_time(&times);
}

/// Guards against nodes that lose their source of versions one after the other: each time the source is found anew in
/// time for the next version.
#[test]
fn a_version_arrives_after_watchers_fell_silent_one_by_one() {
    let (site, _) = start_site();
    let mut watchers = Watchers::settled(&site);
    let mut silent = watchers.update(&site);
    for i in &silent {
        site.nodes[*i].process.signal("STOP");
        std::thread::sleep(Duration::from_millis(700));
    }
    // The next one is a node that took over.
    let mut taken_over = || {
        let current = watchers.update(&site);
        current.into_iter().find(|i| !silent.contains(i))
    };
    wait_until("another watcher", || taken_over().is_some());
    let next = taken_over().unwrap();
    site.nodes[next].process.signal("STOP");
    silent.push(next);
    let times = time_to_apply(&site, &others(&silent));
    for i in &silent {
        site.nodes[*i].process.signal("CONT");
    }
    assert_applied_in_time(&times);
}
