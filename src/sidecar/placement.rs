//! Choice of the target for a request: where its answer is least likely to be late or to fail, in the own zone unless
//! another one is clearly better. Without I/O.
//!
//! The load it answers: targets of very different speed, filled by routes with very different aims. A slow target is good
//! enough for a request with much time, and makes one with little time late; so the choice goes by the part of such
//! requests that would be late there, not by the mean time.
//!
//! Reports come with answers, so they are old where there are many targets. A few targets are drawn by their capacity and
//! the best of these is chosen: what all nodes believe to be the best target would be overrun. An old report counts as
//! the usual load of its target.

use rand::Rng;

use super::candidates::{nearest, Usable};
use super::queue::Load;
use super::routes::RANKS;
use super::service_times::{RunTime, RunTimes};
use crate::prelude::*;

/// What a late answer loses of its worth; one after the deadline loses all.
const LATE_LOSS: f64 = 0.7;
/// Factor by which a target that has just started is slower.
const COLD_FACTOR: f64 = 2.0;
/// Service time assumed before any report.
const SERVICE_START: Duration = Duration::from_millis(100);
/// Time after which a report of a target says little more than the mean of its service does.
const REPORT_LIFE: Duration = Duration::from_millis(300);
/// Weight of a new report in the mean load of a service.
const MEAN_WEIGHT: f64 = 0.05;
/// Mean load of a service below which some targets have free slots.
const ROOM: f64 = 1.0;
/// Time without a report after which the usual load of a target says little more than the mean of its service does.
const USUAL_LIFE: Duration = Duration::from_secs(4);
/// Weight of a new report in the usual load of a target.
const USUAL_WEIGHT: f64 = 0.2;
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
    /// Mean of the reported requests at the target; `None` before any report.
    usual: Option<f64>,
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
    /// Route.
    pub route: &'a str,
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
    /// Mean slowness of its targets, the unit of theirs.
    slow: f64,
}

/// Targets of all services as this node sees them.
#[derive(Debug)]
pub struct Placement {
    az: Az,
    targets: BTreeMap<NodeId, Target>,
    services: HashMap<ServiceId, Service>,
    times: RunTimes,
}

impl Target {
    /// Requests at the target: as reported, or its usual ones where the report is old. Without reports it counts as
    /// targets of its service do on average, which hold `mean` requests for each slot.
    fn work(&self, rank: usize, mean: f64, now: Now) -> f64 {
        let old = |t: Now, life: f64| (-now.saturating_sub(t).as_secs_f64() / life).exp();
        let work = f64::from(self.load.running + self.load.waiting[rank.min(RANKS - 1)]);
        let mean = mean * self.slots();
        let known = old(self.reported, USUAL_LIFE.as_secs_f64());
        let usual = self.usual.map_or(mean, |u| mean + (u - mean) * known);
        let fresh = old(self.reported, REPORT_LIFE.as_secs_f64());
        let sent = self.since * old(self.sent_at, self.service());
        usual + (work - usual) * fresh + sent
    }

    fn slots(&self) -> f64 {
        f64::from(self.info.slots.max(1))
    }

    fn service(&self) -> f64 {
        match self.load.service_us {
            0 => SERVICE_START.as_secs_f64(),
            us => f64::from(us) / 1e6,
        }
    }

    /// Slowness, relative to the mean of the service's targets.
    fn slow(&self, mean: f64) -> f64 {
        match self.load.slow {
            0 => 1.0,
            percent => f64::from(percent) / 100.0 / mean,
        }
    }

    fn usable<'a>(
        &self,
        node: &'a NodeId,
        ask: &Ask<'_>,
        service: &Service,
        times: &RunTimes,
        now: Now,
    ) -> Usable<'a> {
        let cold = match now < self.cold_until {
            true => COLD_FACTOR,
            false => 1.0,
        };
        let work = self.work(ask.rank, service.load, now);
        let wait = (work + 1.0 - self.slots()).max(0.0) * self.service() / self.slots();
        let (time, slow) = match times.get(ask.route) {
            Some(time) => (*time, self.slow(service.slow_or_one()) * cold),
            None => (
                RunTime::around(Duration::from_secs_f64(self.service())),
                cold,
            ),
        };
        let late = |end: Duration| time.late(end.saturating_sub(seconds(wait)), slow);
        let lost = LATE_LOSS * late(ask.due) + (1.0 - LATE_LOSS) * late(ask.left);
        let failed = f64::from(self.load.failed) / 100.0;
        Usable {
            node,
            own: false,
            wait,
            cost: 1.0 - (1.0 - lost) * (1.0 - failed),
            load: work / self.slots(),
            capacity: self.slots() / (self.service() * cold),
        }
    }
}

impl Service {
    fn slow_or_one(&self) -> f64 {
        match self.slow > 0.0 {
            true => self.slow,
            false => 1.0,
        }
    }
}

fn seconds(s: f64) -> Duration {
    Duration::try_from_secs_f64(s).unwrap_or(Duration::MAX)
}

impl Placement {
    /// No targets; `az` is the own zone.
    pub fn new(az: Az) -> Self {
        Self {
            az,
            targets: BTreeMap::new(),
            services: HashMap::default(),
            times: RunTimes::default(),
        }
    }

    /// Time that a route takes at an average target; zero if it is not known yet.
    pub fn usual(&self, route: &str) -> Duration {
        self.times
            .get(route)
            .map_or(Duration::ZERO, RunTime::median)
    }

    /// Forgets what was learned of routes that a version does not have.
    pub fn retain_routes<F>(&mut self, has: F)
    where
        F: Fn(&str) -> bool,
    {
        self.times.retain(has);
    }

    /// A target ran a request of a route and answered.
    pub fn ran(&mut self, node: &NodeId, route: &SmolStr, ran: Duration) {
        let Some(t) = self.targets.get(node) else {
            return;
        };
        let service = self.services.get(&t.info.service);
        let slow = t.slow(service.map_or(1.0, Service::slow_or_one));
        self.times.add(route, ran, slow);
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
                        usual: None,
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

    /// Whether the targets of a service have room on average.
    pub fn has_room(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|s| s.load < ROOM)
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
                ..t.usable(node, ask, service, &self.times, now)
            });
        }
        let least = usable.iter().map(|u| u.wait).fold(f64::MAX, f64::min);
        let hopeless = HOPELESS * ask.left.as_secs_f64();
        match (usable.is_empty(), held) {
            (true, Some(hold)) => Choice::Full(hold),
            (true, None) => Choice::None,
            _ if least > hopeless => Choice::Full(Duration::from_secs_f64(least) - ask.left),
            _ => match nearest(&usable, ask.rank, rng) {
                Some(node) => Choice::Target(node.clone()),
                None => Choice::None,
            },
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
            let usual = t.usual.unwrap_or(work);
            t.usual = Some(usual + USUAL_WEIGHT * (work - usual));
            let part = work / f64::from(t.info.slots.max(1));
            if let Some(s) = self.services.get_mut(&t.info.service) {
                s.load += MEAN_WEIGHT * (part - s.load);
                let slow = s.nodes.iter().filter_map(|n| self.targets.get(n));
                let slow = slow.map(|t| f64::from(t.load.slow)).filter(|p| *p > 0.0);
                let (count, sum) = slow.fold((0.0, 0.0), |(n, s), p| (n + 1.0, s + p));
                s.slow = sum / f64::max(count, 1.0) / 100.0;
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
