//! Shared by the measurement tools: child processes, HTTP calls, metrics, process figures and tables.
//!
//! The tools start the product's binary from the same build folder, so build it first with the same profile.
#![allow(dead_code, unreachable_pub)]

pub mod figures;
pub mod fleet;
pub mod fleet_table;
pub mod site;

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// Longest wait for a process to start or to reach an expected state.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Error of a tool; its text says what was expected.
pub type Result<T> = std::result::Result<T, String>;

/// Path of the product's binary, beside the folder of this example.
pub fn binary() -> Result<PathBuf> {
    let exe = std::env::current_exe().map_err(|e| e.to_string())?;
    let dir = exe
        .parent()
        .and_then(Path::parent)
        .unwrap_or(Path::new("."));
    let path = dir.join("dragonflyquay");
    match path.is_file() {
        true => Ok(path),
        false => Err(format!(
            "{}: build the binary with the same profile first",
            path.display()
        )),
    }
}

/// A line of a child process with the time at which it was read.
pub type Line = (Instant, String);

/// A child process, killed when it goes out of scope.
pub struct Running {
    child: Child,
    /// Lines of both streams that no function has taken yet.
    pub lines: mpsc::Receiver<Line>,
}

impl Running {
    /// Starts the product's binary.
    pub fn start(args: &[&str]) -> Result<Self> {
        let mut child = Command::new(binary()?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| format!("cannot start {args:?}: {e}"))?;
        let (tx, lines) = mpsc::channel();
        let out = child
            .stdout
            .take()
            .map(|s| Box::new(s) as Box<dyn Read + Send>);
        let err = child
            .stderr
            .take()
            .map(|s| Box::new(s) as Box<dyn Read + Send>);
        for stream in [out, err].into_iter().flatten() {
            let tx = tx.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(stream)
                    .lines()
                    .map_while(std::result::Result::ok)
                {
                    if tx.send((Instant::now(), line)).is_err() {
                        return;
                    }
                }
            });
        }
        Ok(Self { child, lines })
    }

    /// Waits for a line that contains `text`; earlier lines are dropped.
    pub fn wait_line(&self, text: &str, until: Instant) -> Result<Line> {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(left) {
                Ok(line) if line.1.contains(text) => return Ok(line),
                Ok(_) => {}
                Err(e) => return Err(format!("no line with {text:?}: {e}")),
            }
        }
    }

    /// Waits for the end and returns all that it printed.
    pub fn finish(mut self) -> Result<String> {
        let status = self.child.wait().map_err(|e| e.to_string())?;
        let text: Vec<_> = self.lines.iter().map(|(_, l)| l).collect();
        match status.success() {
            true => Ok(text.join("\n")),
            false => Err(text.join("\n")),
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Value of a key in a log line.
pub fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let at = line.find(&format!("{key}="))? + key.len() + 1;
    let value = line[at..].split_whitespace().next()?;
    Some(value.trim_matches(|c| c == '"' || c == ','))
}

/// Blocking HTTP client.
pub struct Http {
    pub rt: tokio::runtime::Runtime,
    client: Client<HttpConnector, Full<bytes::Bytes>>,
}

impl Http {
    pub fn new() -> Result<Self> {
        let rt = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .map_err(|e| e.to_string())?;
        let client = Client::builder(TokioExecutor::new()).build_http();
        Ok(Self { rt, client })
    }

    /// Body of a 2xx answer within 5 s.
    pub async fn call(
        &self,
        method: &str,
        to: SocketAddr,
        path: &str,
        body: &str,
    ) -> Option<String> {
        let req = http::Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(bytes::Bytes::from(body.to_owned())))
            .ok()?;
        let answer = async {
            let res = self.client.request(req).await.ok()?;
            let ok = res.status().is_success();
            let body = res.into_body().collect().await.ok()?.to_bytes();
            ok.then(|| String::from_utf8_lossy(&body).into_owned())
        };
        tokio::time::timeout(Duration::from_secs(5), answer)
            .await
            .ok()?
    }

    pub fn get(&self, to: SocketAddr, path: &str) -> Option<String> {
        self.rt.block_on(self.call("GET", to, path, ""))
    }

    /// Bodies of one path at many addresses, read at once.
    pub fn get_all(&self, to: &[SocketAddr], path: &str) -> Vec<Option<String>> {
        let calls = to.iter().map(|a| self.call("GET", *a, path, ""));
        self.rt.block_on(futures_util::future::join_all(calls))
    }

    /// Sum of the metrics of many nodes.
    pub fn metrics(&self, admin: &[SocketAddr]) -> Metrics {
        let mut all = Metrics::default();
        for text in self.get_all(admin, "/metrics").into_iter().flatten() {
            all.add(&text);
        }
        all
    }
}

/// Metrics in the Prometheus text format, summed.
#[derive(Debug, Clone, Default)]
pub struct Metrics(std::collections::BTreeMap<String, f64>);

impl Metrics {
    fn add(&mut self, text: &str) {
        for line in text.lines().filter(|l| !l.starts_with('#')) {
            if let Some((name, value)) = line.rsplit_once(' ') {
                *self.0.entry(name.to_owned()).or_default() += value.parse().unwrap_or(0.0);
            }
        }
    }

    /// Sum over the series of a metric whose labels contain all these texts.
    pub fn sum(&self, name: &str, labels: &[&str]) -> f64 {
        let matching = self.0.iter().filter(|(series, _)| {
            let (n, l) = series.split_once('{').unwrap_or((series, ""));
            n == name && labels.iter().all(|want| l.contains(want))
        });
        matching.map(|(_, v)| v).sum()
    }
}

impl Metrics {
    /// Sums of a metric by the value of one label.
    pub fn by(&self, name: &str, label: &str) -> std::collections::BTreeMap<String, f64> {
        let mut out = std::collections::BTreeMap::new();
        for (series, value) in &self.0 {
            let (n, labels) = series.split_once('{').unwrap_or((series, ""));
            let found = labels
                .split(&format!("{label}=\""))
                .nth(1)
                .and_then(|l| l.split('"').next());
            if let (true, Some(found)) = (n == name, found) {
                *out.entry(found.to_owned()).or_default() += value;
            }
        }
        out
    }
}

/// CPU time and resident memory of an own child.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    pub cpu: Duration,
    pub memory_bytes: u64,
}

/// Clock ticks per second and page size in `/proc` on the Linux platforms that the project supports.
const TICK: Duration = Duration::from_millis(10);
const PAGE_BYTES: u64 = 4096;

/// Reads `/proc/PID/stat`.
pub fn usage(pid: u32) -> Option<Usage> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command name in parentheses may contain spaces; the fields after it are numbered from 3.
    let rest: Vec<_> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let number = |i: usize| rest.get(i - 3)?.parse::<u64>().ok();
    Some(Usage {
        cpu: TICK * u32::try_from(number(14)? + number(15)?).ok()?,
        memory_bytes: number(24)? * PAGE_BYTES,
    })
}
