//! Monotonic clock that starts with the process.

use std::time::Instant;

use rustix::time::{clock_gettime, ClockId};

use crate::prelude::*;

/// Clock of the tasks that drive the state machines.
pub trait Clock: Send + Sync {
    /// Monotonic time since the start of the process.
    fn now(&self) -> Now;

    /// Monotonic time since an arbitrary point, which also advances while the VM is suspended.
    fn boot_time(&self) -> Duration;
}

/// Clock that reads the monotonic clock of the operating system.
pub struct ProcessClock {
    start: Instant,
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for ProcessClock {
    fn now(&self) -> Now {
        self.start.elapsed()
    }

    fn boot_time(&self) -> Duration {
        let t = clock_gettime(ClockId::Boottime);
        Duration::new(t.tv_sec.unsigned_abs(), t.tv_nsec.unsigned_abs() as u32)
    }
}
