//! Announcements of backend servers to the admin API of a node process.

mod workdir;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use workdir::{http, http_json, wait_until, Workdir};

const VALID: &str = r#"{"service":"catalogue-desk","address":"127.0.0.1:9","slots":6,"connections":100,"state":"ready","incarnation":1}"#;

/// Guards against announcements that are accepted although they are malformed, out of range or too large, and against a
/// node that rejects a valid announcement after invalid ones.
#[test]
fn invalid_announcements_are_rejected() {
    let dir = Workdir::new();
    let store = "127.0.0.1:9".parse().unwrap();
    let (_node, ports) = dir.start_node("a1", "a", store, &[], "");
    let announce = |body: &str| {
        http_json(ports.admin, "POST", "/announce", body)
            .unwrap()
            .status
    };
    let long_name = VALID.replace("catalogue-desk", &"x".repeat(65));
    let huge_name = VALID.replace("catalogue-desk", &"x".repeat(100_000));
    for invalid in [
        "",
        "[]",
        "{}",
        &VALID.replace("\"slots\":6", "\"slots\":0"),
        &VALID.replace("\"slots\":6", "\"slots\":65537"),
        &VALID.replace("\"slots\":6", "\"slots\":-1"),
        &VALID.replace("127.0.0.1:9", "localhost"),
        &VALID.replace("catalogue-desk", ""),
        &VALID.replace("ready", "asleep"),
        &VALID.replace("\"slots\"", "\"slot\""),
        &long_name,
        &huge_name,
    ] {
        let status = announce(invalid);
        assert!((400..500).contains(&status), "{status} for {invalid:.80}");
    }
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(200), rng);
    // Without its last field, the text cannot become valid again by adding 8 characters.
    let last = VALID.find(",\"incarnation\"").unwrap();
    let input = (0..last, "[ -~]{1,8}");
    let result = runner.run(&input, |(at, text)| {
        let status = announce(&format!("{}{text}", &VALID[..at]));
        prop_assert!((400..500).contains(&status), "{}", status);
        Ok(())
    });
    result.unwrap();
    assert_eq!(announce(VALID), 200);
    wait_until("the target is in the records", || {
        let members = http(ports.admin, "GET", "/members", &[], "");
        members.is_some_and(|m| m.body.contains("catalogue-desk"))
    });
}
