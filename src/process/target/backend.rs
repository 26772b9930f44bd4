//! The backend server beside a running node: drives [`Monitor`], [`Flights`] and [`Drain`].

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};

use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::digest::Digest;
use crate::prelude::*;
use crate::process::life::drain::{self, Drain, Phase};
use crate::process::life::stop;
use crate::process::members::notices::Notice;
use crate::process::members::record::TargetState;
use crate::process::node::Process;
use crate::process::target::monitor::{self, Announced, Monitor};
use crate::process::target::quarantine::{FlightEnd, FlightId, Flights, Start};
use crate::request::reason::{Failure, Outcome, Reason};

/// Interval in which time passes for the state machines.
const TICK: Duration = Duration::from_millis(100);
/// Time to open a connection to a backend server that is suspected to have crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes of a backend server that is suspected to have crashed. While a process ends, its connections can break a
/// moment before its listener closes.
const PROBES: u32 = 3;
/// Pause between two probes.
const PROBE_PAUSE: Duration = Duration::from_millis(20);
/// Interval in which requests with a broken connection look for the result of a probe.
const PROBE_POLL: Duration = Duration::from_millis(2);

/// State of the backend server and of the planned stop.
#[derive(Default)]
pub struct Backend {
    monitor: Mutex<Monitor>,
    flights: Mutex<Flights>,
    drain: Mutex<Drain>,
    freed: Notify,
    busy: AtomicUsize,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

/// A request that the admitting node has accepted, until its answer has ended or was given up.
pub struct Pass {
    p: Arc<Process>,
    id: Option<FlightId>,
    sent: bool,
}

impl Backend {
    /// Address of the backend server while it can run requests.
    pub fn address(&self, now: Now) -> Option<SocketAddr> {
        lock(&self.monitor).backend(now)
    }

    /// Step of the planned stop.
    pub fn phase(&self) -> Phase {
        lock(&self.drain).phase()
    }

    /// Accepted requests that have not finished.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    /// Whether answers ask for the end of their connection.
    pub fn closing(&self) -> bool {
        !matches!(self.phase(), Phase::Serving | Phase::Announced)
    }
}

/// Takes an announcement; returns whether the backend server may stop.
pub fn announced(p: &Arc<Process>, a: Announced) -> bool {
    let now = p.clock.now();
    let (address, incarnation) = (a.address, a.incarnation);
    let mut m = lock(&p.local_backend.monitor);
    let fresh = m.incarnation().is_some_and(|i| i != incarnation);
    let mut out = Vec::new();
    if fresh && lock(&p.local_backend.drain).resume(now) {
        out.extend(m.drain(false, now));
        p.ownership.resume();
        spdlog::info!("event=drain_ended", kv: { incarnation });
    }
    out.extend(m.announced(a, now));
    drop(m);
    p.set_backend(address);
    apply(p, out);
    p.local_backend.phase() == Phase::Drained
}

fn apply(p: &Arc<Process>, actions: Vec<monitor::Action>) {
    for a in actions {
        match a {
            monitor::Action::Publish(t) => p.set_target(t),
            monitor::Action::Probe(address) => {
                tokio::spawn(probe(p.clone(), address));
            }
            monitor::Action::Crashed(incarnation) => crashed(p, incarnation),
        }
    }
}

async fn probe(p: Arc<Process>, address: SocketAddr) {
    let mut opened = true;
    for i in 0..PROBES {
        if i > 0 {
            tokio::time::sleep(PROBE_PAUSE).await;
        }
        let open = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        // A time-out says that the server is slow or overloaded, not that it ended.
        if matches!(open, Ok(Err(_))) {
            opened = false;
            break;
        }
    }
    let out = lock(&p.local_backend.monitor).probed(address, opened, p.clock.now());
    apply(&p, out);
}

fn crashed(p: &Arc<Process>, incarnation: u64) {
    let node = p.settings.node.id.as_bytes();
    let id = Digest::of_parts(&[node, &incarnation.to_be_bytes()]).short();
    let notices: Vec<_> = p.notices.suspects(|s, now| {
        let found = lock(&p.local_backend.flights).crashed(id, s, now);
        let merged = found.into_iter().filter_map(|(f, c)| s.crashed(f, c, now));
        merged.map(Notice::Suspect).collect()
    });
    spdlog::warn!("event=backend_crashed", kv: { incarnation, in_flight = notices.len() });
    p.metrics.crashes.inc();
    p.send_notices(notices);
    p.local_backend.freed.notify_waiters();
}

/// Admitting node: accepts a request, or waits while another suspect runs here and this one is a suspect.
///
/// # Errors
///
/// A planned stop, a quarantined request, or the deadline while waiting. It was not run.
pub async fn admit(p: &Arc<Process>, f: Digest, deadline: Now) -> Result<Pass, Failure> {
    p.local_backend.busy.fetch_add(1, Ordering::SeqCst);
    // From here on the drop of `pass` undoes the count, so that a stop cannot miss a request between check and count.
    let mut pass = Pass {
        p: p.clone(),
        id: None,
        sent: false,
    };
    let now = p.clock.now();
    let leaving = lock(&p.local_backend.monitor).leaving(now);
    let gone = leaving.is_some_and(|t| t >= drain::SPREAD_TIME);
    if gone || !lock(&p.local_backend.drain).accepts() {
        return Err(Failure::not_run(Reason::Draining));
    }
    // The other half of the time is left for another target.
    let half = deadline.saturating_sub(now) / 2;
    loop {
        let freed = p.local_backend.freed.notified();
        tokio::pin!(freed);
        freed.as_mut().enable();
        let start = p
            .notices
            .suspects(|s, now| lock(&p.local_backend.flights).start(f, s, now));
        match start {
            Start::Run(id) => {
                pass.id = Some(id);
                return Ok(pass);
            }
            Start::Refused => return Err(Failure::not_run(Reason::Quarantined)),
            Start::Wait => {}
        }
        let left = (now + half).saturating_sub(p.clock.now());
        if tokio::time::timeout(left, freed).await.is_err() {
            return Err(Failure::not_run(Reason::SuspectBusy));
        }
    }
}

impl Pass {
    /// The request is about to be sent to the backend server.
    ///
    /// # Errors
    ///
    /// It became quarantined or suspected while it waited. It was not run.
    pub fn send(&mut self) -> Result<(), Failure> {
        let id = self.id.unwrap_or_default();
        let p = &self.p;
        let start = p
            .notices
            .suspects(|s, now| lock(&p.local_backend.flights).sent(id, s, now));
        match start {
            Start::Run(_) => {
                self.sent = true;
                Ok(())
            }
            Start::Wait => Err(Failure::not_run(Reason::SuspectBusy)),
            Start::Refused => Err(Failure::not_run(Reason::Quarantined)),
        }
    }

    /// The backend server answered, or the attempt failed. After a broken connection it waits until it is known whether
    /// the backend server crashed, so that the next attempt knows the request as a suspect.
    pub async fn ended(&mut self, result: Result<(), Failure>) {
        let p = self.p.clone();
        let now = p.clock.now();
        match result {
            Ok(()) => {
                lock(&p.local_backend.monitor).answered(now);
                self.end(FlightEnd::Completed);
            }
            Err(f) => {
                let end = match f.outcome {
                    Outcome::NotRun => FlightEnd::Open,
                    _ => FlightEnd::Lost,
                };
                self.end(end);
                if matches!(f.reason, Reason::Lost | Reason::NotSent | Reason::BadAnswer) {
                    let out = lock(&p.local_backend.monitor).broke(now);
                    apply(&p, out);
                    while lock(&p.local_backend.monitor).is_probing() {
                        tokio::time::sleep(PROBE_POLL).await;
                    }
                }
            }
        }
    }

    fn end(&mut self, end: FlightEnd) {
        let Some(id) = self.id.take() else {
            return;
        };
        let p = &self.p;
        let cleared = p.notices.suspects(|s, now| {
            let fingerprint = lock(&p.local_backend.flights).end(id, end, s, now)?;
            s.clear(&fingerprint, now)
        });
        if let Some(s) = cleared {
            p.send_notices(vec![Notice::Suspect(s)]);
        }
        p.local_backend.freed.notify_waiters();
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        // A request that was sent and then given up by its caller may still crash the backend server.
        let end = match self.sent {
            true => FlightEnd::Lost,
            false => FlightEnd::Open,
        };
        self.end(end);
        self.p.local_backend.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Starts a planned stop.
pub fn begin_drain(p: &Arc<Process>) {
    let actions = lock(&p.local_backend.drain).begin(p.clock.now());
    if !actions.is_empty() {
        spdlog::info!("event=drain_started");
    }
    perform(p, actions);
}

fn perform(p: &Arc<Process>, actions: Vec<drain::Action>) {
    for a in actions {
        match a {
            drain::Action::MarkDraining => {
                let out = lock(&p.local_backend.monitor).drain(true, p.clock.now());
                apply(p, out);
            }
            drain::Action::HandOver => p.ownership.retire(),
            drain::Action::CloseConnections => spdlog::info!("event=drain_closing"),
            drain::Action::Finish => {
                spdlog::info!("event=drained");
                tokio::spawn(stop::forget(p.clone()));
            }
        }
    }
}

/// Waits until the planned stop has finished.
pub async fn drained(p: &Arc<Process>) {
    while p.local_backend.phase() != Phase::Drained {
        tokio::time::sleep(TICK).await;
    }
}

/// Lets time pass for ever.
pub async fn run(p: Arc<Process>) {
    loop {
        let now = p.clock.now();
        let out = lock(&p.local_backend.monitor).tick(now);
        apply(&p, out);
        lock(&p.local_backend.flights).expire(now);
        if p.local_backend.phase() != Phase::Serving {
            let handed = p.ownership.handed_over();
            let out = lock(&p.local_backend.drain).tick(now, p.local_backend.busy(), handed);
            perform(&p, out);
        }
        tokio::time::sleep(TICK).await;
    }
}

/// Lets suspects that wait look again, after one was cleared.
pub fn wake(p: &Process) {
    p.local_backend.freed.notify_waiters();
}

/// State of the target for operators.
pub fn target_state(p: &Process) -> TargetState {
    lock(&p.local_backend.monitor).state(p.clock.now())
}
