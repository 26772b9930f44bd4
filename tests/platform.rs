//! Translation of the users' platform: calls to a stand-in for its store, documents and calls of targets.

mod site_kit;
mod workdir;

use std::path::Path;
use std::time::Duration;

use dragonflyquay::platform::adapter::PlatformAdapter;
use dragonflyquay::platform::store::PlatformStore;
use dragonflyquay::platform::{document, heartbeat};
use dragonflyquay::sidecar::adapter::{Adapter, TargetCall};
use dragonflyquay::sidecar::process::rollout::order::{RolloutState, RolloutStatus};
use dragonflyquay::sidecar::process::target::heartbeat::ReportedState;
use dragonflyquay::store::{Revision, Store, StoreError, Swap};
use http::Method;
use site_kit::store::{Faults, KvServer};
use site_kit::{config, SERVICE};
use workdir::{repo_file, WAIT_TIMEOUT};

/// Timeout for calls whose response is lost on purpose.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

fn client(server: &KvServer, timeout: Duration) -> PlatformStore {
    PlatformStore::new(server.address, timeout)
}

fn block_on<F: std::future::Future>(f: F) -> F::Output {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    rt.unwrap().block_on(f)
}

/// Guards against a precondition that is not sent, and against a response that is decoded incorrectly.
#[test]
fn conditional_writes_detect_conflicts() {
    let server = KvServer::start();
    let s = client(&server, WAIT_TIMEOUT);
    block_on(async {
        let Ok(Swap::Done(r1)) = s
            .swap("a/1", Revision::ABSENT, Some(b"x".to_vec()), None)
            .await
        else {
            panic!("the key was not created");
        };
        let conflict = s
            .swap("a/1", Revision::ABSENT, Some(b"y".to_vec()), None)
            .await
            .unwrap();
        assert!(matches!(conflict, Swap::Conflict(Some(e)) if e.revision == r1 && e.value == b"x"));
        let missing = s
            .swap("a/2", Revision::new(r1.era(), 7), Some(b"y".to_vec()), None)
            .await;
        assert_eq!(missing, Ok(Swap::Conflict(None)));
        let r2 = s.put("a/1", b"\x00\xff".to_vec(), None).await.unwrap();
        assert!(r2.is_later_than(r1));
        let e = s.get("a/1").await.unwrap().unwrap();
        assert_eq!((e.value, e.revision), (b"\x00\xff".to_vec(), r2));
        assert!(matches!(
            s.swap("a/1", r2, None, None).await,
            Ok(Swap::Done(_))
        ));
        assert_eq!(s.get("a/1").await, Ok(None));
        s.remove("a/1").await.unwrap();
    });
}

/// Guards against a listing that ends after its first page, and against keys whose special characters are not encoded.
#[test]
fn listings_include_every_page() {
    let server = KvServer::start();
    let s = client(&server, WAIT_TIMEOUT);
    block_on(async {
        for i in 0..7 {
            let key = format!("p/{i} &?=%");
            s.put(&key, vec![i], None).await.unwrap();
        }
        s.put("q/1", vec![9], None).await.unwrap();
        for list in [s.list("p/").await, s.list_stale("p/").await] {
            let values: Vec<_> = list
                .unwrap()
                .entries
                .into_iter()
                .map(|e| e.value[0])
                .collect();
            assert_eq!(values, [0, 1, 2, 3, 4, 5, 6]);
        }
    });
}

/// Guards against a watch that misses changes, and against an expired lease that is not detected.
#[test]
fn watches_deliver_changes_and_leases_expire() {
    let server = KvServer::start();
    let s = client(&server, WAIT_TIMEOUT);
    block_on(async {
        let from = s.list("w/").await.unwrap().revision;
        let lease = s.grant_lease(WAIT_TIMEOUT).await.unwrap();
        s.put("w/1", b"a".to_vec(), Some(lease)).await.unwrap();
        s.renew_lease(lease).await.unwrap();
        let c = s.watch("w/", from, WAIT_TIMEOUT).await.unwrap();
        assert_eq!(c.events[0].value.as_deref(), Some(&b"a"[..]));
        server.store.expire_leases();
        let c = s.watch("w/", c.revision, WAIT_TIMEOUT).await.unwrap();
        assert_eq!(c.events[0].value, None);
        assert_eq!(s.renew_lease(lease).await, Err(StoreError::NoLease));
        let late = s.put("w/1", b"a".to_vec(), Some(lease)).await;
        assert_eq!(late, Err(StoreError::NoLease));
        server.set_faults(Faults {
            compacted: true,
            ..Faults::default()
        });
        let old = s.watch("w/", from, WAIT_TIMEOUT).await;
        assert_eq!(old, Err(StoreError::Compacted));
    });
}

/// Guards against an unknown outcome that is reported as known: if a response is lost, the write may have taken effect.
#[test]
fn unknown_outcomes_are_reported() {
    let server = KvServer::start();
    let s = client(&server, SHORT_TIMEOUT);
    block_on(async {
        server.set_faults(Faults {
            unavailable: true,
            ..Faults::default()
        });
        let unavailable = s.put("k", b"1".to_vec(), None).await;
        assert!(
            matches!(unavailable, Err(StoreError::Unavailable(_))),
            "{unavailable:?}"
        );
        server.set_faults(Faults {
            lost_write_responses: 1,
            ..Faults::default()
        });
        let lost = s.put("k", b"2".to_vec(), None).await;
        assert!(matches!(lost, Err(StoreError::Unknown(_))), "{lost:?}");
        assert_eq!(s.get("k").await.unwrap().unwrap().value, b"2");
        server.set_faults(Faults {
            unresponsive: true,
            ..Faults::default()
        });
        let unresponsive = s.get("k").await;
        assert!(
            matches!(unresponsive, Err(StoreError::Unknown(_))),
            "{unresponsive:?}"
        );
    });
    let stopped = client(&server, SHORT_TIMEOUT);
    drop(server);
    let down = block_on(stopped.get("k"));
    assert!(down.is_err(), "{down:?}");
    assert_eq!(
        block_on(stopped.put("k", vec![0; (1 << 20) + 1], None)),
        Err(StoreError::Invalid("value is too large".into()))
    );
}

/// Guards against an inconsistent document that is accepted, and against fields that are decoded incorrectly.
#[test]
fn documents_are_decoded_or_rejected() {
    let parts = format!(
        r#",{{"name":"w","prefix":"/w/","route_type":"safe","timeout_ms":250,"aim_ms":100.5,"priority":9,"backends":[{{"service":"{SERVICE}","weight":90}},{{"service":"{SERVICE}","weight":10}}]}}"#
    );
    let table = document::parse(config(7, &parts).into()).unwrap();
    assert_eq!((table.number, table.len()), (7, 3));
    let r = table.route("h.example", "/w/x").unwrap();
    assert_eq!(r.objective, Duration::from_micros(100_500));
    assert_eq!((r.rank, r.max_attempts, r.services[1].weight), (3, 1, 10));
    assert!(r.idempotent);
    assert!(!table.route("h.example", "/once/x").unwrap().idempotent);
    assert_eq!(table.limits.body_bytes, 1_048_576);
    let route = |fields: &str| {
        config(
            8,
            &format!(
                r#",{{"name":"b","prefix":"/b/","route_type":"safe","timeout_ms":250{fields}}}"#
            ),
        )
    };
    let cases = [
        ("", "expected value"),
        ("{}", "missing field"),
        (&route(""), "the route has no service"),
        (&route(r#","service":"none""#), "not declared"),
        (
            &route(&format!(
                r#","backends":[{{"service":"{SERVICE}","weight":0}}]"#
            )),
            "all weights are 0",
        ),
        (
            &config(8, "").replace("/safe/", "safe"),
            "does not begin and end",
        ),
    ];
    for (text, message) in cases {
        let f = document::parse(text.to_owned().into()).unwrap_err();
        let all: Vec<_> = f.items.iter().map(ToString::to_string).collect();
        let all = all.join("; ");
        let empty = text.is_empty() && all.contains("EOF");
        assert!(all.contains(message) || empty, "{text}: {all}");
    }
}

/// Guards against a type of idempotent routes that counts as not idempotent, whose requests are then never retried, and
/// against an unknown type that counts as idempotent.
#[test]
fn route_types_say_what_may_be_repeated() {
    let cases = [
        ("safe", true),
        ("download", true),
        ("unsafe", false),
        ("Safe", false),
        ("odd", false),
        ("", false),
    ];
    let route = |route_type: &str| {
        format!(
            r#",{{"name":"t","prefix":"/t/","route_type":"{route_type}","timeout_ms":250,"service":"{SERVICE}"}}"#
        )
    };
    for (route_type, idempotent) in cases {
        let table = document::parse(config(7, &route(route_type)).into()).unwrap();
        let found = table.route(site_kit::HOST, "/t/x").unwrap();
        assert_eq!(found.idempotent, idempotent, "{route_type}");
    }
    let two = route("odd") + &route("odd").replace("/t/", "/u/");
    let table = document::parse(config(7, &two).into()).unwrap();
    assert_eq!(table.unknown_types, ["odd"]);
}

/// Guards against a call that is decoded incorrectly, and against a malformed one that is accepted or panics.
#[test]
fn target_calls_are_decoded_or_rejected() {
    let body = r#"{"service":"s","address":"10.0.0.1:8080","zone":"a","version":"v1","slots":6,"state":"draining","cold_remaining_ms":1500.5,"seq":4,"born":77,"new":[1]}"#;
    let call = heartbeat::parse(&Method::PUT, "/api/instances/i-1", body.as_bytes());
    let Ok(TargetCall::Heartbeat(h)) = call else {
        panic!("{call:?}");
    };
    assert_eq!(
        (h.id.as_str(), h.slots, h.seq, h.incarnation),
        ("i-1", 6, 4, 77)
    );
    assert_eq!(h.state, ReportedState::Draining);
    assert_eq!(h.warm_up, Duration::from_millis(1500));
    let stop = |body: &[u8]| heartbeat::parse(&Method::DELETE, "/api/instances/i-1", body);
    assert_eq!(stop(b""), Ok(TargetCall::Stop("i-1".into(), 0)));
    let born = stop(br#"{"born":77}"#);
    assert_eq!(born, Ok(TargetCall::Stop("i-1".into(), 77)));
    for bad in [&b"\xff"[..], b"[]", b"{\"slots\":-1}", b"null"] {
        let out = heartbeat::parse(&Method::PUT, "/api/instances/i-1", bad);
        assert!(out.is_err(), "{out:?}");
    }
}

fn find_names(dir: &Path, names: &[&str], found: &mut Vec<String>) {
    for entry in std::fs::read_dir(dir).unwrap().map(Result::unwrap) {
        let path = entry.path();
        if path.is_dir() {
            if !path.ends_with("platform") {
                find_names(&path, names, found);
            }
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap().to_lowercase();
        let contained = names.iter().filter(|n| text.contains(*n));
        found.extend(contained.map(|n| format!("{}: {n}", path.display())));
    }
}

/// Guards against names of the platform outside its folder.
#[test]
fn platform_names_stay_in_one_folder() {
    let names = [
        "dragonflyquay-request-id",
        "dragonflyquay-deadline",
        "dragonflyquay-response",
        "dragonflyquay-expected",
        "dragonflyquay-not-executed",
        "dragonflyquay-caller",
        "dragonflyquay-instance",
        "api/kv-",
        "api/instances",
        "api/ready",
        "op/config",
        "op/rollout",
        "status/rollout",
        "to_version",
        "virtual_hosts",
        "route_type",
        "retry_attempts",
        "cold_remaining",
        "heartbeat_url",
        "app_addr",
        "stable_window",
    ];
    let mut found = Vec::new();
    find_names(Path::new(&repo_file("src")), &names, &mut found);
    assert!(found.is_empty(), "{found:#?}");
}

/// Guards against orders that are misread, or malformed ones that are followed.
#[test]
fn orders_of_rollouts_are_decoded_or_rejected() {
    let parse = |key: &str, text: &str| PlatformAdapter.parse_order(key, text.as_bytes());
    let key = "op/rollout/s";
    let order = |service: &str, to: &str, duration: &str| {
        format!(r#"{{"service":"{service}","to_version":"{to}","duration_s":{duration},"more":1}}"#)
    };
    let read = parse(key, &order("s", "v2", "13.5")).unwrap();
    assert_eq!((read.service.as_str(), read.to.as_str()), ("s", "v2"));
    assert_eq!(read.limit, Duration::from_millis(13_500));
    assert!(parse(key, &order("s", "v2", "12")).is_ok());
    let long = "v".repeat(200);
    let rejected = [
        order("other", "v2", "12"),
        order("s", "", "12"),
        order("s", &long, "12"),
        order("s", "v2", "0"),
        order("s", "v2", "-3"),
        order("s", "v2", "1e300"),
        order("s", "v2", "\"x\""),
        "{".into(),
        String::new(),
    ];
    for text in rejected {
        assert!(parse(key, &text).is_err(), "{text}");
    }
    for state in [
        RolloutState::Running,
        RolloutState::Completed,
        RolloutState::RolledBack,
    ] {
        let status = RolloutStatus {
            state,
            to: "v2".into(),
        };
        let text = PlatformAdapter.rollout_status(&status);
        assert_eq!(PlatformAdapter.parse_rollout_status(&text), Some(status));
    }
    assert_eq!(PlatformAdapter.rollout_status_key("s"), "status/rollout/s");
}
