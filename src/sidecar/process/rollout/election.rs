//! Election of the decider of a rollout by compare-and-swap on its record in the store. No I/O.
//!
//! The decider renews its record at short intervals. Another node takes over if it hears nothing from the decider and
//! the record has not changed meanwhile; the swap then succeeds at one node only. Only durations are compared, each
//! measured by one node. A decider that was replaced learns it from its next renewal, and nodes obey the greater term.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::sidecar::process::rollout::order::{News, Step};
use crate::store::Revision;

/// Interval at which the decider renews its record.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(1000);
/// Age of the last renewal up to which the decider may move requests beyond the canary.
pub const MAX_RENEWAL_AGE: Duration = Duration::from_millis(2500);
/// Time without news of a decider after which others try to take over.
pub const SILENCE: Duration = Duration::from_millis(1800);
/// Time for which the record must stay the same before a take-over; longer than a renewal takes.
const UNCHANGED: Duration = Duration::from_millis(1300);
/// Longest random delay before the first claim, so that mostly one node makes it.
pub const MAX_CLAIM_DELAY: Duration = Duration::from_millis(250);
/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Record of a rollout in the store. It stays there after the end, so that the order is not run again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// News of the decider as of the last renewal.
    pub news: News,
}

/// What a node does about a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Claim {
    /// Swaps the record at this revision for one with these news.
    Swap(Revision, Box<News>),
    /// Waits, because another decider may live.
    Wait,
    /// The rollout has ended.
    Ended(Step),
}

/// Attempts of one node to become the decider.
#[derive(Debug, Default)]
pub struct Candidate {
    next_at: Now,
    /// Revision of the record of another decider, and when it was first seen.
    seen: Option<(Revision, Now)>,
}

impl Candidate {
    /// Creates a candidate that makes its first attempt after `delay`.
    pub fn new(now: Now, delay: Duration) -> Self {
        Self {
            next_at: now + delay,
            seen: None,
        }
    }

    /// Whether to make an attempt now. `heard_at` is the time of the last news of a decider.
    pub fn is_due(&self, heard_at: Option<Now>, now: Now) -> bool {
        now >= self.next_at && heard_at.is_none_or(|at| now >= at + SILENCE)
    }

    /// Forgets what was seen, because the decider was heard.
    pub fn on_news(&mut self) {
        self.seen = None;
    }

    /// Records that an attempt failed.
    pub fn on_failure(&mut self, now: Now) {
        self.next_at = now + RETRY_DELAY;
    }

    /// Decides what to do about the record that an attempt found. `known` is what this node knows of the rollout;
    /// `repeated` says that it is another one of an order that has ended before.
    pub fn on_record(
        &mut self,
        found: Option<(Revision, &Record)>,
        known: &News,
        repeated: bool,
        own: &NodeId,
        now: Now,
    ) -> Claim {
        self.next_at = now + RETRY_DELAY;
        let first = News {
            step: resumed(known.step, Step::Ordered),
            term: known.term + 1,
            seq: 0,
            decider: own.clone(),
            ..known.clone()
        };
        let Some((at, record)) = found else {
            return Claim::Swap(Revision::ABSENT, Box::new(first));
        };
        let last = &record.news;
        let next = News {
            term: known.term.max(last.term) + 1,
            ..first
        };
        let same = match (
            last.order == known.order,
            last.revision.compare(known.revision),
        ) {
            (true, Some(order)) => !repeated || order.is_eq(),
            (true, None) => true,
            (false, Some(order)) if order.is_gt() => return Claim::Wait,
            // This node has not heard of the era in which the other order was written.
            (false, None) if last.revision.era() > known.revision.era() => return Claim::Wait,
            (false, _) => false,
        };
        if !same {
            return Claim::Swap(at, Box::new(next));
        }
        if last.step.is_final() {
            return Claim::Ended(last.step);
        }
        let since = match self.seen {
            Some((revision, since)) if revision == at => since,
            _ => {
                self.seen = Some((at, now));
                now
            }
        };
        if last.decider != *own && now < since + UNCHANGED {
            self.next_at = since + UNCHANGED;
            return Claim::Wait;
        }
        Claim::Swap(
            at,
            Box::new(News {
                from: known.from.clone().or(last.from.clone()),
                avoid: known.avoid.clone().or(last.avoid.clone()),
                revision: last.revision,
                elapsed_ms: known.elapsed_ms.max(last.elapsed_ms),
                step: resumed(known.step, last.step),
                ..next
            }),
        )
    }
}

/// Step with which a new decider begins. The plan leads on from there by the time since the order.
fn resumed(known: Step, recorded: Step) -> Step {
    match (known, recorded) {
        (Step::RolledBack, _) => Step::RolledBack,
        (Step::Completed, _) => Step::Completed,
        // Little time is left then, and the reports with all samples so far arrive before the end.
        (Step::Move(_), _) | (_, Step::Move(_)) => Step::Move(1.0),
        _ => Step::Ordered,
    }
}
