//! Tenants and API keys, on processes.

mod site_kit;
mod workdir;

use site_kit::store::Faults;
use site_kit::{config, fresh_id, Node, Site, HOST, SERVICE};
use workdir::{http, wait_until, Response};

/// Configuration with the tenants `t1` (keys `k1` and `k2`) and `t2` (no key unless `more` has some), and a route
/// `/open/` that needs no key.
fn tenants(version: u64, keys: &str, more: &str) -> String {
    let open = format!(
        r#",{{"name":"open","prefix":"/open/","route_type":"safe","timeout_ms":5000,"priority":1,"service":"{SERVICE}","auth_exempt":true}}"#
    );
    let tenant = |name: &str, keys: &str| {
        format!(r#"{{"name":"{name}","api_keys":[{keys}],"priority":1,"rate_per_s":0}}"#)
    };
    let list = format!(
        r#"{{"version":{version},"tenants":[{},{}],"#,
        tenant("t1", keys),
        tenant("t2", more)
    );
    config(version, &open).replacen(&format!(r#"{{"version":{version},"#), &list, 1)
}

fn send(n: &Node, path: &str, extra: &[(&str, &str)]) -> (String, Option<Response>) {
    let id = fresh_id();
    let mut headers = vec![
        ("dragonflyquay-request-id", id.as_str()),
        ("dragonflyquay-deadline-ms", "4000"),
        ("host", HOST),
    ];
    headers.extend_from_slice(extra);
    let response = http(n.caller, "GET", path, &headers, "");
    (id, response)
}

fn status(n: &Node, path: &str, key: &str) -> u16 {
    let value = format!("Bearer {key}");
    let (_, response) = send(n, path, &[("authorization", &value)]);
    response.map_or(0, |r| r.status)
}

/// Starts two nodes and a configuration with two keys of one tenant and one of another.
fn tenant_site() -> Site {
    let mut site = Site::empty();
    site.store
        .put_config(&tenants(1, r#""k1","k2""#, r#""k3""#));
    for i in 0..2 {
        site.add_node(i);
    }
    site.nodes.iter().for_each(Node::wait_ready);
    site.wait_linked();
    site
}

/// Guards against requests that run under a tenant that the caller chose, and against keys that reach a target.
#[test]
fn targets_get_the_tenant_of_the_key_and_never_the_key() {
    let site = tenant_site();
    let cases = [
        ("/safe/a", vec![("authorization", "Bearer k1")], "t1"),
        (
            "/safe/b",
            vec![
                ("authorization", "bearer k3"),
                ("dragonflyquay-tenant", "t1"),
            ],
            "t2",
        ),
        (
            "/open/c",
            vec![
                ("authorization", "Bearer k1"),
                ("dragonflyquay-tenant", "t1"),
            ],
            "",
        ),
        ("/open/d", vec![], ""),
    ];
    for n in &site.nodes {
        for (path, headers, tenant) in &cases {
            // Enough requests for both targets.
            for _ in 0..4 {
                let (id, response) = send(n, path, headers);
                assert_eq!(response.unwrap().status, 200, "{path}");
                let received = site
                    .nodes
                    .iter()
                    .flat_map(|n| n.target.received.lock().unwrap().clone())
                    .find(|r| r.id == id)
                    .expect("the request has run");
                assert_eq!(received.tenant, *tenant, "{path}");
                assert_eq!(received.authorization, "", "{path}");
            }
        }
    }
}

/// Guards against requests that run without a valid key, and against a 401 before there is a configuration.
#[test]
fn unknown_keys_are_refused() {
    let mut site = Site::empty();
    site.add_node(0);
    let n = &site.nodes[0];
    assert_eq!(status(n, "/safe/a", "k1"), 503);
    site.store.put_config(&tenants(1, r#""k1""#, ""));
    n.wait_ready();
    wait_until("a served request", || status(n, "/safe/a", "k1") == 200);
    assert_eq!(status(n, "/safe/a", "k2"), 401);
    assert_eq!(send(n, "/safe/a", &[]).1.unwrap().status, 401);
    let two = [
        ("authorization", "Bearer k1"),
        ("authorization", "Bearer k1"),
    ];
    assert_eq!(send(n, "/safe/a", &two).1.unwrap().status, 401);
    assert_eq!(
        send(n, "/safe/a", &[("authorization", "Basic k1")])
            .1
            .unwrap()
            .status,
        401
    );
}

/// Guards against keys that are still accepted after a version withdrew them or gave them to another tenant, also the
/// last key of a tenant, and against keys of a new version that are refused.
#[test]
fn keys_change_with_the_version() {
    let site = tenant_site();
    assert_eq!(status(&site.nodes[1], "/safe/a", "k3"), 200);
    site.store.put_config(&tenants(2, r#""k2","k4""#, ""));
    for n in &site.nodes {
        wait_until("the new version", || status(n, "/safe/a", "k4") == 200);
        assert_eq!(status(n, "/safe/a", "k1"), 401);
        assert_eq!(status(n, "/safe/a", "k2"), 200);
        assert_eq!(status(n, "/safe/a", "k3"), 401);
    }
}

/// Guards against a 401, which callers do not retry, from a node that cannot know whether its version is current.
#[test]
fn a_node_without_confirmation_does_not_say_that_a_key_is_unknown() {
    let mut site = Site::empty();
    site.store.put_config(&tenants(1, r#""k1""#, ""));
    site.add_node(0);
    let n = &site.nodes[0];
    n.wait_ready();
    wait_until("a served request", || status(n, "/safe/a", "k1") == 200);
    site.store.set_faults(Faults {
        unavailable: true,
        ..Faults::default()
    });
    wait_until("an unconfirmed version", || {
        status(n, "/safe/a", "k2") == 503
    });
    assert_eq!(status(n, "/safe/a", "k1"), 200);
}
