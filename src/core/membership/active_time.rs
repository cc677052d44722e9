//! Clock that counts only the time during which the process was running.

use std::time::Duration;

/// Longest step that counts in full. Steps come every few hundredths of a second; during a longer
/// one the process was stalled and could not receive messages.
const MAX_STEP: Duration = Duration::from_millis(250);
/// After a stall longer than this, messages that arrived meanwhile are still unread.
const STALL_THRESHOLD: Duration = Duration::from_millis(1500);

#[derive(Debug, Default)]
pub struct ActiveTime {
    last_tick: Duration,
    elapsed: Duration,
}

impl ActiveTime {
    /// Advances the clock and returns whether the process was stalled before this step.
    pub fn tick(&mut self, now: Duration) -> bool {
        let step = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        self.elapsed += step.min(MAX_STEP);
        step > STALL_THRESHOLD
    }

    /// Returns the time during which the process was running.
    pub fn elapsed(&self) -> Duration {
        self.elapsed
    }
}
