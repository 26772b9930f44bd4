//! Queries that explain routing decisions, and a site to ask.

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Output, Stdio};

use serde_json::{json, Value};

use super::super::workdir::{http, http_json, Response};
use super::{config, fresh_id, Node, Site, HOST, SERVICE};

/// A key that no other text contains.
pub const KEY: &str = "key-4f1d9c";
/// Key of a tenant with a small quota, which no other text contains either.
pub const SMALL_KEY: &str = "key-83ab02";

/// Configuration with the tenants `t1` (no quota) and `t2` (a small one), a route `/open/` without a key, `/absent/` of a
/// service without targets, and `/split/` whose requests go to both services in turn.
pub fn tenants() -> String {
    let route = |name: &str, service: &str| {
        format!(
            r#",{{"name":"{name}","prefix":"/{name}/","route_type":"safe","timeout_ms":5000,"priority":1,{service},"auth_exempt":true}}"#
        )
    };
    let split = format!(
        r#""backends":[{{"service":"{SERVICE}","weight":1}},{{"service":"none","weight":1}}]"#
    );
    let more = [
        route("open", &format!(r#""service":"{SERVICE}""#)),
        route("absent", r#""service":"none""#),
        route("split", &split),
    ];
    let tenants = format!(
        r#"{{"version":1,"tenants":[{{"name":"t1","api_keys":["{KEY}"],"priority":2,"rate_per_s":0}},{{"name":"t2","api_keys":["{SMALL_KEY}"],"priority":1,"rate_per_s":0.1,"burst":2}}],"#
    );
    let service = r#""services":[{"name":"none","health_path":"/health","max_connections":100,"protocol":"h1","tls":false},"#;
    config(1, &more.concat())
        .replacen(r#"{"version":1,"#, &tenants, 1)
        .replacen(r#""services":["#, service, 1)
}

/// A site whose nodes have the configuration [`tenants`].
pub fn start(nodes: usize) -> Site {
    let mut site = Site::empty();
    site.store.put_config(&tenants());
    for i in 0..nodes {
        site.add_node(i);
    }
    site.nodes.iter().for_each(Node::wait_ready);
    site.wait_linked();
    site
}

pub fn post(n: &Node, query: &Value) -> Response {
    http_json(n.admin, "POST", "/explain", &query.to_string()).expect("a response")
}

/// Asks a node about a `GET` request for a path, with more fields.
pub fn explain(n: &Node, path: &str, more: &Value) -> Value {
    let mut query = json!({ "host": HOST, "path": path });
    let fields = query.as_object_mut().unwrap();
    fields.extend(more.as_object().cloned().unwrap_or_default());
    let response = post(n, &query);
    assert_eq!(response.status, 200, "{}", response.body);
    serde_json::from_str(&response.body).unwrap()
}

/// Sends a request. Returns its id and the response.
pub fn send(n: &Node, path: &str, key: &str, timeout_ms: &str) -> (String, Response) {
    send_to(n.caller, path, key, timeout_ms)
}

pub fn send_to(caller: SocketAddr, path: &str, key: &str, timeout_ms: &str) -> (String, Response) {
    let (id, key) = (fresh_id(), format!("Bearer {key}"));
    let headers = [
        ("dragonflyquay-request-id", id.as_str()),
        ("dragonflyquay-deadline-ms", timeout_ms),
        ("host", HOST),
        ("authorization", key.as_str()),
    ];
    let response = http(caller, "GET", path, &headers, "");
    (id, response.expect("a response"))
}

/// Runs the command against a node, with this text on standard input.
pub fn run(site: &Site, n: &Node, args: &[&str], input: &str) -> Output {
    let admin = n.admin.to_string();
    let mut all = vec!["explain", "--node", &admin, "--host", HOST];
    all.extend_from_slice(args);
    let mut command = site.dir.command(&all);
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut stdin = child.stdin.take().unwrap();
    // A command that does not read its input may have ended.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().unwrap()
}

pub fn state_of<'a>(answer: &'a Value, node: &str) -> &'a Value {
    let targets = answer["targets"].as_array().unwrap();
    let found = targets.iter().find(|t| t["node"] == node);
    &found.unwrap_or_else(|| panic!("no {node}: {answer}"))["state"]
}
