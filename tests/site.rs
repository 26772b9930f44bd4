//! End-to-end test over separate processes: store stand-in, nodes, backend server, a commit and a request.

mod workdir;

use workdir::{http, repo_file, wait_until, Workdir};

/// Guards against a request that does not reach the backend server of a node in another availability zone.
#[test]
fn request_crosses_zones() {
    let dir = Workdir::new();
    let (_store, store) = dir.start_store();
    let (_a, a) = dir.start_node("a1", "a", store, &[], "");
    let (_b, b) = dir.start_node("b1", "b", store, &[a.peer], "");
    let admin = b.admin.to_string();
    let _backend = dir.start(&[
        "devbackend",
        "--service",
        "catalogue-desk",
        "--node",
        &admin,
    ]);
    let rejected = http(a.caller, "GET", "/catalogue/oak", &[], "").unwrap();
    assert_eq!(
        (rejected.status, rejected.header("dq-outcome")),
        (503, "not-run")
    );
    let store = store.to_string();
    let out = dir.run(&[
        "commit",
        &repo_file("examples/trust.toml"),
        "--base",
        "0",
        "--store",
        &store,
    ]);
    assert!(out.status.success(), "{out:?}");
    wait_until("request succeeds across zones", || {
        http(a.caller, "GET", "/catalogue/oak", &[], "").is_some_and(|r| r.status == 200)
    });
    let response = http(a.caller, "GET", "/catalogue/oak", &[], "").unwrap();
    assert_eq!(response.header("dq-outcome"), "done");
    assert_eq!(response.body, "GET /catalogue/oak\n");
}
