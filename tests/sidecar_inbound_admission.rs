//! Admission of large request bodies: single decisions, without a network.

mod inbound_kit;

use dragonflyquay::sidecar::process::bandwidth::{Urgency, PIECE_BYTES};
use dragonflyquay::sidecar::process::inbound::{Inbound, Offer, Turn};
use dragonflyquay::sidecar::process::target::queue::{Arrival, Queue};
use inbound_kit::{ms, new_inbound, offer};

/// Guards against bodies that are read although they cannot arrive in time, and against the rejection of those that can.
#[test]
fn what_cannot_arrive_in_time_is_rejected_at_once() {
    let now = ms(1000);
    // Bytes, time until the objective and until the deadline, longest wait, and whether it is admitted.
    let cases = [
        (60_000, 1500, 3000, None, true),
        // Takes 1.6 s alone, more than the objective but less than the deadline.
        (1_700_000, 1500, 3000, None, true),
        (1_700_000, 1500, 1600, None, false),
        (60_000, 100, 120, None, false),
        (60_000, 1500, 3000, Some(10), true),
    ];
    for (bytes, due, deadline, max_wait, admitted) in cases {
        let mut inbound = new_inbound();
        let offer = Offer {
            urgency: Urgency {
                rank: 1,
                due: now + ms(due),
            },
            deadline: now + ms(deadline),
            max_wait: max_wait.map(ms),
            ..offer(now, 1, bytes)
        };
        assert_eq!(
            inbound.admit(now, &offer).is_ok(),
            admitted,
            "{bytes} {due} {deadline}"
        );
    }
    let mut inbound = new_inbound();
    for _ in 0..10 {
        inbound.admit(now, &offer(now, 1, 60_000)).unwrap();
    }
    let at_once = Offer {
        max_wait: Some(ms(75)),
        ..offer(now, 1, 60_000)
    };
    // Another target may have room, so there is no back-off.
    let full = inbound.admit(now, &at_once).unwrap_err();
    assert_eq!(full.back_off, ms(0));
    let large = inbound.admit(now, &offer(now, 1, 1_200_000)).unwrap_err();
    assert!(large.back_off > ms(0) && large.back_off < ms(600));
}

/// Guards against a sender that stops half-way and holds up the bodies of others, or whose part of the width stays
/// reserved.
#[test]
fn a_stalled_sender_holds_up_no_other() {
    let mut inbound = new_inbound();
    let stalled = inbound.admit(ms(0), &offer(ms(0), 0, 360_000)).unwrap();
    let other = inbound.admit(ms(0), &offer(ms(0), 1, 60_000)).unwrap();
    let mut now = ms(0);
    let mut granted = [0, 0];
    // The sender of the first body delivers nothing; that of the second one delivers at once.
    while now < ms(400) {
        if let Turn::Grant(bytes) = inbound.take_turn(now, stalled) {
            granted[0] += bytes;
        }
        if let Turn::Grant(bytes) = inbound.take_turn(now, other) {
            granted[1] += bytes;
            inbound.arrived(now, other, bytes);
        }
        now += ms(1);
    }
    assert!(granted[0] <= 4 * PIECE_BYTES, "{granted:?}");
    assert_eq!(granted[1], 60_000);
    assert!(inbound.backlog(now) < ms(10), "{:?}", inbound.backlog(now));
    assert_eq!(inbound.arriving(now), 0);
    // It goes on once its bytes arrive.
    inbound.arrived(now, stalled, granted[0]);
    assert!(matches!(inbound.take_turn(now, stalled), Turn::Grant(_)));
}

/// Guards against grants that ignore other traffic, and against traffic of the past that delays grants for long.
#[test]
fn other_traffic_shares_the_width() {
    let mut inbound = new_inbound();
    let now = ms(1000);
    let id = inbound.admit(now, &offer(now, 1, 360_000)).unwrap();
    assert!(matches!(inbound.take_turn(now, id), Turn::Grant(_)));
    inbound.record_received(now, 24_000);
    match inbound.take_turn(now, id) {
        Turn::Wait(t) => assert!(t > ms(15) && t < ms(30), "{t:?}"),
        turn => panic!("{turn:?}"),
    }
    // Messages that arrived while nothing was granted used time that has passed.
    let mut idle = new_inbound();
    idle.record_received(now, 100_000);
    assert_eq!(idle.backlog(now), ms(0));
    // A width that is set too low does not stop the grants.
    for _ in 0..1000 {
        idle.record_received(now, 100_000);
    }
    assert!(idle.backlog(now) <= ms(100));
}

/// Guards against memory for bodies that grows with what is announced.
#[test]
fn the_memory_of_admitted_bodies_is_bounded() {
    let mut inbound = Inbound::new(10_000.0);
    let mut admitted = Vec::new();
    while let Ok(id) = inbound.admit_local(ms(0), 1 << 20) {
        admitted.push(id);
        assert!(admitted.len() < 1000);
    }
    let held = inbound.held_bytes();
    assert!(held <= 16 << 20, "{held}");
    assert!(inbound.admit(ms(0), &offer(ms(0), 0, 1 << 20)).is_err());
    inbound.end(admitted[0]);
    let next = inbound.admit(ms(0), &offer(ms(0), 0, 1 << 20)).unwrap();
    inbound.end(next);
    // Senders that announce much and deliver little keep out no others.
    let later = ms(500);
    inbound.arrived(later, admitted[1], 1 << 20);
    let more = inbound.admit(later, &offer(later, 0, 1 << 20)).unwrap();
    assert!(matches!(inbound.take_turn(later, more), Turn::Grant(_)));
    // When they deliver after all, nothing is granted beyond the bound.
    for id in &admitted[2..] {
        inbound.arrived(later, *id, 1 << 20);
    }
    let mut granted = 0;
    while let Turn::Grant(bytes) = inbound.take_turn(later + ms(granted as u64), more) {
        inbound.arrived(later, more, bytes);
        granted += bytes;
    }
    assert!(granted < 1 << 20, "{granted}");
    let announced = offer(ms(0), 0, usize::MAX);
    assert!(Inbound::new(10_000.0).admit(ms(0), &announced).is_err());
    // The largest legal body is admitted when there is no other.
    let mut empty = Inbound::new(10_000.0);
    assert!(empty.admit(ms(0), &offer(ms(0), 0, 64 << 20)).is_ok());
}

/// Guards against uploads that are admitted although there will be no slot for them, and against the rejection of those
/// that get one while their bodies arrive.
#[test]
fn a_slot_is_expected_once_the_body_is_there() {
    let mut q = Queue::default();
    q.set_slots(ms(0), 2);
    let arrival = |objective: u64| Arrival {
        ticket: 1,
        route: "up".into(),
        tenant: Default::default(),
        rank: 1,
        objective: ms(objective),
        due: ms(objective),
        deadline: ms(3 * objective),
        baseline: ms(0),
        max_wait: None,
        retry: false,
        link_backlog: ms(0),
        transfer: ms(0),
    };
    // Objective, time until the body is there, others that arrive before it, and whether it is admitted. Each request
    // takes 100 ms at one of two slots.
    let cases = [
        (1000, 0, 0, true),
        (1000, 0, 30, false),
        // 15 of the others are served meanwhile.
        (1000, 750, 16, true),
        (1000, 800, 30, false),
        (1000, 2990, 0, false),
    ];
    for (objective, delay, arriving, admitted) in cases {
        let rejection = q.preview(ms(0), &arrival(objective), ms(delay), arriving);
        assert_eq!(
            rejection.is_none(),
            admitted,
            "{delay} {arriving} {rejection:?}"
        );
    }
    assert!(q.is_empty());
}
