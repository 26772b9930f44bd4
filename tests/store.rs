//! Contract of the `Store` trait, checked on the in-memory store and on the HTTP client with the stand-in server.

mod property;
mod workdir;

use std::future::Future;
use std::io::{Read, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dragonflyquay::process::observe::metrics::Metrics;
use dragonflyquay::store::counted::CountedStore;
use dragonflyquay::store::faults::{Faults, FaultyStore};
use dragonflyquay::store::http::{decode_response, HttpStore};
use dragonflyquay::store::mem::MemStore;
use dragonflyquay::store::server::{self, Call, CallResponse, StandInStore};
use dragonflyquay::store::{Era, Revision, Store, StoreError, Swap, MAX_VALUE_BYTES};
use property::run;
use proptest::collection::vec;
use proptest::prelude::*;
use workdir::WAIT_TIMEOUT;

/// Wait of a watch, time to live of a lease and timeout of the HTTP client; only a failing test waits this long.
const LONG: Duration = WAIT_TIMEOUT;

const ABSENT: Revision = Revision::ABSENT;

/// One kind of store under test.
struct Fixture {
    name: &'static str,
    /// The store that the test calls.
    store: Arc<dyn Store>,
    /// The store behind it, for fault injection.
    faulty: Arc<FaultyStore>,
}

/// Runs `check` against both kinds of store. `timeout` is the timeout of the HTTP client.
async fn for_each_store<F, R>(timeout: Duration, check: F)
where
    F: Fn(Fixture) -> R,
    R: Future<Output = ()>,
{
    let stand_in = Arc::new(StandInStore::new(Arc::new(MemStore::default())));
    let faulty = stand_in.store().clone();
    let store = faulty.clone();
    let name = "mem";
    check(Fixture {
        name,
        store,
        faulty,
    })
    .await;
    let stand_in = Arc::new(StandInStore::new(Arc::new(MemStore::default())));
    let server = server::start(([127, 0, 0, 1], 0).into(), stand_in.clone()).unwrap();
    let store = Arc::new(HttpStore::new(server.local_addr(), timeout));
    let faulty = stand_in.store().clone();
    let name = "http";
    check(Fixture {
        name,
        store,
        faulty,
    })
    .await;
    server.close().await.unwrap();
}

/// Revision of a compare-and-swap that succeeded.
fn done(s: Result<Swap, StoreError>) -> Revision {
    match s {
        Ok(Swap::Done(r)) => r,
        s => panic!("{s:?}"),
    }
}

async fn put(s: &dyn Store, key: &str, expect: Revision, value: &str) -> Result<Swap, StoreError> {
    s.swap(key, expect, Some(value.into()), None).await
}

async fn value(s: &dyn Store, key: &str) -> Option<String> {
    let e = s.get(key).await.unwrap();
    e.map(|e| String::from_utf8(e.value).unwrap())
}

/// Guards against a compare-and-swap that ignores the expected revision, and against wrong keys in a listing.
#[tokio::test]
async fn swap_checks_the_revision() {
    for_each_store(LONG, |t| async move {
        let s = t.store.as_ref();
        let r1 = done(put(s, "a/1", ABSENT, "x").await);
        let conflict = put(s, "a/1", ABSENT, "y").await.unwrap();
        assert!(matches!(conflict, Swap::Conflict(Some(e)) if e.revision == r1 && e.value == b"x"));
        let missing = put(s, "a/2", Revision::new(Era::default(), 7), "y")
            .await
            .unwrap();
        assert_eq!(missing, Swap::Conflict(None));
        let r2 = done(put(s, "a/1", r1, "y").await);
        assert!(r2.is_later_than(r1));
        done(put(s, "a/2", ABSENT, "z").await);
        done(put(s, "b/1", ABSENT, "z").await);
        let list = s.list("a/").await.unwrap();
        let keys: Vec<_> = list.entries.iter().map(|e| e.key.as_str()).collect();
        assert_eq!(keys, ["a/1", "a/2"], "{}", t.name);
        assert!(list.revision.is_later_than(list.entries[1].revision));
        done(s.swap("a/1", r2, None, None).await);
        assert_eq!(s.get("a/1").await, Ok(None));
        let full = vec![255; MAX_VALUE_BYTES];
        done(s.swap("full", ABSENT, Some(full.clone()), None).await);
        assert_eq!(s.get("full").await.unwrap().unwrap().value, full);
        let over = s.swap("over", ABSENT, Some(vec![0; MAX_VALUE_BYTES + 1]), None);
        assert!(matches!(over.await, Err(StoreError::Invalid(_))));
    })
    .await;
}

/// Guards against keys that outlive their lease, and against a paused holder that renews an expired lease.
#[tokio::test]
async fn keys_end_with_their_lease() {
    for_each_store(LONG, |t| async move {
        let s = t.store.as_ref();
        let lease = s.grant_lease(LONG).await.unwrap();
        let value = Some(b"x".to_vec());
        done(s.swap("l/1", ABSENT, value.clone(), Some(lease)).await);
        assert_eq!(s.renew_lease(lease).await, Ok(()));
        t.faulty.inner().expire_leases();
        assert_eq!(s.get("l/1").await, Ok(None), "{}", t.name);
        assert_eq!(s.renew_lease(lease).await, Err(StoreError::NoLease));
        let late = s.swap("l/1", ABSENT, value.clone(), Some(lease)).await;
        assert_eq!(late, Err(StoreError::NoLease));
        let second = s.grant_lease(LONG).await.unwrap();
        assert_ne!(second, lease);
        let r = done(s.swap("l/1", ABSENT, value.clone(), Some(second)).await);
        let other = put(s, "l/1", ABSENT, "y").await;
        assert!(matches!(other, Ok(Swap::Conflict(Some(_)))));
        done(s.swap("l/1", r, value.clone(), None).await);
        s.revoke_lease(second).await.unwrap();
        assert!(
            s.get("l/1").await.unwrap().is_some(),
            "a key written without its lease was deleted with it"
        );
        let short = s.grant_lease(Duration::from_millis(1)).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(s.renew_lease(short).await, Err(StoreError::NoLease));
    })
    .await;
}

/// Guards against a watch that misses a change, wakes up for other keys, or waits for revisions that a restore or the
/// limit of the history has discarded.
#[tokio::test]
async fn watch_sees_changes() {
    for_each_store(LONG, |t| async move {
        let s = t.store.as_ref();
        let from = done(put(s, "w/1", ABSENT, "x").await);
        let none = s.watch("w/", from, Duration::ZERO).await.unwrap();
        assert!(none.events.is_empty() && none.revision == from);
        let write = async {
            done(put(s, "other", ABSENT, "x").await);
            done(put(s, "w/2", ABSENT, "y").await);
        };
        let (seen, ()) = tokio::join!(s.watch("w/", from, LONG), write);
        let seen = seen.unwrap();
        assert_eq!(seen.events.len(), 1, "{}", t.name);
        assert_eq!(seen.events[0].key, "w/2");
        t.faulty.save();
        for i in 0..3 {
            done(put(s, &format!("w/more{i}"), ABSENT, "z").await);
        }
        let newest = s.list("").await.unwrap().revision;
        t.faulty.restore();
        assert_eq!(
            s.watch("w/", newest, LONG).await,
            Err(StoreError::Compacted)
        );
        assert_eq!(s.list("w/").await.unwrap().entries.len(), 2);
        let from = s.list("w/").await.unwrap().revision;
        for i in 0..5000 {
            let lease = t.faulty.inner().grant_lease(LONG).await.unwrap();
            let key = format!("fill{i}");
            done(t.faulty.inner().swap(&key, ABSENT, None, Some(lease)).await);
        }
        assert_eq!(s.watch("w/", from, LONG).await, Err(StoreError::Compacted));
    })
    .await;
}

/// Guards against a store fault that is reported with the wrong outcome, so that a caller misjudges its write.
#[tokio::test]
async fn write_faults() {
    let f = Faults::default;
    #[rustfmt::skip]
    let cases = [
        (Faults { down: true, ..f() }, "unavailable", false),
        (Faults { refuse_writes: 1, ..f() }, "unavailable", false),
        (Faults { lose_writes: 1, ..f() }, "unknown", true),
        (Faults { close_writes: 1, ..f() }, "unknown", true),
        (Faults { slow_ms: 5, ..f() }, "ok", true),
        (Faults { slow_answer_ms: 5, ..f() }, "ok", true),
        (Faults { skip_writes: 1, lose_writes: 1, ..f() }, "ok", true),
    ];
    for_each_store(LONG, |t| {
        let cases = cases.clone();
        async move {
            let s = t.store.as_ref();
            for (i, (faults, result, written)) in cases.into_iter().enumerate() {
                let key = format!("k{i}");
                *t.faulty.faults() = faults.clone();
                let out = put(s, &key, ABSENT, "x").await;
                let got = out.as_ref().map_or_else(|e| e.as_str(), |_| "ok");
                assert_eq!(got, result, "{} {faults:?} {out:?}", t.name);
                *t.faulty.faults() = Faults::default();
                let exists = value(s, &key).await.is_some();
                assert_eq!(exists, written, "{} {faults:?}", t.name);
            }
            *t.faulty.faults() = Faults {
                lose_writes: 1,
                ..f()
            };
            assert!(matches!(
                s.grant_lease(LONG).await,
                Err(StoreError::Unknown(_))
            ));
        }
    })
    .await;
}

/// Guards against a store stand-in that does not drop and reorder watch events. Other tests need this to find code that
/// relies on complete or ordered events.
#[tokio::test]
async fn watch_faults() {
    for_each_store(LONG, |t| async move {
        let s = t.store.as_ref();
        for key in ["e/1", "e/2", "e/3"] {
            done(put(s, key, ABSENT, "x").await);
        }
        t.faulty.faults().drop_events = 1;
        t.faulty.faults().reorder_events = true;
        let seen = s.watch("e/", ABSENT, LONG).await.unwrap();
        let keys: Vec<_> = seen.events.iter().map(|e| e.key.as_str()).collect();
        assert_eq!(keys, ["e/3", "e/2"], "{}", t.name);
        assert_eq!(t.faulty.faults().drop_events, 0);
    })
    .await;
}

/// Guards against a timeout that is reported as "not written" although the write takes effect later.
#[tokio::test]
async fn timeout_gives_unknown_outcome() {
    for_each_store(Duration::from_millis(100), |t| async move {
        if t.name == "mem" {
            return;
        }
        for (i, faults) in [(1000, 0), (0, 1000)].into_iter().enumerate() {
            let key = format!("k{i}");
            *t.faulty.faults() = Faults {
                slow_ms: faults.0,
                slow_answer_ms: faults.1,
                ..Faults::default()
            };
            let out = put(t.store.as_ref(), &key, ABSENT, "x").await;
            assert!(matches!(out, Err(StoreError::Unknown(_))), "{out:?}");
            let end = Instant::now() + WAIT_TIMEOUT;
            while t.faulty.inner().get(&key).await.unwrap().is_none() {
                assert!(Instant::now() < end, "the write never took effect");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    })
    .await;
}

/// Guards against an unreachable server that is reported as an unknown outcome although nothing was sent.
#[tokio::test]
async fn refused_connection_is_unavailable() {
    // A bound socket that does not listen refuses connections, and no other test can take its port meanwhile.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let address = socket.local_addr().unwrap();
    let out = put(&HttpStore::new(address, LONG), "k", ABSENT, "x").await;
    assert!(matches!(out, Err(StoreError::Unavailable(_))), "{out:?}");
}

/// Guards against a lost response of which a part is sent: the caller must see only a closed connection. Also guards
/// against stand-in endpoints that lose a key without a lease, and against wrong call counts.
#[test]
fn closed_connection_sends_no_bytes() {
    let dir = workdir::Workdir::new();
    let (_store, address) = dir.start_store();
    let set = workdir::http_json(address, "PUT", "/v1/faults", r#"{"close_writes": 1}"#);
    assert_eq!(set.unwrap().status, 200);
    let call = Call::Swap {
        key: "k".into(),
        expect: ABSENT,
        value: Some(b"x".to_vec()),
        lease: None,
    };
    let body = serde_json::to_string(&call).unwrap();
    let mut s = std::net::TcpStream::connect(address).unwrap();
    s.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let head = "POST /v1/call HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n";
    write!(s, "{head}content-length: {}\r\n\r\n{body}", body.len()).unwrap();
    let mut response = Vec::new();
    // A connection reset is accepted like an end of stream.
    let _ = s.read_to_end(&mut response);
    assert_eq!(String::from_utf8_lossy(&response), "");
    for (path, exists) in [
        ("/v1/save", true),
        ("/v1/expire-leases", true),
        ("/v1/restore", true),
    ] {
        assert_eq!(
            workdir::http(address, "POST", path, &[], "")
                .unwrap()
                .status,
            204
        );
        let got = workdir::http_json(address, "POST", "/v1/call", r#"{"Get":"k"}"#).unwrap();
        let got = decode_response(got.body.as_bytes()).unwrap();
        assert!(matches!(got, CallResponse::Entry(e) if e.is_some() == exists));
    }
    let stats = workdir::http(address, "GET", "/v1/stats", &[], "").unwrap();
    assert_eq!(
        stats.body.trim(),
        r#"{"reads":3,"writes":1,"watches":0,"waiting":0}"#
    );
}

/// Guards against store calls that are not counted, and against a cancelled watch that is still counted as waiting.
#[tokio::test]
async fn calls_are_counted() {
    let metrics = Metrics::default();
    let faulty = Arc::new(FaultyStore::default());
    let s = Arc::new(CountedStore::new(
        faulty.clone(),
        &metrics.store_calls,
        &metrics.store_waiting,
    ));
    done(put(s.as_ref(), "k", ABSENT, "x").await);
    put(s.as_ref(), "k", ABSENT, "x").await.unwrap();
    let lease = s.grant_lease(LONG).await.unwrap();
    s.revoke_lease(lease).await.unwrap();
    let _ = s.renew_lease(lease).await;
    s.list("").await.unwrap();
    let waiting = tokio::spawn({
        let s = s.clone();
        async move {
            s.watch("none", Revision::new(Era::default(), 1), LONG)
                .await
        }
    });
    while metrics.store_waiting.get() == 0 {
        tokio::task::yield_now().await;
    }
    waiting.abort();
    let _ = waiting.await;
    assert_eq!(metrics.store_waiting.get(), 0);
    faulty.faults().down = true;
    let _ = s.get("k").await;
    let expected = [
        ("get", "unavailable"),
        ("grant", "ok"),
        ("keep", "no-lease"),
        ("list", "ok"),
        ("revoke", "ok"),
        ("swap", "conflict"),
        ("swap", "ok"),
    ];
    for (kind, result) in expected {
        let n = metrics.store_calls.with_label_values(&[kind, result]).get();
        assert_eq!(n, 1, "{kind} {result}");
    }
    let families = prometheus::core::Collector::collect(&metrics.store_calls);
    assert_eq!(families[0].get_metric().len(), expected.len());
}

/// Guards against a response of the store that makes the HTTP client panic.
#[test]
fn arbitrary_responses_do_not_panic() {
    run(500, &vec(any::<u8>(), 0..200), |data| {
        let out = decode_response(&data);
        prop_assert!(matches!(out, Err(StoreError::Unknown(_))) || out.is_ok());
        Ok(())
    });
    let text = serde_json::to_vec(&CallResponse::Swap(Swap::Conflict(None))).unwrap();
    run(500, &(0..text.len(), any::<u8>()), |(i, byte)| {
        let mut text = text.clone();
        text[i] = byte;
        let _ = decode_response(&text);
        Ok(())
    });
}
