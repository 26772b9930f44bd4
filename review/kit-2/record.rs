//! What was sent, answered and run, with times; written to `record.txt` at the end.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A request at a target.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Duration,
    pub target: String,
    pub id: String,
    /// Whether the target began to run it; otherwise it only arrived.
    pub ran: bool,
    /// Whether it crashes the target that runs it.
    pub crashes: bool,
}

/// An answer that a consumer got; status 0 stands for none.
#[derive(Debug, Clone)]
pub struct Answer {
    pub sent: Duration,
    pub at: Duration,
    pub id: String,
    pub status: u16,
}

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
    pub at_targets: Mutex<Vec<Run>>,
    pub answers: Mutex<Vec<Answer>>,
    /// Requests on kept connections that ended with a closed connection.
    pub closed: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
            at_targets: Mutex::default(),
            answers: Mutex::default(),
            closed: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn write(&self, line: &str) {
        println!("{:8.3} {line}", self.now().as_secs_f64());
        self.lines.lock().unwrap().push((self.now(), line.into()));
    }

    fn at_target(&self, target: &str, id: &str, ran: bool, crashes: bool) {
        let run = Run {
            at: self.now(),
            target: target.into(),
            id: id.into(),
            ran,
            crashes,
        };
        self.at_targets.lock().unwrap().push(run);
    }

    pub fn arrived(&self, target: &str, id: &str, crashes: bool) {
        self.at_target(target, id, false, crashes);
    }

    pub fn runs(&self, target: &str, id: &str, crashes: bool) {
        self.at_target(target, id, true, crashes);
    }

    /// Ids of the requests that targets began to run.
    pub fn ran(&self) -> BTreeSet<String> {
        let runs = self.at_targets.lock().unwrap();
        runs.iter()
            .filter(|r| r.ran)
            .map(|r| r.id.clone())
            .collect()
    }

    pub fn answered(&self, id: &str, sent: Duration, status: u16) {
        let answer = Answer {
            sent,
            at: self.now(),
            id: id.into(),
            status,
        };
        self.answers.lock().unwrap().push(answer);
    }

    /// Writes everything in the order of time.
    pub fn save(&self, path: &str) {
        let mut all = self.lines.lock().unwrap().clone();
        for r in self.at_targets.lock().unwrap().iter() {
            let what = if r.ran { "is run by" } else { "reaches" };
            all.push((r.at, format!("request {} {what} {}", r.id, r.target)));
        }
        for a in self.answers.lock().unwrap().iter() {
            all.push((a.sent, format!("request {} is sent", a.id)));
            all.push((a.at, format!("request {} is answered: {}", a.id, a.status)));
        }
        all.sort();
        let mut out = String::new();
        for (at, line) in all {
            let _ = writeln!(out, "{:8.3} {line}", at.as_secs_f64());
        }
        std::fs::write(path, out).unwrap();
    }
}
