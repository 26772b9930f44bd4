//! Measures how the cost of one node grows with the number of nodes that it knows, without a network: size of a member
//! record, memory of the tables, and time to tick, to apply a record, to choose a target and to load a version.
//!
//! `cargo run --release --example measure_capacity`

mod support;

use std::hint::black_box;
use std::time::{Duration, Instant};

use dragonflyquay::connection::frame::{Frame, Liveness};
use dragonflyquay::connection::handshake::Remote;
use dragonflyquay::connection::member_entry::Entry;
use dragonflyquay::digest::Digest;
use dragonflyquay::prelude::*;
use dragonflyquay::process::members::membership::Membership;
use dragonflyquay::process::members::record::{Addresses, Record, Target, TargetState};
use dragonflyquay::process::routing::balance::{Balancer, ReportedState, TargetInfo};
use dragonflyquay::settings::BalancePolicy;
use dragonflyquay::version::compression::deflate;
use dragonflyquay::version::delta::Delta;
use dragonflyquay::version::manifest::{Manifest, Rank, Route, Service};
use dragonflyquay::version::snapshot::{canonical, Snapshot, VersionRef};
use rand::rngs::StdRng;
use rand::SeedableRng;
use support::figures::{print_table, Fit};

/// Numbers of known nodes; the last one is the size that the system is designed for.
const NODE_COUNTS: [usize; 4] = [1000, 2000, 4000, 8100];
/// Services at the largest node count. Smaller counts have fewer services with as many targets each.
const MAX_SERVICES: usize = 540;
const ROUTES_PER_SERVICE: usize = 5;
/// Links of a node: 8 that it opens and 8 that other nodes open.
const LINK_COUNT: u64 = 16;
/// Availability zones, in two regions of 5.
const ZONE_COUNT: usize = 10;

/// Results for one number of known nodes.
#[derive(Default)]
struct Measurement {
    nodes: usize,
    /// Encoded frame with one member record.
    record_bytes: f64,
    /// Memory of the member table.
    table_mb: f64,
    /// One tick of the membership, with a ping received on every link.
    tick_us: f64,
    /// Applying one changed record that a peer sent.
    update_us: f64,
    /// Copying all records of the member table.
    copy_us: f64,
    /// Memory of the balancer.
    balancer_mb: f64,
    /// Choosing a target for one request.
    choose_us: f64,
    /// Manifest in canonical form.
    content_kb: f64,
    /// The same, compressed.
    deflated_kb: f64,
    /// Delta to a version in which one deadline changed.
    delta_bytes: f64,
    /// Applying that delta.
    apply_us: f64,
    /// Decoding and validating the changed version.
    decode_us: f64,
}

fn zone(i: usize) -> Az {
    format!("r{}-{}", i % 2, i / 2 % (ZONE_COUNT / 2)).into()
}

fn service(i: usize, nodes: usize) -> ServiceId {
    let n = (MAX_SERVICES * nodes / NODE_COUNTS[3]).max(1);
    format!("service-{:04}", i % n).into()
}

fn record(i: usize, nodes: usize, sequence: u64) -> Record {
    let ip = [10, 0, (i / 250) as u8, (i % 250) as u8];
    let endpoint = |port: u16| (ip, port).into();
    Record {
        node: format!("vm-{i:05}").into(),
        incarnation: 1_700_000_000_000,
        sequence,
        az: zone(i),
        region: format!("r{}", i % 2).into(),
        addresses: Addresses {
            caller: endpoint(7400),
            relay: endpoint(7401),
            peer: endpoint(7402),
            admin: endpoint(7403),
        },
        version: VersionRef {
            number: 100_000,
            hash: Digest::of(b"content"),
        },
        watcher: false,
        target: Some(Target {
            service: service(i, nodes),
            state: TargetState::Ready,
            slots: 8,
            age_ms: 0,
        }),
    }
}

fn entry(i: usize, nodes: usize, sequence: u64) -> Entry {
    Entry {
        record: record(i, nodes, sequence),
        liveness: Liveness::Alive,
    }
}

/// Resident memory of this process in MB.
fn resident_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|v| v.parse().ok())
        .unwrap_or(0.0);
    pages * 4096.0 / 1e6
}

/// Calls `f` this many times and returns the mean time of a call in microseconds.
fn mean_time_us<F>(times: u32, mut f: F) -> f64
where
    F: FnMut(u32),
{
    let start = Instant::now();
    (0..times).for_each(&mut f);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(times)
}

/// Returns a membership with all links open that has received the records of all nodes.
fn linked_membership(nodes: usize, rng: &mut StdRng) -> Membership {
    let now = Duration::ZERO;
    let mut m = Membership::new(now, record(0, nodes, 1), Vec::new(), rng);
    for id in 1..=LINK_COUNT {
        let remote = Remote {
            node: format!("vm-{id:05}").into(),
            incarnation: 1_700_000_000_000,
            az: zone(id as usize),
        };
        m.link_up(now, id, remote, None);
    }
    for i in 1..nodes {
        let list = vec![entry(i, nodes, 1)];
        m.receive(now, 1, Frame::Records(list));
    }
    m
}

/// Measures the member record and the membership of a node.
fn measure_membership(p: &mut Measurement, rng: &mut StdRng) {
    let nodes = p.nodes;
    let list = vec![entry(1, nodes, 1)];
    p.record_bytes = Frame::Records(list).encode().map_or(0, |d| d.len()) as f64;
    let mb_before = resident_mb();
    let mut m = linked_membership(nodes, rng);
    // Ticks until the messages that the first records queued for the links are sent.
    let mut now = Duration::ZERO;
    for _ in 0..2000 {
        now += Duration::from_millis(100);
        (1..=LINK_COUNT).for_each(|id| drop(m.receive(now, id, Frame::Ping)));
        black_box(m.tick(now, rng));
    }
    p.table_mb = resident_mb() - mb_before;
    p.tick_us = mean_time_us(500, |_| {
        now += Duration::from_millis(100);
        (1..=LINK_COUNT).for_each(|id| drop(m.receive(now, id, Frame::Ping)));
        black_box(m.tick(now, rng));
    });
    p.update_us = mean_time_us(500, |k| {
        let list = vec![entry(1 + k as usize % (nodes - 1), nodes, 2 + u64::from(k))];
        black_box(m.receive(now, 1, Frame::Records(list)));
    });
    p.copy_us = mean_time_us(50, |_| {
        let members = m.table().members().iter();
        let copy: BTreeMap<_, _> = members
            .map(|(n, m)| (n.clone(), m.record.clone()))
            .collect();
        black_box(copy);
    });
}

/// Measures the balancer with a target on every node.
fn measure_balancer(p: &mut Measurement, rng: &mut StdRng) {
    let nodes = p.nodes;
    let mb_before = resident_mb();
    let mut b = Balancer::new(BalancePolicy::LeastLoaded, zone(0));
    for i in 0..nodes {
        let r = record(i, nodes, 1);
        let info = TargetInfo {
            service: service(i, nodes),
            az: r.az,
            slots: 8,
            reported: ReportedState::Ready,
            age: Duration::from_secs(60),
            incarnation: 1,
            doubt: 0,
        };
        b.set(Duration::ZERO, &r.node, info);
    }
    p.balancer_mb = resident_mb() - mb_before;
    let names: Vec<_> = (0..MAX_SERVICES).map(|i| service(i, nodes)).collect();
    p.choose_us = mean_time_us(20_000, |k| {
        let name = &names[k as usize % names.len()];
        black_box(b.choose(Duration::from_secs(1), name, "urgent", &[], rng));
    });
}

fn manifest(nodes: usize, deadline_ms: u32) -> Manifest {
    let services = (MAX_SERVICES * nodes / NODE_COUNTS[3]).max(1);
    let route = |s: usize, k: usize| Route {
        name: format!("route-{s:04}-{k}").into(),
        method: "GET".into(),
        path: format!("/service-{s:04}/part-{k}/*").into(),
        service: service(s, nodes),
        rank: "urgent".into(),
        deadline_ms: if s + k == 0 { deadline_ms } else { 1000 },
        idempotent: true,
        retries: 2,
        ..Route::default()
    };
    Manifest {
        site: "capacity".into(),
        rank: vec![Rank {
            name: "urgent".into(),
            ..Rank::default()
        }],
        service: (0..services)
            .map(|i| Service {
                name: service(i, nodes),
            })
            .collect(),
        route: (0..services)
            .flat_map(|s| (0..ROUTES_PER_SERVICE).map(move |k| route(s, k)))
            .collect(),
        ..Manifest::default()
    }
}

/// Measures the manifest and a delta between two versions of it.
fn measure_version(p: &mut Measurement) {
    let base = canonical(&manifest(p.nodes, 1000));
    let changed = canonical(&manifest(p.nodes, 900));
    p.content_kb = base.len() as f64 / 1e3;
    p.deflated_kb = deflate(&base).len() as f64 / 1e3;
    let delta = Delta::new(&base, &changed);
    p.delta_bytes = delta.as_ref().map_or(0, |d| d.to_bytes().len()) as f64;
    p.apply_us = mean_time_us(20, |_| {
        drop(black_box(delta.as_ref().map(|d| d.apply(&base))))
    });
    let v = VersionRef {
        number: 2,
        hash: Digest::of(&changed),
    };
    p.decode_us = mean_time_us(20, |_| {
        let s = Snapshot::decode(v, Digest::default(), changed.clone());
        assert!(black_box(s).is_ok(), "the generated manifest is valid");
    });
}

/// Heading of a table column and the value that it shows.
type Column = (&'static str, fn(&Measurement) -> f64);

const COLUMNS: [Column; 12] = [
    ("record B", |p| p.record_bytes),
    ("table MB", |p| p.table_mb),
    ("tick us", |p| p.tick_us),
    ("change us", |p| p.update_us),
    ("copy us", |p| p.copy_us),
    ("balance MB", |p| p.balancer_mb),
    ("choice us", |p| p.choose_us),
    ("content KB", |p| p.content_kb),
    ("packed KB", |p| p.deflated_kb),
    ("delta B", |p| p.delta_bytes),
    ("apply us", |p| p.apply_us),
    ("decode us", |p| p.decode_us),
];

fn print_results(measurements: &[Measurement]) {
    let mut rows = vec![vec!["nodes".to_owned()]];
    rows[0].extend(COLUMNS.iter().map(|(name, _)| (*name).to_owned()));
    for p in measurements {
        let mut row = vec![p.nodes.to_string()];
        row.extend(COLUMNS.iter().map(|(_, f)| format!("{:.2}", f(p))));
        rows.push(row);
    }
    print_table("Cost of one node by number of known nodes", &rows);
    let mut rows = vec![row!["figure", "for 1000 nodes", "fixed", "residuals"]];
    for (name, f) in COLUMNS {
        let samples: Vec<_> = measurements
            .iter()
            .map(|p| (p.nodes as f64 / 1000.0, f(p)))
            .collect();
        let fit = Fit::of(&samples);
        let residuals: Vec<_> = fit.residuals.iter().map(|r| format!("{r:.2}")).collect();
        rows.push(vec![
            name.to_owned(),
            format!("{:.3}", fit.slope),
            format!("{:.3}", fit.intercept),
            residuals.join(" "),
        ]);
    }
    print_table("Least-squares lines", &rows);
}

fn main() {
    let mut rng = StdRng::seed_from_u64(1);
    let measure = |nodes: usize| {
        let mut p = Measurement {
            nodes,
            ..Measurement::default()
        };
        measure_membership(&mut p, &mut rng);
        measure_balancer(&mut p, &mut rng);
        measure_version(&mut p);
        p
    };
    print_results(&NODE_COUNTS.map(measure));
}
