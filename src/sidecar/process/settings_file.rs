//! Reloads of the settings, after a signal or a change of their file, and the signals that stop the process.

use tokio::signal::unix::{signal, SignalKind};

use crate::prelude::*;
use crate::process::node::NodeError;
use crate::settings;
use crate::sidecar::process::limits;
use crate::sidecar::process::node::Node;

/// Interval at which the settings file is checked for changes.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);

/// Waits for SIGTERM or SIGINT. SIGHUP reloads the settings.
pub(super) async fn wait_for_stop_signal(
    n: &Arc<Node>,
    source: settings::Source,
) -> Result<(), Report<NodeError>> {
    let mut term = signal(SignalKind::terminate()).change_context(NodeError)?;
    let mut hup = signal(SignalKind::hangup()).change_context(NodeError)?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = tokio::signal::ctrl_c() => return Ok(()),
            _ = hup.recv() => reload_settings(n, &source),
        }
    }
}

/// Reloads the settings. Addresses and ids take effect only after a restart of the process.
fn reload_settings(n: &Node, source: &settings::Source) {
    match source.read() {
        Ok(settings) if settings == **n.settings() => {}
        Ok(settings) => {
            n.shared_link.set_rate(settings.sidecar.link_mbps);
            n.inbound.set_rate(settings.sidecar.link_mbps);
            if let (Some(gate), Some(limits)) = (&n.gate, limits::budget_limits(&settings.limits)) {
                gate.set_limits(limits);
            }
            n.settings.store(Arc::new(settings));
            n.log.event("settings_reloaded", &[]);
        }
        Err(f) => {
            let first = f.items.first().map(|x| x.to_string()).unwrap_or_default();
            n.log.event("settings_refused", &[("finding", &first)]);
        }
    }
}

/// Reloads the settings when their file changes. Never returns.
pub(super) async fn watch_settings_file(n: Arc<Node>, source: settings::Source) {
    let modified = || {
        std::fs::metadata(&source.path)
            .and_then(|m| m.modified())
            .ok()
    };
    let mut last = modified();
    loop {
        tokio::time::sleep(SETTINGS_INTERVAL).await;
        let now = modified();
        if now != last {
            last = now;
            reload_settings(&n, &source);
        }
    }
}
