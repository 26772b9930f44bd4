//! Task that drives the rollouts of a node: reports, news of the decider, and calls to the store. It sleeps where there
//! is no order.

use crate::prelude::*;
use crate::sidecar::connection::frame::{Head, Message};
use crate::sidecar::process::node::{Node, Phase};
use crate::sidecar::process::rollout::calls::{self, Call};
use crate::sidecar::process::rollout::decider::TargetFact;
use crate::sidecar::process::rollout::election::{MAX_RENEWAL_AGE, RENEW_INTERVAL};
use crate::sidecar::process::rollout::order::{News, Step};
use crate::sidecar::process::rollout::samples::Report;
use crate::sidecar::process::rollout::table::{Entry, Seat};

/// Interval at which a running rollout is looked after.
const TICK: Duration = Duration::from_millis(100);
/// Interval of the decider's news, and of reports on the new version, up to the canary and after it, where exposure grows
/// fast.
const INTERVALS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(200));
/// Multiple of the interval at which the nodes of the other targets, which are many, report.
const OLD_INTERVALS: u32 = 2;

/// Drives the rollouts of this node. Never returns.
pub async fn run(n: Arc<Node>) {
    loop {
        let services: Vec<ServiceId> = {
            let now = n.clock.now();
            let table = n.rollout_table();
            let active = table.entries.iter().filter(|(_, e)| e.is_active(now));
            active.map(|(s, _)| s.clone()).collect()
        };
        if services.is_empty() {
            n.rollouts.changed.notified().await;
            continue;
        }
        for service in services {
            drive(&n, &service);
        }
        tokio::time::sleep(TICK).await;
    }
}

fn interval(step: Step) -> Duration {
    match step {
        Step::Move(_) => INTERVALS.1,
        _ => INTERVALS.0,
    }
}

fn drive(n: &Arc<Node>, service: &ServiceId) {
    send_report(n, service);
    if let Some(news) = decide(n, service) {
        n.merge_news(&news);
        let message = Message::without_payload(Head::Rollout(Box::new(news)));
        n.links.send_to_all(&message);
    }
    if let Some(call) = next_call(n, service) {
        tokio::spawn(calls::run(n.clone(), service.clone(), call));
    }
}

/// Targets of a service as this node knows them.
fn target_facts(n: &Node, service: &str) -> Vec<TargetFact> {
    let known = n.placement().targets_of(service);
    let facts = known.into_iter().map(|(node, info)| TargetFact {
        node,
        version: info.version,
        slots: info.slots,
        ready: info.ready,
    });
    facts.collect()
}

/// Lets the decisions of this node go on, if it is the decider. Returns the news to send.
fn decide(n: &Node, service: &ServiceId) -> Option<News> {
    let decides = |e: &Entry| e.seat.is_some();
    if !n.rollout_table().entries.get(service).is_some_and(decides) {
        return None;
    }
    let facts = target_facts(n, service);
    let now = n.clock.now();
    let mut table = n.rollout_table();
    let seat = table.entries.get_mut(service)?.seat.as_mut()?;
    let before = seat.decider.step();
    let reached = now < seat.renewed_at + MAX_RENEWAL_AGE;
    seat.decider.tick(&facts, reached, now);
    let step = seat.decider.step();
    let due = step != before || now >= seat.sent_at + interval(step);
    let news = due.then(|| {
        seat.sent_at = now;
        seat.decider.next_news(now)
    });
    let ended = (step != before && step.is_final()).then(|| verdict(seat));
    n.metrics.record_rollout(service, &seat.decider);
    drop(table);
    if let Some(pairs) = ended {
        log_verdict(n, service, &pairs);
    }
    news
}

/// Samples and reason of a verdict, for the log.
pub(super) fn verdict(seat: &Seat) -> [(&'static str, String); 7] {
    let decider = &seat.decider;
    let (samples, bad) = decider.samples();
    let (old, new) = decider.delivered();
    [
        ("verdict", decider.step().as_str().into()),
        ("reason", decider.reason_text().into()),
        ("route", decider.bad_route().into()),
        ("samples", samples.to_string()),
        ("bad", bad.to_string()),
        ("old_requests", old.to_string()),
        ("new_requests", new.to_string()),
    ]
}

/// Logs the end of a rollout with its samples and its reason.
pub(super) fn log_verdict(n: &Node, service: &str, pairs: &[(&'static str, String)]) {
    let values = pairs.iter().map(|(k, v)| (*k, v.as_str()));
    let line: Vec<_> = [("service", service)].into_iter().chain(values).collect();
    n.log.event("rollout_verdict", &line);
    let verdict = pairs.first().map_or("", |(_, v)| v);
    let reason = pairs.get(1).map_or("", |(_, v)| v);
    let ended = &n.metrics.rollouts;
    ended.with_label_values(&[verdict, reason]).inc();
}

/// Sends the samples of the own target to the decider, if they are due.
fn send_report(n: &Node, service: &ServiceId) {
    if *service != n.service {
        return;
    }
    let now = n.clock.now();
    let busy = n.slots.len() as u32;
    let mut table = n.rollout_table();
    let version = table.own_version().cloned();
    let Some(entry) = table.entries.get_mut(service) else {
        return;
    };
    let news = entry.view.news();
    let is_new = version.as_ref() == Some(&news.order.to);
    let interval = match is_new {
        true => interval(news.step),
        false => interval(news.step) * OLD_INTERVALS,
    };
    let due = now >= entry.reported_at + interval && !(is_new && entry.report.delivered == 0);
    if !due || news.decider.is_empty() || news.step.is_final() {
        return;
    }
    let (to, decider) = (news.order.to.clone(), news.decider.clone());
    if entry.report.run == 0 {
        entry.report.run = rand::random::<u64>().max(1);
    }
    entry.reported_at = now;
    let report = Report {
        service: service.clone(),
        to,
        version,
        busy,
        ..entry.report.clone()
    };
    drop(table);
    match decider == n.id {
        true => n.on_rollout_report(&n.id, report),
        false => {
            let head = Head::RolloutReport(Box::new(report));
            n.links.send(&decider, Message::without_payload(head));
        }
    }
}

/// Next call to the store for a rollout; `None` if there is none to make now.
fn next_call(n: &Node, service: &ServiceId) -> Option<Call> {
    let now = n.clock.now();
    let mut table = n.rollout_table();
    let entry = table.entries.get_mut(service)?;
    if entry.calling {
        return None;
    }
    let call = match &entry.seat {
        Some(seat) => next_call_of_decider(seat, now),
        None => claim(n, entry, now),
    };
    entry.calling = call.is_some();
    call
}

fn next_call_of_decider(seat: &Seat, now: Now) -> Option<Call> {
    let retry = now >= seat.called_at + INTERVALS.1;
    match seat.decider.end() {
        Some(step) if seat.recorded_at.is_none() && retry => Some(Call::RecordEnd(step)),
        _ if seat.recorded_at.is_some() => (!seat.closed && retry).then_some(Call::Renew),
        _ => (now >= seat.called_at + RENEW_INTERVAL).then_some(Call::Renew),
    }
}

/// Attempt of this node to become the decider. Only nodes that watch the store make one, as for versions.
fn claim(n: &Node, entry: &Entry, now: Now) -> Option<Call> {
    let eligible = n.reaches_store() && n.phase() == Phase::Serving;
    let wanted = entry.view.news().step != Step::Completed;
    let due = entry.candidate.is_due(entry.view.heard_at(), now);
    (eligible && wanted && due).then_some(Call::Claim)
}
