//! Accounting of licence seats. A seat is in use from before the start of its task is sent until
//! the task is proven to have ended, and for the linger time of its licence after that.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::config::{Config, Licence};

/// An attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// Name of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u64,
}

/// Number of seats by licence.
pub type Needs = BTreeMap<String, u32>;

/// Inputs of the ledger.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Starts of these attempts are about to be sent: all of them get their seats, or none does.
    Take {
        /// The team that is charged.
        team: String,
        /// Attempts to start.
        attempts: Vec<Attempt>,
        /// Seats that each attempt needs.
        needs: Needs,
    },
    /// The task is proven to have ended, by a newer report or by the machine's release or expired
    /// lease.
    Ended(Attempt),
    /// A task that holds seats was found after a failover.
    Found {
        /// The team that is charged.
        team: String,
        /// Attempt that was found.
        attempt: Attempt,
        /// Seats that it holds.
        needs: Needs,
    },
    /// The complete set of current holders; any other holder has ended.
    Holders(BTreeMap<Attempt, (String, Needs)>),
    /// A silent machine may hold these seats; replaces the machine's earlier entry.
    MayHold {
        /// The machine.
        machine: String,
        /// Seats that it may hold.
        needs: Needs,
    },
    /// No tasks of a former leader remain on the machine.
    MachineEmpty {
        /// The machine.
        machine: String,
    },
    /// The licence counter reported the seats in use outside the cluster.
    CounterReport {
        /// The licence.
        licence: String,
        /// Seats in use outside the cluster.
        elsewhere: u32,
    },
    /// The licence counter refused a seat that should be free.
    CounterRefused {
        /// The licence.
        licence: String,
    },
    /// The configuration has changed.
    Configured(Config),
    /// Time has passed.
    Tick,
}

/// Outputs of the ledger.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// The attempt now holds its seats.
    Taken(Attempt),
    /// No attempt got seats: too few are free for the team.
    InsufficientSeats {
        /// Licence without enough seats.
        licence: String,
        /// Number of missing seats.
        seats: u32,
    },
    /// The licence is not configured.
    Unknown {
        /// Name of the licence.
        licence: String,
    },
    /// Seats were released: requests that wait for this licence may be retried.
    Freed {
        /// Licence whose seats were released.
        licence: String,
    },
}

#[derive(Debug, Clone)]
struct Holder {
    team: String,
    needs: Needs,
    /// Time at which the seats of an ended attempt are released; `None` until it has ended.
    released_at: Option<Duration>,
}

/// Exponential backoff of a licence whose counter refuses seats.
#[derive(Debug, Clone, Copy, Default)]
struct Refusals {
    count: u32,
    until: Duration,
}

const BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Seats of all licences and their holders.
#[derive(Debug, Default)]
pub struct Ledger {
    config: Config,
    holders: BTreeMap<Attempt, Holder>,
    /// Seats that silent machines may hold.
    possibly_held: BTreeMap<String, Needs>,
    /// Seats in use outside the cluster.
    elsewhere: BTreeMap<String, u32>,
    refusals: BTreeMap<String, Refusals>,
    /// Start of the ledger after a failover; seats released before it may still linger.
    failover_at: Option<Duration>,
    /// Licences for which a request was denied.
    denied: BTreeSet<String>,
}

/// The seat counts of a licence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SeatCounts {
    /// Total number of seats.
    pub seats: u32,
    /// Seats of tasks that are not proven to have ended.
    pub held: u32,
    /// Seats of ended tasks that the counter may not have released yet.
    pub lingering: u32,
    /// Seats that silent machines may hold.
    pub possibly_held: u32,
    /// Seats in use outside the cluster.
    pub elsewhere: u32,
}

impl SeatCounts {
    /// Returns the number of free seats; seats that may be in use are not free.
    pub fn free(&self) -> u32 {
        let used = [
            self.held,
            self.lingering,
            self.possibly_held,
            self.elsewhere,
        ];
        let used: u64 = used.into_iter().map(u64::from).sum();
        u64::from(self.seats).saturating_sub(used) as u32
    }
}

impl Ledger {
    /// Creates a ledger without holders.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Creates the ledger of a new leader, which knows only the current holders of seats.
    pub fn after_failover(config: Config, now: Duration) -> Self {
        Self {
            failover_at: Some(now),
            ..Self::new(config)
        }
    }

    /// Returns the names of all configured licences.
    pub fn licences(&self) -> impl Iterator<Item = &str> {
        self.config.licences.keys().map(String::as_str)
    }

    /// Releases seats whose linger time has ended, then applies an input.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = self.expire(now);
        match input {
            Input::Take {
                team,
                attempts,
                needs,
            } => self.take(now, team, attempts, needs, &mut outputs),
            Input::Ended(attempt) => self.mark_ended(now, &attempt, &mut outputs),
            Input::Found {
                team,
                attempt,
                needs,
            } => {
                let holder = Holder {
                    team,
                    needs,
                    released_at: None,
                };
                self.holders.insert(attempt, holder);
            }
            Input::Holders(held) => {
                let active = self.holders.iter().filter(|(_, h)| h.released_at.is_none());
                let ended: Vec<Attempt> = active
                    .map(|(attempt, _)| attempt)
                    .filter(|attempt| !held.contains_key(*attempt))
                    .cloned()
                    .collect();
                for (attempt, (team, needs)) in held {
                    let released_at = None;
                    let holder = Holder {
                        team,
                        needs,
                        released_at,
                    };
                    self.holders.insert(attempt, holder);
                }
                for attempt in ended {
                    self.mark_ended(now, &attempt, &mut outputs);
                }
            }
            Input::MayHold { machine, needs } => {
                self.possibly_held.insert(machine, needs);
            }
            Input::MachineEmpty { machine } => {
                if let Some(needs) = self.possibly_held.remove(&machine) {
                    self.release(needs.into_keys(), &mut outputs);
                }
            }
            Input::CounterReport { licence, elsewhere } => {
                let before = self.elsewhere.insert(licence.clone(), elsewhere);
                self.refusals.remove(&licence);
                if before.unwrap_or(0) > elsewhere {
                    self.release([licence], &mut outputs);
                }
            }
            Input::CounterRefused { licence } => {
                let refusals = self.refusals.entry(licence).or_default();
                let doubled = refusals.count.min(MAX_BACKOFF_DOUBLINGS);
                refusals.count += 1;
                refusals.until = now + BACKOFF * (1 << doubled);
            }
            Input::Configured(config) => {
                self.config = config;
                let names: Vec<String> = self.config.licences.keys().cloned().collect();
                self.release(names, &mut outputs);
            }
            Input::Tick => {}
        }
        outputs
    }

    fn take(
        &mut self,
        now: Duration,
        team: String,
        attempts: Vec<Attempt>,
        needs: Needs,
        outputs: &mut Vec<Output>,
    ) {
        // An attempt that already holds its seats takes no others.
        let holds = |a: &Attempt| self.holders.get(a).is_some_and(|h| h.released_at.is_none());
        let new = attempts.iter().filter(|a| !holds(a)).count() as u64;
        for (licence, seats) in &needs {
            let Some(free) = self.free_seats(licence, &team, now) else {
                let licence = licence.clone();
                outputs.push(Output::Unknown { licence });
                return;
            };
            let wanted = u64::from(*seats) * new;
            if wanted > u64::from(free) {
                self.denied.insert(licence.clone());
                outputs.push(Output::InsufficientSeats {
                    licence: licence.clone(),
                    seats: (wanted - u64::from(free)).min(u64::from(u32::MAX)) as u32,
                });
                return;
            }
        }
        for attempt in attempts {
            let holder = Holder {
                team: team.clone(),
                needs: needs.clone(),
                released_at: None,
            };
            self.holders.insert(attempt.clone(), holder);
            outputs.push(Output::Taken(attempt));
        }
    }

    fn mark_ended(&mut self, now: Duration, attempt: &Attempt, outputs: &mut Vec<Output>) {
        let Some(holder) = self.holders.get_mut(attempt) else {
            return;
        };
        let licences = &self.config.licences;
        let linger = |name: &String| licences.get(name).map_or(Duration::ZERO, |l| l.linger);
        let longest_linger = holder.needs.keys().map(linger).max();
        // A repeated proof does not extend the linger time.
        holder
            .released_at
            .get_or_insert(now + longest_linger.unwrap_or_default());
        outputs.extend(self.expire(now));
    }

    fn expire(&mut self, now: Duration) -> Vec<Output> {
        let is_released = |h: &Holder| h.released_at.is_some_and(|released_at| now >= released_at);
        let mut names = BTreeSet::new();
        self.holders.retain(|_, holder| {
            if is_released(holder) {
                names.extend(holder.needs.keys().cloned());
            }
            !is_released(holder)
        });
        for (name, refusals) in &mut self.refusals {
            if refusals.count > 0 && !refusals.until.is_zero() && now >= refusals.until {
                refusals.until = Duration::ZERO;
                names.insert(name.clone());
            }
        }
        let mut outputs = Vec::new();
        self.release(names, &mut outputs);
        outputs
    }

    fn release(&mut self, names: impl IntoIterator<Item = String>, outputs: &mut Vec<Output>) {
        for licence in names {
            if self.denied.remove(&licence) {
                outputs.push(Output::Freed { licence });
            }
        }
    }

    /// Returns the seat counts of a licence, if it is configured.
    pub fn seat_counts(&self, licence: &str) -> Option<SeatCounts> {
        let known = self.config.licences.get(licence)?;
        let mut seat_counts = SeatCounts {
            seats: known.seats,
            elsewhere: self.elsewhere.get(licence).copied().unwrap_or(0),
            ..SeatCounts::default()
        };
        for holder in self.holders.values() {
            let seats = holder.needs.get(licence).copied().unwrap_or(0);
            match holder.released_at {
                None => seat_counts.held += seats,
                Some(_) => seat_counts.lingering += seats,
            }
        }
        let possibly_held = self
            .possibly_held
            .values()
            .filter_map(|needs| needs.get(licence));
        seat_counts.possibly_held = possibly_held.sum();
        Some(seat_counts)
    }

    /// Returns the seats of a licence held by each team, lingering ones included.
    pub fn seats_by_team(&self, licence: &str) -> BTreeMap<String, u32> {
        let mut teams = BTreeMap::new();
        for holder in self.holders.values() {
            let seats = holder.needs.get(licence).copied().unwrap_or(0);
            if seats > 0 {
                *teams.entry(holder.team.clone()).or_insert(0) += seats;
            }
        }
        teams
    }

    /// Returns the number of seats that a team may take now, without those reserved for other
    /// teams; `None` if the licence is not configured.
    pub fn free_seats(&self, licence: &str, team: &str, now: Duration) -> Option<u32> {
        let known: &Licence = self.config.licences.get(licence)?;
        let is_backing_off = self.refusals.get(licence).is_some_and(|r| now < r.until);
        let may_linger = self
            .failover_at
            .is_some_and(|failover_at| now < failover_at + known.linger);
        if is_backing_off || may_linger {
            return Some(0);
        }
        let held = self.seats_by_team(licence);
        let used = |team: &str| held.get(team).copied().unwrap_or(0);
        let reserved: u64 = known
            .teams
            .iter()
            .filter(|(other, _)| *other != team)
            .map(|(other, share)| u64::from(share.least.saturating_sub(used(other))))
            .sum();
        let free = u64::from(self.seat_counts(licence)?.free()).saturating_sub(reserved);
        let most = known.teams.get(team).and_then(|share| share.most);
        let allowed = most.map_or(u64::MAX, |most| u64::from(most.saturating_sub(used(team))));
        Some(free.min(allowed) as u32)
    }
}
