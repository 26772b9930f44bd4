//! Requests with large bodies on real processes: what targets and callers get, whatever breaks off.

mod site_kit;
mod workdir;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::Duration;

use site_kit::{config, fresh_id, Node, Site, HOST, SERVICE};
use workdir::{http, wait_until, Response};

/// Size of the largest uploads.
const LARGE: usize = 360_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Counter of the bytes of bodies that arrived on links.
const BODY_BYTES: &str = "dq_sidecar_link_received_bytes_total{kind=\"body\"}";

/// A body in which every part differs from every other.
fn body(len: usize) -> String {
    let mut text: String = (0..len / 8 + 1).map(|n| format!("{n:07},")).collect();
    text.truncate(len);
    text
}

/// Nodes with narrow links. The target of the first one is draining, so that requests go to the other nodes.
struct UploadSite(Site);

impl UploadSite {
    fn start(nodes: usize) -> Self {
        let mut site = Site::empty();
        let upload = format!(
            r#",{{"name":"up","prefix":"/up/","route_type":"upload","timeout_ms":9000,"priority":2,"service":"{SERVICE}","retry_attempts":2}}"#
        );
        site.store.put_config(&config(1, &upload));
        for i in 0..nodes {
            site.add_node_with(i, "link_mbps = 10.0\n");
        }
        site.nodes.iter().for_each(Node::wait_ready);
        site.wait_linked();
        site.nodes[0].target.state.lock().unwrap().reported = "draining";
        wait_until("requests go to the other nodes", || {
            let id = fresh_id();
            site.nodes[0].send_as(&id, "GET", "/safe/x", "4000");
            let others = site.nodes[1..].iter();
            others.map(|n| n.target.runs(&id)).sum::<usize>() == 1
        });
        Self(site)
    }

    fn entry(&self) -> &Node {
        &self.0.nodes[0]
    }

    /// Bodies that targets received for a request.
    fn received(&self, id: &str) -> Vec<Vec<u8>> {
        let mut found = Vec::new();
        for n in &self.0.nodes {
            let received = n.target.received.lock().unwrap();
            let own = received.iter().filter(|r| r.id == id);
            found.extend(own.map(|r| r.body.clone()));
        }
        found
    }

    /// Sends an upload of [`LARGE`] bytes in another thread.
    fn upload(&self, id: &str, path: &str) -> JoinHandle<Option<Response>> {
        let (caller, id, path) = (self.entry().caller, id.to_owned(), path.to_owned());
        std::thread::spawn(move || send(caller, &id, &path, "9000", &body(LARGE)))
    }
}

fn send(
    caller: std::net::SocketAddr,
    id: &str,
    path: &str,
    timeout_ms: &str,
    body: &str,
) -> Option<Response> {
    let headers = [
        ("dragonflyquay-request-id", id),
        ("dragonflyquay-deadline-ms", timeout_ms),
        ("host", HOST),
    ];
    http(caller, "POST", path, &headers, body)
}

/// Head of a request that announces a body.
fn head(id: &str, path: &str, timeout_ms: u64, len: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\ndragonflyquay-request-id: {id}\r\n\
         dragonflyquay-deadline-ms: {timeout_ms}\r\ncontent-length: {len}\r\n\r\n"
    )
}

fn connect(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.caller).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(15)))
        .unwrap();
    stream
}

/// Reads a response with a content length. Returns its status line and its body.
fn read_response(stream: &mut TcpStream) -> (String, String) {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        assert_eq!(
            stream.read(&mut byte).unwrap(),
            1,
            "the response ends early"
        );
        text.push(byte[0]);
    }
    let text = String::from_utf8(text).unwrap().to_ascii_lowercase();
    let len = text.split("content-length: ").nth(1).unwrap();
    let len = len.split("\r\n").next().unwrap().parse().unwrap();
    let mut body = vec![0; len];
    stream.read_exact(&mut body).unwrap();
    (text, String::from_utf8(body).unwrap())
}

fn metric(node: &Node, name: &str) -> u64 {
    let page = http(node.admin, "GET", "/metrics", &[], "").unwrap().body;
    let line = page.lines().find(|l| l.starts_with(&format!("{name} ")));
    line.map_or(0, |l| l.rsplit(' ').next().unwrap().parse().unwrap())
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

/// Guards against a body of which only a part was sent that reaches a target as a complete one, and against memory and
/// width that it keeps.
#[test]
fn a_body_that_breaks_off_never_reaches_a_target() {
    let site = UploadSite::start(2);
    for entry in [0, 1] {
        for sent in [0, 5_000, 100_000, LARGE - 1] {
            let id = fresh_id();
            let mut stream = connect(&site.0.nodes[entry]);
            let text = head(&id, "/up/x", 9000, LARGE);
            stream.write_all(text.as_bytes()).unwrap();
            stream.write_all(&body(LARGE).as_bytes()[..sent]).unwrap();
            wait_until("the upload is admitted", || {
                metric(&site.0.nodes[1], "dq_sidecar_upload_bytes") == LARGE as u64
            });
            drop(stream);
            wait_until("the upload is given up", || {
                metric(&site.0.nodes[1], "dq_sidecar_upload_bytes") == 0
            });
            assert!(site.received(&id).is_empty(), "{entry} {sent}");
        }
    }
    let id = fresh_id();
    let res = site.upload(&id, "/up/x").join().unwrap().unwrap();
    assert_eq!(res.status, 200);
    assert!(site.received(&id) == [body(LARGE).into_bytes()]);
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

/// Guards against a caller that stops half-way and whose request is reported as possibly run.
#[test]
fn a_caller_that_stops_half_way_gets_a_true_rejection() {
    let site = UploadSite::start(2);
    for entry in [0, 1] {
        let id = fresh_id();
        let mut stream = connect(&site.0.nodes[entry]);
        let text = head(&id, "/up/x", 700, LARGE);
        stream.write_all(text.as_bytes()).unwrap();
        stream.write_all(&body(LARGE).as_bytes()[..50_000]).unwrap();
        let (response, _) = read_response(&mut stream);
        assert!(response.starts_with("http/1.1 408 "), "{response}");
        assert!(site.received(&id).is_empty());
    }
}

/// Guards against an upload that is lost with the node that was receiving it, although no target had it and all of it can
/// be sent again, and against one that runs twice.
#[test]
fn an_upload_goes_to_another_node_when_its_node_dies() {
    let mut site = UploadSite::start(3);
    let id = fresh_id();
    let upload = site.upload(&id, "/up/x");
    let mut receiver = 0;
    wait_until("a node receives the upload", || {
        let receives = |n: &Node| metric(n, "dq_sidecar_upload_bytes") > 0;
        let found = (1..3).find(|i| receives(&site.0.nodes[*i]));
        receiver = found.unwrap_or_default();
        found.is_some()
    });
    site.0.nodes[receiver].process.kill();
    assert_eq!(upload.join().unwrap().unwrap().status, 200);
    assert!(site.received(&id) == [body(LARGE).into_bytes()]);
}

/// Guards against an upload that is reported as not run, or sent elsewhere, after a target got all of it.
#[test]
fn an_upload_that_a_target_has_is_unknown_when_its_node_dies() {
    let mut site = UploadSite::start(2);
    let target = site.0.nodes[1].target.clone();
    target.state.lock().unwrap().held = true;
    let id = fresh_id();
    let upload = site.upload(&id, "/up/hold");
    wait_until("the target runs the upload", || target.runs(&id) == 1);
    site.0.nodes[1].process.kill();
    let res = upload.join().unwrap().unwrap();
    assert!(matches!(res.status, 502 | 504), "{}", res.head);
    assert_eq!(target.runs(&id), 1);
    target.state.lock().unwrap().held = false;
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

/// Guards against a cancelled upload that keeps the link busy, at the node that sends it and at the one that receives it.
#[test]
fn cancelled_uploads_free_the_link_at_once() {
    let site = UploadSite::start(2);
    let receiver = &site.0.nodes[1];
    let len = 120_000;
    // Those of which only a part has been sent wait for their callers, the others for the link.
    for sent in [30_000, len] {
        let before = metric(receiver, BODY_BYTES);
        let mut streams: Vec<TcpStream> = Vec::new();
        for _ in 0..24 {
            let mut stream = connect(site.entry());
            let text = head(&fresh_id(), "/up/x", 9000, len);
            stream.write_all(text.as_bytes()).unwrap();
            stream.write_all(&body(len).as_bytes()[..sent]).unwrap();
            streams.push(stream);
        }
        wait_until("most are admitted", || {
            metric(receiver, "dq_sidecar_upload_bytes") >= 12 * len as u64
        });
        streams.clear();
        wait_until("all are given up", || {
            metric(receiver, "dq_sidecar_upload_bytes") == 0
                && metric(site.entry(), "dq_sidecar_in_flight_requests") == 0
        });
        // The link would need 2.4 s for all of them.
        let received = metric(receiver, BODY_BYTES) - before;
        assert!(received < 10 * len as u64, "{sent} {received}");
        let backlog = metric(receiver, "dq_sidecar_inbound_backlog_milliseconds");
        assert!(backlog < ms(200).as_millis() as u64);
    }
}

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

/// Guards against an upload that is sent to a second node from its middle, because its beginning was not kept, and
/// against memory of the entry node that grows with a body.
#[test]
fn an_upload_that_was_not_kept_is_not_sent_again() {
    let mut site = Site::empty();
    let upload = format!(
        r#",{{"name":"up","prefix":"/up/","route_type":"upload","timeout_ms":20000,"priority":2,"service":"{SERVICE}","retry_attempts":2}}"#
    );
    let config = config(1, &upload).replace("1048576", "67108864");
    site.store.put_config(&config);
    (0..3).for_each(|i| {
        site.add_node(i);
    });
    site.nodes.iter().for_each(Node::wait_ready);
    site.wait_linked();
    site.nodes[0].target.state.lock().unwrap().reported = "draining";
    std::thread::sleep(ms(1100));
    let (len, sent) = (60 << 20, 50 << 20);
    let before = max_memory(&site.nodes[0]);
    let id = fresh_id();
    let mut stream = connect(&site.nodes[0]);
    stream
        .write_all(head(&id, "/up/x", 20_000, len).as_bytes())
        .unwrap();
    stream.write_all(body(sent).as_bytes()).unwrap();
    let mut receiver = 0;
    wait_until("a node has received what was sent", || {
        let arrived = |n: &Node| metric(n, BODY_BYTES) + (1 << 20) > sent as u64;
        let found = (1..3).find(|i| arrived(&site.nodes[*i]));
        receiver = found.unwrap_or_default();
        found.is_some()
    });
    let used = max_memory(&site.nodes[0]) - before;
    // What is kept for another attempt, and what waits to be written.
    assert!(used < 24 << 20, "{before} {used} bytes");
    site.nodes[receiver].process.kill();
    let (response, _) = read_response(&mut stream);
    assert!(response.starts_with("http/1.1 503 "), "{response}");
    let runs: usize = site.nodes.iter().map(|n| n.target.runs(&id)).sum();
    assert_eq!(runs, 0);
}

/// Maximum memory that a process has used, in bytes.
fn max_memory(node: &Node) -> u64 {
    let page = std::fs::read_to_string(format!("/proc/{}/status", node.process.pid())).unwrap();
    let line = page.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    let kb: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kb << 10
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
