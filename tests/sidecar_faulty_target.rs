//! Targets that write bytes without end, or an earlier response once more.

mod site_kit;
mod workdir;

use std::time::{Duration, Instant};

use site_kit::{fresh_id, Site};

/// Memory that a process may use, in KB: half of that of the smallest VM of the users.
const MEMORY_LIMIT_KB: u64 = 44 << 10;
/// Concurrent requests to which the target responds without end.
const ENDLESS: usize = 12;

/// Peak of the resident memory of a process, in KB.
fn peak_memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
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
            let peak = peak_memory_kb(n.process.pid());
            assert!(peak <= MEMORY_LIMIT_KB, "{part}: {peak} KB");
            assert_eq!(n.send("GET", "/safe/x").unwrap().status, 200, "{part}");
        }
    }
}

/// Guards against an earlier refusal, written again on a kept connection, that passes as the response to the next
/// request: its caller would be told that it has not run.
#[test]
fn a_repeated_refusal_proves_nothing() {
    for kind in ["shed", "shed-no-id", "shed-421", "shed-421-no-id"] {
        let site = Site::start(1);
        let n = &site.nodes[0];
        let refused = n.send("POST", &format!("/once/{kind}")).unwrap();
        assert_eq!(refused.status, 503, "{kind}");
        workdir::wait_until("the target is used again", || {
            n.send("POST", "/once/x").unwrap().status == 200
        });
        let refused = n.send("POST", &format!("/once/{kind}")).unwrap();
        assert_ne!(refused.status, 200, "{kind}");
        let id = fresh_id();
        let mut status = 503;
        workdir::wait_until("the request runs", || {
            status = n
                .send_as(&id, "POST", "/once/again", "4000")
                .unwrap()
                .status;
            n.target.runs(&id) > 0
        });
        assert!(!matches!(status, 408 | 421 | 429 | 503), "{kind}: {status}");
        assert_eq!(n.target.runs(&id), 1, "{kind}");
    }
}
