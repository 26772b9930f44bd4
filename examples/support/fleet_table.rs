//! Results of the fleet measurement, printed as tables.

use serde::Serialize;

use super::figures::{print_table, Fit, Summary};
use crate::row;

/// Results of one fleet size.
#[derive(Debug, Serialize)]
pub struct SizeResults {
    pub nodes: usize,
    /// Time from the acceptance of a version to its adoption by a node, over all nodes and commits, without other load.
    pub idle_ms: Summary,
    /// Adoption time of the nodes that keep running while a fifth of the nodes restarts.
    pub churn_survivors_ms: Summary,
    /// Adoption time of the nodes that were killed right before the commit.
    pub churn_restarted_ms: Summary,
    /// Number of adoptions that did not happen within the timeout, over all nodes and commits.
    pub not_converged: usize,
    /// Control bytes sent per commit and node, without the idle traffic.
    pub control_bytes_per_change_node: f64,
    /// Bytes sent per commit and node by kind of message, including the idle traffic between commits.
    pub kinds: std::collections::BTreeMap<String, f64>,
    pub manifest_bytes: usize,
    /// Store calls per commit, without those of the idle fleet.
    pub store_calls_per_change: f64,
    pub store_calls_per_s_idle: f64,
    /// Watches that wait at the store.
    pub store_waiting: u64,
    /// Control bytes that a node of an idle fleet sends per second.
    pub control_bytes_per_s_node: f64,
    /// CPU time of a node in an idle fleet, in percent of one core.
    pub cpu_percent_node: f64,
    /// Mean resident memory of a node.
    pub memory_mb_node: f64,
    pub memory_mb_max: f64,
}

fn summary_row(n: usize, s: &Summary) -> Vec<String> {
    row![
        n,
        s.count,
        format!("{:.1}", s.p50),
        format!("{:.1}", s.p99),
        format!("{:.1}", s.max)
    ]
}

/// Prints the tables of adoption times, control traffic, store calls and idle cost.
pub fn print_sizes(sizes: &[SizeResults]) {
    let heading = row!["nodes", "samples", "p50 ms", "p99 ms", "max ms"];
    let print_summaries = |title: &str, get: fn(&SizeResults) -> &Summary| {
        let mut rows = vec![heading.clone()];
        rows.extend(sizes.iter().map(|s| summary_row(s.nodes, get(s))));
        print_table(title, &rows);
    };
    print_summaries("Time from acceptance to adoption, idle", |s| &s.idle_ms);
    print_summaries(
        "Time from acceptance to adoption, a fifth restarting: the other nodes",
        |s| &s.churn_survivors_ms,
    );
    print_summaries(
        "Time from acceptance to adoption, a fifth restarting: the restarted nodes",
        |s| &s.churn_restarted_ms,
    );
    let mut rows = vec![row![
        "nodes",
        "missing",
        "B/change/node",
        "manifest B",
        "calls/change",
        "idle calls/s",
        "waiting",
        "idle B/s/node",
        "cpu %/node",
        "MB/node",
        "MB max"
    ]];
    rows.extend(sizes.iter().map(|s| {
        row![
            s.nodes,
            s.not_converged,
            format!("{:.0}", s.control_bytes_per_change_node),
            s.manifest_bytes,
            format!("{:.1}", s.store_calls_per_change),
            format!("{:.2}", s.store_calls_per_s_idle),
            s.store_waiting,
            format!("{:.0}", s.control_bytes_per_s_node),
            format!("{:.2}", s.cpu_percent_node),
            format!("{:.1}", s.memory_mb_node),
            format!("{:.1}", s.memory_mb_max)
        ]
    }));
    print_table("Control traffic, store and idle cost", &rows);
    print_kinds(sizes);
}

fn print_kinds(sizes: &[SizeResults]) {
    let mut rows = vec![row![
        "nodes",
        "bytes per change and node by kind of message, with idle traffic"
    ]];
    rows.extend(sizes.iter().map(|s| {
        let kinds = s.kinds.iter().filter(|(_, n)| **n > 0.0);
        let kinds: Vec<_> = kinds.map(|(k, n)| format!("{k}={n:.0}")).collect();
        row![s.nodes, kinds.join(" ")]
    }));
    print_table("Control bytes by kind", &rows);
}

/// Prints slope, intercept and residuals of each fit.
pub fn print_fits(fits: &[(&str, Fit)]) {
    let mut rows = vec![row!["figure by nodes", "slope", "intercept", "residuals"]];
    rows.extend(fits.iter().map(|(name, f)| {
        let residuals: Vec<_> = f.residuals.iter().map(|r| format!("{r:.2}")).collect();
        row![
            name,
            format!("{:.4}", f.slope),
            format!("{:.2}", f.intercept),
            residuals.join(" ")
        ]
    }));
    print_table("Least-squares lines", &rows);
}

/// Fits a line to each result as a function of the number of nodes.
pub fn linear_fits(sizes: &[SizeResults]) -> Vec<(&'static str, Fit)> {
    let fit = |get: fn(&SizeResults) -> f64| {
        let points: Vec<_> = sizes.iter().map(|s| (s.nodes as f64, get(s))).collect();
        Fit::of(&points)
    };
    vec![
        ("p99 ms idle", fit(|s| s.idle_ms.p99)),
        ("B/change/node", fit(|s| s.control_bytes_per_change_node)),
        ("store calls/change", fit(|s| s.store_calls_per_change)),
        ("store calls/s idle", fit(|s| s.store_calls_per_s_idle)),
        ("waiting watches", fit(|s| s.store_waiting as f64)),
        ("idle B/s/node", fit(|s| s.control_bytes_per_s_node)),
        ("cpu %/node", fit(|s| s.cpu_percent_node)),
        ("MB/node", fit(|s| s.memory_mb_node)),
    ]
}
