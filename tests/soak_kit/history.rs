//! History of what callers sent and got and of what targets ran, and the checks on it.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

use super::client::LIMITED;
use super::QUOTA_BOUND;

/// Stands for the store among the disturbed nodes.
pub const STORE: usize = usize::MAX;

/// A request as its caller sees it.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Node that it was sent to.
    pub node: usize,
    /// Number of the process of that node, counted from 1.
    pub process: usize,
    pub path: String,
    /// Tenant of its API key; empty if the key is unknown.
    pub tenant: String,
    /// Whether the request may run at most once.
    pub once: bool,
    /// Time at which the caller sent it.
    pub at: Instant,
    /// Status of the response; `None` before it arrives and if the connection ends without one.
    pub status: Option<u16>,
}

/// An execution of a request by a target.
#[derive(Debug, Clone)]
pub struct Run {
    pub node: usize,
    /// Id of the incarnation of the target.
    pub incarnation: String,
    /// Version of the target.
    pub version: &'static str,
    /// Whether the target responds with a server error.
    pub failed: bool,
    pub path: String,
    /// Service of the caller.
    pub caller: String,
    /// Tenant that the target was told.
    pub tenant: String,
    /// Whether the API key reached the target.
    pub has_key: bool,
    /// Whether the body arrived as it was sent.
    pub same_body: bool,
    /// Time at which the run began.
    pub at: Instant,
}

/// A leave of a target that its node has acknowledged.
#[derive(Debug, Clone)]
pub struct Leave {
    pub node: usize,
    pub incarnation: String,
    /// Time at which the node had acknowledged it.
    pub at: Instant,
}

#[derive(Default)]
struct Records {
    sent: HashMap<String, Sent>,
    runs: HashMap<String, Vec<Run>>,
    leaves: Vec<Leave>,
    /// Time spans by node in which injected faults may affect it.
    disturbed: HashMap<usize, Vec<(Instant, Instant)>>,
    violations: Vec<String>,
}

/// Everything that callers and targets recorded.
#[derive(Default)]
pub struct History(Mutex<Records>);

impl History {
    pub fn add_request(&self, id: &str, sent: Sent) {
        self.0.lock().unwrap().sent.insert(id.into(), sent);
    }

    pub fn set_status(&self, id: &str, status: u16) {
        let mut records = self.0.lock().unwrap();
        records.sent.get_mut(id).unwrap().status = Some(status);
    }

    pub fn add_run(&self, id: &str, run: Run) {
        let mut records = self.0.lock().unwrap();
        records.runs.entry(id.into()).or_default().push(run);
    }

    pub fn add_leave(&self, leave: Leave) {
        self.0.lock().unwrap().leaves.push(leave);
    }

    /// Records that a node is disturbed, for checks that apply only to undisturbed nodes.
    pub fn add_disturbance(&self, node: usize, from: Instant, until: Instant) {
        let mut records = self.0.lock().unwrap();
        records
            .disturbed
            .entry(node)
            .or_default()
            .push((from, until));
    }

    pub fn add_violation(&self, text: String) {
        self.0.lock().unwrap().violations.push(text);
    }

    pub fn was_disturbed(&self, node: usize, from: Instant, until: Instant) -> bool {
        let records = self.0.lock().unwrap();
        let spans = records.disturbed.get(&node);
        spans.is_some_and(|s| s.iter().any(|(a, b)| *a <= until && *b >= from))
    }

    /// Number of requests, of requests that ran, and of responses with status 200.
    pub fn counts(&self) -> (usize, usize, usize) {
        let records = self.0.lock().unwrap();
        let served = records.sent.values().filter(|s| s.status == Some(200));
        (records.sent.len(), records.runs.len(), served.count())
    }

    /// Runs at the targets of a version, with the ids of their requests, in the order in which they began.
    pub fn runs_of(&self, version: &str) -> Vec<(String, Run)> {
        let records = self.0.lock().unwrap();
        let all = records.runs.iter();
        let all = all.flat_map(|(id, runs)| runs.iter().map(move |r| (id.clone(), r.clone())));
        let mut found: Vec<_> = all.filter(|(_, r)| r.version == version).collect();
        found.sort_by_key(|(_, r)| r.at);
        found
    }

    /// Returns all violations. `drain` is the time after an acknowledged leave in which runs may still begin;
    /// `services` holds the service of each node, which is the caller of the requests sent to that node.
    pub fn check(&self, drain: std::time::Duration, services: &[String]) -> Vec<String> {
        let records = self.0.lock().unwrap();
        let mut out = records.violations.clone();
        for (id, runs) in &records.runs {
            let Some(sent) = records.sent.get(id) else {
                out.push(format!(
                    "not sent: {id} ran but no caller sent it: {runs:?}"
                ));
                continue;
            };
            if sent.once && runs.len() > 1 {
                out.push(format!("ran more than once: {id} {sent:?} ran at {runs:?}"));
            }
            // These statuses tell the caller that the request did not run.
            if matches!(sent.status, Some(408 | 421 | 429 | 503)) {
                out.push(format!("rejected but ran: {id} {sent:?} ran at {runs:?}"));
            }
            for r in runs {
                let same = r.path == sent.path && r.caller == services[sent.node];
                if !same || !r.same_body {
                    out.push(format!("changed in transit: {id} {sent:?} ran as {r:?}"));
                }
                if sent.tenant.is_empty() || r.tenant != sent.tenant || r.has_key {
                    out.push(format!("wrong tenant or key: {id} {sent:?} ran as {r:?}"));
                }
            }
        }
        out.extend(over_quota(&records.runs));
        for l in &records.leaves {
            let all_runs = records
                .runs
                .iter()
                .flat_map(|(id, r)| r.iter().map(move |r| (id, r)));
            for (id, r) in
                all_runs.filter(|(_, r)| r.incarnation == l.incarnation && r.at > l.at + drain)
            {
                let spans = records.disturbed.get(&l.node);
                let disturbed =
                    spans.is_some_and(|s| s.iter().any(|(a, b)| *a <= r.at && *b >= l.at));
                if !disturbed {
                    out.push(format!(
                        "ran after leave: {id} began {:?} after the leave: {r:?}",
                        r.at - l.at
                    ));
                }
            }
        }
        out
    }
}

/// Windows in which more requests of the tenant with a quota ran than allowed; the first one of several that overlap.
fn over_quota(runs: &HashMap<String, Vec<Run>>) -> Option<String> {
    let (bound, window) = QUOTA_BOUND;
    let first_runs = runs.values().filter_map(|r| r.first());
    let limited = first_runs.filter(|r| r.tenant == LIMITED.tenant);
    let mut times: Vec<Instant> = limited.map(|r| r.at).collect();
    times.sort();
    let count = |from: &Instant| {
        let inside = times.iter().filter(|t| *t >= from && **t < *from + window);
        inside.count()
    };
    let worst = times.iter().map(count).max()?;
    (worst as f64 > bound).then(|| format!("over quota: {worst} requests ran in {window:?}"))
}
