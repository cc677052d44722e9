//! Bounded history of held seats, with cheap snapshots for readers.

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::ledger::Attempt;

/// The period for which an attempt held seats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatPeriod {
    /// Name of the licence.
    pub licence: String,
    /// Team that was charged.
    pub team: String,
    /// Task that held the seats.
    pub task: String,
    /// Attempt of that task.
    pub attempt: u64,
    /// Number of seats.
    pub seats: u32,
    /// Start of the period in Unix milliseconds.
    pub from_ms: u64,
    /// End of the period in Unix milliseconds; `None` while the seats are held.
    pub to_ms: Option<u64>,
}

/// Periods in order of their start. A clone shares the data.
#[derive(Debug, Clone)]
pub struct History {
    max: usize,
    next: u64,
    periods: OrdMap<u64, SeatPeriod>,
    open: OrdMap<(String, u64, String), u64>,
}

impl History {
    /// Creates an empty history that keeps `max` periods, at least one.
    pub fn new(max: usize) -> Self {
        Self {
            max: max.max(1),
            next: 0,
            periods: OrdMap::new(),
            open: OrdMap::new(),
        }
    }

    /// Records that an attempt took seats; idempotent.
    pub fn record_start(&mut self, period: SeatPeriod) {
        let key = (period.task.clone(), period.attempt, period.licence.clone());
        // A period recorded twice, as after a failover, is kept once.
        if self.open.contains_key(&key) {
            return;
        }
        self.open.insert(key, self.next);
        self.periods.insert(self.next, period);
        self.next += 1;
        self.trim();
    }

    /// Records that an attempt released all of its seats.
    pub fn record_end(&mut self, attempt: &Attempt, to_ms: u64) {
        let first = (attempt.task.clone(), attempt.attempt, String::new());
        let is_of_attempt =
            |key: &(String, u64, String)| key.0 == attempt.task && key.1 == attempt.attempt;
        let ended: Vec<_> = self
            .open
            .range(first..)
            .take_while(|(key, _)| is_of_attempt(key))
            .map(|(key, number)| (key.clone(), *number))
            .collect();
        for (key, number) in ended {
            self.open.remove(&key);
            if let Some(period) = self.periods.get_mut(&number) {
                // Clocks of two leaders may differ; no period ends before its start.
                period.to_ms = Some(to_ms.max(period.from_ms));
            }
        }
    }

    /// Removes the oldest ended periods beyond the bound; an open one is never removed.
    fn trim(&mut self) {
        while self.periods.len() > self.max {
            let ended = self
                .periods
                .iter()
                .find(|(_, period)| period.to_ms.is_some());
            let Some(number) = ended.map(|(number, _)| *number) else {
                return;
            };
            self.periods.remove(&number);
        }
    }

    /// Returns all periods in order of their start.
    pub fn periods(&self) -> impl Iterator<Item = &SeatPeriod> {
        self.periods.values()
    }

    /// Returns the number of periods.
    pub fn len(&self) -> usize {
        self.periods.len()
    }

    /// Returns whether there are no periods.
    pub fn is_empty(&self) -> bool {
        self.periods.is_empty()
    }

    /// Returns the history as JSON pages of at most `max` bytes, to be stored as values. A period
    /// that is larger than a page by itself is omitted.
    pub fn pages(&self, max: usize) -> Vec<String> {
        let mut pages: Vec<String> = Vec::new();
        let mut page = String::new();
        for text in self.periods().filter_map(|s| serde_json::to_string(s).ok()) {
            if text.len() + 2 > max {
                continue;
            }
            if !page.is_empty() && page.len() + text.len() + 2 > max {
                pages.push(std::mem::take(&mut page) + "]");
            }
            page.push(if page.is_empty() { '[' } else { ',' });
            page += &text;
        }
        if !page.is_empty() {
            pages.push(page + "]");
        }
        pages
    }

    /// Restores a history from pages; skips pages that don't parse.
    pub fn restore<'a>(max: usize, pages: impl IntoIterator<Item = &'a str>) -> Self {
        let mut history = Self::new(max);
        for page in pages {
            let periods: Vec<SeatPeriod> = serde_json::from_str(page).unwrap_or_default();
            for period in periods {
                let (to, attempt) = (
                    period.to_ms,
                    Attempt {
                        task: period.task.clone(),
                        attempt: period.attempt,
                    },
                );
                history.record_start(SeatPeriod {
                    to_ms: None,
                    ..period
                });
                if let Some(to) = to {
                    history.record_end(&attempt, to);
                }
            }
        }
        history
    }
}
