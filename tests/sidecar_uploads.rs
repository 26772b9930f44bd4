//! Requests with large bodies on real processes: what targets and callers get.

mod site_kit;
mod workdir;

use std::io::{Read, Write};
use std::thread::JoinHandle;
use std::time::Duration;

use site_kit::upload::{body, connect, head, metric, ms, read_response, send, UploadSite, LARGE};
use site_kit::{fresh_id, Node};
use workdir::{http, wait_until};

/// What the callers of one node got in a burst: the ids and statuses of their uploads.
fn burst(node: &Node, duration: Duration) -> JoinHandle<Vec<(String, u16)>> {
    let caller = node.caller;
    std::thread::spawn(move || {
        let one = move || {
            let end = std::time::Instant::now() + duration;
            let mut results = Vec::new();
            while std::time::Instant::now() < end {
                let id = fresh_id();
                let res = send(caller, &id, "/up/x", "1500", &body(LARGE / 3));
                results.push((id, res.map_or(0, |r| r.status)));
                std::thread::sleep(ms(20));
            }
            results
        };
        let callers: Vec<_> = (0..8).map(|_| std::thread::spawn(one)).collect();
        callers
            .into_iter()
            .flat_map(|c| c.join().unwrap())
            .collect()
    })
}

/// Guards against bodies that arrive changed, twice or not at all, with and without another node between, and against
/// small requests that wait for them on a narrow link.
#[test]
fn uploads_arrive_byte_for_byte() {
    let site = UploadSite::start(2);
    for len in [8_193, 60_000, LARGE] {
        let id = fresh_id();
        let res = send(site.entry().caller, &id, "/up/x", "9000", &body(len)).unwrap();
        assert_eq!(res.status, 200, "{len}");
        assert!(site.received(&id) == [body(len).into_bytes()], "{len}");
        // The target of this node gets it without a link.
        let id = fresh_id();
        let res = send(site.0.nodes[1].caller, &id, "/up/x", "9000", &body(len)).unwrap();
        assert_eq!(res.status, 200, "{len}");
        assert!(site.received(&id) == [body(len).into_bytes()], "{len}");
    }
    let ids: Vec<String> = (0..4).map(|_| fresh_id()).collect();
    let uploads: Vec<_> = ids.iter().map(|id| site.upload(id, "/up/x")).collect();
    // The link needs 1.2 s for them.
    while !uploads.iter().all(JoinHandle::is_finished) {
        let res = site.entry().send_as(&fresh_id(), "GET", "/safe/x", "1000");
        assert_eq!(res.unwrap().status, 200);
    }
    for (id, upload) in ids.iter().zip(uploads) {
        assert_eq!(upload.join().unwrap().unwrap().status, 200);
        assert!(site.received(id) == [body(LARGE).into_bytes()]);
    }
    assert_eq!(metric(&site.0.nodes[1], "dq_sidecar_upload_bytes"), 0);
}

/// Guards against a rejection that the caller cannot read because its connection is reset, and against a rest of the
/// body that passes as the next request.
#[test]
fn a_rejection_before_the_body_is_read_is_readable() {
    let site = UploadSite::start(2);
    // Path, deadline and status: no route, and a body that cannot arrive in time.
    for (path, timeout_ms, status) in [("/none/x", 9000, "404"), ("/up/x", 150, "503")] {
        for prompt in [true, false] {
            let id = fresh_id();
            let mut stream = connect(site.entry());
            let text = head(&id, path, timeout_ms, LARGE);
            stream.write_all(text.as_bytes()).unwrap();
            if prompt {
                stream.write_all(body(LARGE).as_bytes()).unwrap();
            }
            let (response, _) = read_response(&mut stream);
            assert!(
                response.starts_with(&format!("http/1.1 {status} ")),
                "{response}"
            );
            assert!(response.contains(&id), "{response}");
            if !prompt {
                stream.write_all(body(LARGE).as_bytes()).unwrap();
            }
            assert!(site.received(&id).is_empty());
            // The connection carries the next request.
            let id = fresh_id();
            let text = head(&id, "/up/x", 9000, LARGE);
            stream.write_all(text.as_bytes()).unwrap();
            stream.write_all(body(LARGE).as_bytes()).unwrap();
            let (response, _) = read_response(&mut stream);
            assert!(response.starts_with("http/1.1 200 "), "{response}");
            assert!(site.received(&id) == [body(LARGE).into_bytes()]);
        }
    }
    let page = http(site.entry().admin, "GET", "/metrics", &[], "").unwrap();
    assert!(page.body.contains("reason=\"link-full\",route=\"up\""));
    assert!(page
        .body
        .contains("outcome=\"not-run\",rank=\"2\",route=\"up\""));
    let rejected = site.0.nodes[1].process.wait_line("event=upload_rejected");
    assert!(rejected.contains("reason=link-full"), "{rejected}");
}

/// Guards against a target that responds before it has read the body, reads on later, and gets something else than the rest
/// of that body.
#[test]
fn a_target_that_responds_early_gets_the_rest_of_the_body() {
    let site = UploadSite::start(2);
    let state = site.0.nodes[1].target.state.clone();
    state.lock().unwrap().held = true;
    let ids = [fresh_id(), fresh_id()];
    for (i, id) in ids.iter().enumerate() {
        // Both through another node and without one.
        let caller = site.0.nodes[i].caller;
        let res = send(caller, id, "/up/early", "4000", &body(1 << 20)).unwrap();
        assert_eq!((res.status, res.body.as_str()), (200, "hello"));
    }
    assert!(ids.iter().all(|id| site.received(id).is_empty()));
    let reads_on = std::thread::spawn(move || {
        std::thread::sleep(ms(1500));
        state.lock().unwrap().held = false;
    });
    // They begin before the target reads on, and on other connections unless the machine is very slow.
    for _ in 0..20 {
        let res = site.entry().send("GET", "/safe/x");
        assert_eq!(res.unwrap().status, 200);
    }
    reads_on.join().unwrap();
    wait_until("the target reads on", || {
        ids.iter()
            .all(|id| site.received(id) == [body(1 << 20).into_bytes()])
    });
    let id = fresh_id();
    let res = send(site.entry().caller, &id, "/up/x", "9000", &body(LARGE)).unwrap();
    assert_eq!(res.status, 200);
    assert!(site.received(&id) == [body(LARGE).into_bytes()]);
    wait_until("the memory of the bodies is free", || {
        metric(&site.0.nodes[1], "dq_sidecar_upload_bytes") == 0
    });
}

/// Guards against a burst of uploads from several nodes that blocks pings and small requests of all nodes, so that links
/// are closed, against untrue rejections, and against service that does not recover.
#[test]
fn a_burst_of_uploads_leaves_the_links_usable() {
    let site = UploadSite::start(4);
    for n in &site.0.nodes[1..3] {
        n.target.state.lock().unwrap().reported = "draining";
    }
    std::thread::sleep(ms(1100));
    let entries = &site.0.nodes[..3];
    let bursts: Vec<_> = entries.iter().map(|n| burst(n, ms(2500))).collect();
    while !bursts.iter().all(JoinHandle::is_finished) {
        for n in entries {
            let res = n.send_as(&fresh_id(), "GET", "/safe/x", "1000");
            assert_eq!(res.unwrap().status, 200);
        }
    }
    let results: Vec<_> = bursts.into_iter().flat_map(|b| b.join().unwrap()).collect();
    for (id, status) in &results {
        let runs = site.received(id).len();
        match status {
            200 => assert_eq!(runs, 1, "{id}"),
            408 | 503 => assert_eq!(runs, 0, "{id} {status}"),
            _ => assert!(runs <= 1, "{id} {status}"),
        }
    }
    assert!(results.iter().any(|(_, status)| *status == 200));
    assert!(results.iter().any(|(_, status)| *status == 503));
    for n in &site.0.nodes {
        let lost = n.process.lines().iter().any(|l| l.contains("link_lost"));
        assert!(!lost, "a link was closed");
    }
    wait_until("uploads are served again", || {
        let id = fresh_id();
        let res = send(site.entry().caller, &id, "/up/x", "9000", &body(LARGE));
        res.is_some_and(|r| r.status == 200)
    });
}

/// Guards against a caller that waits for permission to send its body and never gets it, or gets it for a request that is
/// rejected.
#[test]
fn callers_that_wait_for_permission_to_send_get_it() {
    let site = UploadSite::start(2);
    let id = fresh_id();
    let mut stream = connect(site.entry());
    let expecting = |id: &str, path: &str| {
        head(id, path, 9000, LARGE).replace("\r\nhost", "\r\nexpect: 100-continue\r\nhost")
    };
    stream
        .write_all(expecting(&id, "/up/x").as_bytes())
        .unwrap();
    let mut line = [0; 25];
    stream.read_exact(&mut line).unwrap();
    assert_eq!(&line, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(body(LARGE).as_bytes()).unwrap();
    let (response, _) = read_response(&mut stream);
    assert!(response.starts_with("http/1.1 200 "), "{response}");
    assert!(site.received(&id) == [body(LARGE).into_bytes()]);
    let id = fresh_id();
    stream
        .write_all(expecting(&id, "/none/x").as_bytes())
        .unwrap();
    let mut start = [0; 12];
    stream.read_exact(&mut start).unwrap();
    assert_eq!(&start, b"HTTP/1.1 404");
}
