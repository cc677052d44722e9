//! Rate limit by a token bucket.

use std::time::Duration;

/// Token bucket that admits `rate` per second on average, and `burst` at once.
#[derive(Debug)]
pub struct RateLimit {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl RateLimit {
    /// Creates a full bucket.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            refilled_at: Duration::ZERO,
        }
    }

    /// Lowers rate and burst to `rate`, unless they are lower already.
    pub fn lower(&mut self, rate: f64) {
        self.rate = self.rate.min(rate);
        self.burst = self.burst.min(rate);
    }

    /// Takes `amount` if the bucket holds it; an amount above the burst is never admitted.
    pub fn admit(&mut self, now: Duration, amount: f64) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}
