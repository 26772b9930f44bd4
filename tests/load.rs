//! The `load` command and its parts.

mod workdir;

use std::time::Duration;

use dragonflyquay::load::arrivals::Arrivals;
use dragonflyquay::load::report::{Ended, Recorder};
use workdir::Workdir;

/// Guards against a report whose columns or counts change unnoticed.
#[test]
fn report_text() {
    let mut r = Recorder::default();
    let deadline = Duration::from_millis(500);
    for i in 1..=1000 {
        r.sent("counter", Duration::from_micros(i / 10));
        let done = Ended {
            outcome: "done".into(),
            reason: None,
            success: true,
            latency: Duration::from_millis(i),
        };
        r.ended("counter", deadline, &done);
    }
    for _ in 0..3 {
        r.sent("samples", Duration::ZERO);
        let refused = Ended {
            outcome: "not-run".into(),
            reason: Some("queue-full".into()),
            ..Ended::default()
        };
        r.ended("samples", deadline, &refused);
    }
    r.over_limit("samples");
    insta::assert_snapshot!(r.report(7, Duration::from_secs(10)).to_string());
}

/// Guards against arrivals that differ between runs of one seed or that miss the asked rates.
#[test]
fn arrivals_follow_seed_and_rates() {
    let take = |seed| Arrivals::new(seed, vec![30.0, 0.0, 10.0]).take(20_000);
    let list: Vec<_> = take(5).collect();
    assert_eq!(list, take(5).collect::<Vec<_>>());
    assert_ne!(list, take(6).collect::<Vec<_>>());
    let share = |kind| list.iter().filter(|(_, k)| *k == kind).count();
    assert_eq!(share(1), 0);
    assert!((14_500..15_500).contains(&share(0)), "{}", share(0));
    let seconds = list.last().unwrap().0.as_secs_f64();
    assert!((480.0..520.0).contains(&seconds), "{seconds}");
}

/// Guards against load that leaves the machine by mistake.
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

/// Guards against a plan that is accepted without bounds or with unknown fields.
#[test]
fn bad_plans_are_refused() {
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

/// Guards against answers that are lost or counted under another label.
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
    let n = |rank: &str| ranks[rank]["outcomes"]["none"].as_u64().unwrap();
    assert_eq!(n("a") + n("b"), 60, "{json}");
    assert_eq!(n("a"), ranks["a"]["good"].as_u64().unwrap());
    assert!(n("b") > 0);
}

/// Guards against requests in flight above the limit, and against arrivals that vanish from the report at the limit.
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
    let r = &json["ranks"]["all"];
    let n = |v: &serde_json::Value| v.as_u64().unwrap_or(0);
    assert_eq!(n(&r["arrived"]), 500, "{json}");
    assert!(n(&r["over_limit"]) > 0, "{json}");
    assert_eq!(
        n(&r["over_limit"]) + n(&r["outcomes"]["none"]),
        500,
        "{json}"
    );
}
