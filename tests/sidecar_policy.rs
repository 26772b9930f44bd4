//! Tests of the sidecar policies with explicit events and a simulated clock.

mod property;

use std::sync::Arc;
use std::time::Duration;

use dragonflyquay::request::reason::Reason;
use dragonflyquay::sidecar::process::fleet::members::{
    MemberChange, Members, NodeRecord, FORGET_AFTER,
};
use dragonflyquay::sidecar::process::fleet::watchers::{
    must_watch, WatcherCandidate, MAX_CANDIDATES, WATCHER_COUNT,
};
use dragonflyquay::sidecar::process::routing::budget::{RetryBudget, RetryLimits};
use dragonflyquay::sidecar::process::routing::fairness::{Fairness, MIN_RELATIVE_SHARE};
use dragonflyquay::sidecar::process::target::queue::{Action, Arrival, Queue};
use dragonflyquay::sidecar::version::routes::{Route, RouteTable, Tenant, WeightedService};
use property::run;
use proptest::prelude::*;

const SERVICE_TIME: Duration = Duration::from_millis(100);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn arrival(ticket: u64, rank: usize, now: Duration, objective: u64) -> Arrival {
    Arrival {
        ticket,
        route: "r".into(),
        tenant: Default::default(),
        rank,
        objective: ms(objective),
        due: now + ms(objective),
        deadline: now + ms(objective * 3),
        baseline: Duration::ZERO,
        max_wait: None,
        retry: false,
        link_backlog: ms(0),
        transfer: ms(0),
    }
}

fn dispatched(actions: &[Action]) -> Vec<u64> {
    let ticket = |a: &Action| match a {
        Action::Dispatch(t) => Some(*t),
        Action::Reject(..) => None,
    };
    actions.iter().filter_map(ticket).collect()
}

/// Returns a queue with a measured service time of 100 ms.
fn warm_queue(slots: u32) -> Queue {
    let mut q = Queue::default();
    q.set_slots(ms(0), slots);
    for t in 1_000_000..1_000_040 {
        q.arrive(ms(0), arrival(t, 0, ms(0), 10_000));
        q.finish(SERVICE_TIME, t, false);
    }
    q
}

/// Guards against requests that wait although they cannot meet their latency objective. They must be rejected on
/// arrival, with a back-off.
#[test]
fn requests_that_miss_their_objective_are_rejected() {
    let mut q = warm_queue(2);
    let now = ms(1000);
    let mut admitted = 0;
    let mut rejected = Vec::new();
    for t in 0..40 {
        match q.arrive(now, arrival(t, 1, now, 300)).as_slice() {
            [Action::Dispatch(_)] => admitted += 1,
            [Action::Reject(_, reason, back_off)] => rejected.push((*reason, *back_off)),
            _ => {}
        }
    }
    assert_eq!(admitted, 2);
    // Two slots with a service time of 100 ms can run four more requests within 300 ms.
    assert!(q.len() <= 8, "{} requests wait", q.len() - 2);
    assert!(rejected.len() >= 30);
    assert!(rejected
        .iter()
        .all(|(r, b)| *r == Reason::QueueFull && !b.is_zero()));
}

/// Guards against less urgent requests that delay urgent ones.
#[test]
fn urgent_requests_go_first() {
    let mut q = warm_queue(1);
    let now = ms(1000);
    assert_eq!(dispatched(&q.arrive(now, arrival(1, 2, now, 2000))), [1]);
    q.arrive(now, arrival(2, 2, now, 2000));
    q.arrive(now, arrival(3, 1, now, 2000));
    q.arrive(now, arrival(4, 0, now, 2000));
    let mut order = Vec::new();
    for (t, at) in [(1, 1100), (4, 1200), (3, 1300)] {
        order.extend(dispatched(&q.finish(ms(at), t, false)));
    }
    assert_eq!(order, [4, 3, 2]);
}

/// Guards against a target that has become slow but looks fast until its slow requests finish.
#[test]
fn running_requests_reveal_a_slow_target() {
    let mut q = warm_queue(2);
    let now = ms(1000);
    q.arrive(now, arrival(1, 1, now, 5000));
    q.arrive(now, arrival(2, 1, now, 5000));
    assert!(q.load(now + ms(50)).service_us <= 110_000);
    assert_eq!(q.load(now + ms(800)).service_us, 800_000);
}

/// Guards against slots that stay occupied after their callers gave up.
#[test]
fn cancelled_requests_free_their_slots() {
    let mut q = warm_queue(1);
    let now = ms(1000);
    q.arrive(now, arrival(1, 1, now, 500));
    q.arrive(now, arrival(2, 1, now, 500));
    q.arrive(now, arrival(3, 1, now, 500));
    assert!(q.cancel(now, 2).is_empty());
    assert_eq!(dispatched(&q.cancel(now, 1)), [3]);
    assert_eq!(q.len(), 1);
}

/// Guards against requests that are lost or dispatched twice, and against more running requests than slots.
#[test]
fn every_request_is_decided_once() {
    run(
        64,
        &proptest::collection::vec((0_usize..4, 0_u8..4, 0_u64..40), 1..200),
        |steps| {
            let mut q = warm_queue(3);
            let mut now = ms(1000);
            let (mut running, mut decisions) = (Vec::new(), std::collections::BTreeMap::new());
            let mut arrived = 0;
            let apply =
                |actions: Vec<Action>,
                 running: &mut Vec<u64>,
                 decisions: &mut std::collections::BTreeMap<u64, u32>| {
                    for a in actions {
                        let t = match a {
                            Action::Dispatch(t) => {
                                running.push(t);
                                t
                            }
                            Action::Reject(t, ..) => t,
                        };
                        *decisions.entry(t).or_default() += 1;
                    }
                };
            for (rank, kind, dt) in steps {
                now += ms(dt);
                let out = match kind {
                    0 | 1 => {
                        arrived += 1;
                        q.arrive(now, arrival(arrived, rank, now, 300))
                    }
                    2 if !running.is_empty() => {
                        let t = running.remove(rank % running.len());
                        q.finish(now, t, false)
                    }
                    _ => q.advance(now),
                };
                apply(out, &mut running, &mut decisions);
                prop_assert!(running.len() <= 3);
            }
            while let Some(t) = running.pop() {
                now += ms(10);
                let out = q.finish(now, t, false);
                apply(out, &mut running, &mut decisions);
            }
            let out = q.advance(now + ms(10_000));
            apply(out, &mut running, &mut decisions);
            prop_assert_eq!(decisions.len() as u64, arrived);
            prop_assert!(decisions.values().all(|n| *n == 1));
            Ok(())
        },
    );
}

/// Guards against a slowdown that depends on the mix of routes at a target: a target that runs only a long route at
/// normal speed is not slow, and one that runs a short route at half the speed is.
#[test]
fn slowdown_is_relative_to_the_route() {
    let measured = |baseline: u64, took: u64| {
        let mut q = Queue::default();
        q.set_slots(ms(0), 1);
        for t in 0..100 {
            let a = Arrival {
                baseline: ms(baseline),
                ..arrival(t, 1, ms(0), 60_000)
            };
            q.arrive(ms(0), a);
            q.finish(ms(took), t, false);
        }
        f64::from(q.load(ms(0)).slowdown_pct) / 100.0
    };
    assert!((measured(800, 800) - 1.0).abs() < 0.05);
    assert!((measured(50, 100) - 2.0).abs() < 0.1);
}

/// Guards against requests that wait at a full target while others are idle. An attempt that can go to another target
/// is rejected on arrival, without a back-off because the target asks for none.
#[test]
fn attempts_with_other_targets_do_not_wait() {
    let mut q = warm_queue(1);
    let now = ms(1000);
    let with_max_wait = |t| Arrival {
        max_wait: Some(ms(15)),
        ..arrival(t, 1, now, 300)
    };
    assert_eq!(dispatched(&q.arrive(now, with_max_wait(1))), [1]);
    let rejected = Action::Reject(2, Reason::QueueFull, Duration::ZERO);
    assert_eq!(q.arrive(now, with_max_wait(2)), [rejected]);
    assert!(q.arrive(now, arrival(3, 1, now, 300)).is_empty(), "waits");
}

/// Guards against a node that exceeds its share of the retry budget in any window, for any schedule of requests.
#[test]
fn retries_stay_within_every_window() {
    let limits = RetryLimits {
        window: Duration::from_secs(10),
        ratio: 0.2,
        min_retries: 40.0,
    };
    run(
        64,
        &proptest::collection::vec((0_u64..500, any::<bool>()), 1..400),
        |steps| {
            let mut budget = RetryBudget::default();
            let mut now = ms(0);
            let (mut requests, mut retries) = (Vec::new(), Vec::new());
            for (dt, request) in steps {
                now += ms(dt);
                match request {
                    true => {
                        budget.record_request(&limits, 1, 0.0, now);
                        requests.push(now);
                    }
                    false if budget.try_take(&limits, 1, 4, now) => retries.push(now),
                    false => {}
                }
                let within = |list: &[Duration], time: Duration| {
                    list.iter().filter(|t| **t + time >= now).count() as f64
                };
                // The buckets cover at most one tenth more than the window.
                let allowed = 0.2 * within(&requests, ms(11_000)) + 40.0 / 4.0;
                prop_assert!(within(&retries, limits.window) <= allowed);
            }
            Ok(())
        },
    );
}

/// Guards against calls made by retries that exceed the retry budget of the called service. They count as retries, and
/// the share of the node that they use up is not available for other retries.
#[test]
fn calls_made_by_retries_use_the_budget() {
    let limits = RetryLimits {
        window: Duration::from_secs(10),
        ratio: 0.2,
        min_retries: 0.0,
    };
    let allowed_retries = |retry_probability: f64| {
        let mut budget = RetryBudget::default();
        (0..1000)
            .filter(|i| {
                budget.record_request(&limits, 1, retry_probability, ms(*i));
                budget.try_take(&limits, 1, 4, ms(*i))
            })
            .count() as f64
    };
    let alone = allowed_retries(0.0);
    assert!(alone > 0.0 && alone <= 200.0, "{alone}");
    assert!((allowed_retries(0.05) - (alone - 50.0)).abs() <= 2.0);
    assert!(allowed_retries(0.25) <= 1.0, "calls alone use the budget");
}

/// Guards against less urgent retries that leave no budget for urgent ones.
#[test]
fn urgent_retries_keep_some_budget() {
    let limits = RetryLimits {
        window: Duration::from_secs(10),
        ratio: 0.2,
        min_retries: 0.0,
    };
    let mut budget = RetryBudget::default();
    for i in 0..1000 {
        budget.record_request(&limits, (i % 2) as usize, 0.0, ms(i));
    }
    let allowed_retries = |budget: &mut RetryBudget, rank| {
        let take = |_: &u32| budget.try_take(&limits, rank, 4, ms(1000));
        (0..1000).filter(take).count()
    };
    let others = allowed_retries(&mut budget, 1);
    let urgent = allowed_retries(&mut budget, 0);
    assert!(others >= 50 && urgent >= 50, "{others} {urgent}");
    assert_eq!(allowed_retries(&mut budget, 1), 0);
    assert!(others + urgent <= 200);
    // If a service has only less urgent requests, these count as the most urgent.
    let mut alone = RetryBudget::default();
    (0..1000).for_each(|i| alone.record_request(&limits, 2, 0.0, ms(i)));
    assert!(allowed_retries(&mut alone, 2) > others);
}

/// Guards against a few urgent requests that keep retries from all others although they cannot need them.
#[test]
fn a_few_urgent_requests_keep_little_budget() {
    let limits = RetryLimits {
        window: Duration::from_secs(10),
        ratio: 0.2,
        min_retries: 0.0,
    };
    let others = |urgent: u64| {
        let mut budget = RetryBudget::default();
        for i in 0..1000 {
            budget.record_request(&limits, usize::from(i >= urgent), 0.0, ms(i));
        }
        let take = |_: &u32| budget.try_take(&limits, 1, 4, ms(1000));
        (0..1000).filter(take).count()
    };
    // What is kept is at most the fraction of the urgent requests: 1 in 100 of a budget of 200.
    assert!(others(0) - others(10) <= 2, "{} {}", others(0), others(10));
    assert!(others(500) < others(10));
}

/// Guards against requests that are dispatched with too little time to finish: they waste slots.
#[test]
fn requests_with_too_little_time_are_not_dispatched() {
    let mut q = warm_queue(1);
    let now = ms(1000);
    let short = |t, remaining| Arrival {
        deadline: now + ms(remaining),
        ..arrival(t, 1, now, 300)
    };
    let rejected = [Action::Reject(1, Reason::Deadline, Duration::ZERO)];
    assert_eq!(q.arrive(now, short(1, 70)), rejected);
    assert_eq!(dispatched(&q.arrive(now, short(2, 110))), [2]);
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
        link_mbps: 0,
    }
}

/// Guards against a node that is forgotten because its record expired while the node still responds on its link, and
/// against an older record that replaces a newer one.
#[test]
fn nodes_with_expired_records_stay_while_linked() {
    let mut m = Members::new("own".into());
    assert!(m.merge_stored(record("own", 1, 1), ms(0)).is_none());
    let new = record("n", 5, 2);
    assert_eq!(
        m.merge_stored(new.clone(), ms(0)),
        Some(MemberChange::Set(new))
    );
    assert_eq!(m.merge_stored(record("n", 5, 1), ms(0)), None);
    assert_eq!(m.merge_received(record("n", 4, 9), ms(0)), None);
    m.mark_deleted("n");
    m.record_contact("n", ms(10_000));
    assert!(m.expire(FORGET_AFTER).is_empty());
    assert_eq!(
        m.expire(ms(10_000) + FORGET_AFTER),
        [MemberChange::Forget("n".into())]
    );
    m.merge_stored(record("n", 6, 1), ms(50_000));
    let expired = m.merge_listing(Vec::new(), ms(50_000));
    assert!(expired.is_empty());
    assert!(m.get("n").is_some());
}

fn route(prefix: &str, service: &str) -> Route {
    Route {
        name: prefix.into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout: ms(800),
        objective: ms(300),
        rank: 1,
        max_attempts: 2,
        public: false,
        services: vec![WeightedService {
            service: service.into(),
            weight: 1,
        }],
    }
}

/// Guards against ranks of routes that override those of tenants, and against calls of targets that wait behind the
/// requests of tenants.
#[test]
fn ranks_of_tenants_come_before_those_of_routes() {
    let mut table = RouteTable::new(1, vec![("h".into(), route("/a/", "x"))]);
    let route = table.route("h", "/a/b").unwrap().clone();
    let tenant = Tenant {
        name: "t".into(),
        rank: 2,
        rate: 0.0,
        burst: 0.0,
    };
    assert_eq!(table.rank(&route, None), route.rank);
    table.tenants.insert("t".into(), Arc::new(tenant.clone()));
    assert_eq!(table.rank(&route, Some(&tenant)), 2);
    assert_eq!(table.rank(&route, None), 0);
}

/// Guards against a match of a shorter prefix instead of a longer one, or of a route of another host.
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
        Some(r.services[0].service.to_string())
    };
    assert_eq!(service("h.example", "/a/x").as_deref(), Some("short"));
    assert_eq!(service("h.example:80", "/a/b/x").as_deref(), Some("long"));
    assert_eq!(service("H.EXAMPLE", "/a/b/").as_deref(), Some("long"));
    assert_eq!(service("h.example", "/ab"), None);
    assert_eq!(service("none.example", "/a/x"), None);
}

/// Guards against a fleet in which no node watches the store, all nodes do, or only nodes do that cannot reach it.
#[test]
fn few_nodes_watch_for_all() {
    let nodes: Vec<String> = (0..100).map(|i| format!("n{i}")).collect();
    let watching = |linked: &dyn Fn(&str, &str) -> bool, reaches_store: &dyn Fn(&str) -> bool| {
        let candidate = |n: &String| WatcherCandidate {
            node: n.as_str().into(),
            az: "az".into(),
            link_mbps: 100,
            reaches_store: reaches_store(n),
        };
        let must = |own: &&String| {
            let others = nodes.iter().filter(|n| n != own && linked(own, n));
            let candidates: Vec<_> = others.map(candidate).collect();
            must_watch(&candidate(own), &candidates, Duration::ZERO)
        };
        nodes.iter().filter(must).cloned().collect::<Vec<_>>()
    };
    let all = watching(&|_, _| true, &|_| true);
    assert_eq!(all.len(), WATCHER_COUNT);
    let cut_off = watching(&|_, _| true, &|n| !all.iter().any(|w| w == n));
    assert_eq!(cut_off.len(), 2 * WATCHER_COUNT, "other nodes take over");
    let store_down = watching(&|_, _| true, &|_| false);
    assert_eq!(
        store_down.len(),
        MAX_CANDIDATES,
        "the store is unavailable to all nodes"
    );
    let unlinked = watching(&|_, _| false, &|_| true);
    assert_eq!(unlinked.len(), nodes.len(), "a node without links watches");
}

/// Guards against urgent requests that take all slots during an overload, and against other ranks that are served more
/// often than the urgent one. One simulated server runs half of the offered requests, the most urgent first, as the
/// queue does.
#[test]
fn less_urgent_ranks_keep_a_share() {
    let mut fair = Fairness::default();
    let mut now = ms(0);
    let mut served = [0_u32; 2];
    for _ in 0..400 {
        now += ms(100);
        // Ten urgent requests and ten others compete for ten slots.
        let mut requests: Vec<_> = (0..20)
            .map(|i| (fair.effective_rank("s", (i % 2) + 1), i, (i % 2) + 1))
            .collect();
        requests.sort_unstable();
        let mut slots = 10;
        for (_, _, rank) in requests {
            let runs = slots > 0 && !fair.must_shed("s", rank);
            slots -= i32::from(runs);
            fair.record(&"s".into(), rank, runs, now);
            served[rank - 1] += u32::from(runs);
        }
    }
    let share = f64::from(served[1]) / f64::from(served[0]);
    assert!(
        (MIN_RELATIVE_SHARE - 0.1..1.05).contains(&share),
        "{served:?}"
    );
}
