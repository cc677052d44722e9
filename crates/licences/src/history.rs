//! Bounded history of held seats, with cheap snapshots for readers.

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::ledger::Attempt;

/// The period for which an attempt held seats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stay {
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
    most: usize,
    next: u64,
    stays: OrdMap<u64, Stay>,
    open: OrdMap<(String, u64, String), u64>,
}

impl History {
    /// Creates an empty history that keeps `most` periods, at least one.
    pub fn new(most: usize) -> Self {
        Self {
            most: most.max(1),
            next: 0,
            stays: OrdMap::new(),
            open: OrdMap::new(),
        }
    }

    /// Records that an attempt took seats; idempotent.
    pub fn begins(&mut self, stay: Stay) {
        let key = (stay.task.clone(), stay.attempt, stay.licence.clone());
        // A period recorded twice, as after a failover, is kept once.
        if self.open.contains_key(&key) {
            return;
        }
        self.open.insert(key, self.next);
        self.stays.insert(self.next, stay);
        self.next += 1;
        self.trim();
    }

    /// Records that an attempt released all of its seats.
    pub fn ends(&mut self, attempt: &Attempt, to_ms: u64) {
        let first = (attempt.task.clone(), attempt.attempt, String::new());
        let of = |key: &(String, u64, String)| key.0 == attempt.task && key.1 == attempt.attempt;
        let over: Vec<_> = self
            .open
            .range(first..)
            .take_while(|(key, _)| of(key))
            .map(|(key, number)| (key.clone(), *number))
            .collect();
        for (key, number) in over {
            self.open.remove(&key);
            if let Some(stay) = self.stays.get_mut(&number) {
                // Clocks of two leaders may differ; no period ends before its start.
                stay.to_ms = Some(to_ms.max(stay.from_ms));
            }
        }
    }

    /// Removes the oldest ended periods over the bound; an open one is never removed.
    fn trim(&mut self) {
        while self.stays.len() > self.most {
            let over = self.stays.iter().find(|(_, stay)| stay.to_ms.is_some());
            let Some(number) = over.map(|(number, _)| *number) else {
                return;
            };
            self.stays.remove(&number);
        }
    }

    /// Returns all periods in order of their start.
    pub fn stays(&self) -> impl Iterator<Item = &Stay> {
        self.stays.values()
    }

    /// Returns the number of periods.
    pub fn len(&self) -> usize {
        self.stays.len()
    }

    /// Returns whether there are no periods.
    pub fn is_empty(&self) -> bool {
        self.stays.is_empty()
    }

    /// Returns the history as JSON pages of at most `most` bytes, to be stored as values. A period
    /// that is larger than a page by itself is omitted.
    pub fn pages(&self, most: usize) -> Vec<String> {
        let mut pages: Vec<String> = Vec::new();
        let mut page = String::new();
        for text in self.stays().filter_map(|s| serde_json::to_string(s).ok()) {
            if text.len() + 2 > most {
                continue;
            }
            if !page.is_empty() && page.len() + text.len() + 2 > most {
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
    pub fn restore<'a>(most: usize, pages: impl IntoIterator<Item = &'a str>) -> Self {
        let mut history = Self::new(most);
        for page in pages {
            let stays: Vec<Stay> = serde_json::from_str(page).unwrap_or_default();
            for stay in stays {
                let (to, attempt) = (
                    stay.to_ms,
                    Attempt {
                        task: stay.task.clone(),
                        attempt: stay.attempt,
                    },
                );
                history.begins(Stay {
                    to_ms: None,
                    ..stay
                });
                if let Some(to) = to {
                    history.ends(&attempt, to);
                }
            }
        }
        history
    }
}
