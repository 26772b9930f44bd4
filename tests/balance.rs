//! Properties of the balancer.

mod random;

use std::time::Duration;

use dragonflyquay::prelude::{NodeId, RankId};
use dragonflyquay::process::routing::balance::{
    Balance, Choice, End, Hint, TargetInfo, MAX_EJECTED_PERCENT,
};
use dragonflyquay::settings::BalancePolicy;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use random::run;

const OLD: Duration = Duration::from_secs(100);
const GOOD: End = End::Answered {
    latency: Duration::from_millis(5),
    load_percent: None,
};

fn info(az: &str, hint: Hint, age: Duration) -> TargetInfo {
    TargetInfo {
        service: "s".into(),
        az: az.into(),
        slots: 6,
        hint,
        age,
        born: 1,
        doubt: 0,
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn pick(b: &Balance, now: Duration, rng: &mut SmallRng) -> Option<NodeId> {
    match b.choose(now, "s", "r", &[], rng) {
        Choice::Target(n) => Some(n),
        _ => None,
    }
}

#[derive(Debug, Clone)]
enum Step {
    Choose,
    End(usize, bool),
    Hint(usize, bool),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Choose),
        6 => (0..8_usize, prop::bool::weighted(0.2)).prop_map(|(i, ok)| Step::End(i, ok)),
        1 => (0..8_usize, any::<bool>()).prop_map(|(i, r)| Step::Hint(i, r)),
        1 => (0..20_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..200)
}

/// Guards against ejection of so many targets that the rest cannot carry the load, against work for a target that is
/// leaving, and against a result that depends on anything but events, time and seed.
#[test]
fn ejection_is_bounded_and_leaving_targets_get_nothing() {
    run(256, &(steps(), 1..8_usize), |(steps, n)| {
        let replay = || {
            let mut b = Balance::new(BalancePolicy::LeastLoaded, "a".into());
            let mut rng = SmallRng::seed_from_u64(7);
            let mut now = at(0);
            let mut leaving = vec![false; n];
            let mut picked = Vec::new();
            for i in 0..n {
                b.set(now, &format!("n{i}").into(), info("a", Hint::Ready, OLD));
            }
            for s in &steps {
                match s {
                    Step::Choose => {
                        if let Some(node) = pick(&b, now, &mut rng) {
                            let i: usize = node[1..].parse().unwrap();
                            assert!(!leaving[i], "leaving target chosen");
                            b.started(&node);
                            picked.push(node);
                        }
                    }
                    Step::End(i, ok) => {
                        let end = if *ok { GOOD } else { End::Failed };
                        let node = format!("n{}", i % n).into();
                        b.ended(now, &node, &RankId::from("r"), end);
                    }
                    Step::Hint(i, ready) => {
                        leaving[i % n] = !ready;
                        let hint = if *ready { Hint::Ready } else { Hint::Leaving };
                        let node = format!("n{}", i % n).into();
                        b.set(now, &node, info("a", hint, OLD));
                    }
                    Step::Wait(ms) => now += at(*ms),
                }
                let staying = leaving.iter().filter(|l| !**l).count();
                assert!(b.ejected(now, "s") <= staying * MAX_EJECTED_PERCENT / 100);
                assert!(staying == 0 || pick(&b, now, &mut rng).is_some());
            }
            picked
        };
        assert_eq!(replay(), replay());
        Ok(())
    });
}

/// Guards against cross-zone traffic while the own zone has room, and against refusing to spill when it has none.
#[test]
fn own_zone_first_until_four_fifths() {
    run(256, &(0..40_u32, any::<u64>()), |(out, seed)| {
        let mut b = Balance::new(BalancePolicy::LeastLoaded, "a".into());
        let mut rng = SmallRng::seed_from_u64(seed);
        for (node, az) in [("a0", "a"), ("a1", "a"), ("b0", "b"), ("b1", "b")] {
            b.set(at(0), &node.into(), info(az, Hint::Ready, OLD));
        }
        for i in 0..out {
            b.started(&format!("a{}", i % 2).into());
        }
        let spilled = (0..200)
            .filter_map(|_| pick(&b, at(1), &mut rng))
            .any(|n| n.starts_with('b'));
        assert_eq!(spilled, f64::from(out) > 0.8 * 12.0);
        Ok(())
    });
}

/// Guards against a cold target that gets a whole share at once, and against one that never gets any.
#[test]
fn cold_target_ramps() {
    let share = |age: u64| {
        let mut b = Balance::new(BalancePolicy::LeastLoaded, "a".into());
        let mut rng = SmallRng::seed_from_u64(3);
        for i in 0..3 {
            b.set(at(0), &format!("n{i}").into(), info("a", Hint::Ready, OLD));
        }
        b.set(at(0), &"cold".into(), info("a", Hint::Ready, at(age)));
        let mut cold = 0;
        let mut open = std::collections::VecDeque::new();
        for _ in 0..4000 {
            let node = pick(&b, at(0), &mut rng).unwrap();
            cold += u32::from(node == "cold");
            b.started(&node);
            open.push_back(node);
            if open.len() > 60 {
                let done = open.pop_front().unwrap();
                b.ended(at(0), &done, &RankId::from("r"), GOOD);
            }
        }
        cold
    };
    let (new, warm) = (share(0), share(10_000));
    assert!(new > 0 && new * 4 < warm, "cold {new}, warm {warm}");
}

/// Guards against a lagging or misleading health hint that outweighs what this node has just seen.
#[test]
fn observation_outweighs_hints() {
    let mut b = Balance::new(BalancePolicy::LeastLoaded, "a".into());
    let mut rng = SmallRng::seed_from_u64(1);
    for i in 0..4 {
        b.set(at(0), &format!("n{i}").into(), info("a", Hint::Ready, OLD));
    }
    let rank = RankId::from("r");
    for _ in 0..5 {
        b.ended(at(10), &"n0".into(), &rank, End::Failed);
    }
    b.ended(at(10), &"n1".into(), &rank, GOOD);
    b.set(at(20), &"n1".into(), info("a", Hint::Unready, OLD));
    b.set(at(20), &"n2".into(), info("a", Hint::Unready, OLD));
    let seen: std::collections::BTreeSet<_> = (0..400)
        .filter_map(|_| pick(&b, at(20), &mut rng))
        .collect();
    assert_eq!(seen.into_iter().collect::<Vec<_>>(), ["n1", "n3"]);
}

/// Guards against sending work of a rank to a target that has just refused that rank, and against a hold-off that
/// stops other ranks too or never ends.
#[test]
fn hold_off_sheds_one_rank_for_its_time() {
    let mut b = Balance::new(BalancePolicy::LeastLoaded, "a".into());
    let mut rng = SmallRng::seed_from_u64(1);
    b.set(at(0), &"n0".into(), info("a", Hint::Ready, OLD));
    b.ended(at(0), &"n0".into(), &"r".into(), End::Refused(at(100)));
    b.ended(at(10), &"n0".into(), &"r".into(), End::Refused(at(0)));
    let mut ask = |now, rank: &str| b.choose(at(now), "s", rank, &[], &mut rng);
    assert_eq!(ask(40, "r"), Choice::HeldOff(at(60)));
    assert_eq!(ask(40, "other"), Choice::Target("n0".into()));
    assert_eq!(ask(100, "r"), Choice::Target("n0".into()));
}

/// Guards against work for nodes that membership doubts while others serve, and against giving up when only such
/// nodes are left.
#[test]
fn doubtful_nodes_come_last() {
    let mut b = Balance::new(BalancePolicy::LeastLoaded, "a".into());
    let mut rng = SmallRng::seed_from_u64(1);
    let doubted = |az, doubt| TargetInfo {
        doubt,
        ..info(az, Hint::Ready, OLD)
    };
    b.set(at(0), &"own".into(), doubted("a", 2));
    b.set(at(0), &"near".into(), doubted("a", 1));
    b.set(at(0), &"far".into(), doubted("b", 0));
    let mut only = |b: &Balance| (0..50).filter_map(|_| pick(b, at(1), &mut rng)).collect();
    let got: std::collections::BTreeSet<NodeId> = only(&b);
    assert_eq!(got.into_iter().collect::<Vec<_>>(), ["far"]);
    b.remove(at(0), &"far".into());
    b.remove(at(0), &"near".into());
    let got: std::collections::BTreeSet<NodeId> = only(&b);
    assert_eq!(got.into_iter().collect::<Vec<_>>(), ["own"]);
}
