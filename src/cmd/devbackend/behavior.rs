//! Request handling of the sample backend server: work, faults and counters.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::sync::{Notify, Semaphore};

use crate::prelude::*;
use crate::process::members::record::TargetState;
use crate::request::body::{full, Body, BodyError};
use crate::request::context::{self, DEADLINE_MS, NOT_RUN};

/// Request header with which a test selects a fault of the response.
pub(super) const FAULT_HEADER: &str = "x-test-fault";
/// Time after the start in which [`Behavior::cold_delay`] falls to zero.
const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// Addition to the deadline of a request with the fault `late`.
const LATE_MARGIN: Duration = Duration::from_millis(200);

/// Delays and faults that the command line sets.
#[derive(Debug, Clone)]
pub struct Behavior {
    /// Maximum random addition to the work time.
    pub jitter: Duration,
    /// Addition to the work time after the start; falls linearly to zero in the warm-up time.
    pub cold_delay: Duration,
    /// Percentage of requests that are shed.
    pub shed_percent: u32,
    /// Path of the requests that make the process exit.
    pub crash_path: Option<String>,
    /// One-way delay between zones.
    pub zone_delay: Duration,
    /// Delay of changes of state in announcements and health checks.
    pub health_lag: Duration,
    /// Seed of the random additions to the work time and of the choice of shed requests.
    pub seed: u64,
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            jitter: Duration::ZERO,
            cold_delay: Duration::ZERO,
            shed_percent: 0,
            crash_path: None,
            zone_delay: Duration::ZERO,
            health_lag: Duration::ZERO,
            seed: 1,
        }
    }
}

/// Counters that tests read with `GET /.dev/stats`.
#[derive(Debug, Clone, Default, Serialize)]
struct Counters {
    runs: u64,
    finished: u64,
    cancelled: u64,
    shed: u64,
    running: u64,
    /// Maximum of `running` since the start.
    most_running: u64,
    /// Runs by idempotency key.
    by_key: BTreeMap<String, u64>,
}

/// Part of a [`Server`] that its lock protects.
struct State {
    rng: SmallRng,
    counters: Counters,
    /// Target states with their start times, oldest first.
    history: Vec<(Instant, TargetState)>,
}

pub(super) struct Server {
    behavior: Behavior,
    work_time: Duration,
    slots: AtomicU32,
    free_slots: Semaphore,
    state: Mutex<State>,
    started: Instant,
    /// Notified when the state or the number of slots changes.
    pub(super) changed: Notify,
}

/// Guard of a running request. On drop it counts the request as finished or, when `finished` was not set, as cancelled.
struct RunGuard<'a> {
    server: &'a Server,
    finished: bool,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let c = &mut self.server.state().counters;
        c.running -= 1;
        match self.finished {
            true => c.finished += 1,
            false => c.cancelled += 1,
        }
    }
}

/// Sleeps unless the time is zero. The timer rounds even a sleep of zero up to its next tick of 1 ms.
pub(super) async fn sleep_nonzero(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn text_response(status: StatusCode, body: String) -> Response<Body> {
    let mut res = Response::new(full(body));
    *res.status_mut() = status;
    res
}

impl Server {
    pub(super) fn new(behavior: Behavior, work_time: Duration, slots: u32) -> Self {
        Self {
            work_time,
            slots: AtomicU32::new(slots),
            free_slots: Semaphore::new(slots as usize),
            state: Mutex::new(State {
                rng: SmallRng::seed_from_u64(behavior.seed),
                counters: Counters::default(),
                history: vec![(Instant::now(), TargetState::Ready)],
            }),
            started: Instant::now(),
            changed: Notify::new(),
            behavior,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed)
    }

    /// State that announcements and health checks report, delayed by `health_lag`.
    pub(super) fn reported_state(&self) -> TargetState {
        let s = self.state();
        let lag = self.behavior.health_lag;
        let reported = s
            .history
            .iter()
            .rev()
            .find(|(start, _)| start.elapsed() >= lag);
        reported.unwrap_or(&s.history[0]).1
    }

    fn current_state(&self) -> TargetState {
        let s = self.state();
        s.history.last().unwrap_or(&s.history[0]).1
    }

    /// Handles a control request below `/.dev/` or runs a request, with the delay between zones on both ways.
    pub(super) async fn respond(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        if let Some(control_path) = req.uri().path().strip_prefix("/.dev/") {
            return self.handle_control(req.method().as_str(), control_path);
        }
        sleep_nonzero(self.behavior.zone_delay).await;
        let id = req.headers().get(context::REQUEST_ID).cloned();
        let mut res = self.work(req).await;
        if let Some(id) = id {
            res.headers_mut().insert(context::REQUEST_ID, id);
        }
        sleep_nonzero(self.behavior.zone_delay).await;
        res
    }

    fn handle_control(&self, method: &str, path: &str) -> Response<Body> {
        match (method, path.split_once('/').unwrap_or((path, ""))) {
            ("GET", ("stats", _)) => {
                let c = self.state().counters.clone();
                text_response(
                    StatusCode::OK,
                    serde_json::to_string(&c).unwrap_or_default(),
                )
            }
            ("GET", ("runs", key)) => {
                let n = self.state().counters.by_key.get(key).copied();
                text_response(StatusCode::OK, n.unwrap_or(0).to_string())
            }
            ("GET", ("health", _)) => match self.reported_state() {
                TargetState::Ready => text_response(StatusCode::OK, "ready".into()),
                other => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{other:?}")),
            },
            ("POST", ("slots", n)) => match n.parse::<u32>() {
                Ok(n) => self.set_slots(n),
                Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
            },
            ("POST", ("state", s)) => match serde_json::from_value(s.into()) {
                Ok(state) => {
                    self.state().history.push((Instant::now(), state));
                    self.changed.notify_one();
                    text_response(StatusCode::OK, String::new())
                }
                Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
            },
            _ => text_response(StatusCode::NOT_FOUND, String::new()),
        }
    }

    fn set_slots(&self, n: u32) -> Response<Body> {
        let old = self.slots.swap(n, Ordering::Relaxed);
        match n.checked_sub(old) {
            Some(added) => self.free_slots.add_permits(added as usize),
            // Only free slots can be removed. While more are in use, the announced number alone limits new requests.
            None => {
                self.free_slots.forget_permits((old - n) as usize);
            }
        }
        self.changed.notify_one();
        text_response(StatusCode::OK, String::new())
    }

    /// Draws the work time of a request; `None` when it is to be shed.
    fn draw_work_time(&self) -> Option<Duration> {
        let b = &self.behavior;
        let warm_fraction =
            (self.started.elapsed().as_secs_f64() / WARM_UP_TIME.as_secs_f64()).min(1.0);
        let mut s = self.state();
        let shed = s.rng.random_range(0..100) < b.shed_percent;
        let jitter = b.jitter.mul_f64(s.rng.random::<f64>());
        (!shed).then(|| self.work_time + jitter + b.cold_delay.mul_f64(1.0 - warm_fraction))
    }

    fn shed(&self) -> Response<Body> {
        self.state().counters.shed += 1;
        let mut res = text_response(StatusCode::SERVICE_UNAVAILABLE, "not run\n".into());
        let value = http::HeaderValue::from_static("true");
        res.headers_mut().insert(NOT_RUN, value);
        res
    }

    fn begin_run(&self, key: Option<String>) -> RunGuard<'_> {
        let c = &mut self.state().counters;
        c.runs += 1;
        c.running += 1;
        c.most_running = c.most_running.max(c.running);
        if let Some(key) = key {
            *c.by_key.entry(key).or_default() += 1;
        }
        RunGuard {
            server: self,
            finished: false,
        }
    }

    async fn work(&self, req: Request<Incoming>) -> Response<Body> {
        let fault: String =
            context::parse_header(req.headers(), &http::HeaderName::from_static(FAULT_HEADER))
                .unwrap_or_default();
        let (Some(time), TargetState::Ready) = (self.draw_work_time(), self.current_state()) else {
            return self.shed();
        };
        if fault == "shed" {
            return self.shed();
        }
        let Ok(_slot) = self.free_slots.acquire().await else {
            return self.shed();
        };
        let key = context::parse_header(
            req.headers(),
            &http::HeaderName::from_static("idempotency-key"),
        );
        let mut run = self.begin_run(key);
        if self.behavior.crash_path.as_deref() == Some(req.uri().path()) {
            std::process::exit(70);
        }
        let request_line = format!("{} {}\n", req.method(), req.uri().path());
        let deadline: u64 = context::parse_header(req.headers(), &DEADLINE_MS).unwrap_or(0);
        let body = req.into_body().collect().await.map(|b| b.to_bytes());
        sleep_nonzero(time).await;
        if fault == "late" {
            tokio::time::sleep(Duration::from_millis(deadline) + LATE_MARGIN).await;
        }
        run.finished = true;
        let mut data = request_line.into_bytes();
        data.extend(body.unwrap_or_default());
        response_with_fault(&fault, data)
    }
}

/// Returns a response with this fault, or a normal one if the fault is unknown or applied elsewhere.
fn response_with_fault(fault: &str, data: Vec<u8>) -> Response<Body> {
    // Exceeds the length of the body, so that the response ends too early.
    let declared_length = data.len() + 10;
    match fault {
        "truncate" => {
            let mut res = Response::new(truncated_body(data, Duration::ZERO));
            res.headers_mut()
                .insert(http::header::CONTENT_LENGTH, declared_length.into());
            res
        }
        "truncate-chunked" => Response::new(truncated_body(data, Duration::from_millis(50))),
        "stream" => Response::new(endless_body(data)),
        "error" => text_response(StatusCode::INTERNAL_SERVER_ERROR, "error\n".into()),
        _ => Response::new(full(data)),
    }
}

/// Returns a body that sends the data, waits and then fails.
fn truncated_body(data: Vec<u8>, delay: Duration) -> Body {
    let parts = futures_util::stream::unfold(Some(data), move |data| async move {
        match data {
            Some(d) => Some((Ok(Frame::data(Bytes::from(d))), None)),
            None => {
                tokio::time::sleep(delay).await;
                let e: BodyError = "truncated by x-test-fault".into();
                Some((Err(e), None))
            }
        }
    });
    StreamBody::new(parts).boxed_unsync()
}

/// Returns a body that sends the data repeatedly without end.
fn endless_body(data: Vec<u8>) -> Body {
    let data = Bytes::from(data);
    let parts = futures_util::stream::unfold((), move |()| {
        let data = data.clone();
        async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            Some((Ok::<_, BodyError>(Frame::data(data)), ()))
        }
    });
    StreamBody::new(parts).boxed_unsync()
}
