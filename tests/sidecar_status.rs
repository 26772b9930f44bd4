//! Statuses of targets outside of those of the protocol, at nodes of the `sidecar` command.

mod peer_kit;
mod site_kit;
mod workdir;

use dragonflyquay::connection::upstream::final_status;
use peer_kit::{Behavior, Peer};
use site_kit::{fresh_id, Site};
use workdir::wait_until;

/// Status lines that are not those of a response: out of range, with other than three digits, and informational ones behind
/// which no response follows.
const STATUS_LINES: [&str; 18] = [
    "HTTP/1.1 000 No",
    "HTTP/1.1 001 No",
    "HTTP/1.1 099 No",
    "HTTP/1.1 600 No",
    "HTTP/1.1 999 No",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 199 No",
    "HTTP/1.1 2000 No",
    "HTTP/1.1 20 No",
    "HTTP/1.1 2 No",
    "HTTP/1.1 -200 No",
    "HTTP/1.1 +200 No",
    "HTTP/1.1 2 0 No",
    "HTTP/1.1 0x200 No",
    "HTTP/1.1 2OO No",
    "HTTP/1.1  No",
    "HTTP/1.1",
    "HTTP/9.9 200 OK",
];

/// Guards against such a status that reaches the caller as a response, with or without a signature, from the target of this
/// node or another one, on a new connection or a kept one; and against a kept connection that is used again.
#[test]
fn a_status_outside_the_protocol_is_a_failure() {
    for nodes in [1, 2] {
        let site = Site::start(nodes);
        let (entry, last) = (&site.nodes[0], &site.nodes[nodes - 1]);
        if nodes == 2 {
            site.drain_first_target();
        }
        for line in STATUS_LINES {
            last.target.state.lock().unwrap().status_line = line.into();
            for path in ["/once/status-line", "/once/status-line-plain"] {
                let id = fresh_id();
                let status = entry.send_as(&id, "POST", path, "1000").map(|r| r.status);
                assert!(matches!(status, Some(502 | 504)), "{line}: {status:?}");
                assert_eq!(last.target.runs(&id), 1, "{line}");
                let res = entry.send("GET", "/safe/x").unwrap();
                assert_eq!((res.status, res.body.as_str()), (200, "hello"), "{line}");
            }
        }
    }
}

/// Guards against such a status from another node: only its request fails, and its link stays open.
#[test]
fn a_status_outside_the_protocol_on_a_link_fails_its_request_only() {
    let mut site = Site::empty();
    site.store.put_config(&site_kit::config(1, ""));
    let behavior = Behavior {
        status: Some(200),
        informs: true,
    };
    let peer = Peer::start(&site, "peer", behavior);
    site.add_node(0);
    let n = &site.nodes[0];
    // Only the target of the peer takes requests.
    n.target.state.lock().unwrap().reported = "draining";
    n.wait_ready();
    wait_until("requests at the peer", || {
        n.send("POST", "/once/x");
        peer.request_count() > 0
    });
    let links = peer.link_count();
    for code in [0, 1, 99, 101, 199, 600, 999, 1000, u16::MAX] {
        peer.set_behavior(Behavior {
            status: Some(code),
            ..behavior
        });
        let before = peer.request_count();
        let res = n.send("POST", "/once/x").unwrap();
        assert_eq!(
            (res.status, peer.request_count() - before),
            (502, 1),
            "{code}"
        );
    }
    peer.set_behavior(behavior);
    assert_eq!(n.send("POST", "/once/x").unwrap().status, 200);
    assert_eq!(peer.link_count(), links);
}

/// Guards against a status of the protocol that counts as none.
#[test]
fn statuses_of_the_protocol_are_passed_on() {
    assert!((200..600).all(|code| final_status(code).is_some_and(|s| s.as_u16() == code)));
    let site = Site::start(1);
    let n = &site.nodes[0];
    for code in [200, 201, 299, 302, 404, 418, 500, 503, 599] {
        n.target.state.lock().unwrap().status_line = format!("HTTP/1.1 {code} X");
        let res = n.send("POST", "/once/status-line").unwrap();
        assert_eq!((res.status, res.body.as_str()), (code, "hello"));
    }
}
