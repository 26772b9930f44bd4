//! Property tests of the admission queue.

mod property;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dragonflyquay::process::routing::admission::{
    Action, Admission, Arrival, RankShare, Ticket, MAX_QUEUED_PER_CALLER, MAX_QUEUED_PER_RANK,
};
use dragonflyquay::request::reason::Reason;
use dragonflyquay::settings::QueuePolicy;
use property::run;
use proptest::prelude::*;

const NO_DEADLINE: Duration = Duration::from_secs(1_000_000);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn ranks(shares: &[f64]) -> Vec<RankShare> {
    let rank = |(i, min_share): (usize, &f64)| RankShare {
        name: format!("r{i}").into(),
        order: i as u8,
        min_share: *min_share,
    };
    shares.iter().enumerate().map(rank).collect()
}

fn arrival(ticket: Ticket, rank: usize, caller: u32, deadline: Duration) -> Arrival {
    Arrival {
        ticket,
        rank: format!("r{rank}").into(),
        caller: format!("c{caller}").into(),
        deadline,
    }
}

#[derive(Debug, Clone)]
enum Step {
    Arrive(usize, u32, u64),
    Finish(usize),
    Cancel(usize),
    SetSlots(u32),
    SetRanks(usize),
    RejectAll,
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        12 => (0..4_usize, 0..4_u32, 1..3000_u64).prop_map(|(r, c, d)| Step::Arrive(r, c, d)),
        6 => any::<usize>().prop_map(Step::Finish),
        2 => any::<usize>().prop_map(Step::Cancel),
        1 => (0..8_u32).prop_map(Step::SetSlots),
        1 => (1..4_usize).prop_map(Step::SetRanks),
        1 => Just(Step::RejectAll),
        3 => (0..400_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..300)
}

/// Guards against a request that is dispatched twice, after its rejection or after its cancellation, against more
/// running requests than slots, against dispatches after the deadline, against lost requests in the queues, and against
/// a slot that stays idle while requests wait.
#[test]
fn each_request_ends_once() {
    run(256, &(steps(), any::<bool>()), |(steps, fifo)| {
        let policy = match fifo {
            true => QueuePolicy::Fifo,
            false => QueuePolicy::Ranked,
        };
        let mut a = Admission::new(policy);
        a.set_ranks(&ranks(&[0.0, 0.2, 0.1]));
        let (mut now, mut ticket, mut slots) = (ms(0), 0, 0_usize);
        let mut waiting: BTreeMap<Ticket, Duration> = BTreeMap::new();
        let mut running: BTreeSet<Ticket> = BTreeSet::new();
        for s in steps {
            let nth = |i: usize, all: Vec<Ticket>| (!all.is_empty()).then(|| all[i % all.len()]);
            let actions = match s {
                Step::Arrive(r, c, d) => {
                    ticket += 1;
                    waiting.insert(ticket, now + ms(d));
                    a.arrive(now, &arrival(ticket, r, c, now + ms(d)))
                }
                Step::Finish(i) => match nth(i, running.iter().copied().collect()) {
                    Some(t) => {
                        running.remove(&t);
                        a.finished(now, t)
                    }
                    None => vec![],
                },
                Step::Cancel(i) => match nth(i, waiting.keys().copied().collect()) {
                    Some(t) => {
                        waiting.remove(&t);
                        a.cancelled(now, t)
                    }
                    None => vec![],
                },
                Step::SetSlots(n) => {
                    slots = n as usize;
                    a.set_slots(now, n)
                }
                Step::SetRanks(n) => {
                    a.set_ranks(&ranks(&[0.0, 0.2, 0.1][..n]));
                    vec![]
                }
                Step::RejectAll => a.reject_all(Reason::NotReady),
                Step::Wait(wait) => {
                    now += ms(wait);
                    vec![]
                }
            };
            let dispatched = actions.iter().any(|x| matches!(x, Action::Dispatch(_)));
            for x in actions {
                match x {
                    Action::Dispatch(t) => {
                        let deadline = waiting.remove(&t).expect("dispatched without waiting");
                        assert!(deadline > now, "dispatched after its deadline");
                        running.insert(t);
                    }
                    Action::Reject(t, ..) => {
                        waiting.remove(&t).expect("rejected without waiting");
                    }
                }
            }
            assert!(!dispatched || running.len() <= slots);
            let total: usize = a.waiting().map(|(_, n)| n).sum();
            assert_eq!(total, waiting.len(), "a request was lost");
            assert!(
                total == 0 || running.len() >= slots,
                "idle slot while requests wait"
            );
        }
        Ok(())
    });
}

/// Counts the dispatches of each rank while new requests overload the ranks in `overloaded` for `n` dispatches.
fn overload(shares: &[f64], overloaded: &[usize], n: usize) -> Vec<usize> {
    let mut a = Admission::new(QueuePolicy::Ranked);
    a.set_ranks(&ranks(shares));
    a.set_slots(ms(0), 1);
    let mut served = vec![0; shares.len()];
    let mut rank_of = BTreeMap::new();
    let mut ticket = 0;
    let mut now = ms(0);
    let mut running = None;
    for _ in 0..n {
        now += ms(1);
        let mut actions = Vec::new();
        for r in overloaded {
            for c in 0..3 {
                ticket += 1;
                rank_of.insert(ticket, *r);
                actions.extend(a.arrive(now, &arrival(ticket, *r, c, NO_DEADLINE)));
            }
        }
        if let Some(t) = running.take() {
            actions.extend(a.finished(now, t));
        }
        for x in actions {
            if let Action::Dispatch(t) = x {
                served[rank_of[&t]] += 1;
                running = Some(t);
            }
        }
    }
    served
}

/// Guards against an overload, also of the most urgent rank, that takes the minimum share of another rank, and against
/// a minimum share that takes more than its part from the most urgent rank.
#[test]
fn minimum_shares_hold_under_overload() {
    let shares = (0..40_u32, 0..30_u32, 0..30_u32);
    run(256, &shares, |(x, y, z)| {
        let min_shares = [f64::from(x), f64::from(y), f64::from(z)].map(|s| s / 100.0);
        let n = 1000;
        let served = overload(&min_shares, &[0, 1, 2], n);
        for (s, m) in served.iter().zip(min_shares) {
            assert!(
                *s as f64 + 3.0 >= m * n as f64,
                "{served:?} of {n}, min_shares {min_shares:?}"
            );
        }
        let others = (min_shares[1] + min_shares[2]) * n as f64 + 4.0;
        assert!(
            (served[1] + served[2]) as f64 <= others,
            "{served:?}, min_shares {min_shares:?}"
        );
        let urgent = overload(&min_shares, &[1], n);
        assert!(
            urgent[1] >= n - 1,
            "an idle rank must not take slots: {urgent:?}"
        );
        Ok(())
    });
}

/// Guards against one caller that fills the queue of a rank, or that is served before callers that came later with
/// fewer requests.
#[test]
fn callers_are_served_round_robin() {
    let mut a = Admission::new(QueuePolicy::Ranked);
    a.set_ranks(&ranks(&[0.0]));
    a.set_slots(ms(0), 1);
    let rejected =
        |x: &[Action], reason: Reason| matches!(x, [Action::Reject(_, r, _)] if *r == reason);
    a.arrive(ms(0), &arrival(0, 0, 9, NO_DEADLINE));
    for t in 1..=MAX_QUEUED_PER_CALLER as u64 {
        assert!(a.arrive(ms(0), &arrival(t, 0, 1, NO_DEADLINE)).is_empty());
    }
    let more = a.arrive(ms(0), &arrival(1000, 0, 1, NO_DEADLINE));
    assert!(rejected(&more, Reason::CallerShare));
    for t in 0..(MAX_QUEUED_PER_RANK - MAX_QUEUED_PER_CALLER) as u64 {
        assert!(a
            .arrive(ms(0), &arrival(2000 + t, 0, 2 + t as u32, NO_DEADLINE))
            .is_empty());
    }
    let full = a.arrive(ms(0), &arrival(3000, 0, 99, NO_DEADLINE));
    assert!(rejected(&full, Reason::QueueFull));
    assert_eq!(a.finished(ms(1), 0), [Action::Dispatch(1)]);
    assert_eq!(a.finished(ms(2), 1), [Action::Dispatch(2000)]);
}

/// Guards against a request that is queued although it cannot meet its deadline, against a full queue that rejects
/// without a back-off, and against an estimate that rejects all further requests after one slow sample.
#[test]
fn requests_that_cannot_meet_their_deadline_are_rejected() {
    let mut a = Admission::new(QueuePolicy::Ranked);
    a.set_ranks(&ranks(&[0.0]));
    a.set_slots(ms(0), 1);
    a.arrive(ms(0), &arrival(0, 0, 0, NO_DEADLINE));
    a.finished(ms(100), 0);
    a.arrive(ms(100), &arrival(1, 0, 0, NO_DEADLINE));
    for t in 2..5 {
        assert!(a.arrive(ms(100), &arrival(t, 0, 0, NO_DEADLINE)).is_empty());
    }
    let late = a.arrive(ms(100), &arrival(5, 0, 0, ms(400)));
    assert_eq!(late, [Action::Reject(5, Reason::Deadline, Duration::ZERO)]);
    assert!(a.arrive(ms(100), &arrival(6, 0, 0, ms(800))).is_empty());
    for t in 0..100 {
        a.arrive(ms(100), &arrival(100 + t, 0, t as u32, NO_DEADLINE));
    }
    let full = a.arrive(ms(100), &arrival(300, 0, 300, NO_DEADLINE));
    let [Action::Reject(300, Reason::QueueFull, back_off)] = full[..] else {
        panic!("{full:?}");
    };
    assert!(
        back_off >= ms(500),
        "half of the time in which 64 requests of 100 ms run: {back_off:?}"
    );
    a.reject_all(Reason::NotReady);
    a.cancelled(ms(200), 1);
    let short = a.arrive(ms(200), &arrival(400, 0, 0, ms(210)));
    assert_eq!(short, [Action::Dispatch(400)]);
}
