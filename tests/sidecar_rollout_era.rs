//! Orders of rollouts after the store came back from an older copy: revisions of different eras have no order.

use std::time::Duration;

use dragonflyquay::sidecar::process::rollout::election::{Candidate, Claim, Record};
use dragonflyquay::sidecar::process::rollout::order::{News, Order, Step};
use dragonflyquay::sidecar::process::rollout::table::Table;
use dragonflyquay::store::{Era, Revision};

const ROLLBACK: Duration = Duration::from_millis(5000);

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

/// Merges an order that was read from the store in an era.
fn read(t: &mut Table, to: &str, (era, number): (u64, u64), now: u64) -> bool {
    let revision = Revision::new(Era(era), number);
    let news = t.order_news(order(to), revision, false);
    t.merge(&news, ROLLBACK, 0.5, ms(now))
}

/// The order that is followed, and its step.
fn current(t: &Table) -> (String, Step) {
    let news = t.entries["s"].view.news();
    (news.order.to.to_string(), news.step)
}

fn roll_back(t: &mut Table, now: u64) {
    let news = News {
        step: Step::RolledBack,
        term: 1,
        ..t.entries["s"].view.news().clone()
    };
    t.merge(&news, ROLLBACK, 0.5, ms(now));
}

/// Guards against an order that is passed over for ever because a drill gave the store's revisions out again.
#[test]
fn a_new_order_with_a_lower_revision_of_a_later_era_is_followed() {
    let mut t = Table::default();
    read(&mut t, "v2", (1, 100), 1000);
    assert!(read(&mut t, "v3", (2, 95), 5000));
    assert_eq!(current(&t), ("v3".into(), Step::Ordered));
    // News of the earlier era that arrive late.
    assert!(!read(&mut t, "v2", (1, 101), 6000));
    assert_eq!(current(&t).0, "v3");
}

/// Guards against a version that was rolled back and returns because the operator's order was written again after a drill,
/// and against an order that can never be run again.
#[test]
fn an_ended_order_that_is_written_again_after_a_drill_stays_ended() {
    let mut t = Table::default();
    read(&mut t, "v2", (1, 100), 1000);
    roll_back(&mut t, 4000);
    assert!(!read(&mut t, "v2", (2, 95), 40_000));
    assert_eq!(current(&t).1, Step::RolledBack);
    assert!(read(&mut t, "v2", (2, 96), 60_000));
    assert_eq!(current(&t).1, Step::Ordered);
}

/// Guards against an order that was replaced and returns because the store came back from a copy in which it was the
/// latest one.
#[test]
fn a_replaced_order_that_the_copy_still_has_is_not_followed() {
    let mut t = Table::default();
    read(&mut t, "v2", (1, 80), 1000);
    read(&mut t, "v3", (1, 100), 3000);
    assert!(!read(&mut t, "v2", (2, 80), 5000));
    assert_eq!(current(&t).0, "v3");
    // What the operator wrote since is written again; it is the same order.
    assert!(!read(&mut t, "v3", (2, 82), 6000));
    // The operator returns to the earlier version.
    assert!(read(&mut t, "v2", (2, 83), 7000));
    assert_eq!(current(&t).0, "v2");
}

/// Guards against a node that has not heard of a drill and replaces the record of an order of a later era, and against one
/// that waits for the decider of an order of an earlier one.
#[test]
fn records_of_other_eras_are_no_newer_by_their_numbers() {
    let news = |to: &str, era: u64, number: u64| {
        let revision = Revision::new(Era(era), number);
        News::of_order(order(to), revision, Step::Ordered)
    };
    let claim = |record: News, known: News| {
        let record = Record { news: record };
        let at = Revision::new(Era(2), 200);
        Candidate::default().on_record(Some((at, &record)), &known, false, &"n".into(), ms(1000))
    };
    let behind = claim(news("v3", 2, 95), news("v2", 1, 100));
    assert_eq!(behind, Claim::Wait);
    let ahead = claim(news("v2", 1, 100), news("v3", 2, 95));
    assert!(matches!(ahead, Claim::Swap(..)), "{ahead:?}");
}
