//! Tests of the command `explain`, on processes.

mod site_kit;
mod workdir;

use serde_json::{json, Value};
use site_kit::explain::{post, run, start, KEY};
use site_kit::{HOST, SERVICE};
use workdir::wait_until;

/// Guards against an API key in an answer, an error, the log or the output of the command.
#[test]
fn the_key_appears_nowhere() {
    let site = start(1);
    let n = &site.nodes[0];
    let mut texts = Vec::new();
    for key in [KEY, "unknown-key-77e2"] {
        let bodies = [
            json!({ "host": HOST, "path": "/safe/a", "key": key }),
            json!({ "host": HOST, "path": "/safe/a", "key": [key] }),
            json!({ "host": HOST, "path": "/safe/a", "tenant": { "a": key } }),
            json!({ "host": HOST, "path": "/safe/a", "timeout_ms": key }),
            json!({ "host": HOST, "path": "no path", "key": key }),
            json!({ "host": HOST, "path": "/safe/a", "key": key, "tenant": "t1" }),
            json!({ "host": HOST, "path": "/safe/a", key: key }),
        ];
        texts.extend(bodies.iter().map(|b| post(n, b).body));
        let given: [&[&str]; 4] = [
            &["--path", "/safe/a", "--key", key],
            &["--path", "/safe/a", "--key", "-"],
            &["--path", "/safe/a", "--key", "-", "--json"],
            &["--path", "/safe/a", "--key", key, "--tenant", "t1"],
        ];
        for args in given {
            let out = run(&site, n, args, &format!("{key}\n"));
            texts.push(String::from_utf8(out.stdout).unwrap());
            texts.push(String::from_utf8(out.stderr).unwrap());
        }
    }
    let found = texts.iter().filter(|t| t.contains("tenant   t1")).count();
    assert_eq!(found, 2, "the key was used: {texts:#?}");
    texts.extend(n.process.lines());
    for text in texts {
        let leaked = text.contains(KEY) || text.contains("unknown-key-77e2");
        assert!(!leaked, "{text}");
    }
}

/// Guards against a key on standard input that is missing or cut off and then looks unknown.
#[test]
fn an_unusable_key_on_standard_input_is_a_usage_error() {
    const MAX_KEY_BYTES: usize = 8 << 10;
    let site = start(1);
    let n = &site.nodes[0];
    let args = ["--path", "/safe/a", "--key", "-"];
    let long = "k".repeat(MAX_KEY_BYTES + 1);
    for (input, code) in [("", 2), ("\n", 2), (&*long, 2), (KEY, 0)] {
        let out = run(&site, n, &args, input);
        assert_eq!(out.status.code(), Some(code), "{out:?}");
    }
}

/// Guards against a command whose output lacks a part of the answer, or whose exit code is wrong.
#[test]
fn the_command_prints_the_answer() {
    let site = start(1);
    let n = &site.nodes[0];
    let out = run(&site, n, &["--path", "/safe/a", "--tenant", "t2"], "");
    assert_eq!(out.status.code(), Some(0), "{out:?}");
    let text = String::from_utf8(out.stdout).unwrap();
    let wanted = [
        "request  GET h.example/safe/a\n",
        "node     n0 in az0, serving\n",
        "version  1, confirmed ",
        "route    safe /safe/, idempotent, time limit 5000 ms, objective 4000 ms\n",
        "tenant   t2, priority 1\n",
        "rank     1\n",
        "quota    0.1/s, burst 2; here ",
        "service  svc\n",
        "retries  ",
        "  node  zone  target  version  state",
        "  n0    az0   i-0     v1       chosen",
        "result   sent to n0\n",
    ];
    for line in wanted {
        assert!(text.contains(line), "no {line:?} in {text}");
    }
    let out = run(&site, n, &["--path", "/absent/a", "--method", "POST"], "");
    let text = String::from_utf8(out.stdout).unwrap();
    assert_eq!(out.status.code(), Some(0), "{text}");
    assert!(text.contains("request  POST"), "{text}");
    let rejected = "result   rejected: no-target, status 503, retry after 150 ms\n";
    assert!(text.contains(rejected), "{text}");
    let order = format!(r#"{{"service":"{SERVICE}","to_version":"v2","duration_s":60}}"#);
    site.store.put("op/rollout/svc", order.as_bytes());
    wait_until("a rollout", || {
        let out = run(&site, n, &["--path", "/open/a"], "");
        String::from_utf8_lossy(&out.stdout).contains(" to v2, step ")
    });
    let out = run(&site, n, &["--path", "/split/a", "--json"], "");
    let answer: Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!(answer["route"]["services"][1]["weight"], 1, "{answer}");
    let cases: [(&[&str], i32); 4] = [
        (&["--path", "/safe/a", "--tenant", "t9"], 3),
        (&["--path", "/safe/a", "--tenant", "t1", "--key", "k"], 2),
        (&["--path", "/safe/a", "--timeout-ms", "x"], 2),
        (&[], 2),
    ];
    for (args, code) in cases {
        let out = run(&site, n, args, "");
        assert_eq!(out.status.code(), Some(code), "{args:?}: {out:?}");
    }
}

/// Guards against a command that hangs, or reports success, where no node answers.
#[test]
fn a_node_that_is_gone_is_reported() {
    let mut site = start(1);
    site.nodes[0].process.kill();
    let out = run(&site, &site.nodes[0], &["--path", "/safe/a"], "");
    assert_eq!(out.status.code(), Some(6), "{out:?}");
}
