//! Points at which quarantine, at-most-once ownership and drain decide about a request.

use http::{HeaderMap, HeaderName, HeaderValue, Response};

use super::body::Body;
use super::job::Job;
use super::owner;
use super::reason::{Failure, Reason};
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::notices::{Notice, Suspect};
use crate::process::node::Process;
use crate::process::target::backend::{self, Pass};
use crate::process::target::quarantine::Verdict;

/// How the entry node goes on with a request.
pub enum Way {
    /// Choose a target and relay.
    Run(Box<Job>),
    /// Answered elsewhere, such as by the owner of the request's key.
    Answered(Response<Body>),
}

/// Carries what a node knows about a suspected request to the next node on its way. An attempt that follows a crash
/// at once would otherwise overtake the notices, and run at the next target as if nothing were known.
pub const SUSPECT: HeaderName = HeaderName::from_static("dq-suspect");

/// Writes what is known about a request. The fingerprint is computed only while there are suspects.
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

/// Takes what another node wrote about a request.
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

/// Entry node, after a failed attempt: the reason changes when the request is quarantined by now.
pub fn check_again(p: &Process, job: &Job, f: Failure) -> Result<Failure, Failure> {
    let none = p.notices.suspects(|s, _| s.is_empty());
    match !none && p.notices.verdict(&job.fingerprint()) == Verdict::Quarantined {
        true => Err(Failure {
            reason: Reason::Quarantined,
            ..f
        }),
        false => Ok(f),
    }
}

/// Entry node, before a target is chosen: quarantine. For a non-idempotent request the owner of its key decides,
/// because only the owner knows whether it ran before.
///
/// # Errors
///
/// The request must not run.
pub fn check_entry(p: &Process, job: &Job) -> Result<(), Failure> {
    match job.route.idempotent && p.notices.verdict(&job.fingerprint()) == Verdict::Quarantined {
        true => Err(Failure::not_run(Reason::Quarantined)),
        false => Ok(()),
    }
}

/// Entry node, before a target is chosen: passes non-idempotent requests to the owner of their key.
///
/// # Errors
///
/// The request has no answer.
pub async fn pass_to_owner(p: &Arc<Process>, job: Job) -> Result<Way, Failure> {
    owner::pass(p, job).await
}

/// Admitting node, before the request may wait for a slot: drain and suspects.
///
/// # Errors
///
/// The request must not run here.
pub async fn check_admit(
    p: &Arc<Process>,
    fingerprint: &Digest,
    deadline: Now,
) -> Result<Pass, Failure> {
    backend::admit(p, *fingerprint, deadline).await
}

/// A request that is in flight at the backend server, from dispatch until its answer has ended or was given up.
pub struct InFlight(Pass);

impl InFlight {
    /// Admitting node, when a slot is free and before the request is sent to the backend server.
    ///
    /// # Errors
    ///
    /// The request must not run here now.
    pub fn begin(mut pass: Pass) -> Result<Self, Failure> {
        pass.send()?;
        Ok(Self(pass))
    }

    /// The backend server answered, or the attempt failed. Not called when the caller went away.
    pub async fn ended(&mut self, result: Result<(), Failure>) {
        self.0.ended(result).await;
    }
}
