//! Who holds which seat. A seat is in use from before its task's start is sent until the
//! task is proven gone, and for as long after that as its licence lingers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::config::{Config, Licence};

/// One try of one task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// The task's name.
    pub task: String,
    /// The number of the attempt.
    pub attempt: u64,
}

/// Seats by licence.
pub type Needs = BTreeMap<String, u32>;

/// What the ledger is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A start of these is about to be sent: all of them get their seats, or none does.
    Take {
        /// The team that is charged.
        team: String,
        /// The attempts to be started.
        attempts: Vec<Attempt>,
        /// Of each.
        needs: Needs,
    },
    /// The task is proven gone: by a newer report, the machine's release or its lease.
    Gone(Attempt),
    /// A task was found that holds seats, after a take-over.
    Found {
        /// The team that is charged.
        team: String,
        /// The attempt that was found.
        attempt: Attempt,
        /// The seats that it holds.
        needs: Needs,
    },
    /// All that holds seats now, as it is known otherwise: who is not named is gone.
    Holding(BTreeMap<Attempt, (String, Needs)>),
    /// A silent machine may hold as much; what was told of it before is replaced.
    MayHold {
        /// The machine.
        machine: String,
        /// The seats that it may hold.
        needs: Needs,
    },
    /// Nothing of a former leader is left there.
    Empty {
        /// The machine.
        machine: String,
    },
    /// The counter says how many seats are in use by others.
    Counted {
        /// The licence.
        licence: String,
        /// Seats in use outside the cluster.
        elsewhere: u32,
    },
    /// The counter gave no seat though there should be one.
    Refused {
        /// The licence.
        licence: String,
    },
    /// Another file.
    Configured(Config),
    /// Time goes on.
    Tick,
}

/// What follows from an input.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// The attempt holds its seats from now on.
    Taken(Attempt),
    /// None of them: this licence lacks so many seats.
    Lacking {
        /// The licence that lacks seats.
        licence: String,
        /// How many seats are missing.
        seats: u32,
    },
    /// The licence is not known at all.
    Unknown {
        /// The name that is not in the configuration.
        licence: String,
    },
    /// Seats have come back: whoever waits for this licence may try again.
    Freed {
        /// The licence whose seats came back.
        licence: String,
    },
}

#[derive(Debug, Clone)]
struct Holder {
    team: String,
    needs: Needs,
    /// It is gone, and its seats come back then.
    until: Option<Duration>,
}

/// A licence whose counter refuses is tried again after twice as long each time.
#[derive(Debug, Clone, Copy, Default)]
struct Refusals {
    count: u32,
    until: Duration,
}

const BACK_OFF: Duration = Duration::from_secs(1);
const BACK_OFF_DOUBLED_MOST: u32 = 6;

/// The seats of all licences, and who holds them.
#[derive(Debug, Default)]
pub struct Ledger {
    config: Config,
    holders: BTreeMap<Attempt, Holder>,
    /// What silent machines may hold.
    maybe: BTreeMap<String, Needs>,
    /// Seats that people use outside kiteyard.
    elsewhere: BTreeMap<String, u32>,
    refusals: BTreeMap<String, Refusals>,
    /// When the ledger began: what went before may linger still.
    began: Option<Duration>,
    /// Licences that somebody asked for in vain.
    wanted: BTreeSet<String>,
}

/// How a licence stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// Seats in all.
    pub seats: u32,
    /// Seats of tasks that are not proven gone.
    pub held: u32,
    /// Gone, and not given back by the counter yet.
    pub lingering: u32,
    /// Seats that silent machines may hold.
    pub maybe: u32,
    /// Seats in use outside the cluster.
    pub elsewhere: u32,
}

impl Standing {
    /// Never counts on what may be in use.
    pub fn free(&self) -> u32 {
        let used = [self.held, self.lingering, self.maybe, self.elsewhere];
        let used: u64 = used.into_iter().map(u64::from).sum();
        u64::from(self.seats).saturating_sub(used) as u32
    }
}

impl Ledger {
    /// A ledger in which nobody holds a seat.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// A ledger that takes the place of another one, of which it knows only what still
    /// holds seats.
    pub fn after_take_over(config: Config, now: Duration) -> Self {
        Self {
            began: Some(now),
            ..Self::new(config)
        }
    }

    /// The names of all configured licences.
    pub fn licences(&self) -> impl Iterator<Item = &str> {
        self.config.licences.keys().map(String::as_str)
    }

    /// Takes an input in, after expiring what lingers no more, and tells what follows.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut out = self.expire(now);
        match input {
            Input::Take {
                team,
                attempts,
                needs,
            } => self.take(now, team, attempts, needs, &mut out),
            Input::Gone(attempt) => self.gone(now, &attempt, &mut out),
            Input::Found {
                team,
                attempt,
                needs,
            } => {
                let holder = Holder {
                    team,
                    needs,
                    until: None,
                };
                self.holders.insert(attempt, holder);
            }
            Input::Holding(held) => {
                let lasting = self.holders.iter().filter(|(_, h)| h.until.is_none());
                let gone: Vec<Attempt> = lasting
                    .map(|(attempt, _)| attempt)
                    .filter(|attempt| !held.contains_key(*attempt))
                    .cloned()
                    .collect();
                for (attempt, (team, needs)) in held {
                    let until = None;
                    let holder = Holder { team, needs, until };
                    self.holders.insert(attempt, holder);
                }
                for attempt in gone {
                    self.gone(now, &attempt, &mut out);
                }
            }
            Input::MayHold { machine, needs } => {
                self.maybe.insert(machine, needs);
            }
            Input::Empty { machine } => {
                if let Some(needs) = self.maybe.remove(&machine) {
                    self.freed(needs.into_keys(), &mut out);
                }
            }
            Input::Counted { licence, elsewhere } => {
                let before = self.elsewhere.insert(licence.clone(), elsewhere);
                self.refusals.remove(&licence);
                if before.unwrap_or(0) > elsewhere {
                    self.freed([licence], &mut out);
                }
            }
            Input::Refused { licence } => {
                let refusals = self.refusals.entry(licence).or_default();
                let doubled = refusals.count.min(BACK_OFF_DOUBLED_MOST);
                refusals.count += 1;
                refusals.until = now + BACK_OFF * (1 << doubled);
            }
            Input::Configured(config) => {
                self.config = config;
                let names: Vec<String> = self.config.licences.keys().cloned().collect();
                self.freed(names, &mut out);
            }
            Input::Tick => {}
        }
        out
    }

    fn take(
        &mut self,
        now: Duration,
        team: String,
        attempts: Vec<Attempt>,
        needs: Needs,
        out: &mut Vec<Output>,
    ) {
        // One that holds its seats already takes no others.
        let holds = |a: &Attempt| self.holders.get(a).is_some_and(|h| h.until.is_none());
        let new = attempts.iter().filter(|a| !holds(a)).count() as u64;
        for (licence, seats) in &needs {
            let Some(free) = self.free_for(licence, &team, now) else {
                let licence = licence.clone();
                out.push(Output::Unknown { licence });
                return;
            };
            let wanted = u64::from(*seats) * new;
            if wanted > u64::from(free) {
                self.wanted.insert(licence.clone());
                out.push(Output::Lacking {
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
                until: None,
            };
            self.holders.insert(attempt.clone(), holder);
            out.push(Output::Taken(attempt));
        }
    }

    fn gone(&mut self, now: Duration, attempt: &Attempt, out: &mut Vec<Output>) {
        let Some(holder) = self.holders.get_mut(attempt) else {
            return;
        };
        let licences = &self.config.licences;
        let linger = |name: &String| licences.get(name).map_or(Duration::ZERO, |l| l.linger);
        let longest = holder.needs.keys().map(linger).max();
        // Proven twice, it still went but once.
        holder
            .until
            .get_or_insert(now + longest.unwrap_or_default());
        out.extend(self.expire(now));
    }

    fn expire(&mut self, now: Duration) -> Vec<Output> {
        let over = |h: &Holder| h.until.is_some_and(|until| now >= until);
        let mut names = BTreeSet::new();
        self.holders.retain(|_, holder| {
            if over(holder) {
                names.extend(holder.needs.keys().cloned());
            }
            !over(holder)
        });
        for (name, refusals) in &mut self.refusals {
            if refusals.count > 0 && !refusals.until.is_zero() && now >= refusals.until {
                refusals.until = Duration::ZERO;
                names.insert(name.clone());
            }
        }
        let mut out = Vec::new();
        self.freed(names, &mut out);
        out
    }

    fn freed(&mut self, names: impl IntoIterator<Item = String>, out: &mut Vec<Output>) {
        for licence in names {
            if self.wanted.remove(&licence) {
                out.push(Output::Freed { licence });
            }
        }
    }

    /// How a licence stands; none where it is not known.
    pub fn standing(&self, licence: &str) -> Option<Standing> {
        let known = self.config.licences.get(licence)?;
        let mut standing = Standing {
            seats: known.seats,
            elsewhere: self.elsewhere.get(licence).copied().unwrap_or(0),
            ..Standing::default()
        };
        for holder in self.holders.values() {
            let seats = holder.needs.get(licence).copied().unwrap_or(0);
            match holder.until {
                None => standing.held += seats,
                Some(_) => standing.lingering += seats,
            }
        }
        let maybe = self.maybe.values().filter_map(|needs| needs.get(licence));
        standing.maybe = maybe.sum();
        Some(standing)
    }

    /// What each team holds of a licence, what lingers included.
    pub fn by_team(&self, licence: &str) -> BTreeMap<String, u32> {
        let mut teams = BTreeMap::new();
        for holder in self.holders.values() {
            let seats = holder.needs.get(licence).copied().unwrap_or(0);
            if seats > 0 {
                *teams.entry(holder.team.clone()).or_insert(0) += seats;
            }
        }
        teams
    }

    /// Seats that a team may take now. Those kept for other teams are left to them.
    pub fn free_for(&self, licence: &str, team: &str, now: Duration) -> Option<u32> {
        let known: &Licence = self.config.licences.get(licence)?;
        let waits = self.refusals.get(licence).is_some_and(|r| now < r.until);
        let lingers = self.began.is_some_and(|began| now < began + known.linger);
        if waits || lingers {
            return Some(0);
        }
        let held = self.by_team(licence);
        let has = |team: &str| held.get(team).copied().unwrap_or(0);
        let kept: u64 = known
            .teams
            .iter()
            .filter(|(other, _)| *other != team)
            .map(|(other, share)| u64::from(share.least.saturating_sub(has(other))))
            .sum();
        let free = u64::from(self.standing(licence)?.free()).saturating_sub(kept);
        let most = known.teams.get(team).and_then(|share| share.most);
        let own = most.map_or(u64::MAX, |most| u64::from(most.saturating_sub(has(team))));
        Some(free.min(own) as u32)
    }
}
