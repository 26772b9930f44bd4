//! What callers sent and got, and what targets ran: the ground for the checks of the soak.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// A request as its caller knows it.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Node that took it, and the process of that node, counted from 0.
    pub node: usize,
    pub process: usize,
    pub path: String,
    pub once: bool,
    pub at: Instant,
    /// Status; `None` while there is no answer or if the connection ended without one.
    pub status: Option<u16>,
}

/// A run at a target.
#[derive(Debug, Clone)]
pub struct Run {
    pub node: usize,
    /// Name of the target's lifetime.
    pub lifetime: String,
    pub path: String,
    pub caller: String,
    pub at: Instant,
}

/// An acknowledged leave of a target.
#[derive(Debug, Clone)]
pub struct Left {
    pub node: usize,
    pub lifetime: String,
    pub at: Instant,
}

#[derive(Default)]
struct Books {
    sent: HashMap<String, Sent>,
    runs: HashMap<String, Vec<Run>>,
    left: Vec<Left>,
    /// Time until which a node was disturbed from outside.
    troubled: HashMap<usize, Vec<(Instant, Instant)>>,
    violations: Vec<String>,
}

/// Everything that was seen.
#[derive(Default)]
pub struct Ledger(Mutex<Books>);

impl Ledger {
    pub fn sent(&self, id: &str, sent: Sent) {
        self.0.lock().unwrap().sent.insert(id.into(), sent);
    }

    pub fn answered(&self, id: &str, status: u16) {
        let mut books = self.0.lock().unwrap();
        books.sent.get_mut(id).unwrap().status = Some(status);
    }

    pub fn ran(&self, id: &str, run: Run) {
        let mut books = self.0.lock().unwrap();
        books.runs.entry(id.into()).or_default().push(run);
    }

    pub fn left(&self, left: Left) {
        self.0.lock().unwrap().left.push(left);
    }

    /// Notes a disturbance of a node, for checks that hold for undisturbed ones only.
    pub fn trouble(&self, node: usize, from: Instant, until: Instant) {
        let mut books = self.0.lock().unwrap();
        books.troubled.entry(node).or_default().push((from, until));
    }

    pub fn violation(&self, text: String) {
        self.0.lock().unwrap().violations.push(text);
    }

    pub fn was_troubled(&self, node: usize, from: Instant, until: Instant) -> bool {
        let books = self.0.lock().unwrap();
        let spans = books.troubled.get(&node);
        spans.is_some_and(|s| s.iter().any(|(a, b)| *a <= until && *b >= from))
    }

    /// Requests, runs and successes.
    pub fn counts(&self) -> (usize, usize, usize) {
        let books = self.0.lock().unwrap();
        let done = books.sent.values().filter(|s| s.status == Some(200));
        (books.sent.len(), books.runs.len(), done.count())
    }

    /// Everything that broke a promise. `drain` is the time after an acknowledged leave in which runs may still begin.
    pub fn check(&self, drain: std::time::Duration, services: &[String]) -> Vec<String> {
        let books = self.0.lock().unwrap();
        let mut out = books.violations.clone();
        for (id, runs) in &books.runs {
            let Some(sent) = books.sent.get(id) else {
                out.push(format!("unasked: {id} ran and nobody sent it: {runs:?}"));
                continue;
            };
            if sent.once && runs.len() > 1 {
                out.push(format!("twice: {id} {sent:?} ran at {runs:?}"));
            }
            if matches!(sent.status, Some(408 | 421 | 429 | 503)) {
                out.push(format!("refused but ran: {id} {sent:?} ran at {runs:?}"));
            }
            for r in runs {
                if r.path != sent.path || r.caller != services[sent.node] {
                    out.push(format!("changed on the way: {id} {sent:?} as {r:?}"));
                }
            }
        }
        for l in &books.left {
            let late = books
                .runs
                .iter()
                .flat_map(|(id, r)| r.iter().map(move |r| (id, r)));
            for (id, r) in late.filter(|(_, r)| r.lifetime == l.lifetime && r.at > l.at + drain) {
                let spans = books.troubled.get(&l.node);
                let excused =
                    spans.is_some_and(|s| s.iter().any(|(a, b)| *a <= r.at && *b >= l.at));
                if !excused {
                    out.push(format!(
                        "drain: {id} ran {:?} after the leave: {r:?}",
                        r.at - l.at
                    ));
                }
            }
        }
        out
    }
}
