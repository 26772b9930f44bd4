//! Components of at-most-once execution: stored responses, keys, shard assignment and the rate of store writes.

use std::collections::BTreeMap;

use dragonflyquay::digest::Digest;
use dragonflyquay::prelude::Duration;
use dragonflyquay::process::at_most_once::dedup::{
    Decision, DedupTable, Limits, RunResult, MAX_STORED_BYTES,
};
use dragonflyquay::process::at_most_once::grants::{
    preferred_owners, Action, Environment, Grants, Member, MemberState, Members, Owner, SwapResult,
    SHARD_COUNT,
};
use dragonflyquay::process::members::notices::Grant;
use dragonflyquay::request::key::IdempotencyKey;
use dragonflyquay::request::reason::Reason;
use dragonflyquay::store::{Era, Revision};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START_MS: u64 = 1_800_000_000_000;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn node_id(n: usize) -> String {
    format!("n{n}")
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a table that grows without bound or that drops a key at or above its floor.
    #[test]
    fn dedup_evicts_only_below_its_floor(
        steps in prop::collection::vec((0..40_u64, 0..5_u8, 0..600_usize), 1..200),
    ) {
        let mut d = DedupTable::new(Limits { keys: 8, bytes: 1000 });
        let key = |t| IdempotencyKey::generate(0, START_MS + t, { let mut x = u128::from(t); move || { x += 1; x } });
        let mut ran = BTreeMap::new();
        for (t, action, size) in steps {
            let k = key(t);
            if action == 4 {
                d.tick(START_MS + 3_600_000 + t / 4);
            } else if d.begin(k, Digest::default()) == Decision::Run {
                prop_assert!(ran.insert(k, ()).is_none(), "the key ran twice");
                let results = [RunResult::Done(1, size), RunResult::Unknown(Reason::Lost), RunResult::NotRun, RunResult::Done(1, MAX_STORED_BYTES + 1)];
                if action == 2 {
                    ran.remove(&k);
                }
                d.finish(k, results[usize::from(action)].clone());
            }
            prop_assert!(d.len() <= 8);
            for k in ran.keys().filter(|k| k.time_ms() >= d.floor_ms()) {
                prop_assert!(d.contains(*k));
            }
        }
    }

    /// Guards against shards that concentrate on few nodes or in one availability zone.
    #[test]
    fn shards_are_balanced(zones in 1..6_usize, nodes in 1..9_usize) {
        let id = |z: usize, i: usize| (format!("z{z}-{i}").into(), Member { incarnation: 1, az: format!("z{z}").into(), state: MemberState::Alive });
        let members: Members = (0..zones).flat_map(|z| (0..nodes).map(move |i| id(z, i))).collect();
        let mut load = BTreeMap::<_, usize>::new();
        let mut zone_load = BTreeMap::<_, usize>::new();
        for owner in preferred_owners(&members) {
            let owner = owner.unwrap();
            *zone_load.entry(members[&owner].az.clone()).or_default() += 1;
            *load.entry(owner).or_default() += 1;
        }
        let all = usize::from(SHARD_COUNT);
        prop_assert_eq!(zone_load.len(), zones);
        prop_assert!(*zone_load.values().max().unwrap() <= all.div_ceil(zones));
        prop_assert!(*load.values().max().unwrap() <= all.div_ceil(zones).div_ceil(nodes));
    }
}

/// Guards against a duplicate that runs, and against a response to a request with the same key and other content.
#[test]
fn duplicates_wait_and_share_the_response() {
    let mut d = DedupTable::new(Limits::default());
    let key = IdempotencyKey::parse("01890a5d-ac96-774b-bcce-b302099a8057").unwrap();
    assert_eq!(d.begin(key, Digest::of(b"x")), Decision::Run);
    assert_eq!(d.begin(key, Digest::of(b"x")), Decision::Wait);
    assert_eq!(d.begin(key, Digest::of(b"y")), Decision::Reused);
    d.finish(key, RunResult::Done("answer", 6));
    assert_eq!(d.begin(key, Digest::of(b"x")), Decision::Done("answer"));
    assert_eq!(d.begin(key, Digest::of(b"y")), Decision::Reused);
    d.tick(key.time_ms() + 4_000_000);
    assert_eq!(d.begin(key, Digest::of(b"x")), Decision::Expired);
}

/// Guards against UUIDs of another version, and against keys whose parts change when they are formatted and parsed.
#[test]
fn keys_are_version_7() {
    assert_eq!(IdempotencyKey::parse("not-a-key"), None);
    assert_eq!(
        IdempotencyKey::parse("7d444840-9dc0-41d1-b245-5ffdce74fad2"),
        None,
        "version 4"
    );
    let key = IdempotencyKey::generate(5, START_MS, {
        let mut x = 0;
        move || {
            x += 99;
            x
        }
    });
    assert_eq!((key.shard(), key.time_ms()), (5, START_MS));
    assert_eq!(IdempotencyKey::parse(&key.text()), Some(key));
}

type StoredGrants = BTreeMap<u16, (u64, Grant)>;

fn alive(nodes: usize) -> Members {
    let member = |i: usize| Member {
        incarnation: 1,
        az: format!("z{}", i % 3).into(),
        state: MemberState::Alive,
    };
    (0..nodes).map(|i| (node_id(i).into(), member(i))).collect()
}

fn grants(node: usize) -> Grants {
    Grants::new(Owner {
        node: node_id(node).into(),
        incarnation: 1,
        token: node as u64,
    })
}

/// Runs the attempts that are due. Returns the number of writes and the grants to publish.
fn run_due_attempts(
    g: &mut Grants,
    env: Environment<'_>,
    store: &mut StoredGrants,
    down: bool,
) -> (u64, Vec<Grant>) {
    let (mut writes, mut published) = (0, Vec::new());
    let mut actions = g.tick(env);
    while let Some(action) = actions.pop() {
        match action {
            Action::Read(shard) => {
                let entry = store.get(&shard);
                let found = entry.map_or((Revision::ABSENT, None), |e| {
                    (Revision::new(Era::default(), e.0), Some(e.1.clone()))
                });
                actions.extend(g.on_read(shard, Some(found), env));
            }
            Action::Swap(_, next) if down => {
                writes += 1;
                actions.extend(g.on_swap_result(next.shard, SwapResult::NotApplied));
            }
            Action::Swap(revision, next) => {
                writes += 1;
                store.insert(next.shard, (revision.number() + 1, next.clone()));
                actions.extend(g.on_swap_result(next.shard, SwapResult::Applied));
            }
            Action::Publish(g) => published.push(g),
        }
    }
    (writes, published)
}

fn environment(seconds: u64, members: &Members) -> Environment<'_> {
    Environment {
        now: Duration::from_secs(seconds),
        wall_ms: START_MS + 1000 * seconds,
        members,
    }
}

/// Guards against a rate of store writes that grows with the number of nodes, also while all writes fail.
#[test]
fn store_writes_do_not_grow_with_nodes() {
    for (nodes, down) in [(3, false), (60, false), (60, true)] {
        let members = alive(nodes);
        let mut all: Vec<_> = (0..nodes).map(grants).collect();
        let mut store = StoredGrants::new();
        let (mut writes, seconds) = (0, 1200);
        for (s, i) in (0..seconds).flat_map(|s| (0..nodes).map(move |i| (s, i))) {
            let (n, published) =
                run_due_attempts(&mut all[i], environment(s, &members), &mut store, down);
            writes += n;
            for g in &published {
                all.iter_mut().for_each(|n| n.on_notice(g));
            }
        }
        println!("writes={writes} seconds={seconds} nodes={nodes} store_down={down}");
        assert!(writes < seconds);
        assert!(down || store.len() == usize::from(SHARD_COUNT));
    }
}

/// Guards against a second owner of key times after the store was restored to a state from before they were granted.
#[test]
fn restored_store_grants_nothing_twice() {
    let (one_node, two_nodes) = (alive(1), alive(2));
    let (mut a, mut b) = (grants(0), grants(1));
    let mut store = StoredGrants::new();
    run_due_attempts(&mut a, environment(0, &one_node), &mut store, false);
    let backup = store.clone();
    let (_, published) = run_due_attempts(&mut a, environment(100, &one_node), &mut store, false);
    published.iter().for_each(|g| b.on_notice(g));
    store = backup;
    // The second owner considers the first one dead.
    let survivors: Members = two_nodes.into_iter().filter(|(n, _)| n == "n1").collect();
    run_due_attempts(&mut b, environment(200, &survivors), &mut store, false);
    for key_ms in (START_MS..START_MS + 1_500_000).step_by(5_000) {
        assert!(!(a.accept(3, key_ms, 1) && b.accept(3, key_ms, 1)));
    }
    assert!(a.accept(3, START_MS + 650_000, 1) && b.accept(3, START_MS + 710_000, 1));
}

/// Guards against a stopping owner that accepts keys that its successor owns, before or after it releases them.
#[test]
fn stopping_owner_rejects_released_keys() {
    let (one_node, mut two_nodes) = (alive(1), alive(2));
    let (mut a, mut b) = (grants(0), grants(1));
    let mut store = StoredGrants::new();
    run_due_attempts(&mut a, environment(0, &one_node), &mut store, false);
    assert!(a.accept(3, START_MS + 4_000, 1));
    a.release(START_MS);
    assert!(!a.is_released(START_MS + 100_000));
    assert!(a.accept(3, START_MS + 4_999, 1) && !a.accept(3, START_MS + 5_000, 1));
    two_nodes.get_mut("n0").unwrap().state = MemberState::Unavailable;
    let (_, published) = run_due_attempts(&mut a, environment(1, &two_nodes), &mut store, false);
    published.iter().for_each(|g| b.on_notice(g));
    run_due_attempts(&mut b, environment(1, &two_nodes), &mut store, false);
    assert!(!a.is_released(START_MS + 5_000) && a.is_released(START_MS + 8_000));
    for key_ms in (START_MS..START_MS + 600_000).step_by(500) {
        assert!(u8::from(a.accept(3, key_ms, 1)) + u8::from(b.accept(3, key_ms, 1)) == 1);
    }
}
