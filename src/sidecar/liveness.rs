//! Silence of the other side of a link: when to ping, avoid, doubt and close it. Without I/O.

use crate::prelude::*;

/// Silence on a link with waiting requests after which it is pinged.
pub(super) const PING_AFTER: Duration = Duration::from_millis(120);
/// Time for the answer to a ping after which new work goes elsewhere; the pauses of a process that has used up its share
/// of the processor are about as long.
pub(super) const AVOID_AFTER: Duration = Duration::from_millis(110);
/// Time for the answer to a ping after which work that may run again is sent elsewhere too.
pub(super) const DOUBT_AFTER: Duration = Duration::from_millis(250);
/// Time for the answer to a ping after which the link is closed.
pub(super) const DEAD_AFTER: Duration = Duration::from_millis(1200);
/// Silence on an idle link after which it is pinged.
pub(super) const IDLE_PING: Duration = Duration::from_secs(10);

/// What a link knows about the silence of the other side.
pub(super) struct Silence {
    /// When the other side was last heard.
    pub(super) heard: Now,
    /// When it was pinged, while it has not answered.
    pub(super) pinged: Option<Now>,
    /// How far its silence has been acted on.
    pub(super) step: Step,
}

/// How far an unanswered ping has changed the use of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Step {
    Trusted,
    Avoided,
    Doubted,
}

impl Silence {
    /// Time until the next look.
    pub(super) fn next(&self, waiting: Option<Now>, now: Now) -> Duration {
        let at = match (self.pinged, waiting) {
            (Some(t), _) => {
                t + match self.step {
                    Step::Trusted => AVOID_AFTER,
                    Step::Avoided => DOUBT_AFTER,
                    Step::Doubted => DEAD_AFTER,
                }
            }
            (None, Some(since)) => self.heard.max(since) + PING_AFTER,
            (None, None) => self.heard + IDLE_PING,
        };
        at.saturating_sub(now).max(Duration::from_millis(5))
    }
}
