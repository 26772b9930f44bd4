//! Admission of large request bodies to a VM's link, played on a simulated link without a network.

mod inbound_kit;

use std::collections::VecDeque;
use std::time::Duration;

use dragonflyquay::sidecar::process::bandwidth::PIECE_BYTES;
use dragonflyquay::sidecar::process::inbound::{Full, Inbound, Turn};
use inbound_kit::{ms, new_inbound, offer, MBPS, SERVICE_TIME};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time from a grant until the piece reaches the link of the receiver: a round trip between zones.
const ROUND_TRIP: Duration = Duration::from_micros(2800);
/// Size of a small message.
const SMALL_BYTES: usize = 400;

fn link_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 * 8.0 / (MBPS * 1e6))
}

/// An upload that was admitted.
struct Upload {
    id: u64,
    rank: usize,
    bytes: usize,
    arrived: usize,
    due: Duration,
    begun: Duration,
    /// Time of the arrival of the last byte.
    whole: Option<Duration>,
    /// Whether it was given up because it could not arrive in time.
    given_up: bool,
}

impl Upload {
    fn ended(&self) -> bool {
        self.whole.is_some() || self.given_up
    }
}

/// A receiver and its link. Every piece that was granted reaches the link after a round trip and waits for what is
/// before it.
struct SimulatedLink {
    inbound: Inbound,
    now: Duration,
    /// Time at which the link has delivered everything that has reached it.
    clear_at: Duration,
    /// Pieces on their way to the link: time, upload and size.
    sent: VecDeque<(Duration, usize, usize)>,
    /// Pieces in the link: time of arrival, upload and size.
    queued: VecDeque<(Duration, usize, usize)>,
    uploads: Vec<Upload>,
    rejected: Vec<Duration>,
    longest_small_wait: Duration,
}

impl SimulatedLink {
    fn new() -> Self {
        Self {
            inbound: new_inbound(),
            now: Duration::ZERO,
            clear_at: Duration::ZERO,
            sent: VecDeque::new(),
            queued: VecDeque::new(),
            uploads: Vec::new(),
            rejected: Vec::new(),
            longest_small_wait: Duration::ZERO,
        }
    }

    /// Offers an upload. Returns its index if it was admitted.
    fn offer(&mut self, rank: usize, bytes: usize) -> Result<usize, Full> {
        let offer = offer(self.now, rank, bytes);
        let id = self
            .inbound
            .admit(self.now, &offer)
            .inspect_err(|_| self.rejected.push(self.now))?;
        self.uploads.push(Upload {
            id,
            rank,
            bytes,
            arrived: 0,
            due: offer.urgency.due,
            begun: self.now,
            whole: None,
            given_up: false,
        });
        Ok(self.uploads.len() - 1)
    }

    fn enter(&mut self, bytes: usize) -> Duration {
        self.clear_at = self.clear_at.max(self.now) + link_time(bytes);
        self.clear_at
    }

    /// A small message of another node, which the link delivers behind what is in it.
    fn send_small(&mut self) {
        let wait = self.clear_at.saturating_sub(self.now);
        self.longest_small_wait = self.longest_small_wait.max(wait);
        self.enter(SMALL_BYTES);
        self.inbound.record_received(self.now, SMALL_BYTES);
    }

    fn cancel(&mut self, i: usize) {
        self.inbound.end(self.uploads[i].id);
        self.uploads[i].given_up = true;
        self.sent.retain(|(_, upload, _)| *upload != i);
    }

    /// Plays one millisecond.
    fn step(&mut self) {
        while let Some((_, i, bytes)) = self.sent.pop_front_if(|(at, ..)| *at <= self.now) {
            let arrival = self.enter(bytes);
            self.queued.push_back((arrival, i, bytes));
        }
        while let Some((at, i, bytes)) = self.queued.pop_front_if(|(at, ..)| *at <= self.now) {
            self.inbound.arrived(self.now, self.uploads[i].id, bytes);
            self.uploads[i].arrived += bytes;
            if self.uploads[i].arrived == self.uploads[i].bytes {
                self.uploads[i].whole = Some(at);
                self.inbound.end(self.uploads[i].id);
            }
        }
        for i in 0..self.uploads.len() {
            if self.uploads[i].ended() {
                continue;
            }
            match self.inbound.take_turn(self.now, self.uploads[i].id) {
                Turn::Grant(bytes) => self.sent.push_back((self.now + ROUND_TRIP, i, bytes)),
                // The receiver asks for no turn once all was granted.
                Turn::TooLate if !self.is_granted(i) => self.cancel(i),
                Turn::TooLate | Turn::Wait(_) => {}
            }
        }
        self.now += ms(1);
    }

    /// Whether all of an upload was granted.
    fn is_granted(&self, i: usize) -> bool {
        let pieces = self.sent.iter().chain(&self.queued);
        let in_flight: usize = pieces.filter(|(_, u, _)| *u == i).map(|(.., n)| n).sum();
        self.uploads[i].arrived + in_flight == self.uploads[i].bytes
    }

    /// Plays uploads that need this multiple of the width, with small messages in between.
    fn play(&mut self, rng: &mut SmallRng, load: f64, duration: Duration) {
        let end = self.now + duration;
        let mean_interval = link_time(60_000).as_secs_f64() / load;
        let mut next = self.now;
        while self.now < end {
            while next <= self.now {
                // Sizes from 12 KB to 108 KB, and now and then the largest one: 60 KB on average.
                let bytes = match rng.random::<f64>() < 0.03 {
                    true => 360_000,
                    false => 12_000 + (rng.random::<f64>() * 78_000.0) as usize,
                };
                let _ = self.offer(1, bytes);
                next += Duration::from_secs_f64(
                    -mean_interval * (1.0 - rng.random::<f64>()).max(1e-9).ln(),
                );
            }
            if self.now.as_millis().is_multiple_of(10) {
                self.send_small();
            }
            self.step();
        }
    }
}

/// Guards against a burst beyond the width that blocks small messages, fills the link with bodies that arrive too late,
/// or leaves a backlog behind that keeps rejecting uploads after its end.
#[test]
fn service_recovers_within_seconds_after_a_burst() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut link = SimulatedLink::new();
        link.play(&mut rng, 0.66, ms(3000));
        let before = link.rejected.len();
        link.play(&mut rng, 1.5, ms(6000));
        let burst_end = link.now;
        link.play(&mut rng, 0.66, ms(8000));
        while link.uploads.iter().any(|u| !u.ended()) {
            link.step();
            assert!(link.now < ms(60_000), "seed {seed}: an upload never ends");
        }
        let piece = link_time(PIECE_BYTES);
        assert!(
            link.longest_small_wait <= 4 * piece,
            "seed {seed}: {:?}",
            link.longest_small_wait
        );
        assert_eq!(before, 0, "seed {seed}: rejected without overload");
        // What was admitted is served in time.
        let given_up = link.uploads.iter().filter(|u| u.given_up).count();
        assert!(
            given_up * 100 <= link.uploads.len(),
            "seed {seed}: {given_up}"
        );
        let late = link.uploads.iter().filter(|u| {
            let whole = u.whole.unwrap_or_default();
            whole + SERVICE_TIME > u.due
        });
        let late = late.count();
        assert!(late * 50 <= link.uploads.len(), "seed {seed}: {late}");
        // The width is used during the burst.
        let arrived: usize = link
            .uploads
            .iter()
            .filter(|u| u.whole.is_some_and(|t| t >= ms(4000) && t < burst_end))
            .map(|u| u.bytes)
            .sum();
        let used = link_time(arrived).as_secs_f64() / (burst_end - ms(4000)).as_secs_f64();
        assert!(used > 0.85, "seed {seed}: {used}");
        // Nothing is rejected from 3 s after the burst on, and nothing is slow from then on.
        println!(
            "seed {seed}: {} admitted, {} rejected, {given_up} given up, {late} late, small messages {:?}, width {used:.3}, \
             last rejection {:.1} s after the burst",
            link.uploads.len(),
            link.rejected.len(),
            link.longest_small_wait,
            link.rejected.last().map_or(0.0, |t| t.as_secs_f64() - burst_end.as_secs_f64()),
        );
        let settled = burst_end + ms(3000);
        assert!(
            link.rejected.iter().all(|t| *t < settled),
            "seed {seed}: rejected {:?} after the burst",
            link.rejected.last().unwrap().saturating_sub(burst_end)
        );
    }
}

/// Guards against urgent uploads that wait behind less urgent ones, on arrival and while those are being received.
#[test]
fn urgent_bodies_go_first() {
    let mut link = SimulatedLink::new();
    let low: Vec<usize> = (0..6).map(|_| link.offer(2, 120_000).unwrap()).collect();
    for _ in 0..100 {
        link.step();
    }
    let urgent = link.offer(0, 60_000).unwrap();
    while !link.uploads[urgent].ended() {
        link.step();
    }
    let u = &link.uploads[urgent];
    let time = u.whole.unwrap() - u.begun;
    // Its own time, what was granted before, and round trips.
    assert!(time < link_time(60_000).mul_f64(1.2) + ms(40), "{time:?}");
    let early = low.iter().filter(|i| link.uploads[**i].whole.is_some());
    assert!(early.count() <= 1);
    assert_eq!(link.uploads[low[0]].rank, 2);
    // Within a rank, what is due first arrives first.
    while link.uploads.iter().any(|u| !u.ended()) {
        link.step();
    }
    let ends: Vec<_> = low.iter().map(|i| link.uploads[*i].whole).collect();
    assert!(ends.is_sorted(), "{ends:?}");
}

/// Guards against the width that a cancelled body keeps reserved.
#[test]
fn a_cancelled_body_frees_the_width_at_once() {
    let mut link = SimulatedLink::new();
    let mut admitted = Vec::new();
    while let Ok(i) = link.offer(1, 120_000) {
        admitted.push(i);
        assert!(admitted.len() < 100);
    }
    assert!(link.inbound.backlog(link.now) > ms(1000));
    link.cancel(admitted[0]);
    assert!(link.offer(1, 120_000).is_ok());
    admitted.iter().for_each(|i| link.cancel(*i));
    assert!(link.inbound.backlog(link.now) < ms(130));
}
