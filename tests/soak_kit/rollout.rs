//! Rollout of the soak test: its order, the status that the nodes write, and the checks on the requests at the new version.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::super::site_kit::store::KvServer;
use super::history::{History, Run, STORE};

/// Service of the rollout.
pub const SERVICE: &str = "a";
pub const OLD_VERSION: &str = "v1";
pub const NEW_VERSION: &str = "v2";
/// Time limit of the order. Most of it overlaps the faults of a run of 8 s.
const LIMIT: Duration = Duration::from_secs(8);
/// Default of `sidecar.rollback_ms`.
const ROLLBACK_TIME: Duration = Duration::from_secs(5);
/// Time that is added to the limits while the store is disturbed.
const STORE_ALLOWANCE: Duration = Duration::from_secs(5);
/// Time for which callers go on after a late request would be a violation.
const OBSERVED_TIME: Duration = Duration::from_secs(1);
/// Number of bad responses after which the time to roll back begins.
const BAD_RESPONSES: usize = 50;

/// Percentages of the requests that the new version fails, of which the seed chooses one; 0 is a good version.
const BAD_PERCENTS: [u64; 4] = [0, 0, 50, 100];

/// The order of a run and its observed status.
pub struct Rollout {
    pub bad_percent: u64,
    ordered_at: Option<Instant>,
    /// `state` of the last status that was read; empty if there was none.
    state: String,
    rolled_back_at: Option<Instant>,
}

impl Rollout {
    pub fn new(seed: u64) -> Self {
        // The constant makes the sequence differ from that of the faults, which has the same seed.
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x0add);
        Self {
            bad_percent: BAD_PERCENTS[rng.random_range(0..BAD_PERCENTS.len())],
            ordered_at: None,
            state: String::new(),
            rolled_back_at: None,
        }
    }

    /// Writes the order to the store. The targets of the new version report themselves from then on.
    pub fn order(&mut self, kv: &KvServer) {
        let order = serde_json::json!({
            "service": SERVICE, "to_version": NEW_VERSION, "duration_s": LIMIT.as_secs()
        });
        self.ordered_at = Some(Instant::now());
        let key = format!("op/rollout/{SERVICE}");
        kv.put(&key, order.to_string().as_bytes());
    }

    pub fn is_ordered(&self) -> bool {
        self.ordered_at.is_some()
    }

    /// Reads the status, also while the nodes cannot reach the store.
    pub fn read_status(&mut self, kv: &KvServer) {
        let Some(value) = kv.value(&format!("status/rollout/{SERVICE}")) else {
            return;
        };
        let status: serde_json::Value = serde_json::from_slice(&value).unwrap_or_default();
        self.state = status["state"].as_str().unwrap_or_default().into();
        if self.state == "rolled_back" {
            self.rolled_back_at.get_or_insert_with(Instant::now);
        }
    }

    /// Whether the rollout has ended, or should have. `recovered_at` is the time at which all faults had ended and the
    /// site had recovered; the nodes may need the allowance from then on to reach the store. After a rollback, callers go
    /// on until a late request is a violation.
    pub fn is_over(&self, recovered_at: Instant) -> bool {
        let limit = self.ordered_at.map(|at| at + LIMIT);
        let end = match (&*self.state, self.rolled_back_at) {
            ("completed", _) => return true,
            ("rolled_back", Some(at)) => at + ROLLBACK_TIME + STORE_ALLOWANCE + OBSERVED_TIME,
            _ => limit.map_or(recovered_at, |at| at.max(recovered_at)) + STORE_ALLOWANCE,
        };
        Instant::now() > end
    }

    /// Returns the violations by the requests that the new version ran and by the last status, and a summary.
    pub fn check(&self, history: &History) -> (Vec<String>, String) {
        let runs = history.runs_of(NEW_VERSION);
        let bad: Vec<_> = runs.iter().filter(|(_, r)| r.failed).collect();
        let mut out = Vec::new();
        let early = |at: Instant| self.ordered_at.is_none_or(|ordered| at < ordered);
        for (id, r) in runs.iter().filter(|(_, r)| early(r.at)) {
            out.push(format!("ran at a version before its order: {id} {r:?}"));
        }
        match (&*self.state, self.bad_percent) {
            ("completed", 0) | ("rolled_back", _) => {}
            ("completed", percent) => out.push(format!(
                "a version that fails {percent}% of its requests was completed"
            )),
            (state, _) => out.push(format!(
                "the rollout did not end in time: the state is {state:?}"
            )),
        }
        if self.state == "rolled_back" {
            let fiftieth = bad.get(BAD_RESPONSES - 1).map(|(_, r)| r.at);
            out.extend(late_runs(history, &runs, "its 50th bad response", fiftieth));
            let status = self.rolled_back_at;
            out.extend(late_runs(history, &runs, "its status rolled_back", status));
        }
        let summary = format!(
            "version with {}% bad: {:?}, {} ran, {} bad",
            self.bad_percent,
            self.state,
            runs.len(),
            bad.len()
        );
        (out, summary)
    }
}

/// Runs later than the time to roll back after a cause at `since`.
fn late_runs(
    history: &History,
    runs: &[(String, Run)],
    cause: &str,
    since: Option<Instant>,
) -> Vec<String> {
    let Some(since) = since else {
        return Vec::new();
    };
    let allowance = match history.was_disturbed(STORE, since, since + ROLLBACK_TIME) {
        true => STORE_ALLOWANCE,
        false => Duration::ZERO,
    };
    let late = runs
        .iter()
        .filter(|(_, r)| r.at > since + ROLLBACK_TIME + allowance);
    let text = |(id, r): &(String, Run)| {
        let time = r.at - since;
        format!("ran {time:?} after {cause}: {id} {r:?}")
    };
    late.map(text).collect()
}
