//! How long a process has really attended, as opposed to how late it is.

use std::time::Duration;

/// A process is asked what is due every few hundredths of a second. More than this
/// between two steps is time in which it could not have heard anybody.
const STEP_MOST: Duration = Duration::from_millis(250);
/// After standing still for so long, what came meanwhile is still to be read.
const STOOD_STILL: Duration = Duration::from_millis(1500);

#[derive(Debug, Default)]
pub struct Attention {
    last: Duration,
    time: Duration,
}

impl Attention {
    /// Says whether the process stood still before this step.
    pub fn tick(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.last);
        self.last = now;
        self.time += passed.min(STEP_MOST);
        passed > STOOD_STILL
    }

    /// Time that the process attended.
    pub fn time(&self) -> Duration {
        self.time
    }
}
