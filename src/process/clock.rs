//! Monotonic clock that starts with the process.

use std::time::Instant;

use crate::prelude::*;

/// Clock of the tasks that drive the state machines.
pub trait Clock: Send + Sync {
    /// Monotonic time since the start of the process.
    fn now(&self) -> Now;
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
}
