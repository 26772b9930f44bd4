//! At-most-once execution with real processes.

mod node_site;
mod workdir;

use std::time::Duration;

use node_site::{book, outcome, Site};
use workdir::{http, wait_until};

/// Guards against a duplicate that runs, never returns, or gets a response other than that of the first request.
#[test]
fn same_key_through_two_nodes_runs_once() {
    let site = Site::start(3, "parcel-hall", &["--work-ms", "400"]);
    let key = site.key(0).unwrap();
    let responses: Vec<_> = std::thread::scope(|s| {
        let ports = site.nodes.iter().map(|(_, p)| p.caller);
        let sent: Vec<_> = ports
            .map(|c| {
                s.spawn({
                    let key = &key;
                    move || book(c, key, "desk 4")
                })
            })
            .collect();
        sent.into_iter()
            .map(|t| t.join().unwrap().unwrap())
            .collect()
    });
    for r in &responses {
        assert_eq!(outcome(r), (200, "done".into(), "".into()), "{}", r.head);
        assert_eq!(r.body, responses[0].body);
    }
    assert_eq!(
        site.book(1, &key, "desk 4").unwrap().body,
        responses[0].body
    );
    assert_eq!(site.runs(&key), 1);
    let different = site.book(2, &key, "desk 5").unwrap();
    assert_eq!(
        outcome(&different),
        (422, "unknown".into(), "key-reused".into())
    );
    let caller = site.nodes[0].1.caller;
    let no_key = http(caller, "POST", "/bookings", &[], "desk 4").unwrap();
    assert_eq!(
        outcome(&no_key),
        (400, "not-run".into(), "key-required".into())
    );
    let invalid = site.book(0, "not-a-key", "desk 4").unwrap();
    assert_eq!(
        outcome(&invalid),
        (400, "not-run".into(), "key-invalid".into())
    );
    let expired = site
        .book(0, "01890a5d-ac96-774b-bcce-b302099a8057", "desk 4")
        .unwrap();
    assert_eq!(
        outcome(&expired),
        (504, "unknown".into(), "key-expired".into())
    );
    let metrics = http(site.nodes[0].1.admin, "GET", "/metrics", &[], "")
        .unwrap()
        .body;
    for reason in ["key-required", "key-invalid", "key-expired"] {
        assert!(
            metrics.contains(&format!("dq_refusals_total{{reason=\"{reason}\"}} 1")),
            "{metrics}"
        );
    }
}

/// Guards against a key that runs again or is reported as not run after its owner was killed, and against shards that
/// stay without a live owner.
#[test]
fn owner_killed_while_its_request_runs() {
    let mut site = Site::start(3, "parcel-hall", &["--work-ms", "1500"]);
    let key = site.key_owned_by(1);
    let caller = site.nodes[0].1.caller;
    let first = std::thread::spawn({
        let key = key.clone();
        move || book(caller, &key, "x")
    });
    wait_until("the request runs", || site.runs(&key) == 1);
    site.nodes[1].0.kill();
    let first = first.join().unwrap().unwrap();
    assert_eq!((first.status, first.header("dq-outcome")), (504, "unknown"));
    for i in [0, 2] {
        let retry = site.book(i, &key, "x").unwrap();
        assert_eq!((retry.status, retry.header("dq-outcome")), (504, "unknown"));
    }
    wait_until("the owner is considered dead", || {
        site.book(2, &key, "x")
            .is_some_and(|r| r.header("dq-reason") == "owner-unreachable")
    });
    assert_eq!(site.runs(&key), 1);
    wait_until("every shard has a live owner", || {
        let has_live_owner = |s| site.ranges(s).unwrap().last().unwrap()["owner"] != "n1";
        (0..16).all(has_live_owner)
    });
    let new = site.key(2).unwrap();
    assert_ne!(site.owner(&new), 1);
    assert_eq!(site.book(0, &new, "x").unwrap().status, 200);
    assert_eq!(site.runs(&new), 1);
}

/// Guards against two owners of one key when the first one is paused, considered dead and then resumed.
#[test]
fn owner_paused_and_resumed() {
    let site = Site::start(3, "parcel-hall", &["--work-ms", "1"]);
    let keys: Vec<_> = (0..4).map(|_| site.key_owned_by(1)).collect();
    let first = site.book(0, &keys[0], "x").unwrap();
    assert_eq!(first.status, 200);
    site.nodes[1].0.signal("STOP");
    let paused = site.book(0, &keys[1], "x").unwrap();
    assert_eq!(
        (paused.status, paused.header("dq-outcome")),
        (504, "unknown")
    );
    wait_until("the owner is considered dead", || {
        site.book(2, &keys[2], "x")
            .is_some_and(|r| r.header("dq-reason") == "owner-unreachable")
    });
    let new = site.key(0).unwrap();
    assert_eq!(site.book(2, &new, "x").unwrap().status, 200);
    site.nodes[1].0.signal("CONT");
    wait_until("the resumed owner answers", || {
        site.book(0, &keys[0], "x")
            .is_some_and(|r| r.status == 200 && r.body == first.body)
    });
    for key in &keys {
        for i in 0..3 {
            site.book(i, key, "x").unwrap();
        }
        // A request that the owner received before the pause may run late; this waits for a run in progress.
        std::thread::sleep(Duration::from_millis(50));
        assert!(site.runs(key) <= 1, "{key} ran {} times", site.runs(key));
    }
    assert_eq!((site.runs(&keys[0]), site.runs(&new)), (1, 1));
}
