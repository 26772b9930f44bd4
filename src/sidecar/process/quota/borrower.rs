//! The entry node's side of one tenant: estimates its demand here, and borrows units from the holders. No I/O.

use crate::prelude::*;
use crate::sidecar::process::quota::account::Account;
use crate::sidecar::process::quota::limits::Quota;
use crate::sidecar::process::quota::{UnitAsk, UnitGrant, Verdict};

/// Time constant of the estimate of the demand.
const DEMAND_TIME_S: f64 = 2.0;
/// Demand from which on a rate is borrowed, in requests per second. Rarer requests borrow a unit each.
const STEADY_RATE: f64 = 0.5;
/// Rate that is asked for, relative to the demand: room for requests that come unevenly.
const RATE_FACTOR: f64 = 2.0;
/// Part of the demand below which a greater rate is asked for.
const GROW_BELOW: f64 = 0.5;
/// Time for whose demand units are asked for when there are none, in seconds.
const UNITS_S: f64 = 0.6;
/// Interval at which a greater rate is asked for.
const GROW_INTERVAL: Duration = Duration::from_millis(300);
/// Time without requests after which the loans are ended, so that the units can follow the demand to other nodes.
const IDLE_AFTER: Duration = Duration::from_secs(2);
/// Time without requests after which the tenant is forgotten; longer than holders remember a borrower.
const FORGET_AFTER: Duration = Duration::from_secs(20);
/// Time for which a unit of a request that did not run may be used again.
const RETURNED_FOR: Duration = Duration::from_millis(500);
/// Longest time after which a refused request is told to come again: within a window all units are renewed.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time until the next unit for which a request waits rather than being refused.
const WORTH_WAITING: Duration = Duration::from_millis(100);
/// Retry time where no holder can be asked.
const NO_HOLDER_RETRY: Duration = Duration::from_millis(250);

/// Mean number of events per second over the last [`DEMAND_TIME_S`].
#[derive(Debug, Clone, Default)]
struct Rate {
    per_s: f64,
    at: Now,
}

impl Rate {
    fn now(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.per_s * (-age / DEMAND_TIME_S).exp()
    }

    fn add(&mut self, now: Now) {
        self.per_s = self.now(now) + 1.0 / DEMAND_TIME_S;
        self.at = now;
    }
}

/// One tenant at an entry node.
#[derive(Debug, Clone)]
pub struct Borrower {
    quota: Quota,
    /// Holders other than this node, the preferred one first.
    holders: Vec<NodeId>,
    /// Whether this node issues a part of the quota itself.
    own: bool,
    /// Generation of the roster from which the holders are.
    generation: u64,
    accounts: BTreeMap<NodeId, Account>,
    demand: Rate,
    supply: Rate,
    last_request: Now,
    /// Time until which the part of this node counts as too small for the requests here.
    own_short_until: Now,
    /// Time from which on a greater rate is asked for again.
    grow_at: Now,
    /// Units of requests that did not run, with the time until which they may be used.
    returned: (u32, Now),
    /// Time for which the next refused request is told to come again.
    next_retry: Now,
    /// Whether a request waits for units.
    waiting: bool,
    /// Whether the last answer brought fewer units than were asked for.
    short: bool,
}

impl Borrower {
    /// A tenant whose first request has arrived.
    pub fn new(quota: Quota, now: Now) -> Self {
        Self {
            quota,
            holders: Vec::new(),
            own: false,
            generation: u64::MAX,
            accounts: BTreeMap::new(),
            demand: Rate::default(),
            supply: Rate::default(),
            last_request: now,
            own_short_until: now,
            grow_at: now,
            returned: (0, now),
            next_retry: now,
            waiting: false,
            short: false,
        }
    }

    /// Generation of the roster from which the holders are.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Sets the holders other than this node, the preferred one first, and whether this node is one too.
    pub fn set_holders(&mut self, holders: Vec<NodeId>, own: bool, generation: u64) {
        for node in &holders {
            self.accounts.entry(node.clone()).or_default();
        }
        self.holders = holders;
        self.own = own;
        self.generation = generation;
    }

    /// Counts a request as demand. A changed quota ends the units borrowed under the former one.
    pub fn on_request(&mut self, quota: Quota, now: Now) {
        if quota != self.quota {
            self.quota = quota;
            self.generation = u64::MAX;
            self.returned.0 = 0;
            self.next_retry = now;
            self.accounts.values_mut().for_each(Account::clear);
        }
        self.demand.add(now);
        self.last_request = now;
    }

    /// Takes a unit that is at this node.
    pub fn take(&mut self, now: Now) -> bool {
        let returned = self.returned.0 > 0 && now < self.returned.1;
        if returned {
            self.returned.0 -= 1;
        }
        let taken = returned || self.accounts.values_mut().any(|a| a.take(now));
        if taken {
            self.on_taken(now);
        }
        taken
    }

    /// Counts a unit that a request has got.
    pub fn on_taken(&mut self, now: Now) {
        self.supply.add(now);
        self.waiting = false;
    }

    /// Takes back the unit of a request that provably did not run.
    pub fn give_back(&mut self, now: Now) {
        if now >= self.returned.1 {
            self.returned.0 = 0;
        }
        self.returned = (self.returned.0 + 1, now + RETURNED_FOR);
    }

    /// Verdict on a request for which there is no unit at this node. `own_wait` is the time after which the part of this
    /// node has one.
    pub fn without_unit<F>(&mut self, own_wait: Option<Duration>, reachable: F, now: Now) -> Verdict
    where
        F: Fn(&NodeId) -> bool,
    {
        if own_wait.is_some() {
            self.own_short_until = now + IDLE_AFTER;
        }
        let linked = self.holders.iter().filter(|h| reachable(h));
        let linked: Vec<_> = linked.filter_map(|h| self.accounts.get(h)).collect();
        let none = linked.is_empty() && own_wait.is_none();
        if none || linked.iter().any(|a| a.is_asked(now) || a.may_ask(now)) {
            self.waiting = true;
            return Verdict::Wait;
        }
        let others = linked.iter().map(|a| a.room_at().saturating_sub(now));
        let accrual = self.accounts.values().filter_map(Account::time_to_unit);
        let wait = others.chain(accrual).chain(own_wait).min();
        let wait = wait.unwrap_or(NO_HOLDER_RETRY);
        if wait <= WORTH_WAITING {
            self.waiting = true;
            return Verdict::Wait;
        }
        Verdict::Refused(self.retry_after(wait, now))
    }

    /// Time after which a refused request may come again. As each refused request needs a unit, later ones are told to
    /// come later.
    pub fn retry_after(&mut self, wait: Duration, now: Now) -> Duration {
        self.waiting = false;
        let at = (now + wait).max(self.next_retry);
        let at = at.min(now + MAX_RETRY_AFTER);
        let supply = self.supply.now(now).max(self.lent_rate());
        let supply = supply.max(1.0 / MAX_RETRY_AFTER.as_secs_f64());
        self.next_retry = at + Duration::from_secs_f64(1.0 / supply);
        at.saturating_sub(now)
    }

    /// Rate of all loans.
    fn lent_rate(&self) -> f64 {
        self.accounts.values().map(Account::rate).sum()
    }

    /// Reports to send now: for more, for the renewal of a loan, or of loans that are no longer needed.
    pub fn poll<F>(&mut self, tenant: &TenantId, reachable: F, now: Now) -> Vec<(NodeId, UnitAsk)>
    where
        F: Fn(&NodeId) -> bool,
    {
        if now >= self.last_request + IDLE_AFTER {
            let accounts = self.accounts.iter_mut();
            let released = accounts.filter_map(|(h, a)| Some((h.clone(), a.release(tenant, now)?)));
            return released.collect();
        }
        self.refresh(now);
        let demand = self.demand.now(now);
        let (holders, want) = self.next_holders(demand, reachable, now);
        // A request that still waits says so again.
        self.waiting = false;
        let each = want.div_ceil(holders.len().max(1) as u32);
        let mut asks = Vec::with_capacity(holders.len());
        for h in holders {
            let want_rate = self.rate_from(&h, demand, want > 0);
            let Some(account) = self.accounts.get_mut(&h) else {
                continue;
            };
            if each > 0 || want_rate > 0.0 {
                let ask = account.ask(tenant, each, want_rate, now);
                asks.push((h, ask));
            }
        }
        asks
    }

    /// Rate to ask a holder for: what the preferred ones do not lend, so that few holders lend to each node. Holders that
    /// are only asked for units, because others have too few, lend no rate.
    fn rate_from(&self, holder: &NodeId, demand: f64, only_units: bool) -> f64 {
        let rate = |h: &NodeId| self.accounts.get(h).map_or(0.0, Account::rate);
        let first = self.holders.first() == Some(holder);
        if demand < STEADY_RATE || only_units && !first && rate(holder) == 0.0 {
            return 0.0;
        }
        let preferred = self.holders.iter().take_while(|h| *h != holder);
        let lent: f64 = preferred.map(rate).sum();
        (demand * RATE_FACTOR - lent).max(0.0)
    }

    /// Holders to ask now, and the number of units that are wanted at once.
    fn next_holders<F>(&mut self, demand: f64, reachable: F, now: Now) -> (Vec<NodeId>, u32)
    where
        F: Fn(&NodeId) -> bool,
    {
        let accounts = &self.accounts;
        let may_ask = |h: &&NodeId| {
            let account = accounts.get(*h);
            account.is_some_and(|a| a.may_ask(now) && reachable(h))
        };
        let mut ask: Vec<NodeId> = self.holders.iter().filter(may_ask).cloned().collect();
        let wanted = ((demand * UNITS_S).ceil() as u32).max(1);
        let expected: u32 = accounts.values().map(|a| a.expected(now)).sum();
        if self.waiting && expected < wanted {
            // One after the other: units of several holders for one request would end unused.
            ask.truncate(1);
            return (ask, wanted - expected);
        }
        let uses_loans = !self.own || now < self.own_short_until;
        if uses_loans
            && now >= self.grow_at
            && demand >= STEADY_RATE
            && self.lent_rate() < demand * GROW_BELOW
        {
            self.grow_at = now + GROW_INTERVAL;
            ask.truncate(1);
            return (ask, 0);
        }
        ask.retain(|h| accounts.get(h).is_some_and(|a| a.must_renew(now)));
        (ask, 0)
    }

    /// Takes the units of an answer. Returns their number.
    pub fn on_grant(&mut self, from: &NodeId, grant: &UnitGrant, now: Now) -> u32 {
        let account = self.accounts.get_mut(from);
        let Some(units) = account.and_then(|a| a.on_grant(grant, now)) else {
            return 0;
        };
        self.short = grant.wait_ms > 0;
        units
    }

    /// Whether the tenant has had no requests for so long that nothing is lost with its state.
    pub fn is_idle(&self, now: Now) -> bool {
        now >= self.last_request + FORGET_AFTER && self.accounts.values().all(|a| a.is_idle(now))
    }

    /// Time of the last request.
    pub fn last_request(&self) -> Now {
        self.last_request
    }

    /// The holder has another process, which does not know what its predecessor lent.
    pub fn on_process(&mut self, holder: &NodeId, process: u64) {
        if let Some(a) = self.accounts.get_mut(holder) {
            a.on_process(process);
        }
    }

    /// Adds the units that have accrued, and ends loans whose time has passed.
    pub fn refresh(&mut self, now: Now) {
        self.accounts.values_mut().for_each(|a| a.refresh(now));
    }

    /// Units and rate at this node.
    pub fn held(&self) -> (f64, f64) {
        let level = self.accounts.values().map(Account::level).sum();
        (level, self.lent_rate())
    }
}
