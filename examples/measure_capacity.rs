//! Measures the state machines of one node by the number of known nodes, without a network: bytes of a record, memory
//! of the tables, and processor time of a tick, a change, a choice and a version.
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
use support::figures::{table, Fit};

/// Numbers of known nodes; the last one is the size that the design is for.
const SIZES: [usize; 4] = [1000, 2000, 4000, 8100];
/// Services at the largest size; smaller sizes have as many targets in each service.
const SERVICES: usize = 540;
/// Routes of each service.
const ROUTES: usize = 5;
/// Links of a node: 8 that it opens and as many that others open.
const LINKS: u64 = 16;
/// Zones: 2 regions with 5 each.
const ZONES: usize = 10;

#[derive(Default)]
struct Point {
    nodes: usize,
    record_bytes: f64,
    table_mb: f64,
    tick_us: f64,
    change_us: f64,
    copy_us: f64,
    balance_mb: f64,
    choice_us: f64,
    content_kb: f64,
    packed_kb: f64,
    delta_bytes: f64,
    delta_us: f64,
    decode_us: f64,
}

fn zone(i: usize) -> Az {
    format!("r{}-{}", i % 2, i / 2 % (ZONES / 2)).into()
}

fn service(i: usize, nodes: usize) -> ServiceId {
    let n = (SERVICES * nodes / SIZES[3]).max(1);
    format!("service-{:04}", i % n).into()
}

fn record(i: usize, nodes: usize, sequence: u64) -> Record {
    let ip = [10, 0, (i / 250) as u8, (i % 250) as u8];
    let at = |port: u16| (ip, port).into();
    Record {
        node: format!("vm-{i:05}").into(),
        incarnation: 1_700_000_000_000,
        sequence,
        az: zone(i),
        region: format!("r{}", i % 2).into(),
        addresses: Addresses {
            caller: at(7400),
            relay: at(7401),
            peer: at(7402),
            admin: at(7403),
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

/// Mean time of a call in microseconds.
fn time_us<F>(times: u32, mut f: F) -> f64
where
    F: FnMut(u32),
{
    let start = Instant::now();
    (0..times).for_each(&mut f);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(times)
}

fn linked(nodes: usize, rng: &mut StdRng) -> Membership {
    let now = Duration::ZERO;
    let mut m = Membership::new(now, record(0, nodes, 1), Vec::new(), rng);
    for id in 1..=LINKS {
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

fn membership(p: &mut Point, rng: &mut StdRng) {
    let nodes = p.nodes;
    let list = vec![entry(1, nodes, 1)];
    p.record_bytes = Frame::Records(list).encode().map_or(0, |d| d.len()) as f64;
    let before = resident_mb();
    let mut m = linked(nodes, rng);
    // Drains what the first records queued for the links.
    let mut now = Duration::ZERO;
    for _ in 0..2000 {
        now += Duration::from_millis(100);
        (1..=LINKS).for_each(|id| drop(m.receive(now, id, Frame::Ping)));
        black_box(m.tick(now, rng));
    }
    p.table_mb = resident_mb() - before;
    p.tick_us = time_us(500, |_| {
        now += Duration::from_millis(100);
        (1..=LINKS).for_each(|id| drop(m.receive(now, id, Frame::Ping)));
        black_box(m.tick(now, rng));
    });
    p.change_us = time_us(500, |k| {
        let list = vec![entry(1 + k as usize % (nodes - 1), nodes, 2 + u64::from(k))];
        black_box(m.receive(now, 1, Frame::Records(list)));
    });
    p.copy_us = time_us(50, |_| {
        let members = m.table().members().iter();
        let copy: BTreeMap<_, _> = members
            .map(|(n, m)| (n.clone(), m.record.clone()))
            .collect();
        black_box(copy);
    });
}

fn balance(p: &mut Point, rng: &mut StdRng) {
    let nodes = p.nodes;
    let before = resident_mb();
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
    p.balance_mb = resident_mb() - before;
    let names: Vec<_> = (0..SERVICES).map(|i| service(i, nodes)).collect();
    p.choice_us = time_us(20_000, |k| {
        let name = &names[k as usize % names.len()];
        black_box(b.choose(Duration::from_secs(1), name, "urgent", &[], rng));
    });
}

fn manifest(nodes: usize, deadline_ms: u32) -> Manifest {
    let services = (SERVICES * nodes / SIZES[3]).max(1);
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
            .flat_map(|s| (0..ROUTES).map(move |k| route(s, k)))
            .collect(),
        ..Manifest::default()
    }
}

fn version(p: &mut Point) {
    let base = canonical(&manifest(p.nodes, 1000));
    let next = canonical(&manifest(p.nodes, 900));
    p.content_kb = base.len() as f64 / 1e3;
    p.packed_kb = deflate(&base).len() as f64 / 1e3;
    let delta = Delta::new(&base, &next);
    p.delta_bytes = delta.as_ref().map_or(0, |d| d.to_bytes().len()) as f64;
    p.delta_us = time_us(20, |_| {
        drop(black_box(delta.as_ref().map(|d| d.apply(&base))))
    });
    let v = VersionRef {
        number: 2,
        hash: Digest::of(&next),
    };
    p.decode_us = time_us(20, |_| {
        let s = Snapshot::decode(v, Digest::default(), next.clone());
        assert!(black_box(s).is_ok(), "the generated manifest is valid");
    });
}

/// A figure with its name.
type Column = (&'static str, fn(&Point) -> f64);

const COLUMNS: [Column; 12] = [
    ("record B", |p| p.record_bytes),
    ("table MB", |p| p.table_mb),
    ("tick us", |p| p.tick_us),
    ("change us", |p| p.change_us),
    ("copy us", |p| p.copy_us),
    ("balance MB", |p| p.balance_mb),
    ("choice us", |p| p.choice_us),
    ("content KB", |p| p.content_kb),
    ("packed KB", |p| p.packed_kb),
    ("delta B", |p| p.delta_bytes),
    ("apply us", |p| p.delta_us),
    ("decode us", |p| p.decode_us),
];

fn show(points: &[Point]) {
    let mut rows = vec![vec!["nodes".to_owned()]];
    rows[0].extend(COLUMNS.iter().map(|(name, _)| (*name).to_owned()));
    for p in points {
        let mut row = vec![p.nodes.to_string()];
        row.extend(COLUMNS.iter().map(|(_, f)| format!("{:.2}", f(p))));
        rows.push(row);
    }
    table("One node by known nodes", &rows);
    let mut rows = vec![row!["figure", "for 1000 nodes", "fixed", "residuals"]];
    for (name, f) in COLUMNS {
        let line: Vec<_> = points
            .iter()
            .map(|p| (p.nodes as f64 / 1000.0, f(p)))
            .collect();
        let fit = Fit::of(&line);
        let rest: Vec<_> = fit.residuals.iter().map(|r| format!("{r:.2}")).collect();
        rows.push(vec![
            name.to_owned(),
            format!("{:.3}", fit.slope),
            format!("{:.3}", fit.intercept),
            rest.join(" "),
        ]);
    }
    table("Least-squares lines", &rows);
}

fn main() {
    let mut rng = StdRng::seed_from_u64(1);
    let measure = |nodes: usize| {
        let mut p = Point {
            nodes,
            ..Point::default()
        };
        membership(&mut p, &mut rng);
        balance(&mut p, &mut rng);
        version(&mut p);
        p
    };
    show(&SIZES.map(measure));
}
