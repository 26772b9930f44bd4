//! Listeners of the process: opens them, and serves them once the state of the node is built.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::connection::listen;
use crate::prelude::*;
use crate::process::node::NodeError;
use crate::settings::{LimitSettings, Settings};
use crate::sidecar::connection::relay;
use crate::sidecar::process::admin;
use crate::sidecar::process::limits::{self, Port};
use crate::sidecar::process::node::Node;
use crate::sidecar::process::target::control;
use crate::sidecar::request::early::EarlyRequests;
use crate::sidecar::request::entry;

/// Open listeners of a node.
pub(super) struct Listeners {
    pub(super) relay: TcpListener,
    caller: TcpListener,
    control: TcpListener,
    readiness: TcpListener,
    admin: TcpListener,
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<NodeError>> {
    TcpListener::bind(address)
        .await
        .change_context(NodeError)
        .attach_with(|| format!("cannot listen on {address}"))
}

impl Listeners {
    /// Opens the listeners.
    ///
    /// # Errors
    ///
    /// One of them cannot be opened.
    pub(super) async fn bind(settings: &Settings) -> Result<Self, Report<NodeError>> {
        Ok(Self {
            relay: bind(settings.listen.relay).await?,
            caller: bind(settings.listen.caller).await?,
            control: bind(settings.sidecar.control).await?,
            readiness: bind(settings.sidecar.ready).await?,
            admin: bind(settings.listen.admin).await?,
        })
    }

    /// Logs the start of the node with its actual addresses.
    pub(super) fn log_started(&self, n: &Node) {
        let address = |l: &TcpListener| l.local_addr().map(|a| a.to_string()).unwrap_or_default();
        n.log.event(
            "started",
            &[
                ("node", &n.id),
                ("caller", &address(&self.caller)),
                ("relay", &address(&self.relay)),
                ("control", &address(&self.control)),
                ("ready", &address(&self.readiness)),
                ("admin", &address(&self.admin)),
            ],
        );
    }

    /// Starts to serve the listeners. Returns the task that serves callers, which ends after `close`.
    pub(super) fn serve(self, n: &Arc<Node>, close: watch::Receiver<bool>) -> JoinHandle<()> {
        tokio::spawn(relay::accept(n.clone(), self.relay));
        let limits = n.settings().limits.clone();
        let p = n.clone();
        let serve = move |req, _| control::serve(p.clone(), req);
        let control_limits = limits.clone();
        let door = limits::door(n, Port::Control);
        tokio::spawn(listen::serve(self.control, control_limits, serve, door));
        let p = n.clone();
        let serve = move |req, _| admin::serve(p.clone(), req);
        let door = limits::door(n, Port::Admin);
        tokio::spawn(listen::serve(self.admin, limits.clone(), serve, door));
        let p = n.clone();
        let serve = move |req, _| control::serve_readiness(p.clone(), req);
        let door = limits::door(n, Port::Ready);
        tokio::spawn(listen::serve(self.readiness, limits, serve, door));
        serve_callers(n, self.caller, close)
    }
}

fn serve_callers(
    n: &Arc<Node>,
    listener: TcpListener,
    close: watch::Receiver<bool>,
) -> JoinHandle<()> {
    let p = n.clone();
    let serve = move |req, from| entry::serve_caller(p.clone(), req, from);
    let p = n.clone();
    let limits = move || caller_limits(&p);
    tokio::spawn(listen::serve_until(
        listener,
        limits,
        close,
        serve,
        Some(Arc::new(EarlyRequests(n.clone()))),
        limits::door(n, Port::Caller),
    ))
}

/// Limits of the listener for callers: those of the configuration, once there is one. Its header timeout also closes
/// idle connections, so it is the idle timeout of the configuration: callers may reuse a connection for nearly that long.
fn caller_limits(n: &Node) -> LimitSettings {
    let base = n.settings().limits.clone();
    let table = n.routes.load();
    let Some(limits) = table.as_ref().map(|t| &t.limits) else {
        return base;
    };
    LimitSettings {
        header_timeout_ms: limits.idle_timeout.as_millis() as u64,
        header_bytes: limits.header_bytes,
        ..base
    }
}
