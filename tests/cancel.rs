//! Tests of callers that disconnect, send slowly or overload a target.

mod request_site;
mod workdir;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};

use request_site::{open_request, runs, stats, Site};
use workdir::{http, wait_until};

fn request(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n{headers}\r\n")
}

/// Guards against a request that keeps running, or starts, at the backend server after its caller has disconnected.
#[test]
fn disconnected_callers_free_slots_and_queue_places() {
    let mut site = Site::start("");
    let backend = site.start_backend(&["--slots", "1", "--work-ms", "3000"]);
    wait_until("probes have finished", || stats(backend)["running"] == 0);
    let before = stats(backend)["cancelled"].as_u64().unwrap();
    let running = open_request(
        site.node.caller,
        &request("/long/1", "idempotency-key: first\r\n"),
    );
    wait_until("the first request runs", || runs(backend, "first") == 1);
    let queued = open_request(
        site.node.caller,
        &request("/long/2", "idempotency-key: second\r\n"),
    );
    let waiting = || site.metric("dq_queued_requests{rank=\"urgent\"}");
    wait_until("the second request waits", || waiting() == "1");
    queued.shutdown(Shutdown::Both).unwrap();
    wait_until("the second request has left the queue", || waiting() == "0");
    running.shutdown(Shutdown::Both).unwrap();
    let cancelled = || stats(backend)["cancelled"].as_u64().unwrap();
    wait_until("the first run was cancelled", || cancelled() == before + 1);
    assert_eq!(runs(backend, "second"), 0);
    assert_eq!(stats(backend)["running"], 0);
}

/// Guards against a response stream that continues, and keeps its slot, after its caller has disconnected.
#[test]
fn disconnected_callers_end_streams() {
    let mut site = Site::start("");
    site.start_backend(&["--slots", "1", "--work-ms", "1"]);
    let mut s = open_request(
        site.node.caller,
        &request("/long/1", "x-test-fault: stream\r\n"),
    );
    let mut part = [0; 400];
    s.read_exact(&mut part).unwrap();
    let other_request = || http(site.node.caller, "GET", "/get/1", &[], "").unwrap();
    assert_eq!(
        other_request().header("dq-outcome"),
        "not-run",
        "the stream holds the slot"
    );
    s.shutdown(Shutdown::Both).unwrap();
    wait_until("the slot is free", || other_request().status == 200);
}

/// Guards against a slow caller that occupies a slot, whose request runs with an incomplete body, or that is never
/// timed out.
#[test]
fn slow_callers_occupy_no_slot() {
    let mut site = Site::start("[limits]\nbody_timeout_ms = 400\n");
    let backend = site.start_backend(&["--slots", "1", "--work-ms", "1"]);
    let head = "PUT /long/1 HTTP/1.1\r\nhost: h\r\nidempotency-key: slow\r\ncontent-length: 10\r\n\r\nhalf";
    let mut slow = open_request(site.node.caller, head);
    assert_eq!(site.get("/get/1").unwrap().status, 200);
    let mut out = String::new();
    slow.read_to_string(&mut out).unwrap();
    assert!(out.starts_with("HTTP/1.1 408"), "{out}");
    assert!(out.contains("dq-outcome: not-run"), "{out}");
    assert_eq!(runs(backend, "slow"), 0);
    // Beyond the first 64 KiB the body streams. The backend server sees an aborted request, never a complete shorter
    // one.
    let head =
        "PUT /long/2 HTTP/1.1\r\nhost: h\r\nidempotency-key: big\r\ncontent-length: 200000\r\n\r\n";
    let mut slow = open_request(site.node.caller, head);
    slow.write_all(&[b'x'; 150_000]).unwrap();
    let mut out = String::new();
    let _ = slow.read_to_string(&mut out);
    assert!(out.starts_with("HTTP/1.1 408"), "{out}");
    assert!(out.contains("dq-outcome: unknown"), "{out}");
    wait_until("the slot is free", || {
        site.get("/get/1").unwrap().status == 200
    });
}

fn send_from_many_callers(
    caller: SocketAddr,
    callers: usize,
    requests: usize,
) -> Vec<(String, u16, String)> {
    let threads: Vec<_> = (0..callers)
        .map(|c| {
            std::thread::spawn(move || {
                let send_one = |i| {
                    let key = format!("key-{c}-{i}");
                    let name = format!("caller-{c}");
                    let headers = [("idempotency-key", key.as_str()), ("dq-caller", &name)];
                    let r = http(caller, "PUT", "/put/x", &headers, "").unwrap();
                    (key, r.status, r.header("dq-outcome").to_owned())
                };
                (0..requests).map(send_one).collect::<Vec<_>>()
            })
        })
        .collect();
    threads
        .into_iter()
        .flat_map(|t| t.join().unwrap())
        .collect()
}

/// Guards against a request that is reported as not run although it ran, that runs twice, or that waits in an unbounded
/// queue.
#[test]
fn outcomes_are_correct_under_overload() {
    let mut site = Site::start("");
    let backend = site.start_backend(&["--slots", "2", "--work-ms", "30", "--shed-percent", "10"]);
    let results = send_from_many_callers(site.node.caller, 100, 5);
    let mut done = 0;
    for (key, status, outcome) in results {
        let n = runs(backend, &key);
        match (status, outcome.as_str()) {
            (200, "done") => {
                done += 1;
                assert_eq!(n, 1, "{key}");
            }
            (503, "not-run") | (504, "not-run") => assert_eq!(n, 0, "{key}"),
            (504, "unknown") => assert!(n <= 1, "{key}"),
            other => panic!("{key}: {other:?}"),
        }
    }
    assert!(done > 0);
    assert!(stats(backend)["most_running"].as_u64().unwrap() <= 2);
}
