//! Tests of the `load` command and its modules.

mod workdir;

use std::time::Duration;

use dragonflyquay::load::arrivals::Arrivals;
use dragonflyquay::load::report::{Completion, Recorder};
use workdir::Workdir;

/// Guards against a report whose columns or counts change unnoticed.
#[test]
fn report_text() {
    let mut recorder = Recorder::default();
    let deadline = Duration::from_millis(500);
    for i in 1..=1000 {
        recorder.record_sent("counter", Duration::from_micros(i / 10));
        let done = Completion {
            outcome: "done".into(),
            reason: None,
            success: true,
            latency: Duration::from_millis(i),
        };
        recorder.record_completion("counter", deadline, &done);
    }
    for _ in 0..3 {
        recorder.record_sent("samples", Duration::ZERO);
        let rejected = Completion {
            outcome: "not-run".into(),
            reason: Some("queue-full".into()),
            ..Completion::default()
        };
        recorder.record_completion("samples", deadline, &rejected);
    }
    recorder.record_over_limit("samples");
    insta::assert_snapshot!(recorder.report(7, Duration::from_secs(10)).to_string());
}

/// Guards against arrivals that differ between runs with the same seed or that deviate from the configured rates.
#[test]
fn arrivals_follow_seed_and_rates() {
    let arrivals = |seed| Arrivals::new(seed, vec![30.0, 0.0, 10.0]).take(20_000);
    let list: Vec<_> = arrivals(5).collect();
    assert_eq!(list, arrivals(5).collect::<Vec<_>>());
    assert_ne!(list, arrivals(6).collect::<Vec<_>>());
    let count = |kind| list.iter().filter(|(_, k)| *k == kind).count();
    assert_eq!(count(1), 0);
    assert!((14_500..15_500).contains(&count(0)), "{}", count(0));
    let seconds = list.last().unwrap().0.as_secs_f64();
    assert!((480.0..520.0).contains(&seconds), "{seconds}");
}

/// Guards against load that is sent to another machine by mistake.
#[test]
fn remote_targets_are_refused() {
    let dir = Workdir::new();
    let out = dir.run(&[
        "load",
        "--target",
        "192.0.2.1:80",
        "--path",
        "/",
        "--requests",
        "1",
    ]);
    assert_eq!(out.status.code(), Some(3), "{out:?}");
    assert!(String::from_utf8_lossy(&out.stderr).contains("--allow-remote"));
}

/// Guards against a plan that is accepted with values out of range or with unknown fields.
#[test]
fn invalid_plans_are_refused() {
    let dir = Workdir::new();
    for text in [
        "requests = 0\n[[request]]\n",
        "speed = 1\n",
        "[[request]]\nrate = -1.0\n",
    ] {
        dir.write("plan.toml", text);
        let out = dir.run(&["load", "--target", "127.0.0.1:9", "--plan", "plan.toml"]);
        assert_eq!(out.status.code(), Some(3), "{text}: {out:?}");
    }
}

/// Guards against responses that are lost or counted under another rank label.
#[test]
fn counts_every_request() {
    let dir = Workdir::new();
    let backend = dir.start(&["devbackend", "--service", "s", "--node", "127.0.0.1:9"]);
    let line = backend.wait_line("listening ");
    let address = line.trim_start_matches("listening ");
    dir.write(
        "plan.toml",
        "requests = 60\n[[request]]\npath = \"/a/{n}\"\nrank = \"a\"\nrate = 200.0\n\
         [[request]]\nmethod = \"POST\"\nrank = \"b\"\nrate = 100.0\nkey = \"per-request\"\n",
    );
    let out = dir.run(&["load", "--target", address, "--plan", "plan.toml", "--json"]);
    assert!(out.status.success(), "{out:?}");
    let json: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    let ranks = &json["ranks"];
    let completed = |rank: &str| ranks[rank]["outcomes"]["none"].as_u64().unwrap();
    assert_eq!(completed("a") + completed("b"), 60, "{json}");
    assert_eq!(completed("a"), ranks["a"]["good"].as_u64().unwrap());
    assert!(completed("b") > 0);
}

/// Guards against more requests in flight than the limit, and against arrivals that are missing from the report because
/// of the limit.
#[test]
fn arrivals_above_the_limit_are_counted() {
    let dir = Workdir::new();
    let backend = dir.start(&["devbackend", "--service", "s", "--node", "127.0.0.1:9"]);
    let line = backend.wait_line("listening ");
    let address = line.trim_start_matches("listening ");
    let args = [
        "load",
        "--target",
        address,
        "--path",
        "/",
        "--rate",
        "100000",
        "--requests",
        "500",
    ];
    let out = dir.run(&[&args[..], &["--in-flight", "1", "--json"]].concat());
    let json: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    let all = &json["ranks"]["all"];
    let count = |v: &serde_json::Value| v.as_u64().unwrap_or(0);
    assert_eq!(count(&all["arrived"]), 500, "{json}");
    assert!(count(&all["over_limit"]) > 0, "{json}");
    assert_eq!(
        count(&all["over_limit"]) + count(&all["outcomes"]["none"]),
        500,
        "{json}"
    );
}
