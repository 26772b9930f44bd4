//! Local backend server of a running node: drives [`Monitor`], [`Executions`] and [`Drain`].

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};

use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::digest::Digest;
use crate::prelude::*;
use crate::process::lifecycle::drain::{self, Drain, Phase};
use crate::process::lifecycle::stop;
use crate::process::members::notices::Notice;
use crate::process::members::record::TargetState;
use crate::process::node::Process;
use crate::process::target::monitor::{self, BackendAnnouncement, Monitor};
use crate::process::target::quarantine::{ExecutionEnd, ExecutionId, Executions, StartDecision};
use crate::request::reason::{Failure, Outcome, Reason};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time-out for opening a connection to a backend server that may have crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of probes of a backend server that may have crashed. More than one is needed, because the connections of a
/// process that is stopping can break shortly before its listener closes.
const PROBE_COUNT: u32 = 3;
const PROBE_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which requests with a lost connection check whether the probe has finished.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// State of the local backend server and of its planned stop.
#[derive(Default)]
pub struct Backend {
    monitor: Mutex<Monitor>,
    executions: Mutex<Executions>,
    drain: Mutex<Drain>,
    /// Wakes suspects that wait, so that they check again whether they may start.
    recheck: Notify,
    /// Number of accepted requests that have not finished.
    busy: AtomicUsize,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

/// A request that the admitting node has accepted, until its response has finished or was abandoned.
pub struct AdmittedRequest {
    p: Arc<Process>,
    id: Option<ExecutionId>,
    sent: bool,
}

impl Backend {
    /// Address of the backend server, if it can run requests.
    pub fn address(&self, now: Now) -> Option<SocketAddr> {
        lock(&self.monitor).address(now)
    }

    /// Phase of the planned stop; [`Phase::Serving`] if there is none.
    pub fn phase(&self) -> Phase {
        lock(&self.drain).phase()
    }

    /// Number of accepted requests that have not finished.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    /// Whether responses ask the caller to close the connection.
    pub fn closes_connections(&self) -> bool {
        !matches!(self.phase(), Phase::Serving | Phase::Announced)
    }
}

/// Handles an announcement. Returns whether the backend server may stop.
pub fn handle_announcement(p: &Arc<Process>, a: BackendAnnouncement) -> bool {
    let now = p.clock.now();
    let (address, incarnation) = (a.address, a.incarnation);
    let mut m = lock(&p.local_backend.monitor);
    let restarted = m.incarnation().is_some_and(|i| i != incarnation);
    let mut actions = Vec::new();
    if restarted && lock(&p.local_backend.drain).resume(now) {
        actions.extend(m.set_draining(false, now));
        p.ownership.resume();
        spdlog::info!("event=drain_ended", kv: { incarnation });
    }
    actions.extend(m.on_announcement(a, now));
    drop(m);
    p.set_backend(address);
    run_monitor_actions(p, actions);
    p.local_backend.phase() == Phase::Drained
}

fn run_monitor_actions(p: &Arc<Process>, actions: Vec<monitor::Action>) {
    for a in actions {
        match a {
            monitor::Action::Publish(t) => p.set_target(t),
            monitor::Action::Probe(address) => {
                tokio::spawn(probe(p.clone(), address));
            }
            monitor::Action::Crashed(incarnation) => handle_crash(p, incarnation),
        }
    }
}

async fn probe(p: Arc<Process>, address: SocketAddr) {
    let mut reachable = true;
    for i in 0..PROBE_COUNT {
        if i > 0 {
            tokio::time::sleep(PROBE_PAUSE).await;
        }
        let connect = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        // A time-out means that the server is slow or overloaded, not that it has stopped.
        if matches!(connect, Ok(Err(_))) {
            reachable = false;
            break;
        }
    }
    let actions = lock(&p.local_backend.monitor).on_probe_result(address, reachable, p.clock.now());
    run_monitor_actions(&p, actions);
}

fn handle_crash(p: &Arc<Process>, incarnation: u64) {
    let node = p.settings.node.id.as_bytes();
    let id = Digest::of_parts(&[node, &incarnation.to_be_bytes()]).short();
    let notices: Vec<_> = p.notices.suspects(|s, now| {
        let crashes = lock(&p.local_backend.executions).attribute_crash(id, s, now);
        let suspects = crashes
            .into_iter()
            .filter_map(|(f, c)| s.record_crash(f, c, now));
        suspects.map(Notice::Suspect).collect()
    });
    spdlog::warn!("event=backend_crashed", kv: { incarnation, in_flight = notices.len() });
    p.metrics.crashes.inc();
    p.send_notices(notices);
    p.local_backend.recheck.notify_waiters();
}

/// Accepts a request on the admitting node. A suspect waits while another suspect is running here.
///
/// # Errors
///
/// The request was not run: the node is draining, the request is quarantined, or another suspect was still running
/// after half of the time left until the deadline.
pub async fn admit(
    p: &Arc<Process>,
    fingerprint: Digest,
    deadline: Now,
) -> Result<AdmittedRequest, Failure> {
    p.local_backend.busy.fetch_add(1, Ordering::SeqCst);
    // Dropping `admitted` decrements the count. Counting before the check ensures that no stop misses the request.
    let mut admitted = AdmittedRequest {
        p: p.clone(),
        id: None,
        sent: false,
    };
    let now = p.clock.now();
    let draining_for = lock(&p.local_backend.monitor).draining_for(now);
    let propagated = draining_for.is_some_and(|t| t >= drain::PROPAGATION_TIME);
    if propagated || !lock(&p.local_backend.drain).accepts() {
        return Err(Failure::not_run(Reason::Draining));
    }
    // The other half of the time is left for an attempt at another target.
    let max_wait = deadline.saturating_sub(now) / 2;
    loop {
        let notified = p.local_backend.recheck.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        let decision = p
            .notices
            .suspects(|s, now| lock(&p.local_backend.executions).start(fingerprint, s, now));
        match decision {
            StartDecision::Run(id) => {
                admitted.id = Some(id);
                return Ok(admitted);
            }
            StartDecision::Reject => return Err(Failure::not_run(Reason::Quarantined)),
            StartDecision::Wait => {}
        }
        let remaining = (now + max_wait).saturating_sub(p.clock.now());
        if tokio::time::timeout(remaining, notified).await.is_err() {
            return Err(Failure::not_run(Reason::SuspectBusy));
        }
    }
}

impl AdmittedRequest {
    /// Marks the request as sent, immediately before it is sent to the backend server.
    ///
    /// # Errors
    ///
    /// The request was not run, because it became quarantined or suspected while it waited.
    pub fn mark_sent(&mut self) -> Result<(), Failure> {
        let id = self.id.unwrap_or_default();
        let p = &self.p;
        let decision = p
            .notices
            .suspects(|s, now| lock(&p.local_backend.executions).mark_sent(id, s, now));
        match decision {
            StartDecision::Run(_) => {
                self.sent = true;
                Ok(())
            }
            StartDecision::Wait => Err(Failure::not_run(Reason::SuspectBusy)),
            StartDecision::Reject => Err(Failure::not_run(Reason::Quarantined)),
        }
    }

    /// Reports the response of the backend server or the failure of the attempt. After a lost connection it waits until
    /// the probe has shown whether the backend server crashed, so that the next attempt treats the request as a
    /// suspect.
    pub async fn finish(&mut self, result: Result<(), Failure>) {
        let p = self.p.clone();
        let now = p.clock.now();
        match result {
            Ok(()) => {
                lock(&p.local_backend.monitor).on_response(now);
                self.end(ExecutionEnd::Completed);
            }
            Err(f) => {
                let end = match f.outcome {
                    Outcome::NotRun => ExecutionEnd::Inconclusive,
                    _ => ExecutionEnd::ConnectionLost,
                };
                self.end(end);
                if matches!(
                    f.reason,
                    Reason::Lost | Reason::NotSent | Reason::BadResponse
                ) {
                    let actions = lock(&p.local_backend.monitor).on_connection_error(now);
                    run_monitor_actions(&p, actions);
                    while lock(&p.local_backend.monitor).is_probing() {
                        tokio::time::sleep(PROBE_POLL_INTERVAL).await;
                    }
                }
            }
        }
    }

    fn end(&mut self, end: ExecutionEnd) {
        let Some(id) = self.id.take() else {
            return;
        };
        let p = &self.p;
        let cleared = p.notices.suspects(|s, now| {
            let fingerprint = lock(&p.local_backend.executions).end(id, end, s, now)?;
            s.clear(&fingerprint, now)
        });
        if let Some(s) = cleared {
            p.send_notices(vec![Notice::Suspect(s)]);
        }
        p.local_backend.recheck.notify_waiters();
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        // A request that was sent and then abandoned by its caller may still crash the backend server.
        let end = match self.sent {
            true => ExecutionEnd::ConnectionLost,
            false => ExecutionEnd::Inconclusive,
        };
        self.end(end);
        self.p.local_backend.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Starts a planned stop; does nothing if one has already started.
pub fn begin_drain(p: &Arc<Process>) {
    let actions = lock(&p.local_backend.drain).begin(p.clock.now());
    if !actions.is_empty() {
        spdlog::info!("event=drain_started");
    }
    run_drain_actions(p, actions);
}

fn run_drain_actions(p: &Arc<Process>, actions: Vec<drain::Action>) {
    for a in actions {
        match a {
            drain::Action::MarkDraining => {
                let actions = lock(&p.local_backend.monitor).set_draining(true, p.clock.now());
                run_monitor_actions(p, actions);
            }
            drain::Action::ReleaseRanges => p.ownership.release(),
            drain::Action::CloseConnections => spdlog::info!("event=drain_closing"),
            drain::Action::Finish => {
                spdlog::info!("event=drained");
                tokio::spawn(stop::remove_stop(p.clone()));
            }
        }
    }
}

/// Waits until the planned stop has completed.
pub async fn wait_drained(p: &Arc<Process>) {
    while p.local_backend.phase() != Phase::Drained {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Ticks the state machines until the process ends.
pub async fn run(p: Arc<Process>) {
    loop {
        let now = p.clock.now();
        let actions = lock(&p.local_backend.monitor).tick(now);
        run_monitor_actions(&p, actions);
        lock(&p.local_backend.executions).expire(now);
        if p.local_backend.phase() != Phase::Serving {
            let released = p.ownership.is_released();
            let actions = lock(&p.local_backend.drain).tick(now, p.local_backend.busy(), released);
            run_drain_actions(&p, actions);
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Wakes suspects that wait, after one was cleared.
pub fn wake_suspects(p: &Process) {
    p.local_backend.recheck.notify_waiters();
}

/// State of the target, for operators.
pub fn target_state(p: &Process) -> TargetState {
    lock(&p.local_backend.monitor).state(p.clock.now())
}
