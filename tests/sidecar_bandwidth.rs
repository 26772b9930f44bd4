//! Use of a VM's link by the messages of a node: simulated links, and nodes that send large responses.

mod site_kit;
mod workdir;

use std::thread::JoinHandle;
use std::time::Duration;

use dragonflyquay::request::reason::Reason;
use dragonflyquay::sidecar::process::bandwidth::{Bandwidth, Turn, Urgency, PIECE_BYTES};
use dragonflyquay::sidecar::process::target::queue::{Action, Arrival, Queue};
use site_kit::{config, fresh_id, Site, HOST, SERVICE};
use workdir::{http, wait_until};

/// Width of the simulated link, in Mbit/s: 1.25 MB/s.
const MBPS: f64 = 10.0;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn urgency(rank: usize, due: u64) -> Urgency {
    Urgency { rank, due: ms(due) }
}

/// A response that waits for the link or has left.
struct Response {
    id: u64,
    bytes: usize,
    left: usize,
    /// Time at which the last byte has left.
    sent: Option<Duration>,
}

/// A link to which every millisecond all transfers ask for their turn, the most urgent one last.
struct SimulatedLink {
    bandwidth: Bandwidth,
    now: Duration,
    /// Time at which the link has sent everything that was written.
    clear_at: Duration,
    responses: Vec<Response>,
}

impl SimulatedLink {
    fn new() -> Self {
        Self {
            bandwidth: Bandwidth::new(MBPS),
            now: Duration::ZERO,
            clear_at: Duration::ZERO,
            responses: Vec::new(),
        }
    }

    fn write(&mut self, bytes: usize) -> Duration {
        let time = Duration::from_secs_f64(bytes as f64 * 8.0 / (MBPS * 1e6));
        self.clear_at = self.clear_at.max(self.now) + time;
        self.clear_at
    }

    fn begin(&mut self, u: Urgency, bytes: usize) -> usize {
        let id = self.bandwidth.begin(u, bytes);
        self.responses.push(Response {
            id,
            bytes,
            left: bytes,
            sent: None,
        });
        self.responses.len() - 1
    }

    /// Writes a small message and returns for how long it waits for the link.
    fn send_small(&mut self) -> Duration {
        let wait = self.clear_at.saturating_sub(self.now);
        self.bandwidth.record_written(self.now, 400);
        self.write(400);
        wait
    }

    fn step(&mut self) {
        for _ in 0..self.responses.len() {
            for i in 0..self.responses.len() {
                if self.responses[i].sent.is_some() {
                    continue;
                }
                let id = self.responses[i].id;
                if let Turn::Write(bytes) = self.bandwidth.take_turn(self.now, id) {
                    let sent = self.write(bytes);
                    self.responses[i].left -= bytes;
                    if self.responses[i].left == 0 {
                        self.responses[i].sent = Some(sent);
                        self.bandwidth.end(id);
                    }
                }
            }
        }
        self.now += ms(1);
    }

    fn run_until_sent(&mut self) {
        while self.responses.iter().any(|r| r.sent.is_none()) {
            self.step();
            assert!(self.now < ms(60_000), "a response is never sent");
        }
    }
}

/// Guards against small messages that wait behind large responses, and against a link that idles while responses wait.
#[test]
fn small_messages_wait_for_one_piece_at_most() {
    let mut link = SimulatedLink::new();
    for _ in 0..20 {
        link.begin(urgency(2, 1500), 90_000);
    }
    let piece = Duration::from_secs_f64(PIECE_BYTES as f64 * 8.0 / (MBPS * 1e6));
    let mut longest = Duration::ZERO;
    while link.responses.iter().any(|r| r.sent.is_none()) {
        link.step();
        if link.now.as_millis().is_multiple_of(10) {
            longest = longest.max(link.send_small());
        }
    }
    // The piece, and what the link may still need for the one before it.
    assert!(longest <= piece + ms(4), "{longest:?}");
    let total: usize = link.responses.iter().map(|r| r.bytes).sum();
    let least = Duration::from_secs_f64(total as f64 * 8.0 / (MBPS * 1e6));
    assert!(link.now < least.mul_f64(1.1), "{:?}, {least:?}", link.now);
}

/// Guards against urgent responses that wait for others, against responses that share the link so that all are late, and
/// against late responses that make others late.
#[test]
fn the_most_urgent_response_goes_first() {
    let mut link = SimulatedLink::new();
    let late = link.begin(urgency(0, 0), 90_000);
    let second = link.begin(urgency(2, 900), 90_000);
    let first = link.begin(urgency(2, 500), 90_000);
    link.now = ms(1);
    link.step();
    let urgent = link.begin(urgency(1, 2000), 90_000);
    link.run_until_sent();
    let sent = |i: usize| link.responses[i].sent.unwrap();
    assert!(sent(urgent) < sent(first));
    assert!(sent(first) < sent(second));
    assert!(sent(second) < sent(late));
}

/// Guards against a transfer to a receiver that does not read, which holds up all others.
#[test]
fn a_transfer_that_does_not_ask_holds_up_no_other() {
    let mut b = Bandwidth::new(MBPS);
    let stalled = b.begin(urgency(0, 100), 90_000);
    assert!(matches!(b.take_turn(ms(0), stalled), Turn::Write(_)));
    let other = b.begin(urgency(2, 500), 90_000);
    assert!(matches!(b.take_turn(ms(20), other), Turn::Write(_)));
    b.end(stalled);
    assert!(matches!(b.take_turn(ms(40), other), Turn::Write(_)));
}

/// Guards against a backlog that forgets what is written, waits or is expected.
#[test]
fn the_backlog_counts_all_that_is_to_be_sent() {
    let mut b = Bandwidth::new(MBPS);
    assert_eq!(b.backlog(ms(0)), ms(0));
    b.record_written(ms(0), 12_500);
    assert_eq!(b.backlog(ms(0)), ms(10));
    assert_eq!(b.backlog(ms(4)), ms(6));
    let id = b.begin(urgency(1, 100), 125_000);
    assert_eq!(b.backlog(ms(10)), ms(100));
    b.reserve(25_000);
    assert_eq!(b.backlog(ms(10)), ms(120));
    b.end(id);
    b.release(25_000);
    assert_eq!(b.backlog(ms(10)), ms(0));
    // Small responses use the link, but do not wait for it.
    b.record_size(&"small".into(), 400);
    assert_eq!(b.transfer_time("small"), ms(0));
    b.record_size(&"large".into(), 125_000);
    assert_eq!(b.transfer_time("large"), ms(100));
}

/// A request of a route whose responses need the link for this time.
fn arrival(link_backlog: u64, transfer: u64, max_wait: Option<u64>) -> Arrival {
    Arrival {
        ticket: 1,
        route: "bulk".into(),
        tenant: Default::default(),
        rank: 2,
        objective: ms(1500),
        due: ms(1500),
        deadline: ms(5000),
        baseline: ms(0),
        max_wait: max_wait.map(ms),
        retry: false,
        link_backlog: ms(link_backlog),
        transfer: ms(transfer),
    }
}

/// Guards against requests that run although their responses cannot leave before they are due, and against small ones
/// that are rejected because the link is full. New requests take 100 ms at the target.
#[test]
fn requests_whose_responses_cannot_leave_in_time_are_rejected() {
    // Backlog, transfer, longest wait, and the expected rejection with its back-off.
    let full = |back_off| Some(Action::Reject(1, Reason::LinkFull, ms(back_off)));
    let cases = [
        (0, 0, None, None),
        (1300, 70, None, None),
        (1500, 70, None, full(70)),
        (3000, 70, None, full(1570)),
        (150, 70, Some(75), None),
        (200, 70, Some(75), full(0)),
    ];
    for (backlog, transfer, max_wait, expected) in cases {
        let mut q = Queue::default();
        q.set_slots(ms(0), 6);
        let actions = q.arrive(ms(0), arrival(backlog, transfer, max_wait));
        let expected = expected.unwrap_or(Action::Dispatch(1));
        assert_eq!(actions, [expected], "{backlog} {transfer} {max_wait:?}");
    }
}

/// Two nodes with narrow links. The target of the first one is draining, so that requests go to the second node.
struct NarrowSite(Site);

impl NarrowSite {
    fn start() -> Self {
        let mut site = Site::empty();
        let bulk = format!(
            r#",{{"name":"bulk","prefix":"/bulk/","route_type":"download","timeout_ms":9000,"priority":2,"service":"{SERVICE}","retry_attempts":2}}"#
        );
        site.store.put_config(&config(1, &bulk));
        for i in 0..2 {
            site.add_node_with(i, "link_mbps = 10.0\n");
        }
        site.nodes.iter().for_each(site_kit::Node::wait_ready);
        site.wait_linked();
        site.drain_first_target();
        Self(site)
    }

    /// Starts a download of 1 MB from the first node, and waits until the target of the second one has run it.
    fn download(&self) -> JoinHandle<Option<workdir::Response>> {
        let caller = self.0.nodes[0].caller;
        let id = fresh_id();
        let request_id = id.clone();
        let thread = std::thread::spawn(move || {
            let headers = [
                ("dragonflyquay-request-id", request_id.as_str()),
                ("dragonflyquay-deadline-ms", "9000"),
                ("host", HOST),
            ];
            http(caller, "GET", "/bulk/large", &headers, "")
        });
        wait_until("the target runs the download", || {
            self.0.nodes[1].target.runs(&id) == 1
        });
        thread
    }
}

/// Guards against a large response that arrives changed, and against small requests that wait for large responses of
/// other requests on a narrow link.
#[test]
fn lookups_pass_downloads_on_a_narrow_link() {
    let site = NarrowSite::start();
    let downloads = [site.download(), site.download(), site.download()];
    // The second node has 3 MB to send, which takes 2.4 s.
    while !downloads.iter().all(JoinHandle::is_finished) {
        let res = site.0.nodes[0].send_as(&fresh_id(), "GET", "/safe/x", "1000");
        assert_eq!(res.unwrap().status, 200);
    }
    for d in downloads {
        let res = d.join().unwrap().unwrap();
        assert_eq!(res.status, 200);
        assert!(res.body == site_kit::target::large_body());
    }
}

/// Guards against a part of a large response that passes as the whole, when the node that sends it dies.
#[test]
fn a_large_response_that_breaks_off_is_a_failure() {
    let mut site = NarrowSite::start();
    let download = site.download();
    std::thread::sleep(ms(300));
    site.0.nodes[1].process.kill();
    let res = download.join().unwrap().unwrap();
    assert!(matches!(res.status, 502..=504), "{}", res.head);
    assert_eq!(res.header("dragonflyquay-response-signature"), "");
}

/// Guards against a planned stop of the entry node that cuts a large response which it is still sending to its caller.
#[test]
fn a_planned_stop_finishes_large_responses() {
    let mut site = NarrowSite::start();
    let downloads = [0; 4].map(|_| site.download());
    site.0.nodes[0].process.signal("TERM");
    for d in downloads {
        let res = d.join().unwrap().unwrap();
        assert_eq!(res.status, 200);
        assert!(res.body == site_kit::target::large_body());
    }
    assert_eq!(site.0.nodes[0].process.wait(), Some(0));
}
