//! Startup of a node: opens the listeners, builds the shared state and starts the tasks.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use dropshot::HttpServer;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::connection::handshake::Identity;
use crate::connection::listen;
use crate::connection::peer::WsTransport;
use crate::connection::upstream::{HttpUpstream, Upstream, UpstreamSettings};
use crate::key::SharedKey;
use crate::prelude::*;
use crate::process::at_most_once::ownership::{self, Ownership};
use crate::process::clock::{Clock, ProcessClock};
use crate::process::lifecycle::control;
use crate::process::lifecycle::faults::{BlockableStore, Faults};
use crate::process::lifecycle::shutdown;
use crate::process::members::control_view::ControlView;
use crate::process::members::notices::Notices;
use crate::process::members::record::{Addresses, Record};
use crate::process::node::{NodeError, Process};
use crate::process::observe::admin;
use crate::process::observe::metrics::Metrics;
use crate::process::routing::driver::Routing;
use crate::process::routing::slots::Slots;
use crate::process::target::backend::{self, Backend};
use crate::request::{admit, entry};
use crate::settings::{ListenSettings, Settings};
use crate::store::counted::CountedStore;
use crate::store::Store;
use crate::version::snapshot::VersionRef;

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<NodeError>> {
    TcpListener::bind(address)
        .await
        .change_context(NodeError)
        .attach_with(|| format!("cannot listen on {address}"))
}

/// Listeners of a node. They are opened before the settings are complete if several nodes that need each other's
/// addresses start together.
pub struct Listeners {
    /// Listener for requests from callers.
    pub caller: TcpListener,
    /// Listener for requests relayed by other nodes.
    pub relay: TcpListener,
    /// Listener for links from other nodes.
    pub peer: TcpListener,
}

impl Listeners {
    /// Opens the listeners at their addresses in the settings. The admin API opens its own.
    ///
    /// # Errors
    ///
    /// The node could not listen on an address.
    pub async fn open(s: &ListenSettings) -> Result<Self, Report<NodeError>> {
        Ok(Self {
            caller: bind(s.caller).await?,
            relay: bind(s.relay).await?,
            peer: bind(s.peer).await?,
        })
    }

    fn addresses(&self, admin: SocketAddr) -> Result<Addresses, Report<NodeError>> {
        let local = |l: &TcpListener| l.local_addr().change_context(NodeError);
        Ok(Addresses {
            caller: local(&self.caller)?,
            relay: local(&self.relay)?,
            peer: local(&self.peer)?,
            admin,
        })
    }
}

/// A running node. Dropping it stops the admin API.
pub struct RunningNode {
    /// State that the tasks of the node share.
    pub process: Arc<Process>,
    /// Addresses on which the node listens.
    pub addresses: Addresses,
    /// Set to `true` to end the listeners for requests; requests in progress finish first.
    pub close: watch::Sender<bool>,
    /// Tasks of the listeners for requests.
    pub listeners: Vec<JoinHandle<()>>,
    _admin: HttpServer<Arc<Process>>,
}

/// Runs a node until it receives a signal to stop.
///
/// # Errors
///
/// A listener or a signal handler could not be set up, or the key file could not be read.
pub async fn run(settings: Settings, store: Arc<dyn Store>) -> Result<(), Report<NodeError>> {
    let listeners = Listeners::open(&settings.listen).await?;
    let node = start(settings, store, listeners)?;
    shutdown::wait(node).await.change_context(NodeError)
}

/// Starts a node with listeners that are already open.
///
/// # Errors
///
/// The admin API could not listen, or the key file could not be read.
pub fn start(
    settings: Settings,
    store: Arc<dyn Store>,
    listeners: Listeners,
) -> Result<RunningNode, Report<NodeError>> {
    let upstream = HttpUpstream::new(&UpstreamSettings::default());
    start_with_upstream(settings, store, listeners, Arc::new(upstream))
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

/// Starts a node that sends requests through `upstream`.
///
/// # Errors
///
/// The admin API could not listen, or the key file could not be read.
pub fn start_with_upstream(
    settings: Settings,
    store: Arc<dyn Store>,
    listeners: Listeners,
    upstream: Arc<dyn Upstream>,
) -> Result<RunningNode, Report<NodeError>> {
    let key = match &settings.peers.key_file {
        Some(path) => Some(SharedKey::read(path).map_err(|e| Report::new(NodeError).attach(e))?),
        None => None,
    };
    let mut addresses = listeners.addresses(settings.listen.admin)?;
    let record = initial_record(&settings, addresses);
    let identity = identity(&settings, &record, key.clone());
    let p = Arc::new(build_process(settings, store, upstream, key, record));
    let admin =
        admin::start(addresses.admin, p.clone()).map_err(|e| Report::new(NodeError).attach(e))?;
    addresses.admin = admin.local_addr();
    p.set_addresses(addresses);
    spdlog::info!("event=listening", kv: {
        caller = addresses.caller.to_string(),
        relay = addresses.relay.to_string(),
        peer = addresses.peer.to_string(),
        admin = addresses.admin.to_string()
    });
    let (close, closing) = watch::channel(false);
    let Listeners {
        caller,
        relay,
        peer,
    } = listeners;
    start_control(&p, identity, peer);
    Ok(RunningNode {
        listeners: start_listeners(&p, caller, relay, closing),
        process: p,
        addresses,
        close,
        _admin: admin,
    })
}

/// Initial membership record, without a version or a backend server.
fn initial_record(settings: &Settings, addresses: Addresses) -> Record {
    let unix_time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Record {
        node: settings.node.id.clone(),
        incarnation: unix_time.as_millis() as u64,
        sequence: 0,
        az: settings.node.az.clone(),
        region: settings.node.region.clone(),
        addresses,
        version: VersionRef::default(),
        watcher: false,
        target: None,
    }
}

fn build_process(
    settings: Settings,
    store: Arc<dyn Store>,
    upstream: Arc<dyn Upstream>,
    key: Option<SharedKey>,
    record: Record,
) -> Process {
    let faults = Arc::new(Faults::new(settings.faults.enabled));
    let store: Arc<dyn Store> = match settings.faults.enabled {
        true => Arc::new(BlockableStore::new(store, faults.clone())),
        false => store,
    };
    let metrics = Metrics::default();
    let clock: Arc<dyn Clock> = Arc::new(ProcessClock::default());
    Process {
        config: ArcSwapOption::empty(),
        records: ArcSwap::from_pointee(BTreeMap::new()),
        upstream,
        store: Arc::new(CountedStore::new(
            store,
            &metrics.store_calls,
            &metrics.store_waiting,
        )),
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
        shared_key: key,
        ownership: Ownership::new(&settings.node.id, record.incarnation),
        local_backend: Backend::default(),
        view: ControlView::default(),
        faults,
        own: Mutex::new((record, None)),
        settings,
    }
}

fn start_control(p: &Arc<Process>, identity: Identity, peer: TcpListener) {
    tokio::spawn(ownership::run(p.clone()));
    tokio::spawn(backend::run(p.clone()));
    let transport = Arc::new(WsTransport::new(peer, p.clock.clone()));
    tokio::spawn(control::run(p.clone(), identity, transport));
}

/// Serves requests from callers and other nodes until `closing` is set.
fn start_listeners(
    p: &Arc<Process>,
    caller: TcpListener,
    relay: TcpListener,
    closing: watch::Receiver<bool>,
) -> Vec<JoinHandle<()>> {
    let limits = p.settings.limits.clone();
    let process = p.clone();
    let serve = move |req, _| admit::serve(process.clone(), req);
    let relay_limits = limits.for_relay();
    let relay = listen::serve_until(
        relay,
        move || relay_limits.clone(),
        closing.clone(),
        serve,
        None,
        None,
    );
    let process = p.clone();
    let serve = move |req, from| entry::serve(process.clone(), req, from);
    let caller = listen::serve_until(caller, move || limits.clone(), closing, serve, None, None);
    vec![tokio::spawn(caller), tokio::spawn(relay)]
}
