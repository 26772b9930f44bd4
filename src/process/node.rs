//! The node process: owns the shared state and starts the listeners and control tasks.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use dropshot::HttpServer;
use tokio::net::TcpListener;

use super::callers::Callers;
use super::clock::{Clock, ProcessClock};
use super::metrics::Metrics;
use super::notices::Notices;
use super::record::{Addresses, Record, Target, TargetState};
use super::routing::Routing;
use super::slots::Slots;
use super::{admin, control};
use crate::connection::listen;
use crate::connection::upstream::{HttpUpstream, Upstream, UpstreamSettings};
use crate::key::SharedKey;
use crate::prelude::*;
use crate::request::reason::Reason;
use crate::request::{admit, entry};
use crate::settings::{ListenSettings, Settings};
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
    /// The site's shared key, when the settings name one.
    pub key: Option<SharedKey>,
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
    pub fn adopt(&self, snapshot: Snapshot) {
        if snapshot.version.number > self.version().number {
            let v = snapshot.version;
            self.config.store(Some(Arc::new(snapshot)));
            self.change_own(|r, _| r.version = v);
            spdlog::info!("event=version_adopted", kv: { number = v.number, hash = v.hash.to_string() });
        }
    }

    /// Takes an announcement of the backend server.
    pub fn announced(&self, address: SocketAddr, target: Target) {
        self.slots.set_slots(target.slots);
        if matches!(target.state, TargetState::Starting | TargetState::Gone) {
            self.slots.refuse_all(Reason::NotReady);
        }
        self.change_own(|r, a| {
            *a = Some(address);
            r.target = Some(target);
        });
    }

    /// Address of the backend server while it is ready.
    pub fn backend(&self) -> Option<SocketAddr> {
        let own = self.own.lock().unwrap_or_else(|e| e.into_inner());
        let ready = own
            .0
            .target
            .as_ref()
            .is_some_and(|t| t.state == TargetState::Ready);
        own.1.filter(|_| ready)
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
        let before = record.clone();
        change(record, address);
        if *record != before {
            record.sequence += 1;
            self.merge(vec![record.clone()]);
        }
    }

    /// Adds records that replace older ones of the same node.
    pub fn merge(&self, list: Vec<Record>) {
        self.records.rcu(|old| {
            let mut map = BTreeMap::clone(old);
            for r in &list {
                match map.get(&r.node) {
                    Some(held) if held.order() >= r.order() => {}
                    _ => {
                        map.insert(r.node.clone(), r.clone());
                    }
                }
            }
            map
        });
    }

    /// All known records.
    pub fn all_records(&self) -> Vec<Record> {
        self.records.load().values().cloned().collect()
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
    _admin: HttpServer<Arc<Process>>,
}

/// Runs a node until the process is told to stop.
///
/// # Errors
///
/// A listener could not be opened.
pub async fn run(settings: Settings, store: Arc<dyn Store>) -> Result<(), Report<NodeError>> {
    let listeners = Listeners::open(&settings.listen).await?;
    let _node = start(settings, store, listeners)?;
    tokio::signal::ctrl_c().await.change_context(NodeError)
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
        target: None,
    };
    let seeds = settings.peers.seeds.clone();
    let limits = settings.limits.clone();
    let admin_address = settings.listen.admin;
    let clock: Arc<dyn Clock> = Arc::new(ProcessClock::default());
    let metrics = Metrics::default();
    let p = Arc::new(Process {
        config: ArcSwapOption::empty(),
        records: ArcSwap::from_pointee(BTreeMap::new()),
        upstream: Arc::new(HttpUpstream::new(&UpstreamSettings::default())),
        store,
        notices: Notices::default(),
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
    tokio::spawn(control::follow_store(p.clone()));
    tokio::spawn(control::accept_links(p.clone(), peer));
    for seed in seeds {
        tokio::spawn(control::exchange(p.clone(), seed));
    }
    let q = p.clone();
    tokio::spawn(listen::serve(relay, limits.clone(), move |req, _| {
        admit::serve(q.clone(), req)
    }));
    let q = p.clone();
    tokio::spawn(listen::serve(caller, limits, move |req, from| {
        entry::serve(q.clone(), req, from)
    }));
    Ok(Running {
        process: p,
        addresses,
        _admin: admin,
    })
}
