//! Runner for property tests with a fixed seed.
#![allow(dead_code, unreachable_pub)]

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

/// Runs `check` on `cases` generated values, or on 20 times as many if `DQ_LONG=1` is set.
pub fn run<S, F>(cases: u32, strategy: &S, check: F)
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
    if let Err(e) = runner.run(strategy, check) {
        panic!("{e}");
    }
}
