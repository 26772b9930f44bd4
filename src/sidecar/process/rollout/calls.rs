//! Store calls of the election and of the decider. One call is in progress for a rollout at a time.

use crate::prelude::*;
use crate::sidecar::process::node::Node;
use crate::sidecar::process::rollout::decider::Decider;
use crate::sidecar::process::rollout::driver::{log_verdict, verdict};
use crate::sidecar::process::rollout::election::{Claim, Record};
use crate::sidecar::process::rollout::order::{News, RolloutState, RolloutStatus, Step};
use crate::sidecar::process::rollout::plan::Bounds;
use crate::sidecar::process::rollout::table::Seat;
use crate::store::{Entry, Revision, StoreError, Swap};

/// Key prefix of the records of deciders.
const RECORD_PREFIX: &str = "dq/rollout/";

/// A call, or a short series of calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Call {
    /// Becomes the decider, if nobody else is.
    Claim,
    /// Renews the record of the decider.
    Renew,
    /// Writes the end to the status document.
    RecordEnd(Step),
}

fn record_key(service: &str) -> String {
    format!("{RECORD_PREFIX}{service}")
}

fn encode(news: News) -> Vec<u8> {
    serde_json::to_vec(&Record { news }).unwrap_or_default()
}

/// A record that cannot be read is replaced.
fn decode(e: &Entry) -> Option<Record> {
    serde_json::from_slice(&e.value).ok()
}

fn status_of(n: &Node, news: &News, step: Step) -> Vec<u8> {
    n.adapter.rollout_status(&RolloutStatus {
        state: match step {
            Step::Completed => RolloutState::Completed,
            Step::RolledBack => RolloutState::RolledBack,
            _ => RolloutState::Running,
        },
        to: news.order.to.clone(),
    })
}

/// Makes a call and applies its result.
pub(super) async fn run(n: Arc<Node>, service: ServiceId, call: Call) {
    let result = match call {
        Call::Claim => claim(&n, &service).await,
        Call::Renew => renew(&n, &service).await,
        Call::RecordEnd(step) => record_end(&n, &service, step).await,
    };
    let now = n.clock.now();
    let mut table = n.rollout_table();
    if let Some(entry) = table.entries.get_mut(&service) {
        entry.calling = false;
        if result.is_err() {
            entry.candidate.on_failure(now);
        }
    }
    drop(table);
    if let Err(e) = result {
        n.log.event(
            "rollout_store_failed",
            &[("service", &service), ("error", &e.to_string())],
        );
    }
}

/// Current news of a rollout, with the time since its order.
fn known_news(n: &Node, service: &str) -> Option<(News, bool)> {
    let now = n.clock.now();
    let table = n.rollout_table();
    let entry = table.entries.get(service)?;
    let elapsed = now.saturating_sub(entry.view.started_at());
    let news = News {
        elapsed_ms: elapsed.as_millis() as u64,
        ..entry.view.news().clone()
    };
    Some((news, entry.repeated))
}

async fn claim(n: &Arc<Node>, service: &ServiceId) -> Result<(), StoreError> {
    let Some((known, repeated)) = known_news(n, service) else {
        return Ok(());
    };
    let key = record_key(service);
    let found = n.store.get(&key).await?;
    let record = found.as_ref().and_then(decode);
    let at = found.as_ref().map_or(Revision::ABSENT, |e| e.revision);
    let decision = {
        let now = n.clock.now();
        let mut table = n.rollout_table();
        let Some(entry) = table.entries.get_mut(service) else {
            return Ok(());
        };
        let record = record.as_ref().map(|r| (at, r));
        entry
            .candidate
            .on_record(record, &known, repeated, &n.id, now)
    };
    match decision {
        Claim::Wait => Ok(()),
        Claim::Ended(step) => {
            let news = record.map_or(known, |r| r.news);
            n.merge_news(&News { step, ..news });
            Ok(())
        }
        Claim::Swap(expect, news) => {
            // A record that cannot be read is replaced at its revision.
            let expect = match expect {
                Revision::ABSENT => at,
                expect => expect,
            };
            let sent_at = n.clock.now();
            let news = *news;
            let value = encode(news.clone());
            match n.store.swap(&key, expect, Some(value), None).await? {
                Swap::Done(record_at) => {
                    let resumes = resumes(&known, record.as_ref(), &news);
                    take_seat(n, news, resumes, record_at, sent_at).await
                }
                Swap::Conflict(_) => Ok(()),
            }
        }
    }
}

/// Begins as the decider: writes the status, unless a rollout that it resumes has ended.
async fn take_seat(
    n: &Arc<Node>,
    news: News,
    resumes: bool,
    record_at: Revision,
    sent_at: Now,
) -> Result<(), StoreError> {
    let service = news.order.service.clone();
    let key = n.adapter.rollout_status_key(&service);
    let found = n.store.get(&key).await?;
    let status = found
        .as_ref()
        .and_then(|e| n.adapter.parse_rollout_status(&e.value));
    let status_at = found.map_or(Revision::ABSENT, |e| e.revision);
    let ended = status.filter(|s| s.to == news.order.to && resumes);
    let step = match ended.map(|s| s.state) {
        Some(RolloutState::Completed) => Some(Step::Completed),
        Some(RolloutState::RolledBack) => Some(Step::RolledBack),
        _ => None,
    };
    let status_at = match step {
        Some(_) => status_at,
        None => {
            let value = status_of(n, &news, Step::Ordered);
            match n.store.swap(&key, status_at, Some(value), None).await? {
                Swap::Done(revision) => revision,
                Swap::Conflict(_) => return Ok(()),
            }
        }
    };
    sit_down(n, news, step, (record_at, status_at), sent_at);
    Ok(())
}

/// Whether a new decider goes on with a rollout that an earlier one may have ended.
fn resumes(known: &News, record: Option<&Record>, news: &News) -> bool {
    let same = |r: &Record| r.news.order == news.order && r.news.revision == news.revision;
    known.step == Step::Listed || record.is_some_and(same)
}

fn sit_down(
    n: &Arc<Node>,
    news: News,
    ended: Option<Step>,
    (record_at, status_at): (Revision, Revision),
    sent_at: Now,
) {
    let s = n.settings();
    let bounds = Bounds {
        share: s.sidecar.exposure_share,
        slack: s.sidecar.exposure_slack,
    };
    let now = n.clock.now();
    let service = news.order.service.clone();
    let term = news.term.to_string();
    let mut table = n.rollout_table();
    let Some(entry) = table.entries.get_mut(&service) else {
        return;
    };
    let elapsed = Duration::from_millis(news.elapsed_ms);
    entry.view.set_elapsed(elapsed, sent_at);
    let mut decider = Decider::new(news, entry.view.started_at(), bounds, now);
    if let Some(step) = ended {
        decider.on_ended(step, now);
    }
    entry.seat = Some(Box::new(Seat {
        decider,
        record_at,
        renewed_at: sent_at,
        called_at: now,
        status_at,
        sent_at: Now::ZERO,
        recorded_at: ended.map(|_| now),
        closed: false,
    }));
    drop(table);
    n.log.event(
        "rollout_decider",
        &[("service", &service), ("term", &term), ("began", "true")],
    );
}

/// Ends the part of this node as the decider, because another one has taken over.
fn leave_seat(n: &Node, service: &ServiceId) {
    if let Some(entry) = n.rollout_table().entries.get_mut(service) {
        entry.seat = None;
    }
    n.log.event(
        "rollout_decider",
        &[("service", service), ("began", "false")],
    );
}

/// What a call of the decider needs from its state.
fn seat_state(n: &Node, service: &str) -> Option<(News, Revision, Revision)> {
    let now = n.clock.now();
    let mut table = n.rollout_table();
    let seat = table.entries.get_mut(service)?.seat.as_mut()?;
    seat.called_at = now;
    Some((seat.decider.next_news(now), seat.record_at, seat.status_at))
}

fn with_seat<F>(n: &Node, service: &str, f: F)
where
    F: FnOnce(&mut Seat),
{
    let mut table = n.rollout_table();
    let entry = table.entries.get_mut(service);
    if let Some(seat) = entry.and_then(|e| e.seat.as_mut()) {
        f(seat);
    }
}

async fn renew(n: &Arc<Node>, service: &ServiceId) -> Result<(), StoreError> {
    let Some((news, record_at, _)) = seat_state(n, service) else {
        return Ok(());
    };
    let (term, closed) = (news.term, news.step.is_final());
    let sent_at = n.clock.now();
    let key = record_key(service);
    let value = encode(news);
    match n.store.swap(&key, record_at, Some(value), None).await? {
        Swap::Done(at) => with_seat(n, service, |seat| {
            seat.record_at = at;
            seat.renewed_at = sent_at;
            seat.closed = closed;
        }),
        Swap::Conflict(found) => {
            let own = found.as_ref().and_then(decode).filter(|r| {
                let last = &r.news;
                last.decider == n.id && last.term == term
            });
            match (own, found) {
                // An earlier renewal took effect, but its response was lost.
                (Some(_), Some(e)) => with_seat(n, service, |seat| {
                    seat.record_at = e.revision;
                    seat.called_at = Now::ZERO;
                }),
                _ => leave_seat(n, service),
            }
        }
    }
    Ok(())
}

async fn record_end(n: &Arc<Node>, service: &ServiceId, step: Step) -> Result<(), StoreError> {
    let Some((news, _, status_at)) = seat_state(n, service) else {
        return Ok(());
    };
    let key = n.adapter.rollout_status_key(service);
    let value = status_of(n, &news, step);
    let ended = match n.store.swap(&key, status_at, Some(value), None).await? {
        Swap::Done(_) => Some(step),
        Swap::Conflict(found) => {
            let found = found.and_then(|e| {
                let status = n.adapter.parse_rollout_status(&e.value)?;
                Some((e.revision, status))
            });
            match found {
                Some((_, s)) if s.to != news.order.to => None,
                // An earlier call took effect, but its response was lost.
                Some((_, s)) if s.state == RolloutState::Completed => Some(Step::Completed),
                Some((_, s)) if s.state == RolloutState::RolledBack => Some(Step::RolledBack),
                _ => None,
            }
        }
    };
    let Some(step) = ended else {
        leave_seat(n, service);
        return Ok(());
    };
    let now = n.clock.now();
    let mut completed = None;
    with_seat(n, service, |seat| {
        let new = seat.decider.step() != step;
        seat.decider.on_ended(step, now);
        seat.recorded_at = Some(now);
        // The end is sent and recorded at once.
        seat.sent_at = Now::ZERO;
        seat.called_at = Now::ZERO;
        completed = new.then(|| verdict(seat));
    });
    if let Some(pairs) = completed {
        log_verdict(n, service, &pairs);
    }
    Ok(())
}
