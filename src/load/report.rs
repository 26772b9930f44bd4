//! Results of a load run, by rank label.

use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::prelude::*;

/// Largest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// How one request ended, as its caller saw it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ended {
    /// Value of `dq-outcome`, `none` for an answer without it, or `no-answer`.
    pub outcome: SmolStr,
    /// Value of `dq-reason`, or what failed at the caller.
    pub reason: Option<SmolStr>,
    /// Whether a complete 2xx answer came.
    pub success: bool,
    /// Time from the intended send time to the end of the answer.
    pub latency: Duration,
}

/// Quantiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Largest value.
    pub max: f64,
}

/// Results of one rank label.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RankReport {
    /// Requests that arrived.
    pub arrived: u64,
    /// Arrivals that were not sent because too many requests were in flight.
    pub over_limit: u64,
    /// Complete 2xx answers within the deadline.
    pub good: u64,
    /// `good` per second of the arrival time.
    pub goodput: f64,
    /// Requests by outcome.
    pub outcomes: BTreeMap<SmolStr, u64>,
    /// Requests by reason.
    pub reasons: BTreeMap<SmolStr, u64>,
    /// Latency of complete 2xx answers from the intended send time, in milliseconds.
    pub latency_ms: Quantiles,
}

/// Results of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the arrival times.
    pub seed: u64,
    /// Time in which requests arrived, in seconds.
    pub seconds: f64,
    /// How late the generator itself sent requests, in milliseconds; part of each latency.
    pub send_lag_ms: Quantiles,
    /// Results by rank label.
    pub ranks: BTreeMap<SmolStr, RankReport>,
}

struct Tally {
    report: RankReport,
    latency: Histogram<u64>,
}

/// Collects results while a run goes on.
pub struct Recorder {
    ranks: BTreeMap<SmolStr, Tally>,
    lag: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    // Fails only for bounds or precision out of range, and these are constants.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("constant bounds")
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

fn quantiles(h: &Histogram<u64>) -> Quantiles {
    if h.is_empty() {
        return Quantiles::default();
    }
    let ms = |us: u64| us as f64 / 1000.0;
    Quantiles {
        p50: ms(h.value_at_quantile(0.5)),
        p90: ms(h.value_at_quantile(0.9)),
        p99: ms(h.value_at_quantile(0.99)),
        p999: ms(h.value_at_quantile(0.999)),
        max: ms(h.max()),
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            ranks: BTreeMap::new(),
            lag: histogram(),
        }
    }
}

impl Recorder {
    fn tally(&mut self, rank: &str) -> &mut Tally {
        self.ranks.entry(rank.into()).or_insert_with(|| Tally {
            report: RankReport::default(),
            latency: histogram(),
        })
    }

    /// Counts an arrival that was sent `late` after its intended time.
    pub fn sent(&mut self, rank: &str, late: Duration) {
        self.tally(rank).report.arrived += 1;
        self.lag.saturating_record(micros(late).max(1));
    }

    /// Counts an arrival that was not sent.
    pub fn over_limit(&mut self, rank: &str) {
        let r = &mut self.tally(rank).report;
        r.arrived += 1;
        r.over_limit += 1;
    }

    /// Counts the end of a request; a zero `deadline` stands for none.
    pub fn ended(&mut self, rank: &str, deadline: Duration, e: &Ended) {
        let t = self.tally(rank);
        *t.report.outcomes.entry(e.outcome.clone()).or_default() += 1;
        if let Some(reason) = &e.reason {
            *t.report.reasons.entry(reason.clone()).or_default() += 1;
        }
        if e.success {
            t.latency.saturating_record(micros(e.latency).max(1));
            if deadline.is_zero() || e.latency <= deadline {
                t.report.good += 1;
            }
        }
    }

    /// The results, for requests that arrived within `time`.
    pub fn report(&self, seed: u64, time: Duration) -> Report {
        let seconds = time.as_secs_f64();
        let finish = |t: &Tally| RankReport {
            goodput: t.report.good as f64 / seconds.max(f64::MIN_POSITIVE),
            latency_ms: quantiles(&t.latency),
            ..t.report.clone()
        };
        Report {
            seed,
            seconds,
            send_lag_ms: quantiles(&self.lag),
            ranks: self
                .ranks
                .iter()
                .map(|(k, t)| (k.clone(), finish(t)))
                .collect(),
        }
    }
}

fn counts(map: &BTreeMap<SmolStr, u64>) -> String {
    let list: Vec<_> = map.iter().map(|(k, n)| format!("{k}={n}")).collect();
    match list.is_empty() {
        true => "-".into(),
        false => list.join(" "),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lag = &self.send_lag_ms;
        writeln!(
            f,
            "seed {}, arrivals over {:.1} s, sent late by {:.2} ms at p99 and {:.2} ms at most",
            self.seed, self.seconds, lag.p99, lag.max
        )?;
        writeln!(
            f,
            "{:<12} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "rank",
            "arrived",
            "unsent",
            "good",
            "good/s",
            "p50 ms",
            "p90 ms",
            "p99 ms",
            "p99.9 ms",
            "max ms"
        )?;
        for (name, r) in &self.ranks {
            let q = &r.latency_ms;
            writeln!(
                f,
                "{name:<12} {:>8} {:>8} {:>8} {:>9.1} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
                r.arrived, r.over_limit, r.good, r.goodput, q.p50, q.p90, q.p99, q.p999, q.max
            )?;
        }
        for (name, r) in &self.ranks {
            writeln!(
                f,
                "{name}: outcomes {}; reasons {}",
                counts(&r.outcomes),
                counts(&r.reasons)
            )?;
        }
        Ok(())
    }
}
