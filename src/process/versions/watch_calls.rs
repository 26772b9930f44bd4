//! Store calls that a [`Watcher`](super::watch::Watcher) requests.

use std::cmp::Ordering;
use std::net::SocketAddr;

use crate::prelude::*;
use crate::process::node::Process;
use crate::process::versions::watch::{
    repaired_list, Call, CallResult, LEASE_TTL, WATCHERS_PER_AZ, WATCH_WAIT,
};
use crate::store::{Revision, StoreError, Swap};
use crate::version::publish::{read_content, read_head_for_watch, republish, Head, StoreKeys};
use crate::version::snapshot::Snapshot;

/// Outcome of a successful call.
pub enum Outcome {
    /// Result for the state machine.
    Result(CallResult),
    /// The head, the revision to watch from, and the content when it is newer than the version in force.
    Head(Box<Head>, Revision, Option<Arc<Snapshot>>),
    /// Addresses from the rendezvous lists.
    Seeds(Vec<SocketAddr>),
}

/// Executes a call. `zone_peers` holds the peer addresses of the nodes in the local availability zone that are alive.
///
/// # Errors
///
/// See [`crate::store::Store`].
pub async fn execute(
    p: &Process,
    call: &Call,
    held: Option<Arc<Snapshot>>,
    zone_peers: &[SocketAddr],
) -> Result<Outcome, StoreError> {
    let keys = StoreKeys::new(&p.settings.node.site);
    Ok(match call {
        Call::ClaimSlot => Outcome::Result(claim_slot(p, &keys).await?),
        Call::Renew(lease) => {
            Outcome::Result(CallResult::Renew(match p.store.renew_lease(*lease).await {
                Ok(()) => true,
                Err(StoreError::NoLease) => false,
                Err(e) => return Err(e),
            }))
        }
        Call::ReadHead => {
            let (head, revision) = read_head_for_watch(p.store.as_ref(), &keys).await?;
            // A peer may already have delivered the version.
            let content = match head.version.number > p.version().number {
                true => Some(Arc::new(
                    read_content(p.store.as_ref(), &keys, &head).await?,
                )),
                false => None,
            };
            Outcome::Head(Box::new(head), revision, content)
        }
        Call::WatchHead(from) => Outcome::Result(watch_head(p, &keys, *from).await?),
        Call::Republish => {
            if let Some(s) = held {
                republish_held(p, &s).await?;
            }
            Outcome::Result(CallResult::Republish)
        }
        Call::ReadRendezvous => Outcome::Seeds(read_rendezvous(p, &keys).await?),
        Call::RepairRendezvous => {
            repair_rendezvous(p, &keys, zone_peers).await?;
            Outcome::Result(CallResult::RepairRendezvous)
        }
    })
}

async fn claim_slot(p: &Process, keys: &StoreKeys) -> Result<CallResult, StoreError> {
    let az = &p.settings.node.az;
    let taken = p.store.list(&keys.watchers(az)).await?;
    let free = (0..WATCHERS_PER_AZ).map(|i| keys.watcher(az, i));
    let free = free
        .filter(|k| taken.entries.iter().all(|e| e.key != *k))
        .collect::<Vec<_>>();
    if free.is_empty() {
        return Ok(CallResult::ClaimSlot(None));
    }
    let lease = p.store.grant_lease(LEASE_TTL).await?;
    for key in free {
        let value = p.settings.node.id.as_bytes().to_vec();
        if let Swap::Done(_) = p
            .store
            .swap(&key, Revision::ABSENT, Some(value), Some(lease))
            .await?
        {
            return Ok(CallResult::ClaimSlot(Some(lease)));
        }
    }
    // Ignore a failure: an unused lease expires.
    let _ = p.store.revoke_lease(lease).await;
    Ok(CallResult::ClaimSlot(None))
}

async fn watch_head(
    p: &Process,
    keys: &StoreKeys,
    from: Revision,
) -> Result<CallResult, StoreError> {
    match p.store.watch(&keys.head(), from, WATCH_WAIT).await {
        // A revision below `from` means that the store was restored from an older state.
        Ok(c) => Ok(CallResult::WatchHead(
            c.revision,
            !c.events.is_empty() || c.revision.compare(from).is_none_or(Ordering::is_lt),
        )),
        Err(StoreError::Compacted) => Ok(CallResult::WatchHead(from, true)),
        Err(e) => Err(e),
    }
}

async fn republish_held(p: &Process, s: &Snapshot) -> Result<(), StoreError> {
    let out = republish(p.store.as_ref(), &p.settings.node.site, s).await?;
    spdlog::info!("event=published_again", kv: {
        number = s.version.number, hash = s.version.hash.to_string(), outcome = format!("{out:?}")
    });
    Ok(())
}

fn decode_list(value: &[u8]) -> Vec<SocketAddr> {
    serde_json::from_slice(value).unwrap_or_default()
}

async fn read_rendezvous(p: &Process, keys: &StoreKeys) -> Result<Vec<SocketAddr>, StoreError> {
    let found = p.store.list(&keys.rendezvous("")).await?;
    let lists = found.entries.iter().map(|e| decode_list(&e.value));
    Ok(lists.flatten().collect())
}

async fn repair_rendezvous(
    p: &Process,
    keys: &StoreKeys,
    zone_peers: &[SocketAddr],
) -> Result<(), StoreError> {
    let key = keys.rendezvous(&p.settings.node.az);
    let entry = p.store.get(&key).await?;
    let revision = entry.as_ref().map_or(Revision::ABSENT, |e| e.revision);
    let list = entry.map_or_else(Vec::new, |e| decode_list(&e.value));
    let own = p.own_record().addresses.peer;
    if let Some(list) = repaired_list(&list, own, zone_peers) {
        let value = serde_json::to_vec(&list).unwrap_or_default();
        // After a conflict with another watcher, the next repair corrects the list.
        p.store.swap(&key, revision, Some(value), None).await?;
    }
    Ok(())
}
