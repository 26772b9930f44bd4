//! Choice of the target for a request: own zone while it has room, then wherever the answer is soonest. Without I/O.
//!
//! Reports come with answers, so they are old where there are many targets. A few targets are drawn by their capacity and
//! the best of these is chosen: what all nodes believe to be the best target would be overrun. An old report counts as
//! the mean load of the service.

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
/// Targets that are drawn for a choice, in the own zone and in all others each.
const DRAWN: usize = 3;
/// Time after which a report of a target says little more than the mean of its service does.
const REPORT_LIFE: Duration = Duration::from_millis(300);
/// Weight of a new report in the mean load of a service.
const MEAN_WEIGHT: f64 = 0.05;
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
    /// Requests sent since the report that may still be there, as of the last one.
    since: f64,
    sent_at: Now,
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

#[derive(Debug, Default)]
struct Service {
    nodes: Vec<NodeId>,
    /// Mean of running and waiting requests for each slot.
    load: f64,
}

/// A target that may be chosen.
struct Usable<'a> {
    node: &'a NodeId,
    own: bool,
    wait: f64,
    time: f64,
    /// Requests that it can run in a second.
    capacity: f64,
}

/// Targets of all services as this node sees them.
#[derive(Debug)]
pub struct Placement {
    az: Az,
    targets: BTreeMap<NodeId, Target>,
    services: HashMap<ServiceId, Service>,
}

impl Target {
    /// Expected wait of a request of this rank, where targets of the service hold `mean` requests for each slot.
    fn wait(&self, rank: usize, mean: f64, now: Now) -> f64 {
        let slots = f64::from(self.info.slots.max(1));
        let service = self.service();
        let old = |t: Now, life: f64| (-now.saturating_sub(t).as_secs_f64() / life).exp();
        let work = f64::from(self.load.running + self.load.waiting[rank.min(RANKS - 1)]);
        let usual = mean * slots;
        let fresh = old(self.reported, REPORT_LIFE.as_secs_f64());
        let sent = self.since * old(self.sent_at, service);
        let work = usual + (work - usual) * fresh + sent;
        (work + 1.0 - slots).max(0.0) * service / slots
    }

    fn service(&self) -> f64 {
        match self.load.service_us {
            0 => SERVICE_START.as_secs_f64(),
            us => f64::from(us) / 1e6,
        }
    }

    fn usable<'a>(&self, node: &'a NodeId, ask: &Ask<'_>, mean: f64, now: Now) -> Usable<'a> {
        let cold = match now < self.cold_until {
            true => COLD_FACTOR,
            false => 1.0,
        };
        let failed = f64::from(self.load.failed) / 100.0;
        let wait = self.wait(ask.rank, mean, now);
        let service = self.service() * cold;
        Usable {
            node,
            own: false,
            wait,
            time: wait + service + failed * ask.due.as_secs_f64(),
            capacity: f64::from(self.info.slots) / service,
        }
    }
}

/// Draws some of the targets by their capacity, and returns the one with the soonest answer. Of few targets all are
/// compared: each gets enough requests for its reports to be fresh.
fn draw<'a, R>(list: &[Usable<'a>], own: bool, rng: &mut R) -> Option<(f64, &'a NodeId)>
where
    R: Rng,
{
    let side = || list.iter().filter(|u| u.own == own);
    if side().count() <= 2 * DRAWN {
        let noisy = side().map(|u| (u.time * (1.0 + NOISE * rng.random::<f64>()), u.node));
        return noisy.min_by(|a, b| a.0.total_cmp(&b.0));
    }
    let total: f64 = side().map(|u| u.capacity).sum();
    let mut best: Option<(f64, &NodeId)> = None;
    for _ in 0..DRAWN {
        let mut at = rng.random::<f64>() * total;
        let drawn = side().find(|u| {
            at -= u.capacity;
            at <= 0.0
        });
        let Some(u) = drawn.or(side().next_back()) else {
            return best;
        };
        let time = u.time * (1.0 + NOISE * rng.random::<f64>());
        if best.is_none_or(|(t, _)| time < t) {
            best = Some((time, u.node));
        }
    }
    best
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
                let service = self.services.entry(info.service.clone()).or_default();
                service.nodes.push(node.clone());
                self.targets.insert(
                    node.clone(),
                    Target {
                        info,
                        load: Load::default(),
                        reported: Now::ZERO,
                        since: 0.0,
                        sent_at: now,
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
            if let Some(service) = self.services.get_mut(&t.info.service) {
                service.nodes.retain(|n| n != node);
            }
        }
    }

    /// Marks whether a node can be reached.
    pub fn reach(&mut self, node: &NodeId, reachable: bool) {
        if let Some(t) = self.targets.get_mut(node) {
            t.info.reachable = reachable;
        }
    }

    /// Chooses the target for a request.
    pub fn choose<R>(&self, now: Now, ask: &Ask<'_>, rng: &mut R) -> Choice
    where
        R: Rng,
    {
        let Some(service) = self.services.get(ask.service) else {
            return Choice::None;
        };
        let mut held: Option<Duration> = None;
        let mut usable = Vec::new();
        for node in service.nodes.iter().filter(|n| !ask.tried.contains(n)) {
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
            usable.push(Usable {
                own: t.info.az == self.az,
                ..t.usable(node, ask, service.load, now)
            });
        }
        let least = usable.iter().map(|u| u.wait).fold(f64::MAX, f64::min);
        let hopeless = HOPELESS * ask.left.as_secs_f64();
        match (usable.is_empty(), held) {
            (true, Some(hold)) => Choice::Full(hold),
            (true, None) => Choice::None,
            _ if least > hopeless => Choice::Full(Duration::from_secs_f64(least) - ask.left),
            _ => best(&usable, ask, rng),
        }
    }

    /// A request was sent to a target.
    pub fn sent(&mut self, node: &NodeId, now: Now) {
        if let Some(t) = self.targets.get_mut(node) {
            let age = now.saturating_sub(t.sent_at).as_secs_f64();
            t.since = 1.0 + t.since * (-age / t.service()).exp();
            t.sent_at = now;
        }
    }

    /// A node reported the load of its target.
    pub fn reported(&mut self, now: Now, node: &NodeId, load: Load) {
        if let Some(t) = self.targets.get_mut(node) {
            t.load = load;
            t.reported = now;
            t.since = 0.0;
            let work = f64::from(load.running + load.waiting[RANKS - 1]);
            let part = work / f64::from(t.info.slots.max(1));
            if let Some(s) = self.services.get_mut(&t.info.service) {
                s.load += MEAN_WEIGHT * (part - s.load);
            }
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
}

/// The own zone while its answer comes soon enough, then wherever it is soonest.
fn best<R>(usable: &[Usable<'_>], ask: &Ask<'_>, rng: &mut R) -> Choice
where
    R: Rng,
{
    let near = draw(usable, true, rng);
    let good = ask.due.as_secs_f64() * OWN_ZONE_PART;
    if let Some((_, node)) = near.filter(|(time, _)| *time <= good) {
        return Choice::Target(node.clone());
    }
    let far = draw(usable, false, rng).map(|(time, node)| (time + CROSSING.as_secs_f64(), node));
    let found = near
        .into_iter()
        .chain(far)
        .min_by(|a, b| a.0.total_cmp(&b.0));
    found.map_or(Choice::None, |(_, node)| Choice::Target(node.clone()))
}
