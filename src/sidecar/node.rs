//! State that lives as long as the process, shared by its tasks.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, watch, Notify};

use super::adapter::Adapter;
use super::budget::RetryBudget;
use super::fairness::Fairness;
use super::frame::Message;
use super::link::Links;
use super::members::{Change, Members, NodeRecord};
use super::metrics::{Hop, Metrics};
use super::placement::{Choice, Criteria, Placement, TargetInfo};
use super::pool::Pool;
use super::routes::RouteTable;
use super::sample::{Confirmed, Fact};
use super::slots::Slots;
use super::split::TrafficSplit;
use super::target::{OwnTarget, TargetState};
use crate::logging::EventLog;
use crate::prelude::*;
use crate::process::clock::Clock;
use crate::settings::Settings;
use crate::store::Store;

/// Versions that are kept as bases of patches: nodes that ask are a few changes behind at most.
const HISTORY: usize = 4;

/// Step of the end of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Takes requests.
    Serving,
    /// Still takes requests, and asks callers to go elsewhere.
    Leaving,
    /// Takes no requests; those in progress end.
    Closing,
}

/// Shared state of a node.
pub struct Node {
    /// Name of the node.
    pub id: NodeId,
    /// Service of the target beside it.
    pub service: ServiceId,
    /// Names and formats of the platform.
    pub adapter: Arc<dyn Adapter>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Time since the start of the process.
    pub clock: Arc<dyn Clock>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// When the node last confirmed what it believes.
    pub confirmed: Confirmed,
    /// Log with a bounded rate.
    pub log: EventLog,
    /// Version in force; a request keeps the route that it started with.
    pub routes: ArcSwapOption<RouteTable>,
    /// Slots of the target.
    pub slots: Arc<Slots>,
    /// Connections to the target.
    pub pool: Pool,
    /// Links to other nodes.
    pub links: Links,
    /// Tells accepted links that the own target, version or watch changed.
    pub changed: watch::Sender<u64>,
    /// Whether this node watches the store and reaches it.
    pub fresh: AtomicBool,
    /// Greatest version number that this node read from the store itself.
    pub stored_version: AtomicU64,
    /// Wakes the task that keeps the own record in the store.
    pub announce: Notify,
    /// Tells the tasks that watch the store to read it again.
    pub store_back: watch::Sender<u64>,
    /// Documents and hints for the task that follows the configuration.
    pub config_hints: mpsc::UnboundedSender<ConfigHint>,
    pub(super) settings: ArcSwap<Settings>,
    pub(super) own: Mutex<NodeRecord>,
    pub(super) target: Mutex<OwnTarget>,
    pub(super) members: Mutex<Members>,
    pub(super) place: Mutex<Placement>,
    pub(super) split: Mutex<TrafficSplit>,
    pub(super) fair: Mutex<Fairness>,
    pub(super) budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
    pub(super) rng: Mutex<SmallRng>,
    pub(super) phase: AtomicU8,
    pub(super) flights: AtomicUsize,
    /// Whether the store's members were read once.
    pub(super) joined: AtomicBool,
    /// Documents of the last versions, as bases of patches.
    pub(super) history: Mutex<VecDeque<(VersionNumber, Bytes)>>,
    pub(super) patches: Mutex<Patches>,
}

/// What links learn about the configuration.
#[derive(Debug)]
pub enum ConfigHint {
    /// A node holds this version.
    Version(NodeId, VersionNumber),
    /// A node sent its document, as a patch of this version or whole for 0.
    Document(NodeId, VersionNumber, Bytes),
}

/// Encoded patches from earlier versions to the one in force.
#[derive(Debug, Default)]
pub struct Patches {
    /// Version that they lead to.
    pub number: VersionNumber,
    /// Patches by the version that they begin with, 0 for the whole document.
    pub patches: HashMap<VersionNumber, Bytes>,
}

/// A request in progress; the process waits for it before it ends.
pub struct Flight(Arc<Node>);

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.flights.fetch_sub(1, Ordering::SeqCst);
    }
}

pub(super) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl Node {
    /// Settings in force.
    pub fn settings(&self) -> arc_swap::Guard<Arc<Settings>> {
        self.settings.load()
    }

    /// The target beside this node.
    pub fn target(&self) -> MutexGuard<'_, OwnTarget> {
        lock(&self.target)
    }

    /// The other nodes.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        lock(&self.members)
    }

    /// Targets of all services.
    pub fn place(&self) -> MutexGuard<'_, Placement> {
        lock(&self.place)
    }

    /// Shares of weighted routes.
    pub fn split(&self) -> MutexGuard<'_, TrafficSplit> {
        lock(&self.split)
    }

    /// Shares of the ranks.
    pub fn fair(&self) -> MutexGuard<'_, Fairness> {
        lock(&self.fair)
    }

    /// Step of the end of the process.
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Serving,
            1 => Phase::Leaving,
            _ => Phase::Closing,
        }
    }

    /// Goes to a later step of the end.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::SeqCst);
    }

    /// Counts a request until the result is dropped.
    pub fn flight(self: &Arc<Self>) -> Flight {
        self.flights.fetch_add(1, Ordering::SeqCst);
        Flight(self.clone())
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> usize {
        self.flights.load(Ordering::SeqCst)
    }

    /// Whether the node can serve callers.
    pub fn ready(&self) -> bool {
        self.phase() == Phase::Serving && self.version() > 0 && self.joined.load(Ordering::SeqCst)
    }

    /// Path of the health probe of the own target, once a version is known.
    pub fn health_path(&self) -> Option<SmolStr> {
        let table = self.routes.load();
        let service = table.as_ref()?.services.get(&self.service)?;
        Some(service.health_path.clone())
    }

    /// Whether enough is known to ask the own target for its name: its probe, and which targets left.
    pub fn ready_to_probe(&self) -> bool {
        self.joined.load(Ordering::SeqCst) && self.health_path().is_some()
    }

    /// Number of the version in force, 0 without one.
    pub fn version(&self) -> VersionNumber {
        self.routes.load().as_ref().map_or(0, |t| t.number)
    }

    /// Puts a version in force if it is newer than the present one. Returns whether it is.
    pub fn adopt(&self, table: RouteTable, source: &str) -> bool {
        if table.number <= self.version() {
            return false;
        }
        let number = table.number.to_string();
        self.metrics.version.set(table.number as i64);
        self.log.event(
            "version_adopted",
            &[("number", &number), ("source", source)],
        );
        let names = table.route_names();
        self.place().retain_routes(|route| names.contains(route));
        let mut history = lock(&self.history);
        if history.len() == HISTORY {
            history.pop_front();
        }
        history.push_back((table.number, table.document.clone()));
        drop(history);
        self.routes.store(Some(Arc::new(table)));
        if self.is_fresh() {
            self.changed.send_modify(|n| *n += 1);
        }
        true
    }

    /// Own record.
    pub fn record(&self) -> NodeRecord {
        lock(&self.own).clone()
    }

    /// Raises the own record above one that another process of the same name wrote.
    pub fn outrank(&self, other: &NodeRecord) {
        let mut own = lock(&self.own);
        if other.order() > own.order() {
            own.incarnation = other.incarnation + 1;
        }
    }

    pub(super) fn set_place(&self, r: &NodeRecord) {
        let own = r.node == self.id;
        let now = self.clock.now();
        match &r.target {
            Some(t) => {
                let info = TargetInfo {
                    service: r.service.clone(),
                    az: r.az.clone(),
                    slots: t.slots,
                    ready: t.ready && !r.leaving,
                    reachable: own || self.links.is_open(&r.node),
                    id: t.id.clone(),
                };
                self.place().set(&r.node, info, now);
            }
            None => self.place().remove(&r.node),
        }
    }

    /// Applies a change of the members.
    pub fn apply(self: &Arc<Self>, change: Change) {
        match change {
            Change::Set(r) => {
                self.set_place(&r);
                self.links.connect(self, &r.node);
                self.log.event(
                    "member_learned",
                    &[
                        ("node", &r.node),
                        ("target", r.target.as_ref().map_or("none", |t| &t.id)),
                        ("ready", flag(r.target.as_ref().is_some_and(|t| t.ready))),
                    ],
                );
            }
            Change::Forget(node) => {
                self.place().remove(&node);
                self.log.event("member_forgotten", &[("node", &node)]);
            }
        }
    }

    /// Takes the record of a node that answered on a link.
    pub fn met(self: &Arc<Self>, record: NodeRecord) {
        let change = self.members().merge_received(record, self.clock.now());
        if let Some(change) = change {
            self.apply(change);
        }
    }

    /// Where the target beside a node is.
    pub fn hop(&self, node: &str) -> Hop {
        match self.members().get(node) {
            _ if node == self.id => Hop::Own,
            Some(r) if r.az == self.settings().node.az => Hop::Zone,
            _ => Hop::Cross,
        }
    }

    /// Encodes a message for a link to a node, and counts its bytes.
    pub fn encode(&self, message: &Message, hop: Hop) -> Bytes {
        let data = message.encode();
        let labels = [message.head.kind(), hop.as_str()];
        let bytes = self.metrics.link_bytes.with_label_values(&labels);
        bytes.inc_by(data.len() as u64);
        data
    }

    /// Takes the version number that another node holds.
    pub fn heard_version(&self, node: &NodeId, number: VersionNumber) {
        self.confirmed.note(Fact::Version, self.clock.now());
        if number > self.version() && !node.is_empty() {
            let hint = ConfigHint::Version(node.clone(), number);
            // The receiver lives as long as the process.
            let _ = self.config_hints.send(hint);
        }
    }

    /// Takes a document that another node sent.
    pub fn offer_config(&self, node: &NodeId, base: VersionNumber, data: Bytes) {
        let hint = ConfigHint::Document(node.clone(), base, data);
        let _ = self.config_hints.send(hint);
    }

    /// Takes the state of another node's target.
    pub fn heard_target(
        self: &Arc<Self>,
        node: &NodeId,
        sequence: u64,
        target: Option<TargetState>,
    ) {
        let record = self.members().get(node).cloned();
        if let Some(r) = record {
            self.met(NodeRecord {
                sequence,
                target,
                ..r
            });
        }
    }

    /// Chooses a target.
    pub fn choose(&self, ask: &Criteria<'_>) -> Choice {
        let now = self.clock.now();
        self.place().choose(now, ask, &mut *lock(&self.rng))
    }

    /// Whether this node watches the store and reaches it.
    pub fn is_fresh(&self) -> bool {
        self.fresh.load(Ordering::SeqCst)
    }

    /// Notes whether this node reaches the store, and tells the others.
    pub fn set_fresh(&self, fresh: bool) {
        if self.fresh.swap(fresh, Ordering::SeqCst) != fresh {
            self.log.event("watching", &[("fresh", flag(fresh))]);
            self.changed.send_modify(|n| *n += 1);
        }
    }

    /// Document of a version, if it is still kept.
    pub fn document(&self, number: VersionNumber) -> Option<Bytes> {
        let history = lock(&self.history);
        let found = history.iter().find(|(n, _)| *n == number);
        found.map(|(_, d)| d.clone())
    }
}

pub(super) fn flag(b: bool) -> &'static str {
    match b {
        true => "true",
        false => "false",
    }
}
