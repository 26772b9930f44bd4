//! How the sample backend server answers: work, faults and counters.

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

/// Header by which a test asks for a fault of one answer.
pub(super) const FAULT: &str = "x-test-fault";
/// Time in which a cold server becomes warm.
const WARM_UP: Duration = Duration::from_secs(10);
/// Time by which a late answer misses the deadline.
const LATE: Duration = Duration::from_millis(200);

/// Behaviour given on the command line.
#[derive(Debug, Clone)]
pub struct Behavior {
    /// Longest random addition to it.
    pub jitter: Duration,
    /// Addition right after the start; shrinks to nothing while the server warms up.
    pub cold: Duration,
    /// Part of the requests that are refused without running, in percent.
    pub shed_percent: u32,
    /// Path whose requests end the process.
    pub crash_path: Option<String>,
    /// Delay of each way between zones.
    pub zone_delay: Duration,
    /// Time by which announced and reported health lag behind.
    pub health_lag: Duration,
    /// Seed of the random generator.
    pub seed: u64,
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            jitter: Duration::ZERO,
            cold: Duration::ZERO,
            shed_percent: 0,
            crash_path: None,
            zone_delay: Duration::ZERO,
            health_lag: Duration::ZERO,
            seed: 1,
        }
    }
}

/// Counters that tests read over HTTP.
#[derive(Debug, Clone, Default, Serialize)]
struct Counters {
    runs: u64,
    finished: u64,
    cancelled: u64,
    shed: u64,
    running: u64,
    most_running: u64,
    by_key: BTreeMap<String, u64>,
}

struct Changing {
    rng: SmallRng,
    counters: Counters,
    /// States with the time at which they began, oldest first.
    states: Vec<(Instant, TargetState)>,
}

/// The running sample server.
pub(super) struct Server {
    behavior: Behavior,
    time: Duration,
    slots: AtomicU32,
    free: Semaphore,
    changing: Mutex<Changing>,
    start: Instant,
    /// Wakes the announcing task when something changed.
    pub(super) changed: Notify,
}

/// Counts a run that is dropped before its end as cancelled.
struct Run<'a> {
    server: &'a Server,
    finished: bool,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        let c = &mut self.server.changing().counters;
        c.running -= 1;
        match self.finished {
            true => c.finished += 1,
            false => c.cancelled += 1,
        }
    }
}

/// Sleeps unless the time is zero: the timer rounds even an empty sleep up to its next tick of 1 ms.
pub(super) async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn text(status: StatusCode, body: String) -> Response<Body> {
    let mut res = Response::new(full(body));
    *res.status_mut() = status;
    res
}

impl Server {
    pub(super) fn new(behavior: Behavior, time: Duration, slots: u32) -> Self {
        Self {
            time,
            slots: AtomicU32::new(slots),
            free: Semaphore::new(slots as usize),
            changing: Mutex::new(Changing {
                rng: SmallRng::seed_from_u64(behavior.seed),
                counters: Counters::default(),
                states: vec![(Instant::now(), TargetState::Ready)],
            }),
            start: Instant::now(),
            changed: Notify::new(),
            behavior,
        }
    }

    fn changing(&self) -> MutexGuard<'_, Changing> {
        self.changing.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed)
    }

    /// State as health checks see it, which may lag behind.
    pub(super) fn reported(&self) -> TargetState {
        let c = self.changing();
        let lag = self.behavior.health_lag;
        let old = c.states.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old.unwrap_or(&c.states[0]).1
    }

    fn actual(&self) -> TargetState {
        let c = self.changing();
        c.states.last().unwrap_or(&c.states[0]).1
    }

    /// Answers one request.
    pub(super) async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        if let Some(rest) = req.uri().path().strip_prefix("/.dev/") {
            return self.control(req.method().as_str(), rest);
        }
        pause(self.behavior.zone_delay).await;
        let id = req.headers().get(context::REQUEST_ID).cloned();
        let mut res = self.work(req).await;
        if let Some(id) = id {
            res.headers_mut().insert(context::REQUEST_ID, id);
        }
        pause(self.behavior.zone_delay).await;
        res
    }

    fn control(&self, method: &str, path: &str) -> Response<Body> {
        match (method, path.split_once('/').unwrap_or((path, ""))) {
            ("GET", ("stats", _)) => {
                let c = self.changing().counters.clone();
                text(
                    StatusCode::OK,
                    serde_json::to_string(&c).unwrap_or_default(),
                )
            }
            ("GET", ("runs", key)) => {
                let n = self.changing().counters.by_key.get(key).copied();
                text(StatusCode::OK, n.unwrap_or(0).to_string())
            }
            ("GET", ("health", _)) => match self.reported() {
                TargetState::Ready => text(StatusCode::OK, "ready".into()),
                other => text(StatusCode::SERVICE_UNAVAILABLE, format!("{other:?}")),
            },
            ("POST", ("slots", n)) => match n.parse::<u32>() {
                Ok(n) => self.set_slots(n),
                Err(e) => text(StatusCode::BAD_REQUEST, e.to_string()),
            },
            ("POST", ("state", s)) => match serde_json::from_value(s.into()) {
                Ok(state) => {
                    self.changing().states.push((Instant::now(), state));
                    self.changed.notify_one();
                    text(StatusCode::OK, String::new())
                }
                Err(e) => text(StatusCode::BAD_REQUEST, e.to_string()),
            },
            _ => text(StatusCode::NOT_FOUND, String::new()),
        }
    }

    fn set_slots(&self, n: u32) -> Response<Body> {
        let old = self.slots.swap(n, Ordering::Relaxed);
        match n.checked_sub(old) {
            Some(more) => self.free.add_permits(more as usize),
            // Slots in use are not taken back; the announcement alone limits new work.
            None => {
                self.free.forget_permits((old - n) as usize);
            }
        }
        self.changed.notify_one();
        text(StatusCode::OK, String::new())
    }

    /// Time of this request's work; `None` when it is shed.
    fn plan(&self) -> Option<Duration> {
        let b = &self.behavior;
        let warm = (self.start.elapsed().as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
        let mut c = self.changing();
        let shed = c.rng.random_range(0..100) < b.shed_percent;
        let jitter = b.jitter.mul_f64(c.rng.random::<f64>());
        (!shed).then(|| self.time + jitter + b.cold.mul_f64(1.0 - warm))
    }

    fn shed(&self) -> Response<Body> {
        self.changing().counters.shed += 1;
        let mut res = text(StatusCode::SERVICE_UNAVAILABLE, "not run\n".into());
        let yes = http::HeaderValue::from_static("true");
        res.headers_mut().insert(NOT_RUN, yes);
        res
    }

    fn begin(&self, key: Option<String>) -> Run<'_> {
        let c = &mut self.changing().counters;
        c.runs += 1;
        c.running += 1;
        c.most_running = c.most_running.max(c.running);
        if let Some(key) = key {
            *c.by_key.entry(key).or_default() += 1;
        }
        Run {
            server: self,
            finished: false,
        }
    }

    async fn work(&self, req: Request<Incoming>) -> Response<Body> {
        let fault: String =
            context::parse_header(req.headers(), &http::HeaderName::from_static(FAULT))
                .unwrap_or_default();
        let (Some(time), TargetState::Ready) = (self.plan(), self.actual()) else {
            return self.shed();
        };
        if fault == "shed" {
            return self.shed();
        }
        let Ok(_slot) = self.free.acquire().await else {
            return self.shed();
        };
        let key = context::parse_header(
            req.headers(),
            &http::HeaderName::from_static("idempotency-key"),
        );
        let mut run = self.begin(key);
        if self.behavior.crash_path.as_deref() == Some(req.uri().path()) {
            std::process::exit(70);
        }
        let line = format!("{} {}\n", req.method(), req.uri().path());
        let deadline: u64 = context::parse_header(req.headers(), &DEADLINE_MS).unwrap_or(0);
        let body = req.into_body().collect().await.map(|b| b.to_bytes());
        pause(time).await;
        if fault == "late" {
            tokio::time::sleep(Duration::from_millis(deadline) + LATE).await;
        }
        run.finished = true;
        let mut out = line.into_bytes();
        out.extend(body.unwrap_or_default());
        faulty(&fault, out)
    }
}

/// An answer with this fault, or a good one when the fault is unknown or concerns something else.
fn faulty(fault: &str, out: Vec<u8>) -> Response<Body> {
    let length = out.len() + 10;
    match fault {
        "truncate" => {
            let mut res = Response::new(broken_stream(out, Duration::ZERO));
            res.headers_mut()
                .insert(http::header::CONTENT_LENGTH, length.into());
            res
        }
        "truncate-chunked" => Response::new(broken_stream(out, Duration::from_millis(50))),
        "stream" => Response::new(endless(out)),
        "error" => text(StatusCode::INTERNAL_SERVER_ERROR, "error\n".into()),
        _ => Response::new(full(out)),
    }
}

/// Sends the data, waits and breaks off.
fn broken_stream(data: Vec<u8>, pause: Duration) -> Body {
    let parts = futures_util::stream::unfold(Some(data), move |data| async move {
        match data {
            Some(d) => Some((Ok(Frame::data(Bytes::from(d))), None)),
            None => {
                tokio::time::sleep(pause).await;
                let e: BodyError = "broken off on request".into();
                Some((Err(e), None))
            }
        }
    });
    StreamBody::new(parts).boxed_unsync()
}

/// Sends the data again and again.
fn endless(data: Vec<u8>) -> Body {
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
