//! Parts of at-most-once execution: stored answers, keys, choice of owners and the rate of store writes.

use std::collections::BTreeMap;

use dragonflyquay::digest::Digest;
use dragonflyquay::prelude::Duration;
use dragonflyquay::process::members::notices::Grant;
use dragonflyquay::process::once::dedup::{Begin, Dedup, End, Limits, MAX_ANSWER_BYTES};
use dragonflyquay::process::once::grants::{
    choices, Action, Grants, Member, MemberState, Members, Owner, Swapped, View, SHARDS,
};
use dragonflyquay::request::key::IdempotencyKey;
use dragonflyquay::request::reason::Reason;
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

    /// Guards against a table that grows without bound or forgets a key at or above its floor.
    #[test]
    fn dedup_forgets_only_below_its_floor(
        steps in prop::collection::vec((0..40_u64, 0..5_u8, 0..600_usize), 1..200),
    ) {
        let mut d = Dedup::new(Limits { keys: 8, bytes: 1000 });
        let key = |t| IdempotencyKey::generate(0, START_MS + t, { let mut x = u128::from(t); move || { x += 1; x } });
        let mut ran = BTreeMap::new();
        for (t, what, size) in steps {
            let k = key(t);
            if what == 4 {
                d.tick(START_MS + 3_600_000 + t / 4);
            } else if d.begin(k, Digest::default()) == Begin::Run {
                prop_assert!(ran.insert(k, ()).is_none(), "ran again");
                let end = [End::Done(1, size), End::Unknown(Reason::Lost), End::NotRun, End::Done(1, MAX_ANSWER_BYTES + 1)];
                if what == 2 {
                    ran.remove(&k);
                }
                d.end(k, end[usize::from(what)].clone());
            }
            prop_assert!(d.len() <= 8);
            for k in ran.keys().filter(|k| k.time_ms() >= d.floor_ms()) {
                prop_assert!(d.holds(*k));
            }
        }
    }

    /// Guards against shards that gather on few nodes or in one zone.
    #[test]
    fn owners_are_spread(zones in 1..6_usize, nodes in 1..9_usize) {
        let id = |z: usize, i: usize| (format!("z{z}-{i}").into(), Member { incarnation: 1, az: format!("z{z}").into(), state: MemberState::Alive });
        let members: Members = (0..zones).flat_map(|z| (0..nodes).map(move |i| id(z, i))).collect();
        let mut load = BTreeMap::<_, usize>::new();
        let mut zone_load = BTreeMap::<_, usize>::new();
        for owner in choices(&members) {
            let owner = owner.unwrap();
            *zone_load.entry(members[&owner].az.clone()).or_default() += 1;
            *load.entry(owner).or_default() += 1;
        }
        let all = usize::from(SHARDS);
        prop_assert_eq!(zone_load.len(), zones);
        prop_assert!(*zone_load.values().max().unwrap() <= all.div_ceil(zones));
        prop_assert!(*load.values().max().unwrap() <= all.div_ceil(zones).div_ceil(nodes));
    }
}

/// Guards against an answer to a duplicate that belongs to other content, and against a duplicate that runs.
#[test]
fn duplicates_wait_and_share_the_answer() {
    let mut d = Dedup::new(Limits::default());
    let key = IdempotencyKey::parse("01890a5d-ac96-774b-bcce-b302099a8057").unwrap();
    assert_eq!(d.begin(key, Digest::of(b"x")), Begin::Run);
    assert_eq!(d.begin(key, Digest::of(b"x")), Begin::Wait);
    assert_eq!(d.begin(key, Digest::of(b"y")), Begin::Reused);
    d.end(key, End::Done("answer", 6));
    assert_eq!(d.begin(key, Digest::of(b"x")), Begin::Done("answer"));
    assert_eq!(d.begin(key, Digest::of(b"y")), Begin::Reused);
    d.tick(key.time_ms() + 4_000_000);
    assert_eq!(d.begin(key, Digest::of(b"x")), Begin::Expired);
}

/// Guards against keys of another version, and against a key whose parts change on the way.
#[test]
fn keys_are_version_7() {
    assert_eq!(IdempotencyKey::parse("not-a-key"), None);
    assert_eq!(
        IdempotencyKey::parse("7d444840-9dc0-41d1-b245-5ffdce74fad2"),
        None,
        "version 4"
    );
    let made = IdempotencyKey::generate(5, START_MS, {
        let mut x = 0;
        move || {
            x += 99;
            x
        }
    });
    assert_eq!((made.shard(), made.time_ms()), (5, START_MS));
    assert_eq!(IdempotencyKey::parse(&made.text()), Some(made));
}

type Stored = BTreeMap<u16, (u64, Grant)>;

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

/// Runs the attempts that are due; returns the number of writes and what is to be published.
fn drive(g: &mut Grants, view: View<'_>, store: &mut Stored, down: bool) -> (u64, Vec<Grant>) {
    let (mut writes, mut news) = (0, Vec::new());
    let mut todo = g.tick(view);
    while let Some(action) = todo.pop() {
        match action {
            Action::Read(shard) => {
                let held = store.get(&shard);
                let found = held.map_or((0, None), |e| (e.0, Some(e.1.clone())));
                todo.extend(g.read(shard, Some(found), view));
            }
            Action::Swap(_, next) if down => {
                writes += 1;
                todo.extend(g.swapped(next.shard, Swapped::Refused));
            }
            Action::Swap(revision, next) => {
                writes += 1;
                store.insert(next.shard, (revision + 1, next.clone()));
                todo.extend(g.swapped(next.shard, Swapped::Done));
            }
            Action::Publish(g) => news.push(g),
        }
    }
    (writes, news)
}

fn view(seconds: u64, members: &Members) -> View<'_> {
    View {
        now: Duration::from_secs(seconds),
        wall_ms: START_MS + 1000 * seconds,
        members,
    }
}

/// Guards against a fleet that writes to the store at a rate that grows with its size, also while all writes fail.
#[test]
fn store_writes_do_not_grow_with_nodes() {
    for (nodes, down) in [(3, false), (60, false), (60, true)] {
        let members = alive(nodes);
        let mut all: Vec<_> = (0..nodes).map(grants).collect();
        let mut store = Stored::new();
        let (mut writes, seconds) = (0, 1200);
        for (s, i) in (0..seconds).flat_map(|s| (0..nodes).map(move |i| (s, i))) {
            let (n, news) = drive(&mut all[i], view(s, &members), &mut store, down);
            writes += n;
            for g in &news {
                all.iter_mut().for_each(|n| n.heard(g));
            }
        }
        println!("writes={writes} seconds={seconds} nodes={nodes} store_down={down}");
        assert!(writes < seconds);
        assert!(down || store.len() == usize::from(SHARDS));
    }
}

/// Guards against a second owner of granted key times after the store was restored to an older state.
#[test]
fn restored_store_grants_nothing_twice() {
    let (one, other) = (alive(1), alive(2));
    let (mut a, mut b) = (grants(0), grants(1));
    let mut store = Stored::new();
    drive(&mut a, view(0, &one), &mut store, false);
    let older = store.clone();
    let (_, news) = drive(&mut a, view(100, &one), &mut store, false);
    news.iter().for_each(|g| b.heard(g));
    store = older;
    // The first owner counts as dead for the second one.
    let rest: Members = other.into_iter().filter(|(n, _)| n == "n1").collect();
    drive(&mut b, view(200, &rest), &mut store, false);
    for key_ms in (START_MS..START_MS + 1_500_000).step_by(5_000) {
        assert!(!(a.accept(3, key_ms, 1) && b.accept(3, key_ms, 1)));
    }
    assert!(a.accept(3, START_MS + 650_000, 1) && b.accept(3, START_MS + 710_000, 1));
}

/// Guards against a stopping owner that accepts keys which its successor owns, before or after it gave them up.
#[test]
fn stopping_owner_accepts_nothing_above_the_cut() {
    let (one, mut both) = (alive(1), alive(2));
    let (mut a, mut b) = (grants(0), grants(1));
    let mut store = Stored::new();
    drive(&mut a, view(0, &one), &mut store, false);
    assert!(a.accept(3, START_MS + 4_000, 1));
    a.retire(START_MS);
    assert!(!a.handed_over(START_MS + 100_000));
    assert!(a.accept(3, START_MS + 4_999, 1) && !a.accept(3, START_MS + 5_000, 1));
    both.get_mut("n0").unwrap().state = MemberState::Leaving;
    let (_, news) = drive(&mut a, view(1, &both), &mut store, false);
    news.iter().for_each(|g| b.heard(g));
    drive(&mut b, view(1, &both), &mut store, false);
    assert!(!a.handed_over(START_MS + 5_000) && a.handed_over(START_MS + 8_000));
    for key_ms in (START_MS..START_MS + 600_000).step_by(500) {
        assert!(u8::from(a.accept(3, key_ms, 1)) + u8::from(b.accept(3, key_ms, 1)) == 1);
    }
}
