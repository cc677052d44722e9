//! Phi accrual failure detector.
//!
//! The time between two heartbeats depends on the settings, the network and the load, and
//! differs by a factor of ten between deployments, so there is no fixed timeout. The detector
//! records the gaps and rates a silence by `phi`, the negative decimal logarithm of the
//! probability of a gap at least that long.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Resolution of the recorded gaps.
const GAP_RESOLUTION: Duration = Duration::from_micros(100);
/// Longest recorded gap in units of the resolution: ten minutes.
const MAX_GAP_STEPS: u64 = 6_000_000;
/// Size of the sample window; when it is full, the older half is dropped.
const WINDOW_SIZE: u64 = 2048;
/// Number of gaps needed for an estimate.
const MIN_SAMPLES: u64 = 8;
/// Lower bound of the standard deviation as a share of the mean, since a few equal gaps
/// hardly predict the next one.
const MIN_DEVIATION_RATIO: f64 = 0.25;

/// Arrival pattern of the heartbeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ArrivalPattern {
    /// A single sender with a regular interval.
    Periodic,
    /// Many independent senders: arrivals form a Poisson process.
    Independent,
}

#[derive(Debug)]
pub struct PhiAccrual {
    pattern: ArrivalPattern,
    newer: Histogram<u32>,
    older: Histogram<u32>,
    last_arrival: Option<Duration>,
}

fn histogram() -> Histogram<u32> {
    let mut histogram =
        Histogram::new_with_bounds(1, MAX_GAP_STEPS, 2).expect("valid histogram bounds");
    histogram.auto(false);
    histogram
}

impl PhiAccrual {
    pub fn new(pattern: ArrivalPattern) -> Self {
        Self {
            pattern,
            newer: histogram(),
            older: histogram(),
            last_arrival: None,
        }
    }

    pub fn record(&mut self, now: Duration) {
        if let Some(last_arrival) = self.last_arrival {
            let gap = now.saturating_sub(last_arrival);
            let steps = (gap.as_nanos() / GAP_RESOLUTION.as_nanos()) as u64;
            self.newer.saturating_record(steps.max(1));
            if self.newer.len() >= WINDOW_SIZE / 2 {
                std::mem::swap(&mut self.newer, &mut self.older);
                self.newer.reset();
            }
        }
        self.last_arrival = Some(now);
    }

    /// Restarts the current silence without recording it as a gap.
    pub fn restart_silence(&mut self, now: Duration) {
        self.last_arrival = self.last_arrival.map(|_| now);
    }

    pub fn silence(&self, now: Duration) -> Option<Duration> {
        self.last_arrival
            .map(|last_arrival| now.saturating_sub(last_arrival))
    }

    /// Returns the suspicion level of the current silence, or zero with too few samples.
    pub fn phi(&self, now: Duration) -> f64 {
        let (Some(silence), count) = (self.silence(now), self.newer.len() + self.older.len())
        else {
            return 0.0;
        };
        if count < MIN_SAMPLES {
            return 0.0;
        }
        let silence = silence.as_secs_f64() / GAP_RESOLUTION.as_secs_f64();
        let weighted_mean = |f: fn(&Histogram<u32>) -> f64| {
            let weighted = |h: &Histogram<u32>| match h.len() {
                0 => 0.0,
                len => f(h) * len as f64,
            };
            (weighted(&self.newer) + weighted(&self.older)) / count as f64
        };
        let mean = weighted_mean(Histogram::mean).max(1.0);
        match self.pattern {
            // Only the part of the silence beyond the 99.9th percentile of the gaps counts.
            ArrivalPattern::Independent => {
                let quantile = |h: &Histogram<u32>| h.value_at_quantile(0.999) as f64;
                let usual = quantile(&self.newer).max(quantile(&self.older));
                (silence - usual).max(0.0) / mean * std::f64::consts::LOG10_E
            }
            ArrivalPattern::Periodic => {
                let deviation = weighted_mean(Histogram::stdev).max(mean * MIN_DEVIATION_RATIO);
                normal_tail(silence - mean, deviation)
            }
        }
    }
}

/// Returns the negative decimal logarithm of a normal distribution's tail beyond `excess`, using
/// a logistic approximation.
fn normal_tail(excess: f64, deviation: f64) -> f64 {
    let y = excess / deviation;
    let e = (-y * (1.5976 + 0.070566 * y * y)).exp();
    match excess > 0.0 {
        true => -(e / (1.0 + e)).max(f64::MIN_POSITIVE).log10(),
        false => -(1.0 - 1.0 / (1.0 + e)).log10(),
    }
}
