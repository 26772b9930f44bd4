//! Points at which quarantine, at-most-once ownership and drain decide about a request.

use http::Response;

use super::body::Body;
use super::context::Context;
use super::job::Job;
use super::reason::Failure;
use crate::digest::Digest;
use crate::process::node::Process;

/// How the entry node goes on with a request.
pub enum Way {
    /// Choose a target and relay.
    Run(Box<Job>),
    /// Answered elsewhere, such as by the owner of the request's key.
    Answered(Response<Body>),
}

/// Entry node, before a target is chosen: quarantine.
///
/// # Errors
///
/// The request must not run.
pub fn check_entry(_p: &Process, _job: &Job) -> Result<(), Failure> {
    Ok(())
}

/// Entry node, before a target is chosen: passes non-idempotent requests to the owner of their key.
///
/// # Errors
///
/// The request has no answer.
pub async fn pass_to_owner(_p: &Process, job: Job) -> Result<Way, Failure> {
    Ok(Way::Run(Box::new(job)))
}

/// Admitting node, before the request may wait for a slot: drain and suspects.
///
/// # Errors
///
/// The request must not run here.
pub fn check_admit(_p: &Process, _ctx: &Context, _fingerprint: &Digest) -> Result<(), Failure> {
    Ok(())
}

/// A request that is in flight at the backend server, from dispatch until its answer has ended or was given up.
pub struct InFlight {
    _fingerprint: Digest,
}

impl InFlight {
    /// Admitting node, when a slot is free and before the request is sent to the backend server.
    ///
    /// # Errors
    ///
    /// The request must not run here now.
    pub fn begin(_p: &Process, fingerprint: Digest) -> Result<Self, Failure> {
        Ok(Self {
            _fingerprint: fingerprint,
        })
    }

    /// The backend server answered, or the attempt failed. Not called when the caller went away.
    pub fn ended(&mut self, _p: &Process, _result: Result<(), Failure>) {}
}
