//! The node process: owns the shared state and starts the listeners and control tasks.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::net::TcpListener;

use super::clock::{Clock, ProcessClock};
use super::metrics::Metrics;
use super::notices::Notices;
use super::record::{Addresses, Record, Target, TargetState};
use super::{admin, control};
use crate::connection::listen;
use crate::connection::upstream::{HttpUpstream, Upstream, UpstreamSettings};
use crate::prelude::*;
use crate::request::{admit, entry};
use crate::settings::Settings;
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

/// Runs a node until the process is told to stop.
///
/// # Errors
///
/// A listener could not be opened.
pub async fn run(settings: Settings, store: Arc<dyn Store>) -> Result<(), Report<NodeError>> {
    let caller = bind(settings.listen.caller).await?;
    let relay = bind(settings.listen.relay).await?;
    let peer = bind(settings.listen.peer).await?;
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
    let metrics = Metrics::default();
    let store = Arc::new(Counted::new(store, &metrics));
    let admin_address = settings.listen.admin;
    let p = Arc::new(Process {
        settings,
        config: ArcSwapOption::empty(),
        records: ArcSwap::from_pointee(BTreeMap::new()),
        upstream: Arc::new(HttpUpstream::new(&UpstreamSettings::default())),
        store,
        notices: Notices::default(),
        clock: Arc::new(ProcessClock::default()),
        metrics,
        own: Mutex::new((record, None)),
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
    tokio::signal::ctrl_c().await.change_context(NodeError)
}
