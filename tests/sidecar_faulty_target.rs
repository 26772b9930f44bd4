//! Targets that write bytes without end, or an earlier response once more.

mod site_kit;
mod workdir;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dragonflyquay::sidecar::connection::pool::Pool;
use http::Request;
use http_body_util::Full;
use site_kit::{fresh_id, Site};

/// Memory that a process may use, in KB: half of that of the smallest VM of the users.
const MEMORY_LIMIT_KB: u64 = 44 << 10;
/// Part of it for the code of the program, in KB. The pages of an unoptimised build are more than those of the program
/// that is deployed, and grow with each feature, so they are not measured.
const CODE_KB: u64 = 23 << 10;
/// Connections that a target of the users accepts.
const CONNECTIONS: usize = 130;
/// Memory that a process may use while all these respond without end, in KB: three quarters of that of the smallest VM
/// beside such a target.
const ALL_CONNECTIONS_LIMIT_KB: u64 = 110 * 1024 * 3 / 4;
/// Concurrent requests to which the target responds without end.
const ENDLESS: usize = 12;

/// A line of the kernel's status of a process, in KB.
fn status_kb(pid: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with(name)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Peak of the resident memory of a process, in KB.
fn peak_memory_kb(pid: u32) -> u64 {
    status_kb(pid, "VmHWM:")
}

/// Peak of the resident memory of a process without the pages of its program, in KB.
fn peak_heap_kb(pid: u32) -> u64 {
    peak_memory_kb(pid).saturating_sub(status_kb(pid, "RssFile:"))
}

/// Guards against a response without end that takes the memory of the node, holds its caller beyond the deadline or stops
/// other requests.
#[test]
fn responses_without_end_are_given_up() {
    for part in ["status", "headers", "header", "chunks", "body"] {
        let site = Site::start(2);
        let caller = site.nodes[0].caller;
        let endless: Vec<_> = (0..ENDLESS)
            .map(|_| {
                std::thread::spawn(move || {
                    let id = fresh_id();
                    let headers = [
                        ("dragonflyquay-request-id", id.as_str()),
                        ("dragonflyquay-deadline-ms", "1000"),
                        ("host", site_kit::HOST),
                    ];
                    let path = format!("/once/endless-{part}");
                    let start = Instant::now();
                    let res = workdir::http(caller, "POST", &path, &headers, "");
                    (res.map(|res| res.status), start.elapsed())
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(200));
        let res = site.nodes[1].send("GET", "/safe/x");
        assert_eq!(res.map(|res| res.status), Some(200), "{part}");
        for thread in endless {
            let (status, elapsed) = thread.join().unwrap();
            let status = status.unwrap();
            assert!(matches!(status, 502..=504), "{part}: {status}");
            assert!(elapsed < Duration::from_secs(10), "{part}: {elapsed:?}");
        }
        for n in &site.nodes {
            let peak = peak_heap_kb(n.process.pid());
            assert!(peak <= MEMORY_LIMIT_KB - CODE_KB, "{part}: {peak} KB");
            assert_eq!(n.send("GET", "/safe/x").unwrap().status, 200, "{part}");
        }
    }
}

/// Guards against a sum of endless responses that takes the memory of the node although each of them is bounded: on as
/// many connections as a target may have, in each part of a response.
#[test]
fn endless_responses_on_all_connections_leave_memory() {
    let parts = [
        "status",
        "headers",
        "header",
        "body",
        "length",
        "chunks",
        "size",
        "extension",
        "trailers",
        "bytes",
    ];
    for part in parts {
        let site = Site::start(2);
        for n in &site.nodes {
            n.target.state.lock().unwrap().slots = CONNECTIONS as u32;
        }
        // The next heartbeats.
        std::thread::sleep(Duration::from_millis(700));
        let caller = site.nodes[0].caller;
        let endless: Vec<_> = (0..CONNECTIONS)
            .map(|_| std::thread::spawn(move || send_endless(caller, part)))
            .collect();
        for thread in endless {
            let status = thread.join().unwrap().unwrap();
            assert!(matches!(status, 502..=504), "{part}: {status}");
        }
        for n in &site.nodes {
            let peak = peak_memory_kb(n.process.pid());
            assert!(peak <= ALL_CONNECTIONS_LIMIT_KB, "{part}: {peak} KB");
            assert_eq!(n.send("GET", "/safe/x").unwrap().status, 200, "{part}");
        }
    }
}

/// Sends a request with a short deadline to which the target responds without end. Returns the status.
fn send_endless(caller: SocketAddr, part: &str) -> Option<u16> {
    let id = fresh_id();
    let headers = [
        ("dragonflyquay-request-id", id.as_str()),
        ("dragonflyquay-deadline-ms", "1500"),
        ("host", site_kit::HOST),
    ];
    let path = format!("/once/endless-{part}");
    let res = workdir::http(caller, "POST", &path, &headers, "");
    res.map(|res| res.status)
}

/// Sends a request with this path on a connection of the pool.
async fn send(pool: &Pool, path: &str) -> Option<usize> {
    let req = Request::builder().uri(path).body(Full::default()).unwrap();
    let sent = pool.send(req, true, Duration::ZERO).await;
    sent.ok().map(|(response, _)| response.body.len())
}

/// Guards against small responses that wait behind large ones for which there is no room.
#[test]
fn small_responses_pass_large_ones() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pool = Arc::new(Pool::new(listener.local_addr().unwrap()));
    std::thread::spawn(move || {
        for stream in listener.incoming().map(Result::unwrap) {
            std::thread::spawn(move || respond_in_part(stream));
        }
    });
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let large = ["/large", "/large"].map(|path| {
            let pool = pool.clone();
            tokio::spawn(async move { send(&pool, path).await })
        });
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(send(&pool, "/small").await, Some(5));
        large.iter().for_each(tokio::task::JoinHandle::abort);
    });
}

/// Writes a small response, or most of a large one.
fn respond_in_part(mut stream: TcpStream) {
    let mut head = [0; 1024];
    let n = stream.read(&mut head).unwrap();
    if !head[..n].starts_with(b"GET /large") {
        let text = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
        stream.write_all(text).unwrap();
    } else {
        let text = b"HTTP/1.1 200 OK\r\ncontent-length: 16000000\r\n\r\n";
        let _ = stream.write_all(text);
        let _ = stream.write_all(&vec![b'x'; 15 << 20]);
    }
    // Keeps the connection open until the other side closes it.
    let _ = stream.read(&mut head);
}

/// Guards against an earlier refusal, written again on a kept connection, that passes as the response to the next
/// request: its caller would be told that it has not run.
#[test]
fn a_repeated_refusal_proves_nothing() {
    let kinds = [
        "shed",
        "shed-no-id",
        "shed-421",
        "shed-421-no-id",
        "shed-later-421",
        "shed-later-421-no-id",
    ];
    for kind in kinds {
        let site = Site::start(1);
        let n = &site.nodes[0];
        let refused = n.send("POST", &format!("/once/{kind}")).unwrap();
        assert_eq!(refused.status, 503, "{kind}");
        workdir::wait_until("the target is used again", || {
            n.send("POST", "/once/x").unwrap().status == 200
        });
        let refused = n.send("POST", &format!("/once/{kind}")).unwrap();
        assert_ne!(refused.status, 200, "{kind}");
        let mut status = 503;
        workdir::wait_until("a request runs", || {
            let id = fresh_id();
            status = n
                .send_as(&id, "POST", "/once/again", "4000")
                .unwrap()
                .status;
            // The target may still be about to run it when the repeated refusal has ended the request.
            let end = Instant::now() + Duration::from_millis(500);
            while n.target.runs(&id) == 0 && Instant::now() < end {
                std::thread::sleep(Duration::from_millis(10));
            }
            assert!(n.target.runs(&id) <= 1, "{kind}: it ran twice");
            n.target.runs(&id) == 1
        });
        assert!(!matches!(status, 408 | 421 | 429 | 503), "{kind}: {status}");
    }
}

/// Guards against a second copy of a response, written late on a kept connection, that passes as the response to the next
/// request: its caller would get what belongs to another one.
#[test]
fn a_late_copy_of_a_response_reaches_no_other_caller() {
    for (first, method, next) in [
        ("/once/copied", "POST", "/once/again"),
        ("/safe/copied", "GET", "/safe/again"),
    ] {
        let site = Site::start(1);
        let n = &site.nodes[0];
        let id = fresh_id();
        let res = n.send_as(&id, method, first, "4000").unwrap();
        assert_eq!(res.status, 200);
        let own = fresh_id();
        let res = n.send_as(&own, method, next, "4000").unwrap();
        assert_ne!(res.header("dragonflyquay-request-id"), id);
        assert!(matches!(res.status, 502 | 504), "{}", res.head);
        assert!(n.target.runs(&own) <= 1);
        // The connection with the copy is not used again.
        assert_eq!(n.send("GET", "/safe/x").unwrap().status, 200);
    }
}
