//! Decisions about one rollout: canary, further steps, end or rollback. No I/O.
//!
//! The decider sees the targets of the service and the reports of their nodes. All that it needs is in the order, in its
//! record in the store or in the next reports, so that another node can take over at any step.

use crate::digest::Digest;
use crate::prelude::*;
use crate::sidecar::process::rollout::order::{News, Step};
use crate::sidecar::process::rollout::plan::{
    canary_share, canary_size, Bounds, Plan, MIN_DRAIN_TIME, RAMP_SHARE,
};
use crate::sidecar::process::rollout::samples::Report;
use crate::sidecar::process::rollout::verdict::{Fault, Judge};

/// Time after the first canary for which it gets half of its share, because its targets are cold.
const WARM_UP: Duration = Duration::from_secs(2);
/// Responses of the new version that are needed to move on, if the service has as many requests.
const MIN_SAMPLES: f64 = 30.0;
/// Part of the requests that the canary may get which is enough for a service with few requests.
const SAMPLED_PART: f64 = 0.25;
/// Age up to which the last report of a node says that its target is idle.
const IDLE_REPORT_AGE: Duration = Duration::from_millis(600);
/// Time in which a new decider gets the reports of all nodes.
const TAKE_OVER_TIME: Duration = Duration::from_millis(600);
/// Part of the allowed exposure from which on the canary gets no more requests.
const EXPOSURE_PART: f64 = 0.8;

/// A target of the service, as the decider knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetFact {
    /// Node of the target.
    pub node: NodeId,
    /// Its version.
    pub version: Option<SmolStr>,
    /// Number of its slots.
    pub slots: u32,
    /// Whether it accepts requests.
    pub ready: bool,
}

/// Why a rollout was rolled back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// The version is bad.
    Bad(Fault),
    /// No target of the version is ready.
    NoTargets,
    /// The canary got too few responses to be judged.
    TooFewSamples,
    /// The time limit passed.
    TimeLimit,
    /// An earlier decider rolled it back.
    Earlier,
}

impl Reason {
    /// Label for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Bad(f) if f.slow => "slow",
            Self::Bad(_) => "failing",
            Self::NoTargets => "no-targets",
            Self::TooFewSamples => "too-few-samples",
            Self::TimeLimit => "time-limit",
            Self::Earlier => "earlier",
        }
    }
}

/// State of the decider of one rollout.
#[derive(Debug)]
pub struct Decider {
    news: News,
    started_at: Now,
    plan: Plan,
    bounds: Bounds,
    /// Time at which this node became the decider.
    began_at: Now,
    /// Begin of the current step.
    since: Now,
    canary_since: Option<Now>,
    reason: Option<Reason>,
    /// Whether the end has to be written to the store as completed.
    committing: bool,
    judge: Judge,
    /// Last report of each node, with its time.
    reports: BTreeMap<NodeId, (Report, Now)>,
    /// Requests that reached old and new targets.
    delivered: (u64, u64),
}

impl Decider {
    /// Takes over a rollout from what is known about it: `news` of the last decider, with the term of this one.
    pub fn new(news: News, started_at: Now, bounds: Bounds, now: Now) -> Self {
        Self {
            plan: Plan::new(news.order.limit),
            reason: (news.step == Step::RolledBack).then_some(Reason::Earlier),
            news,
            started_at,
            bounds,
            began_at: now,
            since: now,
            canary_since: None,
            committing: false,
            judge: Judge::default(),
            reports: BTreeMap::new(),
            delivered: (0, 0),
        }
    }

    /// Term of this decider.
    pub fn term(&self) -> u64 {
        self.news.term
    }

    /// Current step.
    pub fn step(&self) -> Step {
        self.news.step
    }

    /// Why the rollout was rolled back, if it was.
    pub fn reason(&self) -> Option<&Reason> {
        self.reason.as_ref()
    }

    /// Label of the reason; empty if there is none.
    pub fn reason_text(&self) -> &'static str {
        self.reason.as_ref().map_or("", Reason::as_str)
    }

    /// Route on which the version is bad; empty if it is not one.
    pub fn bad_route(&self) -> &str {
        match &self.reason {
            Some(Reason::Bad(f)) => f.route.as_ref().map_or("", |r| r),
            _ => "",
        }
    }

    /// Number of responses of the new version, and of bad ones among them.
    pub fn samples(&self) -> (u64, u64) {
        self.judge.samples()
    }

    /// Requests that reached old and new targets since the order.
    pub fn delivered(&self) -> (u64, u64) {
        self.delivered
    }

    /// Step that the store has to record as the end; `None` while there is none.
    pub fn end(&self) -> Option<Step> {
        match self.news.step {
            Step::RolledBack => Some(Step::RolledBack),
            _ => self.committing.then_some(Step::Completed),
        }
    }

    /// Records the end that the store holds.
    pub fn on_ended(&mut self, step: Step, now: Now) {
        if step == Step::Completed {
            self.reason = None;
        }
        self.set_step(step, now);
        self.committing = false;
    }

    /// News to send; each call has a greater number.
    pub fn next_news(&mut self, now: Now) -> News {
        self.news.seq += 1;
        self.news.elapsed_ms = self.elapsed(now).as_millis() as u64;
        self.news.clone()
    }

    fn elapsed(&self, now: Now) -> Duration {
        now.saturating_sub(self.started_at)
    }

    fn set_step(&mut self, step: Step, now: Now) {
        if step != self.news.step {
            self.news.step = step;
            self.since = now;
        }
    }

    fn roll_back(&mut self, reason: Reason, now: Now) {
        self.reason = Some(reason);
        self.committing = false;
        self.set_step(Step::RolledBack, now);
    }

    /// Records the report of a node about its target.
    pub fn on_report(&mut self, node: &NodeId, report: Report, now: Now) {
        let last = self.reports.get(node).map(|(r, _)| r);
        let new = report.since(last);
        match report.version.as_ref() == Some(&self.news.order.to) {
            true => {
                self.delivered.1 += new.delivered;
                self.judge.add_new(node, &new.routes);
            }
            false => {
                self.delivered.0 += new.delivered;
                self.judge.add_old(&new.routes, now);
            }
        }
        self.reports.insert(node.clone(), (report, now));
    }

    /// Decides on the next step. `store_reached` says whether the store confirmed this decider a moment ago: without
    /// that another one may have taken over, and this one only rolls a bad version back.
    pub fn tick(&mut self, targets: &[TargetFact], store_reached: bool, now: Now) {
        if self.news.step.is_final() {
            return;
        }
        if let Some(fault) = self.judge.fault() {
            return self.roll_back(Reason::Bad(fault), now);
        }
        let is_new = |t: &&TargetFact| t.version.as_ref() == Some(&self.news.order.to);
        let ready = targets.iter().filter(|t| t.ready);
        let (new, old): (Vec<_>, Vec<_>) = ready.partition(is_new);
        if self.news.from.is_none() {
            self.news.from = most_common(&old);
        }
        let elapsed = self.elapsed(now);
        match self.news.step {
            Step::Move(_) if new.is_empty() && store_reached => {
                self.roll_back(Reason::NoTargets, now);
            }
            Step::Move(share) if share < 1.0 => {
                if now >= self.since + self.plan.ramp_time() {
                    self.set_step(Step::Move(1.0), now);
                }
            }
            Step::Move(_) => self.finish(&old, store_reached, now),
            _ if elapsed >= self.plan.move_at => self.begin_move(new.len(), store_reached, now),
            _ => self.update_canary(&new, &old, now),
        }
    }

    /// Requests that the service is expected to have had at the time limit.
    fn expected(&self, now: Now) -> f64 {
        let (old, new) = self.delivered;
        let elapsed = self.elapsed(now).as_secs_f64().max(1.0);
        (old + new) as f64 * (self.plan.limit.as_secs_f64() / elapsed).max(1.0)
    }

    fn update_canary(&mut self, new: &[&TargetFact], old: &[&TargetFact], now: Now) {
        let size = canary_size(old.len());
        let ready = |node: &NodeId| new.iter().any(|t| t.node == *node);
        self.news.canary.retain(ready);
        let mut others: Vec<_> = new
            .iter()
            .map(|t| &t.node)
            .filter(|n| !self.news.canary.contains(n))
            .collect();
        // Any order serves that spreads the canary over the zones and that another decider would choose too.
        others.sort_by_cached_key(|n| Digest::of(n.as_bytes()).short());
        let missing = size.saturating_sub(self.news.canary.len());
        let added: Vec<_> = others.into_iter().take(missing).cloned().collect();
        self.news.canary.extend(added);
        self.news.cap = self.bounds.cap(self.expected(now));
        if self.news.canary.is_empty() || old.is_empty() {
            return self.set_step(Step::Ordered, now);
        }
        let since = *self.canary_since.get_or_insert(now);
        let in_canary = |t: &&&TargetFact| self.news.canary.contains(&t.node);
        let slots = new.iter().filter(in_canary).map(|t| t.slots).sum();
        let share = canary_share(slots, old.iter().map(|t| t.slots).sum());
        let (old_requests, new_requests) = self.delivered;
        let total = (old_requests + new_requests) as f64;
        let allowed = EXPOSURE_PART * (self.bounds.share * total + self.bounds.slack);
        let share = match now < since + WARM_UP {
            _ if new_requests as f64 > allowed => 0.0,
            true => share / 2.0,
            false => share,
        };
        self.set_step(Step::Canary(share), now);
    }

    fn has_enough_samples(&self) -> bool {
        let (old, new) = self.delivered;
        let possible = self.news.cap * (old + new) as f64;
        self.judge.samples().0 as f64 >= MIN_SAMPLES.min(SAMPLED_PART * possible)
    }

    fn begin_move(&mut self, ready: usize, store_reached: bool, now: Now) {
        let elapsed = self.elapsed(now);
        let late = elapsed >= self.plan.finish_at && now >= self.began_at + TAKE_OVER_TIME;
        let obstacle = match ready {
            0 => Some(Reason::NoTargets),
            _ if !store_reached => Some(Reason::TimeLimit),
            _ if !self.has_enough_samples() => Some(Reason::TooFewSamples),
            _ => None,
        };
        match obstacle {
            Some(reason) if late && store_reached => self.roll_back(reason, now),
            Some(_) => {}
            None if elapsed >= self.plan.limit => self.roll_back(Reason::TimeLimit, now),
            None if elapsed >= self.plan.full_at => self.set_step(Step::Move(1.0), now),
            None => self.set_step(Step::Move(RAMP_SHARE), now),
        }
    }

    /// Ends the rollout once the requests at the old targets have ended, which stop at once and without draining.
    fn finish(&mut self, old: &[&TargetFact], store_reached: bool, now: Now) {
        if self.committing {
            return;
        }
        let moved = now.saturating_sub(self.since);
        let is_idle = |t: &&TargetFact| {
            let report = self.reports.get(&t.node);
            report.is_some_and(|(r, at)| r.busy == 0 && now < *at + IDLE_REPORT_AGE)
        };
        let idle = moved >= MIN_DRAIN_TIME && old.iter().all(is_idle);
        let drain_time = self.plan.finish_at.saturating_sub(self.plan.full_at);
        self.committing = idle || moved >= drain_time;
        if !self.committing && store_reached && self.elapsed(now) >= self.plan.limit {
            self.roll_back(Reason::TimeLimit, now);
        }
    }
}

/// Version that most of the targets have.
fn most_common(targets: &[&TargetFact]) -> Option<SmolStr> {
    let mut counts: BTreeMap<&SmolStr, usize> = BTreeMap::new();
    for v in targets.iter().filter_map(|t| t.version.as_ref()) {
        *counts.entry(v).or_default() += 1;
    }
    let most = counts.into_iter().max_by_key(|(_, n)| *n);
    most.map(|(v, _)| v.clone())
}
