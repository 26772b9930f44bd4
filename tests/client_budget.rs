//! The budget of a process for its clients, without I/O: who gives way when it is spent.

use std::time::Duration;

use dragonflyquay::connection::budget::{
    Budget, BudgetLimits, ClientId, Limit, Spent, Stage, CONNECTION_BYTES,
};
use proptest::prelude::*;

const MB: usize = 1 << 20;
const PORT: &str = "caller";
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn budget(bytes: usize, connections: usize) -> Budget {
    Budget::new(BudgetLimits {
        bytes,
        connections,
        window_bytes: 960,
        window: seconds(15),
    })
}

fn open(b: &mut Budget, now: Duration) -> ClientId {
    let (id, evicted) = b.open(now, 0, PORT, HEAD_TIMEOUT).unwrap();
    assert_eq!(evicted, []);
    id
}

/// Opens a connection on which `arrived` bytes of a body of `length` bytes have arrived.
fn open_body(b: &mut Budget, now: Duration, arrived: usize, length: usize) -> ClientId {
    let id = open(b, now);
    b.set_stage(id, Stage::Head, now);
    b.set_stage(id, Stage::Body(Some(length as u64)), now);
    b.record_progress(id, arrived as u64, now);
    assert_eq!(b.charge(id, arrived, now), Ok(vec![]));
    id
}

/// Guards against a body that is nearly complete and gives way to one that has just begun.
#[test]
fn the_least_complete_body_gives_way() {
    let mut b = budget(16 * MB, 10);
    let nearly = open_body(&mut b, seconds(0), 7 * MB, 8 * MB);
    let begun = open_body(&mut b, seconds(0), MB, 8 * MB);
    let half = open_body(&mut b, seconds(0), 4 * MB, 8 * MB);
    assert_eq!(
        b.charge(nearly, 5 * MB / 2, seconds(0)),
        Ok(vec![(begun, Limit::Memory)])
    );
    // The one that is half complete does not displace the one that is nearly complete.
    assert_eq!(b.charge(half, MB, seconds(0)), Err(Spent));
}

/// Guards against an urgent request that gives way to a less urgent one, and against a body that stands still and keeps
/// its room because most of it has arrived.
#[test]
fn stalled_and_less_urgent_bodies_give_way_first() {
    let mut b = budget(8 * MB, 10);
    let stalled = open_body(&mut b, seconds(0), 2 * MB, 2 * MB + 1);
    let less_urgent = open_body(&mut b, seconds(2), 2 * MB, 8 * MB);
    b.set_rank(less_urgent, 3);
    let urgent = open_body(&mut b, seconds(2), 2 * MB, 8 * MB);
    let evicted = b.charge(urgent, 5 * MB / 2, seconds(2));
    assert_eq!(evicted, Ok(vec![(stalled, Limit::Memory)]));
    let evicted = b.charge(urgent, MB, seconds(2));
    assert_eq!(evicted, Ok(vec![(less_urgent, Limit::Memory)]));
}

/// Guards against a request that a target may run and whose connection is closed for a new one.
#[test]
fn a_running_request_never_gives_way() {
    let mut b = budget(4 * MB, 2);
    let running = open_body(&mut b, seconds(0), 3 * MB, 3 * MB);
    b.set_stage(running, Stage::Running, seconds(0));
    let other = open_body(&mut b, seconds(9), 0, 3 * MB);
    b.record_progress(other, 2 * MB as u64, seconds(9));
    assert_eq!(b.charge(other, 2 * MB, seconds(9)), Err(Spent));
    b.set_stage(other, Stage::Running, seconds(9));
    assert_eq!(b.open(seconds(99), 0, PORT, HEAD_TIMEOUT), Err(Spent));
    b.set_stage(other, Stage::Idle, seconds(99));
    let (_, evicted) = b.open(seconds(99), 0, PORT, HEAD_TIMEOUT).unwrap();
    assert_eq!(evicted, [(other, Limit::Descriptors)]);
}

/// Guards against connections that wait for their next request and are closed before those that stopped half-way.
#[test]
fn half_read_heads_give_way_before_idle_connections() {
    let mut b = budget(usize::MAX, 2);
    let half = open(&mut b, seconds(0));
    let idle = open(&mut b, seconds(0));
    b.set_stage(half, Stage::Head, seconds(10));
    let (new, evicted) = b.open(seconds(12), 0, PORT, HEAD_TIMEOUT).unwrap();
    assert_eq!(evicted, [(half, Limit::Descriptors)]);
    b.set_stage(new, Stage::Head, seconds(12));
    let (_, evicted) = b.open(seconds(12), 0, PORT, HEAD_TIMEOUT).unwrap();
    assert_eq!(evicted, [(idle, Limit::Descriptors)]);
}

/// Guards against a timer that starts again at each byte, and against one that counts the time between two requests.
#[test]
fn limits_in_time_cover_the_whole() {
    let mut b = budget(usize::MAX, 10);
    let idle = open(&mut b, seconds(0));
    let head = open(&mut b, seconds(0));
    b.set_stage(head, Stage::Head, seconds(100));
    let body = open_body(&mut b, seconds(100), 0, MB);
    for second in 101..115 {
        b.set_stage(head, Stage::Head, seconds(second));
        b.record_progress(body, 1, seconds(second));
        let expected = match second {
            104 => vec![(head, Limit::HeadTimeout)],
            _ => vec![],
        };
        assert_eq!(b.remove_overdue(seconds(second)), expected);
    }
    assert_eq!(b.remove_overdue(seconds(115)), [(body, Limit::BodyRate)]);
    assert_eq!(b.connections(), 1);
    b.close(idle);
    assert_eq!(b.used(), 0);
}

/// Guards against a reader that pauses for a lossy period and is closed although it reads on.
#[test]
fn a_pause_shorter_than_the_window_is_allowed() {
    let mut b = budget(usize::MAX, 10);
    let reader = open(&mut b, seconds(0));
    b.set_stage(reader, Stage::Response, seconds(0));
    b.record_blocked(reader, seconds(0));
    for window in 0..4 {
        assert_eq!(b.remove_overdue(seconds(15 * window + 12)), []);
        b.record_progress(reader, 64 << 10, seconds(15 * window + 13));
        assert_eq!(b.remove_overdue(seconds(15 * window + 15)), []);
        b.record_blocked(reader, seconds(15 * window + 15));
    }
    assert_eq!(b.remove_overdue(seconds(76)), [(reader, Limit::ReadRate)]);
}

/// Guards against a response that waits for the link of the VM and is closed for its reader.
#[test]
fn a_response_that_waits_for_the_link_is_kept() {
    let mut b = budget(2 * CONNECTION_BYTES, 10);
    let waiting = open(&mut b, seconds(0));
    b.set_stage(waiting, Stage::Response, seconds(0));
    assert_eq!(b.remove_overdue(seconds(20)), []);
    assert_eq!(b.remove_overdue(seconds(40)), []);
    let reader = open(&mut b, seconds(40));
    b.set_stage(reader, Stage::Response, seconds(40));
    b.record_blocked(reader, seconds(40));
    let (_, evicted) = b.open(seconds(42), 0, PORT, HEAD_TIMEOUT).unwrap();
    assert_eq!(evicted, [(reader, Limit::Memory)]);
}

/// A change of the budget.
#[derive(Debug, Clone)]
enum Step {
    Open,
    Close(usize),
    Stage(usize, u8),
    Charge(usize, usize),
    Release(usize, usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let bytes = 0..3 * MB;
    prop_oneof![
        Just(Step::Open),
        (0..20usize).prop_map(Step::Close),
        (0..20usize, 0..5u8).prop_map(|(i, s)| Step::Stage(i, s)),
        (0..20usize, bytes.clone()).prop_map(|(i, n)| Step::Charge(i, n)),
        (0..20usize, bytes).prop_map(|(i, n)| Step::Release(i, n)),
        (0..4000u64).prop_map(Step::Wait),
    ]
}

const STAGES: [Stage; 5] = [
    Stage::Idle,
    Stage::Head,
    Stage::Body(Some(4 * MB as u64)),
    Stage::Running,
    Stage::Response,
];

proptest! {
    /// Guards against a sum of charges that exceeds the budget, against one that does not return to zero, and against a
    /// running request that gives way.
    #[test]
    fn the_budget_is_kept(steps in proptest::collection::vec(step(), 1..200)) {
        let mut b = budget(8 * MB, 12);
        let (mut open, mut now) = (Vec::<(ClientId, Stage)>::new(), Duration::ZERO);
        for step in steps {
            let mut evicted = Vec::new();
            let pick = |i: usize| (!open.is_empty()).then(|| i % open.len());
            match step {
                Step::Open => {
                    if let Ok((id, out)) = b.open(now, 0, PORT, HEAD_TIMEOUT) {
                        open.push((id, Stage::Idle));
                        evicted = out;
                    }
                }
                Step::Close(i) => {
                    let i = pick(i);
                    i.into_iter().for_each(|i| b.close(open.remove(i).0));
                }
                Step::Stage(i, stage) => {
                    if let Some(i) = pick(i) {
                        open[i].1 = STAGES[usize::from(stage)];
                        b.set_stage(open[i].0, open[i].1, now);
                    }
                }
                Step::Charge(i, bytes) => {
                    let charged = pick(i).map(|i| b.charge(open[i].0, bytes, now));
                    evicted = charged.and_then(Result::ok).unwrap_or_default();
                }
                Step::Release(i, bytes) => {
                    let i = pick(i);
                    i.into_iter().for_each(|i| b.release(open[i].0, bytes));
                }
                Step::Wait(ms) => now += Duration::from_millis(ms),
            }
            for (id, _) in evicted {
                let i = open.iter().position(|(other, _)| *other == id).unwrap();
                prop_assert_ne!(open.remove(i).1, Stage::Running);
            }
            prop_assert_eq!(b.connections(), open.len());
            prop_assert!(b.connections() <= 12);
            prop_assert!(b.used() <= 8 * MB + 12 * CONNECTION_BYTES);
        }
        open.iter().for_each(|(id, _)| b.close(*id));
        prop_assert_eq!(b.used(), 0);
    }
}
