//! Tests of the policies of links between sidecar nodes, with a simulated clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dragonflyquay::sidecar::connection::transit::TransitDelay;
use dragonflyquay::sidecar::process::fleet::watchers::{
    must_watch, WatcherCandidate, WATCHER_COUNT,
};
use dragonflyquay::sidecar::version::distribution::{pause_after, sources, FAN_OUT};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against a delay that includes the difference between two clocks, and against one that is not seen.
#[test]
fn delays_are_relative_to_the_shortest_transit() {
    for offset in [0, 5_000_000] {
        let mut t = TransitDelay::default();
        let sent = |at: u64| at + offset;
        assert_eq!(t.record(sent(100), ms(7_102)), ms(0));
        assert_eq!(t.record(sent(200), ms(7_201)), ms(0));
        assert_eq!(t.record(sent(300), ms(8_401)), ms(1_100));
        assert_eq!(t.record(sent(400), ms(8_501)), ms(1_100));
        assert_eq!(t.record(sent(1_600), ms(8_602)), ms(1));
    }
}

/// Guards against requests that are rejected for ever after the clock of the sender fell behind or jumped, and against
/// an overflow by a hostile time.
#[test]
fn a_jump_of_a_clock_is_forgotten() {
    let mut t = TransitDelay::default();
    t.record(10_000, ms(10_000));
    assert_eq!(t.record(10_000, ms(13_000)), ms(3_000));
    t.reset();
    assert_eq!(t.record(10_100, ms(13_100)), ms(0));
    let mut t = TransitDelay::default();
    t.record(10_000, ms(10_000));
    let delays = (1..=70).map(|s| t.record(7_000 + s * 1000, ms(10_000 + s * 1000)));
    assert_eq!(delays.last(), Some(ms(0)));
    let mut t = TransitDelay::default();
    t.record(u64::MAX, Duration::MAX);
    t.record(0, Duration::MAX);
    t.record(u64::MAX, ms(0));
}

fn fleet(nodes: u32, wide: u32) -> Vec<WatcherCandidate> {
    let candidate = |i| WatcherCandidate {
        node: format!("n{i}").into(),
        az: format!("az{}", i % 4).into(),
        link_mbps: if i < wide { 140 } else { 7 },
        reaches_store: true,
    };
    (0..nodes).map(candidate).collect()
}

/// Guards against a new version that a few nodes send to the whole fleet, which fills their links for seconds, and
/// against nodes that nobody sends it to.
#[test]
fn a_version_spreads_over_a_tree() {
    for (nodes, wide) in [(1, 0), (3, 0), (12, 0), (83, 10), (295, 40)] {
        let all = fleet(nodes, wide);
        let mut children: BTreeMap<String, usize> = BTreeMap::new();
        let mut roots = BTreeSet::new();
        for own in &all {
            let linked: Vec<_> = all.iter().filter(|c| c.node != own.node).cloned().collect();
            let path = sources(own, &linked);
            match path.first() {
                Some(parent) => *children.entry(parent.to_string()).or_default() += 1,
                None => {
                    roots.insert(own.node.clone());
                    assert!(
                        must_watch(own, &linked, Duration::ZERO),
                        "a root gets it from the store"
                    );
                }
            }
            assert!(!path.contains(&own.node));
            assert!(path.len() <= 5, "{nodes} nodes: {} levels", path.len());
        }
        assert_eq!(roots.len(), WATCHER_COUNT.min(all.len()));
        assert!(children.values().all(|n| *n <= FAN_OUT), "{children:?}");
        if wide >= 10 {
            let wide_roots = roots.iter().all(|r| {
                let root = all.iter().find(|c| c.node == *r);
                root.is_some_and(|c| c.link_mbps == 140)
            });
            assert!(wide_roots, "nodes with wide links get it first");
        }
    }
}

/// Guards against versions that use the whole link, and against a pause without end.
#[test]
fn versions_use_half_of_the_link() {
    assert_eq!(pause_after(43_750, 7.0), ms(100));
    assert_eq!(pause_after(0, 7.0), ms(0));
    assert_eq!(pause_after(1, 0.0), ms(0));
}
