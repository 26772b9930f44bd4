//! Runs the quota policy: takes units for requests, exchanges reports and answers with other nodes.
//!
//! Times are those of [`Clock::boot_time`](crate::process::clock::Clock::boot_time), which also advances while the VM is
//! suspended: a loan must not last longer because of that.

use std::sync::{Mutex, MutexGuard};

use tokio::sync::Notify;

use crate::prelude::*;
use crate::request::reason::{Failure, Reason};
use crate::sidecar::connection::frame::{Head, Message};
use crate::sidecar::process::node::{lock, Node};
use crate::sidecar::process::quota::bucket::Available;
use crate::sidecar::process::quota::limits::{Quota, QuotaBounds};
use crate::sidecar::process::quota::policy::Quotas;
use crate::sidecar::process::quota::{UnitAsk, UnitGrant, Verdict};
use crate::sidecar::version::routes::Tenant;

/// Longest time for which a request waits for a unit; longer than the pauses of a throttled process.
const MAX_WAIT: Duration = Duration::from_millis(200);
/// Part of the time left to the request for which it waits at most.
const WAIT_FRACTION: f64 = 0.25;
/// Interval at which a waiting request looks again, in case that a link has opened or a holder does not answer.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which a request that has not been sent on needs another unit. Requests whose bodies arrive slowly, or whose
/// callers complete many at once, could otherwise run in one window with units of several.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Interval of the log lines about refused requests of a tenant.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Greatest number of tenants with metrics of their own; bounds the memory that many versions may cost.
const MAX_LABELS: usize = 256;
/// Label of all other tenants.
const OTHER_TENANTS: &str = "other";

/// Refused requests of a tenant that are not yet logged.
#[derive(Default)]
struct Refusals {
    count: u64,
    logged_at: Option<Now>,
}

/// The quota policy of a node, and what its tasks and requests wait for.
pub struct QuotaDriver {
    policy: Mutex<Quotas>,
    /// Notifies the task that there is something to send.
    wake: Notify,
    /// Notifies waiting requests of an answer.
    answered: Notify,
    refusals: Mutex<HashMap<TenantId, Refusals>>,
    labels: Mutex<HashSet<TenantId>>,
}

/// The unit of a request. Dropping it returns the unit if the request provably did not run.
pub struct QuotaToken {
    node: Arc<Node>,
    tenant: TenantId,
    taken_at: Now,
    may_have_run: bool,
}

impl QuotaToken {
    /// Sets whether a target may have run the request, as far as is known.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for QuotaToken {
    fn drop(&mut self) {
        if !self.may_have_run {
            let now = self.node.clock.boot_time();
            self.node.quotas().give_back(&self.tenant, now);
            self.node.count_units(&self.tenant, "returned", 1);
        }
    }
}

impl QuotaDriver {
    /// State of a process that has just started.
    pub fn new(policy: Quotas) -> Self {
        Self {
            policy: Mutex::new(policy),
            wake: Notify::new(),
            answered: Notify::new(),
            refusals: Mutex::default(),
            labels: Mutex::default(),
        }
    }

    /// Label of a tenant in the metrics.
    fn label<'a>(&self, tenant: &'a TenantId) -> &'a str {
        let mut labels = lock(&self.labels);
        if labels.len() < MAX_LABELS && !labels.contains(tenant) {
            labels.insert(tenant.clone());
        }
        match labels.contains(tenant) {
            true => tenant,
            false => OTHER_TENANTS,
        }
    }
}

/// Takes a unit for a request of a tenant; waits for a moment if holders have to be asked. `remaining` is the time left to
/// the request. `None` if the tenant has no quota.
///
/// # Errors
///
/// The quota is used up; the failure has the time after which there should be room.
pub(crate) async fn take(
    n: &Arc<Node>,
    tenant: &Tenant,
    remaining: Duration,
) -> Result<Option<QuotaToken>, Failure> {
    let Some(quota) = Quota::new(tenant.rate, tenant.burst) else {
        return Ok(None);
    };
    let name = &tenant.name;
    let start = n.clock.boot_time();
    let end = start + remaining.mul_f64(WAIT_FRACTION).min(MAX_WAIT);
    n.quotas().on_request(name, quota, start);
    loop {
        let answered = n.quota.answered.notified();
        let now = n.clock.boot_time();
        match n.take_unit(name, quota, now) {
            Verdict::Granted => break,
            Verdict::Refused(after) => return Err(refused(n, name, after)),
            Verdict::Wait if now >= end => {
                let after = n.quotas().refuse(name, now);
                return Err(refused(n, name, after));
            }
            Verdict::Wait => {}
        }
        n.quota.wake.notify_one();
        let wait = (end - now).min(RECHECK_INTERVAL);
        let _ = tokio::time::timeout(wait, answered).await;
    }
    n.count_units(name, "used", 1);
    Ok(Some(QuotaToken {
        node: n.clone(),
        tenant: name.clone(),
        taken_at: n.clock.boot_time(),
        may_have_run: false,
    }))
}

/// Replaces the unit of a request whose body took so long to arrive that the unit belongs to an earlier time.
///
/// # Errors
///
/// As for [`take`].
pub(crate) async fn renew(
    n: &Arc<Node>,
    tenant: &Tenant,
    token: QuotaToken,
    remaining: Duration,
) -> Result<Option<QuotaToken>, Failure> {
    let mut token = token;
    if n.clock.boot_time() < token.taken_at + MAX_AGE {
        return Ok(Some(token));
    }
    // Its time has passed, so it is not returned.
    token.may_have_run = true;
    take(n, tenant, remaining).await
}

/// Counts and logs a refused request.
fn refused(n: &Node, tenant: &TenantId, after: Duration) -> Failure {
    n.count_units(tenant, "refused", 1);
    let now = n.clock.boot_time();
    let mut refusals = lock(&n.quota.refusals);
    let r = refusals.entry(tenant.clone()).or_default();
    r.count += 1;
    if r.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL) {
        let (held, rate) = n.quotas().held(tenant);
        let pairs = [
            ("tenant", tenant.to_string()),
            ("count", std::mem::take(&mut r.count).to_string()),
            ("again_ms", after.as_millis().to_string()),
            ("held", format!("{held:.1}")),
            ("rate", format!("{rate:.1}")),
            ("version", n.version().to_string()),
        ];
        r.logged_at = Some(now);
        let pairs: Vec<_> = pairs.iter().map(|(k, v)| (*k, v.as_str())).collect();
        n.log.event("quota_refused", &pairs);
    }
    Failure {
        back_off: after,
        ..Failure::not_run(Reason::Quota)
    }
}

/// Sends the reports of this node. Sleeps while no tenant with a quota has requests here. Never returns.
pub async fn run(n: Arc<Node>) {
    let mut version = n.version();
    loop {
        let next = n.quotas().next_poll(n.clock.boot_time());
        let woken = n.quota.wake.notified();
        match next {
            None => woken.await,
            Some(wait) => {
                let _ = tokio::time::timeout(wait, woken).await;
            }
        }
        if n.version() != version {
            version = n.version();
            let table = n.routes.load_full();
            let quota = |t: &TenantId| table.as_ref().and_then(|r| r.quota(t));
            n.quotas().retain(|t| quota(t).is_some());
            lock(&n.quota.refusals).retain(|t, _| quota(t).is_some());
        }
        let now = n.clock.boot_time();
        let asks = n.quotas().poll(|h| n.links.is_responsive(h), now);
        let process = n.record().incarnation;
        for (holder, asks) in asks {
            let head = Head::QuotaAsk(process, asks);
            n.links.send(&holder, Message::without_payload(head));
        }
    }
}

/// Result of a request that is tried on a copy of the state of a quota.
pub(crate) struct QuotaTrial {
    /// Units at this node before the request takes one.
    pub(crate) available: Available,
    pub(crate) verdict: Verdict,
}

impl Node {
    /// The quota policy.
    pub fn quotas(&self) -> MutexGuard<'_, Quotas> {
        lock(&self.quota.policy)
    }

    /// Rates of the loans by label of the tenant, in units per second: borrowed and lent.
    pub(crate) fn quota_rates(&self) -> Vec<(String, f64, f64)> {
        let rates = self.quotas().rates();
        let by_label = rates
            .into_iter()
            .map(|(t, (borrowed, lent))| (self.quota.label(&t).to_owned(), borrowed, lent));
        by_label.collect()
    }

    fn count_units(&self, tenant: &TenantId, event: &str, units: u32) {
        let labels = [self.quota.label(tenant), event];
        let counter = self.metrics.quota_units.with_label_values(&labels);
        counter.inc_by(u64::from(units));
    }

    fn take_unit(&self, tenant: &TenantId, quota: Quota, now: Now) -> Verdict {
        let mut policy = self.quotas();
        self.refresh_nodes(&mut policy, now);
        policy.take(tenant, quota, |h| self.links.is_responsive(h), now)
    }

    /// Tries on a copy of the state what [`take`] would decide now.
    pub(crate) fn try_quota(&self, tenant: &TenantId, quota: Quota) -> QuotaTrial {
        let now = self.clock.boot_time();
        let mut copy = self.quotas().copy_of(tenant);
        copy.on_request(tenant, quota, now);
        self.refresh_nodes(&mut copy, now);
        let available = copy.available(tenant, quota, now);
        let verdict = copy.take(tenant, quota, |h| self.links.is_responsive(h), now);
        QuotaTrial { available, verdict }
    }

    /// Tells the policy the known nodes and the settings, if those it has are old.
    fn refresh_nodes(&self, policy: &mut Quotas, now: Now) {
        if !policy.needs_nodes(now) {
            return;
        }
        policy.set_bounds(QuotaBounds::new(&self.settings().sidecar));
        let own = (self.id.clone(), self.settings().node.az.clone());
        let mut nodes: Vec<_> = self.members().zones().collect();
        nodes.push(own);
        let listed = self.members_listed();
        policy.set_nodes(nodes, listed, |h| self.links.is_responsive(h), now);
    }

    /// Answers the reports of a borrower; `None` if there is nothing to answer.
    pub(crate) fn on_quota_asks(
        &self,
        from: &NodeId,
        process: u64,
        asks: &[UnitAsk],
    ) -> Option<Message> {
        let now = self.clock.boot_time();
        let table = self.routes.load_full();
        let quota = |t: &TenantId| table.as_ref().and_then(|r| r.quota(t));
        let mut policy = self.quotas();
        self.refresh_nodes(&mut policy, now);
        let grants = policy.on_asks(&(from.clone(), process), asks, quota, now);
        drop(policy);
        for g in grants.iter().filter(|g| g.units > 0) {
            self.count_units(&g.tenant, "lent", g.units);
        }
        let process = self.record().incarnation;
        let head = Head::QuotaGrant(process, grants);
        let empty = matches!(&head, Head::QuotaGrant(_, g) if g.is_empty());
        (!empty).then(|| Message::without_payload(head))
    }

    /// Takes the answers of a holder.
    pub(crate) fn on_quota_grants(&self, from: &NodeId, process: u64, grants: &[UnitGrant]) {
        let now = self.clock.boot_time();
        let from = (from.clone(), process);
        self.quotas().on_grants(&from, grants, now);
        for g in grants.iter().filter(|g| g.units > 0) {
            self.count_units(&g.tenant, "borrowed", g.units);
        }
        self.quota.answered.notify_waiters();
        // A request that still waits asks the other holders.
        self.quota.wake.notify_one();
    }
}
