//! Arrival rate of each job class, used to provision capacity ahead of demand.
//!
//! A class with an objective shorter than boot and image fetch can't wait for machines that
//! are requested on arrival. Arrivals are counted per time window by their acceptance time,
//! so that a new leader computes the same counts. The median of the last windows is the
//! expected rate, which neither a burst, as at the start of a day, nor a pause distorts.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::core::job::JobSpec;

const WINDOW: Duration = Duration::from_secs(10);
/// Number of completed windows that are considered.
const WINDOW_COUNT: usize = 5;

struct ClassArrivals {
    /// Latest job of the class, which represents all of them.
    spec: Arc<JobSpec>,
    /// Number of tasks by window.
    tasks: BTreeMap<u64, u32>,
}

#[derive(Default)]
pub struct Arrivals(BTreeMap<Arc<str>, ClassArrivals>);

fn window_index(ms: u64) -> u64 {
    ms / WINDOW.as_millis() as u64
}

impl Arrivals {
    pub fn record(&mut self, spec: &Arc<JobSpec>, accepted_ms: u64) {
        let class = self.0.entry(spec.class.clone());
        let class = class.or_insert_with(|| ClassArrivals {
            spec: spec.clone(),
            tasks: BTreeMap::new(),
        });
        class.spec = spec.clone();
        *class.tasks.entry(window_index(accepted_ms)).or_insert(0) += spec.tasks;
        while class.tasks.len() > WINDOW_COUNT * 2 {
            class.tasks.pop_first();
        }
    }

    /// Returns the number of tasks of each class expected within the given time.
    pub fn expected(
        &self,
        now_ms: u64,
        within: impl Fn(&JobSpec) -> Duration,
    ) -> Vec<(Arc<JobSpec>, u32)> {
        let now = window_index(now_ms);
        let expected = |class: &ClassArrivals| {
            let mut counts: Vec<u32> = (1..=WINDOW_COUNT as u64)
                .filter_map(|ago| now.checked_sub(ago))
                .map(|window| class.tasks.get(&window).copied().unwrap_or(0))
                .collect();
            counts.sort_unstable();
            let median = counts.get(WINDOW_COUNT / 2).copied().unwrap_or(0);
            let windows = within(&class.spec).as_secs_f64() / WINDOW.as_secs_f64();
            (
                class.spec.clone(),
                (f64::from(median) * windows).round() as u32,
            )
        };
        let expected = self.0.values().map(expected);
        expected.filter(|(_, tasks)| *tasks > 0).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::{super::upcoming_capacity::tests::spec, *};

    fn expected_after(windows: &[u32]) -> u32 {
        let mut arrivals = Arrivals::default();
        for (at, jobs) in windows.iter().enumerate() {
            for _ in 0..*jobs {
                let ms = at as u64 * WINDOW.as_millis() as u64 + 5;
                arrivals.record(&Arc::new(spec(1.0, 1.0, false)), ms);
            }
        }
        let now = (windows.len() as u64) * WINDOW.as_millis() as u64 + 1;
        let expected = arrivals.expected(now, |_| WINDOW * 2);
        expected.first().map_or(0, |(_, tasks)| *tasks)
    }

    #[test]
    fn the_median_ignores_bursts_and_pauses() {
        assert_eq!(expected_after(&[500, 80, 4, 5, 6]), 12);
        assert_eq!(expected_after(&[4, 5, 6, 0, 0]), 8);
        assert_eq!(expected_after(&[5, 5, 5, 0, 0, 0, 0]), 0);
        // Too few windows to estimate a rate.
        assert_eq!(expected_after(&[500, 80]), 0);
    }
}
