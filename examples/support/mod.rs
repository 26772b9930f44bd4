//! Code shared by the measurement tools: child processes, HTTP calls, metrics, resource usage and tables.
//!
//! The tools start the `dragonflyquay` binary from the same build directory, so build it first with the same profile.
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
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Result of a tool; the error is a message for the user.
pub type Result<T> = std::result::Result<T, String>;

/// Path of the `dragonflyquay` binary, in the parent of this example's directory.
pub fn binary_path() -> Result<PathBuf> {
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

/// An output line of a child process with the time at which it was read.
pub type Line = (Instant, String);

/// A child process, killed when it goes out of scope.
pub struct ChildProcess {
    child: Child,
    /// Unread lines of standard output and standard error.
    pub lines: mpsc::Receiver<Line>,
}

impl ChildProcess {
    /// Starts the `dragonflyquay` binary with these arguments.
    pub fn start(args: &[&str]) -> Result<Self> {
        let mut child = Command::new(binary_path()?)
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

    /// Waits until `until` for a line that contains `text` and discards the lines before it.
    pub fn wait_line(&self, text: &str, until: Instant) -> Result<Line> {
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(remaining) {
                Ok(line) if line.1.contains(text) => return Ok(line),
                Ok(_) => {}
                Err(e) => return Err(format!("child process printed no line with {text:?}: {e}")),
            }
        }
    }

    /// Waits until the process exits and returns its output; the output is the error if the exit code is not 0.
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

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Value of `key=value` in a log line.
pub fn log_field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let start = line.find(&format!("{key}="))? + key.len() + 1;
    let value = line[start..].split_whitespace().next()?;
    Some(value.trim_matches(|c| c == '"' || c == ','))
}

/// HTTP client with its own runtime for blocking calls.
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

    /// Sends a request and returns the body of a 2xx response that arrives within 5 s.
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
        let response = async {
            let res = self.client.request(req).await.ok()?;
            let ok = res.status().is_success();
            let body = res.into_body().collect().await.ok()?.to_bytes();
            ok.then(|| String::from_utf8_lossy(&body).into_owned())
        };
        tokio::time::timeout(Duration::from_secs(5), response)
            .await
            .ok()?
    }

    pub fn get(&self, to: SocketAddr, path: &str) -> Option<String> {
        self.rt.block_on(self.call("GET", to, path, ""))
    }

    /// Gets the same path from many addresses concurrently.
    pub fn get_all(&self, to: &[SocketAddr], path: &str) -> Vec<Option<String>> {
        let calls = to.iter().map(|a| self.call("GET", *a, path, ""));
        self.rt.block_on(futures_util::future::join_all(calls))
    }

    /// Sums of the metrics of these nodes.
    pub fn metrics(&self, admin: &[SocketAddr]) -> Metrics {
        let mut all = Metrics::default();
        for text in self.get_all(admin, "/metrics").into_iter().flatten() {
            all.add(&text);
        }
        all
    }
}

/// Values by metric name and labels, summed over the nodes.
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

    /// Sum over the series of a metric whose label list contains all of `labels`, each given as `name="value"`.
    pub fn sum(&self, name: &str, labels: &[&str]) -> f64 {
        let matching = self.0.iter().filter(|(series, _)| {
            let (n, l) = series.split_once('{').unwrap_or((series, ""));
            n == name && labels.iter().all(|want| l.contains(want))
        });
        matching.map(|(_, v)| v).sum()
    }
}

impl Metrics {
    /// Sums of a metric for each value of one label.
    pub fn sum_by_label(&self, name: &str, label: &str) -> std::collections::BTreeMap<String, f64> {
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

/// CPU time and resident memory of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    pub cpu: Duration,
    pub memory_bytes: u64,
}

/// Unit of CPU time in `/proc` on the Linux platforms that the project supports: 100 ticks per second.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Page size on these platforms, the unit of resident memory in `/proc`.
const PAGE_BYTES: u64 = 4096;

/// Reads the usage from `/proc/PID/stat`; `None` if the process is gone.
pub fn process_usage(pid: u32) -> Option<Usage> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command name in parentheses may contain spaces; the fields after it are numbered from 3.
    let fields: Vec<_> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let number = |i: usize| fields.get(i - 3)?.parse::<u64>().ok();
    Some(Usage {
        cpu: CLOCK_TICK * u32::try_from(number(14)? + number(15)?).ok()?,
        memory_bytes: number(24)? * PAGE_BYTES,
    })
}
