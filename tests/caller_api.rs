//! Contract tests of the HTTP interfaces for callers and between nodes.

mod request_site;
mod workdir;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

use request_site::{ok_response, open_request, runs, ScriptedBackend, Site};
use workdir::{http, wait_until};

const KEY: &str = "a shared key for the tests only";

/// Guards against changes of the statuses, outcomes and reasons that callers depend on.
#[test]
fn rejections_report_outcome_and_reason() {
    let site = Site::start("[limits]\nbody_bytes = 1000\n");
    let big = "x".repeat(1001);
    let table = [
        ("GET", "/nowhere", None, "", 404, "no-route"),
        ("POST", "/get/1", None, "", 404, "no-route"),
        ("GET", "/get/1", None, "", 503, "no-target"),
        (
            "GET",
            "/get/1",
            Some(("dq-depth", "6")),
            "",
            400,
            "bad-request",
        ),
        ("PUT", "/put/1", None, big.as_str(), 413, "too-large"),
    ];
    for (method, path, header, body, status, reason) in table {
        let headers: Vec<_> = header.into_iter().collect();
        let r = http(site.node.caller, method, path, &headers, body).unwrap();
        let got = (r.status, r.header("dq-outcome"), r.header("dq-reason"));
        assert_eq!(got, (status, "not-run", reason), "{method} {path}");
        assert_eq!(r.body, format!("not-run: {reason}\n"));
    }
    let long = format!(
        "GET /get/1 HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n",
        "y".repeat(40_000)
    );
    let mut s = open_request(site.node.caller, &long);
    let mut out = String::new();
    let _ = s.read_to_string(&mut out);
    assert!(out.starts_with("HTTP/1.1 431"), "{out}");
}

/// Guards against forwarding hop-by-hop headers, against internal headers of a caller that raise a limit, against loss
/// of the request context, and against internal headers of a backend server that reach the caller.
#[test]
fn headers_are_filtered() {
    let site = Site::start("");
    let heads: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = heads.clone();
    let _backend = site.start_scripted(move |head, s| {
        seen.lock().unwrap().push(head.to_ascii_lowercase());
        let mut response = ok_response("ok");
        response.splice(
            17..17,
            *b"dq-outcome: not-run\r\ndq-retries: 9\r\nkeep-alive: 1\r\nx-own: 1\r\n",
        );
        s.write_all(&response).is_ok()
    });
    let headers = [
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("te", "trailers"),
        ("proxy-authorization", "secret"),
        ("x-kept", "1"),
        ("dq-retries", "200"),
        ("dq-deadline-ms", "999999"),
        ("dq-rank", "other"),
        ("dq-owner", "true"),
        ("dq-request-id", "my-id"),
        ("dq-depth", "2"),
    ];
    let r = http(site.node.caller, "GET", "/get/a?b=c", &headers, "").unwrap();
    assert_eq!((r.status, r.body.as_str()), (200, "ok"));
    assert_eq!(r.header("dq-outcome"), "done");
    assert_eq!(r.header("x-own"), "1");
    assert_eq!((r.header("dq-retries"), r.header("keep-alive")), ("", ""));
    let heads = heads.lock().unwrap();
    let head = heads.last().unwrap();
    assert!(head.starts_with("get /get/a?b=c http/1.1\r\n"), "{head}");
    let value = |name: &str| {
        let line = head.lines().find(|l| l.starts_with(&format!("{name}: ")));
        line.map(|l| l.split_once(": ").unwrap().1.to_owned())
    };
    for name in ["x-hop", "te", "proxy-authorization", "dq-owner", "dq-proof"] {
        assert_eq!(value(name), None, "{name}");
    }
    let want = [
        ("x-kept", "1"),
        ("x-site", "trust"),
        ("dq-retries", "2"),
        ("dq-rank", "urgent"),
        ("dq-request-id", "my-id"),
        ("dq-depth", "3"),
        ("dq-version", "1"),
    ];
    for (name, text) in want {
        assert_eq!(value(name).as_deref(), Some(text), "{name}");
    }
    let left: u64 = value("dq-deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 600, "{left}");
}

/// Guards against a caller that sends another caller's name to get more than its share.
#[test]
fn only_the_local_backend_server_may_name_callers() {
    let mut site = Site::start("");
    let second = site.add_node("n2", "");
    let names: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = names.clone();
    let _backend = ScriptedBackend::start(second.admin, move |head, s| {
        let line = head.lines().find_map(|l| l.strip_prefix("dq-caller: "));
        seen.lock().unwrap().push(line.unwrap_or("").to_owned());
        s.write_all(&ok_response("ok")).is_ok()
    });
    let named = [("dq-caller", "somebody")];
    let request = |to| http(to, "GET", "/get/1", &named, "").is_some_and(|r| r.status == 200);
    wait_until("second node routes", || request(second.caller));
    assert_eq!(names.lock().unwrap().last().unwrap(), "somebody");
    // The first node has no backend server beside it, so it has no local caller.
    wait_until("first node routes", || request(site.node.caller));
    assert_eq!(names.lock().unwrap().last().unwrap(), "127.0.0.1");
}

/// Guards against a `caller-limit` resource that is not enforced, or whose permit is not released when the caller
/// disconnects.
#[test]
fn caller_limit_is_enforced() {
    let mut site = Site::start("");
    let backend = site.start_backend(&["--work-ms", "20000"]);
    let text = "GET /alone/1 HTTP/1.1\r\nhost: h\r\nidempotency-key: first\r\n\r\n";
    let first = open_request(site.node.caller, text);
    wait_until("the first request runs", || runs(backend, "first") == 1);
    let deadline = [("dq-deadline-ms", "1")];
    let second = || http(site.node.caller, "GET", "/alone/2", &deadline, "");
    assert_eq!(second().unwrap().header("dq-reason"), "caller-limit");
    drop(first);
    wait_until("the permit is released", || {
        second().is_some_and(|r| r.header("dq-reason") == "deadline")
    });
}

/// Guards against relay requests from processes that do not have the shared key, and against requests that fail
/// although all nodes have it.
#[test]
fn relay_requires_the_shared_key() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("key");
    std::fs::write(&file, KEY).unwrap();
    let mut site = Site::start(&format!("key_file = {file:?}"));
    site.start_backend(&[]);
    assert_eq!(site.get("/get/1").unwrap().status, 200);
    let headers = [
        ("dq-request-id", "1"),
        ("dq-deadline-ms", "500"),
        ("dq-rank", "urgent"),
        ("dq-retries", "0"),
        ("dq-depth", "0"),
        ("dq-version", "1"),
        ("dq-caller", "me"),
    ];
    let wrong = "0".repeat(64);
    for proof in [None, Some(wrong.as_str()), Some("no hex")] {
        let proof = proof.map(|p| ("dq-proof", p));
        let all: Vec<_> = headers.into_iter().chain(proof).collect();
        let r = http(site.node.relay, "GET", "/get/1", &all, "").unwrap();
        let got = (r.status, r.header("dq-outcome"), r.header("dq-reason"));
        assert_eq!(got, (403, "not-run", "unproven"));
    }
}

/// Guards against a body that is truncated, changed or not forwarded in full.
#[test]
fn large_bodies_arrive_complete() {
    let mut site = Site::start("");
    site.start_backend(&[]);
    for n in [0, 1, 65_535, 65_536, 65_537, 200_000, 1 << 20] {
        let body: String = (0..n).map(|i| char::from(b'a' + (i % 23) as u8)).collect();
        let r = http(site.node.caller, "PUT", "/long/x", &[], &body).unwrap();
        assert_eq!(r.status, 200);
        assert!(r.body == format!("PUT /long/x\n{body}"), "{n} bytes");
    }
    let mut s: TcpStream = open_request(
        site.node.caller,
        "PUT /long/x HTTP/1.1\r\nhost: h\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n\
         3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    );
    let mut out = String::new();
    s.read_to_string(&mut out).unwrap();
    assert!(out.ends_with("PUT /long/x\nabcde"), "{out}");
}
