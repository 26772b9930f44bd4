//! Slots of the stand-in target: what it does with a request when none is free.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Interval at which a running request checks whether its connection is still open.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What a full target does with a further request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WhenFull {
    /// Status 503 with the proof that it did not run.
    Reject,
    /// Resets the connection before any byte of a response.
    Reset,
    /// Closes the connection before any byte of a response.
    Close,
    /// Never responds, neither to this request nor to a later one on its connection.
    Silent,
}

/// Slots of a target. Requests with `busy-MS` in their path run for this time whether or not their connection closes;
/// those with `heed-MS` end when it closes.
#[derive(Debug)]
pub struct Capacity {
    pub slots: usize,
    pub when_full: WhenFull,
    pub running: AtomicUsize,
    /// Requests that arrived while all slots were occupied.
    pub refused: AtomicUsize,
    /// Bytes that arrived on connections on which the target went silent.
    pub after_silence: AtomicUsize,
}

impl Capacity {
    pub fn new(slots: usize, when_full: WhenFull) -> Self {
        Self {
            slots,
            when_full,
            running: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
            after_silence: AtomicUsize::new(0),
        }
    }

    pub fn refused(&self) -> usize {
        self.refused.load(Ordering::SeqCst)
    }

    /// Takes a slot. Returns whether one was free.
    fn enter(&self) -> bool {
        let free = |n: usize| (n < self.slots).then_some(n + 1);
        let order = Ordering::SeqCst;
        let entered = self.running.fetch_update(order, order, free).is_ok();
        self.refused.fetch_add(usize::from(!entered), order);
        entered
    }

    /// Runs a request. Returns whether a response must be written; otherwise the connection is closed.
    pub fn run(&self, out: &mut TcpStream, path: &str, refusal: &str) -> Result<(), bool> {
        if !self.enter() {
            return Err(self.refuse(out, refusal));
        }
        let heeded = run_time(path, "heed-");
        let time = heeded.or(run_time(path, "busy-")).unwrap_or_default();
        let end = Instant::now() + time;
        let mut closed = false;
        while Instant::now() < end && !closed {
            std::thread::sleep(CLOSE_POLL_INTERVAL.min(end - Instant::now()));
            closed = heeded.is_some() && is_closed(out);
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        match closed {
            true => Err(false),
            false => Ok(()),
        }
    }

    /// Treats a request for which there is no slot. Returns whether the connection stays open.
    fn refuse(&self, out: &mut TcpStream, refusal: &str) -> bool {
        match self.when_full {
            WhenFull::Reject => out.write_all(refusal.as_bytes()).is_ok(),
            WhenFull::Reset => {
                // Closing a socket with a zero linger time resets the connection; the last copy closes it.
                let socket = tokio::net::TcpSocket::from_std_stream(out.try_clone().unwrap());
                let _ = socket.set_zero_linger();
                false
            }
            WhenFull::Close => false,
            WhenFull::Silent => {
                let mut rest = [0; 1024];
                while let Some(n) = out.read(&mut rest).ok().filter(|n| *n > 0) {
                    self.after_silence.fetch_add(n, Ordering::SeqCst);
                }
                false
            }
        }
    }
}

/// Time after `name` in a path, in ms.
fn run_time(path: &str, name: &str) -> Option<Duration> {
    let ms = path.split(name).nth(1)?.split('/').next()?;
    Some(Duration::from_millis(ms.parse().ok()?))
}

fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let closed = matches!(stream.peek(&mut [0]), Ok(0));
    stream.set_nonblocking(false).unwrap();
    closed
}
