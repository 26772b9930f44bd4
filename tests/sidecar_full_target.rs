//! Targets that get more requests than they have slots, and what they do then: one test for each way.

mod site_kit;
mod workdir;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dragonflyquay::sidecar::process::target::full::{is_refusal, FullLimit};
use dragonflyquay::sidecar::process::target::queue::{Action, Arrival, Queue};
use dragonflyquay::sidecar::process::target::silence::ResponseTimes;
use site_kit::capacity::{Capacity, WhenFull};
use site_kit::{config, fresh_id, Node, Site, HOST};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Starts a site whose targets have this number of slots and say so.
fn start(nodes: usize, slots: usize, when_full: WhenFull) -> (Site, Vec<Arc<Capacity>>) {
    start_saying(nodes, slots, slots, when_full)
}

/// Starts a site whose targets have `slots` slots and say that they have `said`: something else occupies the others.
fn start_saying(
    nodes: usize,
    slots: usize,
    said: usize,
    when_full: WhenFull,
) -> (Site, Vec<Arc<Capacity>>) {
    let mut site = Site::empty();
    site.store.put_config(&config(1, ""));
    for i in 0..nodes {
        site.add_node_with(i, "limit_full = true\n");
    }
    site.nodes.iter().for_each(Node::wait_ready);
    site.wait_linked();
    let limit = |n: &Node| {
        let capacity = Arc::new(Capacity::new(slots, when_full));
        let mut s = n.target.state.lock().unwrap();
        s.slots = said as u32;
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
        tenant: Default::default(),
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
    assert_eq!([q.hold(1), q.hold(2)], [None; 2]);
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

/// Numbers of responses with each status.
fn tally(statuses: &[u16]) -> BTreeMap<u16, usize> {
    let mut out = BTreeMap::new();
    statuses
        .iter()
        .for_each(|s| *out.entry(*s).or_default() += 1);
    out
}

/// Guards against a target that resets or closes connections while its node goes on to send as much as before, and
/// against an outcome of a non-idempotent request that is told as not run.
#[test]
fn a_target_that_resets_connections_gets_fewer_requests() {
    for when_full in [WhenFull::Reset, WhenFull::Close] {
        let (site, capacities) = start_saying(1, 2, 6, when_full);
        let caller = site.nodes[0].caller;
        let statuses = offer(caller, 6, ms(3000), ("POST", "/once/busy-60", "4000"));
        let (refused, tally) = (capacities[0].refused(), tally(&statuses));
        println!("{when_full:?}: {refused} refused, {tally:?}");
        assert_eq!(tally.get(&502).copied().unwrap_or(0), refused, "{tally:?}");
        assert!(tally[&200] >= 60, "{tally:?}");
        assert!(refused * 3 <= tally[&200], "{when_full:?}: {tally:?}");
    }
}

/// Guards against an idempotent request that ends with the reset of a full target although another one has room.
#[test]
fn an_idempotent_request_goes_elsewhere_after_a_reset() {
    for when_full in [WhenFull::Reset, WhenFull::Close] {
        let (site, _) = start(2, 4, when_full);
        let full = Arc::new(Capacity::new(0, when_full));
        site.nodes[0].target.state.lock().unwrap().capacity = Some(full.clone());
        let caller = site.nodes[0].caller;
        let statuses = offer(caller, 2, ms(1000), ("GET", "/safe/busy-20", "4000"));
        assert_eq!(tally(&statuses).len(), 1, "{:?}", tally(&statuses));
        assert_eq!(statuses[0], 200);
        assert!(full.refused() > 0, "the full target was never tried");
    }
}

/// Guards against a silent target for which its callers wait until their deadline, against a connection that is used
/// again after silence, and against an outcome of a non-idempotent request that is told as not run.
#[test]
fn a_silent_target_is_given_up_before_the_deadline() {
    let (site, capacities) = start(2, 4, WhenFull::Silent);
    let caller = site.nodes[0].caller;
    for path in ["/safe/busy-30", "/once/busy-30"] {
        offer(caller, 3, ms(1500), ("GET", path, "4000"));
    }
    let few = Arc::new(Capacity::new(2, WhenFull::Silent));
    site.nodes[0].target.state.lock().unwrap().capacity = Some(few.clone());
    let start = Instant::now();
    let statuses = offer(caller, 8, ms(1500), ("GET", "/safe/busy-30", "4000"));
    println!(
        "{:?} after {:?}, {} unanswered",
        tally(&statuses),
        start.elapsed(),
        few.refused()
    );
    assert!(few.refused() > 0, "the target was never full");
    assert_eq!(tally(&statuses).len(), 1, "{:?}", tally(&statuses));
    assert_eq!(statuses[0], 200);
    let statuses = offer(caller, 8, ms(500), ("POST", "/once/busy-30", "1500"));
    assert!(
        statuses.iter().all(|s| [200, 502, 504].contains(s)),
        "{:?}",
        tally(&statuses)
    );
    let later = few.after_silence.load(std::sync::atomic::Ordering::SeqCst);
    assert_eq!(later, 0, "bytes on a silent connection");
    assert_eq!(capacities[1].refused(), 0);
}

/// Guards against a limit that takes many slots after few signs, which are lost where connections are reset for another
/// reason, that stays too high for a target with few slots, never ends, or grows again and again into a target that stays full.
#[test]
fn the_limit_of_a_full_target_ends_with_its_responses() {
    let mut f = FullLimit::default();
    assert_eq!(f.apply(13), 13);
    // A single sign.
    assert!(!f.on_full(ms(0), 12, 13, ms(100)));
    assert_eq!(f.apply(13), 13);
    // Further signs of the same event.
    assert!(f.on_full(ms(20), 2, 13, ms(100)));
    assert!(f.on_full(ms(30), 2, 13, ms(100)));
    assert_eq!(f.apply(13), 9);
    (0..100).for_each(|_| f.on_response(ms(90), 13));
    assert_eq!(f.apply(13), 9, "the target frees no slot so soon");
    // One more after each round of responses.
    (0..9 + 10 + 11 + 12).for_each(|_| f.on_response(ms(200), 13));
    assert_eq!(f.apply(13), 13);
    // One request in twenty is lost.
    for i in 0..200 {
        let now = ms(1000 + 50 * i);
        match i % 20 {
            0 => drop(f.on_full(now, 2, 13, ms(100))),
            _ => f.on_response(now, 13),
        }
        assert_eq!(f.apply(13), 13, "{i}");
    }
    // All are refused.
    for i in 0..40 {
        f.on_full(ms(20_000 + 10 * i), 0, 13, ms(100));
    }
    assert_eq!(f.apply(13), 1);
    // Each event doubles the number of rounds until the next trial.
    assert_eq!(f.apply(13), 1);
    (0..7).for_each(|_| f.on_response(ms(22_000), 13));
    assert_eq!(f.apply(13), 1);
    // Two seconds without a sign: the limit grows with each round, and ends.
    (1..13).for_each(|n| (0..n).for_each(|_| f.on_response(ms(22_400), 13)));
    assert_eq!(f.apply(13), 13);
}

/// Guards against connections of running requests that break for another reason and count as the sign of a full target.
#[test]
fn only_an_early_reset_is_a_refusal() {
    assert!(is_refusal(ms(5)));
    assert!(!is_refusal(ms(15)));
}

/// Guards against a slow target that counts as silent: its own response times set the bound, and a request that no
/// later one has overtaken is not given up.
#[test]
fn a_slow_target_is_not_silent() {
    let mut times = ResponseTimes::default();
    let route = "r".into();
    (0..19).for_each(|i| times.record(&route, ms(50 + 10 * i)));
    assert_eq!(times.bound("r"), None, "too few responses");
    times.record(&route, ms(100));
    let bound = times.bound("r").unwrap();
    assert!(bound >= ms(1200) && bound < ms(2400), "{bound:?}");
    // The target becomes slow.
    times.record(&route, ms(1000));
    assert!(times.bound("r").unwrap() >= ms(3000));
    assert_eq!(times.bound("other"), None);

    let mut q = Queue::default();
    q.set_slots(ms(0), 4);
    for t in 0..40 {
        let now = ms(100 * t);
        q.arrive(now, arrival(t, now));
        q.finish(now + ms(100), t, false);
    }
    let now = ms(4000);
    (100..104).for_each(|t| drop(q.arrive(now + ms(t - 100), arrival(t, now))));
    assert!(!q.is_unanswered(now + ms(1500), 100), "nothing overtook it");
    (101..104).for_each(|t| drop(q.finish(now + ms(120), t, false)));
    // Single requests may take ten times as long as others.
    assert!(!q.is_unanswered(now + ms(1050), 100), "it may be slow");
    assert!(q.is_unanswered(now + ms(1400), 100));
}

/// Guards against probes and checks of the target that take a slot which the node gives out at the same time.
#[test]
fn a_probe_occupies_a_slot() {
    let mut q = Queue::default();
    q.set_slots(ms(0), 1);
    q.occupy(7, ms(900));
    assert_eq!(dispatched(&q.arrive(ms(0), arrival(8, ms(0)))), 0);
    assert_eq!(dispatched(&q.release(ms(50), 7)), 1);
    q.finish(ms(100), 8, false);
    // A probe without an end.
    q.occupy(9, ms(1000));
    assert_eq!(dispatched(&q.arrive(ms(100), arrival(10, ms(100)))), 0);
    assert_eq!(dispatched(&q.advance(ms(999))), 0);
    assert_eq!(dispatched(&q.advance(ms(1000))), 1);
}
