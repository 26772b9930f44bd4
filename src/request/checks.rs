//! Checks of a request on its way: quarantine, at-most-once ownership and planned stop.

use http::{HeaderMap, HeaderName, HeaderValue, Response};

use super::body::Body;
use super::owner;
use super::reason::{Failure, Reason};
use super::routed::RoutedRequest;
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::notices::{Notice, Suspect};
use crate::process::node::Process;
use crate::process::target::backend::{self, AdmittedRequest};
use crate::process::target::quarantine::Verdict;

/// Next step of the entry node for a request.
pub enum NextStep {
    /// Choose a target and relay the request to it.
    Run(Box<RoutedRequest>),
    /// Return this response; the owner of the request's key has already handled the request.
    Respond(Response<Body>),
}

/// Header that carries the suspect record of a request to the next node. Without it, a retry right after a crash could
/// reach the next target before the notices do and run there as an unsuspected request.
pub const SUSPECT: HeaderName = HeaderName::from_static("dq-suspect");

/// Writes the suspect record of a request, if there is one. The fingerprint is computed only while there are suspects.
pub fn write_suspect<F>(p: &Process, fingerprint: F, h: &mut HeaderMap)
where
    F: FnOnce() -> Digest,
{
    if p.notices.suspects(|s, _| s.is_empty()) {
        return;
    }
    let fingerprint = fingerprint();
    let known = p.notices.suspects(|s, now| s.get(&fingerprint, now));
    let text = known.and_then(|s| serde_json::to_string(&s).ok());
    if let Some(v) = text.and_then(|t| HeaderValue::try_from(t).ok()) {
        h.insert(SUSPECT, v);
    }
}

/// Merges the suspect record that another node wrote for a request.
pub fn read_suspect<F>(p: &Process, fingerprint: F, h: &HeaderMap)
where
    F: FnOnce() -> Digest,
{
    let Some(v) = h.get(SUSPECT) else {
        return;
    };
    match serde_json::from_slice::<Suspect>(v.as_bytes()) {
        Ok(s) if s.fingerprint == fingerprint() => p.publish_notices(vec![Notice::Suspect(s)]),
        _ => p
            .metrics
            .rejected_inputs
            .with_label_values(&["suspect"])
            .inc(),
    }
}

/// Entry node, after a failed attempt: changes the reason if the request has been quarantined in the meantime.
///
/// # Errors
///
/// The request is quarantined.
pub fn check_after_failure(
    p: &Process,
    routed: &RoutedRequest,
    f: Failure,
) -> Result<Failure, Failure> {
    let no_suspects = p.notices.suspects(|s, _| s.is_empty());
    match !no_suspects && p.notices.verdict(&routed.fingerprint()) == Verdict::Quarantined {
        true => Err(Failure {
            reason: Reason::Quarantined,
            ..f
        }),
        false => Ok(f),
    }
}

/// Entry node, before a target is chosen: rejects quarantined idempotent requests. For a non-idempotent request the
/// owner of its key decides, because only the owner knows whether it has run before.
///
/// # Errors
///
/// The request must not run.
pub fn check_entry(p: &Process, routed: &RoutedRequest) -> Result<(), Failure> {
    match routed.route.idempotent
        && p.notices.verdict(&routed.fingerprint()) == Verdict::Quarantined
    {
        true => Err(Failure::not_run(Reason::Quarantined)),
        false => Ok(()),
    }
}

/// Entry node, before a target is chosen: passes non-idempotent requests to the owner of their key.
///
/// # Errors
///
/// The owner did not respond or rejected the request.
pub async fn dispatch_to_owner(
    p: &Arc<Process>,
    routed: RoutedRequest,
) -> Result<NextStep, Failure> {
    owner::dispatch(p, routed).await
}

/// Admitting node, before the request may wait for a slot: applies drain and quarantine.
///
/// # Errors
///
/// The request must not run here.
pub async fn check_admission(
    p: &Arc<Process>,
    fingerprint: &Digest,
    deadline: Now,
) -> Result<AdmittedRequest, Failure> {
    backend::admit(p, *fingerprint, deadline).await
}

/// A request in flight at the backend server, from dispatch until its response has ended or was abandoned.
pub struct InFlight(AdmittedRequest);

impl InFlight {
    /// Marks the request as sent. Called when it holds a slot, just before it is sent to the backend server.
    ///
    /// # Errors
    ///
    /// The request must no longer run here.
    pub fn begin(mut admitted: AdmittedRequest) -> Result<Self, Failure> {
        admitted.mark_sent()?;
        Ok(Self(admitted))
    }

    /// Records that the backend server responded or the attempt failed. Not called when the caller disconnects.
    pub async fn finish(&mut self, result: Result<(), Failure>) {
        self.0.finish(result).await;
    }
}
