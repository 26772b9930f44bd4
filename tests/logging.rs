//! Format of log lines.

use std::time::{Duration, UNIX_EPOCH};

use dragonflyquay::logging::{write_head, write_pair};

/// Guards against a value that breaks the line or hides the next pair.
#[test]
fn values_are_quoted_where_needed() {
    let mut line = String::new();
    let time = UNIX_EPOCH + Duration::from_millis(1_700_000_000_123);
    write_head(&mut line, time, "info").unwrap();
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
