//! Quotas at one node: its borrowing for the requests that arrive here, and its lending to other nodes. No I/O.

use crate::prelude::*;
use crate::sidecar::process::quota::borrower::Borrower;
use crate::sidecar::process::quota::bucket::Available;
use crate::sidecar::process::quota::holder::{BorrowerId, Context, Lender};
use crate::sidecar::process::quota::limits::{Quota, QuotaBounds};
use crate::sidecar::process::quota::roster::{by_preference, Nodes, Roster};
use crate::sidecar::process::quota::{Asks, UnitAsk, UnitGrant, Verdict, MAX_LOAN_TIME};

/// Interval at which units are borrowed ahead of the requests, and at which reports for one holder are joined.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval while no tenant has requests here.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Time without requests of any tenant after which that interval applies.
const ACTIVE_TIME: Duration = Duration::from_secs(1);
/// Time for which the known nodes are not read again.
const ROSTER_MAX_AGE: Duration = Duration::from_millis(250);

/// Loans that a node may have of the predecessor of a process, relative to an equal share. Most nodes that are not seen
/// after a start have ended; the bound allows for some that have not.
const UNSEEN_WEIGHT: f64 = 3.0;

/// Quotas at one node.
#[derive(Debug)]
pub struct Quotas {
    node: NodeId,
    az: Az,
    bounds: QuotaBounds,
    roster: Roster,
    roster_at: Option<Now>,
    /// Start of the process.
    started: Now,
    /// Nodes that were linked since the start; they know that loans of an earlier process have ended.
    seen: HashSet<NodeId>,
    /// Part of the loans of an earlier process that may not have ended.
    unknown: f64,
    borrowers: BTreeMap<TenantId, Borrower>,
    lender: Lender,
    polled_at: Now,
}

impl Quotas {
    /// State of a process that has just started.
    pub fn new(node: NodeId, az: Az, bounds: QuotaBounds, now: Now) -> Self {
        Self {
            roster: Roster::new(node.clone()),
            node,
            az,
            bounds,
            roster_at: None,
            started: now,
            seen: HashSet::default(),
            unknown: 1.0,
            borrowers: BTreeMap::new(),
            lender: Lender::default(),
            polled_at: now,
        }
    }

    /// Changes the bounds.
    pub fn set_bounds(&mut self, bounds: QuotaBounds) {
        if bounds != self.bounds {
            self.bounds = bounds;
            self.roster.generation += 1;
        }
    }

    /// Whether [`Quotas::set_nodes`] has to be called before the next event.
    pub fn needs_nodes(&self, now: Now) -> bool {
        self.roster_at.is_none_or(|at| now >= at + ROSTER_MAX_AGE)
    }

    /// Sets the known nodes, this one included. This node issues units only once it has `listed` all nodes: with some of
    /// them it would take too large a part for its own.
    pub fn set_nodes<F>(&mut self, nodes: Nodes, listed: bool, reachable: F, now: Now)
    where
        F: Fn(&NodeId) -> bool,
    {
        self.roster_at = Some(now);
        if self.unknown > 0.0 {
            let seen = nodes.iter().map(|n| &n.0).filter(|n| reachable(n));
            self.seen.extend(seen.cloned());
            let is_unseen = |n: &&(NodeId, Az)| n.0 != self.node && !self.seen.contains(&n.0);
            let unseen = nodes.iter().filter(is_unseen).count() as f64;
            self.unknown = match listed {
                _ if now >= self.started + MAX_LOAN_TIME => 0.0,
                true => (unseen / nodes.len().max(1) as f64 * UNSEEN_WEIGHT).min(1.0),
                false => 1.0,
            };
        }
        self.roster.set(nodes, listed, now);
    }

    /// Removes the state of tenants without a limit in the version in force.
    pub fn retain<F>(&mut self, is_limited: F)
    where
        F: Fn(&TenantId) -> bool,
    {
        self.borrowers.retain(|tenant, _| is_limited(tenant));
        self.lender.retain(is_limited);
    }

    /// Counts a request of a tenant as demand. [`Quotas::take`] follows, once or several times.
    pub fn on_request(&mut self, tenant: &TenantId, quota: Quota, now: Now) {
        let new = || Borrower::new(quota, now);
        let b = self.borrowers.entry(tenant.clone()).or_insert_with(new);
        b.on_request(quota, now);
    }

    /// Takes a unit for a request. `reachable` says whether a node is linked and responds.
    pub fn take<F>(&mut self, tenant: &TenantId, quota: Quota, reachable: F, now: Now) -> Verdict
    where
        F: Fn(&NodeId) -> bool,
    {
        let context = Context {
            bounds: self.bounds,
            roster: &self.roster,
            unknown: self.unknown,
            now,
        };
        let new = || Borrower::new(quota, now);
        let borrower = self.borrowers.entry(tenant.clone()).or_insert_with(new);
        update_holders(borrower, tenant, quota, &context, (&self.node, &self.az));
        let own = self.lender.take(&context, tenant, quota);
        match own {
            Some(Ok(())) => {
                borrower.on_taken(now);
                Verdict::Granted
            }
            _ if borrower.take(now) => Verdict::Granted,
            _ => borrower.without_unit(own.and_then(Result::err), reachable, now),
        }
    }

    /// Copy with the state of one tenant only. A query tries a request out on it, so that the state of this node does not
    /// change.
    pub fn copy_of(&self, tenant: &TenantId) -> Self {
        let borrower = self.borrowers.get_key_value(tenant);
        let borrower = borrower.map(|(tenant, b)| (tenant.clone(), b.clone()));
        Self {
            node: self.node.clone(),
            az: self.az.clone(),
            bounds: self.bounds,
            roster: self.roster.clone(),
            roster_at: self.roster_at,
            started: self.started,
            seen: self.seen.clone(),
            unknown: self.unknown,
            borrowers: borrower.into_iter().collect(),
            lender: self.lender.copy_of(tenant),
            polled_at: self.polled_at,
        }
    }

    /// Units of a tenant that requests at this node can take now, and the rate at which they grow: of the own part of the
    /// quota and of what was borrowed.
    pub fn available(&mut self, tenant: &TenantId, quota: Quota, now: Now) -> Available {
        let context = Context {
            bounds: self.bounds,
            roster: &self.roster,
            unknown: self.unknown,
            now,
        };
        let own = self.lender.own(&context, tenant, quota).unwrap_or_default();
        if let Some(b) = self.borrowers.get_mut(tenant) {
            b.refresh(now);
        }
        let (units, rate) = self.held(tenant);
        Available {
            units: own.units + units,
            rate: own.rate + rate,
        }
    }

    /// Verdict on a request that has waited for too long: the time after which it may come again.
    pub fn refuse(&mut self, tenant: &TenantId, now: Now) -> Duration {
        let b = self.borrowers.get_mut(tenant);
        b.map_or(POLL_INTERVAL, |b| b.retry_after(POLL_INTERVAL, now))
    }

    /// Takes back the unit of a request that provably did not run.
    pub fn give_back(&mut self, tenant: &TenantId, now: Now) {
        if let Some(b) = self.borrowers.get_mut(tenant) {
            b.give_back(now);
        }
    }

    /// Reports to send to holders now.
    pub fn poll<F>(&mut self, reachable: F, now: Now) -> Vec<Asks>
    where
        F: Fn(&NodeId) -> bool,
    {
        self.polled_at = now;
        self.borrowers.retain(|_, b| !b.is_idle(now));
        let mut by_holder: BTreeMap<NodeId, Vec<UnitAsk>> = BTreeMap::new();
        for (tenant, b) in &mut self.borrowers {
            for (holder, ask) in b.poll(tenant, &reachable, now) {
                by_holder.entry(holder).or_default().push(ask);
            }
        }
        by_holder.into_iter().collect()
    }

    /// Time until the next [`Quotas::poll`]; `None` while no tenant is active at this node.
    pub fn next_poll(&self, now: Now) -> Option<Duration> {
        let last = self.borrowers.values().map(Borrower::last_request).max()?;
        let interval = match now < last + ACTIVE_TIME {
            true => POLL_INTERVAL,
            false => IDLE_POLL_INTERVAL,
        };
        Some((self.polled_at + interval).saturating_sub(now))
    }

    /// Answers the reports of a borrower. `quota_of` returns the quota of a tenant in the version in force.
    pub fn on_asks<F>(
        &mut self,
        from: &BorrowerId,
        asks: &[UnitAsk],
        quota_of: F,
        now: Now,
    ) -> Vec<UnitGrant>
    where
        F: Fn(&TenantId) -> Option<Quota>,
    {
        let context = Context {
            bounds: self.bounds,
            roster: &self.roster,
            unknown: self.unknown,
            now,
        };
        let lender = &mut self.lender;
        let answers = asks
            .iter()
            .filter_map(|ask| lender.answer(&context, from, ask, quota_of(&ask.tenant)));
        answers.collect()
    }

    /// Takes the units of a holder's answers. Returns whether there were any.
    pub fn on_grants(&mut self, from: &BorrowerId, grants: &[UnitGrant], now: Now) -> bool {
        let mut any = false;
        for grant in grants {
            if let Some(b) = self.borrowers.get_mut(&grant.tenant) {
                b.on_process(&from.0, from.1);
                any |= b.on_grant(&from.0, grant, now) > 0;
            }
        }
        any
    }

    /// Another node has introduced itself: if its process is a new one, what its predecessor lent has ended.
    pub fn on_process(&mut self, node: &NodeId, process: u64) {
        for b in self.borrowers.values_mut() {
            b.on_process(node, process);
        }
    }

    /// Units and rate of a tenant that were borrowed and are at this node.
    pub fn held(&self, tenant: &TenantId) -> (f64, f64) {
        let b = self.borrowers.get(tenant);
        b.map_or((0.0, 0.0), Borrower::held)
    }

    /// Rates by tenant, in units per second: borrowed and lent.
    pub fn rates(&self) -> BTreeMap<TenantId, (f64, f64)> {
        let mut rates: BTreeMap<TenantId, (f64, f64)> = BTreeMap::new();
        for (tenant, b) in &self.borrowers {
            rates.entry(tenant.clone()).or_default().0 = b.held().1;
        }
        for (tenant, rate) in self.lender.lent_rates() {
            rates.entry(tenant.clone()).or_default().1 = rate;
        }
        rates
    }
}

/// Sets the holders of a tenant again after the known nodes or its quota changed.
fn update_holders(
    b: &mut Borrower,
    tenant: &TenantId,
    quota: Quota,
    c: &Context<'_>,
    own: (&NodeId, &Az),
) {
    if b.generation() == c.roster.generation {
        return;
    }
    let max = quota.allotment(&c.bounds).max_holders();
    let holders = c.roster.holders(tenant, max);
    let preferred = by_preference(&holders, own.0, own.1);
    b.set_holders(preferred, holders.own, c.roster.generation);
}
