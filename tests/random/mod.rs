//! Property test runner with a fixed seed.
#![allow(dead_code, unreachable_pub)]

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

/// Runs `check` on `cases` values, 20 times as many with `DQ_LONG=1`.
pub fn run<S, F>(cases: u32, values: &S, check: F)
where
    S: Strategy,
    F: Fn(S::Value) -> Result<(), TestCaseError>,
{
    let long = std::env::var_os("DQ_LONG").is_some_and(|v| v == "1");
    let config = Config {
        cases: if long { cases * 20 } else { cases },
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    if let Err(e) = runner.run(values, check) {
        panic!("{e}");
    }
}
