//! Helper for tests that drive the real binary: a temporary folder, child processes and small HTTP calls.
#![allow(dead_code, unreachable_pub)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Longest wait for a condition; generous so that a slow machine gives the same verdict.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// A temporary folder with a `dragonflyquay` binary to run in it.
pub struct Workdir {
    dir: tempfile::TempDir,
}

/// A running child process that is killed when it goes out of scope.
pub struct Running {
    child: Child,
    lines: mpsc::Receiver<String>,
}

/// Addresses that a node took.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub caller: SocketAddr,
    pub relay: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

/// Answer of [`http`].
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
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

    /// Runs a command to its end.
    pub fn run(&self, args: &[&str]) -> Output {
        self.command(args).output().unwrap()
    }

    /// Starts a command whose lines on both streams are collected.
    pub fn start(&self, args: &[&str]) -> Running {
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
        Running { child, lines }
    }

    /// Starts the store's stand-in.
    pub fn start_store(&self) -> (Running, SocketAddr) {
        let r = self.start(&["devstore", "--listen", "127.0.0.1:0"]);
        let line = r.wait_line("listening ");
        let address = line.trim_start_matches("listening ").parse().unwrap();
        (r, address)
    }

    /// Starts a node with free ports. `extra` is appended to its settings.
    pub fn start_node(
        &self,
        id: &str,
        az: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
        extra: &str,
    ) -> (Running, Ports) {
        let seeds: Vec<_> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let any = "\"127.0.0.1:0\"";
        let text = format!(
            "[node]\nid = \"{id}\"\naz = \"{az}\"\nsite = \"trust\"\n\
             [listen]\ncaller = {any}\nrelay = {any}\npeer = {any}\nadmin = {any}\n\
             [store]\naddress = \"{store}\"\n[peers]\nseeds = [{}]\n{extra}\n",
            seeds.join(", ")
        );
        let name = format!("{id}.toml");
        self.write(&name, &text);
        let r = self.start(&["node", &name]);
        let line = r.wait_line("event=listening");
        let field = |key: &str| {
            let at = line.find(&format!("{key}=")).unwrap() + key.len() + 1;
            let value: String = line[at..]
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
        (r, ports)
    }
}

impl Running {
    /// Waits for a line that contains `text`.
    pub fn wait_line(&self, text: &str) -> String {
        let end = Instant::now() + PATIENCE;
        loop {
            match self
                .lines
                .recv_timeout(end.saturating_duration_since(Instant::now()))
            {
                Ok(line) if line.contains(text) => return line,
                Ok(_) => {}
                Err(e) => panic!("no line with {text:?}: {e}"),
            }
        }
    }

    /// Lines that were not waited for yet.
    pub fn lines(&self) -> Vec<String> {
        self.lines.try_iter().collect()
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `STOP` or `KILL`, to this process.
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

    /// Exit code of a process that has ended.
    pub fn ended(&mut self) -> Option<i32> {
        let status = self.child.try_wait().unwrap()?;
        Some(status.code().unwrap_or(-1))
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("process did not end");
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `check` holds.
pub fn wait_until<F>(what: &str, mut check: F)
where
    F: FnMut() -> bool,
{
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        if check() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("condition not met: {what}");
}

/// Sends one HTTP request on a connection of its own; `None` when no whole answer came.
pub fn http(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let mut s = TcpStream::connect(address).ok()?;
    s.set_read_timeout(Some(PATIENCE)).ok()?;
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
        true => unchunk(rest)?,
        false => rest.to_owned(),
    };
    Some(Answer {
        status,
        head: head.to_owned(),
        body,
    })
}

fn unchunk(mut rest: &str) -> Option<String> {
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

/// Sends JSON.
pub fn http_json(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Answer> {
    http(
        address,
        method,
        path,
        &[("content-type", "application/json")],
        body,
    )
}

/// Path of a file of the repository.
pub fn repo_file(name: &str) -> String {
    format!("{}/{name}", env!("CARGO_MANIFEST_DIR"))
}
