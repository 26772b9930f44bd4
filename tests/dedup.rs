//! Parts of at-most-once execution: stored answers, keys, choice of owners and the rate of store writes.

use std::collections::BTreeMap;

use dragonflyquay::digest::Digest;
use dragonflyquay::prelude::Duration;
use dragonflyquay::process::dedup::{Begin, Dedup, End, Limits, MAX_ANSWER_BYTES};
use dragonflyquay::process::grants::{
    choices, Action, Grants, Member, MemberState, Members, Owner, Swapped, View, SHARDS,
};
use dragonflyquay::process::notices::Grant;
use dragonflyquay::request::key::Key;
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
        let key = |t| Key::make(0, START_MS + t, { let mut x = u128::from(t); move || { x += 1; x } });
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
    let key = Key::parse("01890a5d-ac96-774b-bcce-b302099a8057").unwrap();
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
    assert_eq!(Key::parse("not-a-key"), None);
    assert_eq!(
        Key::parse("7d444840-9dc0-41d1-b245-5ffdce74fad2"),
        None,
        "version 4"
    );
    let made = Key::make(5, START_MS, {
        let mut x = 0;
        move || {
            x += 99;
            x
        }
    });
    assert_eq!((made.shard(), made.time_ms()), (5, START_MS));
    assert_eq!(Key::parse(&made.text()), Some(made));
}

/// Guards against a fleet that writes to the store at a rate that grows with its size, also while all writes fail.
#[test]
fn store_writes_do_not_grow_with_nodes() {
    for (nodes, down) in [(3, false), (60, false), (60, true)] {
        let members: Members = (0..nodes)
            .map(|i| {
                (
                    node_id(i).into(),
                    Member {
                        incarnation: 1,
                        az: format!("z{}", i % 3).into(),
                        state: MemberState::Alive,
                    },
                )
            })
            .collect();
        let mut all: Vec<_> = (0..nodes)
            .map(|i| {
                Grants::new(Owner {
                    node: node_id(i).into(),
                    incarnation: 1,
                    token: i as u64,
                })
            })
            .collect();
        let mut store: BTreeMap<u16, (u64, Grant)> = BTreeMap::new();
        let (mut calls, seconds) = (0, 1200);
        for s in 0..seconds {
            for i in 0..nodes {
                let view = View {
                    now: Duration::from_secs(s),
                    wall_ms: START_MS + 1000 * s,
                    members: &members,
                };
                let mut todo = all[i].tick(view);
                while let Some(a) = todo.pop() {
                    match a {
                        Action::Read(shard) => {
                            let found = store
                                .get(&shard)
                                .map_or((0, None), |e| (e.0, Some(e.1.clone())));
                            todo.extend(all[i].read(shard, Some(found), view));
                        }
                        Action::Swap(r, g) => {
                            calls += 1;
                            if !down {
                                store.insert(g.shard, (r + 1, g.clone()));
                            }
                            let done = if down {
                                Swapped::Refused
                            } else {
                                Swapped::Done
                            };
                            todo.extend(all[i].swapped(g.shard, done));
                        }
                        Action::Publish(g) => all.iter_mut().for_each(|n| n.heard(&g)),
                    }
                }
            }
        }
        assert!(
            calls < seconds,
            "{calls} writes in {seconds} s with {nodes} nodes"
        );
        assert!(down || store.len() == usize::from(SHARDS));
    }
}
