//! Retry decisions: fault table and bounds.

mod random;

use std::time::Duration;

use dragonflyquay::process::routing::budget::{Bucket, BURST};
use dragonflyquay::request::reason::{Failure, Reason};
use dragonflyquay::request::retry::{decide, Decision, Failed, Stop, DELAY_LONGEST};
use dragonflyquay::settings::RetryPolicy;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use random::run;

const BASE: Failed = Failed {
    failure: Failure {
        outcome: dragonflyquay::request::reason::Outcome::NotRun,
        reason: Reason::NotSent,
        back_off: Duration::ZERO,
    },
    idempotent: false,
    replayable: true,
    depth: 0,
    retries: 2,
    attempts: 1,
    overloads: 0,
    other: true,
    left: Duration::from_secs(1),
};

fn ask(f: &Failed) -> Decision {
    let mut rng = SmallRng::seed_from_u64(5);
    decide(RetryPolicy::Budget, f, &mut Bucket::default(), &mut rng)
}

/// Guards against a second run of a request that may have run, and against each bound that a retry must keep.
#[test]
fn decision_table() {
    use Reason::*;
    let full = Failed {
        failure: Failure::not_run(QueueFull),
        overloads: 1,
        ..BASE
    };
    let lost = Failed {
        failure: Failure::unknown(Lost),
        ..BASE
    };
    let invalid = Failed {
        failure: Failure::not_run(BadRequest),
        ..BASE
    };
    let table = [
        (BASE, None),
        (Failed { retries: 0, ..BASE }, Some(Stop::TreeBudget)),
        (
            Failed {
                replayable: false,
                ..BASE
            },
            Some(Stop::BodySent),
        ),
        (
            Failed {
                left: Duration::ZERO,
                ..BASE
            },
            Some(Stop::Deadline),
        ),
        (lost, Some(Stop::MayHaveRun)),
        (
            Failed {
                idempotent: true,
                ..lost
            },
            None,
        ),
        (full, None),
        (Failed { depth: 1, ..full }, Some(Stop::Overload)),
        (
            Failed {
                overloads: 2,
                ..full
            },
            Some(Stop::Overload),
        ),
        (
            Failed {
                other: false,
                ..full
            },
            Some(Stop::Overload),
        ),
        (invalid, Some(Stop::Final)),
    ];
    for (f, stop) in table {
        match (ask(&f), stop) {
            (Decision::After(_), None) => {}
            (Decision::Stop(s), Some(want)) if s == want => {}
            (got, want) => panic!("{f:?}: {got:?}, expected {want:?}"),
        }
    }
    assert_eq!(
        ask(&BASE),
        Decision::After(Duration::ZERO),
        "another target at once"
    );
}

/// Guards against retries beyond a tenth of the requests, a delay that passes the deadline, and an unlimited baseline
/// that runs a request twice.
#[test]
fn retries_stay_within_the_bucket() {
    let input = (
        prop::collection::vec(0..4_u32, 1..300),
        1..500_u64,
        any::<u64>(),
    );
    run(256, &input, |(fails, left, seed)| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut bucket = Bucket::default();
        let (mut requests, mut retries) = (0, 0);
        for n in fails {
            requests += 1;
            bucket.earn();
            for attempts in 1..=n {
                let f = Failed {
                    attempts,
                    left: Duration::from_millis(left),
                    ..BASE
                };
                if let Decision::After(d) = decide(RetryPolicy::Budget, &f, &mut bucket, &mut rng) {
                    retries += 1;
                    assert!(d < f.left && d <= DELAY_LONGEST);
                }
            }
        }
        assert!(retries <= BURST + requests / 10, "{retries} of {requests}");
        let lost = Failed {
            failure: Failure::unknown(Reason::Lost),
            ..BASE
        };
        let got = decide(RetryPolicy::Unlimited, &lost, &mut bucket, &mut rng);
        assert_eq!(got, Decision::Stop(Stop::MayHaveRun));
        Ok(())
    });
}
