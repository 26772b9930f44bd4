//! Measures what each connection does and holds, for the [`Gate`].

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

use http::HeaderMap;
use tokio::sync::Notify;

use super::budget::{ClientId, Limit, Spent, Stage};
use super::gate::Gate;
use crate::prelude::*;

/// Memory that a header field of a request takes beside its bytes: about 200 for its entry in a map with spare capacity,
/// its index and the allocation of its name, in the two to three copies that are held while the request runs.
const FIELD_BYTES: usize = 512;
/// Unread bytes of responses from which on a connection starts no request early.
const MAX_UNREAD_BYTES: usize = 64 << 10;

/// A response that the client has not read.
struct Unread {
    /// Bytes that have not been written.
    left: usize,
    /// Bytes that are held until all are written: a body in memory is one block.
    held: usize,
}

/// What a connection does and holds.
#[derive(Default)]
struct Uses {
    /// Whether the head of a request has begun to arrive.
    head: bool,
    /// Announced length of the body that arrives.
    body: Option<Option<u64>>,
    /// Requests that are complete and have no response.
    running: usize,
    /// Responses that the client has not read, in order.
    unread: VecDeque<Unread>,
    /// Bytes that have been read ahead.
    ahead: usize,
}

impl Uses {
    /// Records bytes that were written. Returns how many are no longer held.
    fn write(&mut self, mut bytes: usize) -> usize {
        let mut released = 0;
        while let Some(first) = self.unread.front_mut() {
            let written = bytes.min(first.left);
            first.left -= written;
            bytes -= written;
            if first.left > 0 {
                break;
            }
            released += first.held;
            self.unread.pop_front();
        }
        released
    }

    fn stage(&self) -> Stage {
        match self.body {
            _ if self.running > 0 => Stage::Running,
            Some(length) => Stage::Body(length),
            None if !self.unread.is_empty() => Stage::Response,
            None if self.head => Stage::Head,
            None => Stage::Idle,
        }
    }
}

/// State of a connection, which its parts and the gate share.
pub(super) struct Shared {
    gate: Arc<Gate>,
    id: ClientId,
    pub(super) port: &'static str,
    pub(super) evicted: Notify,
    /// Whether the connection has given way; it counts as open until its account ends.
    pub(super) closing: AtomicBool,
    uses: Mutex<Uses>,
}

impl Shared {
    pub(super) fn new(gate: Arc<Gate>, id: ClientId, port: &'static str) -> Self {
        Self {
            gate,
            id,
            port,
            evicted: Notify::new(),
            closing: AtomicBool::new(false),
            uses: Mutex::default(),
        }
    }

    /// Changes what the connection does, and returns the result.
    fn update<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut Uses) -> T,
    {
        let mut uses = self.uses.lock().unwrap_or_else(|e| e.into_inner());
        let before = uses.stage();
        let result = change(&mut uses);
        let after = uses.stage();
        if before != after {
            self.gate.set_stage(self.id, after);
        }
        result
    }

    fn close(&self, limit: Limit) {
        self.gate.state().budget.close(self.id);
        self.gate.evict(vec![(self.id, limit)]);
    }
}

/// Account of a connection. Its end returns everything to the budget.
pub struct Account(Arc<Shared>);

impl Drop for Account {
    fn drop(&mut self) {
        let mut state = self.0.gate.state();
        state.budget.close(self.0.id);
        state.accounts.remove(&self.0.id);
        state.closing -= usize::from(self.0.closing.load(Ordering::Relaxed));
    }
}

impl Account {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self(shared)
    }

    /// Handle for the parts of the connection.
    pub fn meter(&self) -> Meter {
        Meter(self.0.clone())
    }
}

/// Measures what a connection holds.
#[derive(Clone)]
pub struct Meter(Arc<Shared>);

impl Meter {
    /// Waits until the connection has to be closed.
    pub async fn evicted(&self) {
        self.0.evicted.notified().await;
    }

    /// Records bytes that have arrived outside of a body; `held` of them are not yet parsed.
    pub(super) fn record_received(&self, data: &[u8], held: usize) {
        let blank = data.iter().all(|b| matches!(b, b'\r' | b'\n'));
        self.0.update(|uses| {
            uses.head |= !blank && uses.body.is_none() && uses.running == 0;
        });
        self.set_ahead(held);
    }

    /// Records how many bytes are read ahead. Without room for them the connection is closed, unless a request runs.
    pub(super) fn set_ahead(&self, bytes: usize) {
        let (before, runs) = self.0.update(|uses| {
            let before = uses.ahead;
            uses.ahead = bytes;
            (before, uses.running > 0)
        });
        let more = bytes.saturating_sub(before);
        self.0.gate.release(self.0.id, before.saturating_sub(bytes));
        match self.0.gate.charge(self.0.id, more) {
            Ok(()) => {}
            Err(Spent) if runs => self.0.update(|uses| uses.ahead = before),
            Err(Spent) => self.0.close(Limit::Memory),
        }
    }

    /// Whether there is room for bytes that are read ahead only to notice the end of the connection.
    pub(super) fn may_read_ahead(&self) -> bool {
        self.0.gate.state().budget.has_room()
    }

    /// Records bytes that were written to the client.
    pub(super) fn record_written(&self, bytes: usize) {
        let read = self.0.update(|uses| uses.write(bytes));
        self.0.gate.record_progress(self.0.id, bytes);
        self.0.gate.release(self.0.id, read);
    }

    /// Records that the client takes nothing of what is to be written to it.
    pub(super) fn record_blocked(&self) {
        self.0.gate.record_blocked(self.0.id);
    }

    /// Whether a request may be started before the responses to earlier ones have been read.
    pub(super) fn may_start_early(&self) -> bool {
        let unread = |uses: &mut Uses| uses.unread.iter().map(|r| r.held).sum::<usize>();
        self.may_read_ahead() && self.0.update(unread) < MAX_UNREAD_BYTES
    }

    /// Begins a request whose head has arrived. `body` is the announced length of its body, if it has one. Without room for
    /// its head the connection is closed.
    pub(super) fn begin(&self, headers: &HeaderMap, body: Option<Option<u64>>) -> ActiveRequest {
        let held = self.charge_head(headers).unwrap_or_else(|Spent| {
            self.0.close(Limit::Memory);
            0
        });
        self.start(held, body)
    }

    /// Begins a request without a body before it is its turn; `None` without room for its head.
    pub(super) fn begin_early(&self, headers: &HeaderMap) -> Option<ActiveRequest> {
        let held = self.charge_head(headers).ok()?;
        Some(self.start(held, None))
    }

    /// Charges the connection for a head. Returns the bytes.
    fn charge_head(&self, headers: &HeaderMap) -> Result<usize, Spent> {
        let fields = headers.iter().map(|(k, v)| k.as_str().len() + v.len());
        let bytes = fields.sum::<usize>() + headers.len() * FIELD_BYTES;
        self.0.gate.charge(self.0.id, bytes).map(|()| bytes)
    }

    fn start(&self, held: usize, body: Option<Option<u64>>) -> ActiveRequest {
        self.0.update(|uses| {
            uses.head = false;
            match body {
                Some(length) => uses.body = Some(length),
                None => uses.running += 1,
            }
        });
        ActiveRequest(Arc::new(Request {
            client: self.0.clone(),
            held: Mutex::new(held),
            reading: Mutex::new(body.is_some()),
        }))
    }
}

struct Request {
    client: Arc<Shared>,
    held: Mutex<usize>,
    reading: Mutex<bool>,
}

/// A request of a connection, until it has its response. Clones belong to the same request.
#[derive(Clone)]
pub struct ActiveRequest(Arc<Request>);

impl Drop for Request {
    fn drop(&mut self) {
        let reading = *lock(&self.reading);
        self.client.update(|uses| match reading {
            true => uses.body = None,
            false => uses.running = uses.running.saturating_sub(1),
        });
        self.client.gate.release(self.client.id, *lock(&self.held));
    }
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl ActiveRequest {
    /// Records the priority of the route; greater is less urgent.
    pub fn set_rank(&self, rank: usize) {
        let client = &self.0.client;
        client.gate.state().budget.set_rank(client.id, rank);
    }

    /// Charges the connection for bytes of the body that have arrived.
    ///
    /// # Errors
    ///
    /// The budget is spent, and no other connection gives way.
    pub fn hold(&self, bytes: usize) -> Result<(), Spent> {
        let client = &self.0.client;
        client.gate.record_progress(client.id, bytes);
        let charged = client.gate.charge(client.id, bytes);
        match charged {
            Ok(()) => *lock(&self.0.held) += bytes,
            Err(Spent) => client
                .gate
                .observer
                .limit_reached(client.port, Limit::Memory),
        }
        charged
    }

    /// Waits until the connections that gave way to this one are closed, so that no more is read before their memory
    /// is freed.
    pub async fn settle(&self) {
        self.0.client.gate.settle().await;
    }

    /// Returns bytes of the body that are no longer held, such as those that have been sent on.
    pub fn release(&self, bytes: usize) {
        let mut held = lock(&self.0.held);
        let bytes = bytes.min(*held);
        *held -= bytes;
        self.0.client.gate.release(self.0.client.id, bytes);
    }

    /// Records that the request is complete, or that a target may begin to run it: its connection no longer gives way.
    pub fn set_running(&self) {
        let mut reading = lock(&self.0.reading);
        if std::mem::replace(&mut *reading, false) {
            self.0.client.update(|uses| {
                uses.body = None;
                uses.running += 1;
            });
        }
    }

    /// Records a response of this size, in bytes, that the client has to read; the request is no longer held. Without room
    /// for the response the connection is closed.
    pub(super) fn respond(&self, bytes: usize) {
        let client = &self.0.client;
        self.release(usize::MAX);
        match client.gate.charge(client.id, bytes) {
            Ok(()) => client.update(|uses| {
                let response = Unread {
                    left: bytes,
                    held: bytes,
                };
                uses.unread.push_back(response);
            }),
            Err(Spent) => client.close(Limit::Memory),
        }
    }
}
