//! Tests of the policies of links between sidecar nodes, with a simulated clock.

use std::time::Duration;

use dragonflyquay::sidecar::transit::TransitDelay;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against a delay that includes the difference between two clocks, and against one that is not seen.
#[test]
fn delays_are_relative_to_the_shortest_transit() {
    for offset in [0, 5_000_000] {
        let mut t = TransitDelay::default();
        let sent = |at: u64| at + offset;
        assert_eq!(t.record(sent(100), ms(7_102)), ms(0));
        assert_eq!(t.record(sent(200), ms(7_201)), ms(0));
        assert_eq!(t.record(sent(300), ms(8_401)), ms(1_100));
        assert_eq!(t.record(sent(400), ms(8_501)), ms(1_100));
        assert_eq!(t.record(sent(1_600), ms(8_602)), ms(1));
    }
}

/// Guards against requests that are rejected for ever after the clock of the sender fell behind or jumped, and against
/// an overflow by a hostile time.
#[test]
fn a_jump_of_a_clock_is_forgotten() {
    let mut t = TransitDelay::default();
    t.record(10_000, ms(10_000));
    assert_eq!(t.record(10_000, ms(13_000)), ms(3_000));
    t.reset();
    assert_eq!(t.record(10_100, ms(13_100)), ms(0));
    let mut t = TransitDelay::default();
    t.record(10_000, ms(10_000));
    let delays = (1..=70).map(|s| t.record(7_000 + s * 1000, ms(10_000 + s * 1000)));
    assert_eq!(delays.last(), Some(ms(0)));
    let mut t = TransitDelay::default();
    t.record(u64::MAX, Duration::MAX);
    t.record(0, Duration::MAX);
    t.record(u64::MAX, ms(0));
}
