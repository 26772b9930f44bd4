//! Deltas between contents, selection of the version in force, and floor tokens.

mod property;

use std::time::Duration;

use dragonflyquay::digest::Digest;
use dragonflyquay::version::adopt::*;
use dragonflyquay::version::delta::{Delta, DeltaError, MAX_DELTA_BYTES};
use dragonflyquay::version::snapshot::VersionRef;
use property::run;
use proptest::collection::vec;
use proptest::prelude::*;

fn version(number: u64, variant: u8) -> VersionRef {
    VersionRef {
        number,
        hash: Digest::of(&[number as u8, variant]),
    }
}

/// A base and a result made from it by random edits.
fn base_and_result() -> impl Strategy<Value = (Vec<u8>, Vec<u8>)> {
    let edit = (any::<u16>(), 0usize..400, vec(any::<u8>(), 0..300));
    (vec(any::<u8>(), 0..4000), vec(edit, 0..6)).prop_map(|(base, edits)| {
        let mut result = base.clone();
        for (at, len, new) in edits {
            let at = at as usize % (result.len() + 1);
            let end = (at + len).min(result.len());
            result.splice(at..end, new);
        }
        (base, result)
    })
}

/// Guards against a delta that produces another result than the one it was made for, directly or after encoding and
/// decoding.
#[test]
fn delta_produces_the_result() {
    run(300, &base_and_result(), |(base, result)| {
        let d = Delta::new(&base, &result).unwrap();
        let decoded = Delta::from_bytes(&d.to_bytes()).unwrap();
        prop_assert_eq!(decoded.apply(&base), Ok(result.clone()));
        let mut cbor = Vec::new();
        ciborium::into_writer(&d, &mut cbor).unwrap();
        let decoded: Delta = ciborium::from_reader(cbor.as_slice()).unwrap();
        prop_assert_eq!(&decoded, &d);
        if base != result {
            prop_assert_eq!(d.apply(&result), Err(DeltaError::WrongBase));
        }
        Ok(())
    });
}

/// Guards against a damaged delta that is applied or that makes the decoder panic.
#[test]
fn damaged_delta_is_rejected() {
    let input = (
        base_and_result(),
        any::<u16>(),
        1u8..,
        vec(any::<u8>(), 0..300),
    );
    run(300, &input, |((base, result), at, flip, noise)| {
        let mut wire = Delta::new(&base, &result).unwrap().to_bytes();
        let i = at as usize % wire.len();
        wire[i] ^= flip;
        // Trailing bits of the last deflate block may change without effect, so only a different result is an error.
        if let Ok(got) = Delta::from_bytes(&wire).and_then(|d| d.apply(&base)) {
            prop_assert_eq!(&got, &result);
        }
        wire.truncate(64);
        wire.extend(&noise);
        if let Ok(got) = Delta::from_bytes(&wire).and_then(|d| d.apply(&base)) {
            prop_assert_eq!(&got, &result);
        }
        let _ = Delta::from_bytes(&noise);
        Ok(())
    });
}

/// Guards against deltas that exceed the size limit when made or decoded, and against a large delta for a small change.
#[test]
fn delta_size_is_limited() {
    let mut seed = 1u64;
    let mut noise = || {
        seed ^= seed << 13;
        seed ^= seed >> 7;
        seed ^= seed << 17;
        seed as u8
    };
    let large: Vec<u8> = (0..2 * MAX_DELTA_BYTES).map(|_| noise()).collect();
    assert_eq!(Delta::new(b"base", &large), None);
    let mut changed = large.clone();
    changed[1000] ^= 1;
    let d = Delta::new(&large, &changed).unwrap();
    assert!(d.to_bytes().len() < 200, "{}", d.to_bytes().len());
    let oversized = vec![0; MAX_DELTA_BYTES + 1];
    assert_eq!(Delta::from_bytes(&oversized), Err(DeltaError::TooLarge));
}

fn peer_record(number: u64) -> FloorEvent {
    FloorEvent::Peer(Some(version(number, 0)))
}

/// Guards against a node that goes back to an older version, replaces its version by a fork, or adopts a version below
/// the floor.
#[test]
fn version_never_goes_back() {
    let offer = (0u64..12, 0u8..3, 0u64..400);
    let steps = vec((offer, 0u8..5), 1..60);
    run(500, &(0usize..3, steps), |(contacts, steps)| {
        let mut s = Selection::new(AdoptSettings::default(), contacts, Duration::ZERO);
        let mut now = Duration::ZERO;
        for ((number, variant, pause), kind) in steps {
            now += Duration::from_millis(pause);
            let (v, before, floor) = (version(number, variant), s.held(), s.floor());
            match kind {
                0 => drop(s.update_floor(FloorEvent::Peer((variant > 0).then_some(v)))),
                1 => drop(s.update_floor(FloorEvent::Backend((variant > 0).then_some(v)))),
                2 => drop(s.compare_head(v, now)),
                _ => {
                    let waiting = s.is_waiting(now);
                    let verdict = s.adopt(v, Digest::default(), now);
                    prop_assert_eq!(s.held() != before, verdict == Verdict::Adopt);
                    prop_assert!(!waiting || verdict != Verdict::Adopt);
                    prop_assert!(verdict != Verdict::Adopt || v.number >= floor);
                }
            }
            prop_assert!(s.held() == before || s.held().number > before.number);
            prop_assert!(s.floor() >= floor);
        }
        Ok(())
    });
}

/// Guards against a restarted node that adopts a version before its floor is known, or below the floor.
#[test]
fn first_adoption_waits_for_the_floor() {
    let settings = AdoptSettings::default();
    let ms = Duration::from_millis;
    let mut s = Selection::new(settings, 2, ms(0));
    assert_eq!(s.evaluate(version(4, 0), ms(1)), Verdict::Wait(ms(2000)));
    s.update_floor(peer_record(5));
    s.update_floor(FloorEvent::Peer(None));
    s.update_floor(FloorEvent::Store(None));
    assert_eq!(s.evaluate(version(5, 0), ms(1)), Verdict::Wait(ms(2000)));
    s.update_floor(FloorEvent::Backend(None));
    assert_eq!(s.evaluate(version(4, 0), ms(1)), Verdict::BelowFloor);
    assert_eq!(s.evaluate(version(5, 1), ms(1)), Verdict::Fork);
    assert_eq!(
        s.adopt(version(5, 0), Digest::default(), ms(1)),
        Verdict::Adopt
    );
    let mut late = Selection::new(settings, 1, ms(0));
    assert_eq!(
        late.adopt(version(3, 0), Digest::default(), ms(2000)),
        Verdict::Adopt
    );
    assert!(
        !late.update_floor(peer_record(4)),
        "a floor above the held version was not reported"
    );
    assert_eq!(late.held().number, 3);
}

/// Guards against a fork that is not detected or counted, and against a lost version that is not published again after
/// the store was restored.
#[test]
fn head_is_compared_with_held_version() {
    let mut s = Selection::new(AdoptSettings::default(), 0, Duration::ZERO);
    let now = Duration::from_secs(3);
    s.adopt(version(6, 0), version(5, 0).hash, now);
    s.adopt(version(7, 0), version(6, 0).hash, now);
    let cases = [
        (version(7, 0), HeadAction::Current, 0),
        (version(8, 0), HeadAction::Follow(Verdict::Adopt), 0),
        (version(5, 0), HeadAction::Republish { forked: false }, 0),
        (version(0, 0), HeadAction::Republish { forked: false }, 0),
        (version(6, 1), HeadAction::Republish { forked: true }, 1),
        (version(7, 1), HeadAction::Fork, 2),
        (version(7, 1), HeadAction::Fork, 2),
    ];
    for (head, action, forks) in cases {
        assert_eq!(s.compare_head(head, now), action, "{head:?}");
        assert_eq!(s.forks().0, forks, "{head:?}");
    }
}

/// Guards against a floor that is raised by a damaged token or by a token of another site.
#[test]
fn invalid_token_is_ignored() {
    let v = version(9, 0);
    let token = format_token("trust", v);
    assert_eq!(parse_token("trust", &token), Some(v));
    assert_eq!(parse_token("leiloes", &token), None);
    assert_eq!(parse_token("trust", &token.replacen('9', "99", 1)), None);
    run(300, &".{0,120}", |text| {
        prop_assert_eq!(parse_token("trust", &text), None);
        Ok(())
    });
}
