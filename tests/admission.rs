//! Properties of the admission queue.

mod random;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dragonflyquay::process::routing::admission::{
    Action, Admission, Arrival, RankShare, Ticket, CALLER_QUEUE, RANK_QUEUE,
};
use dragonflyquay::request::reason::Reason;
use dragonflyquay::settings::QueuePolicy;
use proptest::prelude::*;
use random::run;

const FAR: Duration = Duration::from_secs(1_000_000);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ranks(shares: &[f64]) -> Vec<RankShare> {
    let rank = |(i, least): (usize, &f64)| RankShare {
        name: format!("r{i}").into(),
        order: i as u8,
        least: *least,
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
    Gone(usize),
    Slots(u32),
    Ranks(usize),
    RefuseAll,
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        12 => (0..4_usize, 0..4_u32, 1..3000_u64).prop_map(|(r, c, d)| Step::Arrive(r, c, d)),
        6 => any::<usize>().prop_map(Step::Finish),
        2 => any::<usize>().prop_map(Step::Gone),
        1 => (0..8_u32).prop_map(Step::Slots),
        1 => (1..4_usize).prop_map(Step::Ranks),
        1 => Just(Step::RefuseAll),
        3 => (0..400_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..300)
}

/// Guards against a request that is dispatched twice, after its refusal or after its caller went away, against more
/// dispatches than slots, late dispatches, and queues above their bounds.
#[test]
fn each_request_ends_once() {
    run(256, &(steps(), any::<bool>()), |(steps, fifo)| {
        let policy = match fifo {
            true => QueuePolicy::Fifo,
            false => QueuePolicy::Ranked,
        };
        let mut a = Admission::new(policy);
        a.set_ranks(&ranks(&[0.0, 0.2, 0.1]));
        let (mut now, mut next, mut slots) = (at(0), 0, 0_usize);
        let mut waiting: BTreeMap<Ticket, Duration> = BTreeMap::new();
        let mut running: BTreeSet<Ticket> = BTreeSet::new();
        for s in steps {
            let nth = |i: usize, all: Vec<Ticket>| (!all.is_empty()).then(|| all[i % all.len()]);
            let actions = match s {
                Step::Arrive(r, c, d) => {
                    next += 1;
                    waiting.insert(next, now + at(d));
                    a.arrive(now, &arrival(next, r, c, now + at(d)))
                }
                Step::Finish(i) => match nth(i, running.iter().copied().collect()) {
                    Some(t) => {
                        running.remove(&t);
                        a.finished(now, t)
                    }
                    None => vec![],
                },
                Step::Gone(i) => match nth(i, waiting.keys().copied().collect()) {
                    Some(t) => {
                        waiting.remove(&t);
                        a.gone(now, t)
                    }
                    None => vec![],
                },
                Step::Slots(n) => {
                    slots = n as usize;
                    a.set_slots(now, n)
                }
                Step::Ranks(n) => {
                    a.set_ranks(&ranks(&[0.0, 0.2, 0.1][..n]));
                    vec![]
                }
                Step::RefuseAll => a.refuse_all(Reason::NotReady),
                Step::Wait(ms) => {
                    now += at(ms);
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
                    Action::Refuse(t, ..) => {
                        waiting.remove(&t).expect("refused without waiting");
                    }
                }
            }
            assert!(!dispatched || running.len() <= slots);
            let total: usize = a.waiting().map(|(_, n)| n).sum();
            assert_eq!(total, waiting.len(), "a request was lost");
            assert!(
                total == 0 || running.len() >= slots,
                "idle slot beside waiting work"
            );
        }
        Ok(())
    });
}

/// Dispatch counts by rank while every rank in `flooded` is kept full for `n` dispatches.
fn flood(shares: &[f64], flooded: &[usize], n: usize) -> Vec<usize> {
    let mut a = Admission::new(QueuePolicy::Ranked);
    a.set_ranks(&ranks(shares));
    a.set_slots(at(0), 1);
    let mut served = vec![0; shares.len()];
    let mut rank_of = BTreeMap::new();
    let mut next = 0;
    let mut now = at(0);
    let mut running = None;
    for _ in 0..n {
        now += at(1);
        let mut actions = Vec::new();
        for r in flooded {
            for c in 0..3 {
                next += 1;
                rank_of.insert(next, *r);
                actions.extend(a.arrive(now, &arrival(next, *r, c, FAR)));
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

/// Guards against a flood, of the most urgent rank too, that takes the least share of another rank, and against a
/// least share that takes more than its part from the urgent rank.
#[test]
fn least_shares_hold_in_every_flood() {
    let shares = (0..40_u32, 0..30_u32, 0..30_u32);
    run(256, &shares, |(x, y, z)| {
        let least = [f64::from(x), f64::from(y), f64::from(z)].map(|s| s / 100.0);
        let n = 1000;
        let served = flood(&least, &[0, 1, 2], n);
        for (s, l) in served.iter().zip(least) {
            assert!(
                *s as f64 + 3.0 >= l * n as f64,
                "{served:?} of {n}, least {least:?}"
            );
        }
        let others = (least[1] + least[2]) * n as f64 + 4.0;
        assert!(
            (served[1] + served[2]) as f64 <= others,
            "{served:?}, least {least:?}"
        );
        let urgent = flood(&least, &[1], n);
        assert!(
            urgent[1] >= n - 1,
            "an idle rank must not take slots: {urgent:?}"
        );
        Ok(())
    });
}

/// Guards against one caller that fills a rank's queue, or is served before callers that came later with less.
#[test]
fn callers_take_turns() {
    let mut a = Admission::new(QueuePolicy::Ranked);
    a.set_ranks(&ranks(&[0.0]));
    a.set_slots(at(0), 1);
    let refused = |x: &[Action], why: Reason| matches!(x, [Action::Refuse(_, r, _)] if *r == why);
    a.arrive(at(0), &arrival(0, 0, 9, FAR));
    for t in 1..=CALLER_QUEUE as u64 {
        assert!(a.arrive(at(0), &arrival(t, 0, 1, FAR)).is_empty());
    }
    let more = a.arrive(at(0), &arrival(1000, 0, 1, FAR));
    assert!(refused(&more, Reason::CallerShare));
    for t in 0..(RANK_QUEUE - CALLER_QUEUE) as u64 {
        assert!(a
            .arrive(at(0), &arrival(2000 + t, 0, 2 + t as u32, FAR))
            .is_empty());
    }
    let full = a.arrive(at(0), &arrival(3000, 0, 99, FAR));
    assert!(refused(&full, Reason::QueueFull));
    assert_eq!(a.finished(at(1), 0), [Action::Dispatch(1)]);
    assert_eq!(a.finished(at(2), 1), [Action::Dispatch(2000)]);
}

/// Guards against work that is accepted although it cannot be in time, against a back-off that is missing from a
/// full queue's refusals, and against an estimate that refuses for ever after one slow sample.
#[test]
fn late_work_is_refused_early() {
    let mut a = Admission::new(QueuePolicy::Ranked);
    a.set_ranks(&ranks(&[0.0]));
    a.set_slots(at(0), 1);
    a.arrive(at(0), &arrival(0, 0, 0, FAR));
    a.finished(at(100), 0);
    a.arrive(at(100), &arrival(1, 0, 0, FAR));
    for t in 2..5 {
        assert!(a.arrive(at(100), &arrival(t, 0, 0, FAR)).is_empty());
    }
    let late = a.arrive(at(100), &arrival(5, 0, 0, at(400)));
    assert_eq!(late, [Action::Refuse(5, Reason::Deadline, Duration::ZERO)]);
    assert!(a.arrive(at(100), &arrival(6, 0, 0, at(800))).is_empty());
    for t in 0..100 {
        a.arrive(at(100), &arrival(100 + t, 0, t as u32, FAR));
    }
    let full = a.arrive(at(100), &arrival(300, 0, 300, FAR));
    let [Action::Refuse(300, Reason::QueueFull, back_off)] = full[..] else {
        panic!("{full:?}");
    };
    assert!(
        back_off >= at(500),
        "half of the time in which 64 requests of 100 ms run: {back_off:?}"
    );
    a.refuse_all(Reason::NotReady);
    a.gone(at(200), 1);
    let short = a.arrive(at(200), &arrival(400, 0, 0, at(210)));
    assert_eq!(short, [Action::Dispatch(400)]);
}
