//! The client of the platform's store while the store comes back from an older copy: revisions and lease ids of an earlier
//! era are given out again.

mod site_kit;
mod workdir;

use std::time::Duration;

use dragonflyquay::platform::store::PlatformStore;
use dragonflyquay::store::era::EraTracker;
use dragonflyquay::store::mem::SavedState;
use dragonflyquay::store::{Era, Revision, Store, StoreError};
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
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.unwrap().block_on(check(&server, &client, told));
    }
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
