//! What one node knows about a rollout, and which targets it allows for a request. No I/O.
//!
//! Each node bounds its own exposure to the canary by a cumulative cap, so that the sum over the fleet stays within the
//! bound whatever the nodes hear. Steps beyond the canary hold only while the decider is heard.

use crate::prelude::*;
use crate::sidecar::process::rollout::order::{News, Step};
use crate::sidecar::process::routing::placement::Choice;
use crate::store::Revision;

/// Time without news after which a step beyond the canary no longer holds. A lost decider must not keep all requests at
/// a version that is not judged any more.
const MOVE_SILENCE: Duration = Duration::from_millis(2000);
/// Part of the rollback time without news after which no requests go to the new version: a rollback may have been
/// missed, and requests that were sent before must arrive in time.
const CANARY_SILENCE_PART: f64 = 0.5;
/// Shortest such time; news arrive twice a second.
const MIN_CANARY_SILENCE: Duration = Duration::from_millis(1200);

/// Targets that a request may use.
#[derive(Debug, Clone, PartialEq)]
pub struct Filter {
    /// Version of the rollout; `None` without one.
    to: Option<SmolStr>,
    /// Version of the old targets.
    from: Option<SmolStr>,
    /// Whether the targets of the new version are allowed; otherwise those of the old one are.
    new: bool,
    /// Nodes whose targets are the canary, if only those are allowed.
    canary: Option<Arc<[NodeId]>>,
    /// Versions that are not allowed.
    avoided: Vec<SmolStr>,
}

impl Filter {
    /// Filter for a service without an order.
    pub fn without_order(avoided: Vec<SmolStr>) -> Self {
        Self {
            to: None,
            from: None,
            new: false,
            canary: None,
            avoided,
        }
    }

    /// Whether the target of a node with this version is allowed.
    pub fn allows(&self, node: &NodeId, version: Option<&SmolStr>) -> bool {
        let in_canary = || self.canary.as_ref().is_none_or(|c| c.contains(node));
        match version {
            v if v.is_some() && v == self.to.as_ref() => self.new && in_canary(),
            Some(v) if self.avoided.contains(v) => false,
            v if self.to.is_some() && v == self.from.as_ref() => !self.new,
            // A version that is neither the old nor the new one gets requests as usual.
            _ => true,
        }
    }
}

/// Filters to be tried for a request, in this order.
#[derive(Debug, Clone, PartialEq)]
pub struct Passes {
    /// First filter.
    pub first: Filter,
    /// Filter for a request that finds no target with the first one.
    pub second: Option<Filter>,
    /// Whether the second filter is also for a request that finds all targets full.
    pub spill: bool,
}

impl Passes {
    /// Chooses a target with the first filter, and with the second one if there is none. `choose` chooses with one filter.
    pub fn choose<F>(&self, choose: F) -> Choice
    where
        F: Fn(&Filter) -> Choice,
    {
        let first = choose(&self.first);
        match (&first, &self.second) {
            (Choice::None, Some(second)) => choose(second),
            (Choice::Full(_), Some(second)) if self.spill => match choose(second) {
                Choice::None => first,
                choice => choice,
            },
            _ => first,
        }
    }
}

/// State of one rollout at a node.
#[derive(Debug)]
pub struct View {
    news: News,
    canary: Arc<[NodeId]>,
    /// Time of the order, as early as any news say.
    started_at: Now,
    /// Time of the order by the news of the current decider that were delayed least.
    term_started_at: Now,
    /// Time at which the last news of a decider were sent.
    heard_at: Option<Now>,
    /// Requests that may go to the canary within the cap.
    credit: f64,
    /// Whether the rollout went beyond the canary, as far as this node has heard.
    moved: bool,
    /// Time without news after which the canary gets no requests.
    max_silence: Duration,
}

impl View {
    /// Creates the state from the first news. `credit` is random between 0 and 1, so that the exposure of nodes with few
    /// requests sums up to the cap.
    pub fn new(news: News, rollback_time: Duration, credit: f64, now: Now) -> Self {
        let mut view = Self {
            canary: Arc::default(),
            started_at: now,
            term_started_at: now,
            heard_at: None,
            credit,
            moved: false,
            max_silence: rollback_time
                .mul_f64(CANARY_SILENCE_PART)
                .max(MIN_CANARY_SILENCE),
            news: news.clone(),
        };
        view.apply(news, now);
        view
    }

    /// The latest news.
    pub fn news(&self) -> &News {
        &self.news
    }

    /// Time of the order.
    pub fn started_at(&self) -> Now {
        self.started_at
    }

    /// Time at which the last news of a decider were sent; `None` before the first.
    pub fn heard_at(&self) -> Option<Now> {
        self.heard_at
    }

    /// Credit that is left, for the state of a replacement.
    pub fn credit(&self) -> f64 {
        self.credit
    }

    /// Records that the rollout began earlier than known.
    pub fn set_elapsed(&mut self, elapsed: Duration, now: Now) {
        self.started_at = self.started_at.min(now.saturating_sub(elapsed));
    }

    /// Records the revision of the order in a later era of the store, with which those of its later orders are compared.
    pub fn raise_era(&mut self, revision: Revision) {
        if revision.era() > self.news.revision.era() {
            self.news.revision = revision;
        }
    }

    /// Applies news of the same order, unless they are older than the latest. Returns whether they were applied.
    pub fn on_news(&mut self, news: News, now: Now) -> bool {
        let newer = news.replace(&self.news);
        if newer {
            self.apply(news, now);
        }
        newer
    }

    fn apply(&mut self, news: News, now: Now) {
        let elapsed = Duration::from_millis(news.elapsed_ms);
        self.set_elapsed(elapsed, now);
        if news.term > 0 {
            let started_at = now.saturating_sub(elapsed);
            self.term_started_at = match news.term == self.news.term && self.heard_at.is_some() {
                true => self.term_started_at.min(started_at),
                false => started_at,
            };
            // News that were delayed on their way count from when they were sent.
            let sent_at = (self.term_started_at + elapsed).min(now);
            self.heard_at = Some(self.heard_at.map_or(sent_at, |at| at.max(sent_at)));
        }
        self.moved |= matches!(news.step, Step::Move(_));
        if news.canary[..] != self.canary[..] {
            self.canary = news.canary.clone().into();
        }
        let revision = match self.news.revision.era() > news.revision.era() {
            true => self.news.revision,
            false => news.revision,
        };
        self.news = News {
            revision,
            from: news.from.or(self.news.from.take()),
            avoid: news.avoid.or(self.news.avoid.take()),
            ..news
        };
    }

    /// Fraction of the requests that go to the new version now.
    pub fn share(&self, now: Now) -> f64 {
        let silence = self
            .heard_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        match self.news.step {
            Step::Canary(_) if silence >= self.max_silence => 0.0,
            Step::Move(_) if silence >= MOVE_SILENCE => 0.0,
            step => step.share(),
        }
    }

    fn filter(&self, new: bool, held: &[SmolStr]) -> Filter {
        let canary = matches!(self.news.step, Step::Canary(_)) && new;
        let to = &self.news.order.to;
        let held = held.iter().filter(|v| *v != to).cloned();
        Filter {
            to: Some(to.clone()),
            from: self.news.from.clone(),
            new,
            canary: canary.then(|| self.canary.clone()),
            avoided: held.chain(self.news.avoid.clone()).collect(),
        }
    }

    /// Filters for a request. `coin` is a random number from 0 to 1; `alone` says that the new version is the only one of
    /// the service, as after an order that names the version in use.
    pub fn passes(&self, coin: f64, alone: bool, held: &[SmolStr], now: Now) -> Passes {
        let step = self.news.step;
        let in_canary = matches!(step, Step::Canary(_));
        let new = coin < self.share(now) && (!in_canary || self.credit >= 1.0);
        let only = |new| Passes {
            first: self.filter(new, held),
            second: None,
            spill: false,
        };
        // Old targets may have stopped after the limit, or after a step that this node has not heard of.
        let ended =
            self.moved || step == Step::Listed || now >= self.started_at + self.news.order.limit;
        match step {
            Step::RolledBack => only(false),
            _ if !new && !ended && !alone => only(false),
            _ => Passes {
                second: Some(self.filter(!new, held)),
                // The old targets are to become idle.
                spill: new && step.share() < 1.0,
                ..only(new)
            },
        }
    }

    /// Records that a request is sent to a target of this version.
    pub fn on_sent(&mut self, version: Option<&SmolStr>) {
        if version == Some(&self.news.order.to) {
            self.credit -= 1.0;
        }
    }

    /// Records whether a request reached the target of this version to which it was sent.
    pub fn on_result(&mut self, version: Option<&SmolStr>, delivered: bool) {
        match delivered {
            true => self.credit += self.news.cap,
            false if version == Some(&self.news.order.to) => self.credit += 1.0,
            false => {}
        }
    }

    /// Whether the target of a node with this version may run requests, as its own node sees it. It rejects what a node
    /// sends that has not heard of the order, the canary or the rollback.
    pub fn admits(&self, node: &NodeId, alone: bool, version: Option<&SmolStr>) -> bool {
        match self.news.step {
            _ if version != Some(&self.news.order.to) => true,
            Step::RolledBack => false,
            Step::Ordered => alone,
            Step::Canary(_) => alone || self.canary.contains(node),
            Step::Listed | Step::Move(_) | Step::Completed => true,
        }
    }
}
