//! Finds out which requests the target was running when it ended, and tells all nodes.

use std::collections::VecDeque;

use crate::prelude::*;
use crate::sidecar::connection::frame::{Head, Message};
use crate::sidecar::process::fleet::culprits;
use crate::sidecar::process::node::{lock, Node};
use crate::sidecar::process::routing::crash_suspects::{
    fingerprint, CrashVerdict, CrashedRequest, Fingerprint, SuspectReport,
};
use crate::sidecar::request::admit::TargetRequest;

/// Time from the loss of a request to the check whether the target has ended: its process needs a moment to end.
const CHECK_DELAY: Duration = Duration::from_millis(30);
/// Time for which the connection of a check occupies a slot of the target.
const CHECK_OCCUPIED: Duration = Duration::from_millis(100);
/// Time for which a lost request is remembered; a target that has ended is back after some seconds.
const LOST_FOR: Duration = Duration::from_secs(10);
/// Shortest time between two checks. A target that is full may reset many connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of lost requests to remember; more than a target runs at the same time.
const MAX_LOST: usize = 256;

/// Requests whose connection to the target was lost while it was running them. No I/O.
#[derive(Debug, Default)]
pub struct LostRequests {
    lost: VecDeque<(CrashedRequest, Now)>,
    /// Time of the last check whether the target has ended.
    checked_at: Option<Now>,
}

impl LostRequests {
    /// Records a lost request. Returns whether to check if the target has ended.
    pub fn add(&mut self, request: CrashedRequest, now: Now) -> bool {
        self.expire(now);
        if self.lost.len() == MAX_LOST {
            self.lost.pop_front();
        }
        self.lost.push_back((request, now));
        let due = self.checked_at.is_none_or(|at| now >= at + CHECK_INTERVAL);
        if due {
            self.checked_at = Some(now);
        }
        due
    }

    /// Takes the requests that the target was running when it ended, each once.
    pub fn take(&mut self, now: Now) -> Vec<CrashedRequest> {
        self.expire(now);
        let mut out: Vec<CrashedRequest> = Vec::new();
        for (r, _) in self.lost.drain(..) {
            match out.iter_mut().find(|o| o.fingerprint == r.fingerprint) {
                Some(known) => known.retry |= r.retry,
                None => out.push(r),
            }
        }
        out
    }

    /// Forgets a request that was served elsewhere after it had been lost.
    pub fn forget(&mut self, fingerprint: Fingerprint) {
        self.lost.retain(|(r, _)| r.fingerprint != fingerprint);
    }

    /// Forgets the lost requests, because the target did not end.
    pub fn clear(&mut self) {
        self.lost.clear();
    }

    fn expire(&mut self, now: Now) {
        self.lost.retain(|(_, at)| now < *at + LOST_FOR);
    }
}

impl Node {
    /// Records that the connection to the target was lost while it was running a request, and checks soon whether the
    /// target has ended.
    pub(crate) fn on_request_lost(self: &Arc<Self>, request: &TargetRequest) {
        let lost = CrashedRequest {
            fingerprint: fingerprint(request),
            retry: request.retry,
        };
        if !lock(&self.lost_requests).add(lost, self.clock.now()) {
            return;
        }
        let n = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(CHECK_DELAY).await;
            // The new connection may hold a slot until the target has noticed that it is closed.
            let occupancy = n.slots.occupy(CHECK_OCCUPIED);
            match n.pool.is_refused().await {
                Some(true) => n.on_target_ended(),
                Some(false) => lock(&n.lost_requests).clear(),
                // It does not respond; a refused connection or another incarnation may still show that it has ended.
                None => {}
            }
            tokio::time::sleep(CHECK_OCCUPIED).await;
            drop(occupancy);
        });
    }

    /// Handles that the target has ended: all nodes learn which requests it was running.
    pub(crate) fn on_target_ended(self: &Arc<Self>) {
        let crashed = lock(&self.lost_requests).take(self.clock.now());
        if crashed.is_empty() {
            return;
        }
        self.log
            .event("target_ended", &[("running", &crashed.len().to_string())]);
        self.on_crash(&crashed);
        for r in &crashed {
            if lock(&self.crash_suspects).is_culprit(r.fingerprint) {
                culprits::keep(self, r.fingerprint);
            }
        }
        let message = Message::without_payload(Head::Crash(crashed));
        self.links.send_to_all(&message);
    }

    /// Records requests that a target, of this or another node, was running when it ended.
    pub(crate) fn on_crash(&self, crashed: &[CrashedRequest]) {
        let now = self.clock.now();
        let mut suspects = lock(&self.crash_suspects);
        for r in crashed {
            if suspects.record_crash(*r, now) {
                let text = format!("{:016x}", r.fingerprint);
                self.log
                    .event("request_quarantined", &[("fingerprint", &text)]);
            }
        }
    }

    /// Records that a request was served. Other nodes learn that it is no suspect.
    pub(crate) fn on_request_served(self: &Arc<Self>, request: &TargetRequest) {
        if lock(&self.crash_suspects).is_empty() {
            return;
        }
        let (fingerprint, now) = (fingerprint(request), self.clock.now());
        let mut suspects = lock(&self.crash_suspects);
        let culprit = suspects.is_culprit(fingerprint);
        let shared = suspects.record_served(fingerprint, now);
        drop(suspects);
        if culprit {
            culprits::forget(self, fingerprint);
        }
        if shared {
            let message = Message::without_payload(Head::NoSuspect(fingerprint));
            self.links.send_to_all(&message);
        }
    }

    /// Records that another node served a request.
    pub(crate) fn on_no_suspect(&self, fingerprint: Fingerprint) {
        lock(&self.lost_requests).forget(fingerprint);
        let now = self.clock.now();
        lock(&self.crash_suspects).record_served_elsewhere(fingerprint, now);
    }

    /// What to tell another node of requests that crash targets.
    pub(crate) fn suspect_reports(&self) -> Vec<SuspectReport> {
        lock(&self.crash_suspects).reports(self.clock.now())
    }

    /// Merges what another node knows of requests that crash targets.
    pub(crate) fn on_suspects(&self, reports: &[SuspectReport]) {
        lock(&self.crash_suspects).merge(reports, self.clock.now());
        if !reports.is_empty() {
            let count = reports.len().to_string();
            self.log.event("suspects_learned", &[("reports", &count)]);
        }
    }

    /// Whether this process knows which requests crash targets, as far as other nodes do.
    pub(crate) fn knows_suspects(&self) -> bool {
        lock(&self.crash_suspects).is_informed()
    }

    /// How a request may be sent, if it is one that crashes targets.
    pub(crate) fn crash_verdict(&self, request: &TargetRequest) -> CrashVerdict {
        if lock(&self.crash_suspects).is_empty() {
            return CrashVerdict::Allowed;
        }
        let fingerprint = fingerprint(request);
        lock(&self.crash_suspects).verdict(fingerprint, self.clock.now())
    }
}
