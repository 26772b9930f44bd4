//! What an entry node has borrowed from one holder for one tenant: a token bucket that ends. No I/O.

use crate::prelude::*;
use crate::sidecar::process::quota::{UnitAsk, UnitGrant, LOAN_TIME};

/// Time without an answer after which the next holder is asked. Processes with a small share of a core pause for
/// nearly as long; with a shorter time, several holders are asked for one unit and more requests are refused.
const HEDGE_AFTER: Duration = Duration::from_millis(100);
/// Time without an answer after which the same holder is asked again; longer than the pauses of a throttled process.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest and longest time for which a holder that had too little is not asked. They bound the messages of a tenant
/// above its quota.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(800));

/// Rate below which the next unit is too far away to wait for, in units per second.
const MIN_RATE: f64 = 0.01;

/// What is known of one holder.
#[derive(Debug, Default, Clone)]
pub struct Account {
    seq: u32,
    /// Number of the holder's process that lent; 0 before its first answer.
    process: u64,
    rate: f64,
    depth: u32,
    level: f64,
    updated: Now,
    ends: Now,
    /// Units of the report that has not been answered, and the time at which it was sent.
    asked: Option<(u32, Now)>,
    ask_again: Now,
    /// Time at which the holder expects to have more.
    room_at: Now,
}

impl Account {
    /// Adds the units that have accrued, or ends the loan.
    pub fn refresh(&mut self, now: Now) {
        let until = now.min(self.ends);
        let elapsed = until.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.level = (self.level + self.rate * elapsed).min(f64::from(self.depth));
        if now >= self.ends {
            (self.rate, self.depth, self.level) = (0.0, 0, 0.0);
        }
    }

    /// Takes a unit, if there is one.
    pub fn take(&mut self, now: Now) -> bool {
        self.refresh(now);
        let enough = self.level >= 1.0;
        if enough {
            self.level -= 1.0;
        }
        enough
    }

    /// Units that may be used, as of the last [`Account::refresh`].
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Rate of the loan, as of the last [`Account::refresh`].
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Units that an answer may bring soon.
    pub fn expected(&self, now: Now) -> u32 {
        let asked = self.asked.filter(|(_, at)| now < *at + HEDGE_AFTER);
        asked.map_or(0, |(units, _)| units)
    }

    /// Whether an answer may still arrive.
    pub fn is_asked(&self, now: Now) -> bool {
        self.asked.is_some_and(|(_, at)| now < at + ANSWER_TIMEOUT)
    }

    /// Whether the holder may be asked: it has no report to answer and may have units.
    pub fn may_ask(&self, now: Now) -> bool {
        !self.is_asked(now) && now >= self.ask_again
    }

    /// Whether the loan has to be renewed.
    pub fn must_renew(&self, now: Now) -> bool {
        self.rate > 0.0 && self.ends <= now + LOAN_TIME * 3 / 4
    }

    /// Time until the loan has another unit, as of the last [`Account::refresh`]; `None` if it has no rate.
    pub fn time_to_unit(&self) -> Option<Duration> {
        let missing = (1.0 - self.level).max(0.0);
        (self.rate > MIN_RATE).then(|| Duration::from_secs_f64(missing / self.rate))
    }

    /// Time at which the holder expects to have more.
    pub fn room_at(&self) -> Now {
        self.room_at
    }

    /// Reports the loan, and asks for units and a rate.
    pub fn ask(&mut self, tenant: &TenantId, want: u32, want_rate: f64, now: Now) -> UnitAsk {
        self.refresh(now);
        self.seq += 1;
        self.asked = Some((want, now));
        UnitAsk {
            tenant: tenant.clone(),
            seq: self.seq,
            rate: self.rate as f32,
            depth: self.depth,
            held: self.level as u32,
            want_rate: want_rate as f32,
            want,
        }
    }

    /// Ends the loan early; `None` if there is none.
    pub fn release(&mut self, tenant: &TenantId, now: Now) -> Option<UnitAsk> {
        self.refresh(now);
        if self.depth == 0 || self.is_asked(now) {
            return None;
        }
        self.end_loan(now);
        let ask = self.ask(tenant, 0, 0.0, now);
        self.asked = None;
        Some(ask)
    }

    fn end_loan(&mut self, now: Now) {
        self.ends = now;
        self.refresh(now);
    }

    /// Ends the loan, because the quota changed or the holder's process did. An answer that is under way is ignored.
    pub fn clear(&mut self) {
        *self = Self {
            seq: self.seq + 1,
            process: self.process,
            ..Self::default()
        };
    }

    /// The holder has another process, which does not know what its predecessor lent.
    pub fn on_process(&mut self, process: u64) {
        if self.process != process && self.process != 0 {
            self.clear();
        }
        self.process = process;
    }

    /// Whether nothing would be lost with the account.
    pub fn is_idle(&self, now: Now) -> bool {
        now >= self.ends && !self.is_asked(now)
    }

    /// Takes what an answer brings. Returns the units; `None` if it does not answer the last report.
    pub fn on_grant(&mut self, grant: &UnitGrant, now: Now) -> Option<u32> {
        let (_, sent) = self.asked.filter(|_| grant.seq == self.seq)?;
        self.refresh(now);
        self.asked = None;
        if grant.life_ms > 0 {
            let ends = sent + Duration::from_millis(u64::from(grant.life_ms));
            let level = self.level + f64::from(grant.units);
            self.depth = grant.depth;
            self.level = level.min(f64::from(grant.depth));
            self.rate = f64::from(grant.rate).max(0.0);
            self.ends = ends;
            self.refresh(now);
        }
        let wait = Duration::from_millis(u64::from(grant.wait_ms));
        self.room_at = now + wait;
        self.ask_again = match wait.is_zero() {
            true => now,
            false => now + wait.clamp(BACK_OFF.0, BACK_OFF.1),
        };
        Some(grant.units)
    }
}
