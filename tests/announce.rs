//! Contract of the announce API over the real binary.

mod workdir;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use workdir::{http, http_json, wait_until, Workdir};

const GOOD: &str = r#"{"service":"catalogue-desk","address":"127.0.0.1:9","slots":6,"connections":100,"state":"ready","incarnation":1}"#;

/// Guards against an announcement that is damaged, out of range or too large and still reaches the records, and against
/// a node that no longer takes a good one after bad ones.
#[test]
fn bad_announcements_are_refused() {
    let dir = Workdir::new();
    let closed = "127.0.0.1:9".parse().unwrap();
    let (_node, node) = dir.start_node("a1", "a", closed, &[], "");
    let announce = |body: &str| {
        http_json(node.admin, "POST", "/announce", body)
            .unwrap()
            .status
    };
    let long = GOOD.replace("catalogue-desk", &"x".repeat(65));
    let huge = GOOD.replace("catalogue-desk", &"x".repeat(100_000));
    for bad in [
        "",
        "[]",
        "{}",
        &GOOD.replace("\"slots\":6", "\"slots\":0"),
        &GOOD.replace("\"slots\":6", "\"slots\":65537"),
        &GOOD.replace("\"slots\":6", "\"slots\":-1"),
        &GOOD.replace("127.0.0.1:9", "localhost"),
        &GOOD.replace("catalogue-desk", ""),
        &GOOD.replace("ready", "asleep"),
        &GOOD.replace("\"slots\"", "\"slot\""),
        &long,
        &huge,
    ] {
        let status = announce(bad);
        assert!((400..500).contains(&status), "{status} for {bad:.80}");
    }
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(200), rng);
    // Without its last field the text cannot become valid again by 8 characters.
    let last = GOOD.find(",\"incarnation\"").unwrap();
    let cut = (0..last, "[ -~]{1,8}");
    let damaged = runner.run(&cut, |(at, text)| {
        let status = announce(&format!("{}{text}", &GOOD[..at]));
        prop_assert!((400..500).contains(&status), "{}", status);
        Ok(())
    });
    damaged.unwrap();
    assert_eq!(announce(GOOD), 200);
    wait_until("the target is in the records", || {
        let members = http(node.admin, "GET", "/members", &[], "");
        members.is_some_and(|m| m.body.contains("catalogue-desk"))
    });
}
