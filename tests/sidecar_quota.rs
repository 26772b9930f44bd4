//! Quotas of tenants over all nodes, in a simulation without a network. Its tests check each window of each tenant.

mod quota_sim;

use bytes::Bytes;
use dragonflyquay::sidecar::connection::frame::{Head, Message};
use dragonflyquay::sidecar::process::quota::limits::Quota;
use dragonflyquay::sidecar::process::quota::{UnitAsk, UnitGrant};
use quota_sim::{zipf, Sim, Tenant};

/// Nodes, zones and tenants of the simulated deployment.
const NODES: usize = 90;
const ZONES: usize = 3;
const TENANTS: usize = 87;
/// Usual demand of all tenants, and the part of their quotas that it uses.
const TOTAL: f64 = 2000.0;
const USED: f64 = 0.625;

fn deployment(seed: u64) -> Sim {
    let tenants = zipf(TENANTS, NODES, TOTAL, USED, seed);
    Sim::new(NODES, ZONES, tenants, seed)
}

/// A smaller one, for tests of many seeds.
fn small(seed: u64) -> Sim {
    Sim::new(24, 3, zipf(12, 24, 500.0, USED, seed), seed)
}

fn assert_granted(what: &str, sim: &Sim, least: f64) {
    let granted = sim.granted();
    println!("{what}: granted {granted:.4}");
    assert!(granted >= least, "{what}: {granted}");
}

fn scale(t: &mut Tenant, factor: f64) {
    t.arrivals.iter_mut().for_each(|a| a.1 *= factor);
}

/// Guards against requests within the quota that are refused while nothing fails, and against a cost in messages that
/// grows beyond that of the requests.
#[test]
fn demand_within_the_quota_is_served_at_little_cost() {
    for (nodes, zones, total) in [(NODES, ZONES, TOTAL), (86, 4, 1760.0)] {
        let tenants = zipf(TENANTS, nodes, total, USED, 1);
        let mut sim = Sim::new(nodes, zones, tenants, 1);
        sim.run(6_000);
        sim.forget_counts();
        sim.run(10_000);
        sim.check_windows();
        let (all, other_zones) = (sim.messages.0 / 10, sim.messages.1 / 10);
        println!("{zones} zones: messages/s {all}, to other zones {other_zones}");
        assert_granted("steady", &sim, 0.99);
        // A request costs two messages or more on its own.
        assert!(all < 2 * total as u64, "{all}");
    }
}

/// Guards against tenants that get more than their quota when they send far more, or much less than it, or that take
/// from the others.
#[test]
fn demand_above_the_quota_gets_the_quota() {
    let mut sim = deployment(2);
    sim.run(6_000);
    sim.forget_counts();
    let before: Vec<_> = sim.tallies.iter().map(|t| t.runs.len()).collect();
    for (i, factor) in [(0, 3.0), (4, 7.5), (20, 5.0)] {
        scale(&mut sim.tenants[i], factor);
    }
    sim.run(6_000);
    let full = sim.check_windows();
    for i in [0, 4, 20] {
        let ran = (sim.tallies[i].runs.len() - before[i]) as f64 / 6.0;
        let part = ran / sim.tenants[i].quota.rate;
        println!(
            "burst t{i}: {part:.2} of the quota, {:.2} of the bound",
            full[i]
        );
        assert!(part >= 0.9, "{part}");
    }
    let granted = sim.granted();
    println!(
        "burst: granted {granted:.4} messages/s {}",
        sim.messages.0 / 6
    );
    assert!(granted >= 0.93, "{granted}");
}

/// Guards against a Retry-After at which there is no room either.
#[test]
fn refused_requests_are_served_at_the_time_they_are_told() {
    let mut sim = deployment(9);
    sim.retries = true;
    sim.run(6_000);
    let (i, factor) = (3, 3.0);
    scale(&mut sim.tenants[i], factor);
    sim.run(3_000);
    scale(&mut sim.tenants[i], 1.0 / factor);
    sim.run(6_000);
    let (came, ran) = sim.again;
    println!("again: {ran} of {came} ran");
    assert!(ran as f64 >= 0.6 * came as f64);
    sim.check_windows();
}

/// Guards against a zone that stops serving while it is cut off, and against tenants that get their quota on both sides.
#[test]
fn a_zone_is_cut_off() {
    let mut sim = deployment(3);
    sim.run(6_000);
    sim.forget_counts();
    sim.cut_off(|i| i % ZONES == 0);
    sim.run(6_000);
    assert_granted("zone cut", &sim, 0.95);
    sim.forget_counts();
    sim.cut_off(|_| false);
    sim.run(6_000);
    assert_granted("zone back", &sim, 0.98);
    sim.check_windows();
}

/// Guards against the same with demand above the quota on both sides.
#[test]
fn a_zone_is_cut_off_during_a_burst() {
    let mut sim = deployment(4);
    sim.tenants.iter_mut().for_each(|t| scale(t, 3.0));
    sim.run(4_000);
    sim.cut_off(|i| i % ZONES == 0);
    sim.run(8_000);
    sim.cut_off(|_| false);
    sim.run(6_000);
    sim.check_windows();
}

/// Guards against nodes that refuse what is within the quota while a third of the nodes is cut off for 12 s.
#[test]
fn a_third_of_the_nodes_is_cut_off() {
    let mut sim = deployment(5);
    sim.run(6_000);
    sim.forget_counts();
    sim.cut_off(|i| (i * 7) % 90 < 30);
    sim.run(12_000);
    assert_granted("third cut", &sim, 0.9);
    sim.cut_off(|_| false);
    sim.run(3_000);
    sim.check_windows();
}

/// Guards against processes that start with their quotas used up, or with whole ones although others have just used
/// them.
#[test]
fn all_processes_start_again() {
    let mut sim = deployment(6);
    sim.run(8_000);
    (0..NODES).for_each(|i| sim.stop(i));
    sim.run(500);
    (0..NODES).for_each(|i| sim.start(i));
    sim.forget_counts();
    sim.run(1_000);
    assert_granted("restart, 1st second", &sim, 0.85);
    sim.forget_counts();
    sim.run(3_000);
    assert_granted("restart, later", &sim, 0.98);
    sim.check_windows();
}

/// Guards against quotas that multiply when nodes restart one after the other while tenants send too much.
#[test]
fn nodes_restart_one_after_the_other() {
    let mut sim = deployment(7);
    for i in 0..10 {
        scale(&mut sim.tenants[i], 4.0);
    }
    sim.run(5_000);
    sim.forget_counts();
    for i in 0..30 {
        sim.stop(i * 3);
        sim.run(400);
        sim.start(i * 3);
    }
    assert_granted("rolling", &sim, 0.85);
    sim.check_windows();
}

/// Guards against a quota that is exceeded or refused for longer than needed when it changes.
#[test]
fn versions_change_the_quota() {
    let mut sim = small(8);
    scale(&mut sim.tenants[0], 4.0);
    sim.run(6_000);
    let quota = sim.tenants[0].quota;
    sim.tenants[0].quota = Quota::new(quota.rate / 4.0, quota.burst / 4.0).unwrap();
    sim.run(2_500);
    sim.tallies[0].runs.clear();
    sim.run(8_000);
    let low = sim.check_windows()[0];
    sim.tenants[0].quota = quota;
    sim.run(2_000);
    sim.forget_counts();
    sim.run(4_000);
    sim.check_windows();
    println!("lower: {low:.2} of the bound");
    assert_granted("raised", &sim, 0.98);
}

/// Guards against a bound that holds only on a good network: seeds with loss, repeats, delays, partitions, restarts,
/// paused processes and nodes that come and go.
#[test]
fn no_fault_exceeds_a_quota() {
    let long = std::env::var("DQ_LONG").is_ok();
    let mut worst = 0.0_f64;
    let mut granted = 1.0_f64;
    for seed in 0..if long { 40 } else { 4 } {
        let mut sim = small(seed);
        sim.play_faults(seed, 20_000);
        worst = sim.check_windows().into_iter().fold(worst, f64::max);
        granted = granted.min(sim.granted());
    }
    println!("faults: fullest window {worst:.2} of the bound, least granted {granted:.3}");
}

/// Guards against messages that another node cannot read, and against a report that costs far more bytes than it needs.
#[test]
fn messages_are_short_and_survive_the_link() {
    let ask = UnitAsk {
        tenant: "tenant-12".into(),
        seq: 1234,
        rate: 3.25,
        depth: 4,
        held: 0,
        want_rate: 7.5,
        want: 2,
    };
    let grant = UnitGrant {
        tenant: "tenant-12".into(),
        seq: 1234,
        rate: 3.5,
        depth: 4,
        units: 2,
        life_ms: 12_000,
        wait_ms: 0,
    };
    for head in [
        Head::QuotaAsk(1_800_000_000_000, vec![ask]),
        Head::QuotaGrant(1_800_000_000_000, vec![grant]),
    ] {
        let message = Message::without_payload(head);
        let data = message.encode();
        assert!(data.len() < 64, "{}", data.len());
        assert_eq!(Message::decode(data).unwrap(), message);
    }
    assert!(Message::decode(Bytes::from_static(b"\xa1\x61u\x82\x01\x01")).is_err());
}

/// Guards against requests that are refused because processes with a small share of a core answer late.
#[test]
fn late_answers_cost_little() {
    let mut sim = deployment(1);
    sim.delay_ms = (0, 100);
    sim.run(6_000);
    sim.forget_counts();
    sim.run(6_000);
    sim.check_windows();
    assert_granted("late answers", &sim, 0.97);
}

/// Guards against quotas of which a large part cannot be used any more because some nodes have ended for good.
#[test]
fn a_tenth_of_the_nodes_ends() {
    let mut sim = deployment(11);
    sim.run(6_000);
    (0..9).for_each(|i| sim.stop(i * 10));
    sim.forget_counts();
    sim.run(5_000);
    assert_granted("a tenth ended, first 5 s", &sim, 0.95);
    sim.forget_counts();
    sim.run(10_000);
    assert_granted("a tenth ended, later", &sim, 0.92);
    sim.check_windows();
}

/// Guards against units that stay where the demand was.
#[test]
fn demand_moves_to_other_nodes() {
    let mut sim = deployment(12);
    sim.run(6_000);
    sim.forget_counts();
    for t in &mut sim.tenants {
        t.arrivals.iter_mut().for_each(|a| a.0 = (a.0 + 31) % NODES);
    }
    sim.run(4_000);
    assert_granted("moved", &sim, 0.95);
    sim.check_windows();
}
