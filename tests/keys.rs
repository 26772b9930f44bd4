//! At-most-once execution: ownership, stored answers and whole schedules of faults, without I/O.

use std::collections::BTreeMap;

use dragonflyquay::digest::Digest;
use dragonflyquay::prelude::Duration;
use dragonflyquay::process::members::notices::{Grant, Notice, Notices};
use dragonflyquay::process::once::dedup::{Begin, Dedup, End, Limits};
use dragonflyquay::process::once::grants::{
    Action, Grants, Member, MemberState, Members, Owner, Swapped, View,
};
use dragonflyquay::request::key::IdempotencyKey;
use dragonflyquay::request::reason::Reason;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START_MS: u64 = 1_800_000_000_000;
const NODES: usize = 3;
/// Few shards see traffic, so that schedules of limited length reach conflicts.
const BUSY: u16 = 2;

fn config() -> ProptestConfig {
    let long = std::env::var("DQ_LONG").is_ok_and(|v| v == "1");
    ProptestConfig {
        cases: if long { 20_000 } else { 800 },
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

#[derive(Debug, Clone, Copy)]
enum Write {
    Answered,
    AnswerLost,
    NeverArrived,
    Delayed,
    Down,
}

#[derive(Debug, Clone, Copy)]
enum Run {
    Stays,
    Ends,
    Lost,
    Refused,
}

#[derive(Debug, Clone)]
enum Op {
    Tick(usize, Write, bool),
    Land,
    Pass(u32),
    Spread(usize, usize),
    Send {
        key: usize,
        entry: usize,
        run: Run,
        answer_lost: bool,
    },
    EndAll(usize),
    Restart(usize, bool),
    Retire(usize),
    Believe(usize, usize, u8),
    Cut(usize, bool),
}

fn op() -> impl Strategy<Value = Op> {
    use Write::*;
    let write = prop_oneof![8 => Just(Answered), 1 => Just(AnswerLost), 1 => Just(NeverArrived), 1 => Just(Delayed), 1 => Just(Down)];
    let run = prop_oneof![
        Just(Run::Stays),
        Just(Run::Ends),
        Just(Run::Lost),
        Just(Run::Refused)
    ];
    let send = (0..12_usize, 0..NODES, run, any::<bool>());
    prop_oneof![
        8 => (0..NODES, write, any::<bool>()).prop_map(|(n, w, all)| Op::Tick(n, w, all)),
        1 => Just(Op::Land),
        3 => prop_oneof![Just(1_000_u32), Just(30_000), Just(330_000), Just(700_000)].prop_map(Op::Pass),
        3 => (0..NODES, 0..NODES).prop_map(|(a, b)| Op::Spread(a, b)),
        8 => send.prop_map(|(key, entry, run, answer_lost)| Op::Send { key, entry, run, answer_lost }),
        1 => (0..NODES).prop_map(Op::EndAll),
        1 => (0..NODES, any::<bool>()).prop_map(|(n, b)| Op::Restart(n, b)),
        3 => (0..NODES).prop_map(Op::Retire),
        4 => (0..NODES, 0..NODES, 0..3_u8).prop_map(|(a, b, s)| Op::Believe(a, b, s)),
        1 => (0..NODES, any::<bool>()).prop_map(|(n, c)| Op::Cut(n, c)),
    ]
}

struct Node {
    grants: Grants,
    dedup: Dedup<u64>,
    notices: Notices,
    members: Members,
    incarnation: u64,
    running: Vec<IdempotencyKey>,
    todo: Vec<Action>,
    skew_ms: i64,
    cut_off: bool,
}

fn node_id(n: usize) -> String {
    format!("n{n}")
}

fn member(incarnation: u64, state: MemberState) -> Member {
    Member {
        incarnation,
        az: "a".into(),
        state,
    }
}

fn node(n: usize, incarnation: u64, token: u64) -> Node {
    let owner = Owner {
        node: node_id(n).into(),
        incarnation,
        token,
    };
    let all = (0..NODES).map(|i| {
        let known = if i == n { incarnation } else { 1 };
        (node_id(i).into(), member(known, MemberState::Alive))
    });
    Node {
        grants: Grants::new(owner),
        dedup: Dedup::new(Limits {
            keys: 8,
            bytes: 1000,
        }),
        notices: Notices::default(),
        members: all.collect(),
        incarnation,
        running: Vec::new(),
        todo: Vec::new(),
        skew_ms: [0, 400_000, -400_000][n],
        cut_off: false,
    }
}

struct World {
    nodes: Vec<Node>,
    store: BTreeMap<u16, (u64, Grant)>,
    revision: u64,
    delayed: Vec<(u64, Grant)>,
    wall_ms: u64,
    keys: Vec<IdempotencyKey>,
    runs: BTreeMap<IdempotencyKey, u32>,
    processes: u64,
}

impl World {
    fn new(offsets: &[u32]) -> Self {
        let mut bits = 1_u128;
        let mut random = || {
            bits = bits
                .wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C835)
                .wrapping_add(1);
            bits
        };
        let key = |(i, o): (usize, &u32)| {
            IdempotencyKey::generate(i as u16 % BUSY, START_MS + u64::from(*o), &mut random)
        };
        Self {
            nodes: (0..NODES).map(|n| node(n, 1, n as u64)).collect(),
            store: BTreeMap::new(),
            revision: 0,
            delayed: Vec::new(),
            wall_ms: START_MS,
            keys: offsets.iter().enumerate().map(key).collect(),
            runs: BTreeMap::new(),
            processes: NODES as u64,
        }
    }

    fn swap(&mut self, expect: u64, g: &Grant) -> bool {
        let held = self.store.get(&g.shard).map_or(0, |e| e.0);
        if held == expect {
            self.revision += 1;
            self.store.insert(g.shard, (self.revision, g.clone()));
        }
        held == expect
    }

    /// Starts the attempts that are due, or goes on with those under way: by one store call, so that calls of several
    /// nodes mix, or to their end.
    fn tick(&mut self, n: usize, write: Write, whole: bool) {
        let wall_ms = self.wall_ms.saturating_add_signed(self.nodes[n].skew_ms);
        let now = Duration::from_millis(self.wall_ms - START_MS + 60_000);
        let members = self.nodes[n].members.clone();
        let view = View {
            now,
            wall_ms,
            members: &members,
        };
        let node = &mut self.nodes[n];
        if node.todo.is_empty() {
            node.dedup.tick(wall_ms);
            node.todo = node.grants.tick(view);
            let busy = |a: &Action| matches!(a, Action::Read(shard) if *shard < BUSY);
            node.todo.retain(busy);
        }
        let mut write = Some(write);
        while let Some(action) = self.nodes[n].todo.pop() {
            let more = self.perform(n, action, write.take().unwrap_or(Write::Answered), view);
            self.nodes[n].todo.extend(more);
            if !whole {
                return;
            }
        }
    }

    fn perform(&mut self, n: usize, action: Action, write: Write, view: View<'_>) -> Vec<Action> {
        let down = matches!(write, Write::Down) || self.nodes[n].cut_off;
        match action {
            Action::Publish(g) => {
                self.nodes[n].notices.merge(vec![Notice::Grant(g)]);
                Vec::new()
            }
            Action::Read(shard) => {
                let held = self.store.get(&shard);
                let found = held.map_or((0, None), |e| (e.0, Some(e.1.clone())));
                let found = Some(found).filter(|_| !down);
                self.nodes[n].grants.read(shard, found, view)
            }
            Action::Swap(expect, g) => {
                let answer = match write {
                    _ if down => Swapped::Refused,
                    Write::Answered if self.swap(expect, &g) => Swapped::Done,
                    Write::AnswerLost if self.swap(expect, &g) => Swapped::Unknown,
                    Write::NeverArrived => Swapped::Unknown,
                    Write::Delayed => {
                        self.delayed.push((expect, g.clone()));
                        Swapped::Unknown
                    }
                    _ => Swapped::Refused,
                };
                let look_up = answer == Swapped::Unknown;
                let more = self.nodes[n].grants.swapped(g.shard, answer);
                assert!(!look_up || more == [Action::Read(g.shard)]);
                more
            }
        }
    }

    /// One request as an entry node and an owner handle it. Returns whether the caller was told "not run".
    fn send(&mut self, key: IdempotencyKey, entry: usize, run: Run) -> bool {
        let Ok(range) = self.nodes[entry].notices.owner(key.shard(), key.time_ms()) else {
            return false;
        };
        let owner: usize = range.owner[1..].parse().unwrap();
        if owner != entry && (self.nodes[owner].cut_off || self.nodes[entry].cut_off) {
            return false;
        }
        let o = &mut self.nodes[owner];
        if !o
            .grants
            .accept(key.shard(), key.time_ms(), range.incarnation)
        {
            return false;
        }
        match o.dedup.begin(key, Digest::default()) {
            Begin::Run => {}
            Begin::Full => return true,
            _ => return false,
        }
        match run {
            Run::Refused => {
                o.dedup.end(key, End::NotRun);
                return true;
            }
            Run::Stays => o.running.push(key),
            Run::Ends => o.dedup.end(key, End::Done(1, 400)),
            Run::Lost => o.dedup.end(key, End::Unknown(Reason::Lost)),
        }
        *self.runs.entry(key).or_default() += 1;
        false
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Tick(n, write, whole) => self.tick(n, write, whole),
            Op::Land => {
                for (expect, g) in std::mem::take(&mut self.delayed) {
                    self.swap(expect, &g);
                }
            }
            Op::Pass(ms) => self.wall_ms += u64::from(ms),
            Op::Spread(a, b) => {
                let all = self.nodes[a].notices.all();
                for g in &all {
                    if let Notice::Grant(g) = g {
                        self.nodes[b].grants.heard(g);
                    }
                }
                self.nodes[b].notices.merge(all);
            }
            Op::Send {
                key,
                entry,
                run,
                answer_lost,
            } => {
                let key = self.keys[key];
                let not_run = self.send(key, entry, run);
                if not_run && !answer_lost {
                    assert_eq!(self.runs.get(&key), None, "told not run, but it ran");
                }
            }
            Op::EndAll(n) => {
                let o = &mut self.nodes[n];
                for key in std::mem::take(&mut o.running) {
                    o.dedup.end(key, End::Done(1, 10));
                }
            }
            Op::Restart(n, clock_back) => {
                let incarnation = self.nodes[n].incarnation + u64::from(!clock_back);
                self.processes += 1;
                self.nodes[n] = node(n, incarnation, self.processes);
            }
            Op::Retire(n) => self.nodes[n].grants.retire(self.wall_ms),
            Op::Believe(a, b, s) => {
                let states = [MemberState::Alive, MemberState::Leaving, MemberState::Dead];
                let m = member(self.nodes[b].incarnation, states[usize::from(s)]);
                self.nodes[a].members.insert(node_id(b).into(), m);
            }
            Op::Cut(n, cut) => self.nodes[n].cut_off = cut,
        }
        for (key, n) in &self.runs {
            assert!(*n <= 1, "{} ran {n} times", key.text());
        }
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a second run of a key, against "not run" for one that ran, against ranges that overlap and against
    /// a range that is used without the store, whatever the order of duplicates, lost answers, restarts with a repeated
    /// incarnation, pauses past the end of a range, partitions and outages.
    #[test]
    fn no_schedule_runs_a_key_twice(
        offsets in prop::collection::vec(0..2_000_000_u32, 12),
        ops in prop::collection::vec(op(), 1..200),
    ) {
        let mut w = World::new(&offsets);
        for op in &ops {
            w.apply(op);
            for (_, g) in w.store.values() {
                for pair in g.ranges.windows(2) {
                    prop_assert!(pair[0].until_ms <= pair[1].from_ms, "{g:?}");
                }
            }
        }
        for (shard, ms) in (0..BUSY).flat_map(|s| (0..3_600_000).step_by(7_001).map(move |ms| (s, ms))) {
            let accepts = |n: &mut Node| n.grants.accept(shard, START_MS + ms, n.incarnation);
            let owners = w.nodes.iter_mut().map(|n| usize::from(accepts(n))).sum::<usize>();
            prop_assert!(owners <= 1, "two processes accept one key");
        }
    }
}
