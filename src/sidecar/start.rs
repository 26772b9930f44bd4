//! Start and end of the process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize};
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use rand::SeedableRng;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};

use super::adapter::Adapter;
use super::link::Links;
use super::members::{Members, NodeRecord};
use super::metrics::Metrics;
use super::node::{ConfigHint, Node, Phase};
use super::placement::Placement;
use super::pool::Pool;
use super::sample::{self, Confirmed};
use super::slots::Slots;
use super::target::OwnTarget;
use super::{admin, config, control, discovery, entry, relay};
use crate::connection::listen;
use crate::logging::EventLog;
use crate::prelude::*;
use crate::process::clock::{Clock, ProcessClock};
use crate::process::node::NodeError;
use crate::settings::{self, LimitSettings, Settings};
use crate::store::counted::Counted;
use crate::store::Store;

/// Time after the order to end in which callers may still begin requests: two missed readiness checks a second apart,
/// and the way to the callers.
const LEAVING_TIME: Duration = Duration::from_millis(2300);
/// Part of the grace time that is left when the process ends at the latest.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Interval in which the end of all requests is looked for.
const POLL: Duration = Duration::from_millis(20);
/// Interval in which the settings file is looked at.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);
/// Time for taking the own record out of the store.
const LEAVE_TIME: Duration = Duration::from_millis(300);

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<NodeError>> {
    TcpListener::bind(address)
        .await
        .change_context(NodeError)
        .attach_with(|| format!("cannot listen on {address}"))
}

/// Builds the shared state.
pub fn build(
    settings: Settings,
    adapter: Arc<dyn Adapter>,
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
) -> (Arc<Node>, mpsc::UnboundedReceiver<ConfigHint>) {
    let s = &settings.sidecar;
    let (hints, hints_rx) = mpsc::unbounded_channel();
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let record = NodeRecord {
        node: settings.node.id.clone(),
        incarnation: since.unwrap_or_default().as_millis() as u64,
        sequence: 1,
        az: settings.node.az.clone(),
        relay: s.advertise.unwrap_or(settings.listen.relay),
        service: s.service.clone(),
        target: None,
        leaving: false,
    };
    let target = OwnTarget::new(
        s.service.clone(),
        s.target,
        Duration::from_millis(s.heartbeat_ms),
        Duration::from_millis(s.drain_ms) / 2,
    );
    let metrics = Metrics::default();
    let store = Counted::new(store, &metrics.store_calls, &metrics.store_waiting);
    let node = Node {
        id: settings.node.id.clone(),
        service: s.service.clone(),
        adapter,
        store: Arc::new(store),
        metrics,
        confirmed: Confirmed::default(),
        log: EventLog::default(),
        routes: ArcSwapOption::empty(),
        slots: Arc::new(Slots::new(clock.clone())),
        pool: Pool::new(s.target),
        links: Links::default(),
        changed: watch::channel(0).0,
        fresh: AtomicBool::new(false),
        stored_version: AtomicU64::new(0),
        history: Mutex::default(),
        patches: Mutex::default(),
        announce: Notify::new(),
        store_back: watch::channel(0).0,
        config_hints: hints,
        own: Mutex::new(record),
        target: Mutex::new(target),
        members: Mutex::new(Members::new(settings.node.id.clone())),
        place: Mutex::new(Placement::new(settings.node.az.clone())),
        split: Mutex::default(),
        fair: Mutex::default(),
        budgets: Mutex::default(),
        rng: Mutex::new(rand::rngs::SmallRng::seed_from_u64(rand::random())),
        phase: AtomicU8::new(0),
        flights: AtomicUsize::new(0),
        joined: AtomicBool::new(false),
        clock,
        settings: ArcSwap::from_pointee(settings),
    };
    (Arc::new(node), hints_rx)
}

/// Limits of the caller listener. Its idle timeout also bounds the time for headers, and callers may reuse a connection
/// for most of it, so it must not be shorter than what the configuration promises them.
fn caller_limits(n: &Node) -> LimitSettings {
    let base = n.settings().limits.clone();
    let table = n.routes.load();
    let idle = table.as_ref().map(|t| t.limits.idle_timeout);
    LimitSettings {
        header_timeout_ms: idle.map_or(base.header_timeout_ms, |t| t.as_millis() as u64),
        ..base
    }
}

/// Runs a node until the process is told to stop. `path` is the settings file, which is read again when it changes.
///
/// # Errors
///
/// A listener could not be opened.
pub async fn run(
    settings: Settings,
    path: PathBuf,
    adapter: Arc<dyn Adapter>,
    store: Arc<dyn Store>,
) -> Result<(), Report<NodeError>> {
    let clock: Arc<dyn Clock> = Arc::new(ProcessClock::default());
    let links = bind(settings.listen.relay).await?;
    let caller = bind(settings.listen.caller).await?;
    let control_listener = bind(settings.sidecar.control).await?;
    let ready = bind(settings.sidecar.ready).await?;
    let mut settings = settings;
    // Port 0 took a free one, and other nodes have to learn which.
    settings.listen.relay = links.local_addr().change_context(NodeError)?;
    let (n, hints) = build(settings, adapter, store, clock);
    let admin_address = n.settings().listen.admin;
    let admin =
        admin::start(admin_address, n.clone()).map_err(|e| Report::new(NodeError).attach(e))?;
    let text = |l: &TcpListener| l.local_addr().map(|a| a.to_string()).unwrap_or_default();
    n.log.event(
        "started",
        &[
            ("node", &n.id),
            ("caller", &text(&caller)),
            ("relay", &text(&links)),
            ("control", &text(&control_listener)),
            ("ready", &text(&ready)),
            ("admin", &admin.local_addr().to_string()),
        ],
    );
    let (close, closing) = watch::channel(false);
    tokio::spawn(discovery::run(n.clone()));
    tokio::spawn(config::follow(n.clone()));
    tokio::spawn(config::follow_peers(n.clone(), hints));
    tokio::spawn(relay::accept(n.clone(), links));
    tokio::spawn(control::watch(n.clone()));
    tokio::spawn(sample::summarize(n.clone()));
    let limits = n.settings().limits.clone();
    let p = n.clone();
    let serve = move |req, _| control::serve(p.clone(), req);
    let fixed = limits.clone();
    tokio::spawn(listen::serve(control_listener, fixed, serve));
    let p = n.clone();
    let serve = move |req, _| control::ready(p.clone(), req);
    tokio::spawn(listen::serve(ready, limits, serve));
    let p = n.clone();
    let serve = move |req, _| entry::serve(p.clone(), req);
    let p = n.clone();
    let limits = move || caller_limits(&p);
    let callers = tokio::spawn(listen::serve_until(caller, limits, closing, serve));
    tokio::spawn(reread(n.clone(), path.clone()));
    wait_for_end(&n, path).await?;
    stop(&n, close, callers).await;
    Ok(())
}

/// Waits until the process is told to end; SIGHUP rereads the settings.
async fn wait_for_end(n: &Arc<Node>, path: PathBuf) -> Result<(), Report<NodeError>> {
    let mut term = signal(SignalKind::terminate()).change_context(NodeError)?;
    let mut hup = signal(SignalKind::hangup()).change_context(NodeError)?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = tokio::signal::ctrl_c() => return Ok(()),
            _ = hup.recv() => load_settings(n, &path),
        }
    }
}

/// Takes over settings that a running process can change. Addresses and names need a new process.
fn load_settings(n: &Node, path: &std::path::Path) {
    match settings::read(path) {
        Ok(new) if new == **n.settings() => {}
        Ok(new) => {
            n.settings.store(Arc::new(new));
            n.log.event("settings_reloaded", &[]);
        }
        Err(f) => {
            let first = f.items.first().map(|x| x.to_string()).unwrap_or_default();
            n.log.event("settings_refused", &[("finding", &first)]);
        }
    }
}

async fn reread(n: Arc<Node>, path: PathBuf) {
    let modified = || std::fs::metadata(&path).and_then(|m| m.modified()).ok();
    let mut last = modified();
    loop {
        tokio::time::sleep(SETTINGS_INTERVAL).await;
        let now = modified();
        if now != last {
            last = now;
            load_settings(&n, &path);
        }
    }
}

/// Ends in order: callers go elsewhere first, then other nodes are refused, then what is in progress ends.
async fn stop(n: &Arc<Node>, close: watch::Sender<bool>, callers: tokio::task::JoinHandle<()>) {
    let start = n.clock.now();
    let grace = Duration::from_secs(n.settings().sidecar.grace_s);
    let last = start + grace.saturating_sub(GRACE_MARGIN);
    n.set_phase(Phase::Leaving);
    n.log.event("stopping", &[]);
    tokio::time::sleep(LEAVING_TIME.min(grace / 2)).await;
    n.set_phase(Phase::Closing);
    close.send_replace(true);
    let left = discovery::leave(n);
    let _ = tokio::time::timeout(LEAVE_TIME, left).await;
    while (n.in_flight() > 0 || !n.slots.is_empty()) && n.clock.now() < last {
        tokio::time::sleep(POLL).await;
    }
    let rest = last.saturating_sub(n.clock.now()).min(LEAVE_TIME);
    let _ = tokio::time::timeout(rest, callers).await;
    let took = n.clock.now().saturating_sub(start).as_millis().to_string();
    let cut = n.in_flight().to_string();
    n.log.event("stopped", &[("ms", &took), ("cut", &cut)]);
}
