//! Phi accrual failure detector.
//!
//! The time between two heartbeats depends on the settings, the network and the load, and
//! differs by a factor of ten between deployments, so there is no fixed timeout. The detector
//! records the gaps and rates a silence by `phi`, the negative decimal logarithm of the
//! probability of a gap at least that long.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Resolution of the recorded gaps, of up to ten minutes.
const STEP: Duration = Duration::from_micros(100);
const GAP_MOST: u64 = 6_000_000;
/// Size of the sample window; when it is full, the older half is dropped.
const KEEP: u64 = 2048;
/// Number of gaps needed for an estimate.
const LEAST: u64 = 8;
/// Lower bound of the standard deviation as a share of the mean, since a few equal gaps say
/// little about the next one.
const DEVIATION_LEAST: f64 = 0.25;

/// Arrival pattern of the heartbeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Source {
    /// A single sender with a regular interval.
    Periodic,
    /// Many independent senders: arrivals form a Poisson process.
    Independent,
}

#[derive(Debug)]
pub struct PhiAccrual {
    source: Source,
    newer: Histogram<u32>,
    older: Histogram<u32>,
    last: Option<Duration>,
}

fn histogram() -> Histogram<u32> {
    let mut counts = Histogram::new_with_bounds(1, GAP_MOST, 2).expect("bounds that are in order");
    counts.auto(false);
    counts
}

impl PhiAccrual {
    pub fn new(source: Source) -> Self {
        Self {
            source,
            newer: histogram(),
            older: histogram(),
            last: None,
        }
    }

    pub fn record(&mut self, now: Duration) {
        if let Some(last) = self.last {
            let gap = now.saturating_sub(last);
            let steps = (gap.as_nanos() / STEP.as_nanos()) as u64;
            self.newer.saturating_record(steps.max(1));
            if self.newer.len() >= KEEP / 2 {
                std::mem::swap(&mut self.newer, &mut self.older);
                self.newer.reset();
            }
        }
        self.last = Some(now);
    }

    /// Restarts the current silence without recording it as a gap.
    pub fn skip(&mut self, now: Duration) {
        self.last = self.last.map(|_| now);
    }

    pub fn silence(&self, now: Duration) -> Option<Duration> {
        self.last.map(|last| now.saturating_sub(last))
    }

    /// Returns the suspicion level of the current silence, or zero with too few samples.
    pub fn phi(&self, now: Duration) -> f64 {
        let (Some(silence), count) = (self.silence(now), self.newer.len() + self.older.len())
        else {
            return 0.0;
        };
        if count < LEAST {
            return 0.0;
        }
        let silence = silence.as_secs_f64() / STEP.as_secs_f64();
        let of = |f: fn(&Histogram<u32>) -> f64| {
            let part = |h: &Histogram<u32>| match h.len() {
                0 => 0.0,
                len => f(h) * len as f64,
            };
            (part(&self.newer) + part(&self.older)) / count as f64
        };
        let mean = of(Histogram::mean).max(1.0);
        match self.source {
            // Only the part of the silence beyond the 99.9th percentile of the gaps counts.
            Source::Independent => {
                let long = |h: &Histogram<u32>| h.value_at_quantile(0.999) as f64;
                let usual = long(&self.newer).max(long(&self.older));
                (silence - usual).max(0.0) / mean * std::f64::consts::LOG10_E
            }
            Source::Periodic => {
                let deviation = of(Histogram::stdev).max(mean * DEVIATION_LEAST);
                tail(silence - mean, deviation)
            }
        }
    }
}

/// Returns the negative decimal logarithm of a normal distribution's tail beyond `over`, using
/// a logistic approximation.
fn tail(over: f64, deviation: f64) -> f64 {
    let y = over / deviation;
    let e = (-y * (1.5976 + 0.070566 * y * y)).exp();
    match over > 0.0 {
        true => -(e / (1.0 + e)).max(f64::MIN_POSITIVE).log10(),
        false => -(1.0 - 1.0 / (1.0 + e)).log10(),
    }
}
