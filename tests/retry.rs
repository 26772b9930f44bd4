//! Tests of retry decisions: a table of failures, and limits.

mod property;

use std::time::Duration;

use dragonflyquay::process::routing::budget::{TokenBucket, BURST_RETRIES};
use dragonflyquay::request::reason::{Failure, Reason};
use dragonflyquay::request::retry::{decide, Decision, FailedAttempt, NoRetryReason, MAX_DELAY};
use dragonflyquay::settings::RetryPolicy;
use property::run;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::SeedableRng;

const BASE: FailedAttempt = FailedAttempt {
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
    other_target: true,
    remaining: Duration::from_secs(1),
};

fn decide_with_budget(f: &FailedAttempt) -> Decision {
    let mut rng = SmallRng::seed_from_u64(5);
    decide(
        RetryPolicy::Budget,
        f,
        &mut TokenBucket::default(),
        &mut rng,
    )
}

/// Guards against a second run of a request that may have run, and against a retry beyond any of its limits.
#[test]
fn decision_table() {
    use Reason::*;
    let queue_full = FailedAttempt {
        failure: Failure::not_run(QueueFull),
        overloads: 1,
        ..BASE
    };
    let lost = FailedAttempt {
        failure: Failure::unknown(Lost),
        ..BASE
    };
    let bad_request = FailedAttempt {
        failure: Failure::not_run(BadRequest),
        ..BASE
    };
    let table = [
        (BASE, None),
        (
            FailedAttempt { retries: 0, ..BASE },
            Some(NoRetryReason::TreeBudget),
        ),
        (
            FailedAttempt {
                replayable: false,
                ..BASE
            },
            Some(NoRetryReason::BodyConsumed),
        ),
        (
            FailedAttempt {
                remaining: Duration::ZERO,
                ..BASE
            },
            Some(NoRetryReason::Deadline),
        ),
        (lost, Some(NoRetryReason::MayHaveRun)),
        (
            FailedAttempt {
                idempotent: true,
                ..lost
            },
            None,
        ),
        (queue_full, None),
        (
            FailedAttempt {
                depth: 1,
                ..queue_full
            },
            Some(NoRetryReason::Overload),
        ),
        (
            FailedAttempt {
                overloads: 2,
                ..queue_full
            },
            Some(NoRetryReason::Overload),
        ),
        (
            FailedAttempt {
                other_target: false,
                ..queue_full
            },
            Some(NoRetryReason::Overload),
        ),
        (bad_request, Some(NoRetryReason::NotRetryable)),
    ];
    for (f, reason) in table {
        match (decide_with_budget(&f), reason) {
            (Decision::RetryAfter(_), None) => {}
            (Decision::NoRetry(r), Some(want)) if r == want => {}
            (got, want) => panic!("{f:?}: {got:?}, expected {want:?}"),
        }
    }
    assert_eq!(
        decide_with_budget(&BASE),
        Decision::RetryAfter(Duration::ZERO),
        "the first retry at another target has no delay"
    );
}

/// Guards against retries of more than a tenth of the requests beyond the initial tokens, against a delay beyond the
/// deadline, and against the policy without a limit retrying a request that may have run.
#[test]
fn retries_stay_within_the_token_bucket() {
    let input = (
        prop::collection::vec(0..4_u32, 1..300),
        1..500_u64,
        any::<u64>(),
    );
    run(256, &input, |(failures, remaining, seed)| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut bucket = TokenBucket::default();
        let (mut requests, mut retries) = (0, 0);
        for n in failures {
            requests += 1;
            bucket.deposit();
            for attempts in 1..=n {
                let f = FailedAttempt {
                    attempts,
                    remaining: Duration::from_millis(remaining),
                    ..BASE
                };
                if let Decision::RetryAfter(d) =
                    decide(RetryPolicy::Budget, &f, &mut bucket, &mut rng)
                {
                    retries += 1;
                    assert!(d < f.remaining && d <= MAX_DELAY);
                }
            }
        }
        assert!(
            retries <= BURST_RETRIES + requests / 10,
            "{retries} of {requests}"
        );
        let lost = FailedAttempt {
            failure: Failure::unknown(Reason::Lost),
            ..BASE
        };
        let got = decide(RetryPolicy::Unlimited, &lost, &mut bucket, &mut rng);
        assert_eq!(got, Decision::NoRetry(NoRetryReason::MayHaveRun));
        Ok(())
    });
}
