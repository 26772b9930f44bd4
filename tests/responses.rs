//! Tests of malformed, late, duplicated and mismatched responses of backend servers.

mod request_site;
mod workdir;

use std::io::{Read, Write};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use request_site::{ok_response, open_request, request_path, stats, Site};
use workdir::{http, wait_until};

/// Guards against a malformed or truncated response that reaches the caller as a shorter success.
#[test]
fn malformed_responses_are_errors() {
    let site = Site::start("");
    let _backend = site.start_scripted(|head, s| {
        let response: &[u8] = match request_path(head) {
            "/put/unframed" => b"HTTP/1.1 200 OK\r\n\r\nhalf",
            "/put/old" => b"HTTP/1.0 200 OK\r\n\r\nhalf",
            "/put/short" => b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nhalf",
            "/put/garbage" => b"what is this\r\n\r\n",
            "/put/two-lengths" => {
                b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 4\r\n\r\nhalf"
            }
            "/put/other" => b"HTTP/1.1 200 OK\r\ndq-request-id: x\r\ncontent-length: 4\r\n\r\nhalf",
            "/put/status-000" => b"HTTP/1.1 000 No\r\ncontent-length: 4\r\n\r\nhalf",
            "/put/status-101" => b"HTTP/1.1 101 No\r\ncontent-length: 4\r\n\r\nhalf",
            "/put/status-600" => b"HTTP/1.1 600 No\r\ncontent-length: 4\r\n\r\nhalf",
            "/put/nothing" => b"",
            "/put/head" => b"HTTP/1.1 200 OK\r\ncontent-le",
            _ => b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        };
        s.write_all(response).is_ok() && request_path(head).starts_with("/get")
    });
    let table = [
        ("unframed", 502, "bad-answer"),
        ("old", 502, "bad-answer"),
        ("short", 502, "bad-answer"),
        ("garbage", 502, "bad-answer"),
        ("two-lengths", 502, "bad-answer"),
        ("other", 502, "bad-answer"),
        ("status-000", 502, "bad-answer"),
        ("status-101", 502, "bad-answer"),
        ("status-600", 502, "bad-answer"),
        ("nothing", 504, "lost"),
        ("head", 504, "lost"),
    ];
    for (name, status, reason) in table {
        let r = http(site.node.caller, "PUT", &format!("/put/{name}"), &[], "").unwrap();
        let got = (r.status, r.header("dq-outcome"), r.header("dq-reason"));
        assert_eq!(got, (status, "unknown", reason), "{name}");
        assert!(!r.body.contains("half"), "{name}: {}", r.body);
    }
}

/// Guards against a stream that is cut off at the backend server but ends normally at the caller.
#[test]
fn truncated_streams_fail_at_the_caller() {
    let mut site = Site::start("");
    site.start_backend(&[]);
    let fault = ("x-test-fault", "truncate-chunked");
    let body = "x".repeat(1000);
    // `http` returns `None` unless the last chunk arrived.
    assert!(http(site.node.caller, "PUT", "/put/x", &[fault], &body).is_none());
    let site = Site::start("");
    let _backend = site.start_scripted(|head, s| {
        let data = vec![b'x'; 100_000];
        let _ = match request_path(head).starts_with("/put") {
            true => s
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n")
                .and_then(|()| s.write_all(&data)),
            false => s.write_all(&ok_response("ok")),
        };
        request_path(head).starts_with("/get")
    });
    let mut s = open_request(
        site.node.caller,
        "PUT /put/x HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n",
    );
    let mut out = Vec::new();
    // The connection ends before the announced length, which every HTTP client reports as an error.
    let _ = s.read_to_end(&mut out);
    let text = String::from_utf8_lossy(&out);
    let head = text.split("\r\n\r\n").next().unwrap();
    assert!(head.contains("content-length: 200000"), "{head}");
    assert!(out.len() < 200_000);
}

/// Guards against a late response that is taken for the response to the next request on the same connection.
#[test]
fn late_responses_are_discarded() {
    let mut site = Site::start("");
    let backend = site.start_backend(&[]);
    for i in 0..3 {
        let late = [("x-test-fault", "late")];
        let r = http(site.node.caller, "PUT", &format!("/put/late{i}"), &late, "").unwrap();
        let got = (r.status, r.header("dq-outcome"), r.header("dq-reason"));
        assert_eq!(got, (504, "unknown", "deadline"));
        for j in 0..10 {
            let path = format!("/get/{i}-{j}");
            assert_eq!(site.get(&path).unwrap().body, format!("GET {path}\n"));
        }
    }
    wait_until("the late runs were cancelled", || {
        stats(backend)["cancelled"] == 3
    });
}

/// Guards against a duplicated response whose second copy is taken for the response to the next request.
#[test]
fn duplicated_responses_are_not_mismatched() {
    let site = Site::start("");
    let _backend = site.start_scripted(|head, s| {
        let response = ok_response(request_path(head));
        s.write_all(&[response.clone(), response].concat()).is_ok()
    });
    for i in 0..100 {
        let path = format!("/get/{i}");
        let r = site.get(&path).unwrap();
        assert!(r.status != 200 || r.body == path, "{path}: {}", r.body);
        assert_eq!(r.status, 200);
    }
}

/// Guards against responses that reach the wrong caller when they arrive out of order.
#[test]
fn concurrent_responses_reach_their_callers() {
    let site = Site::start("");
    let n = Arc::new(AtomicU32::new(0));
    let _backend = site.start_scripted(move |head, s| {
        let i = n.fetch_add(1, Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(u64::from(i * 7 % 11)));
        s.write_all(&ok_response(request_path(head))).is_ok()
    });
    let callers: Vec<_> = (0..8)
        .map(|c| {
            let caller = site.node.caller;
            std::thread::spawn(move || {
                for i in 0..25 {
                    let path = format!("/long/{c}-{i}");
                    let r = http(caller, "GET", &path, &[], "").unwrap();
                    assert_eq!(r.body, path);
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|c| c.join().unwrap());
}

/// Guards against a rejection because a backend server closed an idle connection, and against a second run of a request
/// that was sent on such a connection.
#[test]
fn closed_idle_connections_are_replaced() {
    let site = Site::start("");
    let runs = Arc::new(AtomicU32::new(0));
    let n = runs.clone();
    let _backend = site.start_scripted(move |head, s| {
        n.fetch_add(
            u32::from(request_path(head).starts_with("/put")),
            Ordering::Relaxed,
        );
        let _ = s.write_all(&ok_response("ok"));
        false
    });
    for i in 0..100 {
        let r = http(site.node.caller, "PUT", "/put/x", &[], "").unwrap();
        // If the connection closes while the request is in flight, the outcome is unknown.
        let unknown = r.status == 504 && r.header("dq-reason") == "lost";
        assert!(r.status == 200 || unknown, "{i}: {} {}", r.status, r.body);
        assert!(runs.load(Ordering::Relaxed) <= i + 1);
    }
}
