//! Targets that get more requests than they have slots, and what they do then: one test for each way.

mod site_kit;
mod workdir;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dragonflyquay::sidecar::process::target::queue::{Action, Arrival, Queue};
use site_kit::capacity::{Capacity, WhenFull};
use site_kit::{fresh_id, Node, Site, HOST};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Starts a site whose targets have this number of slots and say so.
fn start(nodes: usize, slots: usize, when_full: WhenFull) -> (Site, Vec<Arc<Capacity>>) {
    let site = Site::start(nodes);
    let limit = |n: &Node| {
        let capacity = Arc::new(Capacity::new(slots, when_full));
        let mut s = n.target.state.lock().unwrap();
        s.slots = slots as u32;
        s.capacity = Some(capacity.clone());
        capacity
    };
    let capacities = site.nodes.iter().map(limit).collect();
    // The next heartbeats.
    std::thread::sleep(ms(700));
    (site, capacities)
}

fn send(caller: SocketAddr, method: &str, path: &str, timeout_ms: &str) -> u16 {
    let id = fresh_id();
    let headers = [
        ("dragonflyquay-request-id", id.as_str()),
        ("dragonflyquay-deadline-ms", timeout_ms),
        ("host", HOST),
    ];
    workdir::http(caller, method, path, &headers, "").map_or(0, |res| res.status)
}

/// Sends requests from this number of callers for some time, each after the response to the one before. Returns the
/// statuses.
fn offer(
    caller: SocketAddr,
    callers: usize,
    time: Duration,
    request: (&'static str, &'static str, &'static str),
) -> Vec<u16> {
    let end = Instant::now() + time;
    let run = move || {
        let (method, path, timeout_ms) = request;
        let mut statuses = Vec::new();
        while Instant::now() < end {
            statuses.push(send(caller, method, path, timeout_ms));
            std::thread::sleep(ms(5));
        }
        statuses
    };
    let threads: Vec<_> = (0..callers).map(|_| std::thread::spawn(run)).collect();
    let joined = threads.into_iter().flat_map(|t| t.join().unwrap());
    joined.collect()
}

/// Guards against a slot that is used again while the target still runs the request that was given up at its deadline:
/// the target, which does not notice that the connection closed, would get more than it takes.
#[test]
fn requests_past_their_deadline_occupy_their_slots() {
    for path in ["/safe/busy-250", "/once/busy-250"] {
        let (site, capacities) = start(1, 2, WhenFull::Reject);
        let caller = site.nodes[0].caller;
        let statuses = offer(caller, 4, ms(2500), ("GET", path, "120"));
        let refused = capacities[0].refused();
        let sent = statuses.iter().filter(|s| **s == 504).count();
        assert!(sent > 0, "{path}: {statuses:?}");
        assert_eq!(refused, 0, "{path}: of {sent} sent");
    }
}

/// Guards against the same when callers leave: the slot is occupied until the target notices.
#[test]
fn requests_of_callers_that_left_occupy_their_slots() {
    let (site, capacities) = start(1, 2, WhenFull::Reject);
    let n = &site.nodes[0];
    for round in 0..8 {
        let running = |path: &str| {
            let mut s = TcpStream::connect(n.caller).unwrap();
            let id = fresh_id();
            let text = format!(
                "GET {path} HTTP/1.1\r\nhost: {HOST}\r\ndragonflyquay-request-id: {id}\r\ndragonflyquay-deadline-ms: 4000\r\n\r\n"
            );
            s.write_all(text.as_bytes()).unwrap();
            s
        };
        let left: Vec<_> = (0..2).map(|_| running("/safe/busy-250")).collect();
        std::thread::sleep(ms(60));
        drop(left);
        let next: Vec<_> = (0..2)
            .map(|_| {
                let caller = n.caller;
                std::thread::spawn(move || send(caller, "GET", "/safe/busy-20", "4000"))
            })
            .collect();
        for thread in next {
            assert_eq!(thread.join().unwrap(), 200, "round {round}");
        }
    }
    assert_eq!(capacities[0].refused(), 0);
}

fn arrival(ticket: u64, now: Duration) -> Arrival {
    Arrival {
        ticket,
        route: "r".into(),
        rank: 1,
        objective: ms(60_000),
        due: now + ms(60_000),
        deadline: now + ms(90_000),
        baseline: ms(100),
        max_wait: None,
        retry: false,
        link_backlog: ms(0),
        transfer: ms(0),
    }
}

fn dispatched(actions: &[Action]) -> usize {
    let dispatch = |a: &&Action| matches!(a, Action::Dispatch(_));
    actions.iter().filter(dispatch).count()
}

/// Guards against a target that never ends requests whose connections closed and loses its slots for good, and against
/// slots that are given out before the target has ended the request.
#[test]
fn an_abandoned_request_occupies_its_slot_for_a_bounded_time() {
    let mut q = Queue::default();
    q.set_slots(ms(0), 2);
    for t in 1..=4 {
        q.arrive(ms(0), arrival(t, ms(0)));
    }
    [1, 2].into_iter().for_each(|t| q.hold(t));
    assert_eq!(dispatched(&q.cancel(ms(10), 1)), 0);
    assert_eq!(q.load(ms(10)).running, 2);
    assert_eq!(dispatched(&q.finish(ms(20), 2, true)), 0);
    assert_eq!(dispatched(&q.release(ms(30), 1)), 1);
    // The target never ends the second one.
    assert_eq!(dispatched(&q.advance(ms(400))), 0);
    assert_eq!(dispatched(&q.advance(ms(2100))), 1);
    // A late end changes nothing.
    q.arrive(ms(2200), arrival(5, ms(2200)));
    assert_eq!(dispatched(&q.release(ms(2300), 2)), 0);
    assert_eq!(q.load(ms(2300)).running, 2);
}
