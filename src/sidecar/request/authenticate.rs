//! Authentication of callers: finds the route of a request and the tenant of its API key.

use crate::prelude::*;
use crate::request::reason::{Failure, Reason};
use crate::sidecar::process::node::Node;
use crate::sidecar::version::routes::{ApiKey, Route, RouteTable, Tenant};

/// A request that may run: the version that allows it, its route, and its tenant if it has one.
pub(crate) type Authenticated = (Arc<RouteTable>, Arc<Route>, Option<Arc<Tenant>>);

/// Finds the route of a request and the tenant of its key in a version. An unknown key ends a request for good, so the
/// version is confirmed to be current first.
///
/// # Errors
///
/// No route matches, or the route needs a key and that of the request is unknown.
pub(crate) async fn authenticate(
    n: &Node,
    table: Arc<RouteTable>,
    host: &str,
    path: &str,
    key: Option<&ApiKey>,
) -> Result<Authenticated, Failure> {
    let unknown_key = Failure::not_run(Reason::UnknownKey);
    let tenant_of = |table: &RouteTable| key.and_then(|k| table.keys.get(k)).cloned();
    match find(&table, host, path, tenant_of) {
        // A newer version cannot provide a missing key.
        Err(f) if f == unknown_key && key.is_some() => {}
        result => return with_table(table, result),
    }
    if !confirm_version(n, table.number).await {
        return Err(Failure::not_run(Reason::Unconfirmed));
    }
    let table = n.routes.load_full().unwrap_or(table);
    let result = find(&table, host, path, tenant_of);
    with_table(table, result)
}

/// Route of a request, and its tenant if it has one.
pub(crate) type RouteAndTenant = (Arc<Route>, Option<Arc<Tenant>>);

fn with_table(
    table: Arc<RouteTable>,
    result: Result<RouteAndTenant, Failure>,
) -> Result<Authenticated, Failure> {
    result.map(|(route, tenant)| (table, route, tenant))
}

/// Finds the route of a request in a version, and the tenant unless the route needs none. `tenant_of` returns the tenant of
/// the caller.
///
/// # Errors
///
/// As for [`authenticate`].
pub(crate) fn find<F>(
    table: &RouteTable,
    host: &str,
    path: &str,
    tenant_of: F,
) -> Result<RouteAndTenant, Failure>
where
    F: Fn(&RouteTable) -> Option<Arc<Tenant>>,
{
    let route = table.route(host, path);
    let route = route.ok_or(Failure::not_run(Reason::NoRoute))?.clone();
    if route.public || table.tenants.is_empty() {
        return Ok((route, None));
    }
    let tenant = tenant_of(table).ok_or(Failure::not_run(Reason::UnknownKey))?;
    Ok((route, Some(tenant)))
}

/// Waits until the version `number` is confirmed to be current or is replaced. Returns false if neither happens in time.
async fn confirm_version(n: &Node, number: VersionNumber) -> bool {
    let limits = n.freshness_limits();
    if n.version() != number {
        return true;
    }
    if n.reaches_store() {
        return is_confirmed(n);
    }
    let mut confirmed = n.version_confirmed.subscribe();
    let mut adopted = n.version_adopted.subscribe();
    n.links.ask_nearest_watcher(n);
    let changed = async {
        tokio::select! {
            _ = confirmed.changed() => {}
            _ = adopted.changed() => {}
        }
    };
    tokio::time::timeout(limits.answer_timeout, changed)
        .await
        .is_ok()
}

/// Whether the version in force was confirmed a short time ago.
pub(crate) fn is_confirmed(n: &Node) -> bool {
    n.unconfirmed_time() <= n.freshness_limits().max_age
}
