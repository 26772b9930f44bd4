//! Start of the process.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize};
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use rand::SeedableRng;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify, Semaphore};

use crate::connection::gate::Gate;
use crate::connection::listen;
use crate::logging::EventLog;
use crate::prelude::*;
use crate::process::clock::{Clock, ProcessClock};
use crate::process::node::NodeError;
use crate::settings::{self, LimitSettings, Settings};
use crate::sidecar::adapter::Adapter;
use crate::sidecar::connection::inbound_link::SharedInbound;
use crate::sidecar::connection::links::Links;
use crate::sidecar::connection::pacing::SharedLink;
use crate::sidecar::connection::pool::Pool;
use crate::sidecar::connection::relay;
use crate::sidecar::process::admin;
use crate::sidecar::process::fleet::discovery;
use crate::sidecar::process::fleet::members::{Members, NodeRecord};
use crate::sidecar::process::inbound::MAX_HELD_BYTES;
use crate::sidecar::process::limits::{self, LimitLog, Port};
use crate::sidecar::process::metrics::Metrics;
use crate::sidecar::process::node::{ConfigUpdate, Node};
use crate::sidecar::process::quota::driver as quota_driver;
use crate::sidecar::process::quota::driver::QuotaDriver;
use crate::sidecar::process::quota::limits::QuotaBounds;
use crate::sidecar::process::quota::policy::Quotas;
use crate::sidecar::process::rollout::driver as rollout_driver;
use crate::sidecar::process::rollout::table::Rollouts;
use crate::sidecar::process::routing::placement::Placement;
use crate::sidecar::process::sample::{self, LastConfirmed};
use crate::sidecar::process::stop;
use crate::sidecar::process::target::control;
use crate::sidecar::process::target::departure::OwnDeparture;
use crate::sidecar::process::target::slots::Slots;
use crate::sidecar::process::target::state::OwnTarget;
use crate::sidecar::request::early::EarlyRequests;
use crate::sidecar::request::entry;
use crate::sidecar::request::upload::MAX_KEPT_BYTES;
use crate::sidecar::version::config;
use crate::sidecar::version::config_server;
use crate::sidecar::version::config_server::ConfigRequest;
use crate::sidecar::version::confirm;
use crate::store::counted::CountedStore;
use crate::store::Store;

/// Interval at which the settings file is checked for changes.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);
async fn bind(address: SocketAddr) -> Result<TcpListener, Report<NodeError>> {
    TcpListener::bind(address)
        .await
        .change_context(NodeError)
        .attach_with(|| format!("cannot listen on {address}"))
}

/// Receivers of the queues between the links of a node and its tasks.
pub struct Queues {
    /// For [`config::process_updates`].
    pub config_updates: mpsc::UnboundedReceiver<ConfigUpdate>,
    /// For [`config_server::serve`].
    pub config_requests: mpsc::UnboundedReceiver<ConfigRequest>,
}

/// Builds the state of the node, and the receivers of its queues.
pub fn build(
    settings: Settings,
    adapter: Arc<dyn Adapter>,
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
) -> (Arc<Node>, Queues) {
    let s = &settings.sidecar;
    let shared_link = SharedLink::new(s.link_mbps, clock.clone());
    let upload_bytes = limits::upload_bytes(&settings.limits);
    let held = upload_bytes.min(MAX_HELD_BYTES);
    let inbound = SharedInbound::new(s.link_mbps, held, clock.clone());
    let (updates, config_updates) = mpsc::unbounded_channel();
    let (requests, config_requests) = mpsc::unbounded_channel();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let record = NodeRecord {
        node: settings.node.id.clone(),
        incarnation: since_epoch.unwrap_or_default().as_millis() as u64,
        sequence: 1,
        az: settings.node.az.clone(),
        relay: s.advertise.unwrap_or(settings.listen.relay),
        service: s.service.clone(),
        target: None,
        leaving: false,
        link_mbps: s.link_mbps as u32,
    };
    let target = OwnTarget::new(
        s.service.clone(),
        s.target,
        Duration::from_millis(s.heartbeat_ms),
        Duration::from_millis(s.drain_ms) / 2,
    );
    let quotas = Quotas::new(
        settings.node.id.clone(),
        settings.node.az.clone(),
        QuotaBounds::new(s),
        clock.boot_time(),
    );
    let metrics = Metrics::default();
    let gate = limits::budget_limits(&settings.limits).map(|limits| {
        let observer = LimitLog::new(metrics.limited_clients.clone());
        Arc::new(Gate::new(limits, Box::new(observer)))
    });
    let store = CountedStore::new(store, &metrics.store_calls, &metrics.store_waiting);
    let slots = Slots::new(clock.clone());
    if !s.pace {
        slots.disable_pace();
    }
    if !s.limit_full {
        slots.disable_full_limit();
    }
    let node = Node {
        id: settings.node.id.clone(),
        service: s.service.clone(),
        adapter,
        store: Arc::new(store),
        metrics,
        last_confirmed: LastConfirmed::default(),
        log: EventLog::default(),
        routes: ArcSwapOption::empty(),
        slots: Arc::new(slots),
        pool: Pool::new(s.target),
        gate,
        shared_link: Arc::new(shared_link),
        inbound: Arc::new(inbound),
        upload_room: Arc::new(Semaphore::new(upload_bytes.min(MAX_KEPT_BYTES))),
        links: Links::default(),
        state_changed: watch::channel(0).0,
        reaches_store: AtomicBool::new(false),
        max_stored_version: AtomicU64::new(0),
        recent_documents: Mutex::default(),
        patch_cache: Mutex::default(),
        role_check: Notify::new(),
        version_confirmed: watch::channel(0).0,
        restart_watch: watch::channel(0).0,
        config_updates: updates,
        config_requests: requests,
        version_adopted: watch::channel(0).0,
        own_record: Mutex::new(record),
        target: Mutex::new(target),
        departure: watch::channel(OwnDeparture::default()).0,
        target_history: Mutex::default(),
        members: Mutex::new(Members::new(settings.node.id.clone())),
        placement: Mutex::new(Placement::new(settings.node.az.clone())),
        traffic_split: Mutex::default(),
        fairness: Mutex::default(),
        crash_suspects: Mutex::default(),
        lost_requests: Mutex::default(),
        quota: QuotaDriver::new(quotas),
        retry_budgets: Mutex::default(),
        rollouts: Rollouts::default(),
        rng: Mutex::new(rand::rngs::SmallRng::seed_from_u64(rand::random())),
        phase: AtomicU8::new(0),
        in_flight: AtomicUsize::new(0),
        stop_end: watch::channel(Duration::MAX).0,
        members_listed: AtomicBool::new(false),
        clock,
        settings: ArcSwap::from_pointee(settings),
    };
    let queues = Queues {
        config_updates,
        config_requests,
    };
    (Arc::new(node), queues)
}

/// Limits of the listener for callers: those of the configuration, once there is one. Its header timeout also closes
/// idle connections, so it is the idle timeout of the configuration: callers may reuse a connection for nearly that long.
fn caller_limits(n: &Node) -> LimitSettings {
    let base = n.settings().limits.clone();
    let table = n.routes.load();
    let Some(limits) = table.as_ref().map(|t| &t.limits) else {
        return base;
    };
    LimitSettings {
        header_timeout_ms: limits.idle_timeout.as_millis() as u64,
        header_bytes: limits.header_bytes,
        ..base
    }
}

/// Runs a node until a signal stops the process. The settings are read again when their file changes.
///
/// # Errors
///
/// A listener cannot be opened, or a signal handler cannot be installed.
pub async fn run(
    settings: Settings,
    source: settings::Source,
    adapter: Arc<dyn Adapter>,
    store: Arc<dyn Store>,
) -> Result<(), Report<NodeError>> {
    let clock: Arc<dyn Clock> = Arc::new(ProcessClock::default());
    let relay_listener = bind(settings.listen.relay).await?;
    let caller_listener = bind(settings.listen.caller).await?;
    let control_listener = bind(settings.sidecar.control).await?;
    let readiness_listener = bind(settings.sidecar.ready).await?;
    let admin_listener = bind(settings.listen.admin).await?;
    let mut settings = settings;
    // Port 0 stands for any free port; other nodes must learn the actual one.
    settings.listen.relay = relay_listener.local_addr().change_context(NodeError)?;
    let (n, queues) = build(settings, adapter, store, clock);
    let address = |l: &TcpListener| l.local_addr().map(|a| a.to_string()).unwrap_or_default();
    n.log.event(
        "started",
        &[
            ("node", &n.id),
            ("caller", &address(&caller_listener)),
            ("relay", &address(&relay_listener)),
            ("control", &address(&control_listener)),
            ("ready", &address(&readiness_listener)),
            ("admin", &address(&admin_listener)),
        ],
    );
    let (close, close_rx) = watch::channel(false);
    if let Some(gate) = n.gate.clone() {
        tokio::spawn(async move { gate.watch().await });
    }
    tokio::spawn(discovery::run(n.clone()));
    tokio::spawn(config::watch_store(n.clone()));
    tokio::spawn(confirm::run(n.clone()));
    tokio::spawn(config::process_updates(n.clone(), queues.config_updates));
    tokio::spawn(config_server::serve(n.clone(), queues.config_requests));
    tokio::spawn(relay::accept(n.clone(), relay_listener));
    tokio::spawn(control::monitor_target(n.clone()));
    tokio::spawn(rollout_driver::run(n.clone()));
    tokio::spawn(sample::log_summaries(n.clone()));
    tokio::spawn(quota_driver::run(n.clone()));
    let limits = n.settings().limits.clone();
    let p = n.clone();
    let serve = move |req, _| control::serve(p.clone(), req);
    let control_limits = limits.clone();
    let door = limits::door(&n, Port::Control);
    tokio::spawn(listen::serve(control_listener, control_limits, serve, door));
    let p = n.clone();
    let serve = move |req, _| admin::serve(p.clone(), req);
    let door = limits::door(&n, Port::Admin);
    tokio::spawn(listen::serve(admin_listener, limits.clone(), serve, door));
    let p = n.clone();
    let serve = move |req, _| control::serve_readiness(p.clone(), req);
    let door = limits::door(&n, Port::Ready);
    tokio::spawn(listen::serve(readiness_listener, limits, serve, door));
    let p = n.clone();
    let serve = move |req, from| entry::serve_caller(p.clone(), req, from);
    let p = n.clone();
    let limits = move || caller_limits(&p);
    let callers = tokio::spawn(listen::serve_until(
        caller_listener,
        limits,
        close_rx,
        serve,
        Some(Arc::new(EarlyRequests(n.clone()))),
        limits::door(&n, Port::Caller),
    ));
    tokio::spawn(watch_settings_file(n.clone(), source.clone()));
    wait_for_stop_signal(&n, source).await?;
    stop::stop(&n, close, callers).await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT. SIGHUP reloads the settings.
async fn wait_for_stop_signal(
    n: &Arc<Node>,
    source: settings::Source,
) -> Result<(), Report<NodeError>> {
    let mut term = signal(SignalKind::terminate()).change_context(NodeError)?;
    let mut hup = signal(SignalKind::hangup()).change_context(NodeError)?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = tokio::signal::ctrl_c() => return Ok(()),
            _ = hup.recv() => reload_settings(n, &source),
        }
    }
}

/// Reloads the settings. Addresses and ids take effect only after a restart of the process.
fn reload_settings(n: &Node, source: &settings::Source) {
    match source.read() {
        Ok(settings) if settings == **n.settings() => {}
        Ok(settings) => {
            n.shared_link.set_rate(settings.sidecar.link_mbps);
            n.inbound.set_rate(settings.sidecar.link_mbps);
            if let (Some(gate), Some(limits)) = (&n.gate, limits::budget_limits(&settings.limits)) {
                gate.set_limits(limits);
            }
            n.settings.store(Arc::new(settings));
            n.log.event("settings_reloaded", &[]);
        }
        Err(f) => {
            let first = f.items.first().map(|x| x.to_string()).unwrap_or_default();
            n.log.event("settings_refused", &[("finding", &first)]);
        }
    }
}

async fn watch_settings_file(n: Arc<Node>, source: settings::Source) {
    let modified = || {
        std::fs::metadata(&source.path)
            .and_then(|m| m.modified())
            .ok()
    };
    let mut last = modified();
    loop {
        tokio::time::sleep(SETTINGS_INTERVAL).await;
        let now = modified();
        if now != last {
            last = now;
            reload_settings(&n, &source);
        }
    }
}
