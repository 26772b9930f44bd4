//! End of a node's process.

use tokio::signal::unix::{signal, SignalKind};

use crate::process::life::start::Running;
use crate::process::target::backend;

/// Waits for a signal. SIGINT ends the process at once. SIGTERM drains it first; a second signal ends it at once.
///
/// # Errors
///
/// The signals cannot be waited for.
pub async fn wait(node: Running) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    tokio::select! {
        done = tokio::signal::ctrl_c() => return done,
        _ = term.recv() => {}
    }
    backend::begin_drain(&node.process);
    let drained = async {
        backend::drained(&node.process).await;
        node.close.send_replace(true);
        for l in node.listeners {
            let _ = l.await;
        }
    };
    tokio::select! {
        () = drained => Ok(()),
        done = tokio::signal::ctrl_c() => done,
        _ = term.recv() => Ok(()),
    }
}
