//! Bandwidth of the VM's link, which all connections of a node share: the order in which large messages are sent, and
//! how long a message waits for the link. No I/O.
//!
//! It handles large responses that fill the link. A message that is written at once delays everything that is written
//! after it, on all connections. So a large message is written in pieces, and only when nearly everything before has
//! left: a small message then waits for one piece at most. Pieces of the most urgent message go first.

use crate::prelude::*;

/// Size of a piece of a large message. Smaller messages are written at once.
pub const PIECE_BYTES: usize = 8 << 10;
/// Time that the link may still need for what was written when the next piece is written. It covers late timers, so that
/// the link does not become idle between two pieces.
const MAX_LEAD: Duration = Duration::from_millis(3);
/// Weight of a new response in the mean size of a route's responses.
const SIZE_WEIGHT: f64 = 0.1;

/// Id of a message that is sent in pieces.
pub type TransferId = u64;

/// Order in which messages use the link: by rank, then by the time at which they are due. Messages that are already too
/// late go last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Rank of the request; 0 is the most urgent.
    pub rank: usize,
    /// Time until which the message meets its latency objective.
    pub due: Now,
}

impl Urgency {
    fn order(&self, now: Now) -> (bool, usize, Now) {
        (self.due < now, self.rank, self.due)
    }
}

/// A message that is sent in pieces.
#[derive(Debug)]
struct Transfer {
    id: TransferId,
    urgency: Urgency,
    /// Bytes that have not been written.
    left: usize,
    /// Whether it is ready to write. A transfer whose receiver does not read is not, and must not hold up others.
    asking: bool,
}

/// What a transfer must do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// Write a piece of this size, in bytes.
    Write(usize),
    /// Ask again after this time.
    Wait(Duration),
    /// Ask again when [`Bandwidth::first`] returns this transfer.
    Behind,
}

/// Use of the link by the messages of a node.
#[derive(Debug)]
pub struct Bandwidth {
    bytes_per_s: f64,
    /// Time at which everything that was written has left.
    clear_at: Now,
    transfers: Vec<Transfer>,
    last_id: TransferId,
    /// Expected bytes of the responses to requests that run.
    reserved: usize,
    /// Mean size of the responses of each route, in bytes.
    sizes: HashMap<SmolStr, f64>,
}

impl Bandwidth {
    /// Creates the state of an idle link with this bandwidth, in Mbit/s.
    pub fn new(mbps: f64) -> Self {
        let mut b = Self {
            bytes_per_s: 0.0,
            clear_at: Now::ZERO,
            transfers: Vec::new(),
            last_id: 0,
            reserved: 0,
            sizes: HashMap::default(),
        };
        b.set_rate(mbps);
        b
    }

    /// Changes the bandwidth of the link, in Mbit/s.
    pub fn set_rate(&mut self, mbps: f64) {
        self.bytes_per_s = (mbps * 1e6 / 8.0).max(1.0);
    }

    fn duration(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s)
    }

    /// Records a message that is written at once.
    pub fn record_written(&mut self, now: Now, bytes: usize) {
        self.clear_at = self.clear_at.max(now) + self.duration(bytes);
    }

    /// Adds a message that is sent in pieces.
    pub fn begin(&mut self, urgency: Urgency, bytes: usize) -> TransferId {
        self.last_id += 1;
        self.transfers.push(Transfer {
            id: self.last_id,
            urgency,
            left: bytes,
            asking: false,
        });
        self.last_id
    }

    /// Removes a message that was sent or given up.
    pub fn end(&mut self, id: TransferId) {
        self.transfers.retain(|t| t.id != id);
    }

    /// The transfer that writes the next piece, among those that are ready to write.
    pub fn first(&self, now: Now) -> Option<TransferId> {
        let asking = self.transfers.iter().filter(|t| t.asking && t.left > 0);
        asking
            .min_by_key(|t| (t.urgency.order(now), t.id))
            .map(|t| t.id)
    }

    /// Lets a transfer write its next piece if it is its turn and the link is nearly clear.
    pub fn take_turn(&mut self, now: Now, id: TransferId) -> Turn {
        let own = self.transfers.iter_mut().find(|t| t.id == id);
        own.into_iter().for_each(|t| t.asking = true);
        if self.first(now) != Some(id) {
            return Turn::Behind;
        }
        let lead = self.clear_at.saturating_sub(now);
        if lead > MAX_LEAD {
            return Turn::Wait(lead - MAX_LEAD);
        }
        let Some(t) = self.transfers.iter_mut().find(|t| t.id == id) else {
            return Turn::Behind;
        };
        let bytes = t.left.min(PIECE_BYTES);
        t.left -= bytes;
        t.asking = false;
        self.record_written(now, bytes);
        Turn::Write(bytes)
    }

    /// Records the size of a response of a route.
    pub fn record_size(&mut self, route: &SmolStr, bytes: usize) {
        let size = bytes as f64;
        let mean = self.sizes.entry(route.clone()).or_insert(size);
        *mean += SIZE_WEIGHT * (size - *mean);
    }

    /// Mean size of a route's responses if they are sent in pieces; 0 if they are small or unknown.
    pub fn expected_bytes(&self, route: &str) -> usize {
        let mean = self.sizes.get(route).map_or(0, |mean| *mean as usize);
        match mean > PIECE_BYTES {
            true => mean,
            false => 0,
        }
    }

    /// Reserves the link for the response to a request that runs. It counts until [`Bandwidth::release`].
    pub fn reserve(&mut self, bytes: usize) {
        self.reserved += bytes;
    }

    /// Ends a reservation.
    pub fn release(&mut self, bytes: usize) {
        self.reserved = self.reserved.saturating_sub(bytes);
    }

    /// Time that the link needs for what was written, for what is left of all transfers and for what is reserved.
    pub fn backlog(&self, now: Now) -> Duration {
        let left: usize = self.transfers.iter().map(|t| t.left).sum();
        self.clear_at.saturating_sub(now) + self.duration(left + self.reserved)
    }

    /// Time that the link needs for a response of a route alone; zero if its responses are small or unknown.
    pub fn transfer_time(&self, route: &str) -> Duration {
        self.duration(self.expected_bytes(route))
    }
}
