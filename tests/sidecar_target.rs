//! State of the target of a sidecar node, with explicit events and a simulated clock.

use std::net::SocketAddr;
use std::time::Duration;

use dragonflyquay::sidecar::process::fleet::target_history::{KnownTarget, TargetHistory};
use dragonflyquay::sidecar::process::target::heartbeat::{
    Heartbeat, HeartbeatError, ReportedState,
};
use dragonflyquay::sidecar::process::target::state::{OwnTarget, TargetState};

const ADDRESS: &str = "127.0.0.1:9000";

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn heartbeat(id: &str, incarnation: u64, seq: u64, state: ReportedState) -> Heartbeat {
    Heartbeat {
        id: id.into(),
        service: "s".into(),
        address: ADDRESS.parse().unwrap(),
        slots: 4,
        state,
        warm_up: Duration::ZERO,
        incarnation,
        seq,
        version: None,
    }
}

/// State at a node that may have restarted.
fn restarted_target() -> OwnTarget {
    let address: SocketAddr = ADDRESS.parse().unwrap();
    OwnTarget::new("s".into(), address, ms(1500), ms(1000))
}

/// State at the first process of a node.
fn own_target() -> OwnTarget {
    let mut t = restarted_target();
    t.on_first_process();
    t
}

fn known(id: &str, incarnation: u64, departed: bool) -> KnownTarget {
    KnownTarget {
        id: id.into(),
        incarnation,
        departed,
    }
}

/// Guards against a delayed heartbeat that makes a leaving target ready again, and against a heartbeat of an earlier
/// incarnation.
#[test]
fn leaving_is_final_for_an_incarnation() {
    let mut t = own_target();
    t.on_heartbeat(&heartbeat("i", 10, 1, ReportedState::Ready), ms(0))
        .unwrap();
    assert!(t.usable(ms(1)).is_some());
    t.on_heartbeat(&heartbeat("i", 10, 3, ReportedState::Draining), ms(10))
        .unwrap();
    t.on_heartbeat(&heartbeat("i", 10, 2, ReportedState::Ready), ms(20))
        .unwrap();
    t.on_heartbeat(&heartbeat("i", 10, 4, ReportedState::Ready), ms(30))
        .unwrap();
    assert!(
        t.usable(ms(500)).is_some(),
        "accepts requests until other nodes have learned of it"
    );
    assert!(t.usable(ms(1010)).is_none());
    assert!(!t.state(ms(40)).unwrap().ready);
    t.on_heartbeat(&heartbeat("i", 20, 1, ReportedState::Ready), ms(1100))
        .unwrap();
    assert!(
        t.usable(ms(1100)).is_some(),
        "a new incarnation accepts requests"
    );
    let stale = t.on_heartbeat(&heartbeat("i", 10, 9, ReportedState::Draining), ms(1200));
    assert_eq!(stale, Err(HeartbeatError::Stale));
    assert_eq!(
        t.on_stop(&"i".into(), 10, 0, ms(1300)),
        Err(HeartbeatError::Stale)
    );
    assert!(t.usable(ms(1300)).is_some());
}

/// Guards against a leaving target that gets requests again after a restart of its node.
#[test]
fn leaving_survives_a_restart_of_the_node() {
    let mut t = own_target();
    t.restore_departure("i".into(), 10, ms(0));
    t.on_probe("i".into(), 4, ms(0));
    assert!(t.usable(ms(0)).is_none());
    t.on_heartbeat(&heartbeat("i", 10, 7, ReportedState::Ready), ms(100))
        .unwrap();
    assert!(!t.state(ms(100)).unwrap().ready);
    t.on_heartbeat(&heartbeat("i", 11, 1, ReportedState::Ready), ms(200))
        .unwrap();
    assert!(t.state(ms(200)).unwrap().ready);
    // The heartbeat may come before the store says that the target has departed.
    let mut t = own_target();
    t.on_heartbeat(&heartbeat("i", 10, 7, ReportedState::Ready), ms(0))
        .unwrap();
    assert!(t.usable(ms(0)).is_some());
    t.restore_departure("i".into(), 10, ms(50));
    assert!(!t.state(ms(50)).unwrap().ready);
    assert!(t.usable(ms(50)).is_none());
}

/// Guards against a late heartbeat that makes a target ready at a node that has restarted and knows nothing of its stop,
/// and against good targets that wait for a confirmation although something shows that they do not leave.
#[test]
fn a_target_is_confirmed_after_a_restart_of_the_node() {
    let ready = |t: &OwnTarget, now| t.usable(now).is_some() && t.state(now).unwrap().ready;
    let heard = |seq: u64, incarnation: u64| heartbeat("i", incarnation, seq, ReportedState::Ready);
    let after_heartbeat = || {
        let mut t = restarted_target();
        t.on_heartbeat(&heard(7, 10), ms(0)).unwrap();
        assert!(!ready(&t, ms(0)) && t.is_unconfirmed());
        t
    };
    let mut t = after_heartbeat();
    t.on_known_targets(&[known("i", 10, false)], ms(10));
    assert!(ready(&t, ms(10)), "another node remembers it");
    let mut t = after_heartbeat();
    t.on_known_targets(&[known("h", 5, true)], ms(10));
    t.on_known_targets(&[known("h", 5, false)], ms(10));
    assert!(ready(&t, ms(10)), "it is later than the last one");
    let mut t = after_heartbeat();
    let new = t.on_known_targets(&[known("i", 10, true)], ms(10));
    assert_eq!(new, [known("i", 10, true)]);
    t.on_known_targets(&[known("i", 10, false)], ms(20));
    t.on_probe("i".into(), 4, ms(30));
    assert!(!ready(&t, ms(30)), "it has departed");
    let mut t = after_heartbeat();
    t.on_known_targets(&[known("j", 20, false)], ms(10));
    assert!(!ready(&t, ms(10)), "it is an earlier one");
    let mut t = after_heartbeat();
    t.on_probe("i".into(), 4, ms(10));
    assert!(ready(&t, ms(10)), "it responds to a health probe");
    let mut t = after_heartbeat();
    t.on_heartbeat(&heard(8, 10), ms(10)).unwrap();
    t.on_heartbeat(&heard(9, 10), ms(20)).unwrap();
    t.on_heartbeat(&heard(10, 10), ms(30)).unwrap();
    assert!(!ready(&t, ms(30)), "heartbeats that were late together");
    t.on_heartbeat(&heard(11, 10), ms(1530)).unwrap();
    t.on_heartbeat(&heard(12, 10), ms(3030)).unwrap();
    assert!(ready(&t, ms(3030)), "it goes on to send heartbeats");
    let mut t = after_heartbeat();
    t.on_heartbeat(&heard(1, 11), ms(10)).unwrap();
    assert!(ready(&t, ms(10)), "a later incarnation");
}

/// Guards against a stop without an incarnation that covers all later incarnations under the same id.
#[test]
fn a_stop_of_an_unknown_target_does_not_cover_later_incarnations() {
    let mut t = own_target();
    let stopped = t.on_stop(&"i".into(), 0, 1000, ms(0));
    assert_eq!(stopped.ok(), Some(1000));
    t.on_heartbeat(&heartbeat("i", 900, 1, ReportedState::Ready), ms(10))
        .unwrap();
    assert!(t.usable(ms(10)).is_none());
    t.on_heartbeat(&heartbeat("i", 1001, 1, ReportedState::Ready), ms(20))
        .unwrap();
    assert!(t.usable(ms(20)).is_some());
}

/// Guards against a stop that is forgotten because the node knows nothing of its target, or knows another one, an earlier
/// incarnation, or what a health probe told; and against later incarnations that it covers.
#[test]
fn a_stop_binds_whatever_the_node_knows_of_its_target() {
    let ready = |id: &str, incarnation| heartbeat(id, incarnation, 1, ReportedState::Ready);
    let unknown = own_target();
    let mut other = own_target();
    other.on_heartbeat(&ready("h", 5), ms(0)).unwrap();
    let mut earlier = own_target();
    earlier.on_heartbeat(&ready("i", 5), ms(0)).unwrap();
    let mut probed = own_target();
    probed.on_known_targets(&[known("i", 5, false)], ms(0));
    probed.on_probe("i".into(), 4, ms(0));
    assert!(probed.usable(ms(0)).is_some());
    for (what, mut t) in [
        ("unknown", unknown),
        ("other", other),
        ("earlier", earlier),
        ("probed", probed),
    ] {
        assert_eq!(t.on_stop(&"i".into(), 10, 99, ms(100)), Ok(10), "{what}");
        assert_eq!(t.last_departed("i"), Some(10));
        // A late heartbeat, and a late response to a probe.
        let _ = t.on_heartbeat(&ready("i", 10), ms(2000));
        t.on_probe("i".into(), 4, ms(2000));
        assert_ne!(
            t.usable(ms(2000)).map(|id| id.as_str()),
            Some("i"),
            "{what}"
        );
        t.on_heartbeat(&ready("i", 11), ms(2100)).unwrap();
        assert!(t.usable(ms(2100)).is_some(), "{what}: a later incarnation");
        assert_eq!(
            t.on_stop(&"i".into(), 10, 99, ms(2200)),
            Err(HeartbeatError::Stale)
        );
        assert!(t.usable(ms(9000)).is_none() && t.usable(ms(2200)).is_some());
    }
}

/// Guards against a late heartbeat of a target that has departed, which takes the place of the present one.
#[test]
fn a_late_heartbeat_of_a_departed_target_is_refused() {
    let mut t = own_target();
    t.on_stop(&"i".into(), 20, 0, ms(0)).unwrap();
    t.on_heartbeat(&heartbeat("j", 10, 1, ReportedState::Ready), ms(10))
        .unwrap();
    let late = t.on_heartbeat(&heartbeat("i", 20, 1, ReportedState::Ready), ms(20));
    assert_eq!(late, Err(HeartbeatError::Departed));
    assert_eq!(t.usable(ms(30)).map(|id| id.as_str()), Some("j"));
}

/// Guards against a stop without an incarnation that is forgotten, or that covers later incarnations, because only a health
/// probe has told of its target.
#[test]
fn a_stop_without_an_incarnation_binds_a_probed_target() {
    for by_response in [false, true] {
        let mut t = own_target();
        t.on_known_targets(&[known("i", 5, false)], ms(0));
        t.on_probe("i".into(), 4, ms(0));
        let stopped = match by_response {
            true => t.on_leaving_response(&"i".into(), 1000, ms(10)),
            false => t.on_stop(&"i".into(), 0, 1000, ms(10)).ok(),
        };
        assert_eq!(stopped, Some(1000));
        let late = heartbeat("i", 900, 7, ReportedState::Ready);
        t.on_heartbeat(&late, ms(2000)).unwrap();
        assert!(t.usable(ms(2000)).is_none());
        let draining = heartbeat("i", 900, 8, ReportedState::Draining);
        assert!(
            t.on_heartbeat(&draining, ms(2010)).is_ok(),
            "it is acknowledged"
        );
        let next = heartbeat("i", 1001, 1, ReportedState::Ready);
        t.on_heartbeat(&next, ms(2100)).unwrap();
        assert!(t.usable(ms(2100)).is_some());
    }
    let mut t = own_target();
    t.on_known_targets(&[known("i", 5, false)], ms(0));
    t.on_probe("i".into(), 4, ms(0));
    t.on_stop(&"i".into(), 0, 1000, ms(10)).unwrap();
    let next = heartbeat("i", 1001, 1, ReportedState::Ready);
    t.on_heartbeat(&next, ms(2100)).unwrap();
    assert!(t.usable(ms(9000)).is_none() && t.usable(ms(2100)).is_some());
}

/// Sends heartbeats of a target every 1.5 s from a time on. Returns the time of the first one after which it accepts requests.
fn used_after(t: &mut OwnTarget, id: &str, incarnation: u64, from: u64, count: u64) -> Option<u64> {
    let times = (0..count).map(|i| (i, from + 1500 * i));
    let mut used = times.filter(|(i, at)| {
        let _ = t.on_heartbeat(
            &heartbeat(id, incarnation, 1 + i, ReportedState::Ready),
            ms(*at),
        );
        t.usable(ms(*at)).is_some_and(|usable| usable == id)
    });
    used.next().map(|(_, at)| at - from)
}

/// Guards against a true target that is never used, because a clock was set back before its start, or was ahead when a stop
/// that named no incarnation was announced.
#[test]
fn a_target_that_goes_on_to_send_heartbeats_is_used() {
    // Its own earlier incarnation departed.
    let mut t = own_target();
    t.on_heartbeat(&heartbeat("i", 50, 1, ReportedState::Draining), ms(0))
        .unwrap();
    let used = used_after(&mut t, "i", 40, 5000, 10);
    assert!(
        used.is_some_and(|at| (10_000..13_000).contains(&at)),
        "{used:?}"
    );
    // Other nodes take the later one for it, too.
    assert!(t.state(ms(16_000)).unwrap().incarnation > 50);
    // Its stop is that of the later one.
    let departed = t.on_stop(&"i".into(), 40, 0, ms(18_000)).unwrap();
    assert!(departed > 50);
    assert_eq!(used_after(&mut t, "i", 40, 20_000, 20), None);
    // The stop of an unknown target was bounded by a clock that was ahead.
    let mut t = own_target();
    t.on_stop(&"i".into(), 0, 5_000_000, ms(0)).unwrap();
    assert!(used_after(&mut t, "i", 1000, 5000, 10).is_some());
    // Another target was there before, and is silent.
    let mut t = own_target();
    t.on_heartbeat(&heartbeat("h", 50, 1, ReportedState::Ready), ms(0))
        .unwrap();
    assert!(used_after(&mut t, "i", 40, 5000, 10).is_some());
    let earlier = heartbeat("i", 30, 1, ReportedState::Ready);
    assert_eq!(
        t.on_heartbeat(&earlier, ms(20_000)),
        Err(HeartbeatError::Stale)
    );
}

/// Guards against late heartbeats of earlier targets that count as those of a later one.
#[test]
fn late_heartbeats_show_no_later_target() {
    // A target that has departed by name.
    let mut t = own_target();
    t.on_stop(&"i".into(), 40, 0, ms(0)).unwrap();
    assert_eq!(used_after(&mut t, "i", 40, 1000, 40), None);
    // Several that were late, and then one more, or the same ones again.
    let mut t = own_target();
    t.on_stop(&"i".into(), 0, 5_000_000, ms(0)).unwrap();
    assert_eq!(used_after(&mut t, "i", 1000, 1000, 5), None);
    assert_eq!(used_after(&mut t, "i", 1000, 30_000, 1), None);
    assert_eq!(used_after(&mut t, "i", 1000, 31_500, 1), None);
    // The current target goes on to send heartbeats.
    let mut t = own_target();
    for i in 0..40 {
        t.on_heartbeat(
            &heartbeat("h", 50, 1 + i, ReportedState::Ready),
            ms(1500 * i),
        )
        .unwrap();
        let _ = t.on_heartbeat(
            &heartbeat("i", 40, 1 + i, ReportedState::Ready),
            ms(1500 * i + 10),
        );
        assert_eq!(t.usable(ms(1500 * i + 10)).map(|id| id.as_str()), Some("h"));
    }
}

/// Guards against a stop without an incarnation that binds only the earlier incarnation that the node knows, while it is that of
/// a later one whose heartbeats are late.
#[test]
fn a_stop_without_an_incarnation_binds_a_later_one() {
    let mut t = own_target();
    t.on_heartbeat(&heartbeat("i", 10, 1, ReportedState::Ready), ms(0))
        .unwrap();
    assert_eq!(t.on_stop(&"i".into(), 0, 1000, ms(100)), Ok(1000));
    let _ = t.on_heartbeat(&heartbeat("i", 900, 1, ReportedState::Ready), ms(2000));
    assert!(t.usable(ms(2000)).is_none());
    t.on_heartbeat(&heartbeat("i", 1001, 1, ReportedState::Ready), ms(2100))
        .unwrap();
    assert!(t.usable(ms(2100)).is_some());
}

/// Guards against a stop of a target that is taken for a late one of an earlier incarnation, because the clock was set back
/// between them, although its heartbeats arrive and those of the other do not; and against the end of a target that runs.
#[test]
fn a_stop_after_a_clock_was_set_back_binds() {
    for draining in [false, true] {
        let mut t = own_target();
        t.on_heartbeat(&heartbeat("i", 50, 1, ReportedState::Ready), ms(0))
            .unwrap();
        let early = t.on_heartbeat(&heartbeat("i", 40, 1, ReportedState::Ready), ms(2000));
        assert_eq!(early, Err(HeartbeatError::Stale));
        let acknowledged = match draining {
            true => t
                .on_heartbeat(&heartbeat("i", 40, 2, ReportedState::Draining), ms(2500))
                .is_ok(),
            false => t.on_stop(&"i".into(), 40, 0, ms(2500)).is_ok(),
        };
        assert!(acknowledged);
        assert!(t.usable(ms(3500)).is_none());
        // Other nodes would remember for good that the other one leaves.
        let state = t.state(ms(3500)).unwrap();
        assert!(!state.ready);
        assert!(!state.leaving || state.incarnation != 50);
        // It was a late one after all.
        t.on_heartbeat(&heartbeat("i", 50, 2, ReportedState::Ready), ms(3600))
            .unwrap();
        assert!(t.usable(ms(3600)).is_some());
    }
}

/// Guards against a stop that another node forgets or takes back, and against a memory that grows without bound.
#[test]
fn the_stops_of_other_targets_are_remembered() {
    let state = |id: &str, incarnation: u64, leaving: bool| TargetState {
        id: id.into(),
        ready: !leaving,
        slots: 4,
        incarnation,
        leaving,
        version: None,
    };
    let mut h = TargetHistory::default();
    h.record(&"n".into(), &state("i", 10, false), ms(0));
    assert!(!h.has_departed("n", &state("i", 10, false)));
    h.record(&"n".into(), &state("i", 10, true), ms(10));
    h.record(&"n".into(), &state("i", 10, false), ms(20));
    assert!(h.has_departed("n", &state("i", 10, false)));
    assert!(h.has_departed("n", &state("i", 9, false)));
    assert!(!h.has_departed("n", &state("i", 11, false)));
    assert!(!h.has_departed("m", &state("i", 10, false)));
    assert_eq!(h.targets("n"), [known("i", 10, true)]);
    for i in 0..100 {
        h.record(&"n".into(), &state(&format!("j{i}"), 20 + i, false), ms(30));
    }
    assert!(h.targets("n").len() < 10);
    h.record(&"m".into(), &state("k", 10, false), ms(3_600_000));
    assert!(h.targets("n").is_empty(), "forgotten after an hour");
}

/// Guards against heartbeats from other targets, and against the use of a target that stopped responding.
#[test]
fn foreign_and_unresponsive_targets_are_not_used() {
    let mut t = own_target();
    let other = Heartbeat {
        service: "other".into(),
        ..heartbeat("i", 10, 1, ReportedState::Ready)
    };
    assert_eq!(t.on_heartbeat(&other, ms(0)), Err(HeartbeatError::Foreign));
    let moved = Heartbeat {
        address: "127.0.0.1:9001".parse().unwrap(),
        ..heartbeat("i", 10, 1, ReportedState::Ready)
    };
    assert_eq!(t.on_heartbeat(&moved, ms(0)), Err(HeartbeatError::Foreign));
    assert!(t.usable(ms(0)).is_none());
    t.on_heartbeat(&heartbeat("i", 10, 1, ReportedState::Ready), ms(0))
        .unwrap();
    assert!(t.usable(ms(5900)).is_some());
    assert!(t.usable(ms(6000)).is_none());
    t.on_response(ms(6000));
    assert!(
        t.usable(ms(6100)).is_some(),
        "a response shows that it is alive"
    );
    t.on_connect_refused(ms(6100));
    assert!(t.usable(ms(6150)).is_none());
}

/// Guards against a stop that a process knows only from the listing of the store, and forgets when the store comes back from
/// an older copy without it.
#[test]
fn a_listed_stop_binds_although_the_store_lost_it() {
    let mut t = own_target();
    t.on_departures_listed([("i".into(), 10)].into_iter().collect(), ms(0));
    t.on_departures_listed([("i".into(), 9)].into_iter().collect(), ms(1000));
    t.on_departures_listed([].into_iter().collect(), ms(2000));
    t.on_heartbeat(&heartbeat("i", 10, 7, ReportedState::Ready), ms(3000))
        .unwrap();
    assert!(!t.state(ms(3000)).unwrap().ready && t.usable(ms(3000)).is_none());
    // A later target with the id is used.
    t.on_heartbeat(&heartbeat("i", 11, 1, ReportedState::Ready), ms(4000))
        .unwrap();
    assert!(t.usable(ms(4000)).is_some());
}
