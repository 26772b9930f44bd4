//! Ownership of idempotency keys: each shard is a list of key-time ranges, each owned by one process for ever.
//!
//! Safety rests on the store's compare-and-swap alone. A process uses a range only after it has seen it in the store
//! with its own token, ranges are added only after the end of the last one, and only the owner shortens its last
//! range, after it has stopped accepting keys above the cut. The wall clock decides when and how far to extend, so
//! clock differences change availability, never ownership.

use crate::prelude::*;
use crate::process::members::notices::{Grant, KeyRange, Shard};
use crate::store::Revision;

pub use crate::process::once::assignment::{choices, Member, MemberState, Members};

/// Number of shards. With 16, owners spread over 5 zones while extensions cost 16 store writes a minute.
pub const SHARDS: Shard = 16;
/// Time for which a range is granted ahead of the wall clock, in milliseconds.
pub const AHEAD_MS: u64 = 600_000;
/// Time after which an owner extends its range, in milliseconds.
pub const EXTEND_MS: u64 = 60_000;
/// Remaining time below which another node takes a shard over, in milliseconds.
pub const SOON_MS: u64 = 300_000;
/// Time that the first range of a shard reaches back, for callers with slow clocks, in milliseconds.
pub const BACK_MS: u64 = 60_000;
/// Time between a planned stop and the first key time that it gives up, in milliseconds.
pub const CUT_LEAD_MS: u64 = 5_000;
/// Time after which an ended range leaves the list, in milliseconds; longer than owners keep answers.
pub const KEEP_MS: u64 = 2 * 3_600_000;
/// Pause between two attempts on one shard: with 16 shards at most 0.8 writes a second when all attempts fail.
pub const ATTEMPT_PAUSE: Duration = Duration::from_secs(20);

/// The process that owns ranges.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// Node id.
    pub node: NodeId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Random number of the process. A restart can repeat an incarnation when the clock was set back.
    pub token: u64,
}

/// What the driver has to do. Each `Read` and `Swap` is answered by one call of [`Grants::read`] or [`Grants::swapped`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the shard's entry.
    Read(Shard),
    /// Replace the shard's entry.
    Swap(Revision, Grant),
    /// Tell all nodes.
    Publish(Grant),
}

/// Answer to a [`Action::Swap`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swapped {
    /// It took effect.
    Done,
    /// It did not take effect.
    Refused,
    /// No answer came.
    Unknown,
}

/// Wall clock and members, as the driver sees them.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Time since the start of the process.
    pub now: Now,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Members.
    pub members: &'a Members,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
enum Step {
    #[default]
    Idle,
    Reading,
    Swapping(Grant),
}

#[derive(Debug, Clone, Default)]
struct ShardState {
    known: Option<Grant>,
    own: Vec<(u64, u64)>,
    step: Step,
    /// Time from which the next attempt may start.
    next: Now,
    /// First key time that was never accepted.
    unused: u64,
    /// First key time given up by a planned stop.
    cut: Option<u64>,
}

/// Ownership as one process sees and extends it.
#[derive(Debug)]
pub struct Grants {
    me: Owner,
    shards: Vec<ShardState>,
}

fn live(members: &Members, r: &KeyRange) -> bool {
    members
        .get(&r.owner)
        .is_some_and(|m| m.state == MemberState::Alive && m.incarnation == r.incarnation)
}

impl Grants {
    /// A process that owns nothing yet.
    pub fn new(me: Owner) -> Self {
        Self {
            me,
            shards: vec![ShardState::default(); usize::from(SHARDS)],
        }
    }

    /// Starts again as another owner: after a planned stop, or when membership raised the incarnation. Ranges of the
    /// former owner are never used again.
    pub fn renew(&mut self, me: Owner) {
        self.me = me;
        for s in &mut self.shards {
            *s = ShardState {
                known: s.known.take(),
                ..ShardState::default()
            };
        }
    }

    /// The owner that this process is.
    pub fn me(&self) -> &Owner {
        &self.me
    }

    fn mine(&self, r: &KeyRange) -> bool {
        r.token == self.me.token && r.owner == self.me.node && r.incarnation == self.me.incarnation
    }

    /// Accepts a key time for execution if this process owns it. `incarnation` is the one that the sender looked up.
    pub fn accept(&mut self, shard: Shard, key_ms: u64, incarnation: Incarnation) -> bool {
        let same = incarnation == self.me.incarnation;
        let Some(s) = self.shards.get_mut(usize::from(shard)).filter(|_| same) else {
            return false;
        };
        let open = s.cut.is_none_or(|c| key_ms < c);
        let owned = open && s.own.iter().any(|(f, u)| (*f..*u).contains(&key_ms));
        if owned {
            s.unused = s.unused.max(key_ms + 1);
        }
        owned
    }

    /// Newest known list of a shard.
    pub fn known(&self, shard: Shard) -> Option<&Grant> {
        self.shards.get(usize::from(shard))?.known.as_ref()
    }

    /// Takes a list that another node sent. It never adds to what this process may use.
    pub fn heard(&mut self, g: &Grant) {
        if let Some(s) = self.shards.get_mut(usize::from(g.shard)) {
            if s.known.as_ref().is_none_or(|k| k.revision < g.revision) {
                s.known = Some(g.clone());
            }
        }
    }

    /// Stops accepting keys from shortly after `wall_ms` on; following ticks give these ranges up in the store.
    pub fn retire(&mut self, wall_ms: u64) {
        for s in &mut self.shards {
            s.cut
                .get_or_insert_with(|| s.unused.max(wall_ms + CUT_LEAD_MS));
            s.next = Now::ZERO;
        }
    }

    /// Whether no range above the cut remains to be given up, as far as known, and key times below the cut have passed.
    pub fn handed_over(&self, wall_ms: u64) -> bool {
        self.shards.iter().all(|s| {
            let held = s.cut.filter(|_| !s.own.is_empty());
            if held.is_some_and(|c| wall_ms < c + CUT_LEAD_MS / 2) {
                return false;
            }
            let last = s.known.as_ref().and_then(|g| g.ranges.last());
            let open = |r: &KeyRange| self.mine(r) && s.cut.is_none_or(|c| r.until_ms > c);
            s.step == Step::Idle && !last.is_some_and(open)
        })
    }

    /// Starts the attempts that are due.
    pub fn tick(&mut self, v: View<'_>) -> Vec<Action> {
        let mut chosen = None;
        let mut out = Vec::new();
        for shard in 0..SHARDS {
            let s = &self.shards[usize::from(shard)];
            if s.step != Step::Idle || v.now < s.next || !self.due(shard, v, &mut chosen) {
                continue;
            }
            let s = &mut self.shards[usize::from(shard)];
            s.step = Step::Reading;
            s.next = v.now + ATTEMPT_PAUSE;
            out.push(Action::Read(shard));
        }
        out
    }

    /// Whether this process should write the shard. The choice is computed only when it matters.
    fn due(&self, shard: Shard, v: View<'_>, chosen: &mut Option<Vec<Option<NodeId>>>) -> bool {
        let s = &self.shards[usize::from(shard)];
        let ranges = s.known.as_ref().map_or(&[][..], |g| &g.ranges);
        let last_mine = ranges.last().filter(|r| self.mine(r));
        if let Some(cut) = s.cut {
            return last_mine.is_some_and(|r| r.until_ms > cut);
        }
        let covered = ranges.iter().filter(|r| live(v.members, r));
        let covered = covered.map(|r| r.until_ms).max().unwrap_or(0);
        let limit = match last_mine {
            Some(_) => AHEAD_MS - EXTEND_MS,
            None => SOON_MS,
        };
        if covered >= v.wall_ms + limit {
            return false;
        }
        // The owner yields to the chosen node, but does not let its range run out when that one does not act.
        if last_mine.is_some_and(|r| r.until_ms < v.wall_ms + EXTEND_MS) {
            return true;
        }
        let all = chosen.get_or_insert_with(|| choices(v.members));
        all[usize::from(shard)].as_ref() == Some(&self.me.node)
    }

    /// Takes the answer to a read: the entry's revision (0 when absent) and value, or `None` when the read failed.
    pub fn read(
        &mut self,
        shard: Shard,
        found: Option<(Revision, Option<Grant>)>,
        v: View<'_>,
    ) -> Vec<Action> {
        let Some((revision, stored)) = found else {
            self.shards[usize::from(shard)].step = Step::Idle;
            return Vec::new();
        };
        let mut out = Vec::new();
        if let Some(g) = &stored {
            out.extend(self.observe(g));
        }
        self.shards[usize::from(shard)].step = Step::Idle;
        if self.due(shard, v, &mut None) {
            let next = self.next_value(shard, stored.as_ref(), v);
            self.shards[usize::from(shard)].step = Step::Swapping(next.clone());
            out.push(Action::Swap(revision, next));
        }
        out
    }

    /// Takes the answer to a swap. After a lost answer the entry is read before anything is used.
    pub fn swapped(&mut self, shard: Shard, answer: Swapped) -> Vec<Action> {
        let s = &mut self.shards[usize::from(shard)];
        match (answer, std::mem::take(&mut s.step)) {
            (Swapped::Done, Step::Swapping(g)) => self.observe(&g).into_iter().collect(),
            (Swapped::Unknown, _) => {
                s.step = Step::Reading;
                vec![Action::Read(shard)]
            }
            _ => Vec::new(),
        }
    }

    /// Takes a list that the store holds or held. Ranges of this process shrink only by its own cut, so also an old
    /// observation is a valid source of ownership.
    fn observe(&mut self, g: &Grant) -> Option<Action> {
        let own = g.ranges.iter().filter(|r| self.mine(r));
        let own: Vec<_> = own.map(|r| (r.from_ms, r.until_ms)).collect();
        let s = &mut self.shards[usize::from(g.shard)];
        for (from, until) in own {
            match s.own.iter_mut().find(|o| o.0 == from) {
                Some(o) => o.1 = o.1.max(until),
                None => s.own.push((from, until)),
            }
        }
        let newer = s.known.as_ref().is_none_or(|k| k.revision < g.revision);
        if newer {
            s.known = Some(g.clone());
        }
        newer.then(|| Action::Publish(g.clone()))
    }

    /// The list to write. A store that was restored to an older state lacks ranges that this process knows of; those
    /// are written again, and nothing is granted below their end.
    fn next_value(&self, shard: Shard, stored: Option<&Grant>, v: View<'_>) -> Grant {
        let s = &self.shards[usize::from(shard)];
        let known = s.known.as_ref();
        let base = [stored, known]
            .into_iter()
            .flatten()
            .max_by_key(|g| g.revision);
        let mut ranges = base.map_or_else(Vec::new, |g| g.ranges.clone());
        let end = ranges.last().map_or(0, |r| r.until_ms);
        let extra = stored.into_iter().flat_map(|g| &g.ranges);
        ranges.extend(extra.filter(|r| r.from_ms >= end).cloned());
        match s.cut {
            Some(cut) => self.shorten(&mut ranges, cut),
            None => self.lengthen(&mut ranges, v.wall_ms),
        }
        Grant {
            shard,
            revision: base.map_or(0, |g| g.revision) + 1,
            ranges,
        }
    }

    fn shorten(&self, ranges: &mut Vec<KeyRange>, cut: u64) {
        while ranges
            .last()
            .is_some_and(|r| self.mine(r) && r.from_ms >= cut)
        {
            ranges.pop();
        }
        if let Some(r) = ranges.last_mut().filter(|r| self.mine(r)) {
            r.until_ms = r.until_ms.min(cut);
        }
    }

    fn lengthen(&self, ranges: &mut Vec<KeyRange>, wall_ms: u64) {
        let last = ranges.last().map_or(0, |r| r.until_ms);
        match ranges.last_mut().filter(|r| self.mine(r)) {
            Some(r) => r.until_ms = r.until_ms.max(wall_ms + AHEAD_MS),
            None => {
                let from_ms = last.max(wall_ms.saturating_sub(BACK_MS));
                ranges.push(KeyRange {
                    from_ms,
                    until_ms: from_ms.max(wall_ms) + AHEAD_MS,
                    owner: self.me.node.clone(),
                    incarnation: self.me.incarnation,
                    token: self.me.token,
                });
            }
        }
        // The last range always stays: it names the first key time that may be granted next.
        let old = ranges.len() - 1;
        let ended = ranges[..old]
            .iter()
            .take_while(|r| r.until_ms + KEEP_MS < wall_ms)
            .count();
        ranges.drain(..ended);
    }
}
