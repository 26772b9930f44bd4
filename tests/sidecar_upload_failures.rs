//! Requests with large bodies that break off, on real processes: what targets and callers get, and what stays behind.

mod site_kit;
mod workdir;

use std::io::Write;
use std::net::TcpStream;

use site_kit::upload::{
    body, connect, head, max_memory, metric, ms, read_response, UploadSite, BODY_BYTES, LARGE,
};
use site_kit::{config, fresh_id, Node, Site, SERVICE};
use workdir::wait_until;

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
