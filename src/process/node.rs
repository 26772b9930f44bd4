//! State that the tasks of a node share for the lifetime of the process.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;

use arc_swap::{ArcSwap, ArcSwapOption};

use crate::connection::upstream::Upstream;
use crate::key::SharedKey;
use crate::prelude::*;
use crate::process::at_most_once::ownership::Ownership;
use crate::process::clock::Clock;
use crate::process::lifecycle::faults::Faults;
use crate::process::members::control_view::{ControlMessage, ControlView, Usable};
use crate::process::members::notices::{Notice, Notices};
use crate::process::members::record::{Addresses, Record, Target, TargetState};
use crate::process::observe::metrics::Metrics;
use crate::process::routing::callers::CallerLimits;
use crate::process::routing::driver::Routing;
use crate::process::routing::slots::Slots;
use crate::process::target::backend::Backend;
use crate::process::versions::floor;
use crate::request::reason::Reason;
use crate::settings::Settings;
use crate::store::Store;
use crate::version::snapshot::{Snapshot, VersionRef};

/// The node could not start.
#[derive(Debug)]
pub struct NodeError;

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the node could not start")
    }
}

impl std::error::Error for NodeError {}

/// State of the process that its tasks share.
pub struct Process {
    /// Settings as they were when the node started.
    pub settings: Settings,
    /// Version in force. A request keeps the snapshot with which it started.
    pub config: ArcSwapOption<Snapshot>,
    /// Records of all known nodes, as a copy for the request path.
    pub records: ArcSwap<BTreeMap<NodeId, Record>>,
    /// HTTP client for requests to backend servers and other nodes.
    pub upstream: Arc<dyn Upstream>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Suspects and grants, which are replicated to all nodes.
    pub notices: Notices,
    /// Time since the start of the process.
    pub clock: Arc<dyn Clock>,
    /// Metrics, which the admin API renders.
    pub metrics: Metrics,
    /// Selects targets and decides on retries, for requests that enter at this node.
    pub routing: Arc<Routing>,
    /// Slots of the backend server beside this node.
    pub slots: Arc<Slots>,
    /// Requests in flight of each caller.
    pub callers: Arc<CallerLimits>,
    /// Ownership of idempotency keys.
    pub ownership: Ownership,
    /// The backend server beside this node.
    pub local_backend: Backend,
    /// The site's shared key, when the settings name one.
    pub shared_key: Option<SharedKey>,
    /// State that the control task publishes, and messages to it.
    pub view: ControlView,
    /// Injected faults; none unless the settings enable them.
    pub faults: Arc<Faults>,
    /// This node's record, and the address of the backend server.
    pub(super) own: Mutex<(Record, Option<SocketAddr>)>,
}

impl Process {
    /// Version in force; number 0 when there is none.
    pub fn version(&self) -> VersionRef {
        self.config
            .load()
            .as_ref()
            .map_or_else(VersionRef::default, |s| s.version)
    }

    /// Puts a version in force if it is newer than the current one.
    pub fn adopt(&self, snapshot: Arc<Snapshot>) {
        if snapshot.version.number > self.version().number {
            let v = snapshot.version;
            self.config.store(Some(snapshot));
            self.metrics.version.set(v.number as i64);
            self.update_own(|r, _| r.version = v);
            spdlog::info!("event=version_adopted", kv: { number = v.number, hash = v.hash.to_string() });
        }
    }

    /// Sets the addresses of the listeners in this node's record.
    pub fn set_addresses(&self, addresses: Addresses) {
        self.update_own(|r, _| r.addresses = addresses);
    }

    /// Sets the address that the backend server announced.
    pub fn set_backend(&self, address: SocketAddr) {
        self.update_own(|_, a| *a = Some(address));
    }

    /// Sets the state of the backend server in this node's record. Rejects its queued requests when it cannot run any.
    pub fn set_target(&self, target: Target) {
        self.slots.set_slots(target.slots);
        if matches!(target.state, TargetState::Starting | TargetState::Gone) {
            self.slots.reject_all(Reason::NotReady);
        }
        self.update_own(|r, _| r.target = Some(target));
    }

    /// Address of the backend server while it can run requests.
    pub fn backend(&self) -> Option<SocketAddr> {
        self.local_backend.address(self.clock.now())
    }

    /// To what extent the record of a node may be used. The record of a process that has stopped may not be used.
    pub fn usable(&self, r: &Record) -> Usable {
        match r.node == self.settings.node.id {
            true => Usable::Yes,
            false => self.view.liveness.load().usable(&r.node),
        }
    }

    /// Whether a node has stopped or is unknown.
    pub fn is_dead(&self, r: &Record) -> bool {
        self.usable(r) == Usable::No
    }

    /// Whether an attempt to reach a node may succeed.
    pub fn may_reach(&self, r: &Record) -> bool {
        !self.is_dead(r) && !self.is_cut_off(&r.node)
    }

    /// Whether a node responds, as far as this node knows.
    pub fn is_reachable(&self, r: &Record) -> bool {
        self.usable(r) <= Usable::Suspect && !self.is_cut_off(&r.node)
    }

    /// Whether an address is that of the backend server beside this node, which may send requests on behalf of its
    /// callers.
    pub fn is_local(&self, from: std::net::IpAddr) -> bool {
        let own = self.own.lock().unwrap_or_else(|e| e.into_inner());
        own.1.is_some_and(|a| a.ip() == from)
    }

    fn update_own<F>(&self, change: F)
    where
        F: FnOnce(&mut Record, &mut Option<SocketAddr>),
    {
        let mut own = self.own.lock().unwrap_or_else(|e| e.into_inner());
        let (record, address) = &mut *own;
        change(record, address);
        drop(own);
        self.view.wake();
    }

    /// Whether an injected fault cuts this node off from another one.
    pub fn is_cut_off(&self, node: &NodeId) -> bool {
        let records = self.records.load();
        let az = records.get(node).map(|r| &r.az);
        az.is_some_and(|az| self.faults.blocks_zone(az))
    }

    /// This node's record. Incarnation and sequence are those that the control task assigned last.
    pub fn own_record(&self) -> Record {
        let own = self.own.lock().unwrap_or_else(|e| e.into_inner());
        own.0.clone()
    }

    /// Incarnation of this process, higher than at the start if another process has used that one.
    pub fn own_incarnation(&self) -> Incarnation {
        self.own_record().incarnation
    }

    /// Sets a higher incarnation, because another process has used the current one.
    pub fn set_incarnation(&self, n: Incarnation) {
        self.update_own(|r, _| r.incarnation = n);
    }

    /// Sets in this node's record whether this node watches the store's head.
    pub fn set_watcher(&self, watcher: bool) {
        self.update_own(|r, _| r.watcher = watcher);
    }

    /// Merges notices created by this node and sends the changes to all linked peers at once.
    pub fn publish_notices(&self, list: Vec<Notice>) {
        let changed = self.notices.merge(list);
        self.send_notices(changed);
    }

    /// Sends notices that are already merged to all linked peers.
    pub fn send_notices(&self, changed: Vec<Notice>) {
        if !changed.is_empty() {
            self.view.send(ControlMessage::Notices(changed));
        }
    }

    /// Passes the floor token that the backend server returned to the control task.
    pub fn handle_floor_token(&self, token: Option<&str>) {
        let site = &self.settings.node.site;
        self.view.send(ControlMessage::Token(
            token.and_then(|t| floor::read(t, site, self.shared_key.as_ref())),
        ));
    }

    /// Floor token for the backend server; `None` while no version is in force.
    pub fn floor_token(&self) -> Option<String> {
        let v = self.version();
        (v.number > 0).then(|| floor::issue(v, &self.settings.node.site, self.shared_key.as_ref()))
    }
}
