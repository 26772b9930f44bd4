//! Admitting node: requests with large bodies. A request is admitted before its body arrives, and takes a slot once the
//! body is whole.
//!
//! The target gets the body whole. A slot is then never held by a slow caller, and a body that breaks off never reaches
//! a target, so its request provably did not run. The time that streaming would save is small beside the objective.

use bytes::Bytes;

use crate::prelude::*;
use crate::request::reason::{Failure, Reason};
use crate::sidecar::connection::inbound_link::InboundTransfer;
use crate::sidecar::process::bandwidth::Urgency;
use crate::sidecar::process::inbound::Offer;
use crate::sidecar::process::node::Node;
use crate::sidecar::request::admit::{self, arrival, AttemptResult, TargetRequest};

/// Where the body of a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// Another node sends it over the link of this VM.
    Link,
    /// A caller of this node sends it.
    Caller,
}

/// Admits a request whose body of `len` bytes has not arrived.
///
/// # Errors
///
/// The request was rejected and not run.
pub(crate) fn admit(
    n: &Arc<Node>,
    request: &TargetRequest,
    len: usize,
    source: Source,
) -> Result<InboundTransfer, Failure> {
    let admitted = admit::check_target(n, request).and_then(|()| {
        // Those that were admitted before take slots too.
        let arriving = n.inbound.policy().arriving(n.clock.now());
        let transfer = admit_body(n, request, len, source)?;
        check_slot(n, request, source, arriving)?;
        Ok(transfer)
    });
    admitted.inspect_err(|f| log_rejected(n, request, len, f))
}

fn admit_body(
    n: &Node,
    request: &TargetRequest,
    len: usize,
    source: Source,
) -> Result<InboundTransfer, Failure> {
    let admitted = match source {
        Source::Caller => n.inbound.admit_local(len),
        Source::Link => n.inbound.admit(&Offer {
            urgency: Urgency {
                rank: request.rank,
                due: request.due,
            },
            bytes: len,
            deadline: request.deadline,
            objective: request.objective,
            service_time: n.slots.route_time(&request.route),
            max_wait: request.max_wait,
        }),
    };
    admitted.map_err(|full| Failure {
        back_off: full.back_off,
        ..Failure::not_run(Reason::LinkFull)
    })
}

/// Checks whether a slot can be expected once the body is there.
fn check_slot(
    n: &Node,
    request: &TargetRequest,
    source: Source,
    arriving: usize,
) -> Result<(), Failure> {
    let delay = match source {
        Source::Link => n.inbound.backlog(),
        Source::Caller => Duration::ZERO,
    };
    admit::rejection_result(n.slots.preview(&arrival(n, request), delay, arriving))
}

/// Whether a request with a large body would be admitted now, as far as that does not depend on the length of the body.
/// Nothing changes.
pub(crate) fn try_admission(n: &Node, request: &TargetRequest) -> Result<(), Failure> {
    admit::check_target(n, request)?;
    let arriving = n.inbound.policy().arriving(n.clock.now());
    check_slot(n, request, Source::Caller, arriving)
}

/// Runs an admitted request whose body has arrived.
pub(crate) async fn run(
    n: &Arc<Node>,
    mut request: TargetRequest,
    body: Bytes,
    transfer: InboundTransfer,
) -> AttemptResult {
    request.body = Bytes::from_owner(HeldBody {
        body,
        _transfer: transfer,
    });
    // A rejection would waste the transfer, so the request also waits for a slot that is not free at once.
    request.max_wait = None;
    admit::run(n, request).await
}

/// A body whose memory counts as admitted until nothing refers to it: a target may respond before it has read it.
struct HeldBody {
    body: Bytes,
    _transfer: InboundTransfer,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

fn log_rejected(n: &Node, request: &TargetRequest, len: usize, f: &Failure) {
    n.log.event(
        "upload_rejected",
        &[
            ("request", &request.id),
            ("route", &request.route),
            ("bytes", &len.to_string()),
            ("reason", f.reason.as_str()),
            ("backlog_ms", &n.inbound.backlog().as_millis().to_string()),
            ("again_ms", &f.back_off.as_millis().to_string()),
        ],
    );
}
