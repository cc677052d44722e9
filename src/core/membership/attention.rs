//! Clock that counts only the time during which the process was running.

use std::time::Duration;

/// Longest step that counts in full. Steps come every few hundredths of a second; during a longer
/// one the process was stalled and could not receive messages.
const STEP_MOST: Duration = Duration::from_millis(250);
/// After a stall longer than this, messages that arrived meanwhile are still unread.
const STOOD_STILL: Duration = Duration::from_millis(1500);

#[derive(Debug, Default)]
pub struct Attention {
    last: Duration,
    time: Duration,
}

impl Attention {
    /// Advances the clock and returns whether the process was stalled before this step.
    pub fn tick(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.last);
        self.last = now;
        self.time += passed.min(STEP_MOST);
        passed > STOOD_STILL
    }

    /// Returns the time during which the process was running.
    pub fn time(&self) -> Duration {
        self.time
    }
}
