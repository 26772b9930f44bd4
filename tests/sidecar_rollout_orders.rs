//! Tests of what one node does about orders and news of rollouts, with a simulated clock.

use std::time::Duration;

use dragonflyquay::prelude::SmolStr;
use dragonflyquay::sidecar::process::rollout::new_versions::NewVersions;
use dragonflyquay::sidecar::process::rollout::order::{News, Order, Step};
use dragonflyquay::sidecar::process::rollout::plan::{canary_share, canary_size, Bounds, Plan};
use dragonflyquay::sidecar::process::rollout::table::Table;
use dragonflyquay::sidecar::process::rollout::view::{Passes, View};
use dragonflyquay::store::{Era, Revision};

const ROLLBACK: Duration = Duration::from_secs(5);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn order(to: &str) -> Order {
    Order {
        service: "s".into(),
        to: to.into(),
        limit: ms(14_000),
    }
}

/// News of a decider at this time since the order.
fn news(step: Step, seq: u64, elapsed_ms: u64) -> News {
    News {
        from: Some("v1".into()),
        elapsed_ms,
        term: 1,
        seq,
        cap: 0.06,
        canary: vec!["c".into()],
        decider: "d".into(),
        ..News::of_order(order("v2"), Revision::new(Era::default(), 10), step)
    }
}

fn view(step: Step, now: Duration) -> View {
    View::new(news(step, 1, now.as_millis() as u64), ROLLBACK, 5.0, now)
}

/// Whether the first filter allows the target of a node with a version.
fn allows(passes: &Passes, node: &str, version: &str) -> bool {
    let version = SmolStr::from(version);
    passes.first.allows(&node.into(), Some(&version))
}

/// Guards against a step that holds although its decider may have rolled back since.
#[test]
fn steps_end_without_news() {
    let canary = view(Step::Canary(0.1), ms(5000));
    assert_eq!(canary.share(ms(7000)), 0.1);
    assert_eq!(canary.share(ms(7600)), 0.0);
    let moved = view(Step::Move(1.0), ms(5000));
    assert_eq!(moved.share(ms(6900)), 1.0);
    assert_eq!(moved.share(ms(7100)), 0.0);
    // Old targets may have stopped meanwhile.
    let passes = moved.passes(0.0, false, &[], ms(7100));
    assert!(allows(&passes, "x", "v1") && !allows(&passes, "x", "v2"));
    let second = passes.second.expect("a second filter");
    assert!(second.allows(&"x".into(), Some(&"v2".into())));
}

/// Guards against news that were delayed in a partition and then hold as if they were recent.
#[test]
fn delayed_news_count_from_when_they_were_sent() {
    let mut v = view(Step::Canary(0.1), ms(5000));
    assert!(v.on_news(news(Step::Move(1.0), 2, 6000), ms(9000)));
    assert_eq!(v.share(ms(9000)), 0.0);
    assert!(v.on_news(news(Step::Move(1.0), 3, 9000), ms(9050)));
    assert_eq!(v.share(ms(9050)), 1.0);
    assert!(!v.on_news(news(Step::Canary(0.1), 2, 6000), ms(9100)));
}

/// Guards against requests to other targets of the new version than the canary, and to the canary beyond the cap.
#[test]
fn the_canary_is_bounded_at_each_node() {
    let mut v = view(Step::Canary(0.5), ms(5000));
    let passes = v.passes(0.4, false, &[], ms(5100));
    assert!(allows(&passes, "c", "v2"));
    assert!(!allows(&passes, "x", "v2") && !allows(&passes, "x", "v1"));
    assert!(allows(&passes, "x", "v3"), "a version of no order");
    let v2 = SmolStr::from("v2");
    let mut sent = 0;
    for _ in 0..1000 {
        let passes = v.passes(0.4, false, &[], ms(5100));
        let version = SmolStr::from(["v1", "v2"][usize::from(allows(&passes, "c", "v2"))]);
        sent += usize::from(version == v2);
        v.on_sent(Some(&version));
        v.on_result(Some(&version), true);
    }
    assert!((60..=65).contains(&sent), "{sent} requests");
    assert!(v.admits(&"c".into(), false, Some(&v2)));
    assert!(!v.admits(&"x".into(), false, Some(&v2)));
}

/// Guards against a rollback that a later decider, or delayed news, take back.
#[test]
fn a_rollback_is_final() {
    let mut v = view(Step::Canary(0.1), ms(5000));
    assert!(v.on_news(news(Step::RolledBack, 2, 5500), ms(5500)));
    let later = News {
        term: 2,
        ..news(Step::Move(1.0), 1, 6000)
    };
    assert!(!v.on_news(later, ms(6000)));
    let passes = v.passes(0.0, false, &[], ms(30_000));
    assert!(!allows(&passes, "c", "v2") && passes.second.is_none());
    assert!(!v.admits(&"c".into(), false, Some(&"v2".into())));
}

/// Merges an order that was read from the store.
fn read(t: &mut Table, to: &str, revision: u64, now: Duration) -> bool {
    let news = t.order_news(order(to), Revision::new(Era::default(), revision), false);
    t.merge(&news, ROLLBACK, 0.5, now)
}

fn step(t: &Table) -> Step {
    t.entries["s"].view.news().step
}

/// Guards against a repeated order that begins anew while it runs or after a rollback, and against one that can never be
/// run again.
#[test]
fn a_repeated_order_changes_nothing_before_its_limit() {
    let mut t = Table::default();
    assert!(read(&mut t, "v2", 10, ms(1000)));
    assert!(!read(&mut t, "v2", 11, ms(2000)));
    t.merge(&news(Step::RolledBack, 2, 3000), ROLLBACK, 0.5, ms(4000));
    assert!(!read(&mut t, "v2", 12, ms(6000)));
    assert_eq!(step(&t), Step::RolledBack);
    assert!(read(&mut t, "v2", 13, ms(20_000)));
    assert_eq!(step(&t), Step::Ordered);
    // News of the ended rollout that arrive late.
    t.merge(&news(Step::RolledBack, 3, 3500), ROLLBACK, 0.5, ms(20_100));
    assert_eq!(step(&t), Step::Ordered);
}

/// Guards against a replaced order whose version gets requests as usual, and against an order back to the old version
/// that takes all requests away from it.
#[test]
fn another_order_replaces_the_running_one() {
    let mut t = Table::default();
    read(&mut t, "v2", 10, ms(1000));
    t.merge(&news(Step::Canary(0.1), 2, 3000), ROLLBACK, 0.5, ms(4000));
    assert!(read(&mut t, "v3", 11, ms(5000)));
    let passes = t.entries["s"].view.passes(0.0, false, &[], ms(5000));
    assert!(allows(&passes, "x", "v1"));
    assert!(!allows(&passes, "c", "v2") && !allows(&passes, "c", "v3"));
    let mut t = Table::default();
    read(&mut t, "v2", 10, ms(1000));
    t.merge(&news(Step::Canary(0.1), 2, 3000), ROLLBACK, 0.5, ms(4000));
    assert!(read(&mut t, "v1", 11, ms(5000)));
    let passes = t.entries["s"].view.passes(0.0, false, &[], ms(5000));
    assert!(allows(&passes, "x", "v1") && !allows(&passes, "c", "v2"));
}

/// Guards against a service without targets after all nodes restarted when its rollout had long been completed.
#[test]
fn an_order_that_is_found_at_the_start_blocks_no_version() {
    let mut t = Table::default();
    let news = t.order_news(order("v2"), Revision::new(Era::default(), 10), true);
    t.merge(&news, ROLLBACK, 0.5, ms(100));
    let passes = t.entries["s"].view.passes(0.0, false, &[], ms(200));
    assert!(allows(&passes, "x", "v1") && !allows(&passes, "x", "v2"));
    let second = passes.second.expect("a second filter");
    assert!(second.allows(&"x".into(), Some(&"v2".into())));
}

/// Guards against targets of an order that this node has not heard of, and against versions that matter without one.
#[test]
fn a_version_that_joins_others_waits_for_a_confirmation() {
    let mut v = NewVersions::default();
    let service = "s".into();
    assert!(!v.observe(&service, &"v1".into(), ms(100)));
    v.observe(&service, &"v2".into(), ms(200));
    assert!(v.held("s", None, ms(300)).is_empty(), "known at the start");
    assert!(v.observe(&service, &"v3".into(), ms(10_000)));
    assert_eq!(v.held("s", Some(ms(9900)), ms(12_000)), ["v3"]);
    assert!(v.held("s", Some(ms(10_300)), ms(12_000)).is_empty());
    assert!(v.held("s", None, ms(25_100)).is_empty());
    let mut v = NewVersions::default();
    v.observe(&service, &"v1".into(), ms(10_000));
    assert!(v.held("s", None, ms(10_100)).is_empty(), "only one version");
}

/// Guards against steps that end after the limit, and a canary that is larger than the bound or loaded unlike the others.
#[test]
fn plans_fit_into_their_limits() {
    for limit in [1000, 5000, 12_000, 16_000, 600_000] {
        let p = Plan::new(ms(limit));
        assert!(p.move_at < p.full_at && p.full_at < p.finish_at && p.finish_at < p.limit);
        assert!(p.move_at >= ms(limit) / 2, "{p:?}");
    }
    for old in [1, 6, 11, 31, 42, 1000] {
        let canary = canary_size(old) as u32;
        let share = canary_share(canary * 7, old as u32 * 7);
        assert!(
            share <= 0.25 && (old < 10 || share <= 0.1),
            "{old}: {share}"
        );
    }
    let bounds = Bounds {
        share: 0.1,
        slack: 50.0,
    };
    for requests in [10.0, 100.0, 1000.0, 1e6] {
        let exposed = bounds.cap(requests) * requests;
        assert!(exposed <= 0.1 * requests + 25.0, "{exposed} of {requests}");
    }
}
