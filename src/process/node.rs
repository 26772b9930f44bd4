//! The node process: owns the shared state and starts the listeners and control tasks.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use dropshot::HttpServer;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::backend::{self, Backend};
use super::callers::Callers;
use super::clock::{Clock, ProcessClock};
use super::faults::{BlockableStore, Faults};
use super::metrics::Metrics;
use super::notices::{Notice, Notices};
use super::ownership::{self, Ownership};
use super::record::{Addresses, Record, Target, TargetState};
use super::routing::Routing;
use super::slots::Slots;
use super::view::{Post, Usable, View};
use super::{admin, control, floor, shutdown};
use crate::connection::handshake::Identity;
use crate::connection::listen;
use crate::connection::peer::WsTransport;
use crate::connection::upstream::{HttpUpstream, Upstream, UpstreamSettings};
use crate::key::SharedKey;
use crate::prelude::*;
use crate::request::reason::Reason;
use crate::request::{admit, entry};
use crate::settings::{ListenSettings, Settings};
use crate::store::counted::Counted;
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

/// State that lives as long as the process.
pub struct Process {
    /// Settings.
    pub settings: Settings,
    /// Version in force; a request keeps the snapshot that it started with.
    pub config: ArcSwapOption<Snapshot>,
    /// Records of all known nodes; the request path reads this copy.
    pub records: ArcSwap<BTreeMap<NodeId, Record>>,
    /// Client connections.
    pub upstream: Arc<dyn Upstream>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Suspects and grants that all nodes share.
    pub notices: Notices,
    /// Time since the start of the process.
    pub clock: Arc<dyn Clock>,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Choices of the entry node.
    pub routing: Arc<Routing>,
    /// Slots of the backend server beside this node.
    pub slots: Arc<Slots>,
    /// Requests in flight of each caller.
    pub callers: Arc<Callers>,
    /// Ownership of idempotency keys.
    pub ownership: Ownership,
    /// The backend server beside this node.
    pub beside: Backend,
    /// The site's shared key, when the settings name one.
    pub key: Option<SharedKey>,
    /// What the control task knows, and messages to it.
    pub view: View,
    /// Injected faults.
    pub faults: Arc<Faults>,
    own: Mutex<(Record, Option<SocketAddr>)>,
}

impl Process {
    /// Version in force, number 0 without one.
    pub fn version(&self) -> VersionRef {
        self.config
            .load()
            .as_ref()
            .map_or_else(VersionRef::default, |s| s.version)
    }

    /// Puts a version in force if it is newer than the present one.
    pub fn adopt(&self, snapshot: Arc<Snapshot>) {
        if snapshot.version.number > self.version().number {
            let v = snapshot.version;
            self.config.store(Some(snapshot));
            self.metrics.version.set(v.number as i64);
            self.change_own(|r, _| r.version = v);
            spdlog::info!("event=version_adopted", kv: { number = v.number, hash = v.hash.to_string() });
        }
    }

    /// Address of the backend server, as it announced it.
    pub fn set_backend(&self, address: SocketAddr) {
        self.change_own(|_, a| *a = Some(address));
    }

    /// Puts the state of the backend server into the own record.
    pub fn set_target(&self, target: Target) {
        self.slots.set_slots(target.slots);
        if matches!(target.state, TargetState::Starting | TargetState::Gone) {
            self.slots.refuse_all(Reason::NotReady);
        }
        self.change_own(|r, _| r.target = Some(target));
    }

    /// Address of the backend server while it can run requests.
    pub fn backend(&self) -> Option<SocketAddr> {
        self.beside.address(self.clock.now())
    }

    /// How far the record of a node may be used; a record of an earlier process may not.
    pub fn usable(&self, r: &Record) -> Usable {
        match r.node == self.settings.node.id {
            true => Usable::Yes,
            false => self.view.members.load().usable(&r.node),
        }
    }

    /// Whether a node is known to have ended.
    pub fn is_dead(&self, r: &Record) -> bool {
        self.usable(r) == Usable::No
    }

    /// Whether it is worth trying to reach a node.
    pub fn may_reach(&self, r: &Record) -> bool {
        !self.is_dead(r) && !self.is_cut_off(&r.node)
    }

    /// Whether a node answers, as far as known.
    pub fn is_reachable(&self, r: &Record) -> bool {
        self.usable(r) <= Usable::Doubtful && !self.is_cut_off(&r.node)
    }

    /// Whether an address is that of the backend server beside this node, which may speak for its callers.
    pub fn is_local(&self, from: std::net::IpAddr) -> bool {
        let own = self.own.lock().unwrap_or_else(|e| e.into_inner());
        own.1.is_some_and(|a| a.ip() == from)
    }

    fn change_own<F>(&self, change: F)
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

    /// Own record; incarnation and sequence are those of the last change that the control task made.
    pub fn own_record(&self) -> Record {
        let own = self.own.lock().unwrap_or_else(|e| e.into_inner());
        own.0.clone()
    }

    /// Incarnation of this process.
    pub fn own_incarnation(&self) -> Incarnation {
        self.own_record().incarnation
    }

    /// Takes a higher incarnation, because another process has used this one.
    pub fn set_incarnation(&self, n: Incarnation) {
        self.change_own(|r, _| r.incarnation = n);
    }

    /// Notes in the own record whether this node watches the store's head.
    pub fn set_watcher(&self, watcher: bool) {
        self.change_own(|r, _| r.watcher = watcher);
    }

    /// Merges notices that were made here and sends the changes to all linked peers at once.
    pub fn tell(&self, list: Vec<Notice>) {
        let changed = self.notices.merge(list);
        self.spread(changed);
    }

    /// Sends notices that are already merged to all linked peers.
    pub fn spread(&self, changed: Vec<Notice>) {
        if !changed.is_empty() {
            self.view.post(Post::Notices(changed));
        }
    }

    /// Takes the floor token that the backend server returned.
    pub fn returned_floor(&self, token: Option<&str>) {
        let site = &self.settings.node.site;
        self.view.post(Post::Token(
            token.and_then(|t| floor::read(t, site, self.key.as_ref())),
        ));
    }

    /// Floor token for the backend server.
    pub fn floor_token(&self) -> Option<String> {
        let v = self.version();
        (v.number > 0).then(|| floor::issue(v, &self.settings.node.site, self.key.as_ref()))
    }
}

fn identity(settings: &Settings, record: &Record, key: Option<SharedKey>) -> Identity {
    if key.is_none() {
        spdlog::warn!("event=no_key_file", kv: { effect = "peers are not authenticated" });
    }
    Identity {
        site: settings.node.site.clone(),
        node: record.node.clone(),
        incarnation: record.incarnation,
        az: record.az.clone(),
        key,
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<NodeError>> {
    TcpListener::bind(address)
        .await
        .change_context(NodeError)
        .attach_with(|| format!("cannot listen on {address}"))
}

/// Listeners of a node, opened before its settings are complete when several nodes start together.
pub struct Listeners {
    /// Requests of callers.
    pub caller: TcpListener,
    /// Requests relayed by other nodes.
    pub relay: TcpListener,
    /// Links of other nodes.
    pub peer: TcpListener,
}

impl Listeners {
    /// Opens the listeners.
    ///
    /// # Errors
    ///
    /// An address could not be listened on.
    pub async fn open(s: &ListenSettings) -> Result<Self, Report<NodeError>> {
        Ok(Self {
            caller: bind(s.caller).await?,
            relay: bind(s.relay).await?,
            peer: bind(s.peer).await?,
        })
    }
}

/// A running node; its admin API stops when this is dropped.
pub struct Running {
    /// Shared state.
    pub process: Arc<Process>,
    /// Addresses taken.
    pub addresses: Addresses,
    /// Ends the listeners for requests once it is set; requests in progress are answered first.
    pub close: watch::Sender<bool>,
    /// Tasks of these listeners.
    pub listeners: Vec<JoinHandle<()>>,
    _admin: HttpServer<Arc<Process>>,
}

/// Runs a node until the process is told to stop.
///
/// # Errors
///
/// A listener could not be opened.
pub async fn run(settings: Settings, store: Arc<dyn Store>) -> Result<(), Report<NodeError>> {
    let listeners = Listeners::open(&settings.listen).await?;
    let node = start(settings, store, listeners)?;
    shutdown::wait(node).await.change_context(NodeError)
}

/// Starts a node on open listeners.
///
/// # Errors
///
/// The admin API could not listen.
pub fn start(
    settings: Settings,
    store: Arc<dyn Store>,
    listeners: Listeners,
) -> Result<Running, Report<NodeError>> {
    let upstream = HttpUpstream::new(&UpstreamSettings::default());
    start_with(settings, store, listeners, Arc::new(upstream))
}

/// Starts a node that sends requests through this client.
///
/// # Errors
///
/// The admin API could not listen.
pub fn start_with(
    settings: Settings,
    store: Arc<dyn Store>,
    listeners: Listeners,
    upstream: Arc<dyn Upstream>,
) -> Result<Running, Report<NodeError>> {
    let key = match &settings.peers.key_file {
        Some(path) => Some(SharedKey::read(path).map_err(|e| Report::new(NodeError).attach(e))?),
        None => None,
    };
    let Listeners {
        caller,
        relay,
        peer,
    } = listeners;
    let local = |l: &TcpListener| l.local_addr().change_context(NodeError);
    let mut addresses = Addresses {
        caller: local(&caller)?,
        relay: local(&relay)?,
        peer: local(&peer)?,
        admin: settings.listen.admin,
    };
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let record = Record {
        node: settings.node.id.clone(),
        incarnation: since.as_millis() as u64,
        sequence: 0,
        az: settings.node.az.clone(),
        region: settings.node.region.clone(),
        addresses,
        version: VersionRef::default(),
        watcher: false,
        target: None,
    };
    let identity = identity(&settings, &record, key.clone());
    let faults = Arc::new(Faults::new(settings.faults.enabled));
    let store: Arc<dyn Store> = match settings.faults.enabled {
        true => Arc::new(BlockableStore::new(store, faults.clone())),
        false => store,
    };
    let limits = settings.limits.clone();
    let metrics = Metrics::default();
    let store = Arc::new(Counted::new(store, &metrics));
    let admin_address = settings.listen.admin;
    let clock: Arc<dyn Clock> = Arc::new(ProcessClock::default());
    let p = Arc::new(Process {
        config: ArcSwapOption::empty(),
        records: ArcSwap::from_pointee(BTreeMap::new()),
        upstream,
        store,
        notices: Notices::new(clock.clone()),
        routing: Arc::new(Routing::new(&settings, clock.clone(), rand::random())),
        slots: Arc::new(Slots::new(
            settings.policy.queue,
            clock.clone(),
            metrics.queued.clone(),
        )),
        clock,
        callers: Arc::default(),
        metrics,
        key,
        ownership: Ownership::new(&settings.node.id, record.incarnation),
        beside: Backend::default(),
        view: View::default(),
        faults,
        own: Mutex::new((record, None)),
        settings,
    });
    let admin =
        admin::start(admin_address, p.clone()).map_err(|e| Report::new(NodeError).attach(e))?;
    addresses.admin = admin.local_addr();
    p.change_own(|r, _| r.addresses = addresses);
    spdlog::info!("event=listening", kv: {
        caller = addresses.caller.to_string(),
        relay = addresses.relay.to_string(),
        peer = addresses.peer.to_string(),
        admin = addresses.admin.to_string()
    });
    tokio::spawn(ownership::run(p.clone()));
    tokio::spawn(backend::run(p.clone()));
    let transport = Arc::new(WsTransport::new(peer, p.clock.clone()));
    tokio::spawn(control::run(p.clone(), identity, transport));
    let (close, closing) = watch::channel(false);
    let q = p.clone();
    let serve = move |req, _| admit::serve(q.clone(), req);
    let relay = tokio::spawn(listen::serve_until(
        relay,
        limits.for_relay(),
        closing.clone(),
        serve,
    ));
    let q = p.clone();
    let serve = move |req, from| entry::serve(q.clone(), req, from);
    let caller = tokio::spawn(listen::serve_until(caller, limits, closing, serve));
    Ok(Running {
        process: p,
        addresses,
        close,
        listeners: vec![caller, relay],
        _admin: admin,
    })
}
