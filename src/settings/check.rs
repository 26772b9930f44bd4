//! Checks of the names, addresses and ranges of settings.

use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;

use super::Settings;
use crate::findings::Findings;
use crate::prelude::*;
use crate::version::validate::check_name;

/// Checks names, addresses and ranges of the settings.
///
/// # Errors
///
/// All findings, each with its location.
pub fn validate(s: &Settings) -> Result<(), Findings> {
    let mut f = Findings::default();
    check_name(&mut f, "node.id".into(), &s.node.id);
    check_name(&mut f, "node.az".into(), &s.node.az);
    check_name(&mut f, "node.region".into(), &s.node.region);
    check_name(&mut f, "node.site".into(), &s.node.site);
    check_addresses(&mut f, s);
    let limits = &s.limits;
    let sidecar = &s.sidecar;
    // The ranges reject values in a wrong unit, such as seconds instead of milliseconds.
    let ranges: [(&str, u64, RangeInclusive<u64>); 19] = [
        ("sidecar.heartbeat_ms", sidecar.heartbeat_ms, 10..=600_000),
        ("sidecar.drain_ms", sidecar.drain_ms, 0..=600_000),
        ("sidecar.apply_ms", sidecar.apply_ms, 500..=600_000),
        ("sidecar.grace_s", sidecar.grace_s, 1..=600),
        ("sidecar.budget_window_s", sidecar.budget_window_s, 1..=3600),
        ("sidecar.quota_window_s", sidecar.quota_window_s, 1..=3600),
        ("node.threads", s.node.threads as u64, 1..=64),
        ("store.timeout_ms", s.store.timeout_ms, 10..=60_000),
        ("limits.connections", limits.connections as u64, 1..=65_536),
        (
            "limits.header_bytes",
            limits.header_bytes as u64,
            1024..=1 << 20,
        ),
        ("limits.headers", limits.headers as u64, 16..=1024),
        (
            "limits.header_timeout_ms",
            limits.header_timeout_ms,
            10..=600_000,
        ),
        ("limits.body_bytes", limits.body_bytes as u64, 1..=1 << 30),
        (
            "limits.body_timeout_ms",
            limits.body_timeout_ms,
            10..=600_000,
        ),
        ("limits.vm_memory_mb", limits.vm_memory_mb, 0..=1 << 20),
        ("limits.memory_bytes", limits.memory_bytes, 0..=1 << 40),
        ("limits.descriptors", limits.descriptors, 0..=1 << 20),
        (
            "limits.min_bytes_per_s",
            limits.min_bytes_per_s,
            0..=1 << 20,
        ),
        (
            "limits.rate_window_ms",
            limits.rate_window_ms,
            500..=600_000,
        ),
    ];
    for (location, value, range) in ranges {
        if !range.contains(&value) {
            let hint = format!("use {} to {}", range.start(), range.end());
            f.add(location, format!("{value} is out of range"), hint);
        }
    }
    for (location, value) in [
        ("sidecar.budget_ratio", sidecar.budget_ratio),
        ("sidecar.budget_least", sidecar.budget_least),
        ("sidecar.quota_overage", sidecar.quota_overage),
        ("sidecar.quota_slack", sidecar.quota_slack),
        ("sidecar.exposure_slack", sidecar.exposure_slack),
    ] {
        if !(0.0..=1e6).contains(&value) {
            f.add(
                location,
                format!("{value} is out of range"),
                "use 0 to 1000000",
            );
        }
    }
    if !(0.0..=1.0).contains(&sidecar.exposure_share) {
        f.add(
            "sidecar.exposure_share",
            format!("{} is out of range", sidecar.exposure_share),
            "use 0 to 1",
        );
    }
    if !(0.1..=1e6).contains(&sidecar.link_mbps) {
        f.add(
            "sidecar.link_mbps",
            format!("{} is out of range", sidecar.link_mbps),
            "use 0.1 to 1000000",
        );
    }
    f.into_result(())
}

fn check_addresses(f: &mut Findings, s: &Settings) {
    let mut used: HashMap<SocketAddr, &str> = HashMap::default();
    for (location, address) in [
        ("listen.caller", s.listen.caller),
        ("listen.relay", s.listen.relay),
        ("listen.peer", s.listen.peer),
        ("listen.admin", s.listen.admin),
    ] {
        // Other nodes connect to these addresses, so a wildcard address is not allowed.
        check_ip(f, location.to_owned(), address.ip());
        match used.insert(address, location) {
            Some(first) if address.port() != 0 => f.add(
                location,
                format!("{address} is already used by {first}"),
                "give each listener its own port",
            ),
            _ => {}
        }
    }
    check_ip(f, "sidecar.target".into(), s.sidecar.target.ip());
    check_ip(f, "sidecar.control".into(), s.sidecar.control.ip());
    check_ip(f, "sidecar.ready".into(), s.sidecar.ready.ip());
    check_remote(f, "store.address".into(), s.store.address);
    let mut seeds = HashSet::default();
    for (i, seed) in s.peers.seeds.iter().enumerate() {
        let location = format!("peers.seeds[{i}]");
        check_remote(f, location.clone(), *seed);
        if !seeds.insert(seed) {
            f.add(
                location,
                format!("{seed} is listed twice"),
                "remove one of them",
            );
        }
    }
    if s.peers
        .key_file
        .as_ref()
        .is_some_and(|p| p.as_os_str().is_empty())
    {
        f.add(
            "peers.key_file",
            "the file name is empty",
            "set the path of the key file",
        );
    }
}

fn check_remote(f: &mut Findings, location: String, address: SocketAddr) {
    if address.port() == 0 {
        f.add(location.clone(), "port 0 cannot be reached", "set the port");
    }
    check_ip(f, location, address.ip());
}

fn check_ip(f: &mut Findings, location: String, ip: IpAddr) {
    if ip.is_unspecified() || ip.is_multicast() {
        f.add(
            location,
            format!("{ip} is a wildcard or multicast address"),
            "use the address that other processes connect to",
        );
    }
}
