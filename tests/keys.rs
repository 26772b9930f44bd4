//! At-most-once execution: ownership and stored responses under random schedules of faults, without I/O.

use std::collections::BTreeMap;

use dragonflyquay::digest::Digest;
use dragonflyquay::prelude::Duration;
use dragonflyquay::process::at_most_once::dedup::{Decision, DedupTable, Limits, RunResult};
use dragonflyquay::process::at_most_once::grants::{
    Action, Environment, Grants, Member, MemberState, Members, Owner, SwapResult,
};
use dragonflyquay::process::members::notices::{Grant, Notice, Notices};
use dragonflyquay::request::key::IdempotencyKey;
use dragonflyquay::request::reason::Reason;
use dragonflyquay::store::{Era, Revision};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START_MS: u64 = 1_800_000_000_000;
const NODES: usize = 3;
/// Number of shards that get requests; few, so that short schedules produce conflicts.
const USED_SHARDS: u16 = 2;

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
enum WriteResult {
    Success,
    ResponseLost,
    RequestLost,
    Delayed,
    StoreDown,
}

#[derive(Debug, Clone, Copy)]
enum RunKind {
    Pending,
    Completes,
    Lost,
    Rejected,
}

#[derive(Debug, Clone)]
enum Op {
    Tick(usize, WriteResult, bool),
    DeliverDelayed,
    AdvanceTime(u32),
    SendNotices(usize, usize),
    Send {
        key: usize,
        entry: usize,
        run: RunKind,
        response_lost: bool,
    },
    CompleteAll(usize),
    Restart(usize, bool),
    Release(usize),
    SetMemberState(usize, usize, u8),
    SetPartitioned(usize, bool),
}

fn op() -> impl Strategy<Value = Op> {
    use WriteResult::*;
    let write = prop_oneof![8 => Just(Success), 1 => Just(ResponseLost), 1 => Just(RequestLost), 1 => Just(Delayed), 1 => Just(StoreDown)];
    let run = prop_oneof![
        Just(RunKind::Pending),
        Just(RunKind::Completes),
        Just(RunKind::Lost),
        Just(RunKind::Rejected)
    ];
    let send = (0..12_usize, 0..NODES, run, any::<bool>());
    prop_oneof![
        8 => (0..NODES, write, any::<bool>()).prop_map(|(n, w, all)| Op::Tick(n, w, all)),
        1 => Just(Op::DeliverDelayed),
        3 => prop_oneof![Just(1_000_u32), Just(30_000), Just(330_000), Just(700_000)].prop_map(Op::AdvanceTime),
        3 => (0..NODES, 0..NODES).prop_map(|(a, b)| Op::SendNotices(a, b)),
        8 => send.prop_map(|(key, entry, run, response_lost)| Op::Send { key, entry, run, response_lost }),
        1 => (0..NODES).prop_map(Op::CompleteAll),
        1 => (0..NODES, any::<bool>()).prop_map(|(n, b)| Op::Restart(n, b)),
        3 => (0..NODES).prop_map(Op::Release),
        4 => (0..NODES, 0..NODES, 0..3_u8).prop_map(|(a, b, s)| Op::SetMemberState(a, b, s)),
        1 => (0..NODES, any::<bool>()).prop_map(|(n, c)| Op::SetPartitioned(n, c)),
    ]
}

struct Node {
    grants: Grants,
    dedup: DedupTable<u64>,
    notices: Notices,
    members: Members,
    incarnation: u64,
    running: Vec<IdempotencyKey>,
    actions: Vec<Action>,
    clock_skew_ms: i64,
    partitioned: bool,
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
        let incarnation = if i == n { incarnation } else { 1 };
        (node_id(i).into(), member(incarnation, MemberState::Alive))
    });
    Node {
        grants: Grants::new(owner),
        dedup: DedupTable::new(Limits {
            keys: 8,
            bytes: 1000,
        }),
        notices: Notices::default(),
        members: all.collect(),
        incarnation,
        running: Vec::new(),
        actions: Vec::new(),
        clock_skew_ms: [0, 400_000, -400_000][n],
        partitioned: false,
    }
}

struct Simulation {
    nodes: Vec<Node>,
    store: BTreeMap<u16, (u64, Grant)>,
    revision: u64,
    delayed: Vec<(u64, Grant)>,
    wall_ms: u64,
    keys: Vec<IdempotencyKey>,
    runs: BTreeMap<IdempotencyKey, u32>,
    last_token: u64,
}

impl Simulation {
    fn new(offsets: &[u32]) -> Self {
        let mut bits = 1_u128;
        let mut random = || {
            bits = bits
                .wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C835)
                .wrapping_add(1);
            bits
        };
        let key = |(i, o): (usize, &u32)| {
            IdempotencyKey::generate(
                i as u16 % USED_SHARDS,
                START_MS + u64::from(*o),
                &mut random,
            )
        };
        Self {
            nodes: (0..NODES).map(|n| node(n, 1, n as u64)).collect(),
            store: BTreeMap::new(),
            revision: 0,
            delayed: Vec::new(),
            wall_ms: START_MS,
            keys: offsets.iter().enumerate().map(key).collect(),
            runs: BTreeMap::new(),
            last_token: NODES as u64,
        }
    }

    fn swap(&mut self, expect: u64, g: &Grant) -> bool {
        let revision = self.store.get(&g.shard).map_or(0, |e| e.0);
        if revision == expect {
            self.revision += 1;
            self.store.insert(g.shard, (self.revision, g.clone()));
        }
        revision == expect
    }

    /// Starts the attempts that are due, or continues those in progress: by one store call, so that the calls of
    /// several nodes interleave, or to completion.
    fn tick(&mut self, n: usize, write: WriteResult, to_completion: bool) {
        let wall_ms = self
            .wall_ms
            .saturating_add_signed(self.nodes[n].clock_skew_ms);
        let now = Duration::from_millis(self.wall_ms - START_MS + 60_000);
        let members = self.nodes[n].members.clone();
        let env = Environment {
            now,
            wall_ms,
            members: &members,
        };
        let node = &mut self.nodes[n];
        if node.actions.is_empty() {
            node.dedup.tick(wall_ms);
            node.actions = node.grants.tick(env);
            let is_used = |a: &Action| matches!(a, Action::Read(shard) if *shard < USED_SHARDS);
            node.actions.retain(is_used);
        }
        let mut write = Some(write);
        while let Some(action) = self.nodes[n].actions.pop() {
            let follow_ups =
                self.perform(n, action, write.take().unwrap_or(WriteResult::Success), env);
            self.nodes[n].actions.extend(follow_ups);
            if !to_completion {
                return;
            }
        }
    }

    fn perform(
        &mut self,
        n: usize,
        action: Action,
        write: WriteResult,
        env: Environment<'_>,
    ) -> Vec<Action> {
        let down = matches!(write, WriteResult::StoreDown) || self.nodes[n].partitioned;
        match action {
            Action::Publish(g) => {
                self.nodes[n].notices.merge(vec![Notice::Grant(g)]);
                Vec::new()
            }
            Action::Read(shard) => {
                let entry = self.store.get(&shard);
                let found = entry.map_or((Revision::ABSENT, None), |e| {
                    (Revision::new(Era::default(), e.0), Some(e.1.clone()))
                });
                let found = Some(found).filter(|_| !down);
                self.nodes[n].grants.on_read(shard, found, env)
            }
            Action::Swap(expect, g) => {
                let result = match write {
                    _ if down => SwapResult::NotApplied,
                    WriteResult::Success if self.swap(expect.number(), &g) => SwapResult::Applied,
                    WriteResult::ResponseLost if self.swap(expect.number(), &g) => {
                        SwapResult::Unknown
                    }
                    WriteResult::RequestLost => SwapResult::Unknown,
                    WriteResult::Delayed => {
                        self.delayed.push((expect.number(), g.clone()));
                        SwapResult::Unknown
                    }
                    _ => SwapResult::NotApplied,
                };
                let must_read = result == SwapResult::Unknown;
                let follow_ups = self.nodes[n].grants.on_swap_result(g.shard, result);
                assert!(!must_read || follow_ups == [Action::Read(g.shard)]);
                follow_ups
            }
        }
    }

    /// Handles a request like an entry node and an owner. Returns whether the caller gets the outcome "not run".
    fn send(&mut self, key: IdempotencyKey, entry: usize, run: RunKind) -> bool {
        let Ok(range) = self.nodes[entry].notices.owner(key.shard(), key.time_ms()) else {
            return false;
        };
        let owner: usize = range.owner[1..].parse().unwrap();
        if owner != entry && (self.nodes[owner].partitioned || self.nodes[entry].partitioned) {
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
            Decision::Run => {}
            Decision::Full => return true,
            _ => return false,
        }
        match run {
            RunKind::Rejected => {
                o.dedup.finish(key, RunResult::NotRun);
                return true;
            }
            RunKind::Pending => o.running.push(key),
            RunKind::Completes => o.dedup.finish(key, RunResult::Done(1, 400)),
            RunKind::Lost => o.dedup.finish(key, RunResult::Unknown(Reason::Lost)),
        }
        *self.runs.entry(key).or_default() += 1;
        false
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Tick(n, write, to_completion) => self.tick(n, write, to_completion),
            Op::DeliverDelayed => {
                for (expect, g) in std::mem::take(&mut self.delayed) {
                    self.swap(expect, &g);
                }
            }
            Op::AdvanceTime(ms) => self.wall_ms += u64::from(ms),
            Op::SendNotices(a, b) => {
                let all = self.nodes[a].notices.all();
                for g in &all {
                    if let Notice::Grant(g) = g {
                        self.nodes[b].grants.on_notice(g);
                    }
                }
                self.nodes[b].notices.merge(all);
            }
            Op::Send {
                key,
                entry,
                run,
                response_lost,
            } => {
                let key = self.keys[key];
                let not_run = self.send(key, entry, run);
                if not_run && !response_lost {
                    assert_eq!(self.runs.get(&key), None, "reported as not run, but it ran");
                }
            }
            Op::CompleteAll(n) => {
                let o = &mut self.nodes[n];
                for key in std::mem::take(&mut o.running) {
                    o.dedup.finish(key, RunResult::Done(1, 10));
                }
            }
            Op::Restart(n, clock_back) => {
                let incarnation = self.nodes[n].incarnation + u64::from(!clock_back);
                self.last_token += 1;
                self.nodes[n] = node(n, incarnation, self.last_token);
            }
            Op::Release(n) => self.nodes[n].grants.release(self.wall_ms),
            Op::SetMemberState(a, b, s) => {
                let states = [
                    MemberState::Alive,
                    MemberState::Unavailable,
                    MemberState::Dead,
                ];
                let m = member(self.nodes[b].incarnation, states[usize::from(s)]);
                self.nodes[a].members.insert(node_id(b).into(), m);
            }
            Op::SetPartitioned(n, partitioned) => self.nodes[n].partitioned = partitioned,
        }
        for (key, n) in &self.runs {
            assert!(*n <= 1, "{} ran {n} times", key.text());
        }
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a second run of a key, the outcome "not run" for a key that ran, overlapping ranges, and ranges
    /// that are used without confirmation by the store. Schedules contain duplicates, lost responses, restarts with a
    /// reused incarnation, pauses past the end of a range, partitions and store outages in any order.
    #[test]
    fn no_schedule_runs_a_key_twice(
        offsets in prop::collection::vec(0..2_000_000_u32, 12),
        ops in prop::collection::vec(op(), 1..200),
    ) {
        let mut sim = Simulation::new(&offsets);
        for op in &ops {
            sim.apply(op);
            for (_, g) in sim.store.values() {
                for pair in g.ranges.windows(2) {
                    prop_assert!(pair[0].until_ms <= pair[1].from_ms, "{g:?}");
                }
            }
        }
        for (shard, ms) in (0..USED_SHARDS).flat_map(|s| (0..3_600_000).step_by(7_001).map(move |ms| (s, ms))) {
            let accepts = |n: &mut Node| n.grants.accept(shard, START_MS + ms, n.incarnation);
            let owners = sim.nodes.iter_mut().map(|n| usize::from(accepts(n))).sum::<usize>();
            prop_assert!(owners <= 1, "two processes accept one key");
        }
    }
}
