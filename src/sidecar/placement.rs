//! Choice of the target for a request: own zone while it has room, then wherever the answer is soonest. Without I/O.

use rand::{Rng, RngExt};

use super::queue::Load;
use super::routes::RANKS;
use crate::prelude::*;

/// Part of the time to the aim that an answer from the own zone may take before other zones are compared.
const OWN_ZONE_PART: f64 = 0.6;
/// Time by which an answer from another zone has to be sooner; crossing zones is paid by the byte.
const CROSSING: Duration = Duration::from_millis(25);
/// Factor by which a target that has just started is slower.
const COLD_FACTOR: f64 = 2.0;
/// Service time assumed before any report.
const SERVICE_START: Duration = Duration::from_millis(100);
/// Random part of each estimate, so that nodes with the same reports do not all choose the same target.
const NOISE: f64 = 0.15;
/// Longest time for which a refusal keeps requests of its rank from a target.
const LONGEST_HOLD: Duration = Duration::from_millis(250);
/// Expected wait, as a multiple of the time left, above which a request is refused without asking any target.
const HOPELESS: f64 = 1.5;

/// A target as its node's record describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetInfo {
    /// Service.
    pub service: ServiceId,
    /// Availability zone.
    pub az: Az,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether its node can be reached now.
    pub reachable: bool,
    /// Name of its lifetime; a change discards what was learned.
    pub id: SmolStr,
}

/// A target had no room for a request of a rank. Only requests with as little time are kept from it: one that came back
/// late says nothing about those that have just arrived.
#[derive(Debug, Clone, Copy, Default)]
struct Hold {
    until: Now,
    due: Duration,
}

impl Hold {
    /// Time for which a request with this time to its aim is kept from the target.
    fn left(&self, due: Duration, now: Now) -> Duration {
        match due <= self.due {
            true => self.until.saturating_sub(now),
            false => Duration::ZERO,
        }
    }
}

#[derive(Debug)]
struct Target {
    info: TargetInfo,
    load: Load,
    reported: Now,
    /// Requests sent since the report.
    since: u32,
    hold: [Hold; RANKS],
    cold_until: Now,
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Service.
    pub service: &'a str,
    /// Rank.
    pub rank: usize,
    /// Time to the aim of the request.
    pub due: Duration,
    /// Time to its deadline.
    pub left: Duration,
    /// Nodes whose targets it must not use.
    pub tried: &'a [NodeId],
}

/// Result of a choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Node beside the chosen target.
    Target(NodeId),
    /// All targets are full; there may be room after this time.
    Full(Duration),
    /// No usable target is known.
    None,
}

/// Targets of all services as this node sees them.
#[derive(Debug)]
pub struct Placement {
    az: Az,
    targets: BTreeMap<NodeId, Target>,
    services: HashMap<ServiceId, Vec<NodeId>>,
}

impl Target {
    /// Expected wait of a request of this rank. A report ages: what waited then has been served since.
    fn wait(&self, rank: usize, now: Now) -> f64 {
        let slots = f64::from(self.info.slots.max(1));
        let service = self.service();
        let age = now.saturating_sub(self.reported).as_secs_f64();
        let work = f64::from(self.load.running + self.load.waiting[rank.min(RANKS - 1)]);
        let left = (work - age * slots / service).max(0.0) + f64::from(self.since);
        (left + 1.0 - slots).max(0.0) * service / slots
    }

    fn service(&self) -> f64 {
        match self.load.service_us {
            0 => SERVICE_START.as_secs_f64(),
            us => f64::from(us) / 1e6,
        }
    }

    fn estimate(&self, ask: &Ask<'_>, now: Now) -> f64 {
        let cold = if now < self.cold_until {
            COLD_FACTOR
        } else {
            1.0
        };
        let failed = f64::from(self.load.failed) / 100.0;
        self.wait(ask.rank, now) + self.service() * cold + failed * ask.due.as_secs_f64()
    }
}

impl Placement {
    /// No targets; `az` is the own zone.
    pub fn new(az: Az) -> Self {
        Self {
            az,
            targets: BTreeMap::new(),
            services: HashMap::default(),
        }
    }

    /// Takes a target from its node's record.
    pub fn set(&mut self, node: &NodeId, info: TargetInfo, now: Now) {
        match self.targets.get_mut(node) {
            Some(t) if t.info.id == info.id && t.info.service == info.service => t.info = info,
            old => {
                // A lifetime that follows another one has just started.
                let cold_until = match old {
                    Some(_) => now + Duration::from_secs(2),
                    None => Now::ZERO,
                };
                self.remove(node);
                let list = self.services.entry(info.service.clone()).or_default();
                list.push(node.clone());
                self.targets.insert(
                    node.clone(),
                    Target {
                        info,
                        load: Load::default(),
                        reported: Now::ZERO,
                        since: 0,
                        hold: [Hold::default(); RANKS],
                        cold_until,
                    },
                );
            }
        }
    }

    /// Forgets a target.
    pub fn remove(&mut self, node: &NodeId) {
        if let Some(t) = self.targets.remove(node) {
            if let Some(list) = self.services.get_mut(&t.info.service) {
                list.retain(|n| n != node);
            }
        }
    }

    /// Marks whether a node can be reached.
    pub fn reach(&mut self, node: &NodeId, reachable: bool) {
        if let Some(t) = self.targets.get_mut(node) {
            t.info.reachable = reachable;
        }
    }

    /// Nodes with a target.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.targets.keys()
    }

    /// Chooses the target for a request.
    pub fn choose<R>(&self, now: Now, ask: &Ask<'_>, rng: &mut R) -> Choice
    where
        R: Rng,
    {
        let Some(list) = self.services.get(ask.service) else {
            return Choice::None;
        };
        let mut near: Option<(f64, &NodeId)> = None;
        let mut any: Option<(f64, &NodeId)> = None;
        let mut held: Option<Duration> = None;
        let mut least_wait = f64::MAX;
        for node in list.iter().filter(|n| !ask.tried.contains(n)) {
            let Some(t) = self.targets.get(node) else {
                continue;
            };
            if !t.info.ready || !t.info.reachable {
                continue;
            }
            let hold = t.hold[ask.rank.min(RANKS - 1)].left(ask.due, now);
            if !hold.is_zero() {
                held = Some(held.map_or(hold, |h| h.min(hold)));
                continue;
            }
            least_wait = least_wait.min(t.wait(ask.rank, now));
            let time = t.estimate(ask, now) * (1.0 + NOISE * rng.random::<f64>());
            let own = t.info.az == self.az;
            let cost = match own {
                true => time,
                false => time + CROSSING.as_secs_f64(),
            };
            if own && near.is_none_or(|(c, _)| time < c) {
                near = Some((time, node));
            }
            if any.is_none_or(|(c, _)| cost < c) {
                any = Some((cost, node));
            }
        }
        if any.is_some() && least_wait > HOPELESS * ask.left.as_secs_f64() {
            return Choice::Full(Duration::from_secs_f64(least_wait) - ask.left);
        }
        let good = ask.due.as_secs_f64() * OWN_ZONE_PART;
        match (near, any, held) {
            (Some((time, node)), _, _) if time <= good => Choice::Target(node.clone()),
            (_, Some((_, node)), _) => Choice::Target(node.clone()),
            (_, None, Some(hold)) => Choice::Full(hold),
            _ => Choice::None,
        }
    }

    /// A request was sent to a target.
    pub fn sent(&mut self, node: &NodeId) {
        if let Some(t) = self.targets.get_mut(node) {
            t.since += 1;
        }
    }

    /// A node reported the load of its target.
    pub fn reported(&mut self, now: Now, node: &NodeId, load: Load) {
        if let Some(t) = self.targets.get_mut(node) {
            t.load = load;
            t.reported = now;
            t.since = 0;
        }
    }

    /// A target had no room for a request of this rank with this time to its aim: it wants none of this rank or less
    /// urgent ones for a while.
    pub fn full(
        &mut self,
        now: Now,
        node: &NodeId,
        rank: usize,
        due: Duration,
        back_off: Duration,
    ) {
        let until = now + back_off.min(LONGEST_HOLD);
        let Some(t) = self.targets.get_mut(node) else {
            return;
        };
        for h in &mut t.hold[rank.min(RANKS - 1)..] {
            match h.until <= now {
                true => *h = Hold { until, due },
                false => {
                    h.until = h.until.max(until);
                    h.due = h.due.max(due);
                }
            }
        }
    }

    /// The number of targets of a service that take requests.
    pub fn ready(&self, service: &str) -> usize {
        let list = self.services.get(service).into_iter().flatten();
        let ready = |n: &&NodeId| self.targets.get(*n).is_some_and(|t| t.info.ready);
        list.filter(ready).count()
    }
}
