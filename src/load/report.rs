//! Results of a load run, by rank label.

use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::prelude::*;

/// Upper end of the latency histograms, in microseconds; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Result of one request as its caller saw it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Completion {
    /// Value of `dq-outcome`, `none` for a response without it, or `no-answer` when there was no complete response.
    pub outcome: SmolStr,
    /// Value of `dq-reason`, or the failure that the caller saw, such as `caller-timeout`.
    pub reason: Option<SmolStr>,
    /// Whether a complete 2xx response came whose outcome, if present, is `done`.
    pub success: bool,
    /// Time from the intended send time to the end of the response or to the failure.
    pub latency: Duration,
}

/// Quantiles of a duration, in milliseconds.
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
    /// Successful requests that completed within their deadline.
    pub good: u64,
    /// `good` per second of the time in which requests arrived.
    pub goodput: f64,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<SmolStr, u64>,
    /// Number of requests by reason.
    pub reasons: BTreeMap<SmolStr, u64>,
    /// Latency of successful requests from the intended send time, in milliseconds.
    pub latency_ms: Quantiles,
}

/// Results of a run, as `load --json` prints them.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the arrival times.
    pub seed: u64,
    /// Time in which requests arrived, in seconds.
    pub seconds: f64,
    /// Delay of sends after their intended times, in milliseconds. The generator causes it; each latency includes it.
    pub send_lag_ms: Quantiles,
    /// Results by rank label.
    pub ranks: BTreeMap<SmolStr, RankReport>,
}

struct RankTally {
    report: RankReport,
    latency: Histogram<u64>,
}

/// Collects results during a run.
pub struct Recorder {
    ranks: BTreeMap<SmolStr, RankTally>,
    send_lag: Histogram<u64>,
}

fn new_histogram() -> Histogram<u64> {
    // Fails only for bounds or a precision out of range, which are constant here.
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
            send_lag: new_histogram(),
        }
    }
}

impl Recorder {
    fn tally(&mut self, rank: &str) -> &mut RankTally {
        self.ranks.entry(rank.into()).or_insert_with(|| RankTally {
            report: RankReport::default(),
            latency: new_histogram(),
        })
    }

    /// Counts an arrival that was sent `lag` after its intended time.
    pub fn record_sent(&mut self, rank: &str, lag: Duration) {
        self.tally(rank).report.arrived += 1;
        self.send_lag.saturating_record(micros(lag).max(1));
    }

    /// Counts an arrival that was not sent because too many requests were in flight.
    pub fn record_over_limit(&mut self, rank: &str) {
        let r = &mut self.tally(rank).report;
        r.arrived += 1;
        r.over_limit += 1;
    }

    /// Counts a completed or failed request; a zero `deadline` means that there was none.
    pub fn record_completion(&mut self, rank: &str, deadline: Duration, completion: &Completion) {
        let t = self.tally(rank);
        *t.report
            .outcomes
            .entry(completion.outcome.clone())
            .or_default() += 1;
        if let Some(reason) = &completion.reason {
            *t.report.reasons.entry(reason.clone()).or_default() += 1;
        }
        if completion.success {
            t.latency
                .saturating_record(micros(completion.latency).max(1));
            if deadline.is_zero() || completion.latency <= deadline {
                t.report.good += 1;
            }
        }
    }

    /// Returns the results of a run whose requests arrived within `period`.
    pub fn report(&self, seed: u64, period: Duration) -> Report {
        let seconds = period.as_secs_f64();
        let rank_report = |t: &RankTally| RankReport {
            goodput: t.report.good as f64 / seconds.max(f64::MIN_POSITIVE),
            latency_ms: quantiles(&t.latency),
            ..t.report.clone()
        };
        Report {
            seed,
            seconds,
            send_lag_ms: quantiles(&self.send_lag),
            ranks: self
                .ranks
                .iter()
                .map(|(k, t)| (k.clone(), rank_report(t)))
                .collect(),
        }
    }
}

fn format_counts(map: &BTreeMap<SmolStr, u64>) -> String {
    let pairs: Vec<_> = map.iter().map(|(k, n)| format!("{k}={n}")).collect();
    match pairs.is_empty() {
        true => "-".into(),
        false => pairs.join(" "),
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
                format_counts(&r.outcomes),
                format_counts(&r.reasons)
            )?;
        }
        Ok(())
    }
}
