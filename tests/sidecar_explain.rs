//! Explanations of routing decisions, on processes.

mod site_kit;
mod workdir;

use std::sync::Arc;

use serde_json::{json, Value};
use site_kit::explain::{explain, post, send, send_to, start, state_of, tenants, KEY, SMALL_KEY};
use site_kit::store::Faults;
use site_kit::target::Target;
use site_kit::{Node, Site, HOST, SERVICE};
use workdir::{http, http_json, wait_until};

/// Node that ran a request.
fn runner(site: &Site, id: &str) -> Option<String> {
    let ran = |n: &&Node| n.target.runs(id) > 0;
    let found = site.nodes.iter().position(|n| ran(&n));
    found.map(|i| format!("n{i}"))
}

/// Checks that a query and a request get the same rejection. Returns the answer of the query.
fn assert_rejected(n: &Node, path: &str, key: &str, reason: &str, status: u16) -> Value {
    let answer = explain(n, path, &json!({ "key": key }));
    let result = &answer["result"];
    assert_eq!(result["reason"], reason, "{answer}");
    assert_eq!(result["status"], status, "{answer}");
    assert_eq!(result["node"], Value::Null);
    let (_, response) = send(n, path, key, "4000");
    assert_eq!(response.status, status, "{}", response.body);
    assert!(response.body.contains(reason), "{}", response.body);
    let told = !response.header("retry-after").is_empty();
    assert_eq!(result["retry_after_ms"].is_u64(), told, "{answer}");
    answer
}

/// Guards against a query that decides by other rules than requests: the request goes to the node that the query names, and
/// the answer shows why the others were excluded.
#[test]
fn a_request_goes_where_the_query_says() {
    let mut site = start(4);
    site.nodes[3].process.kill();
    for i in [0, 2] {
        site.nodes[i].target.state.lock().unwrap().reported = "draining";
    }
    let n = &site.nodes[0];
    let states = |a: &Value| ["n0", "n1", "n2", "n3"].map(|node| state_of(a, node).clone());
    let expected = ["not-ready", "chosen", "not-ready", "unreachable"];
    wait_until("one usable target", || {
        states(&explain(n, "/safe/a", &json!({ "key": KEY }))) == expected
    });
    let a = explain(n, "/safe/a", &json!({ "key": KEY }));
    assert_eq!(a["result"]["node"], "n1", "{a}");
    assert_eq!(a["node"], "n0");
    assert_eq!(a["version"], 1);
    assert_eq!(a["phase"], "serving");
    assert_eq!(a["route"]["name"], "safe");
    assert_eq!(a["route"]["idempotent"], true);
    assert_eq!(a["route"]["public"], false);
    assert_eq!(a["service"], SERVICE);
    assert_eq!(a["tenant"], json!({ "name": "t1", "rank": 2 }));
    assert_eq!(a["rank"], 2);
    assert_eq!(a["quota"], Value::Null);
    assert_eq!(a["time_limit_ms"], 5000);
    assert!(a["retries_left"].as_f64().unwrap() > 0.0, "{a}");
    let by_name = json!({ "tenant": "t1", "timeout_ms": 700 });
    let by_name = explain(n, "/safe/a", &by_name);
    assert_eq!(by_name["result"]["node"], "n1");
    assert_eq!(by_name["time_limit_ms"], 700);
    for _ in 0..5 {
        let (id, response) = send(n, "/safe/a", KEY, "4000");
        assert_eq!(response.status, 200);
        assert_eq!(runner(&site, &id).as_deref(), Some("n1"));
    }
}

/// Lines of the metrics that requests change.
fn request_metrics(n: &Node) -> String {
    let names = [
        "requests_total",
        "refusals_total",
        "retries_total",
        "attempts_total",
        "request_seconds",
        "attempt_seconds",
        "quota_units_total",
        "quota_rate",
        "queued_requests",
        "in_flight",
        "target_pace",
        "upload_bytes",
    ];
    let text = http(n.admin, "GET", "/metrics", &[], "").unwrap().body;
    let kept = text
        .lines()
        .filter(|l| !l.starts_with('#') && names.iter().any(|n| l.contains(n)));
    kept.collect::<Vec<_>>().join("\n")
}

/// Guards against a query that takes a unit of a quota, advances the split of a route, is counted as a request, reaches a
/// target, or leaves a back-off or a retry behind.
#[test]
fn queries_have_no_side_effects() {
    let site = start(2);
    let n = &site.nodes[0];
    // The first request of a route sets the state of its split.
    let (_, first) = send(n, "/split/a", KEY, "4000");
    send(n, "/safe/a", KEY, "4000");
    let small = json!({ "key": SMALL_KEY });
    wait_until("a unit", || {
        explain(n, "/safe/a", &small)["quota"]["verdict"] == "granted"
    });
    let calls = |site: &Site| {
        let received = site
            .nodes
            .iter()
            .map(|n| n.target.received.lock().unwrap().len());
        received.sum::<usize>()
    };
    let before = (request_metrics(n), calls(&site));
    let quota = explain(n, "/safe/a", &small)["quota"].clone();
    let next = match first.status {
        200 => "none",
        _ => SERVICE,
    };
    let retries_left = |n| {
        explain(n, "/safe/a", &small)["retries_left"]
            .as_f64()
            .unwrap()
    };
    let retries = retries_left(n);
    for _ in 0..100 {
        let split = explain(n, "/split/a", &json!({}));
        assert_eq!(split["service"], next);
        let services = split["route"]["services"].as_array().unwrap();
        assert_eq!(services.len(), 2, "{split}");
        let limited = explain(n, "/safe/a", &small);
        assert_eq!(limited["quota"]["verdict"], "granted", "{limited}");
        let units = limited["quota"]["units"].as_f64().unwrap();
        assert!(units >= quota["units"].as_f64().unwrap(), "{limited}");
        for target in limited["targets"].as_array().unwrap() {
            assert_eq!(target["back_off_ms"], 0, "{limited}");
            assert_eq!(target["running"], 0, "{limited}");
        }
        explain(n, "/absent/a", &json!({}));
        explain(n, "/safe/a", &json!({ "key": "unknown", "upload": true }));
    }
    assert_eq!((request_metrics(n), calls(&site)), before);
    // The budget grows a little with each request in its window; a retry would take a whole one.
    let taken = retries - retries_left(n);
    assert!(taken.abs() < 0.5, "{taken}");
    let expected = match next {
        SERVICE => 200,
        _ => 503,
    };
    assert_eq!(send(n, "/split/a", KEY, "4000").1.status, expected);
}

/// Guards against an answer that depends on the store or on other nodes.
#[test]
fn a_node_answers_while_the_store_and_all_links_are_down() {
    let mut site = start(2);
    site.store.set_faults(Faults {
        unavailable: true,
        ..Faults::default()
    });
    site.nodes[1].process.kill();
    let n = &site.nodes[0];
    wait_until("a lost link", || n.status().contains(r#""links":0"#));
    let answer = explain(n, "/safe/a", &json!({ "key": KEY }));
    assert_eq!(answer["result"]["node"], "n0", "{answer}");
    assert!(answer["confirmed_ms"].is_u64(), "{answer}");
    // Requests do not learn that a key is unknown while the version cannot be confirmed, and neither do queries.
    wait_until("an unconfirmed version", || {
        explain(n, "/safe/a", &json!({ "key": "unknown" }))["result"]["reason"] == "unconfirmed"
    });
    assert_rejected(n, "/safe/a", "unknown", "unconfirmed", 503);
}

/// Guards against a rejection that the query reports with another reason, status or Retry-After than the request gets.
#[test]
fn rejections_are_those_of_requests() {
    let mut site = Site::empty();
    // Without slack, a quota that is spent stays so for seconds.
    site.add_node_with(0, "quota_slack = 0.0\n");
    let n = &site.nodes[0];
    wait_until("an answer", || {
        http(n.admin, "GET", "/status", &[], "").is_some()
    });
    let none = assert_rejected(n, "/safe/a", KEY, "no-version", 503);
    assert_eq!(
        (&none["version"], &none["route"]),
        (&json!(0), &Value::Null)
    );
    site.store.put_config(&tenants());
    n.wait_ready();
    site.wait_linked();
    assert_rejected(n, "/nowhere/a", KEY, "no-route", 404);
    let unknown = assert_rejected(n, "/safe/a", "unknown", "unknown-key", 401);
    assert_eq!(unknown["tenant"], Value::Null);
    let absent = assert_rejected(n, "/absent/a", KEY, "no-target", 503);
    assert_eq!(absent["targets"], json!([]));
    let open = explain(n, "/open/a", &json!({}));
    assert_eq!(open["result"]["node"], "n0", "{open}");
    wait_until("a spent quota", || {
        send(n, "/safe/a", SMALL_KEY, "4000").1.status == 429
    });
    let answer = assert_rejected(n, "/safe/a", SMALL_KEY, "quota", 429);
    assert_eq!(answer["quota"]["verdict"], "refused", "{answer}");
    assert_eq!(answer["quota"]["rate"], 0.1);
    assert_eq!(state_of(&answer, "n0"), "compared", "{answer}");
    site.nodes[0].target.state.lock().unwrap().reported = "draining";
    let n = &site.nodes[0];
    wait_until("no ready target", || {
        explain(n, "/safe/a", &json!({ "key": KEY }))["result"]["reason"] == "no-target"
    });
    let answer = assert_rejected(n, "/safe/a", KEY, "no-target", 503);
    assert_eq!(state_of(&answer, "n0"), "not-ready", "{answer}");
}

/// Guards against a query that names a target that would reject the request because all slots are occupied.
#[test]
fn a_full_target_rejects_a_query_as_it_rejects_requests() {
    let mut site = Site::empty();
    site.store.put_config(&tenants());
    let target = Arc::new(Target::start("i-0"));
    target.state.lock().unwrap().slots = 1;
    site.nodes.push(site.start_node("n0", "az0", target));
    let n = &site.nodes[0];
    n.wait_ready();
    site.wait_linked();
    n.target.state.lock().unwrap().held = true;
    let caller = n.caller;
    std::thread::scope(|s| {
        // Two requests: one occupies the slot and the other one waits for it.
        for _ in 0..2 {
            s.spawn(move || send_to(caller, "/safe/hold", KEY, "4900"));
        }
        wait_until("a running and a waiting request", || {
            n.status().contains(r#""queued":2"#)
        });
        // Load reports change meanwhile, and with them the reason.
        wait_until("the same rejection", || {
            let query = json!({ "key": KEY, "timeout_ms": 200 });
            let answer = explain(n, "/safe/a", &query);
            let reason = answer["result"]["reason"].as_str().unwrap_or_default();
            assert!(["queue-full", "held-off"].contains(&reason), "{answer}");
            assert_eq!(answer["result"]["status"], 503);
            let (id, response) = send(n, "/safe/a", KEY, "200");
            assert_eq!(response.status, 503, "{}", response.body);
            assert_eq!(n.target.runs(&id), 0);
            response.body.contains(reason)
        });
        n.target.state.lock().unwrap().held = false;
    });
}

/// Guards against a query that ignores the rollout of a service: the target of the new version gets no request before its
/// order allows it.
#[test]
fn a_rollout_excludes_targets() {
    let mut site = start(1);
    let target = Arc::new(Target::start("i-1"));
    target.state.lock().unwrap().version = "v2";
    let order = format!(r#"{{"service":"{SERVICE}","to_version":"v2","duration_s":60}}"#);
    site.store.put("op/rollout/svc", order.as_bytes());
    wait_until("the order", || {
        site.nodes[0].status().contains(r#""to":"v2""#)
    });
    site.nodes.push(site.start_node("n1", "az1", target));
    site.wait_linked();
    let n = &site.nodes[0];
    wait_until("a request for the old version", || {
        let a = explain(n, "/safe/a", &json!({ "key": KEY }));
        let states = a["targets"].as_array().unwrap().len();
        states == 2 && state_of(&a, "n1") == "rollout" && a["result"]["node"] == "n0"
    });
    let answer = explain(n, "/safe/a", &json!({ "key": KEY }));
    assert_eq!(answer["rollout"]["to"], "v2", "{answer}");
    assert!(
        answer["rollout"]["share"].as_f64().unwrap() < 1.0,
        "{answer}"
    );
}

/// Guards against a node that does not say that it is stopping, or answers no query until its end.
#[test]
fn a_stopping_node_says_so() {
    let site = start(1);
    let n = &site.nodes[0];
    n.target.state.lock().unwrap().held = true;
    let caller = n.caller;
    let held = std::thread::spawn(move || send_to(caller, "/safe/hold", KEY, "4900"));
    wait_until("a running request", || n.status().contains(r#""queued":1"#));
    n.process.signal("TERM");
    wait_until("the stop", || {
        explain(n, "/safe/a", &json!({ "key": KEY }))["phase"] != "serving"
    });
    n.target.state.lock().unwrap().held = false;
    held.join().unwrap();
}

/// Guards against bodies that take memory, end the connection without an answer or are taken for a query, and against other
/// methods.
#[test]
fn bad_queries_are_refused() {
    let site = start(1);
    let n = &site.nodes[0];
    let long = json!({ "host": HOST, "path": format!("/{}", "a".repeat(20_000)) }).to_string();
    let bodies = [
        long.as_str(),
        "",
        "no json",
        "[]",
        r#"{"host":"h"}"#,
        r#"{"host":"h","path":"relative"}"#,
        r#"{"host":"h","path":"/","method":"a b"}"#,
        r#"{"host":"h","path":"/","more":1}"#,
        r#"{"host":"h","path":"/","timeout_ms":-1}"#,
    ];
    for body in bodies {
        let response = http_json(n.admin, "POST", "/explain", body).expect("a response");
        assert_eq!(response.status, 400, "{body}: {}", response.body);
        let answer: Value = serde_json::from_str(&response.body).unwrap();
        assert!(answer["message"].is_string(), "{answer}");
    }
    for method in ["GET", "PUT", "DELETE"] {
        let response = http(n.admin, method, "/explain", &[], "").unwrap();
        assert_eq!(response.status, 405, "{method}");
    }
    let unknown = json!({ "host": HOST, "path": "/safe/a", "tenant": "t9" });
    assert_eq!(post(n, &unknown).status, 404);
}
