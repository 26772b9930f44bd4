//! Helpers for tests that run the `dragonflyquay` binary: a temporary folder, child processes and HTTP requests.
#![allow(dead_code, unreachable_pub)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Longest wait for a condition. It is long, so that tests also pass on a slow machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A temporary folder in which the `dragonflyquay` binary is run.
pub struct Workdir {
    dir: tempfile::TempDir,
}

/// A child process that is killed when dropped.
pub struct ChildProcess {
    child: Child,
    lines: mpsc::Receiver<String>,
}

/// Addresses on which a node listens.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub caller: SocketAddr,
    pub relay: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

/// Response to a request sent by [`http`].
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    pub body: String,
}

impl Response {
    /// Value of a header, empty when absent.
    pub fn header(&self, name: &str) -> &str {
        self.head
            .lines()
            .filter_map(|l| l.split_once(':'))
            .find(|(k, _)| k.eq_ignore_ascii_case(name))
            .map_or("", |(_, v)| v.trim())
    }
}

impl Workdir {
    pub fn new() -> Self {
        Self {
            dir: tempfile::tempdir().unwrap(),
        }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    pub fn command(&self, args: &[&str]) -> Command {
        let mut c = Command::new(env!("CARGO_BIN_EXE_dragonflyquay"));
        c.args(args)
            .current_dir(self.dir.path())
            .env("TMPDIR", self.dir.path());
        c
    }

    /// Runs a command and waits until it exits.
    pub fn run(&self, args: &[&str]) -> Output {
        self.command(args).output().unwrap()
    }

    /// Starts a command and collects the lines of its standard output and standard error.
    pub fn start(&self, args: &[&str]) -> ChildProcess {
        let mut child = self
            .command(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (tx, lines) = mpsc::channel();
        let out: Box<dyn Read + Send> = Box::new(child.stdout.take().unwrap());
        let err: Box<dyn Read + Send> = Box::new(child.stderr.take().unwrap());
        for stream in [out, err] {
            let tx = tx.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    if tx.send(line).is_err() {
                        return;
                    }
                }
            });
        }
        ChildProcess { child, lines }
    }

    /// Starts the store stand-in on a free port.
    pub fn start_store(&self) -> (ChildProcess, SocketAddr) {
        let process = self.start(&["devstore", "--listen", "127.0.0.1:0"]);
        let line = process.wait_line("listening ");
        let address = line.trim_start_matches("listening ").parse().unwrap();
        (process, address)
    }

    /// Starts a node on free ports. `extra` is appended to its settings file.
    pub fn start_node(
        &self,
        id: &str,
        az: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
        extra: &str,
    ) -> (ChildProcess, Ports) {
        let seeds: Vec<_> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let free = "\"127.0.0.1:0\"";
        let text = format!(
            "[node]\nid = \"{id}\"\naz = \"{az}\"\nsite = \"trust\"\n\
             [listen]\ncaller = {free}\nrelay = {free}\npeer = {free}\nadmin = {free}\n\
             [store]\naddress = \"{store}\"\n[peers]\nseeds = [{}]\n{extra}\n",
            seeds.join(", ")
        );
        let name = format!("{id}.toml");
        self.write(&name, &text);
        let process = self.start(&["node", &name]);
        let line = process.wait_line("event=listening");
        let field = |key: &str| {
            let start = line.find(&format!("{key}=")).unwrap() + key.len() + 1;
            let value: String = line[start..]
                .chars()
                .take_while(|c| !c.is_whitespace())
                .collect();
            value.trim_matches('"').parse().unwrap()
        };
        let ports = Ports {
            caller: field("caller"),
            relay: field("relay"),
            peer: field("peer"),
            admin: field("admin"),
        };
        (process, ports)
    }
}

impl ChildProcess {
    /// Waits for a line that contains `text`.
    pub fn wait_line(&self, text: &str) -> String {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self
                .lines
                .recv_timeout(end.saturating_duration_since(Instant::now()))
            {
                Ok(line) if line.contains(text) => return line,
                Ok(_) => {}
                Err(e) => panic!("no output line contains {text:?}: {e}"),
            }
        }
    }

    /// Lines that no earlier call has consumed.
    pub fn lines(&self) -> Vec<String> {
        self.lines.try_iter().collect()
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `STOP` or `KILL`, to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        assert!(Command::new("kill")
            .args(["-s", name, &pid])
            .status()
            .unwrap()
            .success());
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Exit code of the process, `None` while it runs and -1 if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().unwrap()?;
        Some(status.code().unwrap_or(-1))
    }

    /// Waits until the process exits and returns its exit code, `None` if a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("process did not exit");
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `check` holds.
pub fn wait_until<F>(what: &str, mut check: F)
where
    F: FnMut() -> bool,
{
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        if check() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("condition not met: {what}");
}

/// Sends one HTTP request on a new connection; `None` without a complete response.
pub fn http(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    let mut s = TcpStream::connect(address).ok()?;
    s.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    if !headers.iter().any(|(k, _)| *k == "host") {
        text.push_str(&format!("host: {address}\r\n"));
    }
    for (k, v) in headers {
        text.push_str(&format!("{k}: {v}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    s.write_all(text.as_bytes()).ok()?;
    let mut out = Vec::new();
    s.read_to_end(&mut out).ok()?;
    let out = String::from_utf8_lossy(&out).into_owned();
    let (head, rest) = out.split_once("\r\n\r\n")?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let body = match chunked {
        true => decode_chunked(rest)?,
        false => rest.to_owned(),
    };
    Some(Response {
        status,
        head: head.to_owned(),
        body,
    })
}

/// Decodes a body with chunked transfer encoding; `None` if it is truncated.
fn decode_chunked(mut rest: &str) -> Option<String> {
    let mut out = String::new();
    loop {
        let (size, tail) = rest.split_once("\r\n")?;
        let n = usize::from_str_radix(size.trim(), 16).ok()?;
        if n == 0 {
            return Some(out);
        }
        out.push_str(tail.get(..n)?);
        rest = tail.get(n + 2..)?;
    }
}

/// Sends one HTTP request with a JSON body.
pub fn http_json(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Response> {
    http(
        address,
        method,
        path,
        &[("content-type", "application/json")],
        body,
    )
}

/// Absolute path of a file in the repository.
pub fn repo_file(name: &str) -> String {
    format!("{}/{name}", env!("CARGO_MANIFEST_DIR"))
}
