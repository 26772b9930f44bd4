//! Quotas of tenants over all nodes.
//!
//! A few nodes per tenant, spread over the zones, are its *holders*. Each owns a fixed part of the quota and lends rate and
//! units of it, for some seconds, to the nodes at which the tenant's requests arrive. No part is ever issued by two nodes,
//! so the sum stays within the quota in any partition. The design note is `docs/design/quotas.md`.
//!
//! - [`limits`]: what a quota allows, and the part of a holder
//! - [`roster`]: which nodes are the holders of a tenant
//! - [`bucket`], [`holder`]: the part of a holder, and what it lent
//! - [`account`], [`borrower`]: what an entry node has borrowed
//! - [`policy`]: both sides of one node
//! - [`driver`]: runs the policy on the node's requests and links
//!
//! All but the driver are without I/O. Times are durations of one node's monotonic clock; none is sent to another node.

pub mod account;
pub mod borrower;
pub mod bucket;
pub mod driver;
pub mod holder;
pub mod limits;
pub mod policy;
pub mod roster;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Time for which a loan to a steady borrower lasts, counted from the moment it asked. Loans are renewed after a fourth
/// of it, so a borrower that is cut off from its holder keeps its share for nine seconds at least.
pub const LOAN_TIME: Duration = Duration::from_secs(12);
/// Time for which a loan lasts where requests are rare, so that few units are tied up at many nodes.
pub const SHORT_LOAN_TIME: Duration = Duration::from_millis(400);
/// Time after which everything that another process lent has ended.
pub const MAX_LOAN_TIME: Duration = Duration::from_secs(13);

/// Time for which a holder counts a loan, from its answer: more than the borrower may use it, as monotonic clocks differ
/// a little.
pub fn counted_time(life: Duration) -> Duration {
    life + life / 16 + Duration::from_millis(100)
}

/// A borrower's report on one tenant, and its request for more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UnitAsk {
    /// Name of the tenant.
    #[serde(rename = "t")]
    pub tenant: TenantId,
    /// Number of the report, increasing for one tenant, holder and process of the borrower.
    #[serde(rename = "n")]
    pub seq: u32,
    /// Rate that the borrower has from this holder, in units per second.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero_rate")]
    pub rate: f32,
    /// Greatest number of units that the borrower may have from this holder.
    #[serde(rename = "d", default, skip_serializing_if = "is_zero")]
    pub depth: u32,
    /// Units that it has now.
    #[serde(rename = "h", default, skip_serializing_if = "is_zero")]
    pub held: u32,
    /// Rate that it asks for, in units per second.
    #[serde(rename = "q", default, skip_serializing_if = "is_zero_rate")]
    pub want_rate: f32,
    /// Units that it asks for; 0 with a rate of 0 ends the loan, and gets no answer.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub want: u32,
}

/// Answer of a holder to a [`UnitAsk`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UnitGrant {
    /// Name of the tenant.
    #[serde(rename = "t")]
    pub tenant: TenantId,
    /// Number of the report that is answered.
    #[serde(rename = "n")]
    pub seq: u32,
    /// Rate of the loan, in units per second.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero_rate")]
    pub rate: f32,
    /// Greatest number of units that the borrower may have.
    #[serde(rename = "d", default, skip_serializing_if = "is_zero")]
    pub depth: u32,
    /// Units that the borrower gets at once.
    #[serde(rename = "u", default, skip_serializing_if = "is_zero")]
    pub units: u32,
    /// Time until the loan ends, in ms since the report was sent; 0 if the sender is no holder.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    pub life_ms: u32,
    /// Time after which the holder expects to have more, in ms; 0 if the borrower got what it asked for.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub wait_ms: u32,
}

fn is_zero_rate(rate: &f32) -> bool {
    *rate == 0.0
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// Reports for one holder, in one message.
pub type Asks = (NodeId, Vec<UnitAsk>);

/// Whether a request may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may; it has taken a unit.
    Granted,
    /// A holder that may have units is being asked.
    Wait,
    /// The quota is used up. There should be room after this time.
    Refused(Duration),
}
