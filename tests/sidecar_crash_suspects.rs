//! Tests of the policy that recognizes requests that crash targets. Events and times are explicit.

use std::time::Duration;

use dragonflyquay::sidecar::process::routing::crash_suspects::{
    CrashSuspects, CrashVerdict, CrashedRequest, MAX_CRASHES, REJECTED_FOR, SIMULTANEOUS,
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
        !s.record_served(CULPRIT),
        "one end is no reason to tell others"
    );
    assert!(s.is_empty());
    let mut s = after_three_crashes();
    assert!(s.record_served(CULPRIT));
    assert!(!s.record_served(CULPRIT));
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
    assert!(!s.record_served(1000));
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
