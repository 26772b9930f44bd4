//! Shutdown of the node process on signals.

use tokio::signal::unix::{signal, SignalKind};

use crate::process::lifecycle::start::RunningNode;
use crate::process::target::backend;

/// Waits until the process should exit. SIGINT returns immediately. SIGTERM drains the node first; a second signal
/// returns immediately.
///
/// # Errors
///
/// The signal handlers could not be installed.
pub async fn wait(node: RunningNode) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    tokio::select! {
        result = tokio::signal::ctrl_c() => return result,
        _ = term.recv() => {}
    }
    backend::begin_drain(&node.process);
    let drained = async {
        backend::wait_drained(&node.process).await;
        node.close.send_replace(true);
        for l in node.listeners {
            let _ = l.await;
        }
    };
    tokio::select! {
        () = drained => Ok(()),
        result = tokio::signal::ctrl_c() => result,
        _ = term.recv() => Ok(()),
    }
}
