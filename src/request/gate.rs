//! Points at which quarantine, at-most-once ownership and drain decide about a request.

use http::Response;

use super::body::Body;
use super::context::Context;
use super::job::Job;
use super::owner;
use super::reason::{Failure, Reason};
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::backend::{self, Pass};
use crate::process::node::Process;
use crate::process::quarantine::Verdict;

/// How the entry node goes on with a request.
pub enum Way {
    /// Choose a target and relay.
    Run(Box<Job>),
    /// Answered elsewhere, such as by the owner of the request's key.
    Answered(Response<Body>),
}

/// Entry node, before a target is chosen: quarantine. For a non-idempotent request the owner of its key decides,
/// because only the owner knows whether it ran before.
///
/// # Errors
///
/// The request must not run.
pub fn check_entry(p: &Process, job: &Job) -> Result<(), Failure> {
    match job.route.idempotent && p.notices.verdict(&job.fingerprint()) == Verdict::Convicted {
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
    _ctx: &Context,
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
    pub fn ended(&mut self, result: Result<(), Failure>) {
        self.0.ended(result);
    }
}
