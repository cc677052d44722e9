//! The ledger of disruption: by team, and by service within it, what should run, what is
//! down now, and how much more may be taken down.
//!
//! What is down by itself uses up a budget as what was stopped does: a fleet that is losing
//! machines is not drained further. After a take-over nothing is known to run until it is
//! seen, so everything counts as down at first, which is the careful side.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::config::{Budget, Config};

/// How a service stands, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Replicas {
    /// Replicas that the service should have.
    pub wanted: u32,
    /// Running, and not told to stop.
    pub up: u32,
    /// Told to stop, and not gone yet.
    pub stopping: u32,
}

impl Replicas {
    /// Replicas that are not up, for whatever reason.
    pub fn down(&self) -> u32 {
        self.wanted.saturating_sub(self.up)
    }

    /// Down without having been told to.
    pub fn failed(&self) -> u32 {
        self.down().saturating_sub(self.stopping)
    }
}

/// One task that somebody would stop.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask<'a> {
    /// The team whose budget is asked.
    pub team: &'a str,
    /// The service that it belongs to, if it is a replica.
    pub service: Option<Replicas>,
    /// Work that would have to be done again, in seconds of one task. A replica loses none.
    pub lost: Duration,
}

/// Why it may not be stopped now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// See [`Ledger::most_down`].
    #[error("as many replicas of the service are down as its team allows")]
    Service,
    /// See [`Budget::floor`].
    #[error("replicas of the team are down by themselves")]
    Floor,
    /// See [`Budget::in_window`].
    #[error("the team's tasks that may be stopped in a while are used up")]
    Window,
    /// See [`Budget::lost`].
    #[error("the team's work that may be lost in a while is used up")]
    Work,
}

#[derive(Debug)]
struct Stopped {
    at: Duration,
    team: String,
    lost: Duration,
}

/// Counts what was stopped on purpose, and says what still may be.
#[derive(Debug)]
pub struct Ledger {
    config: Config,
    /// Replicas wanted and up by team, as they were told last.
    teams: BTreeMap<String, Replicas>,
    /// What was stopped lately, the oldest first.
    stopped: VecDeque<Stopped>,
}

impl Ledger {
    /// A ledger in which nothing was stopped yet.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            teams: BTreeMap::new(),
            stopped: VecDeque::new(),
        }
    }

    fn budget(&self, team: &str) -> &Budget {
        self.config.teams.get(team).unwrap_or(&self.config.default)
    }

    /// Replicas of one service that may be down at a time: one at least where any may be,
    /// or a small service could never be moved.
    pub fn most_down(&self, team: &str, wanted: u32) -> u32 {
        let budget = self.budget(team);
        let share = (f64::from(wanted) * budget.share).floor() as u32;
        match budget.share > 0.0 {
            true => share.max(1).min(budget.tasks),
            false => budget.tasks,
        }
    }

    /// Stopping so many more of a service is a breach of its team's budget. Preemption
    /// takes those last, and is not forbidden them.
    pub fn breach(&self, team: &str, service: Replicas, more: u32) -> bool {
        let down = match self.config.counts_failures {
            true => service.down(),
            false => service.stopping,
        };
        down + more > self.most_down(team, service.wanted)
    }

    /// How all services stand, told before anything is asked.
    pub fn observe<'a>(&mut self, services: impl Iterator<Item = (&'a str, Replicas)>) {
        self.teams.clear();
        for (team, service) in services {
            let sum = self.teams.entry(team.to_owned()).or_default();
            sum.wanted += service.wanted;
            sum.up += service.up;
            sum.stopping += service.stopping;
        }
    }

    fn prune(&mut self, now: Duration) {
        let longest = self.config.longest_window();
        while self.stopped.front().is_some_and(|s| s.at + longest <= now) {
            self.stopped.pop_front();
        }
    }

    /// Whether a task may be stopped now. Nothing is taken yet.
    pub fn ask(&self, now: Duration, ask: &Ask) -> Result<(), Refusal> {
        let budget = self.budget(ask.team);
        if let Some(service) = ask.service {
            if service.down() + 1 > self.most_down(ask.team, service.wanted) {
                return Err(Refusal::Service);
            }
            let team = self.teams.get(ask.team).copied().unwrap_or(service);
            let least = f64::from(team.wanted) * budget.floor;
            if team.failed() > 0 && f64::from(team.up) < least {
                return Err(Refusal::Floor);
            }
        }
        let lately = || {
            let since = now.saturating_sub(budget.window);
            let own = move |s: &&Stopped| s.team == ask.team && s.at > since;
            self.stopped.iter().filter(own)
        };
        if budget
            .in_window
            .is_some_and(|most| lately().count() as u32 >= most)
        {
            return Err(Refusal::Window);
        }
        if let Some(most) = budget.lost {
            let lost: Duration = lately().map(|s| s.lost).sum();
            // A task that alone would lose more may still go, where nothing else did.
            if lost + ask.lost > most && !lost.is_zero() || ask.lost > most && most.is_zero() {
                return Err(Refusal::Work);
            }
        }
        Ok(())
    }

    /// It is stopped.
    pub fn take(&mut self, now: Duration, ask: &Ask) {
        self.prune(now);
        if let (Some(service), Some(team)) = (ask.service, self.teams.get_mut(ask.team))
            && service.up > 0
        {
            team.up = team.up.saturating_sub(1);
            team.stopping += 1;
        }
        self.stopped.push_back(Stopped {
            at: now,
            team: ask.team.to_owned(),
            lost: ask.lost,
        });
    }
}
