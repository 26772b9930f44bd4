//! Requests of the `sidecar` command whose callers leave or whose deadlines pass while they wait or travel.

#[allow(dead_code, unreachable_pub)]
#[path = "soak_kit/proxy.rs"]
mod proxy;
mod site_kit;
mod workdir;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use proxy::{Mode, Proxy};
use site_kit::{config, fresh_id, Site, HOST};
use tokio::runtime::Runtime;
use workdir::wait_until;

/// Two nodes; links to the second one go through a proxy, and the target of the first one is draining.
struct DelayedSite {
    site: Site,
    proxy: Proxy,
    _runtime: Runtime,
}

impl DelayedSite {
    fn start() -> Self {
        let runtime = Runtime::new().unwrap();
        let proxy = runtime.block_on(Proxy::start());
        let mut site = Site::empty();
        site.store.put_config(&config(1, ""));
        site.add_node(0);
        let relay = site
            .add_node_with(1, &format!("advertise = \"{}\"\n", proxy.address))
            .relay;
        proxy.forward(relay);
        site.nodes.iter().for_each(site_kit::Node::wait_ready);
        site.wait_linked();
        site.drain_first_target();
        // The target of the first node gets no more requests after half the drain time.
        std::thread::sleep(Duration::from_millis(1100));
        Self {
            site,
            proxy,
            _runtime: runtime,
        }
    }

    fn runs(&self, id: &str) -> usize {
        self.site.nodes.iter().map(|n| n.target.runs(id)).sum()
    }

    /// Waits until the second node has handled everything that was sent to it before.
    fn wait_passed(&self) {
        wait_until("requests pass again", || {
            let res = self.site.nodes[0].send("GET", "/safe/x");
            res.is_some_and(|res| res.status == 200)
        });
    }
}

/// Guards against a target that runs a request whose deadline passed while the request was under way between nodes.
#[test]
fn a_request_delayed_past_its_deadline_is_not_run() {
    let s = DelayedSite::start();
    s.proxy.set(Mode::Delay(Duration::from_millis(900)));
    let id = fresh_id();
    let res = s.site.nodes[0].send_as(&id, "GET", "/safe/x", "250");
    assert_ne!(res.unwrap().status, 200);
    std::thread::sleep(Duration::from_millis(1500));
    s.proxy.set(Mode::Pass);
    s.wait_passed();
    assert_eq!(s.runs(&id), 0);
}

/// Guards against a target that runs a request which its entry node has given up because the link did not respond.
#[test]
fn a_request_given_up_on_an_unresponsive_link_is_not_run() {
    let s = DelayedSite::start();
    s.proxy.set(Mode::StallForward);
    let id = fresh_id();
    let res = s.site.nodes[0].send_as(&id, "GET", "/safe/x", "4000");
    assert_ne!(res.unwrap().status, 200);
    s.proxy.set(Mode::Pass);
    s.wait_passed();
    assert_eq!(s.runs(&id), 0);
}

/// Guards against running work that is given up because its node was silent for a while: no other target can run it, and
/// its response arrives when the node is heard again.
#[test]
fn a_request_at_a_silent_node_gets_its_response() {
    let s = DelayedSite::start();
    let id = fresh_id();
    let caller = s.site.nodes[0].caller;
    let request_id = id.clone();
    let request = std::thread::spawn(move || {
        let headers = [
            ("dragonflyquay-request-id", request_id.as_str()),
            ("dragonflyquay-deadline-ms", "4000"),
            ("host", HOST),
        ];
        workdir::http(caller, "GET", "/safe/slow", &headers, "")
    });
    wait_until("the target runs the request", || s.runs(&id) == 1);
    s.proxy.set(Mode::Stall);
    std::thread::sleep(Duration::from_millis(800));
    s.proxy.set(Mode::Pass);
    assert_eq!(request.join().unwrap().unwrap().status, 200);
    assert_eq!(s.runs(&id), 1);
}

/// Guards against a caller's close that stays unseen behind bytes of its next request.
#[test]
fn a_close_behind_a_pipelined_request_cancels_the_first() {
    let site = Site::start(1);
    let n = &site.nodes[0];
    let id = fresh_id();
    let request = |path: &str, id: &str| {
        format!(
            "GET {path} HTTP/1.1\r\nhost: {HOST}\r\ndragonflyquay-request-id: {id}\r\ndragonflyquay-deadline-ms: 4000\r\n\r\n"
        )
    };
    let mut s = TcpStream::connect(n.caller).unwrap();
    let text = request("/safe/slow", &id) + &request("/safe/x", &fresh_id());
    s.write_all(text.as_bytes()).unwrap();
    wait_until("the target runs the request", || n.target.runs(&id) == 1);
    drop(s);
    wait_until("the target has finished", || {
        let received = n.target.received.lock().unwrap();
        received.iter().any(|r| r.id == id && !r.connected)
    });
}
