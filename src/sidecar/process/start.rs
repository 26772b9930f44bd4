//! Start of the process.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize};
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use rand::SeedableRng;
use tokio::sync::{mpsc, watch, Notify, Semaphore};

use crate::connection::gate::Gate;
use crate::logging::EventLog;
use crate::prelude::*;
use crate::process::clock::{Clock, ProcessClock};
use crate::process::node::NodeError;
use crate::settings::{self, Settings};
use crate::sidecar::adapter::Adapter;
use crate::sidecar::connection::inbound_link::SharedInbound;
use crate::sidecar::connection::links::Links;
use crate::sidecar::connection::pacing::SharedLink;
use crate::sidecar::connection::pool::Pool;
use crate::sidecar::process::fleet::discovery;
use crate::sidecar::process::fleet::members::{Members, NodeRecord};
use crate::sidecar::process::inbound::MAX_HELD_BYTES;
use crate::sidecar::process::limits::{self, LimitLog};
use crate::sidecar::process::listeners::Listeners;
use crate::sidecar::process::metrics::Metrics;
use crate::sidecar::process::node::Node;
use crate::sidecar::process::quota::driver as quota_driver;
use crate::sidecar::process::quota::driver::QuotaDriver;
use crate::sidecar::process::quota::limits::QuotaBounds;
use crate::sidecar::process::quota::policy::Quotas;
use crate::sidecar::process::rollout::driver as rollout_driver;
use crate::sidecar::process::rollout::table::Rollouts;
use crate::sidecar::process::routing::placement::Placement;
use crate::sidecar::process::sample::{self, LastConfirmed};
use crate::sidecar::process::settings_file::{wait_for_stop_signal, watch_settings_file};
use crate::sidecar::process::stop;
use crate::sidecar::process::target::control;
use crate::sidecar::process::target::departure::OwnDepartures;
use crate::sidecar::process::target::slots::Slots;
use crate::sidecar::process::target::state::OwnTarget;
use crate::sidecar::request::upload::MAX_KEPT_BYTES;
use crate::sidecar::version::config;
use crate::sidecar::version::config_server;
use crate::sidecar::version::config_server::ConfigRequest;
use crate::sidecar::version::confirm;
use crate::sidecar::version::in_force::ConfigUpdate;
use crate::store::counted::CountedStore;
use crate::store::{Era, Store};

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
    let started_at = since_epoch.unwrap_or_default().as_millis() as u64;
    let record = NodeRecord {
        node: settings.node.id.clone(),
        incarnation: started_at,
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
        started_at,
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
        reported_era: watch::channel(Era::default()).0,
        config_updates: updates,
        config_requests: requests,
        version_adopted: watch::channel(0).0,
        own_record: Mutex::new(record),
        target: Mutex::new(target),
        departures: watch::channel(OwnDepartures::default()).0,
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
    let listeners = Listeners::bind(&settings).await?;
    let mut settings = settings;
    // Port 0 stands for any free port; other nodes must learn the actual one.
    settings.listen.relay = listeners.relay.local_addr().change_context(NodeError)?;
    let (n, queues) = build(settings, adapter, store, clock);
    listeners.log_started(&n);
    let (close, close_rx) = watch::channel(false);
    spawn_tasks(&n, queues);
    let callers = listeners.serve(&n, close_rx);
    tokio::spawn(watch_settings_file(n.clone(), source.clone()));
    wait_for_stop_signal(&n, source).await?;
    stop::stop(&n, close, callers).await;
    Ok(())
}

/// Starts the tasks of a node that serve no listener.
fn spawn_tasks(n: &Arc<Node>, queues: Queues) {
    if let Some(gate) = n.gate.clone() {
        tokio::spawn(async move { gate.watch().await });
    }
    tokio::spawn(discovery::run(n.clone()));
    tokio::spawn(config::watch_store(n.clone()));
    tokio::spawn(confirm::run(n.clone()));
    tokio::spawn(config::process_updates(n.clone(), queues.config_updates));
    tokio::spawn(config_server::serve(n.clone(), queues.config_requests));
    tokio::spawn(control::monitor_target(n.clone()));
    tokio::spawn(rollout_driver::run(n.clone()));
    tokio::spawn(sample::log_summaries(n.clone()));
    tokio::spawn(quota_driver::run(n.clone()));
}
