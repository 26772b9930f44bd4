//! Entries of other writers among those that the nodes keep in the store.

mod site_kit;
mod workdir;

use site_kit::{config, Site};
use workdir::{http_json, wait_until};

/// A node record in which a test replaces one value.
const RECORD: &str = r#"{"node":"n8","incarnation":5,"sequence":0,"az":"az8","relay":"127.0.0.1:9","service":"svc","target":null,"leaving":false,"link_mbps":10}"#;

/// Odd records with the key of a node: nested, with a number that is too large, with a port out of range, of another node,
/// of another type, or not readable.
fn odd_records(node: &str) -> Vec<Vec<u8>> {
    let record = RECORD.replace("\"n8\"", &format!("{node:?}"));
    let with = |from: &str, to: &str| record.replace(from, to).into_bytes();
    let nested = "[".repeat(100_000);
    let max = u64::MAX.to_string();
    vec![
        nested.clone().into_bytes(),
        with("null", &nested),
        with(
            "\"leaving\":false",
            &format!("\"leaving\":false,\"x\":{nested}"),
        ),
        with("\"incarnation\":5", &format!("\"incarnation\":{max}")),
        with("\"incarnation\":5", "\"incarnation\":1e400"),
        with(
            "\"incarnation\":5",
            "\"incarnation\":99999999999999999999999",
        ),
        with("\"sequence\":0", &format!("\"sequence\":{max}")),
        with("127.0.0.1:9", "127.0.0.1:99999"),
        with("127.0.0.1:9", "somewhere"),
        with(&format!("{node:?}"), "\"n9\""),
        with("\"svc\"", "7"),
        b"\xff\xfe\x00".to_vec(),
        Vec::new(),
    ]
}

/// Guards against an odd heartbeat that ends the process or changes the state of the target.
#[test]
fn odd_heartbeats_change_nothing() {
    let site = Site::start(1);
    let n = &site.nodes[0];
    let beat =
        r#"{"service":"svc","address":"127.0.0.1:9","slots":4,"state":"ready","seq":1,"born":1}"#;
    let nested = "[".repeat(60_000);
    for body in [
        nested.clone(),
        beat.replace("\"born\":1", &format!("\"x\":{nested}")),
        beat.replace("\"seq\":1", "\"seq\":1e400"),
        beat.replace("\"slots\":4", "\"slots\":99999999999"),
        beat.replace("127.0.0.1:9", "127.0.0.1:99999"),
        beat.replace("\"born\":1", "\"born\":-1"),
    ] {
        let res = http_json(n.control, "PUT", "/api/instances/i-0", &body).unwrap();
        assert_eq!(res.status, 400, "{}", &body[..body.len().min(100)]);
    }
    assert_eq!(n.send("GET", "/safe/x").unwrap().status, 200);
}

/// Guards against an odd entry that ends the processes that read the list of nodes, or that stops them from following it.
#[test]
fn odd_entries_of_other_writers_change_nothing() {
    let mut site = Site::empty();
    site.store.put_config(&config(1, ""));
    for (i, record) in odd_records("n8").iter().enumerate() {
        site.store.put(&format!("dq/node/odd-{i}"), record);
    }
    site.store.put("dq/node/", b"{}");
    site.store.put("dq/left/", b"x");
    site.store.put("dq/left/i-0", b"not a number");
    site.add_node(0).wait_ready();
    // Nested, with the greatest incarnation, and with a port out of range.
    for record in [0, 3, 7].map(|i| odd_records("n0").remove(i)) {
        let key = "dq/node/n0";
        let own = site.store.value(key).unwrap();
        site.store.put(key, &record);
        // The node writes its record again with its next listing, which it makes earlier after the lease is lost.
        site.store.store.expire_leases();
        wait_until("the own record is back", || {
            let now = site.store.value(key);
            now.is_some_and(|v| v != record && v.len() < own.len() + 40)
        });
    }
    site.add_node(1).wait_ready();
    site.wait_linked();
    for n in &mut site.nodes {
        assert_eq!(n.send("GET", "/safe/x").unwrap().status, 200);
        assert_eq!(n.process.exit_code(), None);
    }
}
