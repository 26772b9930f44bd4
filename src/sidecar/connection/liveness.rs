//! Detection of an unresponsive peer on a link: when to ping, avoid and suspect it, and when to close the link. No I/O.

use crate::prelude::*;

/// Time without a message on a link with pending requests after which the peer is pinged.
pub(crate) const PING_AFTER: Duration = Duration::from_millis(120);
/// Time without a response to a ping after which new requests go to other nodes. A process throttled by its CPU quota
/// pauses for about as long.
pub(crate) const AVOID_AFTER: Duration = Duration::from_millis(110);
/// Time without a response to a ping after which pending idempotent requests may also be sent to other nodes.
pub(crate) const SUSPECT_AFTER: Duration = Duration::from_millis(250);
/// Time without a response to a ping after which the link is closed.
pub(crate) const CLOSE_AFTER: Duration = Duration::from_millis(1200);
/// Time without a message on an idle link after which the peer is pinged.
pub(crate) const IDLE_PING_AFTER: Duration = Duration::from_secs(10);

/// Liveness of the peer of a link.
pub(crate) struct Liveness {
    /// Time of the last message from the peer.
    pub(crate) last_heard: Now,
    /// Time of the ping that the peer has not responded to; `None` if there is none.
    pub(crate) pinged_at: Option<Now>,
    /// How the link is used while the ping is unanswered.
    pub(crate) state: PeerState,
}

/// Use of a link depending on how long a ping has been unanswered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PeerState {
    /// The link gets all requests.
    Healthy,
    /// New requests go to other nodes.
    Avoided,
    /// Pending idempotent requests are sent to other nodes too.
    Suspect,
}

impl Liveness {
    /// Time until the next check; `pending_since` is `None` if no requests are pending.
    pub(crate) fn next_check(&self, pending_since: Option<Now>, now: Now) -> Duration {
        let at = match (self.pinged_at, pending_since) {
            (Some(t), _) => {
                t + match self.state {
                    PeerState::Healthy => AVOID_AFTER,
                    PeerState::Avoided => SUSPECT_AFTER,
                    PeerState::Suspect => CLOSE_AFTER,
                }
            }
            (None, Some(since)) => self.last_heard.max(since) + PING_AFTER,
            (None, None) => self.last_heard + IDLE_PING_AFTER,
        };
        at.saturating_sub(now).max(Duration::from_millis(5))
    }
}
