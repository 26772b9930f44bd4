//! State of the target of a sidecar node, with explicit events and a simulated clock.

use std::net::SocketAddr;
use std::time::Duration;

use dragonflyquay::sidecar::process::target::state::{
    Heartbeat, HeartbeatError, OwnTarget, ReportedState,
};

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
    }
}

fn own_target() -> OwnTarget {
    let address: SocketAddr = ADDRESS.parse().unwrap();
    OwnTarget::new("s".into(), address, ms(1500), ms(1000))
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
        t.on_stop(&"i".into(), 10, ms(1300)),
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
