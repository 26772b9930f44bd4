//! State of the process, shared by its tasks.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, watch, Notify, Semaphore};

use crate::connection::gate::Gate;
use crate::logging::EventLog;
use crate::prelude::*;
use crate::process::clock::Clock;
use crate::settings::Settings;
use crate::sidecar::adapter::Adapter;
use crate::sidecar::connection::frame::{Head, Message};
use crate::sidecar::connection::inbound_link::SharedInbound;
use crate::sidecar::connection::links::Links;
use crate::sidecar::connection::pacing::SharedLink;
use crate::sidecar::connection::pool::Pool;
use crate::sidecar::process::fleet::members::{Members, NodeRecord};
use crate::sidecar::process::fleet::target_history::TargetHistory;
use crate::sidecar::process::fleet::watchers::{must_watch, WatcherCandidate};
use crate::sidecar::process::metrics::{Hop, Metrics};
use crate::sidecar::process::quota::driver::QuotaDriver;
use crate::sidecar::process::rollout::table::Rollouts;
use crate::sidecar::process::routing::budget::RetryBudget;
use crate::sidecar::process::routing::crash_suspects::CrashSuspects;
use crate::sidecar::process::routing::fairness::Fairness;
use crate::sidecar::process::routing::placement::Placement;
use crate::sidecar::process::routing::split::TrafficSplit;
use crate::sidecar::process::sample::LastConfirmed;
use crate::sidecar::process::target::crash::LostRequests;
use crate::sidecar::process::target::departure::DepartureState;
use crate::sidecar::process::target::queue::Load;
use crate::sidecar::process::target::slots::Slots;
use crate::sidecar::process::target::state::OwnTarget;
use crate::sidecar::version::config_server::ConfigRequest;
use crate::sidecar::version::in_force::{ConfigUpdate, PatchCache};
use crate::sidecar::version::routes::RouteTable;
use crate::store::{Era, Store};

/// Phase of the process on its way to a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Serving,
    /// Still accepts requests, but its readiness check fails and callers are told to close their connections.
    Leaving,
    /// Rejects new requests and finishes those in progress.
    Draining,
}

/// State of a sidecar node, shared by the tasks of its process.
pub struct Node {
    /// Id of this node, from the settings.
    pub id: NodeId,
    /// Service of its target.
    pub service: ServiceId,
    /// Translates the names and formats of the platform.
    pub adapter: Arc<dyn Adapter>,
    /// Store of the platform; its calls are counted in the metrics.
    pub store: Arc<dyn Store>,
    /// Monotonic clock that starts with the process.
    pub clock: Arc<dyn Clock>,
    /// Time of day at which the process started, in ms since 1970.
    pub started_at: u64,
    /// Metrics that the admin API returns.
    pub metrics: Metrics,
    /// Times at which parts of the state were last confirmed.
    pub last_confirmed: LastConfirmed,
    /// Log with a limited rate.
    pub log: EventLog,
    /// Version in force; a request keeps the route with which it started.
    pub routes: ArcSwapOption<RouteTable>,
    /// Slots of the target and the requests that wait for them.
    pub slots: Arc<Slots>,
    /// Idle connections to the target.
    pub pool: Pool,
    /// Budget of the process for its clients, if the settings name one.
    pub gate: Option<Arc<Gate>>,
    /// Link of the VM, which all connections share.
    pub shared_link: Arc<SharedLink>,
    /// The same link for what the node receives.
    pub inbound: Arc<SharedInbound>,
    /// Room for the bytes of uploads that are kept for another attempt.
    pub(crate) upload_room: Arc<Semaphore>,
    /// Links that this node opened to other nodes.
    pub links: Links,
    /// Notifies accepted links that the target, the version or `reaches_store` of this node changed.
    pub state_changed: watch::Sender<u64>,
    /// Whether this node watches the store and reaches it.
    pub reaches_store: AtomicBool,
    /// Greatest version number that this node itself read from the store.
    pub max_stored_version: AtomicU64,
    /// Notifies the task that watches the store that it may have to begin.
    pub role_check: Notify,
    /// Notifies [`confirm::run`](crate::sidecar::version::confirm::run) that the version in force was confirmed.
    pub version_confirmed: watch::Sender<u64>,
    /// Notifies the task that watches the store that it must read the configuration again and restart its watch.
    pub restart_watch: watch::Sender<u64>,
    /// Latest era of the store that another node has heard of.
    pub(crate) reported_era: watch::Sender<Era>,
    /// Sends what other nodes report about the configuration to the task that adopts it.
    pub config_updates: mpsc::UnboundedSender<ConfigUpdate>,
    /// Sends requests of other nodes for the configuration to the task that serves them.
    pub config_requests: mpsc::UnboundedSender<ConfigRequest>,
    /// Notifies the task that serves the configuration of the version in force.
    pub version_adopted: watch::Sender<VersionNumber>,
    pub(crate) settings: ArcSwap<Settings>,
    pub(crate) own_record: Mutex<NodeRecord>,
    pub(crate) target: Mutex<OwnTarget>,
    /// Announced stops of the targets of this node.
    pub(crate) departures: DepartureState,
    /// What other nodes have said about their targets.
    pub(crate) target_history: Mutex<TargetHistory>,
    pub(crate) members: Mutex<Members>,
    pub(crate) placement: Mutex<Placement>,
    pub(crate) traffic_split: Mutex<TrafficSplit>,
    pub(crate) fairness: Mutex<Fairness>,
    /// Requests that may crash targets.
    pub(crate) crash_suspects: Mutex<CrashSuspects>,
    /// Requests that were lost at the target of this node.
    pub(crate) lost_requests: Mutex<LostRequests>,
    /// Quotas of tenants.
    pub(crate) quota: QuotaDriver,
    pub(crate) retry_budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
    /// Orders of rollouts, and what this node does for them.
    pub(crate) rollouts: Rollouts,
    pub(crate) rng: Mutex<SmallRng>,
    /// [`Phase`] as a number.
    pub(crate) phase: AtomicU8,
    pub(crate) in_flight: AtomicUsize,
    /// Time at which the requests in progress get their responses because the process ends; the maximum before a stop.
    pub(crate) stop_end: watch::Sender<Now>,
    /// Whether the nodes have been read from the store at least once.
    pub(crate) members_listed: AtomicBool,
    /// Documents of recent versions, as bases of patches.
    pub(crate) recent_documents: Mutex<VecDeque<(VersionNumber, Bytes)>>,
    pub(crate) patch_cache: Mutex<PatchCache>,
}

/// Counts a request as in flight until it is dropped. The process waits for requests in flight before it stops.
pub struct InFlightGuard(Arc<Node>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

pub(crate) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl Node {
    /// Settings in force; they are read again after SIGHUP or a change of the file.
    pub fn settings(&self) -> arc_swap::Guard<Arc<Settings>> {
        self.settings.load()
    }

    /// State of the target of this node.
    pub fn target(&self) -> MutexGuard<'_, OwnTarget> {
        lock(&self.target)
    }

    /// The other nodes of the fleet, as far as this node knows them.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        lock(&self.members)
    }

    /// Known targets of all services.
    pub fn placement(&self) -> MutexGuard<'_, Placement> {
        lock(&self.placement)
    }

    /// State of the split of requests among weighted services.
    pub fn traffic_split(&self) -> MutexGuard<'_, TrafficSplit> {
        lock(&self.traffic_split)
    }

    /// Served fraction of the requests of each rank.
    pub fn fairness(&self) -> MutexGuard<'_, Fairness> {
        lock(&self.fairness)
    }

    /// Phase on the way to a graceful stop; it never goes back.
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Serving,
            1 => Phase::Leaving,
            _ => Phase::Draining,
        }
    }

    /// Advances to a later phase; earlier ones are ignored.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::SeqCst);
    }

    /// Time at which the requests in progress get their responses because the process ends; the maximum before a stop.
    pub fn stop_end(&self) -> Now {
        *self.stop_end.borrow()
    }

    /// Waits until a time, or until [`Node::stop_end`] if that is sooner.
    pub async fn wait_until(&self, time: Now) {
        let mut stop_end = self.stop_end.subscribe();
        loop {
            let end = time.min(*stop_end.borrow_and_update());
            let wait = end.saturating_sub(self.clock.now());
            if wait.is_zero() {
                return;
            }
            // The sender lives as long as the node.
            let _ = tokio::time::timeout(wait, stop_end.changed()).await;
        }
    }

    /// Counts a request as in flight until the result is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.clone())
    }

    /// Number of requests of callers and of other nodes that have not finished.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Whether the node can serve callers: it has a version, has listed the nodes and is not stopping.
    pub fn ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.version() > 0
            && self.members_listed.load(Ordering::SeqCst)
    }

    /// Whether the nodes have been read from the store at least once.
    pub fn members_listed(&self) -> bool {
        self.members_listed.load(Ordering::SeqCst)
    }

    /// Path for health probes of the target; `None` while no version is known.
    pub fn health_path(&self) -> Option<SmolStr> {
        let table = self.routes.load();
        let service = table.as_ref()?.services.get(&self.service)?;
        Some(service.health_path.clone())
    }

    /// Whether the target can be probed: the path is known, and so are the targets that have departed.
    pub fn can_probe(&self) -> bool {
        self.members_listed.load(Ordering::SeqCst) && self.health_path().is_some()
    }

    /// Record of this node, as it is sent to other nodes.
    pub fn record(&self) -> NodeRecord {
        lock(&self.own_record).clone()
    }

    /// Raises the incarnation of this node above that of a record of another process with the same node id, so that
    /// other nodes accept the record of this process.
    pub fn raise_incarnation(&self, other: &NodeRecord) {
        let mut own = lock(&self.own_record);
        if other.order() > own.order() {
            own.incarnation = other.incarnation + 1;
        }
    }

    /// Location of the target of a node relative to this node.
    pub fn hop(&self, node: &str) -> Hop {
        match self.members().get(node) {
            _ if node == self.id => Hop::Own,
            Some(r) if r.az == self.settings().node.az => Hop::SameAz,
            _ => Hop::CrossAz,
        }
    }

    /// Encodes a message for a link, and counts its bytes.
    pub fn encode(&self, message: &Message, hop: Hop) -> Bytes {
        let data = message.encode();
        let labels = [message.head.kind(), hop.as_str()];
        let bytes = self.metrics.link_bytes.with_label_values(&labels);
        bytes.inc_by(data.len() as u64);
        if !message.head.is_paced() {
            self.shared_link.record_written(data.len());
        }
        data
    }

    /// Counts the bytes of a message that arrived on a link. Granted bodies have their share of the link already.
    pub fn record_received(&self, head: &Head, bytes: usize) {
        let received = &self.metrics.link_received_bytes;
        received
            .with_label_values(&[head.kind()])
            .inc_by(bytes as u64);
        if !matches!(head, Head::BodyPart(_)) {
            self.inbound.record_received(bytes);
        }
    }

    /// Load of the target and of the link to report to other nodes.
    pub fn load(&self) -> Load {
        let backlog = self.inbound.backlog().as_millis();
        Load {
            inbound_ms: u32::try_from(backlog).unwrap_or(u32::MAX),
            ..self.slots.load()
        }
    }

    /// This node as one that may watch the store.
    pub fn watcher_candidate(&self) -> WatcherCandidate {
        WatcherCandidate {
            node: self.id.clone(),
            az: self.record().az,
            link_mbps: self.record().link_mbps,
            reaches_store: self.reaches_store(),
        }
    }

    /// Whether this node must watch the store for the others.
    pub fn must_watch(&self) -> bool {
        must_watch(
            &self.watcher_candidate(),
            &self.links.watcher_candidates(self),
            self.unconfirmed_time(),
        )
    }

    /// Whether this node watches the store and reaches it.
    pub fn reaches_store(&self) -> bool {
        self.reaches_store.load(Ordering::SeqCst)
    }

    /// Records whether this node watches the store and reaches it, and notifies the other nodes of a change.
    pub fn set_reaches_store(&self, reaches: bool) {
        if self.reaches_store.swap(reaches, Ordering::SeqCst) != reaches {
            self.log.event("watching", &[("fresh", bool_str(reaches))]);
            self.state_changed.send_modify(|n| *n += 1);
        }
    }
}

pub(crate) fn bool_str(b: bool) -> &'static str {
    match b {
        true => "true",
        false => "false",
    }
}
