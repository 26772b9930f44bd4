//! Policies of the sidecar, driven by events and a time.

mod random;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dragonflyquay::request::reason::Reason;
use dragonflyquay::sidecar::budget::{Budget, BudgetBounds};
use dragonflyquay::sidecar::fairness::{Fair, KEPT};
use dragonflyquay::sidecar::members::{Change, Members, NodeRecord, FORGET};
use dragonflyquay::sidecar::patch;
use dragonflyquay::sidecar::queue::{Action, Arrival, Queue};
use dragonflyquay::sidecar::routes::{Part, Route, RouteTable};
use dragonflyquay::sidecar::split::Split;
use dragonflyquay::sidecar::target::{BeatError, Heartbeat, OwnTarget, Reported};
use dragonflyquay::sidecar::watchers::{must_watch, Candidate, CANDIDATES, WATCHERS};
use proptest::prelude::*;
use random::run;

const SERVICE: Duration = Duration::from_millis(100);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn arrival(ticket: u64, rank: usize, now: Duration, aim: u64) -> Arrival {
    Arrival {
        ticket,
        route: "r".into(),
        rank,
        aim: ms(aim),
        due: now + ms(aim),
        deadline: now + ms(aim * 3),
        usual: Duration::ZERO,
        patience: None,
        repeat: false,
    }
}

fn dispatched(actions: &[Action]) -> Vec<u64> {
    let ticket = |a: &Action| match a {
        Action::Dispatch(t) => Some(*t),
        Action::Refuse(..) => None,
    };
    actions.iter().filter_map(ticket).collect()
}

/// A queue that has learned a service time of 100 ms.
fn warm(slots: u32) -> Queue {
    let mut q = Queue::default();
    q.set_slots(ms(0), slots);
    for t in 1_000_000..1_000_040 {
        q.arrive(ms(0), arrival(t, 0, ms(0), 10_000));
        q.finished(SERVICE, t, false);
    }
    q
}

/// Guards against a request that waits although it cannot be answered within its aim: it has to be refused at once,
/// with a time after which there may be room.
#[test]
fn refuses_at_once_what_cannot_meet_its_aim() {
    let mut q = warm(2);
    let now = ms(1000);
    let mut ran = 0;
    let mut refused = Vec::new();
    for t in 0..40 {
        match q.arrive(now, arrival(t, 1, now, 300)).as_slice() {
            [Action::Dispatch(_)] => ran += 1,
            [Action::Refuse(_, reason, back_off)] => refused.push((*reason, *back_off)),
            _ => {}
        }
    }
    assert_eq!(ran, 2);
    // Two slots of 100 ms serve four more within 300 ms.
    assert!(q.len() <= 8, "{} wait", q.len() - 2);
    assert!(refused.len() >= 30);
    assert!(refused
        .iter()
        .all(|(r, b)| *r == Reason::QueueFull && !b.is_zero()));
}

/// Guards against less urgent work that keeps urgent work waiting.
#[test]
fn urgent_work_goes_first() {
    let mut q = warm(1);
    let now = ms(1000);
    assert_eq!(dispatched(&q.arrive(now, arrival(1, 2, now, 2000))), [1]);
    q.arrive(now, arrival(2, 2, now, 2000));
    q.arrive(now, arrival(3, 1, now, 2000));
    q.arrive(now, arrival(4, 0, now, 2000));
    let mut order = Vec::new();
    for (t, at) in [(1, 1100), (4, 1200), (3, 1300)] {
        order.extend(dispatched(&q.finished(ms(at), t, false)));
    }
    assert_eq!(order, [4, 3, 2]);
}

/// Guards against a target that became slow and looks fast until its slow requests end.
#[test]
fn running_requests_show_a_slow_target() {
    let mut q = warm(2);
    let now = ms(1000);
    q.arrive(now, arrival(1, 1, now, 5000));
    q.arrive(now, arrival(2, 1, now, 5000));
    assert!(q.load(now + ms(50)).service_us <= 110_000);
    assert_eq!(q.load(now + ms(800)).service_us, 800_000);
}

/// Guards against slots that stay taken after their callers have gone.
#[test]
fn a_request_that_is_given_up_frees_its_place() {
    let mut q = warm(1);
    let now = ms(1000);
    q.arrive(now, arrival(1, 1, now, 500));
    q.arrive(now, arrival(2, 1, now, 500));
    q.arrive(now, arrival(3, 1, now, 500));
    assert!(q.gone(now, 2).is_empty());
    assert_eq!(dispatched(&q.gone(now, 1)), [3]);
    assert_eq!(q.len(), 1);
}

/// Guards against requests that are lost or dispatched twice, and against more of them in slots than there are.
#[test]
fn every_request_ends_once() {
    run(
        64,
        &proptest::collection::vec((0_usize..4, 0_u8..4, 0_u64..40), 1..200),
        |steps| {
            let mut q = warm(3);
            let mut now = ms(1000);
            let (mut running, mut seen) = (Vec::new(), std::collections::BTreeMap::new());
            let mut asked = 0;
            let take = |actions: Vec<Action>,
                        running: &mut Vec<u64>,
                        seen: &mut std::collections::BTreeMap<u64, u32>| {
                for a in actions {
                    let t = match a {
                        Action::Dispatch(t) => {
                            running.push(t);
                            t
                        }
                        Action::Refuse(t, ..) => t,
                    };
                    *seen.entry(t).or_default() += 1;
                }
            };
            for (rank, kind, dt) in steps {
                now += ms(dt);
                let out = match kind {
                    0 | 1 => {
                        asked += 1;
                        q.arrive(now, arrival(asked, rank, now, 300))
                    }
                    2 if !running.is_empty() => {
                        let t = running.remove(rank % running.len());
                        q.finished(now, t, false)
                    }
                    _ => q.advance(now),
                };
                take(out, &mut running, &mut seen);
                prop_assert!(running.len() <= 3);
            }
            while let Some(t) = running.pop() {
                now += ms(10);
                let out = q.finished(now, t, false);
                take(out, &mut running, &mut seen);
            }
            let out = q.advance(now + ms(10_000));
            take(out, &mut running, &mut seen);
            prop_assert_eq!(seen.len() as u64, asked);
            prop_assert!(seen.values().all(|n| *n == 1));
            Ok(())
        },
    );
}

/// Guards against a target whose slowness is taken from its mix of routes: one that runs only a long route at usual speed
/// is not slow, and one that runs a short route at half the speed is.
#[test]
fn slowness_is_relative_to_the_route() {
    let ran = |usual: u64, took: u64| {
        let mut q = Queue::default();
        q.set_slots(ms(0), 1);
        for t in 0..100 {
            let a = Arrival {
                usual: ms(usual),
                ..arrival(t, 1, ms(0), 60_000)
            };
            q.arrive(ms(0), a);
            q.finished(ms(took), t, false);
        }
        f64::from(q.load(ms(0)).slow) / 100.0
    };
    assert!((ran(800, 800) - 1.0).abs() < 0.05);
    assert!((ran(50, 100) - 2.0).abs() < 0.1);
}

/// Guards against a wait at a full target while others are idle: an attempt that may go elsewhere is refused at once, and
/// without a time to come back, since the target asks for none.
#[test]
fn an_attempt_that_may_go_elsewhere_does_not_wait() {
    let mut q = warm(1);
    let now = ms(1000);
    let eager = |t| Arrival {
        patience: Some(ms(15)),
        ..arrival(t, 1, now, 300)
    };
    assert_eq!(dispatched(&q.arrive(now, eager(1))), [1]);
    let refused = Action::Refuse(2, Reason::QueueFull, Duration::ZERO);
    assert_eq!(q.arrive(now, eager(2)), [refused]);
    assert!(q.arrive(now, arrival(3, 1, now, 300)).is_empty(), "waits");
}

/// Guards against a budget that exceeds its part in any window, over any schedule of requests.
#[test]
fn repeats_stay_within_every_window() {
    let b = BudgetBounds {
        window: Duration::from_secs(10),
        ratio: 0.2,
        least: 40.0,
    };
    run(
        64,
        &proptest::collection::vec((0_u64..500, any::<bool>()), 1..400),
        |steps| {
            let mut budget = Budget::default();
            let mut now = ms(0);
            let (mut requests, mut repeats) = (Vec::new(), Vec::new());
            for (dt, request) in steps {
                now += ms(dt);
                match request {
                    true => {
                        budget.request(&b, 1, 0.0, now);
                        requests.push(now);
                    }
                    false if budget.take(&b, 1, 4, now) => repeats.push(now),
                    false => {}
                }
                let within = |list: &[Duration], time: Duration| {
                    list.iter().filter(|t| **t + time >= now).count() as f64
                };
                // The buckets cover at most one tenth more than the window.
                let allowed = 0.2 * within(&requests, ms(11_000)) + 40.0 / 4.0;
                prop_assert!(within(&repeats, b.window) <= allowed);
            }
            Ok(())
        },
    );
}

/// Guards against calls of repeated runs that exceed the budget of the called service: they count as repeats, and the part
/// of a node that they have spent covers no other repeat.
#[test]
fn calls_of_repeated_runs_spend_the_budget() {
    let b = BudgetBounds {
        window: Duration::from_secs(10),
        ratio: 0.2,
        least: 0.0,
    };
    let taken = |repeated: f64| {
        let mut budget = Budget::default();
        (0..1000)
            .filter(|i| {
                budget.request(&b, 1, repeated, ms(*i));
                budget.take(&b, 1, 4, ms(*i))
            })
            .count() as f64
    };
    let alone = taken(0.0);
    assert!(alone > 0.0 && alone <= 200.0, "{alone}");
    assert!((taken(0.05) - (alone - 50.0)).abs() <= 2.0);
    assert!(taken(0.25) <= 1.0, "calls alone spend it");
}

/// Guards against less urgent repeats that leave nothing to urgent ones.
#[test]
fn urgent_repeats_find_some_budget() {
    let b = BudgetBounds {
        window: Duration::from_secs(10),
        ratio: 0.2,
        least: 0.0,
    };
    let mut budget = Budget::default();
    for i in 0..1000 {
        budget.request(&b, (i % 2) as usize, 0.0, ms(i));
    }
    let taken = |budget: &mut Budget, rank| {
        let take = |_: &u32| budget.take(&b, rank, 4, ms(1000));
        (0..1000).filter(take).count()
    };
    let others = taken(&mut budget, 1);
    let urgent = taken(&mut budget, 0);
    assert!(others >= 50 && urgent >= 50, "{others} {urgent}");
    assert_eq!(taken(&mut budget, 1), 0);
    assert!(others + urgent <= 200);
    // Where a service has less urgent work only, that is the most urgent.
    let mut alone = Budget::default();
    (0..1000).for_each(|i| alone.request(&b, 2, 0.0, ms(i)));
    assert!(taken(&mut alone, 2) > others);
}

/// Guards against requests that are sent to a target with too little time to end there: they run in vain and keep slots.
#[test]
fn what_cannot_end_in_time_is_not_sent() {
    let mut q = warm(1);
    let now = ms(1000);
    let short = |t, left| Arrival {
        deadline: now + ms(left),
        ..arrival(t, 1, now, 300)
    };
    let refused = [Action::Refuse(1, Reason::Deadline, Duration::ZERO)];
    assert_eq!(q.arrive(now, short(1, 70)), refused);
    assert_eq!(dispatched(&q.arrive(now, short(2, 110))), [2]);
}

/// Guards against parts of a route whose shares drift from their weights, also over few requests.
#[test]
fn shares_follow_weights_closely() {
    let part = |service: &str, weight| Part {
        service: service.into(),
        weight,
    };
    let parts = [part("x", 90), part("y", 10)];
    let mut split = Split::default();
    let mut n = 0;
    for i in 1..=500 {
        if split.next(&"r".into(), &parts).service == "y" {
            n += 1;
        }
        let wanted = f64::from(i) * 0.1;
        assert!((f64::from(n) - wanted).abs() <= 2.0, "{n} of {i}");
    }
}

const ADDRESS: &str = "127.0.0.1:9000";

fn beat(id: &str, born: u64, seq: u64, state: Reported) -> Heartbeat {
    Heartbeat {
        id: id.into(),
        service: "s".into(),
        address: ADDRESS.parse().unwrap(),
        slots: 4,
        state,
        cold: Duration::ZERO,
        born,
        seq,
    }
}

fn own() -> OwnTarget {
    let address: SocketAddr = ADDRESS.parse().unwrap();
    OwnTarget::new("s".into(), address, ms(1500), ms(1000))
}

/// Guards against a late heartbeat that brings a leaving target back, and against one of an earlier lifetime.
#[test]
fn leaving_is_final_for_a_lifetime() {
    let mut t = own();
    t.heartbeat(&beat("i", 10, 1, Reported::Ready), ms(0))
        .unwrap();
    assert!(t.usable(ms(1)).is_some());
    t.heartbeat(&beat("i", 10, 3, Reported::Draining), ms(10))
        .unwrap();
    t.heartbeat(&beat("i", 10, 2, Reported::Ready), ms(20))
        .unwrap();
    t.heartbeat(&beat("i", 10, 4, Reported::Ready), ms(30))
        .unwrap();
    assert!(t.usable(ms(500)).is_some(), "takes work while others learn");
    assert!(t.usable(ms(1010)).is_none());
    assert!(!t.state(ms(40)).unwrap().ready);
    t.heartbeat(&beat("i", 20, 1, Reported::Ready), ms(1100))
        .unwrap();
    assert!(t.usable(ms(1100)).is_some(), "a new lifetime serves");
    let stale = t.heartbeat(&beat("i", 10, 9, Reported::Draining), ms(1200));
    assert_eq!(stale, Err(BeatError::Stale));
    assert_eq!(t.ended(&"i".into(), 10, ms(1300)), Err(BeatError::Stale));
    assert!(t.usable(ms(1300)).is_some());
}

/// Guards against a target that is served again by the next process of its node after it said that it leaves.
#[test]
fn leaving_survives_a_restart_of_the_node() {
    let mut t = own();
    t.known_left("i".into(), 10);
    t.probed("i".into(), 4, ms(0));
    assert!(t.usable(ms(0)).is_none());
    t.heartbeat(&beat("i", 10, 7, Reported::Ready), ms(100))
        .unwrap();
    assert!(!t.state(ms(100)).unwrap().ready);
    t.heartbeat(&beat("i", 11, 1, Reported::Ready), ms(200))
        .unwrap();
    assert!(t.state(ms(200)).unwrap().ready);
}

/// Guards against heartbeats of other targets, and against use of a target that has fallen silent.
#[test]
fn foreign_and_silent_targets_are_not_used() {
    let mut t = own();
    let other = Heartbeat {
        service: "other".into(),
        ..beat("i", 10, 1, Reported::Ready)
    };
    assert_eq!(t.heartbeat(&other, ms(0)), Err(BeatError::Foreign));
    let moved = Heartbeat {
        address: "127.0.0.1:9001".parse().unwrap(),
        ..beat("i", 10, 1, Reported::Ready)
    };
    assert_eq!(t.heartbeat(&moved, ms(0)), Err(BeatError::Foreign));
    assert!(t.usable(ms(0)).is_none());
    t.heartbeat(&beat("i", 10, 1, Reported::Ready), ms(0))
        .unwrap();
    assert!(t.usable(ms(5900)).is_some());
    assert!(t.usable(ms(6000)).is_none());
    t.answered(ms(6000));
    assert!(t.usable(ms(6100)).is_some(), "an answer proves it alive");
    t.refused(ms(6100));
    assert!(t.usable(ms(6150)).is_none());
}

fn record(node: &str, incarnation: u64, sequence: u64) -> NodeRecord {
    NodeRecord {
        node: node.into(),
        incarnation,
        sequence,
        az: "a".into(),
        relay: "127.0.0.1:1".parse().unwrap(),
        service: "s".into(),
        target: None,
        leaving: false,
    }
}

/// Guards against a node that is forgotten because its record lapsed while its link still answers, and against an older
/// record that replaces a newer one.
#[test]
fn a_lapsed_record_is_not_a_death() {
    let mut m = Members::new("own".into());
    assert!(m.stored(record("own", 1, 1), ms(0)).is_none());
    let new = record("n", 5, 2);
    assert_eq!(m.stored(new.clone(), ms(0)), Some(Change::Set(new)));
    assert_eq!(m.stored(record("n", 5, 1), ms(0)), None);
    assert_eq!(m.met(record("n", 4, 9), ms(0)), None);
    m.vanished("n");
    m.heard("n", ms(10_000));
    assert!(m.tick(FORGET).is_empty());
    assert_eq!(m.tick(ms(10_000) + FORGET), [Change::Forget("n".into())]);
    m.stored(record("n", 6, 1), ms(50_000));
    let lapsed = m.listed(Vec::new(), ms(50_000));
    assert!(lapsed.is_empty());
    assert!(m.get("n").is_some());
}

fn route(prefix: &str, service: &str) -> Route {
    Route {
        name: prefix.into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout: ms(800),
        aim: ms(300),
        rank: 1,
        attempts: 2,
        parts: vec![Part {
            service: service.into(),
            weight: 1,
        }],
    }
}

/// Guards against a shorter prefix that hides a longer one, and against a route of another host.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        ("H.example".into(), route("/a/", "short")),
        ("h.example".into(), route("/a/b/", "long")),
        ("other.example".into(), route("/", "other")),
    ];
    let table = RouteTable::new(1, routes);
    let service = |host: &str, path: &str| {
        let r = table.route(host, path)?;
        Some(r.parts[0].service.to_string())
    };
    assert_eq!(service("h.example", "/a/x").as_deref(), Some("short"));
    assert_eq!(service("h.example:80", "/a/b/x").as_deref(), Some("long"));
    assert_eq!(service("H.EXAMPLE", "/a/b/").as_deref(), Some("long"));
    assert_eq!(service("h.example", "/ab"), None);
    assert_eq!(service("none.example", "/a/x"), None);
}

/// Guards against a fleet in which no node watches, in which all do, and against watchers that cannot reach the store.
#[test]
fn a_few_nodes_watch_for_all() {
    let nodes: Vec<String> = (0..100).map(|i| format!("n{i}")).collect();
    let watching = |linked: &dyn Fn(&str, &str) -> bool, fresh: &dyn Fn(&str) -> bool| {
        let must = |own: &&String| {
            let others = nodes.iter().filter(|n| n != own && linked(own, n));
            let seen: Vec<_> = others
                .map(|n| Candidate {
                    node: n.as_str().into(),
                    fresh: fresh(n),
                })
                .collect();
            must_watch(own, &seen)
        };
        nodes.iter().filter(must).cloned().collect::<Vec<_>>()
    };
    let all = watching(&|_, _| true, &|_| true);
    assert_eq!(all.len(), WATCHERS);
    let cut = watching(&|_, _| true, &|n| !all.iter().any(|w| w == n));
    assert_eq!(cut.len(), 2 * WATCHERS, "others stand in");
    let away = watching(&|_, _| true, &|_| false);
    assert_eq!(away.len(), CANDIDATES, "the store is away for all");
    let alone = watching(&|_, _| false, &|_| true);
    assert_eq!(alone.len(), nodes.len(), "a node without links watches");
}

fn document(version: u64, routes: &[u64]) -> Bytes {
    let route = |r: &u64| format!(r#"{{"name":"r{r}","prefix":"/r{r}/"}}"#);
    let routes: Vec<_> = routes.iter().map(route).collect();
    let text = format!(
        r#"{{"version":{version},"hosts":[{{"paths":[{}]}}]}}"#,
        routes.join(",")
    );
    text.into()
}

/// Guards against a patch that makes another document than the one it was made for, or that is applied to another base.
#[test]
fn patches_are_exact() {
    let list = || proptest::collection::vec(0_u64..30, 0..40);
    run(64, &(list(), list(), list()), |(a, b, c)| {
        let (a, b, c) = (document(1, &a), document(2, &b), document(3, &c));
        let data = patch::encode(Some(&a), &b);
        prop_assert_eq!(patch::apply(&a, &data), Ok(b.clone()));
        if a != c {
            prop_assert!(patch::apply(&c, &data).is_err());
        }
        let whole = patch::encode(None, &b);
        prop_assert_eq!(patch::decode_whole(&whole), Ok(b));
        let cut = &data[..data.len() / 2];
        prop_assert!(patch::apply(&a, cut).is_err());
        Ok(())
    });
    let many: Vec<u64> = (0..300).collect();
    let data = patch::encode(Some(&document(1, &many)), &document(2, &many));
    assert!(data.len() < 400, "{} bytes for one change", data.len());
}

/// Guards against urgent work that leaves nothing to the other ranks for as long as an overload lasts, and against other
/// ranks that get as much as the urgent one. One server that runs half of what is asked for serves the lowest rank first
/// to last in turn, as the queue does.
#[test]
fn less_urgent_ranks_keep_a_share() {
    let mut fair = Fair::default();
    let mut now = ms(0);
    let mut served = [0_u32; 2];
    for _ in 0..400 {
        now += ms(100);
        // Ten urgent requests and ten others ask for ten places.
        let mut asks: Vec<_> = (0..20)
            .map(|i| (fair.rank("s", (i % 2) + 1), i, (i % 2) + 1))
            .collect();
        asks.sort_unstable();
        let mut places = 10;
        for (_, _, rank) in asks {
            let runs = places > 0 && !fair.sheds("s", rank);
            places -= i32::from(runs);
            fair.ended(&"s".into(), rank, runs, now);
            served[rank - 1] += u32::from(runs);
        }
    }
    let part = f64::from(served[1]) / f64::from(served[0]);
    assert!((KEPT - 0.1..1.05).contains(&part), "{served:?}");
}
