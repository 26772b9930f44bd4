//! Ownership of idempotency keys. A shard is a list of key-time ranges, each of which has one owner that never changes.
//!
//! Safety depends only on the store's compare-and-swap. A process uses a range only after it has read it from the store
//! with its own token. New ranges start at or after the end of the last range. Only the owner may truncate its last
//! range, after it has stopped accepting the keys that it releases. The wall clock only determines when and how far a
//! range is extended, so clock skew affects availability but never ownership.

use crate::prelude::*;
use crate::process::members::notices::{Grant, KeyRange, Shard};
use crate::store::Revision;

pub use crate::process::at_most_once::assignment::{
    preferred_owners, Member, MemberState, Members,
};

/// Number of shards. 16 shards spread the owners over 5 availability zones and cost 16 store writes per minute.
pub const SHARD_COUNT: Shard = 16;
/// Time by which the end of a range is set ahead of the wall clock, in milliseconds.
pub const GRANT_AHEAD_MS: u64 = 600_000;
/// Interval at which an owner extends its range, in milliseconds.
pub const EXTEND_INTERVAL_MS: u64 = 60_000;
/// Remaining time of a range below which another node takes over the shard, in milliseconds.
pub const TAKEOVER_MARGIN_MS: u64 = 300_000;
/// Time by which a new range may start before the wall clock, for callers with slow clocks, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 60_000;
/// Time from the start of a planned stop to the first key time that it releases, in milliseconds.
pub const RELEASE_LEAD_MS: u64 = 5_000;
/// Time after which an ended range is removed from the list, in milliseconds; longer than owners store responses.
pub const RANGE_RETENTION_MS: u64 = 2 * 3_600_000;
/// Interval between two attempts for one shard; limits 16 shards to 0.8 writes per second if all attempts fail.
pub const ATTEMPT_INTERVAL: Duration = Duration::from_secs(20);

/// The process that owns ranges.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// Id of the node that the process runs.
    pub node: NodeId,
    /// Incarnation of the process; ranges of another one are not its own.
    pub incarnation: Incarnation,
    /// Random number of the process, because a restart can reuse an incarnation if the clock was set back.
    pub token: u64,
}

/// Action for the driver to perform. The driver reports the result of each `Read` with one call of
/// [`Grants::on_read`], and of each `Swap` with one call of [`Grants::on_swap_result`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the entry of the shard from the store.
    Read(Shard),
    /// Replace the entry of the shard by compare-and-swap, if it has this revision.
    Swap(Revision, Grant),
    /// Send the grant to all nodes.
    Publish(Grant),
}

/// Result of an [`Action::Swap`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapResult {
    /// The entry was replaced.
    Applied,
    /// The entry was not replaced: it has another revision, or the call failed.
    NotApplied,
    /// The store did not respond; the entry may have been replaced.
    Unknown,
}

/// Clocks and members that the state machine works with.
#[derive(Debug, Clone, Copy)]
pub struct Environment<'a> {
    /// Time since the start of the process.
    pub now: Now,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Members of the site, as seen by this node.
    pub members: &'a Members,
}

/// Store call that is in progress for a shard.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
enum Step {
    #[default]
    Idle,
    Reading,
    Swapping(Grant),
}

#[derive(Debug, Clone, Default)]
struct ShardState {
    latest: Option<Grant>,
    /// Start and end of the ranges that this process may use, as key times in milliseconds.
    owned: Vec<(u64, u64)>,
    step: Step,
    next_attempt: Now,
    /// Lowest key time above all that were accepted.
    unused_ms: u64,
    /// First key time that a planned stop releases.
    release_ms: Option<u64>,
}

/// State machine that acquires, extends and releases the ranges of one process.
#[derive(Debug)]
pub struct Grants {
    owner: Owner,
    shards: Vec<ShardState>,
}

fn has_live_owner(members: &Members, r: &KeyRange) -> bool {
    members
        .get(&r.owner)
        .is_some_and(|m| m.state == MemberState::Alive && m.incarnation == r.incarnation)
}

impl Grants {
    /// Creates the state of a process that owns nothing.
    pub fn new(owner: Owner) -> Self {
        Self {
            owner,
            shards: vec![ShardState::default(); usize::from(SHARD_COUNT)],
        }
    }

    /// Restarts as another owner, after a planned stop or when membership raised the incarnation. Ranges of the
    /// previous owner are never used again.
    pub fn reset_owner(&mut self, owner: Owner) {
        self.owner = owner;
        for s in &mut self.shards {
            *s = ShardState {
                latest: s.latest.take(),
                ..ShardState::default()
            };
        }
    }

    /// Owner under which this process acquires ranges.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    fn is_own(&self, r: &KeyRange) -> bool {
        r.token == self.owner.token
            && r.owner == self.owner.node
            && r.incarnation == self.owner.incarnation
    }

    /// Accepts a key time for execution if this process owns it. `incarnation` is the one that the sender expects.
    pub fn accept(&mut self, shard: Shard, key_ms: u64, incarnation: Incarnation) -> bool {
        let current = incarnation == self.owner.incarnation;
        let Some(s) = self.shards.get_mut(usize::from(shard)).filter(|_| current) else {
            return false;
        };
        let not_released = s.release_ms.is_none_or(|ms| key_ms < ms);
        let accepted = not_released
            && s.owned
                .iter()
                .any(|(from, until)| (*from..*until).contains(&key_ms));
        if accepted {
            s.unused_ms = s.unused_ms.max(key_ms + 1);
        }
        accepted
    }

    /// Grant of a shard with the greatest revision known, from the store or from another node.
    pub fn latest(&self, shard: Shard) -> Option<&Grant> {
        self.shards.get(usize::from(shard))?.latest.as_ref()
    }

    /// Handles a grant received from another node. It never adds ranges that this process may use.
    pub fn on_notice(&mut self, g: &Grant) {
        if let Some(s) = self.shards.get_mut(usize::from(g.shard)) {
            if s.latest.as_ref().is_none_or(|l| l.revision < g.revision) {
                s.latest = Some(g.clone());
            }
        }
    }

    /// Stops accepting key times from [`RELEASE_LEAD_MS`] after `wall_ms`, or after the last accepted one if that is
    /// later. The next ticks release these ranges in the store.
    pub fn release(&mut self, wall_ms: u64) {
        for s in &mut self.shards {
            s.release_ms
                .get_or_insert_with(|| s.unused_ms.max(wall_ms + RELEASE_LEAD_MS));
            s.next_attempt = Now::ZERO;
        }
    }

    /// Whether all ranges are released, as far as known, and the wall clock has passed the key times that this process
    /// still owns.
    pub fn is_released(&self, wall_ms: u64) -> bool {
        self.shards.iter().all(|s| {
            let release_ms = s.release_ms.filter(|_| !s.owned.is_empty());
            if release_ms.is_some_and(|ms| wall_ms < ms + RELEASE_LEAD_MS / 2) {
                return false;
            }
            let last = s.latest.as_ref().and_then(|g| g.ranges.last());
            let is_unreleased =
                |r: &KeyRange| self.is_own(r) && s.release_ms.is_none_or(|ms| r.until_ms > ms);
            s.step == Step::Idle && !last.is_some_and(is_unreleased)
        })
    }

    /// Starts the attempts that are due.
    pub fn tick(&mut self, env: Environment<'_>) -> Vec<Action> {
        let mut preferred = None;
        let mut actions = Vec::new();
        for shard in 0..SHARD_COUNT {
            let s = &self.shards[usize::from(shard)];
            if s.step != Step::Idle
                || env.now < s.next_attempt
                || !self.is_due(shard, env, &mut preferred)
            {
                continue;
            }
            let s = &mut self.shards[usize::from(shard)];
            s.step = Step::Reading;
            s.next_attempt = env.now + ATTEMPT_INTERVAL;
            actions.push(Action::Read(shard));
        }
        actions
    }

    /// Whether this process should write the shard. `preferred` caches the preferred owners, computed on first use.
    fn is_due(
        &self,
        shard: Shard,
        env: Environment<'_>,
        preferred: &mut Option<Vec<Option<NodeId>>>,
    ) -> bool {
        let s = &self.shards[usize::from(shard)];
        let ranges = s.latest.as_ref().map_or(&[][..], |g| &g.ranges);
        let last_own = ranges.last().filter(|r| self.is_own(r));
        if let Some(release_ms) = s.release_ms {
            return last_own.is_some_and(|r| r.until_ms > release_ms);
        }
        let covered_ms = ranges.iter().filter(|r| has_live_owner(env.members, r));
        let covered_ms = covered_ms.map(|r| r.until_ms).max().unwrap_or(0);
        let margin_ms = match last_own {
            Some(_) => GRANT_AHEAD_MS - EXTEND_INTERVAL_MS,
            None => TAKEOVER_MARGIN_MS,
        };
        if covered_ms >= env.wall_ms + margin_ms {
            return false;
        }
        // The owner leaves the shard to the preferred owner, but extends its range if that node does not act in time.
        if last_own.is_some_and(|r| r.until_ms < env.wall_ms + EXTEND_INTERVAL_MS) {
            return true;
        }
        let owners = preferred.get_or_insert_with(|| preferred_owners(env.members));
        owners[usize::from(shard)].as_ref() == Some(&self.owner.node)
    }

    /// Handles the result of a read: the revision (0 if absent) and value of the entry, or `None` if the read failed.
    pub fn on_read(
        &mut self,
        shard: Shard,
        found: Option<(Revision, Option<Grant>)>,
        env: Environment<'_>,
    ) -> Vec<Action> {
        let Some((revision, stored)) = found else {
            self.shards[usize::from(shard)].step = Step::Idle;
            return Vec::new();
        };
        let mut actions = Vec::new();
        if let Some(g) = &stored {
            actions.extend(self.observe(g));
        }
        self.shards[usize::from(shard)].step = Step::Idle;
        if self.is_due(shard, env, &mut None) {
            let grant = self.next_grant(shard, stored.as_ref(), env);
            self.shards[usize::from(shard)].step = Step::Swapping(grant.clone());
            actions.push(Action::Swap(revision, grant));
        }
        actions
    }

    /// Handles the result of a swap. If the result is unknown, the entry is read before any range is used.
    pub fn on_swap_result(&mut self, shard: Shard, result: SwapResult) -> Vec<Action> {
        let s = &mut self.shards[usize::from(shard)];
        match (result, std::mem::take(&mut s.step)) {
            (SwapResult::Applied, Step::Swapping(g)) => self.observe(&g).into_iter().collect(),
            (SwapResult::Unknown, _) => {
                s.step = Step::Reading;
                vec![Action::Read(shard)]
            }
            _ => Vec::new(),
        }
    }

    /// Records a grant that the store holds or held. An outdated grant is a valid proof of ownership too, because only
    /// this process truncates its own ranges.
    fn observe(&mut self, g: &Grant) -> Option<Action> {
        let own = g.ranges.iter().filter(|r| self.is_own(r));
        let own: Vec<_> = own.map(|r| (r.from_ms, r.until_ms)).collect();
        let s = &mut self.shards[usize::from(g.shard)];
        for (from, until) in own {
            match s.owned.iter_mut().find(|o| o.0 == from) {
                Some(o) => o.1 = o.1.max(until),
                None => s.owned.push((from, until)),
            }
        }
        let newer = s.latest.as_ref().is_none_or(|l| l.revision < g.revision);
        if newer {
            s.latest = Some(g.clone());
        }
        newer.then(|| Action::Publish(g.clone()))
    }

    /// Grant to write to the store. A store that was restored to an older state lacks ranges that this process knows;
    /// these are written again, and new ranges start after them.
    fn next_grant(&self, shard: Shard, stored: Option<&Grant>, env: Environment<'_>) -> Grant {
        let s = &self.shards[usize::from(shard)];
        let latest = s.latest.as_ref();
        let base = [stored, latest]
            .into_iter()
            .flatten()
            .max_by_key(|g| g.revision);
        let mut ranges = base.map_or_else(Vec::new, |g| g.ranges.clone());
        let end_ms = ranges.last().map_or(0, |r| r.until_ms);
        let later = stored.into_iter().flat_map(|g| &g.ranges);
        ranges.extend(later.filter(|r| r.from_ms >= end_ms).cloned());
        match s.release_ms {
            Some(release_ms) => self.truncate_ranges(&mut ranges, release_ms),
            None => self.extend_ranges(&mut ranges, env.wall_ms),
        }
        Grant {
            shard,
            revision: base.map_or(0, |g| g.revision) + 1,
            ranges,
        }
    }

    fn truncate_ranges(&self, ranges: &mut Vec<KeyRange>, release_ms: u64) {
        while ranges
            .last()
            .is_some_and(|r| self.is_own(r) && r.from_ms >= release_ms)
        {
            ranges.pop();
        }
        if let Some(r) = ranges.last_mut().filter(|r| self.is_own(r)) {
            r.until_ms = r.until_ms.min(release_ms);
        }
    }

    fn extend_ranges(&self, ranges: &mut Vec<KeyRange>, wall_ms: u64) {
        let last_ms = ranges.last().map_or(0, |r| r.until_ms);
        match ranges.last_mut().filter(|r| self.is_own(r)) {
            Some(r) => r.until_ms = r.until_ms.max(wall_ms + GRANT_AHEAD_MS),
            None => {
                let from_ms = last_ms.max(wall_ms.saturating_sub(MAX_CLOCK_SKEW_MS));
                ranges.push(KeyRange {
                    from_ms,
                    until_ms: from_ms.max(wall_ms) + GRANT_AHEAD_MS,
                    owner: self.owner.node.clone(),
                    incarnation: self.owner.incarnation,
                    token: self.owner.token,
                });
            }
        }
        // The last range is always kept, because its end is the first key time that may be granted next.
        let last = ranges.len() - 1;
        let ended = ranges[..last]
            .iter()
            .take_while(|r| r.until_ms + RANGE_RETENTION_MS < wall_ms)
            .count();
        ranges.drain(..ended);
    }
}
