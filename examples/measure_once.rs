//! Checks at-most-once execution and measures quarantine under faults, with each node as a separate process.
//!
//! `cargo build --release && cargo run --release --example measure_once`

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dragonflyquay::version::manifest::{self, Manifest};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use lexopt::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use support::fleet::Fleet;
use support::{ChildProcess, Result, WAIT_TIMEOUT};

const USAGE: &str = "\
Sends non-idempotent requests with faults while nodes are killed or frozen and the store fails. Counts runs of each key.
Then sends a request that crashes backend servers repeatedly through all nodes and counts the crashes.

Usage: measure_once [OPTIONS]

  --requests N     non-idempotent requests, each with a fault (default 10000)
  --nodes N        nodes, each with a backend server (default 8)
  --callers N      concurrent callers (default 16)
  --resends N      number of times that the crashing request is sent (default 200)
  --seed N         seed of all random choices (default 1)
  --out FILE       write the JSON results to a file instead of standard output
";

/// Longest wait of a caller for a response; a frozen node does not respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Deadline, in milliseconds, of requests to which the backend server responds late or wrongly on purpose.
const SHORT_DEADLINE_MS: &str = "300";
const MANIFEST: &str = include_str!("trust.toml");

struct Args {
    requests: usize,
    nodes: usize,
    callers: usize,
    resends: usize,
    seed: u64,
    out: Option<String>,
}

/// Results of the non-idempotent requests.
#[derive(Debug, Default, Serialize)]
struct OnceResults {
    requests: usize,
    /// Requests by the fault that was injected into them.
    faults: BTreeMap<String, usize>,
    /// Faults of nodes and of the store, by name.
    disturbances: BTreeMap<String, usize>,
    /// Outcome and reason of the last request with each key, into which no fault is injected.
    #[serde(rename = "last_answers")]
    last_responses: BTreeMap<String, usize>,
    keys_run: usize,
    /// Keys that ran more than once.
    keys_run_twice: usize,
    /// Keys whose last request was reported as not run although the key had run.
    not_run_but_ran: usize,
    /// Keys whose last request was reported as done although the key never ran.
    done_but_not_run: usize,
    seconds: f64,
}

/// Results of the crashing request.
#[derive(Debug, Default, Serialize)]
struct CrashResults {
    backend_servers: usize,
    /// Times that the crashing request was sent.
    sends: usize,
    /// Backend servers that crashed.
    crashed: usize,
    /// Sends before the first one that was rejected because of the quarantine; 0 also if none was.
    sends_before_quarantine: usize,
    /// Outcomes and reasons of the crashing request.
    #[serde(rename = "answers")]
    responses: BTreeMap<String, usize>,
    /// Outcomes and reasons of other requests before the crashing one was quarantined.
    #[serde(rename = "other_answers")]
    other_responses: BTreeMap<String, usize>,
    /// The same after the quarantine began.
    #[serde(rename = "other_answers_after_quarantine")]
    later_responses: BTreeMap<String, usize>,
}

#[derive(Debug, Serialize)]
struct Results {
    seed: u64,
    nodes: usize,
    once: OnceResults,
    crashes: CrashResults,
}

fn parse() -> Result<Option<Args>> {
    let mut a = Args {
        requests: 10_000,
        nodes: 8,
        callers: 16,
        resends: 200,
        seed: 1,
        out: None,
    };
    let mut p = lexopt::Parser::from_env();
    let text = |e: lexopt::Error| e.to_string();
    while let Some(arg) = p.next().map_err(text)? {
        match arg {
            Long("help") | Short('h') => return Ok(None),
            Long("requests") => a.requests = p.value().and_then(|v| v.parse()).map_err(text)?,
            Long("nodes") => a.nodes = p.value().and_then(|v| v.parse()).map_err(text)?,
            Long("callers") => a.callers = p.value().and_then(|v| v.parse()).map_err(text)?,
            Long("resends") => a.resends = p.value().and_then(|v| v.parse()).map_err(text)?,
            Long("seed") => a.seed = p.value().and_then(|v| v.parse()).map_err(text)?,
            Long("out") => a.out = Some(p.value().and_then(|v| v.string()).map_err(text)?),
            other => return Err(other.unexpected().to_string()),
        }
    }
    Ok(Some(a))
}

/// HTTP client of the callers and the nodes that it sends to.
#[derive(Clone)]
struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    nodes: Arc<Vec<SocketAddr>>,
}

type Headers<'a> = &'a [(&'a str, &'a str)];

impl Caller {
    fn new(nodes: Vec<SocketAddr>) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            nodes: Arc::new(nodes),
        }
    }

    /// Sends a request through node `i` modulo the number of nodes. Returns the outcome with its reason, and the body;
    /// the outcome is "no answer" when no complete response arrives.
    async fn send(
        &self,
        i: usize,
        method: &str,
        path: &str,
        headers: Headers<'_>,
    ) -> (String, String) {
        let to = self.nodes[i % self.nodes.len()];
        let req = http::Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"));
        let req = headers.iter().fold(req, |r, (k, v)| r.header(*k, *v));
        let Ok(req) = req.body(Full::new(Bytes::from_static(b"desk 4"))) else {
            return ("invalid".into(), String::new());
        };
        let response = async {
            let res = self.client.request(req).await.ok()?;
            let get = |name| {
                let value = res.headers().get(name).and_then(|v| v.to_str().ok());
                value.unwrap_or("-").to_owned()
            };
            let outcome = match get("dq-reason").as_str() {
                "-" => get("dq-outcome"),
                reason => format!("{} {reason}", get("dq-outcome")),
            };
            let body = res.into_body().collect().await.ok()?.to_bytes();
            Some((outcome, String::from_utf8_lossy(&body).trim().to_owned()))
        };
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, response).await;
        response
            .ok()
            .flatten()
            .unwrap_or(("no answer".into(), String::new()))
    }

    /// Returns a key that a node issued, or one that the caller generated.
    async fn new_key(&self, rng: &mut StdRng) -> String {
        for _ in 0..8 {
            if rng.random_bool(0.3) {
                return uuid::Uuid::now_v7().to_string();
            }
            let (outcome, key) = self
                .send(rng.random_range(0..64), "POST", "/.dq/key", &[])
                .await;
            if outcome == "done" || outcome == "-" {
                return key;
            }
        }
        uuid::Uuid::now_v7().to_string()
    }

    /// Sends a request with a fault, then the same request without one through any node. Returns the fault and the
    /// outcome of the last request.
    async fn send_faulted(&self, key: &str, rng: &mut StdRng) -> (&'static str, String) {
        let (a, b) = (rng.random_range(0..64), rng.random_range(0..64));
        let headers = [("idempotency-key", key)];
        let mut short_headers = vec![
            ("idempotency-key", key),
            ("dq-deadline-ms", SHORT_DEADLINE_MS),
        ];
        let fault = match rng.random_range(0..100) {
            0..35 => {
                let first = self.send(a, "POST", "/bookings", &headers);
                let second = self.send(b, "POST", "/bookings", &headers);
                futures_util::future::join(first, second).await;
                "duplicates at once"
            }
            35..65 => {
                let wait = Duration::from_millis(rng.random_range(0..30));
                let sent = self.send(a, "POST", "/bookings", &headers);
                let _ = tokio::time::timeout(wait, sent).await;
                "caller gone"
            }
            n => {
                let name = match n {
                    65..75 => "truncate",
                    75..85 => "truncate-chunked",
                    85..93 => "shed",
                    93..96 => "late",
                    _ => "error",
                };
                short_headers.push(("x-test-fault", name));
                self.send(a, "POST", "/bookings", &short_headers).await;
                name
            }
        };
        let mut last = self.send(b, "POST", "/bookings", &headers).await.0;
        if last == "no answer" {
            last = self.send(b + 1, "POST", "/bookings", &headers).await.0;
        }
        (fault, last)
    }
}

fn send_signal(pid: u32, name: &str) {
    let _ = Command::new("kill")
        .args(["-s", name, &pid.to_string()])
        .status();
}

/// Injects faults into nodes and the store until `stop` is set, one at a time; each lasts over any number of requests.
/// Returns how often each was injected.
fn inject_faults(fleet: &mut Fleet, seed: u64, stop: &AtomicBool) -> BTreeMap<String, usize> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut counts = BTreeMap::new();
    let sleep = |ms| std::thread::sleep(Duration::from_millis(ms));
    let set_store_faults = |f: &Fleet, text: &str| {
        f.http
            .rt
            .block_on(f.http.call("PUT", f.store, "/v1/faults", text))
    };
    while !stop.load(Ordering::Relaxed) {
        let i = rng.random_range(0..fleet.nodes.len());
        let name = match rng.random_range(0..5) {
            0 => {
                fleet.kill(i);
                sleep(rng.random_range(100..3000));
                if let Err(e) = fleet.restart(i) {
                    eprintln!("restart: {e}");
                }
                "node killed and restarted"
            }
            1 => {
                let pid = fleet.nodes[i].process.pid();
                send_signal(pid, "STOP");
                sleep(rng.random_range(500..9000));
                send_signal(pid, "CONT");
                "node frozen"
            }
            2 => {
                set_store_faults(fleet, "{\"down\":true}");
                sleep(rng.random_range(500..4000));
                set_store_faults(fleet, "{}");
                "store down"
            }
            3 => {
                set_store_faults(fleet, "{\"lose_writes\":4}");
                sleep(2000);
                "store answers lost"
            }
            _ => {
                set_store_faults(fleet, "{\"slow_ms\":900}");
                sleep(2000);
                set_store_faults(fleet, "{}");
                "store slow"
            }
        };
        *counts.entry(name.to_owned()).or_default() += 1;
        sleep(rng.random_range(200..1500));
    }
    counts
}

/// Starts `n` nodes, each with a backend server, commits the manifest and waits until every node has all targets ready.
fn start_fleet(n: usize, service: &str, options: &[&str]) -> Result<(Fleet, Vec<Backend>)> {
    let fleet = Fleet::start("trust", n, "")?;
    let mut backends = Vec::new();
    for node in &fleet.nodes {
        let admin = node.addresses.admin.to_string();
        let mut args = vec!["devbackend", "--service", service, "--node", &admin];
        args.extend(options);
        let process = ChildProcess::start(&args)?;
        let (_, line) = process.wait_line("listening ", Instant::now() + WAIT_TIMEOUT)?;
        let address = line.trim_start_matches("listening ").parse::<SocketAddr>();
        backends.push(Backend {
            address: address.map_err(|e| e.to_string())?,
            _process: process,
        });
    }
    let m: Manifest = manifest::parse(MANIFEST).map_err(|f| f.to_string())?;
    fleet.commit(&m, 0)?;
    fleet.wait_status("version", 1);
    let end = Instant::now() + WAIT_TIMEOUT;
    let ready = |f: &Fleet| {
        let members = f
            .http
            .get_all(&f.admin_addresses(), "/members")
            .into_iter()
            .flatten();
        members
            .map(|m| m.matches("\"target\":\"ready\"").count())
            .sum::<usize>()
            == n * n
    };
    while !ready(&fleet) {
        if Instant::now() > end {
            return Err("not every node has all targets ready after 60 s".into());
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    // Time for every shard of the key space to get an owner.
    std::thread::sleep(Duration::from_secs(5));
    Ok((fleet, backends))
}

/// A backend server process, killed when dropped.
struct Backend {
    address: SocketAddr,
    _process: ChildProcess,
}

/// Runs all callers to their end. Returns each key with the outcome of its last request.
async fn run_callers(
    caller: &Caller,
    args: &Args,
    once: &Mutex<OnceResults>,
) -> Vec<(String, String)> {
    let mut tasks = Vec::new();
    for c in 0..args.callers {
        let caller = caller.clone();
        let request_count =
            args.requests / args.callers + usize::from(c < args.requests % args.callers);
        let mut rng = StdRng::seed_from_u64(args.seed.wrapping_mul(1000) + c as u64);
        tasks.push(async move {
            let mut outcomes = Vec::new();
            for _ in 0..request_count {
                let key = caller.new_key(&mut rng).await;
                let (fault, last) = caller.send_faulted(&key, &mut rng).await;
                let mut o = once.lock().unwrap_or_else(|e| e.into_inner());
                *o.faults.entry(fault.to_owned()).or_default() += 1;
                *o.last_responses.entry(last.clone()).or_default() += 1;
                outcomes.push((key, last));
            }
            outcomes
        });
    }
    futures_util::future::join_all(tasks).await.concat()
}

fn measure_once(args: &Args) -> Result<OnceResults> {
    let (mut fleet, backends) = start_fleet(
        args.nodes,
        "parcel-hall",
        &["--work-ms", "3", "--jitter-ms", "10"],
    )?;
    let caller = Caller::new(fleet.nodes.iter().map(|n| n.addresses.caller).collect());
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let once = Mutex::new(OnceResults::default());
    let stop = AtomicBool::new(false);
    let start = Instant::now();
    let (sent, disturbances) = std::thread::scope(|s| {
        let injector = s.spawn(|| inject_faults(&mut fleet, args.seed, &stop));
        let sent = rt.block_on(run_callers(&caller, args, &once));
        stop.store(true, Ordering::Relaxed);
        (sent, injector.join().unwrap_or_default())
    });
    let seconds = start.elapsed().as_secs_f64();
    // A frozen or slow node may still run requests that it holds; their runs count too.
    std::thread::sleep(RESPONSE_TIMEOUT);
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for b in &backends {
        let stats = fleet
            .http
            .get(b.address, "/.dev/stats")
            .ok_or("a backend server does not return its counters")?;
        let stats: serde_json::Value = serde_json::from_str(&stats).map_err(|e| e.to_string())?;
        for (key, n) in stats["by_key"].as_object().into_iter().flatten() {
            *runs.entry(key.clone()).or_default() += n.as_u64().unwrap_or(0);
        }
    }
    let mut out = once.into_inner().unwrap_or_default();
    out.requests = sent.len();
    out.disturbances = disturbances;
    out.seconds = seconds;
    out.keys_run = runs.len();
    out.keys_run_twice = runs.values().filter(|n| **n > 1).count();
    for (key, last) in &sent {
        let ran = runs.contains_key(key);
        out.not_run_but_ran += usize::from(ran && last.starts_with("not-run"));
        out.done_but_not_run += usize::from(!ran && last.starts_with("done"));
    }
    Ok(out)
}

fn measure_crashes(args: &Args) -> Result<CrashResults> {
    let (fleet, backends) = start_fleet(
        args.nodes,
        "catalogue-desk",
        &["--crash-path", "/catalogue/boom"],
    )?;
    let caller = Caller::new(fleet.nodes.iter().map(|n| n.addresses.caller).collect());
    let mut out = CrashResults {
        backend_servers: args.nodes,
        sends: args.resends,
        ..CrashResults::default()
    };
    let rt = &fleet.http.rt;
    for i in 0..args.resends {
        let crashing = caller.send(i, "GET", "/catalogue/boom", &[]);
        let others = (0..8).map(|n| {
            let (caller, path) = (&caller, format!("/catalogue/{n}"));
            async move { caller.send(i + n, "GET", &path, &[]).await.0 }
        });
        let (crashing, other_outcomes) = rt.block_on(async {
            futures_util::future::join(crashing, futures_util::future::join_all(others)).await
        });
        let quarantined = out.responses.contains_key("not-run quarantined");
        if crashing.0 == "not-run quarantined" && !quarantined {
            out.sends_before_quarantine = i;
        }
        for outcome in other_outcomes {
            let counts = match quarantined {
                true => &mut out.later_responses,
                false => &mut out.other_responses,
            };
            *counts.entry(outcome).or_default() += 1;
        }
        *out.responses.entry(crashing.0).or_default() += 1;
    }
    let alive = |b: &&Backend| fleet.http.get(b.address, "/.dev/stats").is_some();
    out.crashed = args.nodes - backends.iter().filter(alive).count();
    Ok(out)
}

fn run() -> Result<()> {
    let Some(args) = parse()? else {
        print!("{USAGE}");
        return Ok(());
    };
    let results = Results {
        seed: args.seed,
        nodes: args.nodes,
        once: measure_once(&args)?,
        crashes: measure_crashes(&args)?,
    };
    support::figures::write_json(&results, args.out.as_deref())?;
    match results.once.keys_run_twice + results.once.not_run_but_ran {
        0 => Ok(()),
        n => Err(format!(
            "{n} keys ran twice or were reported as not run although they ran"
        )),
    }
}

fn main() {
    if let Err(e) = run() {
        eprintln!("measure_once: {e}");
        std::process::exit(1);
    }
}
