//! A configuration that the store acknowledged right after a drill never comes into force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::{Figures, Site};
use crate::target::Identity;
use crate::Verdict;

const HOST: &str = "shop.example";
const SERVICES: [&str; 2] = ["catalogue-desk", "parcel-hall"];
/// `config_apply_ms` and `max_stretch_ms` of the site.
const APPLY: Duration = Duration::from_millis(2000);
const STRETCH: Duration = Duration::from_millis(5000);
/// `stable_window_ms` of the site.
const STABLE: Duration = Duration::from_millis(3000);
/// Age of the copy from which the store comes back: some seconds.
const COPY_AGE: Duration = Duration::from_millis(2500);
/// Time for which the store is away: a moment.
const AWAY: Duration = Duration::from_millis(60);
/// Time after which the requests of a round in which the rule was broken are sent once more.
const LATER: Duration = Duration::from_secs(20);
/// Rounds of the case; it ends with the first one in which the rule is broken.
const ROUNDS: u64 = 4;

/// The configuration of a version: two routes that all versions have, and one that each version from 2 on adds.
fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!("{{\"name\":\"{name}\",\"prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\"timeout_ms\":2000,\"aim_ms\":800,\"priority\":1,\"service\":\"{service}\",\"retry_attempts\":2}}")
    };
    let mut routes = vec![route("lookup", "safe", SERVICES[0]), route("booking", "unsafe", SERVICES[1])];
    for v in 2..=version {
        routes.push(route(&format!("added-{v}"), "safe", SERVICES[0]));
    }
    let services = SERVICES.map(|s| format!("{{\"name\":\"{s}\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}"));
    format!(
        "{{\"version\":{version},\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"virtual_hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{}]}}]}}",
        services.join(","),
        routes.join(",")
    )
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut site = Site::new(record.clone(), Figures::default());
    site.put_config(1, &config(1));
    let zones = ["ub-a", "ub-b", "ub-c", "ub-d"];
    for i in 0..6 {
        let (id, name) = (format!("i-{i}"), format!("sidecar-{i}"));
        let who = Identity { id: &id, service: SERVICES[i % 2], zone: zones[i % 4], version: "v1", slots: 6 };
        site.add(&who, &name);
    }
    let verdict = rounds(&site, record, trouble);
    site.end();
    verdict
}

fn rounds(site: &Site, record: &Record, trouble: bool) -> Verdict {
    if !site.wait_ready(Duration::from_secs(15)) {
        return Verdict::Failed("the nodes are not ready".into());
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut version = 1;
    for round in 1..=ROUNDS {
        record.say(&format!("round {round}"));
        match play_round(site, record, trouble, &mut version) {
            Verdict::Held => {}
            other => return other,
        }
    }
    Verdict::Held
}

/// Three changes of the configuration, with a drill of the store after the second.
fn play_round(site: &Site, record: &Record, trouble: bool, version: &mut u64) -> Verdict {
    *version += 1;
    site.put_config(*version, &config(*version));
    std::thread::sleep(Duration::from_millis(1800));
    *version += 1;
    let second = config(*version);
    site.put_config(*version, &second);
    std::thread::sleep(Duration::from_millis(150));
    if trouble {
        let (before, after) = site.store.drill(AWAY, COPY_AGE);
        record.say(&format!("the store was away for {AWAY:?} and came back from a copy: revision {before}, then {after}"));
        std::thread::sleep(Duration::from_millis(60));
        // What the operator wrote is written again.
        site.put_config(*version, &second);
    }
    std::thread::sleep(Duration::from_millis(200));
    *version += 1;
    site.put_config(*version, &config(*version));
    let acknowledged = Instant::now();
    // By then all machines have been in touch for longer than the bound, however far it is stretched.
    std::thread::sleep(STABLE + APPLY + STRETCH);
    let (old, total) = probe(site, *version);
    let age = acknowledged.elapsed().as_secs_f64();
    record.say(&format!(
        "up to {age:.1} s after version {version} was acknowledged, {old} of {total} requests on the route that it added got 404"
    ));
    match old {
        0 => Verdict::Held,
        _ => {
            std::thread::sleep(LATER);
            let (old, total) = probe(site, *version);
            let age = acknowledged.elapsed().as_secs_f64();
            record.say(&format!("up to {age:.1} s after the acknowledgement: {old} of {total}"));
            for i in 0..site.nodes.len() {
                for line in site.log_lines(i, &["version_adopted", "config_read_failed", "store_regained", "watching"]) {
                    record.line(&format!("log of {}: {line}", site.nodes[i].name));
                }
            }
            Verdict::Broken
        }
    }
}

/// Sends requests on the route that a version added at all nodes. Returns how many got 404, and how many were sent.
fn probe(site: &Site, version: u64) -> (u32, u32) {
    let (mut old, mut total) = (0, 0);
    for i in 0..site.nodes.len() {
        for _ in 0..3 {
            let path = format!("/added-{version}/x");
            let (_, answer) = site.send(i, "GET", HOST, &path, "", 800, b"");
            total += 1;
            old += u32::from(answer.is_some_and(|(status, _)| status == 404));
        }
    }
    (old, total)
}
