//! The client of the platform's store while the store comes back from an older copy: revisions and lease ids of an earlier
//! era are given out again.

mod site_kit;
mod workdir;

use std::future::Future;
use std::time::Duration;

use dragonflyquay::platform::store::PlatformStore;
use dragonflyquay::store::era::EraTracker;
use dragonflyquay::store::mem::SavedState;
use dragonflyquay::store::{Era, Revision, Store, StoreError, Swap};
use site_kit::store::KvServer;
use workdir::WAIT_TIMEOUT;

/// Wait of a watch that gets no event.
const SHORT_WAIT: Duration = Duration::from_millis(100);

/// A stand-in and a client of it.
fn start() -> (KvServer, PlatformStore) {
    let server = KvServer::start();
    let client = PlatformStore::new(server.address, WAIT_TIMEOUT);
    (server, client)
}

/// Runs a check twice: with a client that learns of the drill from another call before, and with one that does not.
fn for_each_client<F>(check: F)
where
    F: AsyncFn(&KvServer, &PlatformStore, bool),
{
    for told in [true, false] {
        let (server, client) = start();
        block_on(check(&server, &client, told));
    }
}

fn block_on<F>(f: F) -> F::Output
where
    F: Future,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(f)
}

/// Brings the store back from a copy. The connections stay open, so that the next call reaches it.
async fn drill(server: &KvServer, client: &PlatformStore, copy: SavedState, told: bool) {
    server.store.restore(copy);
    if told {
        client.get("any").await.unwrap();
    }
}

async fn put(s: &dyn Store, key: &str, value: &str) -> Revision {
    s.put(key, value.into(), None).await.unwrap()
}

/// Guards against revisions that are compared although another era has given the same numbers to other changes.
#[test]
fn revisions_have_no_order_across_eras() {
    let (early, late) = (Revision::new(Era(1), 109), Revision::new(Era(2), 107));
    assert_eq!(early.compare(late), None);
    assert!(!early.is_later_than(late) && !late.is_later_than(early));
    assert_ne!(early, Revision::new(Era(2), 109));
    assert!(Revision::new(Era(2), 108).is_later_than(late));
    let text = serde_json::to_string(&[early, Revision::new(Era(0), 5)]).unwrap();
    assert_eq!(text, "[[1,109],5]");
    let read: [Revision; 2] = serde_json::from_str(&text).unwrap();
    assert_eq!(read[0], early);
}

/// Guards against a response that was sent before a drill and arrives after it: what it says may be gone.
#[test]
fn a_response_of_an_earlier_era_is_not_used() {
    let tracker = EraTracker::default();
    assert_eq!(tracker.observe(Era(2)), Ok(()));
    assert!(matches!(
        tracker.observe(Era(1)),
        Err(StoreError::Unknown(_))
    ));
    assert_eq!(tracker.latest(), Era(2));
}

/// Guards against a client of the stand-in that uses no response any more when the stand-in, which was restored before, was
/// started again without its state.
#[test]
fn a_store_that_begins_anew_is_followed() {
    let tracker = EraTracker::default();
    tracker.follow(Era(1));
    tracker.follow(Era(0));
    assert_eq!(tracker.latest(), Era(0));
    assert_eq!(tracker.observe(Era(0)), Ok(()));
}

/// Guards against a watch that goes on from a revision of an earlier era, which the store has given out again: the
/// changes of the new era up to there would never be delivered.
#[test]
fn a_watch_from_an_earlier_era_is_compacted() {
    for_each_client(async |server, s, told| {
        let copy = server.store.save();
        put(s, "w/1", "a").await;
        let from = put(s, "w/1", "b").await;
        drill(server, s, copy, told).await;
        for value in ["c", "d"] {
            put(server.store.as_ref(), "w/1", value).await;
        }
        assert_eq!(
            s.watch("w/", from, SHORT_WAIT).await,
            Err(StoreError::Compacted),
            "told {told}"
        );
    });
}

/// Guards against a lease of an earlier era that is taken for the one that the store has since granted with the same id:
/// its holder would keep the record of another node alive while its own is gone.
#[test]
fn a_lease_of_an_earlier_era_has_ended() {
    for_each_client(async |server, s, told| {
        let copy = server.store.save();
        let lease = s.grant_lease(WAIT_TIMEOUT).await.unwrap();
        drill(server, s, copy, told).await;
        let other = server.store.grant_lease(WAIT_TIMEOUT).await.unwrap();
        assert_eq!(other.number(), lease.number());
        assert_eq!(
            s.renew_lease(lease).await,
            Err(StoreError::NoLease),
            "told {told}"
        );
        let value = Some(b"x".to_vec());
        server
            .store
            .swap("other", Revision::ABSENT, value, Some(other))
            .await
            .unwrap();
        // By now the client knows of the new era in both cases.
        assert_eq!(
            s.put("own", b"x".to_vec(), Some(lease)).await,
            Err(StoreError::NoLease)
        );
        s.revoke_lease(lease).await.unwrap();
        assert!(server.store.get("other").await.unwrap().is_some());
    });
}

/// Guards against a write that counts as done although the store attached it to a lease of another holder, because the
/// drill was not known yet.
#[test]
fn a_write_with_a_lease_of_an_earlier_era_has_an_unknown_outcome() {
    let (server, s) = start();
    let check = async {
        let copy = server.store.save();
        let lease = s.grant_lease(WAIT_TIMEOUT).await.unwrap();
        drill(&server, &s, copy, false).await;
        server.store.grant_lease(WAIT_TIMEOUT).await.unwrap();
        let put = s.put("own", b"x".to_vec(), Some(lease)).await;
        assert!(matches!(put, Err(StoreError::Unknown(_))), "{put:?}");
        let again = s.put("own", b"x".to_vec(), Some(lease)).await;
        assert_eq!(again, Err(StoreError::NoLease));
    };
    block_on(check);
}

/// Guards against a swap that passes by a revision of an earlier era, which the store has since given to another value.
#[test]
fn a_swap_of_an_earlier_era_is_a_conflict() {
    let (server, s) = start();
    let check = async {
        let copy = server.store.save();
        let expect = put(&s, "k", "old").await;
        drill(&server, &s, copy, true).await;
        let other = put(server.store.as_ref(), "k", "other").await;
        assert_eq!(other.number(), expect.number());
        let swap = s.swap("k", expect, Some(b"new".to_vec()), None).await;
        let found = match swap {
            Ok(Swap::Conflict(Some(e))) => e,
            swap => panic!("{swap:?}"),
        };
        assert_eq!(
            (found.value, found.revision.number()),
            (b"other".to_vec(), other.number()),
            "the conflict carries the current entry"
        );
        let swap = s.swap("k", found.revision, None, None).await;
        assert!(matches!(swap, Ok(Swap::Done(_))), "{swap:?}");
        // That a key does not exist means the same in all eras.
        let swap = s
            .swap("k", Revision::ABSENT, Some(b"new".to_vec()), None)
            .await;
        assert!(matches!(swap, Ok(Swap::Done(_))), "{swap:?}");
    };
    block_on(check);
}

/// Guards against a swap that counts as done although the store compared a revision of an earlier era, because the drill
/// was not known yet.
#[test]
fn a_swap_that_meets_a_new_era_has_an_unknown_outcome() {
    let (server, s) = start();
    let check = async {
        let copy = server.store.save();
        let expect = put(&s, "k", "old").await;
        drill(&server, &s, copy, false).await;
        put(server.store.as_ref(), "k", "other").await;
        let swap = s.swap("k", expect, Some(b"new".to_vec()), None).await;
        assert!(matches!(swap, Err(StoreError::Unknown(_))), "{swap:?}");
    };
    block_on(check);
}
