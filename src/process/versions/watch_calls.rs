//! Store calls of the watcher role.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::process::node::Process;
use crate::process::versions::watch::{correct_list, Call, Reply, LEASE_TTL, WATCHERS, WATCH_WAIT};
use crate::store::{Revision, StoreError, Swap};
use crate::version::publish::{publish_again, read_content, read_watched_head, Head, Keys};
use crate::version::snapshot::Snapshot;

/// Result of a call.
pub enum Outcome {
    /// Result that the state machine takes as it is.
    Reply(Reply),
    /// Head, the revision to watch from, and its content when it is newer than the version in force.
    Head(Box<Head>, Revision, Option<Arc<Snapshot>>),
    /// Addresses of first contacts.
    Seeds(Vec<SocketAddr>),
}

/// Makes a call. `zone` holds the peer addresses of the living nodes of the own zone.
///
/// # Errors
///
/// See [`crate::store::Store`].
pub async fn make(
    p: &Process,
    call: &Call,
    held: Option<Arc<Snapshot>>,
    zone: &[SocketAddr],
) -> Result<Outcome, StoreError> {
    let keys = Keys::new(&p.settings.node.site);
    Ok(match call {
        Call::Claim => Outcome::Reply(claim(p, &keys).await?),
        Call::Keep(lease) => Outcome::Reply(Reply::Keep(match p.store.renew_lease(*lease).await {
            Ok(()) => true,
            Err(StoreError::NoLease) => false,
            Err(e) => return Err(e),
        })),
        Call::Head => {
            let (head, revision) = read_watched_head(p.store.as_ref(), &keys).await?;
            // A peer may have delivered the version in the meantime.
            let content = match head.version.number > p.version().number {
                true => Some(Arc::new(
                    read_content(p.store.as_ref(), &keys, &head).await?,
                )),
                false => None,
            };
            Outcome::Head(Box::new(head), revision, content)
        }
        Call::Wait(from) => Outcome::Reply(wait(p, &keys, *from).await?),
        Call::Republish => {
            if let Some(s) = held {
                republish(p, &s).await?;
            }
            Outcome::Reply(Reply::Republish)
        }
        Call::Rendezvous => Outcome::Seeds(rendezvous(p, &keys).await?),
        Call::Enlist => {
            enlist(p, &keys, zone).await?;
            Outcome::Reply(Reply::Enlist)
        }
    })
}

async fn claim(p: &Process, keys: &Keys) -> Result<Reply, StoreError> {
    let az = &p.settings.node.az;
    let taken = p.store.list(&keys.watchers(az)).await?;
    let free = (0..WATCHERS).map(|i| keys.watcher(az, i));
    let free = free
        .filter(|k| taken.entries.iter().all(|e| e.key != *k))
        .collect::<Vec<_>>();
    if free.is_empty() {
        return Ok(Reply::Claim(None));
    }
    let lease = p.store.grant_lease(LEASE_TTL).await?;
    for key in free {
        let value = p.settings.node.id.as_bytes().to_vec();
        if let Swap::Done(_) = p.store.swap(&key, 0, Some(value), Some(lease)).await? {
            return Ok(Reply::Claim(Some(lease)));
        }
    }
    // An unused lease would only expire; its end is not worth an error.
    let _ = p.store.revoke_lease(lease).await;
    Ok(Reply::Claim(None))
}

async fn wait(p: &Process, keys: &Keys, from: Revision) -> Result<Reply, StoreError> {
    match p.store.watch(&keys.head(), from, WATCH_WAIT).await {
        // A revision below the one waited from shows a store that was restored from an older state.
        Ok(c) => Ok(Reply::Wait(
            c.revision,
            !c.events.is_empty() || c.revision < from,
        )),
        Err(StoreError::Compacted) => Ok(Reply::Wait(from, true)),
        Err(e) => Err(e),
    }
}

async fn republish(p: &Process, s: &Snapshot) -> Result<(), StoreError> {
    let out = publish_again(p.store.as_ref(), &p.settings.node.site, s).await?;
    spdlog::info!("event=published_again", kv: {
        number = s.version.number, hash = s.version.hash.to_string(), outcome = format!("{out:?}")
    });
    Ok(())
}

fn read_list(value: &[u8]) -> Vec<SocketAddr> {
    serde_json::from_slice(value).unwrap_or_default()
}

async fn rendezvous(p: &Process, keys: &Keys) -> Result<Vec<SocketAddr>, StoreError> {
    let found = p.store.list(&keys.rendezvous("")).await?;
    let lists = found.entries.iter().map(|e| read_list(&e.value));
    Ok(lists.flatten().collect())
}

async fn enlist(p: &Process, keys: &Keys, zone: &[SocketAddr]) -> Result<(), StoreError> {
    let key = keys.rendezvous(&p.settings.node.az);
    let entry = p.store.get(&key).await?;
    let revision = entry.as_ref().map_or(0, |e| e.revision);
    let list = entry.map_or_else(Vec::new, |e| read_list(&e.value));
    let own = p.own_record().addresses.peer;
    if let Some(list) = correct_list(&list, own, zone) {
        let value = serde_json::to_vec(&list).unwrap_or_default();
        // A lost race is repaired at the next check.
        p.store.swap(&key, revision, Some(value), None).await?;
    }
    Ok(())
}
