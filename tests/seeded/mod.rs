//! Property tests with a fixed seed; `DQ_LONG=1` runs many more cases.
#![allow(dead_code, unreachable_pub)]

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Checks a property for generated inputs.
pub fn check<S, F>(strategy: &S, property: F)
where
    S: Strategy,
    F: Fn(S::Value),
{
    let cases = match std::env::var("DQ_LONG") {
        Ok(v) if v == "1" => 20_000,
        _ => 256,
    };
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(strategy, |v| {
        property(v);
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}
