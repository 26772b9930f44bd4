//! Budget of a process for its clients: the bytes that they make it hold, and the number of their connections.
//!
//! Answers the load of crowds of clients that send and read without regard for limits. Each connection is charged for
//! what it holds. When the budget is spent, the connections that are least likely to become a request give way: first
//! those that have stalled, then idle ones, then bodies, the least complete and least urgent first. A connection whose
//! request is complete never gives way, because a target may have begun to run it.

pub use super::client::Stage;
use super::client::{Client, Place};
use crate::prelude::*;

/// Id of a connection.
pub type ClientId = u64;

/// Memory of a connection without a request, in bytes: the read buffer of the HTTP library and the state of its tasks.
pub const CONNECTION_BYTES: usize = 16 << 10;
/// Eighths of the bytes that bodies and responses may take; the rest is for connections and heads.
const BODY_EIGHTHS: usize = 7;
/// Size up to which a body counts as small, in bytes.
const SMALL_BODY_BYTES: u64 = 8 << 10;
/// What all clients of a process together may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes that connections hold.
    pub bytes: usize,
    /// Number of connections.
    pub connections: usize,
    /// Bytes that a body or a reader has to move in each window.
    pub window_bytes: u64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self {
            bytes: usize::MAX,
            connections: usize::MAX,
            window_bytes: 0,
            window: Duration::MAX,
        }
    }
}

/// Limit that closes a connection or rejects a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Limit {
    /// [`BudgetLimits::bytes`].
    Memory,
    /// [`BudgetLimits::connections`].
    Descriptors,
    /// The time for a head.
    HeadTimeout,
    /// [`BudgetLimits::window_bytes`] of a body.
    BodyRate,
    /// [`BudgetLimits::window_bytes`] of the reader of a response.
    ReadRate,
}

impl Limit {
    /// Value of the metric label and of the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
            Self::HeadTimeout => "head-timeout",
            Self::BodyRate => "body-rate",
            Self::ReadRate => "read-rate",
        }
    }
}

/// The budget does not cover what a connection asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spent;

/// Connections of a process, and what they hold.
#[derive(Debug, Default)]
pub struct Budget {
    limits: BudgetLimits,
    used: usize,
    next: ClientId,
    clients: HashMap<ClientId, Client>,
}

impl Budget {
    /// Creates a budget without connections.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Changes the limits; connections that exceed them give way to the next ones.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Bytes that all connections hold.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Whether there is room for bodies and responses.
    pub fn has_room(&self) -> bool {
        self.used < self.limits.bytes / 8 * BODY_EIGHTHS
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.clients.len()
    }

    /// Adds a connection, which must leave `reserved` of them to others. Returns its id and the connections that give way.
    ///
    /// # Errors
    ///
    /// The budget is spent by connections that do not give way.
    pub fn open(
        &mut self,
        now: Now,
        reserved: usize,
        port: &'static str,
        head_timeout: Duration,
    ) -> Result<(ClientId, Vec<(ClientId, Limit)>), Spent> {
        let mut evicted = Vec::new();
        let max = self.limits.connections;
        let max = max - reserved.min(max / 4);
        while self.clients.len() >= max {
            let first = self.first(now, |_| true).ok_or(Spent)?;
            self.close(first);
            evicted.push((first, Limit::Descriptors));
        }
        let id = self.next;
        self.next += 1;
        self.clients
            .insert(id, Client::new(now, port, head_timeout));
        self.used += CONNECTION_BYTES;
        // A connection alone takes little, so it is admitted even if nothing else gives way.
        let more = self.make_room(now, id, self.limits.bytes, None);
        evicted.extend(more.unwrap_or_default());
        Ok((id, evicted))
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ClientId) {
        if let Some(client) = self.clients.remove(&id) {
            self.used -= client.bytes;
        }
    }

    /// Records what a connection does now.
    pub fn set_stage(&mut self, id: ClientId, stage: Stage, now: Now) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        client.set_stage(stage, now);
    }

    /// Records the priority of the route of a request; greater is less urgent.
    pub fn set_rank(&mut self, id: ClientId, rank: usize) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.rank = rank;
        }
    }

    /// Records bytes of a body that arrived, or of a response that left.
    pub fn record_progress(&mut self, id: ClientId, bytes: u64, now: Now) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.record_progress(bytes, now);
        }
    }

    /// Records that the client takes nothing of what is to be written to it.
    pub fn record_blocked(&mut self, id: ClientId, now: Now) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.record_blocked(now);
        }
    }

    /// Charges a connection for bytes that it holds. Returns the connections that give way.
    ///
    /// # Errors
    ///
    /// The budget is spent by connections that do not give way to this one; nothing was charged.
    pub fn charge(
        &mut self,
        id: ClientId,
        bytes: usize,
        now: Now,
    ) -> Result<Vec<(ClientId, Limit)>, Spent> {
        let Some(client) = self.clients.get_mut(&id) else {
            return Err(Spent);
        };
        let (max, place) = match client.stage {
            Stage::Idle | Stage::Head => (self.limits.bytes, None),
            // Small bodies may use the share of the heads.
            Stage::Body(_) if client.arrived <= SMALL_BODY_BYTES => {
                (self.limits.bytes, client.place(now))
            }
            Stage::Body(_) => (self.limits.bytes / 8 * BODY_EIGHTHS, client.place(now)),
            Stage::Running | Stage::Response => (self.limits.bytes / 8 * BODY_EIGHTHS, None),
        };
        client.bytes += bytes;
        self.used += bytes;
        let result = self.make_room(now, id, max, place);
        if result.is_err() {
            self.release(id, bytes);
        }
        result
    }

    /// Returns bytes that a connection no longer holds.
    pub fn release(&mut self, id: ClientId, bytes: usize) {
        if let Some(client) = self.clients.get_mut(&id) {
            let bytes = bytes.min(client.bytes);
            client.bytes -= bytes;
            self.used -= bytes;
        }
    }

    /// Removes the connections that have exceeded a limit in time, and returns them.
    pub fn remove_overdue(&mut self, now: Now) -> Vec<(ClientId, Limit)> {
        let limits = self.limits;
        let clients = self.clients.iter_mut();
        let overdue: Vec<_> = clients
            .filter_map(|(id, c)| Some((*id, c.overdue(now, &limits)?)))
            .collect();
        overdue.iter().for_each(|(id, _)| self.close(*id));
        overdue
    }

    /// Removes connections until at most `max` bytes are used: those before `place`, or all that give way. If these are
    /// not enough, none is removed.
    fn make_room(
        &mut self,
        now: Now,
        id: ClientId,
        max: usize,
        place: Option<Place>,
    ) -> Result<Vec<(ClientId, Limit)>, Spent> {
        let excess = self.used.saturating_sub(max);
        if excess == 0 {
            return Ok(Vec::new());
        }
        let others = self.clients.iter().filter(|(other, _)| **other != id);
        let mut order: Vec<_> = others
            .filter_map(|(id, c)| Some((c.place(now)?, *id, c.bytes)))
            .filter(|(other, ..)| place.is_none_or(|place| *other < place))
            .collect();
        if order.iter().map(|(_, _, bytes)| bytes).sum::<usize>() < excess {
            return Err(Spent);
        }
        order.sort_unstable();
        let mut evicted = Vec::new();
        for (_, id, _) in order {
            if self.used <= max {
                break;
            }
            self.close(id);
            evicted.push((id, Limit::Memory));
        }
        Ok(evicted)
    }

    /// Removes the connection of a port that gives way first.
    pub fn remove_first(&mut self, now: Now, port: &'static str) -> Option<(ClientId, Limit)> {
        let first = self.first(now, |c| c.port == port)?;
        self.close(first);
        Some((first, Limit::Descriptors))
    }

    /// The connection that gives way first among some.
    fn first<F>(&self, now: Now, among: F) -> Option<ClientId>
    where
        F: Fn(&Client) -> bool,
    {
        let clients = self.clients.iter().filter(|(_, c)| among(c));
        let places = clients.filter_map(|(id, c)| Some((c.place(now)?, *id)));
        places.min().map(|(_, id)| id)
    }
}
