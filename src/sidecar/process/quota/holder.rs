//! The holder's side: lends rate and units of the parts that this node owns. No I/O.

use crate::prelude::*;
use crate::sidecar::process::quota::bucket::{Available, Bucket, Lent};
use crate::sidecar::process::quota::limits::{Allotment, Quota, QuotaBounds};
use crate::sidecar::process::quota::roster::{Holders, Roster};
use crate::sidecar::process::quota::{
    counted_time, UnitAsk, UnitGrant, LOAN_TIME, SHORT_LOAN_TIME,
};

/// Longest time that a holder tells a borrower to wait.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Time for whose requests a borrower may have units, in seconds; evens out the times between them.
const DEPTH_S: f64 = 1.0;

/// A process that borrows: its node, and a number that is greater than those of the node's earlier processes.
pub type BorrowerId = (NodeId, u64);

/// What the division of a quota depends on.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// Bounds from the settings.
    pub bounds: QuotaBounds,
    /// The known nodes.
    pub roster: &'a Roster,
    /// Part of what may be lent that an earlier process of this node may have lent, to nodes not reached since the start.
    pub unknown: f64,
    /// Time of the event.
    pub now: Now,
}

/// What one process has borrowed of one tenant.
#[derive(Debug, Clone, Default)]
struct Loan {
    /// Number that distinguishes the processes of the borrower.
    process: u64,
    seq: u32,
    rate: f64,
    depth: u32,
    ends: Now,
    /// Rate that the borrower asked for.
    want_rate: f64,
    /// Whether it got fewer units than it asked for.
    short: bool,
}

/// Part of one tenant's quota that this node owns.
#[derive(Debug, Clone)]
struct Part {
    bucket: Bucket,
    quota: Quota,
    holders: Holders,
    generation: u64,
    loans: BTreeMap<NodeId, Loan>,
}

/// The parts that this node owns, by tenant. A part exists once its units are asked for.
#[derive(Debug, Default)]
pub struct Lender {
    parts: HashMap<TenantId, Part>,
}

/// A rate from a message; 0 if it is none.
fn positive(rate: f32) -> f64 {
    match rate.is_finite() && rate > 0.0 {
        true => f64::from(rate),
        false => 0.0,
    }
}

impl Part {
    fn new(quota: Quota, all: &Allotment, r: &Roster, tenant: &TenantId, since: Now) -> Self {
        let holders = r.holders(tenant, all.max_holders());
        Self {
            bucket: Bucket::new(all.part(holders.parts), since),
            quota,
            holders,
            generation: r.generation,
            loans: BTreeMap::new(),
        }
    }

    /// Adjusts the part to another set of holders or another quota.
    fn update(&mut self, quota: Quota, all: &Allotment, r: &Roster, tenant: &TenantId, since: Now) {
        let holders = r.holders(tenant, all.max_holders());
        let own = all.part(holders.parts);
        match self.holders.own || !holders.own {
            true => self.bucket.set_allotment(own),
            // Another node issued this part until now.
            false => self.bucket = Bucket::new(Allotment { start: 0.0, ..own }, since),
        }
        self.quota = quota;
        self.holders = holders;
        self.generation = r.generation;
    }

    fn lent(&self) -> Lent {
        let depths = self.loans.values().map(|l| l.depth);
        Lent {
            rate: self.loans.values().map(|l| l.rate).sum(),
            depth: depths.fold(0, u32::saturating_add),
        }
    }

    fn refresh(&mut self, c: &Context<'_>) {
        self.bucket.refill(self.lent(), c.unknown, c.now);
        self.loans.retain(|_, l| c.now < l.ends);
    }

    /// Greatest rate that one borrower gets, so that all get what they want or an equal rate.
    fn fair_rate(&self, total: f64) -> f64 {
        let mut wants: Vec<f64> = self.loans.values().map(|l| l.want_rate).collect();
        wants.sort_by(f64::total_cmp);
        let (mut left, mut count) = (total, wants.len() as f64);
        for want in wants {
            let share = left / count;
            if want > share {
                return share;
            }
            left -= want;
            count -= 1.0;
        }
        total
    }

    /// Rate for a borrower that has `has` and asks for `want`, with its loan among the others.
    fn rate_for(&self, has: f64, want: f64, c: &Context<'_>) -> f64 {
        let total = self.bucket.max_lent_rate(c.unknown);
        let free = (total - self.lent().rate).max(0.0);
        want.min(self.fair_rate(total)).min(has + free)
    }

    /// Whether a report is newer than those before it. A new process of the borrower has none of the earlier one's loans.
    fn is_new(&self, from: &BorrowerId, ask: &UnitAsk) -> bool {
        let loan = self.loans.get(&from.0);
        loan.is_none_or(|l| from.1 > l.process || from.1 == l.process && ask.seq > l.seq)
    }

    fn answer(&mut self, from: &BorrowerId, ask: &UnitAsk, c: &Context<'_>) -> Option<UnitGrant> {
        if !self.is_new(from, ask) {
            return None;
        }
        let mut loan = self.reported(from, ask, c);
        self.loans.insert(from.0.clone(), loan.clone());
        if ask.want == 0 && loan.want_rate == 0.0 {
            return None;
        }
        let others = self.lent().depth.saturating_sub(ask.depth);
        let room = self.bucket.max_lent_depth().saturating_sub(others);
        // Without a unit that the borrower may have, a rate would be lost; units that are used at once are not.
        let (rate, room) = match room {
            0 => (0.0, self.bucket.max_depth().saturating_sub(others)),
            _ => (self.rate_for(loan.rate, loan.want_rate, c), room),
        };
        let units = ask.want.min(room.saturating_sub(ask.held));
        let units = self.bucket.lend(units);
        let depth = ((rate * DEPTH_S).ceil() as u32)
            .max(ask.held.saturating_add(units))
            .min(room);
        let life = match rate > 0.0 {
            true => LOAN_TIME,
            false => SHORT_LOAN_TIME,
        };
        // Until the next report it is unknown whether the answer has arrived.
        let ends = c.now + counted_time(life);
        loan.ends = match loan.rate > 0.0 || loan.depth > 0 {
            true => loan.ends.max(ends),
            false => ends,
        };
        loan.rate = loan.rate.max(rate);
        loan.depth = loan.depth.max(depth);
        loan.short = units < ask.want;
        let wait = self.wait(loan.short);
        self.loans.insert(from.0.clone(), loan);
        Some(UnitGrant {
            tenant: ask.tenant.clone(),
            seq: ask.seq,
            rate: rate as f32,
            depth,
            units,
            life_ms: life.as_millis() as u32,
            wait_ms: wait.as_millis() as u32,
        })
    }

    /// What a borrower has, by its report. It ignores answers to earlier reports, so it has no more than that.
    fn reported(&self, from: &BorrowerId, ask: &UnitAsk, c: &Context<'_>) -> Loan {
        let former = self.loans.get(&from.0).filter(|l| l.process == from.1);
        // A loan that this process does not know was lent by an earlier one.
        let unknown = c.now + counted_time(LOAN_TIME);
        Loan {
            process: from.1,
            seq: ask.seq,
            rate: positive(ask.rate),
            depth: ask.depth,
            ends: former.map_or(unknown, |l| l.ends),
            want_rate: positive(ask.want_rate),
            short: false,
        }
    }

    /// Time after which a borrower that got too little may come again.
    fn wait(&self, short: bool) -> Duration {
        if !short {
            return Duration::ZERO;
        }
        let waiting = self.loans.values().filter(|l| l.short).count();
        let units = waiting.max(1) as f64;
        let wait = self.bucket.wait(units, self.lent(), MAX_WAIT);
        wait.max(Duration::from_millis(1))
    }
}

impl Lender {
    /// The part of a tenant's quota; `None` if this node owns none.
    fn part(&mut self, c: &Context<'_>, tenant: &TenantId, quota: Quota) -> Option<&mut Part> {
        let (all, r) = (quota.allotment(&c.bounds), c.roster);
        // Units accrue while nobody asks for them.
        let since = r.settled_at().min(c.now);
        let new = || Part::new(quota, &all, r, tenant, since);
        let part = self.parts.entry(tenant.clone()).or_insert_with(new);
        if part.generation != r.generation || part.quota != quota {
            part.update(quota, &all, r, tenant, since);
        }
        part.holders.own.then(|| {
            part.refresh(c);
            part
        })
    }

    /// Copy with the part of one tenant only.
    pub fn copy_of(&self, tenant: &TenantId) -> Self {
        let part = self.parts.get_key_value(tenant);
        let part = part.map(|(tenant, part)| (tenant.clone(), part.clone()));
        Self {
            parts: part.into_iter().collect(),
        }
    }

    /// Units of this node's own part, and the rate of it that is not lent; `None` if this node owns no part.
    pub fn own(&mut self, c: &Context<'_>, tenant: &TenantId, quota: Quota) -> Option<Available> {
        let part = self.part(c, tenant, quota)?;
        Some(part.bucket.left(part.lent()))
    }

    /// Takes a unit for a request at this node. `None` if this node owns no part.
    ///
    /// # Errors
    ///
    /// There is none; the time until there is one.
    pub fn take(
        &mut self,
        c: &Context<'_>,
        tenant: &TenantId,
        quota: Quota,
    ) -> Option<Result<(), Duration>> {
        let part = self.part(c, tenant, quota)?;
        Some(match part.bucket.take() {
            true => Ok(()),
            false => Err(part.bucket.wait(1.0, part.lent(), MAX_WAIT)),
        })
    }

    /// Answers a report of a borrower. A report that is late, repeated or asks for nothing gets no answer.
    pub fn answer(
        &mut self,
        c: &Context<'_>,
        from: &BorrowerId,
        ask: &UnitAsk,
        quota: Option<Quota>,
    ) -> Option<UnitGrant> {
        let part = quota.and_then(|q| self.part(c, &ask.tenant, q));
        match part {
            Some(part) => part.answer(from, ask, c),
            None => (ask.want > 0 || ask.want_rate > 0.0).then(|| UnitGrant {
                tenant: ask.tenant.clone(),
                seq: ask.seq,
                rate: 0.0,
                depth: 0,
                units: 0,
                life_ms: 0,
                wait_ms: MAX_WAIT.as_millis() as u32,
            }),
        }
    }

    /// Rates that this node has lent, in units per second, as of the last event of each tenant.
    pub fn lent_rates(&self) -> impl Iterator<Item = (&TenantId, f64)> {
        self.parts.iter().map(|(t, p)| (t, p.lent().rate))
    }

    /// Removes the parts of tenants that the version in force does not limit.
    pub fn retain<F>(&mut self, is_limited: F)
    where
        F: Fn(&TenantId) -> bool,
    {
        self.parts.retain(|tenant, _| is_limited(tenant));
    }
}
