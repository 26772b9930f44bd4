//! Where requests, heartbeats and links meet the rollouts of a node.

use std::sync::MutexGuard;

use http::StatusCode;

use crate::prelude::*;
use crate::request::reason::{Outcome, Reason};
use crate::sidecar::connection::frame::{Head, Message};
use crate::sidecar::process::node::{lock, Node};
use crate::sidecar::process::rollout::order::{News, Order, Step};
use crate::sidecar::process::rollout::samples::Report;
use crate::sidecar::process::rollout::table::{SampleResult, Table};
use crate::sidecar::process::rollout::view::{Filter, Passes, View};
use crate::sidecar::process::sample::Confirmation;
use crate::sidecar::process::target::heartbeat::Heartbeat;
use crate::sidecar::request::admit::AttemptResult;
use crate::store::Revision;

/// Nodes to which a node passes news on, so that they also reach those that the decider does not.
const PASSED_ON: usize = 2;

impl Node {
    pub(super) fn rollout_table(&self) -> MutexGuard<'_, Table> {
        lock(&self.rollouts.table)
    }

    pub(super) fn rollback_time(&self) -> Duration {
        Duration::from_millis(self.settings().sidecar.rollback_ms)
    }

    /// Applies an order of the operator; `listed` if it was in the store when this node began to watch.
    pub fn on_rollout_order(&self, key: &str, value: &[u8], revision: Revision, listed: bool) {
        let order = match self.adapter.parse_order(key, value) {
            Ok(order) => order,
            Err(e) => return self.reject_order(key, &e),
        };
        if !listed && !self.knows_service(&order) {
            // It is followed nevertheless, because a configuration that contains the service may come after it.
            self.log
                .event("rollout_service_unknown", &[("service", &order.service)]);
        }
        let news = self.rollout_table().order_news(order, revision, listed);
        if self.merge_news(&news) {
            let message = Message::without_payload(Head::Rollout(Box::new(news)));
            self.links.send_to_all(&message);
        }
    }

    fn reject_order(&self, key: &str, error: &str) {
        let rejected = &self.metrics.rejected_inputs;
        rejected.with_label_values(&["rollout"]).inc();
        self.log
            .event("rollout_rejected", &[("key", key), ("error", error)]);
    }

    fn knows_service(&self, order: &Order) -> bool {
        let table = self.routes.load();
        let known = table
            .as_ref()
            .map(|t| t.services.contains_key(&order.service));
        known.unwrap_or(true)
    }

    /// Merges news, and logs a new step. Returns whether they were new.
    pub(super) fn merge_news(&self, news: &News) -> bool {
        let (now, bound) = (self.clock.now(), self.rollback_time());
        let service = &news.order.service;
        let mut table = self.rollout_table();
        let key = |t: &Table| {
            let known = t.entries.get(service).map(|e| e.view.news());
            known.map(|n| (n.order.clone(), n.step.as_str(), n.step.share()))
        };
        let before = key(&table);
        let merged = table.merge(news, bound, rand::random(), now);
        let changed = key(&table) != before;
        drop(table);
        if merged {
            self.rollouts.engage();
        }
        if changed {
            self.log_step(news);
        }
        merged
    }

    fn log_step(&self, news: &News) {
        let share = format!("{:.3}", news.step.share());
        self.log.event(
            "rollout_step",
            &[
                ("service", &news.order.service),
                ("to", &news.order.to),
                ("step", news.step.as_str()),
                ("share", &share),
                ("canary", &news.canary.join(",")),
                ("elapsed_ms", &news.elapsed_ms.to_string()),
                ("term", &news.term.to_string()),
                ("decider", &news.decider),
            ],
        );
    }

    /// Applies news that another node sent, and passes them on if they are new.
    pub(crate) fn on_rollout_news(&self, news: &News, from: &str) {
        if self.merge_news(news) && from != self.id {
            let message = Message::without_payload(Head::Rollout(Box::new(news.clone())));
            self.links.send_to_some(PASSED_ON, &message);
        }
    }

    /// Summarizes the rollouts that this node knows.
    pub(crate) fn rollout_views<T, F>(&self, summarize: F) -> Vec<T>
    where
        F: Fn(&View) -> T,
    {
        let table = self.rollout_table();
        table.entries.values().map(|e| summarize(&e.view)).collect()
    }

    /// Messages that tell another node the rollouts that this node knows.
    pub(crate) fn rollout_messages(&self) -> Vec<Message> {
        if !self.rollouts.is_engaged() {
            return Vec::new();
        }
        let now = self.clock.now();
        let table = self.rollout_table();
        let news = table.entries.values().map(|e| {
            let elapsed = now.saturating_sub(e.view.started_at());
            let news = News {
                elapsed_ms: match e.view.heard_at() {
                    // The time of the decider's news, not that of this message.
                    Some(at) => at.saturating_sub(e.view.started_at()).as_millis() as u64,
                    None => elapsed.as_millis() as u64,
                },
                ..e.view.news().clone()
            };
            Message::without_payload(Head::Rollout(Box::new(news)))
        });
        news.collect()
    }

    /// Records the samples of another node, if this node is the decider.
    pub(crate) fn on_rollout_report(&self, node: &NodeId, report: Report) {
        let now = self.clock.now();
        let mut table = self.rollout_table();
        let entry = table.entries.get_mut(&report.service);
        let Some(entry) = entry.filter(|e| e.view.news().order.to == report.to) else {
            return;
        };
        if let Some(seat) = &mut entry.seat {
            seat.decider.on_report(node, report, now);
        }
    }

    /// Records the version of a target.
    pub(crate) fn on_target_version(
        &self,
        service: &ServiceId,
        version: Option<&SmolStr>,
        now: Now,
    ) {
        let Some(version) = version else { return };
        let joined = self.rollout_table().versions.observe(service, version, now);
        if joined {
            self.rollouts.engage();
        }
    }

    pub(crate) fn on_own_heartbeat(&self, h: &Heartbeat) {
        let now = self.clock.now();
        self.rollout_table().on_heartbeat(h, now);
    }

    /// Whether all ready targets of a service have the version to which its rollout moves, and the rollout has not gone far
    /// enough to use them all.
    fn is_alone(&self, service: &str) -> bool {
        let table = self.rollout_table();
        let news = table.entries.get(service).map(|e| e.view.news());
        let gated = |n: &&News| matches!(n.step, Step::Ordered | Step::Canary(_));
        let Some(to) = news.filter(gated).map(|n| n.order.to.clone()) else {
            return false;
        };
        drop(table);
        self.placement().has_only_version(service, &to)
    }

    /// Filters by version for a request of a service; `None` if versions do not matter for it.
    pub(crate) fn rollout_passes(&self, service: &str, now: Now) -> Option<Passes> {
        if !self.rollouts.is_engaged() {
            return None;
        }
        let confirmed_at = self.last_confirmed.last(Confirmation::Version);
        let alone = self.is_alone(service);
        let table = self.rollout_table();
        let held = table.versions.held(service, confirmed_at, now);
        match table.entries.get(service) {
            Some(entry) => Some(entry.view.passes(rand::random(), alone, &held, now)),
            None if held.is_empty() => None,
            None => Some(Passes {
                first: Filter::without_order(held),
                second: None,
                spill: false,
            }),
        }
    }

    /// Records that a request is sent to the target of a node.
    pub(crate) fn on_rollout_sent(&self, service: &str, node: &str) {
        self.with_view(service, node, |view, version| view.on_sent(version));
    }

    /// Records whether a request reached the target of a node.
    pub(crate) fn on_rollout_result(&self, service: &str, node: &str, delivered: bool) {
        self.with_view(service, node, |view, version| {
            view.on_result(version, delivered);
        });
    }

    fn with_view<F>(&self, service: &str, node: &str, f: F)
    where
        F: FnOnce(&mut View, Option<&SmolStr>),
    {
        if !self.rollouts.is_engaged() {
            return;
        }
        let version = self.placement().version_of(node);
        if let Some(entry) = self.rollout_table().entries.get_mut(service) {
            f(&mut entry.view, version.as_ref());
        }
    }

    /// Whether the target of this node may run requests, as far as rollouts are concerned.
    pub(crate) fn rollout_admits(&self) -> bool {
        if !self.rollouts.is_engaged() {
            return true;
        }
        let alone = self.is_alone(&self.service);
        let table = self.rollout_table();
        let entry = table.entries.get(&self.service);
        entry.is_none_or(|e| e.view.admits(&self.id, alone, table.own_version()))
    }

    /// Counts the result of a request at the target of this node, unless it did not run.
    pub(crate) fn count_rollout_sample(
        &self,
        route: &SmolStr,
        result: &AttemptResult,
        time: Duration,
    ) {
        if !self.rollouts.is_engaged() {
            return;
        }
        let sample = match result {
            // The target reports that the deadline passed: it was slow, perhaps because it is cold.
            AttemptResult::Response(r) if r.status == StatusCode::GATEWAY_TIMEOUT => {
                SampleResult::Good
            }
            AttemptResult::Response(r) if r.status.is_server_error() => SampleResult::Failed,
            AttemptResult::Response(_) => SampleResult::Good,
            AttemptResult::Failed {
                delivered: false, ..
            } => return,
            AttemptResult::Failed { failure, .. } if failure.outcome == Outcome::NotRun => return,
            AttemptResult::Failed { failure, .. } => match failure.reason {
                Reason::Deadline => SampleResult::Good,
                Reason::BadResponse => SampleResult::Failed,
                _ => SampleResult::Lost,
            },
        };
        let now = self.clock.now();
        self.rollout_table()
            .count(&self.service, route, sample, time, now);
    }
}
