//! Ownership of idempotency keys in a running node: drives [`Grants`] and [`Dedup`].

use std::sync::{Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use rand::RngExt;
use tokio::sync::Notify;

use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::notices::{Grant, KeyRange, Notice, Shard};
use crate::process::members::record::{Record, TargetState};
use crate::process::members::view::Usable;
use crate::process::node::Process;
use crate::process::once::dedup::{Begin, Dedup, End, Limits};
use crate::process::once::grants::{
    Action, Grants, Member, MemberState, Members, Owner, Swapped, View, SHARDS,
};
use crate::request::body::{full, Body};
use crate::request::key::IdempotencyKey;
use crate::store::{Revision, StoreError, Swap};

/// Interval in which ownership is looked after.
const TICK: Duration = Duration::from_secs(1);
/// Time after the start in which members are learned before shards are asked for.
const SETTLE: Duration = Duration::from_secs(2);
/// Key time that has to remain in a range from which a key is issued, in milliseconds.
const ISSUE_MARGIN_MS: u64 = 1000;

/// A stored answer.
#[derive(Debug)]
pub struct Stored {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Stored {
    /// The answer for one more caller.
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

/// State of the owner role.
pub struct Ownership {
    grants: Mutex<Grants>,
    dedup: Mutex<Dedup<Arc<Stored>>>,
    ended: Notify,
}

/// Wall clock, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

fn owner(node: &NodeId, incarnation: Incarnation) -> Owner {
    Owner {
        node: node.clone(),
        incarnation,
        token: rand::random(),
    }
}

/// Members as ownership sees them.
pub fn members(p: &Process) -> Members {
    let state = |r: &Record| match (p.is_dead(r), &r.target) {
        (true, _) => MemberState::Dead,
        (_, Some(t)) if matches!(t.state, TargetState::Draining | TargetState::Gone) => {
            MemberState::Leaving
        }
        _ if !p.is_reachable(r) => MemberState::Leaving,
        _ => MemberState::Alive,
    };
    let records = p.records.load();
    let each = records.iter().map(|(id, r)| {
        let m = Member {
            incarnation: r.incarnation,
            az: r.az.clone(),
            state: state(r),
        };
        (id.clone(), m)
    });
    each.collect()
}

impl Ownership {
    /// A process that owns nothing yet.
    pub fn new(node: &NodeId, incarnation: Incarnation) -> Self {
        Self {
            grants: Mutex::new(Grants::new(owner(node, incarnation))),
            dedup: Mutex::new(Dedup::new(Limits::default())),
            ended: Notify::new(),
        }
    }

    /// Keys whose requests run or whose results are remembered.
    pub fn remembered(&self) -> usize {
        lock(&self.dedup).len()
    }

    /// Whether this process may run a key that the sender looked up under this incarnation.
    pub fn accept(&self, key: IdempotencyKey, incarnation: Incarnation) -> bool {
        lock(&self.grants).accept(key.shard(), key.time_ms(), incarnation)
    }

    /// Takes a request, after the present run of the same key has ended.
    pub async fn begin(&self, key: IdempotencyKey, content: Digest) -> Begin<Arc<Stored>> {
        loop {
            let ended = self.ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            match lock(&self.dedup).begin(key, content) {
                Begin::Wait => {}
                other => return other,
            }
            ended.await;
        }
    }

    /// Takes the end of a run.
    pub fn end(&self, key: IdempotencyKey, end: End<Arc<Stored>>) {
        lock(&self.dedup).end(key, end);
        self.ended.notify_waiters();
    }

    /// Gives up key times from shortly after now on.
    pub fn retire(&self) {
        lock(&self.grants).retire(wall_ms());
    }

    /// Whether everything that a planned stop gives up has been given up.
    pub fn handed_over(&self) -> bool {
        lock(&self.grants).handed_over(wall_ms())
    }

    /// Takes part again after a planned stop.
    pub fn resume(&self) {
        let mut g = lock(&self.grants);
        let me = owner(&g.me().node, g.me().incarnation);
        g.renew(me);
    }
}

/// Looks after ownership for ever.
pub async fn run(p: Arc<Process>) {
    tokio::time::sleep(SETTLE).await;
    loop {
        let incarnation = p.own_record().incarnation;
        let heard = p.notices.grants();
        let todo = {
            let mut g = lock(&p.ownership.grants);
            if g.me().incarnation != incarnation {
                let me = owner(&p.settings.node.id, incarnation);
                g.renew(me);
            }
            heard.iter().for_each(|n| g.heard(n));
            let members = members(&p);
            g.tick(view(&p, &members))
        };
        lock(&p.ownership.dedup).tick(wall_ms());
        p.notices.suspects(|s, now| s.expire(now));
        for action in todo {
            tokio::spawn(perform(p.clone(), action));
        }
        tokio::time::sleep(TICK).await;
    }
}

fn view<'a>(p: &Process, members: &'a Members) -> View<'a> {
    View {
        now: p.clock.now(),
        wall_ms: wall_ms(),
        members,
    }
}

fn store_key(p: &Process, shard: Shard) -> String {
    format!("dq/{}/grant/{shard}", p.settings.node.site)
}

/// Performs an action and those that follow from its answer.
async fn perform(p: Arc<Process>, first: Action) {
    let mut todo = vec![first];
    while let Some(action) = todo.pop() {
        match action {
            Action::Publish(g) => p.tell(vec![Notice::Grant(g)]),
            Action::Read(shard) => {
                let found = p.store.get(&store_key(&p, shard)).await;
                let found = decode(found);
                let members = members(&p);
                let view = view(&p, &members);
                todo.extend(lock(&p.ownership.grants).read(shard, found, view));
            }
            Action::Swap(expect, g) => {
                let answer = swap(&p, expect, &g).await;
                todo.extend(lock(&p.ownership.grants).swapped(g.shard, answer));
            }
        }
    }
}

fn decode(
    found: Result<Option<crate::store::Entry>, StoreError>,
) -> Option<(Revision, Option<Grant>)> {
    match found {
        Ok(None) => Some((0, None)),
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

async fn swap(p: &Process, expect: Revision, g: &Grant) -> Swapped {
    let value = serde_json::to_vec(g).unwrap_or_default();
    let key = store_key(p, g.shard);
    match p.store.swap(&key, expect, Some(value), None).await {
        Ok(Swap::Done(_)) => Swapped::Done,
        Ok(Swap::Conflict(_)) => Swapped::Refused,
        Err(StoreError::Unknown(_)) => Swapped::Unknown,
        Err(error) => {
            spdlog::warn!("event=grant_write_failed", kv: { key, error = error.to_string() });
            Swapped::Refused
        }
    }
}

/// Makes a key whose owner is alive, in the own zone if possible; `None` when no living owner is known.
///
/// An owner that some node got no answer from is taken only while there is no other. The key time may lie after the
/// present time: it is a logical order, and only a range with a living owner is useful.
pub fn issue(p: &Process) -> Option<IdempotencyKey> {
    let members = members(p);
    let wall = wall_ms();
    let zone = &p.settings.node.az;
    let records = p.records.load();
    let mut found: Vec<(u8, Shard, u64)> = Vec::new();
    for g in p.notices.grants() {
        let usable = |r: &&KeyRange| r.until_ms > wall + ISSUE_MARGIN_MS;
        for r in g.ranges.iter().filter(usable) {
            let alive =
                |m: &&Member| m.state == MemberState::Alive && m.incarnation == r.incarnation;
            let Some(m) = members.get(&r.owner).filter(alive) else {
                continue;
            };
            let record = records.get(&r.owner);
            let doubtful = record.is_none_or(|r| p.usable(r) > Usable::Yes);
            let far =
                u8::from(m.az != *zone) + 2 * u8::from(r.from_ms > wall) + 4 * u8::from(doubtful);
            found.push((far, g.shard, wall.max(r.from_ms)));
        }
    }
    let nearest = found.iter().map(|f| f.0).min()?;
    found.retain(|f| f.0 == nearest && f.1 < SHARDS);
    let (_, shard, time_ms) = *found.get(rand::rng().random_range(0..found.len()))?;
    Some(IdempotencyKey::generate(shard, time_ms, rand::random))
}
