//! Format of log lines.

mod workdir;

use std::time::{Duration, UNIX_EPOCH};

use dragonflyquay::logging::{write_pair, write_time_and_level, LineRate, MAX_LINES_PER_SECOND};
use workdir::{http, repo_file, wait_until, Workdir};

/// Guards against a value that splits a line or can be mistaken for another pair.
#[test]
fn values_are_quoted_where_needed() {
    let mut line = String::new();
    let time = UNIX_EPOCH + Duration::from_millis(1_700_000_000_123);
    write_time_and_level(&mut line, time, "info").unwrap();
    for (key, value) in [
        ("event", "listening"),
        ("address", "127.0.0.1:7400"),
        ("empty", ""),
        ("error", "no answer"),
        ("forged", "x\nlevel=info"),
        ("quote", "say \"no\""),
        ("pair", "a=b"),
    ] {
        write_pair(&mut line, key, value).unwrap();
    }
    insta::assert_snapshot!(line, @r#"time=2023-11-14T22:13:20.123Z level=info event=listening address=127.0.0.1:7400 empty="" error="no answer" forged="x\nlevel=info" quote="say \"no\"" pair="a=b""#);
}

/// Guards against an event that is not in the log because there are very many lines about another one, and against a log
/// without limit.
#[test]
fn a_flood_of_one_event_does_not_hide_others() {
    let mut rate = LineRate::default();
    for second in 1..4 {
        let written = (0..5_000).filter(|_| rate.admit("flood", second).is_some());
        assert_eq!(written.count() as u32, MAX_LINES_PER_SECOND);
        for event in ["rare", "rarer"] {
            assert!(rate.admit(event, second).is_some(), "{event}");
            assert_eq!(rate.admit(event, second), None, "{event}");
        }
    }
    let dropped = 3 * (5_000 - u64::from(MAX_LINES_PER_SECOND) + 2);
    assert_eq!(rate.dropped(), dropped);
    // Only the last one has not been reported.
    assert_eq!(rate.admit("rare", 4), Some(1));
}

/// Guards against request events without the request id, and against a configured level that has no effect.
#[test]
fn request_events_have_the_request_id() {
    let dir = Workdir::new();
    let (_store, store) = dir.start_store();
    let (node, ports) = dir.start_node("n1", "a", store, &[], "[log]\nlevel = \"debug\"");
    let manifest = repo_file("examples/trust.toml");
    let store = store.to_string();
    let out = dir.run(&["commit", &manifest, "--base", "0", "--store", &store]);
    assert!(out.status.success(), "{out:?}");
    let send = || {
        http(
            ports.caller,
            "GET",
            "/catalogue/oak",
            &[("dq-request-id", "id-1")],
            "",
        )
        .unwrap()
    };
    wait_until("version in force", || {
        send().header("dq-reason") == "no-target"
    });
    let line = node.wait_line("reason=no-target");
    assert!(
        line.contains("event=request_ended request=id-1 rank=counter outcome=not-run"),
        "{line}"
    );
}
