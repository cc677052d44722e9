//! Histogram of latencies and its percentiles.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

const MAX_MICROSECONDS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histogram of latencies.
#[derive(Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

/// Percentiles in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of latencies recorded.
    pub count: u64,
    /// Median.
    pub p50_s: f64,
    /// 90th percentile.
    pub p90_s: f64,
    /// 99th percentile.
    pub p99_s: f64,
    /// Maximum.
    pub max_s: f64,
}

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
            .expect("the bounds are constants that fit");
        Self { histogram }
    }
}

impl Latencies {
    /// Records a latency, capped at ten minutes.
    pub fn record(&mut self, latency: Duration) {
        let micros = (latency.as_micros() as u64).clamp(1, MAX_MICROSECONDS);
        self.histogram.saturating_record(micros);
    }

    /// Returns the percentiles of all recorded latencies.
    pub fn percentiles(&self) -> Percentiles {
        let seconds = |micros: u64| micros as f64 / 1e6;
        let at = |quantile| seconds(self.histogram.value_at_quantile(quantile));
        Percentiles {
            count: self.histogram.len(),
            p50_s: at(0.5),
            p90_s: at(0.9),
            p99_s: at(0.99),
            max_s: seconds(self.histogram.max()),
        }
    }
}
