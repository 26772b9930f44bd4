//! Recovery after the store was restored from an older state, with separate processes.

mod workdir;

use workdir::{http, repo_file, wait_until, Ports, Workdir};

fn version(node: &Ports) -> u64 {
    let response = http(node.admin, "GET", "/status", &[], "").unwrap();
    let status: serde_json::Value = serde_json::from_str(&response.body).unwrap();
    status["version"].as_u64().unwrap()
}

fn store_calls(node: &Ports) -> f64 {
    let text = http(node.admin, "GET", "/metrics", &[], "").unwrap().body;
    let lines = text
        .lines()
        .filter(|l| l.starts_with("dq_store_calls_total"));
    lines
        .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Guards against an accepted version that is lost when the store is restored from an older state, against nodes that
/// go back to an older version, and against store calls that are not counted.
#[test]
fn watchers_republish_the_lost_version() {
    let dir = Workdir::new();
    let (_store, address) = dir.start_store();
    let store_address = address.to_string();
    let (_a, a) = dir.start_node("a1", "a", address, &[], "");
    let (_b, b) = dir.start_node("b1", "b", address, &[a.peer], "");
    let manifest = repo_file("examples/trust.toml");
    let text = std::fs::read_to_string(&manifest).unwrap();
    for (i, deadline) in ["1000", "1500", "1600"].iter().enumerate() {
        dir.write(&format!("{i}.toml"), &text.replace("1000", deadline));
    }
    let commit = |i: usize| {
        let base = i.to_string();
        let file = format!("{i}.toml");
        let out = dir.run(&[
            "commit",
            &file,
            "--base",
            &base,
            "--store",
            &store_address,
            "--json",
        ]);
        String::from_utf8(out.stdout).unwrap()
    };
    let post = |path: &str| http(address, "POST", path, &[], "").unwrap().status;
    let all_hold = |n| {
        wait_until("the version is in force", || {
            version(&a) == n && version(&b) == n
        })
    };
    assert!(commit(0).contains("\"accepted\""));
    all_hold(1);
    assert_eq!(post("/v1/save"), 204);
    let second = commit(1);
    let third = commit(2);
    all_hold(3);
    assert!(store_calls(&a) > 0.0);
    assert_eq!(post("/v1/restore"), 204);
    wait_until("the head is version 3 again", || {
        assert!(
            version(&a) == 3 && version(&b) == 3,
            "a node went back to an older version"
        );
        let get = r#"{"Get":"dq/trust/head"}"#;
        let head = workdir::http_json(address, "POST", "/v1/call", get).unwrap();
        let head: serde_json::Value = serde_json::from_str(&head.body).unwrap();
        let value = head["Entry"]["value"].as_array().unwrap();
        let value: Vec<_> = value.iter().map(|b| b.as_u64().unwrap() as u8).collect();
        let head: serde_json::Value = serde_json::from_slice(&value).unwrap();
        head["version"]["number"] == 3
    });
    assert_eq!(commit(2), third, "the rerun did not find its commit");
    assert!(second.contains("\"accepted\""));
    assert_eq!(
        commit(1),
        second,
        "the rerun did not find a commit whose record was lost"
    );
    assert!(commit(0).contains("\"accepted\""));
    all_hold(3);
}
