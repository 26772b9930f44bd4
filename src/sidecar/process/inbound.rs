//! Bandwidth of the VM's link for what it receives: which request bodies are admitted, and when their senders may send
//! the next piece. No I/O.
//!
//! It handles uploads that saturate the link into the node of their target, so that pings, requests and responses are
//! blocked behind them. Senders wait for grants: little data is in flight at any time, and the pieces of the most urgent
//! body come first. What is admitted is expected to arrive in time; the rest is rejected on arrival, so that the link
//! never carries bodies that are of no use, and service recovers as soon as a burst ends.

use crate::prelude::*;
use crate::sidecar::process::bandwidth::{Urgency, PIECE_BYTES};

/// Time that the link may still need for what was granted when the next piece is granted. It covers late timers, so that
/// the link does not become idle between two pieces.
const MAX_LEAD: Duration = Duration::from_millis(5);
/// Time that the link may need for the bytes in flight: a round trip between zones and the pauses of a busy sender.
const WINDOW_TIME: Duration = Duration::from_millis(25);
/// Minimum number of bytes in flight over all bodies; a small message waits for no more than these.
const MIN_WINDOW_BYTES: usize = 4 * PIECE_BYTES;
/// Time without a granted byte after which the sender of a body counts as stalled. Its caller is slow or its node does
/// not respond, so it must not hold up others.
const STALLED_AFTER: Duration = Duration::from_millis(150);
/// Interval at which a body that waits for a grant checks again whether it can still arrive in time.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for which other traffic delays grants. It has arrived, so the link is busy with it no longer than the
/// bytes of a few messages that were sent at once take.
const MAX_RECORDED_LEAD: Duration = Duration::from_millis(100);
/// Factor on the expected time of a transfer, for the pauses between grants and for what else the link receives.
const TRANSFER_MARGIN: f64 = 1.1;
/// Fraction of its latency objective for which a body that can no longer meet it may wait, as for slots.
const LATE_WAIT_FRACTION: f64 = 0.125;
/// Maximum for the bytes of all admitted bodies, which are buffered whole until their requests end; the memory budget
/// may lower it. A larger body is admitted only if there is no other. Of a stalled body only what has arrived counts,
/// so that senders that announce much and deliver little do not keep out others.
pub const MAX_HELD_BYTES: usize = 16 << 20;

/// Longest body that is admitted, whatever a sender announces; more than the memory of a VM holds.
const MAX_BODY_BYTES: usize = 256 << 20;

/// Id of an admitted body.
pub type UploadId = u64;

/// A request body that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// Rank of the request, and the time until which a response meets its latency objective.
    pub urgency: Urgency,
    /// Announced length of the body.
    pub bytes: usize,
    /// Time at which the caller gives up.
    pub deadline: Now,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time that the target needs once the body is there.
    pub service_time: Duration,
    /// Longest expected wait with which the body is admitted, because other targets may have room; `None` if only the
    /// latency objective limits the wait.
    pub max_wait: Option<Duration>,
}

/// Why a body was not admitted: it could not arrive in time, or there is no memory for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full {
    /// Time after which it may be admitted; zero if another target may have room now.
    pub back_off: Duration,
}

/// What the receiver of a body must do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// Grant this number of bytes.
    Grant(usize),
    /// Ask again after this time, or when [`Inbound::first`] returns this body.
    Wait(Duration),
    /// Give the body up, because it can no longer arrive in time.
    TooLate,
}

#[derive(Debug)]
struct Upload {
    id: UploadId,
    urgency: Urgency,
    /// Announced length.
    bytes: usize,
    /// Bytes that have not been granted.
    left: usize,
    /// Bytes that were granted and have not arrived.
    in_flight: usize,
    /// Time at which the body is expected to be there.
    latest: Now,
    /// Time at which it is of no use any more.
    give_up_at: Now,
    /// Time of the last arrival, or of the first grant after it.
    moved_at: Now,
    /// Whether it does not come over the link.
    local: bool,
}

impl Upload {
    fn order(&self, now: Now) -> (bool, usize, Now, UploadId) {
        order(&self.urgency, self.id, now)
    }

    fn is_stalled(&self, now: Now) -> bool {
        self.in_flight > 0 && now >= self.moved_at + STALLED_AFTER
    }

    /// Bytes that have arrived.
    fn arrived(&self) -> usize {
        self.bytes - self.left - self.in_flight
    }
}

fn order(u: &Urgency, id: UploadId, now: Now) -> (bool, usize, Now, UploadId) {
    (u.due < now, u.rank, u.due, id)
}

/// Use of the link by the bodies that a node receives.
#[derive(Debug)]
pub struct Inbound {
    bytes_per_s: f64,
    /// Time at which everything that was granted has arrived, if it is sent at once.
    clear_at: Now,
    uploads: Vec<Upload>,
    last_id: UploadId,
    /// Maximum for the bytes of all admitted bodies.
    max_held: usize,
}

impl Inbound {
    /// Creates the state of an idle link with this bandwidth, in Mbit/s.
    pub fn new(mbps: f64) -> Self {
        let mut inbound = Self {
            bytes_per_s: 1.0,
            clear_at: Now::ZERO,
            uploads: Vec::new(),
            last_id: 0,
            max_held: MAX_HELD_BYTES,
        };
        inbound.set_rate(mbps);
        inbound
    }

    /// Limits the bytes of all admitted bodies.
    pub fn with_memory(mut self, bytes: usize) -> Self {
        self.max_held = bytes;
        self
    }

    /// Changes the bandwidth of the link, in Mbit/s.
    pub fn set_rate(&mut self, mbps: f64) {
        self.bytes_per_s = (mbps * 1e6 / 8.0).max(1.0);
    }

    fn duration(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s)
    }

    /// Maximum number of bytes in flight over all bodies.
    fn window(&self) -> usize {
        let bytes = self.bytes_per_s * WINDOW_TIME.as_secs_f64();
        MIN_WINDOW_BYTES.max(bytes as usize)
    }

    /// Records other data that has arrived: requests, responses and versions.
    pub fn record_received(&mut self, now: Now, bytes: usize) {
        let time = self.duration(bytes);
        let end = self.clear_at.max(now.saturating_sub(time)) + time;
        self.clear_at = end.min(self.clear_at.max(now + MAX_RECORDED_LEAD));
    }

    /// Admits a body that is expected to arrive in time without making an admitted one of its rank late.
    ///
    /// # Errors
    ///
    /// The body was not admitted.
    pub fn admit(&mut self, now: Now, offer: &Offer) -> Result<UploadId, Full> {
        if offer.bytes > MAX_BODY_BYTES {
            let back_off = Duration::ZERO;
            return Err(Full { back_off });
        }
        let own = self.duration(offer.bytes).mul_f64(TRANSFER_MARGIN);
        let wait = self.wait(now, &offer.urgency);
        if offer.max_wait.is_some_and(|max| wait > max) {
            let back_off = Duration::ZERO;
            return Err(Full { back_off });
        }
        let at_once = now + own + offer.service_time;
        let punctual = at_once <= offer.urgency.due;
        let end = match punctual {
            true => offer.urgency.due,
            false => offer.deadline,
        };
        let late_wait = offer.objective.mul_f64(LATE_WAIT_FRACTION);
        let excess = (at_once + wait).saturating_sub(end);
        if !excess.is_zero() || !punctual && wait > late_wait {
            let back_off = excess.max(self.duration(PIECE_BYTES)).min(wait);
            return Err(Full { back_off });
        }
        if self.makes_late(now, &offer.urgency, own) {
            return Err(Full { back_off: own });
        }
        let id = self.hold(now, offer.urgency, offer.bytes)?;
        // As for slots, a body that has become late may still wait for a fraction of the objective.
        let give_up_at = (end + late_wait).min(offer.deadline);
        if let Some(u) = self.uploads.last_mut() {
            u.left = offer.bytes;
            u.latest = end.saturating_sub(offer.service_time);
            u.give_up_at = give_up_at.saturating_sub(offer.service_time);
        }
        Ok(id)
    }

    /// Admits a body that does not come over the link. It counts until [`Inbound::end`].
    ///
    /// # Errors
    ///
    /// There is no memory for the body.
    pub fn admit_local(&mut self, now: Now, bytes: usize) -> Result<UploadId, Full> {
        let urgency = Urgency { rank: 0, due: now };
        let id = self.hold(now, urgency, bytes)?;
        if let Some(u) = self.uploads.last_mut() {
            u.local = true;
            u.in_flight = bytes;
        }
        Ok(id)
    }

    /// Adds a body of which nothing is left to grant; the caller sets what the link has to carry.
    fn hold(&mut self, now: Now, urgency: Urgency, bytes: usize) -> Result<UploadId, Full> {
        let held = self.uploads.iter().map(|u| match u.is_stalled(now) {
            true => u.arrived(),
            false => u.bytes,
        });
        let held: usize = held.sum();
        if held > 0 && held + bytes > self.max_held {
            let back_off = self.duration(bytes);
            return Err(Full { back_off });
        }
        self.last_id += 1;
        self.uploads.push(Upload {
            id: self.last_id,
            urgency,
            bytes,
            left: 0,
            in_flight: 0,
            latest: Now::MAX,
            give_up_at: Now::MAX,
            moved_at: now,
            local: false,
        });
        Ok(self.last_id)
    }

    /// Expected wait of a new body for those before it.
    fn wait(&self, now: Now, urgency: &Urgency) -> Duration {
        let new = order(urgency, UploadId::MAX, now);
        let ahead = self.uploads.iter().filter(|u| u.order(now) < new);
        let left = ahead.filter(|u| !u.is_stalled(now)).map(|u| u.left).sum();
        (self.clear_at.saturating_sub(now) + self.duration(left)).mul_f64(TRANSFER_MARGIN)
    }

    /// Whether a new body that takes the time `own` makes an admitted one late that is at least as urgent by rank.
    fn makes_late(&self, now: Now, urgency: &Urgency, own: Duration) -> bool {
        let new = order(urgency, UploadId::MAX, now);
        let mut all: Vec<&Upload> = self.uploads.iter().filter(|u| u.left > 0).collect();
        all.retain(|u| !u.is_stalled(now));
        all.sort_by_key(|u| u.order(now));
        let mut end = self.clear_at.max(now);
        all.into_iter().any(|u| {
            end += self.duration(u.left);
            let after = u.order(now) > new && u.urgency.rank <= urgency.rank;
            after && end <= u.latest && end + own > u.latest
        })
    }

    /// The body that gets the next grant, among those whose senders deliver what was granted.
    pub fn first(&self, now: Now) -> Option<UploadId> {
        // Half of the window for each, so that a slow sender does not hold up the others.
        let max = self.window() / 2;
        let ready = |u: &&Upload| u.left > 0 && u.in_flight < max && !u.is_stalled(now);
        let ready = self.uploads.iter().filter(ready);
        ready.min_by_key(|u| u.order(now)).map(|u| u.id)
    }

    /// Grants a body its next piece if it is its turn and the link is nearly clear.
    pub fn take_turn(&mut self, now: Now, id: UploadId) -> Turn {
        let Some(own) = self.uploads.iter().find(|u| u.id == id) else {
            return Turn::TooLate;
        };
        if now + self.duration(own.left) > own.give_up_at {
            return Turn::TooLate;
        }
        let flowing = self.uploads.iter().filter(|u| !u.is_stalled(now));
        let in_flight = flowing.filter(|u| !u.local).map(|u| u.in_flight);
        let full = in_flight.sum::<usize>() + PIECE_BYTES > self.window();
        if self.first(now) != Some(id) || full || self.has_no_memory() {
            return Turn::Wait(CHECK_INTERVAL);
        }
        let lead = self.clear_at.saturating_sub(now);
        if lead > MAX_LEAD {
            return Turn::Wait(lead - MAX_LEAD);
        }
        let Some(own) = self.uploads.iter_mut().find(|u| u.id == id) else {
            return Turn::TooLate;
        };
        let bytes = own.left.min(PIECE_BYTES);
        if own.in_flight == 0 {
            own.moved_at = now;
        }
        own.left -= bytes;
        own.in_flight += bytes;
        self.clear_at = self.clear_at.max(now) + self.duration(bytes);
        Turn::Grant(bytes)
    }

    /// Whether stalled bodies have gone on, so that there is no memory for more of any.
    fn has_no_memory(&self) -> bool {
        let taken = self.uploads.iter().map(|u| match u.local {
            true => u.arrived(),
            false => u.arrived() + u.in_flight,
        });
        self.uploads.len() > 1 && taken.sum::<usize>() + PIECE_BYTES > self.max_held
    }

    /// Records that granted bytes of a body have arrived.
    pub fn arrived(&mut self, now: Now, id: UploadId, bytes: usize) {
        if let Some(u) = self.uploads.iter_mut().find(|u| u.id == id) {
            u.in_flight = u.in_flight.saturating_sub(bytes);
            u.moved_at = now;
        }
    }

    /// Removes a body whose request has ended or was given up.
    pub fn end(&mut self, id: UploadId) {
        self.uploads.retain(|u| u.id != id);
    }

    /// Number of admitted bodies that are about to arrive as a whole.
    pub fn arriving(&self, now: Now) -> usize {
        let flowing = self.uploads.iter().filter(|u| !u.is_stalled(now));
        flowing.filter(|u| u.arrived() < u.bytes).count()
    }

    /// Bytes of all admitted bodies.
    pub fn held_bytes(&self) -> usize {
        self.uploads.iter().map(|u| u.bytes).sum()
    }

    /// Time that the link needs for what was granted and for the rest of the admitted bodies.
    pub fn backlog(&self, now: Now) -> Duration {
        let flowing = self.uploads.iter().filter(|u| !u.is_stalled(now));
        let left = flowing.map(|u| u.left).sum();
        self.clear_at.saturating_sub(now) + self.duration(left)
    }

    /// Time that the link needs for a body alone.
    pub fn transfer_time(&self, bytes: usize) -> Duration {
        self.duration(bytes)
    }
}
