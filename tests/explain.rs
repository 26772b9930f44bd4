//! Follows the steps of docs/OPERATIONS.md, "Explaining a failed request", for requests that fail in the three ways
//! that the page describes.

mod site_kit;
mod workdir;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::{Duration, Instant};

use site_kit::{config, fresh_id, Node, Site};
use workdir::{http, http_json, wait_until, Workdir};

/// Log of a node, as far as it has been read.
struct Log<'a> {
    node: &'a Node,
    lines: Vec<String>,
}

impl<'a> Log<'a> {
    fn new(node: &'a Node) -> Self {
        Self {
            node,
            lines: Vec::new(),
        }
    }

    /// Waits for a line that contains all of `parts`.
    fn find(&mut self, parts: &[&str]) -> String {
        let mut found = None;
        wait_until(&format!("a log line with {parts:?}"), || {
            self.lines.extend(self.node.process.lines());
            let mut lines = self.lines.iter();
            found = lines.find(|l| parts.iter().all(|p| l.contains(p))).cloned();
            found.is_some()
        });
        found.unwrap()
    }
}

fn metrics(node: &Node) -> String {
    http(node.admin, "GET", "/metrics", &[], "").unwrap().body
}

/// Sends a request to the caller address of a node.
fn send(caller: SocketAddr, id: &str, path: &str, deadline_ms: &str) -> Option<u16> {
    let headers = [
        ("dragonflyquay-request-id", id),
        ("dragonflyquay-deadline-ms", deadline_ms),
        ("host", site_kit::HOST),
    ];
    http(caller, "GET", path, &headers, "").map(|res| res.status)
}

/// Sends requests concurrently. Returns their ids and statuses.
fn send_concurrently(
    node: &Node,
    path: &str,
    count: usize,
    deadline_ms: &str,
) -> Vec<(String, u16)> {
    let caller = node.caller;
    std::thread::scope(|s| {
        let start = |_| {
            s.spawn(|| {
                let id = fresh_id();
                let status = send(caller, &id, path, deadline_ms);
                (id, status.unwrap_or_default())
            })
        };
        let threads: Vec<_> = (0..count).map(start).collect();
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    })
}

/// Guards against a request that is rejected under load without a log line that explains the rejection.
#[test]
fn a_rejection_under_load_is_explained() {
    let site = Site::start(1);
    let n = &site.nodes[0];
    // A request for the slow path occupies one of 4 slots for 600 ms. The first requests let the queue measure this.
    send_concurrently(n, "/once/slow", 8, "4000");
    let results = send_concurrently(n, "/once/slow", 40, "1500");
    let (id, _) = results.iter().find(|(_, status)| *status == 503).unwrap();
    let mut log = Log::new(n);
    let line = log.find(&["event=request_failed", &format!("request={id} ")]);
    for part in ["outcome=not-run", "rank=1", "version=1", "attempts="] {
        assert!(line.contains(part), "{part} in {line}");
    }
    let reasons = ["queue-full", "held-off", "deadline"];
    let reason = reasons
        .iter()
        .find(|r| line.contains(&format!("reason={r}")));
    let reason = reason.unwrap_or_else(|| panic!("{line}"));
    let metric = format!(r#"dq_sidecar_refusals_total{{rank="1",reason="{reason}",route="once"}}"#);
    assert!(metrics(n).contains(&metric), "{metric}");
}

/// Guards against an unknown outcome whose log does not lead to the link that was lost.
#[test]
fn a_lost_link_explains_an_unknown_outcome() {
    let mut site = Site::start(2);
    site.drain_first_target();
    let id = fresh_id();
    let from = site.nodes[0].caller;
    let status = std::thread::scope(|s| {
        let to = &site.nodes[1];
        let sent = s.spawn(|| send(from, &id, "/once/slow", "4000"));
        wait_until("the target runs the request", || to.target.runs(&id) == 1);
        to.process.signal("KILL");
        sent.join().unwrap()
    });
    assert_eq!(status, Some(502));
    let mut log = Log::new(&site.nodes[0]);
    let line = log.find(&["event=request_failed", &format!("request={id} ")]);
    assert!(line.contains("outcome=unknown"), "{line}");
    assert!(line.contains("reason=lost"), "{line}");
    assert!(line.contains("n1=lost"), "{line}");
    log.find(&["event=link_lost", "node=n1"]);
    site.nodes.clear();
}

/// Guards against a request that missed its deadline and whose log line does not name the node that did not respond.
#[test]
fn a_missed_deadline_names_the_node() {
    let site = Site::start(1);
    let n = &site.nodes[0];
    let id = fresh_id();
    // The target takes 600 ms for the slow path.
    let status = send(n.caller, &id, "/once/slow", "300");
    assert_eq!(status, Some(504));
    let line = Log::new(n).find(&["event=request_failed", &format!("request={id} ")]);
    for part in [
        "outcome=unknown",
        "reason=deadline",
        "attempts=",
        "n0=no-reply",
    ] {
        assert!(line.contains(part), "{part} in {line}");
    }
}

/// Guards against requests that fail because of a change that the log does not show: one of the configuration, or of
/// the state of a target.
#[test]
fn a_failure_after_a_change_is_explained() {
    let site = Site::start(1);
    let n = &site.nodes[0];
    let mut log = Log::new(n);
    site.store.put_config(&config(2, ""));
    log.find(&["event=version_adopted", "number=2"]);
    let id = fresh_id();
    assert_eq!(
        n.send_as(&id, "GET", "/gone/x", "4000").unwrap().status,
        404
    );
    let line = log.find(&["event=request_refused", &format!("request={id} ")]);
    assert!(line.contains("version=2"), "{line}");
    assert!(line.contains("reason=no-route"), "{line}");
    n.stop_heartbeats();
    std::thread::sleep(Duration::from_millis(400));
    let res = http_json(
        n.control,
        "DELETE",
        "/api/instances/i-0",
        r#"{"born":1000}"#,
    );
    assert_eq!(res.unwrap().status, 200);
    let mut id = String::new();
    wait_until("requests are rejected", || {
        id = fresh_id();
        n.send_as(&id, "GET", "/safe/x", "4000").unwrap().status == 503
    });
    let line = log.find(&["event=request_failed", &format!("request={id} ")]);
    assert!(line.contains("outcome=not-run"), "{line}");
    log.find(&["event=target_leaving", "target=i-0"]);
    log.find(&["event=target_changed", "target=i-0", "ready=false"]);
}

/// Guards against metrics that lack what the page describes: hops, store calls, ages and queue lengths.
#[test]
fn metrics_show_state_and_ages() {
    let site = Site::start(2);
    let n = &site.nodes[0];
    for _ in 0..4 {
        n.send("GET", "/safe/x").unwrap();
    }
    let text = metrics(n);
    for part in [
        r#"dq_sidecar_attempts_total{hop="own",rank="1"}"#,
        r#"dq_sidecar_attempt_seconds_count{hop="own",rank="1"}"#,
        r#"dq_sidecar_link_bytes_total{hop="cross",kind="state"}"#,
        r#"dq_store_calls_total{kind="grant",result="ok"} 1"#,
        r#"dq_sidecar_known_nodes{state="linked"} 1"#,
        r#"dq_sidecar_age_milliseconds{of="heartbeat"}"#,
        r#"dq_sidecar_queued_requests{state="waiting"} 0"#,
        "dq_sidecar_in_flight_requests 0",
        "dq_sidecar_log_lines_dropped 0",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
}

/// Guards against requests that are blocked because the reader of the log has stopped reading.
#[test]
fn an_unread_log_delays_no_request() {
    let dir = Workdir::new();
    let address = "\"127.0.0.1:0\"";
    let text = format!(
        "[listen]\ncaller = {address}\nrelay = {address}\nadmin = {address}\n\
         [store]\naddress = \"127.0.0.1:1\"\n[sidecar]\nservice = \"s\"\ncontrol = {address}\nready = {address}\n"
    );
    dir.write("n.toml", &text);
    let mut child = dir
        .command(&["sidecar", "n.toml"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut out = BufReader::new(child.stdout.take().unwrap());
    let mut line = String::new();
    while !line.contains("event=started") {
        line.clear();
        assert!(out.read_line(&mut line).unwrap() > 0);
    }
    let field = line.split("caller=").nth(1).unwrap();
    let field = field.split_whitespace().next().unwrap();
    let caller: SocketAddr = field.parse().unwrap();
    // The id is logged with each rejection, so that 40 lines per second fill the pipe within one or two seconds.
    let id = "x".repeat(6000);
    let headers = [("dragonflyquay-request-id", id.as_str())];
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(4) {
        std::thread::scope(|s| {
            for _ in 0..16 {
                s.spawn(|| http(caller, "GET", "/x", &headers, ""));
            }
        });
    }
    let start = Instant::now();
    let res = http(caller, "GET", "/x", &headers, "").unwrap();
    // Far above the time to a response on a busy machine; a blocked process never responds.
    assert!(start.elapsed() < Duration::from_secs(10));
    assert_eq!(res.status, 503);
    child.kill().unwrap();
    child.wait().unwrap();
}
