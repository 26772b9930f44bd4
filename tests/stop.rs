//! Planned stops: the plan, the phases, the monitor of the backend server, and real processes under load.

mod node_site;
mod workdir;

use std::sync::atomic::{AtomicBool, Ordering};

use dragonflyquay::digest::Digest;
use dragonflyquay::key::SharedKey;
use dragonflyquay::prelude::Duration;
use dragonflyquay::process::lifecycle::drain::{
    plan_stop, Drain, KnownTarget, Phase, PlannedStop, PlannedStops,
};
use dragonflyquay::process::members::record::TargetState;
use dragonflyquay::process::target::monitor::{
    Action, BackendAnnouncement, Monitor, ANNOUNCEMENT_TTL,
};
use dragonflyquay::process::versions::floor;
use dragonflyquay::version::snapshot::VersionRef;
use node_site::{book, outcome, Site};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use workdir::{http, wait_until};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn known_targets(n: u8) -> Vec<KnownTarget> {
    let target = |i| KnownTarget {
        node: format!("n{i}").into(),
        incarnation: 1,
        ready: true,
        dead: false,
    };
    (0..n).map(target).collect()
}

fn stop(i: u8) -> PlannedStop {
    PlannedStop {
        node: format!("n{i}").into(),
        incarnation: 1,
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against concurrent plans that stop the last target, whatever the order of their reads and writes.
    #[test]
    fn racing_plans_leave_one_target(n in 1..5_u8, steps in prop::collection::vec((0..5_u8, any::<bool>()), 1..60)) {
        let known = known_targets(n);
        let (mut stored, mut revision) = (PlannedStops::new(), 0_u64);
        let mut read: Vec<Option<(u64, PlannedStops)>> = vec![None; 5];
        let mut planned = 0;
        for (planner, write) in steps.into_iter().filter(|(planner, _)| *planner < n) {
            let slot = &mut read[usize::from(planner)];
            match slot.take().filter(|_| write) {
                None => *slot = Some((revision, stored.clone())),
                Some((read_revision, stops)) => {
                    if let Ok(next) = plan_stop(stops, &stop(planner), &known, false) {
                        if read_revision == revision && next != stored {
                            (stored, revision, planned) = (next, revision + 1, planned + 1);
                        }
                    }
                }
            }
        }
        prop_assert!(planned < n, "{planned} of {n} targets are stopped");
        prop_assert_eq!(stored.len(), usize::from(planned));
    }

    /// Guards against a stop that completes with unfinished requests, or rejects requests before its record has
    /// propagated.
    #[test]
    fn drained_only_when_idle(busy in prop::collection::vec(0..3_usize, 1..100)) {
        let mut d = Drain::default();
        d.begin(Duration::ZERO);
        for (i, busy) in busy.iter().enumerate() {
            let now = Duration::from_millis(100 * (i as u64 + 1));
            let before = d.phase();
            d.tick(now, *busy, true);
            if now < Duration::from_secs(2) {
                prop_assert!(d.accepts());
            }
            if d.phase() == Phase::Drained && before != Phase::Drained {
                prop_assert_eq!(*busy, 0);
            }
        }
    }
}

/// Guards against planned stops that stay in the list after their node has stopped or restarted, and against a
/// rejection that `force` does not override.
#[test]
fn obsolete_stops_are_removed() {
    let mut known = known_targets(3);
    known[0].incarnation = 2;
    known[1].dead = true;
    let next = plan_stop(vec![stop(0), stop(1)], &stop(2), &known, false);
    assert_eq!(
        next.unwrap(),
        vec![stop(2)],
        "n0 has restarted and is ready"
    );
    known[0].ready = false;
    assert!(plan_stop(vec![stop(1)], &stop(2), &known, false).is_err());
    assert!(plan_stop(vec![stop(1)], &stop(2), &known, true).is_ok());
}

fn announcement(incarnation: u64, state: TargetState, healthy: bool) -> BackendAnnouncement {
    BackendAnnouncement {
        address: ([127, 0, 0, 1], 9).into(),
        service: "parcel-hall".into(),
        state,
        slots: 6,
        connections: 100,
        incarnation,
        healthy: Some(healthy),
        load: None,
    }
}

/// Guards against a crash that is missed, counted twice or reported for a planned stop, and against wrong health hints.
#[test]
fn monitor_counts_each_crash_once() {
    let ms = Duration::from_millis;
    let ready = |i| announcement(i, TargetState::Ready, true);
    let crashes = |out: Vec<Action>| {
        out.into_iter()
            .filter(|a| matches!(a, Action::Crashed(_)))
            .count()
    };
    let mut m = Monitor::default();
    assert_eq!(crashes(m.on_announcement(ready(1), ms(0))), 0);
    assert!(matches!(
        m.on_connection_error(ms(10))[..],
        [Action::Probe(_)]
    ));
    assert_eq!(m.on_connection_error(ms(11)), vec![], "one probe at a time");
    assert_eq!(
        crashes(m.on_probe_result(([127, 0, 0, 1], 9).into(), false, ms(12))),
        1
    );
    assert_eq!(m.state(ms(13)), TargetState::Gone);
    assert_eq!(
        crashes(m.on_announcement(ready(2), ms(20))),
        0,
        "already counted by the probe"
    );
    assert_eq!(crashes(m.on_announcement(ready(3), ms(30))), 1);
    m.on_announcement(announcement(3, TargetState::Draining, true), ms(40));
    assert_eq!(
        crashes(m.on_announcement(ready(4), ms(50))),
        0,
        "the stop was announced"
    );
    for i in 0..5 {
        m.on_response(ms(60 + i));
        m.on_announcement(announcement(4, TargetState::Ready, false), ms(60 + i));
    }
    assert_eq!(
        m.state(ms(70)),
        TargetState::Ready,
        "recent responses override health hints"
    );
    assert_eq!(m.state(ms(3000)), TargetState::Starting);
    assert_eq!(m.state(ms(64) + ANNOUNCEMENT_TTL), TargetState::Gone);
}

/// Guards against a floor token that is valid without the shared key or for another site.
#[test]
fn floor_token_needs_the_key() {
    let key = SharedKey::new(b"0123456789abcdef").unwrap();
    let other = SharedKey::new(b"0123456789abcdeF").unwrap();
    let v = VersionRef {
        number: 7,
        hash: Digest::of(b"x"),
    };
    let token = floor::issue(v, "trust", Some(&key));
    assert_eq!(floor::read(&token, "trust", Some(&key)), Some(v));
    assert_eq!(floor::read(&token, "trust", Some(&other)), None);
    assert_eq!(floor::read(&token, "leiloes", Some(&key)), None);
    let plain = floor::issue(v, "trust", None);
    assert_eq!(floor::read(&plain, "trust", None), Some(v));
    assert_eq!(floor::read(&plain, "trust", Some(&key)), None);
}

/// Guards against a planned stop that interrupts, loses or duplicates a request, stays in the list, or never completes.
#[test]
fn stop_under_load_loses_nothing() {
    let site = Site::start(3, "parcel-hall", &["--work-ms", "60"]);
    let load_done = AtomicBool::new(false);
    let callers: Vec<_> = site.nodes.iter().map(|(_, p)| p.caller).collect();
    let admin = site.nodes[0].1.admin.to_string();
    let keys = std::thread::scope(|s| {
        let load = |i: usize| {
            let (callers, load_done) = (&callers, &load_done);
            move || {
                let mut keys = Vec::new();
                while !load_done.load(Ordering::Relaxed) {
                    let caller = callers[i % callers.len()];
                    let key = http(caller, "POST", "/.dq/key", &[], "").unwrap().body;
                    let key = key.trim().to_owned();
                    let r = book(caller, &key, "x").expect("a complete response");
                    assert_eq!(outcome(&r), (200, "done".into(), "".into()), "{key}");
                    keys.push(key);
                }
                keys
            }
        };
        let threads: Vec<_> = (0..6).map(|i| s.spawn(load(i))).collect();
        let out = site.dir.run(&["stop", "--node", &admin]);
        load_done.store(true, Ordering::Relaxed);
        assert!(out.status.success(), "{out:?}");
        assert!(
            String::from_utf8_lossy(&out.stdout).ends_with("drained, 0 requests left\n"),
            "{out:?}"
        );
        let sent_keys = threads.into_iter().flat_map(|t| t.join().unwrap());
        sent_keys.collect::<Vec<_>>()
    });
    assert!(keys.len() > 20);
    for key in &keys {
        assert_eq!(site.runs(key), 1, "{key}");
    }
    wait_until("the stop is removed from the list", || {
        site.stops("parcel-hall") == 0
    });
    let status = site.dir.run(&["status", "--node", &admin, "--all"]);
    let text = String::from_utf8_lossy(&status.stdout).into_owned();
    assert!(
        text.contains("stop=drained")
            && text.contains("member=n2 az=c state=alive version=1 lag=0"),
        "{text}"
    );
}

/// Guards against concurrent stops that stop the last target, and against exit codes that do not distinguish errors.
#[test]
fn racing_stops_leave_one_target() {
    let mut site = Site::start(2, "parcel-hall", &[]);
    let admin: Vec<_> = site
        .nodes
        .iter()
        .map(|(_, p)| p.admin.to_string())
        .collect();
    let codes: Vec<_> = std::thread::scope(|s| {
        let run = |a| {
            let dir = &site.dir;
            move || dir.run(&["stop", "--node", a]).status.code()
        };
        let both: Vec<_> = admin.iter().map(|a| s.spawn(run(a))).collect();
        both.into_iter()
            .map(|t| t.join().unwrap().unwrap())
            .collect()
    });
    assert!(codes == [0, 3] || codes == [3, 0], "{codes:?}");
    let remaining = codes.iter().position(|c| *c == 3).unwrap();
    assert!(site
        .key(remaining)
        .is_some_and(|k| site.book(remaining, &k, "x").unwrap().status == 200));
    let down = set_store_faults(&site, "{\"down\":true}");
    assert_eq!(
        site.dir
            .run(&["stop", "--node", &admin[remaining], "--force"])
            .status
            .code(),
        Some(6),
        "{down}"
    );
    assert!(
        site.dir
            .run(&["status", "--node", &admin[remaining], "--json"])
            .status
            .success(),
        "status works without the store"
    );
    set_store_faults(&site, "{}");
    assert_eq!(
        site.dir
            .run(&["stop", "--node", &admin[remaining], "--force"])
            .status
            .code(),
        Some(0)
    );
    site.nodes[remaining].0.signal("TERM");
    assert_eq!(site.nodes[remaining].0.wait(), Some(0));
}

fn set_store_faults(site: &Site, faults: &str) -> u16 {
    workdir::http_json(site.store, "PUT", "/v1/faults", faults)
        .unwrap()
        .status
}

/// Guards against a process that stops on SIGTERM before it has responded, and against shards that keep it as their
/// owner.
#[test]
fn sigterm_drains_first() {
    let mut site = Site::start(2, "parcel-hall", &["--work-ms", "1500"]);
    let key = site.key_owned_by(0);
    let caller = site.nodes[0].1.caller;
    let sent = std::thread::spawn({
        let key = key.clone();
        move || book(caller, &key, "x")
    });
    wait_until("the request runs", || site.runs(&key) == 1);
    site.nodes[0].0.signal("TERM");
    assert_eq!(sent.join().unwrap().unwrap().status, 200);
    assert_eq!(site.nodes[0].0.wait(), Some(0));
    wait_until("the other node owns all shards", || {
        (0..16).all(|s| site.ranges(s).unwrap().last().unwrap()["owner"] == "n1")
    });
    let new = site.key(1).unwrap();
    assert_eq!(site.book(1, &new, "x").unwrap().status, 200);
}
