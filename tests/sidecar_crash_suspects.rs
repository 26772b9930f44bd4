//! Tests of the policy that recognizes requests that crash targets. Events and times are explicit.

use std::time::Duration;

use dragonflyquay::sidecar::connection::frame::{Head, Message};
use dragonflyquay::sidecar::process::routing::crash_suspects::{
    CrashSuspects, CrashVerdict, CrashedRequest, SuspectReport, MAX_CRASHES, REJECTED_FOR,
    SIMULTANEOUS,
};
use dragonflyquay::sidecar::process::target::crash::LostRequests;

const CULPRIT: u64 = 1;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn first(fingerprint: u64) -> CrashedRequest {
    CrashedRequest {
        fingerprint,
        retry: false,
    }
}

fn retry(fingerprint: u64) -> CrashedRequest {
    CrashedRequest {
        fingerprint,
        retry: true,
    }
}

/// Suspects after the culprit has crashed three targets, the last at 20 ms.
fn after_three_crashes() -> CrashSuspects {
    let mut s = CrashSuspects::default();
    assert!(!s.record_crash(first(CULPRIT), ms(0)));
    assert!(!s.record_crash(retry(CULPRIT), ms(10)));
    assert_eq!(s.verdict(CULPRIT, ms(10)), CrashVerdict::Allowed);
    assert!(s.record_crash(retry(CULPRIT), ms(20)));
    s
}

/// Guards against a request that crashes targets again after a short or a long pause.
#[test]
fn a_culprit_is_rejected_and_then_not_retried() {
    let mut s = after_three_crashes();
    assert_eq!(
        s.verdict(CULPRIT, ms(20)),
        CrashVerdict::Rejected(REJECTED_FOR)
    );
    assert_eq!(s.verdict(CULPRIT + 1, ms(20)), CrashVerdict::Allowed);
    let later = ms(20) + REJECTED_FOR;
    assert_eq!(s.verdict(CULPRIT, later), CrashVerdict::NoRetry);
    s.record_crash(first(CULPRIT), later);
    assert_eq!(
        s.verdict(CULPRIT, later),
        CrashVerdict::Rejected(REJECTED_FOR)
    );
    assert_eq!(
        s.verdict(CULPRIT, later + ms(600_000)),
        CrashVerdict::NoRetry
    );
    assert_eq!(
        s.verdict(CULPRIT, later + ms(36_000_000)),
        CrashVerdict::Allowed
    );
}

/// Guards against a healthy request that is rejected because many targets ended at the same time while they ran it.
#[test]
fn simultaneous_ends_count_once() {
    let mut s = CrashSuspects::default();
    for i in 0..50 {
        s.record_crash(first(CULPRIT), ms(i));
    }
    assert_eq!(s.verdict(CULPRIT, ms(50)), CrashVerdict::Allowed);
    let mut s = CrashSuspects::default();
    for i in 0..MAX_CRASHES {
        s.record_crash(first(CULPRIT), SIMULTANEOUS * i);
    }
    assert!(matches!(
        s.verdict(CULPRIT, SIMULTANEOUS * MAX_CRASHES),
        CrashVerdict::Rejected(_)
    ));
}

/// Guards against a healthy request that is suspected for ever: it is not once it was served, at any node.
#[test]
fn a_served_request_is_no_suspect() {
    let mut s = CrashSuspects::default();
    s.record_crash(first(CULPRIT), ms(0));
    assert!(
        !s.record_served(CULPRIT, ms(30)),
        "one end is no reason to tell others"
    );
    assert!(s.is_empty());
    let mut s = after_three_crashes();
    assert!(s.record_served(CULPRIT, ms(30)));
    assert!(!s.record_served(CULPRIT, ms(30)));
    assert_eq!(s.verdict(CULPRIT, ms(30)), CrashVerdict::Allowed);
}

/// Guards against requests beside a culprit that are taken for it, and against a memory that grows without bound.
#[test]
fn neighbours_are_allowed_and_the_memory_is_bounded() {
    let mut s = after_three_crashes();
    for i in 0..5_000 {
        s.record_crash(first(1000 + i), ms(30 + i));
        if i % 100 == 0 {
            s.record_crash(first(CULPRIT), ms(30 + i));
        }
    }
    assert_eq!(s.verdict(5_999, ms(5_030)), CrashVerdict::Allowed);
    assert!(matches!(
        s.verdict(CULPRIT, ms(5_030)),
        CrashVerdict::Rejected(_)
    ));
    // The oldest ones have made room.
    assert!(!s.record_served(1000, ms(5_030)));
}

/// Guards against requests whose connections were lost long before the target ended, and against a flood of checks.
#[test]
fn only_recently_lost_requests_are_suspects() {
    let mut lost = LostRequests::default();
    assert!(lost.add(first(1), ms(0)));
    assert!(!lost.add(first(2), ms(10)), "one check for all");
    assert_eq!(lost.take(ms(60_000)), []);
    assert!(lost.add(first(3), ms(60_000)));
    lost.add(first(4), ms(60_010));
    lost.add(retry(3), ms(60_020));
    assert_eq!(lost.take(ms(60_030)), [retry(3), first(4)]);
    assert_eq!(lost.take(ms(60_030)), []);
    lost.add(first(5), ms(61_000));
    lost.clear();
    assert_eq!(lost.take(ms(61_000)), []);
    for i in 0..10_000 {
        lost.add(first(i), ms(62_000));
    }
    assert!(lost.take(ms(62_000)).len() < 1000);
}

/// What another node says of a request.
fn report(fingerprint: u64, crashes: u32, age: Duration) -> SuspectReport {
    SuspectReport {
        fingerprint,
        crashes,
        age_ms: age.as_millis() as u64,
    }
}

/// Guards against a culprit that is forgotten with the processes that knew it: others tell a new one, in turn, and it gets
/// no younger by it.
#[test]
fn a_culprit_is_handed_over_with_its_age() {
    let (mut old, mut at) = (after_three_crashes(), ms(10_020));
    for i in 0..5 {
        // The clock of a process starts with it.
        let (mut new, now) = (CrashSuspects::default(), ms(3));
        assert!(!new.is_informed());
        new.merge(&old.reports(at), now);
        assert!(new.is_informed());
        assert_eq!(new.reports(now), old.reports(at));
        let left = REJECTED_FOR - ms(10_000 + 1000 * i);
        assert_eq!(new.verdict(CULPRIT, now), CrashVerdict::Rejected(left));
        assert_eq!(new.verdict(CULPRIT, now + left), CrashVerdict::NoRetry);
        // Reports that were late themselves.
        let late = [report(CULPRIT, 3, ms(0)), report(CULPRIT, 2, ms(0))];
        new.merge(&late, now);
        assert_eq!(new.verdict(CULPRIT, now), CrashVerdict::Rejected(left));
        (old, at) = (new, now + ms(1000));
    }
    // Its next crash counts like that at the node that learned of it first.
    let mut new = CrashSuspects::default();
    new.merge(&[report(CULPRIT, 2, ms(5000))], ms(3));
    assert_eq!(new.verdict(CULPRIT, ms(3)), CrashVerdict::Allowed);
    assert!(new.record_crash(first(CULPRIT), ms(4)));
    assert_eq!(
        new.verdict(CULPRIT, ms(4)),
        CrashVerdict::Rejected(REJECTED_FOR)
    );
    // Too old, or not possible.
    let mut new = CrashSuspects::default();
    for age in [ms(3_600_000), ms(u64::MAX)] {
        new.merge(&[report(CULPRIT, 9, age)], ms(3));
    }
    assert!(new.is_empty() && new.is_informed());
}

/// Guards against a healthy request that is suspected again, because a node that did not hear that it was served tells of its
/// crashes afterwards.
#[test]
fn older_suspicions_of_a_served_request_do_not_count() {
    let mut s = after_three_crashes();
    let before = s.reports(ms(1000));
    assert!(s.record_served(CULPRIT, ms(2000)));
    s.merge(&before, ms(2500));
    s.merge(&[report(CULPRIT, 5, ms(2000))], ms(2500));
    assert_eq!(s.verdict(CULPRIT, ms(2500)), CrashVerdict::Allowed);
    // The news comes from elsewhere, before or after the suspicion.
    let mut t = CrashSuspects::default();
    t.record_served_elsewhere(CULPRIT, ms(2000));
    t.merge(&[report(CULPRIT, 5, ms(2000))], ms(2500));
    assert_eq!(t.verdict(CULPRIT, ms(2500)), CrashVerdict::Allowed);
    let mut t = after_three_crashes();
    t.merge(&s.reports(ms(3000)), ms(3000));
    assert_eq!(t.verdict(CULPRIT, ms(3000)), CrashVerdict::Allowed);
    // Crashes after that count.
    t.merge(&[report(CULPRIT, 3, ms(100))], ms(3000));
    assert!(matches!(
        t.verdict(CULPRIT, ms(3000)),
        CrashVerdict::Rejected(_)
    ));
    t.merge(&[report(CULPRIT, 0, ms(500))], ms(3000));
    assert!(matches!(
        t.verdict(CULPRIT, ms(3000)),
        CrashVerdict::Rejected(_)
    ));
    assert!(t.record_served(CULPRIT, ms(3000)));
}

/// Guards against links that open with many bytes: calm nodes tell nothing, and innocent requests that ran at one end are not
/// told; a culprit is told before all others.
#[test]
fn reports_are_few() {
    let mut s = CrashSuspects::default();
    assert_eq!(s.reports(ms(0)), []);
    s.record_crash(first(7), ms(0));
    assert_eq!(s.reports(ms(0)), []);
    let mut s = after_three_crashes();
    for i in 0..5_000 {
        for crash in 0..2 {
            s.record_crash(retry(1000 + i), ms(5000 + i + crash));
        }
        s.record_served_elsewhere(10_000 + i, ms(5000 + i));
    }
    let reports = s.reports(ms(20_000));
    assert!(reports
        .iter()
        .any(|r| r.fingerprint == CULPRIT && r.crashes == 3));
    let size = Message::without_payload(Head::Suspects(reports))
        .encode()
        .len();
    assert!(size < 2000, "{size} bytes");
    let nothing = Message::without_payload(Head::Suspects(Vec::new()))
        .encode()
        .len();
    assert!(nothing < 10, "{nothing} bytes");
    // A peer that sends more has no more effect.
    let many: Vec<_> = (0..100_000).map(|i| report(i, 3, ms(0))).collect();
    let mut s = CrashSuspects::default();
    s.merge(&many, ms(0));
    assert!(s.reports(ms(0)).len() <= 100);
}

/// Guards against a culprit that only the store remembers and that is retried, or that stays one although it is served, and
/// against a memory of it without end.
#[test]
fn a_stored_culprit_is_not_retried() {
    let mut s = CrashSuspects::default();
    s.record_stored(&[CULPRIT], ms(100));
    assert!(!s.is_empty() && s.is_culprit(CULPRIT));
    assert_eq!(s.verdict(CULPRIT, ms(100)), CrashVerdict::NoRetry);
    // Another node knows of fewer ends.
    s.merge(&[report(CULPRIT, 2, ms(0))], ms(200));
    assert_eq!(s.verdict(CULPRIT, ms(200)), CrashVerdict::NoRetry);
    assert!(s.record_served(CULPRIT, ms(300)), "other nodes know of it");
    assert!(s.is_empty() && !s.is_culprit(CULPRIT));
    s.record_stored(&[CULPRIT], ms(400));
    assert!(s.is_empty(), "an old listing");
    let mut s = CrashSuspects::default();
    s.record_stored(&[CULPRIT], ms(100));
    s.record_crash(first(CULPRIT), ms(200));
    assert_eq!(
        s.verdict(CULPRIT, ms(200)),
        CrashVerdict::Rejected(REJECTED_FOR)
    );
    s.record_served_elsewhere(CULPRIT, ms(300));
    assert_eq!(s.verdict(CULPRIT, ms(300)), CrashVerdict::Allowed);
    let mut s = after_three_crashes();
    s.record_stored(&[CULPRIT + 1], ms(100));
    s.expire(ms(3_600_000));
    assert!(s.is_culprit(CULPRIT) && s.is_culprit(CULPRIT + 1));
    s.expire(ms(3_600_100));
    assert!(s.is_empty());
}

/// Guards against a request that counts as lost at the end of a target, although another one has served it in between.
#[test]
fn a_request_that_was_served_elsewhere_is_not_lost() {
    let mut lost = LostRequests::default();
    lost.add(first(1), ms(0));
    lost.add(first(2), ms(0));
    lost.forget(1);
    assert_eq!(lost.take(ms(10)), [first(2)]);
}
