//! Quarantine of requests that crash backend servers: the shared table, requests in flight, and real processes.

mod node_site;
mod workdir;

use std::collections::BTreeSet;

use dragonflyquay::digest::Digest;
use dragonflyquay::prelude::Duration;
use dragonflyquay::process::members::notices::{Crash, Suspect};
use dragonflyquay::process::target::quarantine::{
    ExecutionEnd, Executions, StartDecision, Suspects, Verdict, MAX_SUSPECTS, SUSPECT_TTL,
};
use node_site::{outcome, Site};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use workdir::{http, wait_until};

const CRASHING_REQUEST: u8 = 0;

fn fingerprint(n: u8) -> Digest {
    Digest::of(&[n])
}

fn suspect(n: u8, epoch: u64, ids: &[u64], age_ms: u64) -> Suspect {
    let crashes = ids
        .iter()
        .map(|id| Crash {
            id: *id,
            alone: false,
        })
        .collect();
    Suspect {
        fingerprint: fingerprint(n),
        epoch,
        crashes,
        age_ms,
    }
}

/// A backend server with its requests in flight and waiting.
#[derive(Default)]
struct Target {
    executions: Executions,
    running: Vec<(u64, u8)>,
    waiting: Vec<u8>,
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a request that keeps crashing backend servers, and against other requests that are quarantined or
    /// never run.
    #[test]
    fn crashing_request_is_stopped_and_others_finish(
        arrivals in prop::collection::vec(0..4_usize, 30),
        finish in prop::collection::vec(any::<bool>(), 400),
    ) {
        let mut suspects = Suspects::default();
        let mut targets: Vec<Target> = (0..4).map(|_| Target::default()).collect();
        let (mut crashes, mut finished) = (0, BTreeSet::new());
        for (i, t) in arrivals.iter().enumerate() {
            // Every fifth request is the crashing one; all others are distinct.
            let request = if i % 5 == 0 { CRASHING_REQUEST } else { i as u8 };
            targets[*t].waiting.push(request);
        }
        for (step, finish) in finish.iter().enumerate() {
            let now = Duration::from_millis(step as u64);
            let t = &mut targets[step % 4];
            let Target { executions, running, waiting } = t;
            waiting.retain(|request| match executions.start(fingerprint(*request), &suspects, now) {
                StartDecision::Run(id) => {
                    executions.mark_sent(id, &suspects, now);
                    running.push((id, *request));
                    false
                }
                StartDecision::Wait => true,
                StartDecision::Reject => {
                    assert_eq!(*request, CRASHING_REQUEST, "a request that does not crash is quarantined");
                    false
                }
            });
            if t.running.iter().any(|(_, request)| *request == CRASHING_REQUEST) {
                crashes += 1;
                for (f, c) in t.executions.attribute_crash(step as u64, &suspects, now) {
                    suspects.record_crash(f, c, now);
                }
                for (id, request) in t.running.drain(..) {
                    t.executions.end(id, ExecutionEnd::ConnectionLost, &suspects, now);
                    if request != CRASHING_REQUEST {
                        // The other requests are idempotent and are retried.
                        t.waiting.push(request);
                    }
                }
            } else if *finish {
                for (id, request) in t.running.drain(..) {
                    if let Some(f) = t.executions.end(id, ExecutionEnd::Completed, &suspects, now) {
                        suspects.clear(&f, now);
                    }
                    finished.insert(request);
                }
            }
        }
        prop_assert!(crashes <= 3, "{} crashes", crashes);
        prop_assert!(finished.len() >= 24, "only {} other requests finished", finished.len());
    }

    /// Guards against tables that depend on the order, duplication or loss of notices.
    #[test]
    fn notices_merge_in_any_order(
        list in prop::collection::vec((0..3_u8, 0..3_u64, 0..6_u64), 1..12),
        order in any::<u64>(),
    ) {
        let notices: Vec<_> = list.iter().map(|(n, e, id)| suspect(*n, *e, &[*id], 0)).collect();
        let mut shuffled = notices.clone();
        shuffled.extend(notices.clone());
        shuffled.rotate_left((order % notices.len() as u64) as usize);
        let now = Duration::from_secs(1);
        let (mut a, mut b) = (Suspects::default(), Suspects::default());
        notices.into_iter().for_each(|s| { a.merge(s, now); });
        shuffled.into_iter().for_each(|s| { b.merge(s, now); });
        prop_assert_eq!(a.list(now), b.list(now));
    }
}

/// Guards against a suspect that never expires, because each process that learns of it soon after its own start takes it for
/// younger than it is.
#[test]
fn a_suspect_gets_no_younger_in_new_processes() {
    let start = Duration::from_secs(3);
    let mut suspect = suspect(CRASHING_REQUEST, 0, &[1, 2, 3], 0);
    for _ in 0..5 {
        let mut table = Suspects::default();
        table.merge(suspect, start);
        suspect = table
            .get(
                &fingerprint(CRASHING_REQUEST),
                start + Duration::from_secs(100),
            )
            .unwrap();
    }
    assert_eq!(suspect.age_ms, 500_000);
    let mut table = Suspects::default();
    table.merge(suspect, start);
    let end = start + SUSPECT_TTL - Duration::from_secs(500);
    let verdict = |now| table.verdict(&fingerprint(CRASHING_REQUEST), now);
    assert_eq!(
        verdict(end - Duration::from_millis(1)),
        Verdict::Quarantined
    );
    assert_eq!(verdict(end), Verdict::Clean);
}

/// Guards against entries that never expire because nodes keep sending them to each other, and against an unbounded
/// table.
#[test]
fn suspects_expire_and_are_bounded() {
    let mut a = Suspects::default();
    let seconds = |s| Duration::from_secs(s);
    a.merge(suspect(1, 0, &[1, 2, 3], 0), seconds(100));
    assert_eq!(
        a.verdict(&fingerprint(1), seconds(100)),
        Verdict::Quarantined
    );
    let mut b = Suspects::default();
    for s in a.list(seconds(680)) {
        assert_eq!(
            b.merge(s, seconds(5)),
            None,
            "the notice is too old to be merged"
        );
    }
    assert_eq!(
        a.verdict(&fingerprint(1), seconds(100) + SUSPECT_TTL),
        Verdict::Clean
    );
    a.expire(seconds(100) + SUSPECT_TTL);
    assert!(a.list(seconds(700)).is_empty());
    for n in 0..2000_u64 {
        let crashes = vec![Crash {
            id: n,
            alone: false,
        }];
        let fingerprint = Digest::of(&n.to_be_bytes());
        a.merge(
            Suspect {
                fingerprint,
                epoch: 0,
                crashes,
                age_ms: 0,
            },
            seconds(n),
        );
    }
    assert_eq!(a.list(seconds(2000)).len(), MAX_SUSPECTS);
}

/// Guards against a request that keeps crashing backend servers when it is resent through other nodes, and against
/// an effect on other requests once it is quarantined.
#[test]
fn crashing_request_resent_through_other_nodes() {
    let n = 6;
    let mut site = Site::start(n, "catalogue-desk", &["--crash-path", "/catalogue/boom"]);
    let caller: Vec<_> = site.nodes.iter().map(|(_, p)| p.caller).collect();
    let get = |i: usize, path: &str| http(caller[i % n], "GET", path, &[], "").unwrap();
    let mut sent = 0;
    wait_until("the request is quarantined at every node", || {
        let responses = (0..n).map(|i| get(i, "/catalogue/boom"));
        sent += n;
        responses
            .filter(|r| outcome(r) == (503, "not-run".into(), "quarantined".into()))
            .count()
            == n
    });
    let count_crashed = |site: &mut Site| {
        site.backends
            .iter_mut()
            .filter_map(|(b, _)| b.exit_code())
            .count()
    };
    let crash_count = count_crashed(&mut site);
    println!("crashes={crash_count} sent={sent}");
    assert!(
        (1..=3).contains(&crash_count),
        "{crash_count} of {n} backend servers crashed"
    );
    for i in 0..3 * n {
        assert_eq!(get(i, "/catalogue/boom").header("dq-reason"), "quarantined");
        assert_eq!(get(i, "/catalogue/oak").status, 200);
    }
    assert_eq!(count_crashed(&mut site), crash_count);
    let admin = site.nodes[0].1.admin.to_string();
    let listed = site.dir.run(&["quarantine", "--node", &admin]);
    assert!(
        String::from_utf8_lossy(&listed.stdout).contains(" quarantined crashes="),
        "{listed:?}"
    );
    assert!(site
        .dir
        .run(&["quarantine", "--node", &admin, "--clear-all"])
        .status
        .success());
    wait_until("the quarantine is cleared at every node", || {
        let list = |(_, p): &(_, workdir::Ports)| {
            http(p.admin, "GET", "/quarantine", &[], "").unwrap().body
        };
        site.nodes.iter().all(|n| list(n).trim() == "[]")
    });
}
