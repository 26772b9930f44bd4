//! Rollouts that a node knows, with its part in each. No I/O.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;

use tokio::sync::Notify;

use crate::prelude::*;
use crate::sidecar::process::rollout::decider::Decider;
use crate::sidecar::process::rollout::election::{Candidate, MAX_CLAIM_DELAY};
use crate::sidecar::process::rollout::new_versions::NewVersions;
use crate::sidecar::process::rollout::order::{News, Order, Step};
use crate::sidecar::process::rollout::samples::Report;
use crate::sidecar::process::rollout::view::View;
use crate::sidecar::process::target::heartbeat::Heartbeat;
use crate::sidecar::process::target::state::TargetId;
use crate::store::Revision;

/// Time after the limit of an ended order from which on the same order, written again, is a new one.
const REPEAT_MARGIN: Duration = Duration::from_secs(1);
/// Time after the end for which a node that is not the decider still takes part, so that an end that was not recorded is
/// recorded by another node.
const ENDED_TIME: Duration = Duration::from_secs(9);
/// Time after the end for which the decider repeats it.
const REPEAT_TIME: Duration = Duration::from_secs(12);
/// Maximum number of replaced orders to remember.
const MAX_REPLACED: usize = 16;
/// Time for which a target is slow that does not say so.
const ASSUMED_WARM_UP: Duration = Duration::from_secs(2);
/// Time after which a target is as fast as the others, beyond the one that it names.
const WARM_UP_MARGIN: Duration = Duration::from_millis(500);

/// Time in which one lost connection counts as a failure of the version: the end of a target process loses all requests
/// that it was running, and is no sign of a bad version by itself.
const LOST_INTERVAL: Duration = Duration::from_millis(300);

/// What a request that reached the target says about its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SampleResult {
    /// The target responded, or not within the deadline; the time counts.
    Good,
    /// The target responded with a server error, or with a malformed response.
    Failed,
    /// The connection was lost.
    Lost,
}

/// State of a node as the decider of a rollout.
#[derive(Debug)]
pub struct Seat {
    /// The decisions.
    pub decider: Decider,
    /// Revision of the record of the decider in the store.
    pub record_at: Revision,
    /// Time at which the last renewal that the store confirmed was sent.
    pub renewed_at: Now,
    /// Time of the last call to the store for this rollout.
    pub called_at: Now,
    /// Revision of the status document.
    pub status_at: Revision,
    /// Time of the last news.
    pub sent_at: Now,
    /// Time at which the store recorded the end; `None` before.
    pub recorded_at: Option<Now>,
    /// Whether the record of the decider tells the end too.
    pub closed: bool,
}

/// One rollout at a node.
#[derive(Debug)]
pub struct Entry {
    /// What the node knows about it.
    pub view: View,
    /// Samples of the own target.
    pub report: Report,
    /// Time of the last report.
    pub reported_at: Now,
    /// State as the decider, if the node is the decider.
    pub seat: Option<Box<Seat>>,
    /// Attempts to become the decider.
    pub candidate: Candidate,
    /// Whether a store call for this rollout is in progress.
    pub calling: bool,
    /// Whether the order has ended before and was written again.
    pub repeated: bool,
    /// Time at which the end was heard; `None` before.
    pub ended_at: Option<Now>,
}

impl Entry {
    fn new(news: News, bound: Duration, random: f64, repeated: bool, now: Now) -> Self {
        let delay = MAX_CLAIM_DELAY.mul_f64(random);
        Self {
            view: View::new(news, bound, random, now),
            report: Report::default(),
            reported_at: Now::ZERO,
            seat: None,
            candidate: Candidate::new(now, delay),
            calling: false,
            repeated,
            ended_at: None,
        }
    }

    /// Whether the node has something to do for the rollout.
    pub fn is_active(&self, now: Now) -> bool {
        let ended = |time: Duration| self.ended_at.is_some_and(|at| now >= at + time);
        match &self.seat {
            Some(seat) => !seat.closed || !ended(REPEAT_TIME),
            None => !ended(ENDED_TIME),
        }
    }

    fn note_end(&mut self, now: Now) {
        if self.view.news().step.is_final() && self.ended_at.is_none() {
            self.ended_at = Some(now);
        }
    }
}

/// The own target, as far as rollouts need it.
#[derive(Debug, Default)]
struct OwnVersion {
    id: TargetId,
    incarnation: u64,
    version: Option<SmolStr>,
    /// Time from which on it is not cold.
    warm_at: Now,
    /// Time of the last lost connection that counted.
    lost_at: Now,
}

/// All rollouts that a node knows, by service.
#[derive(Debug, Default)]
pub struct Table {
    /// The last order of each service.
    pub entries: BTreeMap<ServiceId, Entry>,
    /// Versions in use.
    pub versions: NewVersions,
    own: OwnVersion,
    replaced: ReplacedOrders,
}

/// Orders that others have replaced, with their revisions, the latest last. A store that comes back from an older copy may
/// still have one of them as the latest of its service.
#[derive(Debug, Default)]
struct ReplacedOrders(VecDeque<(Order, Revision)>);

impl ReplacedOrders {
    fn add(&mut self, old: &News) {
        if self.0.len() == MAX_REPLACED {
            self.0.pop_front();
        }
        self.0.push_back((old.order.clone(), old.revision));
    }

    /// Whether the order of some news is a replaced one that the store has kept since an earlier era.
    fn includes(&self, news: &News) -> bool {
        let (era, number) = (news.revision.era(), news.revision.number());
        let is_kept = |r: &Revision| r.era() < era && r.number() == number;
        self.0
            .iter()
            .any(|(order, revision)| *order == news.order && is_kept(revision))
    }

    /// Whether news are of a later write than the current order of their service. The same order in a later era is what the
    /// operator wrote again.
    fn is_later(&self, news: &News, current: &News) -> bool {
        match news.revision.compare(current.revision) {
            Some(order) => order.is_gt(),
            None if news.order == current.order => false,
            None => news.revision.era() > current.revision.era() && !self.includes(news),
        }
    }
}

impl Table {
    /// News for an order that was read from the store. `listed` says that it was there when the node began to watch.
    pub fn order_news(&self, order: Order, revision: Revision, listed: bool) -> News {
        let current = self.entries.get(&order.service).map(|e| e.view.news());
        match current {
            Some(old) if old.order != order && old.step != Step::Listed => {
                News::of_replacement(order, revision, old)
            }
            _ if listed => News::of_order(order, revision, Step::Listed),
            _ => News::of_order(order, revision, Step::Ordered),
        }
    }

    /// Merges news of a rollout. `random` is a number from 0 to 1. Returns whether they were new.
    pub fn merge(&mut self, news: &News, bound: Duration, random: f64, now: Now) -> bool {
        let service = &news.order.service;
        let Some(entry) = self.entries.get_mut(service) else {
            let mut entry = Entry::new(news.clone(), bound, random, false, now);
            entry.note_end(now);
            self.entries.insert(service.clone(), entry);
            return true;
        };
        let (current, started_at) = (entry.view.news(), entry.view.started_at());
        let over = current.step.is_final()
            && now >= started_at + current.order.limit + REPEAT_MARGIN
            && news.step != Step::Listed;
        let newer = self.replaced.is_later(news, current);
        let same = news.order == current.order;
        if newer && (!same || over) {
            self.replaced.add(current);
            *entry = Entry::new(news.clone(), bound, random, same, now);
            entry.note_end(now);
            return true;
        }
        if !same || current.revision.is_later_than(news.revision) && entry.repeated {
            return false;
        }
        let applied = entry.view.on_news(news.clone(), now);
        entry.view.raise_era(news.revision);
        if applied {
            entry.candidate.on_news();
            entry.note_end(now);
            let decider = &entry.view.news().decider;
            // A later decider has replaced this node.
            if entry.seat.as_ref().is_some_and(|s| s.term() < news.term) && !decider.is_empty() {
                entry.seat = None;
            }
            if let Some(seat) = entry.seat.as_mut().filter(|_| news.step.is_final()) {
                seat.decider.on_ended(news.step, now);
            }
        }
        applied
    }

    /// Records a heartbeat of the own target.
    pub fn on_heartbeat(&mut self, h: &Heartbeat, now: Now) {
        let own = &mut self.own;
        let same = own.id == h.id && own.incarnation == h.incarnation;
        let warm_up = match (same, h.warm_up.is_zero()) {
            (false, true) => ASSUMED_WARM_UP,
            (true, true) => Duration::ZERO,
            _ => h.warm_up + WARM_UP_MARGIN,
        };
        let warm_at = match same {
            true => own.warm_at,
            false => Now::ZERO,
        };
        *own = OwnVersion {
            id: h.id.clone(),
            incarnation: h.incarnation,
            version: h.version.clone(),
            warm_at: warm_at.max(now + warm_up),
            lost_at: own.lost_at,
        };
        if !same {
            for e in self.entries.values_mut() {
                e.report = Report::default();
            }
        }
    }

    /// Version of the own target.
    pub fn own_version(&self) -> Option<&SmolStr> {
        self.own.version.as_ref()
    }

    /// Counts a request that reached the own target.
    pub fn count(
        &mut self,
        service: &str,
        route: &SmolStr,
        result: SampleResult,
        time: Duration,
        now: Now,
    ) {
        let failed = match result {
            SampleResult::Lost if now < self.own.lost_at + LOST_INTERVAL => None,
            SampleResult::Lost => {
                self.own.lost_at = now;
                Some(true)
            }
            result => Some(result == SampleResult::Failed),
        };
        let warm = now >= self.own.warm_at;
        let Some(entry) = self.entries.get_mut(service) else {
            return;
        };
        if entry.ended_at.is_none() {
            entry.report.count(route, failed, warm.then_some(time));
        }
    }
}

impl Seat {
    /// Term of the decider.
    pub fn term(&self) -> u64 {
        self.decider.term()
    }
}

/// The rollouts of a node, shared by its tasks.
#[derive(Default)]
pub struct Rollouts {
    pub(super) table: Mutex<Table>,
    /// Whether versions matter for any service. Requests of other deployments pay for this flag only.
    engaged: AtomicBool,
    /// Notifies the driver of a new order.
    pub(super) changed: Notify,
}

impl Rollouts {
    /// Whether versions may matter for a service.
    pub fn is_engaged(&self) -> bool {
        self.engaged.load(Ordering::Relaxed)
    }

    /// Records that versions may matter.
    pub(super) fn engage(&self) {
        self.engaged.store(true, Ordering::Relaxed);
        self.changed.notify_one();
    }
}
