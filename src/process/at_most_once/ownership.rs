//! Ownership of idempotency keys in a running node: drives [`Grants`] and [`DedupTable`].

use std::sync::{Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use rand::RngExt;
use tokio::sync::Notify;

use crate::digest::Digest;
use crate::prelude::*;
use crate::process::at_most_once::dedup::{Decision, DedupTable, Limits, RunResult};
use crate::process::at_most_once::grants::{
    Action, Environment, Grants, Member, MemberState, Members, Owner, SwapResult, SHARD_COUNT,
};
use crate::process::members::control_view::Usable;
use crate::process::members::notices::{Grant, KeyRange, Notice, Shard};
use crate::process::members::record::{Record, TargetState};
use crate::process::node::Process;
use crate::request::body::{full, Body};
use crate::request::key::IdempotencyKey;
use crate::store::{Revision, StoreError, Swap};

const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after the start, in which the members are learned before the node acquires shards.
const STARTUP_DELAY: Duration = Duration::from_secs(2);
/// Minimum remaining key time of a range from which a key is issued, in milliseconds.
const ISSUE_MARGIN_MS: u64 = 1000;

/// Response of the first run with a key, which duplicates of the request get too.
#[derive(Debug)]
pub struct StoredResponse {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Headers of the response, without hop-by-hop and internal headers.
    pub headers: HeaderMap,
    /// Body of the response, buffered whole.
    pub body: Bytes,
}

impl StoredResponse {
    /// Creates a response for a duplicate request.
    pub fn response(&self) -> Response<Body> {
        let mut res = Response::new(full(self.body.clone()));
        *res.status_mut() = self.status;
        *res.headers_mut() = self.headers.clone();
        res
    }

    /// Size in bytes, headers included.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(k, v)| k.as_str().len() + v.len()).sum();
        headers + self.body.len()
    }
}

/// State of a node as an owner of idempotency keys.
pub struct Ownership {
    grants: Mutex<Grants>,
    dedup: Mutex<DedupTable<Arc<StoredResponse>>>,
    run_finished: Notify,
}

/// Wall clock, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

fn new_owner(node: &NodeId, incarnation: Incarnation) -> Owner {
    Owner {
        node: node.clone(),
        incarnation,
        token: rand::random(),
    }
}

/// Members of the site, with their states as far as they matter for ownership.
pub fn members(p: &Process) -> Members {
    let state = |r: &Record| match (p.is_dead(r), &r.target) {
        (true, _) => MemberState::Dead,
        (_, Some(t)) if matches!(t.state, TargetState::Draining | TargetState::Gone) => {
            MemberState::Unavailable
        }
        _ if !p.is_reachable(r) => MemberState::Unavailable,
        _ => MemberState::Alive,
    };
    let records = p.records.load();
    let entries = records.iter().map(|(id, r)| {
        let m = Member {
            incarnation: r.incarnation,
            az: r.az.clone(),
            state: state(r),
        };
        (id.clone(), m)
    });
    entries.collect()
}

impl Ownership {
    /// Creates the state of a process that owns nothing.
    pub fn new(node: &NodeId, incarnation: Incarnation) -> Self {
        Self {
            grants: Mutex::new(Grants::new(new_owner(node, incarnation))),
            dedup: Mutex::new(DedupTable::new(Limits::default())),
            run_finished: Notify::new(),
        }
    }

    /// Number of keys whose requests are running or whose results are stored.
    pub fn key_count(&self) -> usize {
        lock(&self.dedup).len()
    }

    /// Accepts a key for execution if this process owns it; see [`Grants::accept`].
    pub fn accept(&self, key: IdempotencyKey, incarnation: Incarnation) -> bool {
        lock(&self.grants).accept(key.shard(), key.time_ms(), incarnation)
    }

    /// Looks up a request, after any current run of the same key has finished.
    pub async fn begin(
        &self,
        key: IdempotencyKey,
        content: Digest,
    ) -> Decision<Arc<StoredResponse>> {
        loop {
            let finished = self.run_finished.notified();
            tokio::pin!(finished);
            finished.as_mut().enable();
            match lock(&self.dedup).begin(key, content) {
                Decision::Wait => {}
                other => return other,
            }
            finished.await;
        }
    }

    /// Records the result of a run and wakes the duplicates that wait for it.
    pub fn finish(&self, key: IdempotencyKey, result: RunResult<Arc<StoredResponse>>) {
        lock(&self.dedup).finish(key, result);
        self.run_finished.notify_waiters();
    }

    /// Starts to release the ranges of this process because of a planned stop; see [`Grants::release`].
    pub fn release(&self) {
        lock(&self.grants).release(wall_ms());
    }

    /// Whether a planned stop has released all ranges; see [`Grants::is_released`].
    pub fn is_released(&self) -> bool {
        lock(&self.grants).is_released(wall_ms())
    }

    /// Acquires ranges again after a planned stop, as a new owner.
    pub fn resume(&self) {
        let mut g = lock(&self.grants);
        let owner = new_owner(&g.owner().node, g.owner().incarnation);
        g.reset_owner(owner);
    }
}

/// Ticks the ownership state machine until the process ends.
pub async fn run(p: Arc<Process>) {
    tokio::time::sleep(STARTUP_DELAY).await;
    loop {
        let incarnation = p.own_record().incarnation;
        let received = p.notices.grants();
        let actions = {
            let mut g = lock(&p.ownership.grants);
            if g.owner().incarnation != incarnation {
                let owner = new_owner(&p.settings.node.id, incarnation);
                g.reset_owner(owner);
            }
            received.iter().for_each(|n| g.on_notice(n));
            let members = members(&p);
            g.tick(environment(&p, &members))
        };
        lock(&p.ownership.dedup).tick(wall_ms());
        p.notices.suspects(|s, now| s.expire(now));
        for action in actions {
            tokio::spawn(run_action(p.clone(), action));
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

fn environment<'a>(p: &Process, members: &'a Members) -> Environment<'a> {
    Environment {
        now: p.clock.now(),
        wall_ms: wall_ms(),
        members,
    }
}

fn store_key(p: &Process, shard: Shard) -> String {
    format!("dq/{}/grant/{shard}", p.settings.node.site)
}

/// Performs an action and those that result from it.
async fn run_action(p: Arc<Process>, first: Action) {
    let mut actions = vec![first];
    while let Some(action) = actions.pop() {
        match action {
            Action::Publish(g) => p.publish_notices(vec![Notice::Grant(g)]),
            Action::Read(shard) => {
                let found = p.store.get(&store_key(&p, shard)).await;
                let found = decode(found);
                let members = members(&p);
                let env = environment(&p, &members);
                actions.extend(lock(&p.ownership.grants).on_read(shard, found, env));
            }
            Action::Swap(expect, g) => {
                let result = write_grant(&p, expect, &g).await;
                actions.extend(lock(&p.ownership.grants).on_swap_result(g.shard, result));
            }
        }
    }
}

fn decode(
    found: Result<Option<crate::store::Entry>, StoreError>,
) -> Option<(Revision, Option<Grant>)> {
    match found {
        Ok(None) => Some((Revision::ABSENT, None)),
        Ok(Some(e)) => match serde_json::from_slice(&e.value) {
            Ok(g) => Some((e.revision, Some(g))),
            Err(error) => {
                spdlog::error!("event=grant_unreadable", kv: { key = e.key, error = error.to_string() });
                None
            }
        },
        Err(error) => {
            spdlog::warn!("event=grant_read_failed", kv: { error = error.to_string() });
            None
        }
    }
}

async fn write_grant(p: &Process, expect: Revision, g: &Grant) -> SwapResult {
    let value = serde_json::to_vec(g).unwrap_or_default();
    let key = store_key(p, g.shard);
    match p.store.swap(&key, expect, Some(value), None).await {
        Ok(Swap::Done(_)) => SwapResult::Applied,
        Ok(Swap::Conflict(_)) => SwapResult::NotApplied,
        Err(StoreError::Unknown(_)) => SwapResult::Unknown,
        Err(error) => {
            spdlog::warn!("event=grant_write_failed", kv: { key, error = error.to_string() });
            SwapResult::NotApplied
        }
    }
}

/// Issues a key with a live owner, in the availability zone of this node if possible. Returns `None` if no live owner
/// is known.
///
/// An owner that did not respond to some node is selected only if there is no other. The key time may lie in the
/// future: it serves as a logical order, and a key is useful only in a range with a live owner.
pub fn issue_key(p: &Process) -> Option<IdempotencyKey> {
    let members = members(p);
    let wall_ms = wall_ms();
    let own_az = &p.settings.node.az;
    let records = p.records.load();
    let mut candidates: Vec<(u8, Shard, u64)> = Vec::new();
    for g in p.notices.grants() {
        let has_time_left = |r: &&KeyRange| r.until_ms > wall_ms + ISSUE_MARGIN_MS;
        for r in g.ranges.iter().filter(has_time_left) {
            let is_alive =
                |m: &&Member| m.state == MemberState::Alive && m.incarnation == r.incarnation;
            let Some(m) = members.get(&r.owner).filter(is_alive) else {
                continue;
            };
            let record = records.get(&r.owner);
            let doubtful = record.is_none_or(|r| p.usable(r) > Usable::Yes);
            let penalty = u8::from(m.az != *own_az)
                + 2 * u8::from(r.from_ms > wall_ms)
                + 4 * u8::from(doubtful);
            candidates.push((penalty, g.shard, wall_ms.max(r.from_ms)));
        }
    }
    let lowest = candidates.iter().map(|c| c.0).min()?;
    candidates.retain(|c| c.0 == lowest && c.1 < SHARD_COUNT);
    let (_, shard, time_ms) = *candidates.get(rand::rng().random_range(0..candidates.len()))?;
    Some(IdempotencyKey::generate(shard, time_ms, rand::random))
}
