//! Control tasks: follow the store's head and exchange records with other nodes.

use super::node::Process;
use crate::connection::frame::Frame;
use crate::connection::peer;
use crate::prelude::*;
use crate::store::StoreError;
use crate::version::publish::{read_content, read_head, Keys};

/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after a failed store call.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// Interval between two exchanges of records.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the store's head for ever.
pub async fn follow_store(p: Arc<Process>) {
    let keys = Keys::new(&p.settings.node.site);
    loop {
        if let Err(e) = follow_head(&p, &keys).await {
            spdlog::warn!("event=store_failed", kv: { error = e.to_string() });
            tokio::time::sleep(STORE_PAUSE).await;
        }
    }
}

async fn follow_head(p: &Process, keys: &Keys) -> Result<(), StoreError> {
    let mut from = 0;
    loop {
        let (head, revision) = read_head(p.store.as_ref(), keys).await?;
        if head.version.number > p.version().number {
            p.adopt(read_content(p.store.as_ref(), keys, &head).await?);
        }
        from = from.max(revision);
        from = p
            .store
            .watch(&keys.head(), from, WATCH_WAIT)
            .await?
            .revision;
    }
}

/// Sends all known records to one peer, for ever.
pub async fn exchange(p: Arc<Process>, address: std::net::SocketAddr) {
    loop {
        if let Ok(mut link) = peer::connect(address).await {
            while peer::send(&mut link, &Frame::Records(p.all_records()))
                .await
                .is_ok()
            {
                tokio::time::sleep(EXCHANGE_INTERVAL).await;
            }
        }
        tokio::time::sleep(EXCHANGE_INTERVAL).await;
    }
}

/// Serves links that other nodes open.
pub async fn accept_links(p: Arc<Process>, listener: tokio::net::TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(STORE_PAUSE).await;
            continue;
        };
        let p = p.clone();
        tokio::spawn(async move {
            let Ok(mut link) = peer::accept(stream).await else {
                return;
            };
            while let Ok(frame) = peer::receive(&mut link).await {
                match frame {
                    Frame::Records(list) => p.merge(list),
                    Frame::Notices(list) => {
                        p.notices.merge(list);
                    }
                }
            }
        });
    }
}
