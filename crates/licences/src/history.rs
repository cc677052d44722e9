//! Who held which seat, and when: bounded, and a snapshot for readers costs nothing.

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::ledger::Attempt;

/// One attempt's time with its seats, in milliseconds of the time of day.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stay {
    /// The licence.
    pub licence: String,
    /// The team that was charged.
    pub team: String,
    /// The task that held the seats.
    pub task: String,
    /// The attempt of that task.
    pub attempt: u64,
    /// How many seats it held.
    pub seats: u32,
    /// When it took them.
    pub from_ms: u64,
    /// None while it holds them.
    pub to_ms: Option<u64>,
}

/// Stays in the order in which they began. A clone shares all of it.
#[derive(Debug, Clone)]
pub struct History {
    most: usize,
    next: u64,
    stays: OrdMap<u64, Stay>,
    open: OrdMap<(String, u64, String), u64>,
}

impl History {
    /// An empty history of at most `most` stays, one at least.
    pub fn new(most: usize) -> Self {
        Self {
            most: most.max(1),
            next: 0,
            stays: OrdMap::new(),
            open: OrdMap::new(),
        }
    }

    /// Records that an attempt took seats. Repeated, it changes nothing.
    pub fn begins(&mut self, stay: Stay) {
        let key = (stay.task.clone(), stay.attempt, stay.licence.clone());
        // Told twice, as after a take-over, it is one stay.
        if self.open.contains_key(&key) {
            return;
        }
        self.open.insert(key, self.next);
        self.stays.insert(self.next, stay);
        self.next += 1;
        self.trim();
    }

    /// Records that an attempt gave back all of its seats.
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
                // Clocks of two leaders differ; no stay ends before it began.
                stay.to_ms = Some(to_ms.max(stay.from_ms));
            }
        }
    }

    /// The oldest that are over go first; one that lasts is never forgotten.
    fn trim(&mut self) {
        while self.stays.len() > self.most {
            let over = self.stays.iter().find(|(_, stay)| stay.to_ms.is_some());
            let Some(number) = over.map(|(number, _)| *number) else {
                return;
            };
            self.stays.remove(&number);
        }
    }

    /// All stays, in the order in which they began.
    pub fn stays(&self) -> impl Iterator<Item = &Stay> {
        self.stays.values()
    }

    /// How many stays there are.
    pub fn len(&self) -> usize {
        self.stays.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.stays.is_empty()
    }

    /// Pages of JSON, none larger than `most` bytes, for stored values of that size. A
    /// stay that is larger than a page by itself is left out.
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

    /// The history that pages tell, as far as they can be read.
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
