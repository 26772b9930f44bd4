//! Tests of the policies that keep the configuration version of a fleet current: which nodes watch the store, whom a node
//! asks, and from whom it requests a version. Events and times are explicit.

use std::collections::BTreeSet;
use std::time::Duration;

use dragonflyquay::sidecar::process::fleet::watchers::{
    must_watch, sort_watchers, WatcherCandidate, MAX_CANDIDATES, TURN_DURATION, WATCHER_COUNT,
};
use dragonflyquay::sidecar::version::distribution::sources;
use dragonflyquay::sidecar::version::freshness::{FreshnessLimits, PeerFreshness};

const APPLY_TIME: Duration = Duration::from_secs(2);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Nodes in `zones` zones with links of the same width. None reaches the store.
fn fleet(nodes: usize, zones: usize) -> Vec<WatcherCandidate> {
    let candidate = |i: usize| WatcherCandidate {
        node: format!("n{i}").into(),
        az: format!("az{}", i % zones).into(),
        link_mbps: 100,
        reaches_store: false,
    };
    (0..nodes).map(candidate).collect()
}

fn others(all: &[WatcherCandidate], own: &WatcherCandidate) -> Vec<WatcherCandidate> {
    all.iter().filter(|c| c.node != own.node).cloned().collect()
}

/// Indices of the nodes that must watch.
fn watching(all: &[WatcherCandidate], unconfirmed: Duration) -> Vec<usize> {
    let must = |i: &usize| must_watch(&all[*i], &others(all, &all[*i]), unconfirmed);
    (0..all.len()).filter(must).collect()
}

/// Guards against watchers that are all in one availability zone, so that the loss of the zone leaves none.
#[test]
fn watchers_are_in_different_zones() {
    for zones in 1..7 {
        let all = fleet(60, zones);
        let mut order: Vec<_> = all.iter().collect();
        sort_watchers(&mut order);
        let first: BTreeSet<_> = order[..WATCHER_COUNT].iter().map(|c| &c.az).collect();
        assert_eq!(first.len(), WATCHER_COUNT.min(zones));
        assert_eq!(order.len(), all.len());
    }
}

/// Guards against nodes with a narrow link that watch because of their zone.
#[test]
fn watchers_have_wide_links() {
    let mut all = fleet(60, 6);
    all.iter_mut()
        .skip(3)
        .step_by(6)
        .for_each(|c| c.link_mbps = 1000);
    let mut order: Vec<_> = all.iter().collect();
    sort_watchers(&mut order);
    assert!(order[..10].iter().all(|c| c.link_mbps == 1000));
}

/// Guards against a fleet in which only nodes try the store that cannot reach it, although others could.
#[test]
fn every_node_tries_the_store_in_turn() {
    let all = fleet(100, 4);
    let mut tried = BTreeSet::new();
    for turn in 0..100_u32.div_ceil(MAX_CANDIDATES as u32) + 1 {
        let trying = watching(&all, TURN_DURATION * turn);
        assert!(trying.len() <= 2 * MAX_CANDIDATES, "the load stays bounded");
        tried.extend(trying);
    }
    assert_eq!(tried.len(), all.len());
}

/// Guards against a node that gives up watching, although it alone has found a way to the store.
#[test]
fn a_node_that_reaches_the_store_goes_on() {
    let mut all = fleet(100, 4);
    let mut order: Vec<_> = all.iter().collect();
    sort_watchers(&mut order);
    let last = order[99].node.clone();
    let own = all.iter().position(|c| c.node == last).unwrap();
    all[own].reaches_store = true;
    assert!(watching(&all, ms(0)).contains(&own));
}

/// Guards against versions that are requested from nodes that cannot reach the store, and have to wait for them
/// themselves.
#[test]
fn versions_come_from_nodes_that_reach_the_store() {
    let mut all = fleet(40, 4);
    let mut order: Vec<_> = all.iter().collect();
    sort_watchers(&mut order);
    let new: Vec<_> = order[WATCHER_COUNT..2 * WATCHER_COUNT]
        .iter()
        .map(|c| c.node.clone())
        .collect();
    all.iter_mut()
        .filter(|c| new.contains(&c.node))
        .for_each(|c| c.reaches_store = true);
    for own in &all {
        let root = sources(own, &others(&all, own)).last().cloned();
        assert!(root.unwrap_or(own.node.clone()) != own.node || new.contains(&own.node));
        let root = sources(own, &others(&all, own)).last().cloned();
        assert!(root.is_none_or(|r| new.contains(&r)));
    }
}

/// Guards against a peer that is relied on although it does not answer, or although its own version is unconfirmed.
#[test]
fn a_silent_or_outdated_peer_is_not_relied_on() {
    let limits = FreshnessLimits::new(APPLY_TIME);
    let (timeout, max_age) = (limits.answer_timeout, limits.max_age);
    let mut peer = PeerFreshness::default();
    assert!(peer.is_reliable(ms(60_000), timeout), "it was not asked");
    assert!(peer.ask(ms(1000)));
    assert!(!peer.ask(ms(1100)), "one question at a time");
    assert!(peer.is_reliable(ms(1000) + timeout - ms(1), timeout));
    assert!(!peer.is_reliable(ms(1000) + timeout, timeout));
    peer.on_message(ms(1200));
    assert!(
        peer.is_reliable(ms(1000) + timeout, timeout),
        "it is only slow"
    );
    assert!(peer.is_silent(ms(1200) + timeout, timeout));
    // The answer was given at some time after the question, so its age counts from there.
    assert_eq!(peer.on_answer(Some(ms(300)), max_age), Some(ms(700)));
    assert!(peer.is_reliable(ms(9000), timeout));
    assert_eq!(peer.on_answer(Some(ms(1)), max_age), None, "not asked for");
    peer.ask(ms(2000));
    peer.on_answer(Some(max_age + ms(1)), max_age);
    assert!(!peer.is_reliable(ms(2000), timeout), "outdated");
    peer.on_reaches_store();
    assert!(peer.is_reliable(ms(2000), timeout));
    peer.ask(ms(3000));
    assert_eq!(peer.on_answer(None, max_age), None);
    assert!(!peer.is_reliable(ms(3000), timeout), "never confirmed");
}

/// Guards against limits with which a failed source is replaced too late for a version to be in force in time.
#[test]
fn a_failed_source_is_replaced_in_time() {
    for apply_ms in [1000, 2000, 3000] {
        let l = FreshnessLimits::new(ms(apply_ms));
        // The longest interval, then the questions to the nearest watcher and to all.
        let silent_peer = l.interval * 6 / 5 + l.answer_timeout * 2;
        // A renewal that gets no response, and a second one after the longest first back-off.
        let silent_store = l.interval + l.store_timeout * 2 + l.retry_delay * 6 / 5;
        assert!(silent_peer < ms(apply_ms) * 3 / 5);
        assert!(silent_store < ms(apply_ms) * 3 / 5);
    }
}
