//! Accounting of disruption by team and service: wanted replicas, replicas that are down, and the
//! number of replicas that may still be stopped.
//!
//! Failed replicas use up a budget as stopped ones do: a fleet that is losing machines is not
//! drained further. After a failover a replica is not known to run until it is reported, so all
//! count as down at first and none is stopped.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::config::{Budget, Config};

/// Known replica counts of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Replicas {
    /// Number of replicas that the service should have.
    pub wanted: u32,
    /// Number of replicas running and not stopping.
    pub up: u32,
    /// Number of replicas with a stop command that have not ended yet.
    pub stopping: u32,
}

impl Replicas {
    /// Returns the number of replicas that are not up for any reason.
    pub fn down(&self) -> u32 {
        self.wanted.saturating_sub(self.up)
    }

    /// Returns the number of replicas that are down without a stop command.
    pub fn failed(&self) -> u32 {
        self.down().saturating_sub(self.stopping)
    }
}

/// A request to stop one task.
#[derive(Debug, Clone, PartialEq)]
pub struct StopRequest<'a> {
    /// Team whose budget is charged.
    pub team: &'a str,
    /// Replica counts of its service, if it is a replica.
    pub service: Option<Replicas>,
    /// Work that would have to be repeated, as time of one task. A replica loses none.
    pub lost_work: Duration,
}

/// Reason why a task may not be stopped now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// See [`Ledger::max_down`].
    #[error("the service already has the maximum number of replicas down")]
    Service,
    /// See [`Budget::min_up_share`].
    #[error("too few replicas of the team are up, and some have failed")]
    Floor,
    /// See [`Budget::max_stops`].
    #[error("the team's limit on stops within the window is reached")]
    Window,
    /// See [`Budget::max_lost_work`].
    #[error("the team's limit on lost work within the window is reached")]
    Work,
}

#[derive(Debug)]
struct Stopped {
    at: Duration,
    team: String,
    lost_work: Duration,
}

/// Records voluntary stops, and decides whether more are allowed.
#[derive(Debug)]
pub struct Ledger {
    config: Config,
    /// Sums of replica counts by team, as last observed.
    teams: BTreeMap<String, Replicas>,
    /// Recent stops, oldest first.
    stopped: VecDeque<Stopped>,
}

impl Ledger {
    /// Creates a ledger without stops.
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

    /// Returns the number of replicas of one service that may be down at a time: at least one if
    /// the share is above zero, as a small service could never be moved otherwise.
    pub fn max_down(&self, team: &str, wanted: u32) -> u32 {
        let budget = self.budget(team);
        let share = (f64::from(wanted) * budget.max_down_share).floor() as u32;
        match budget.max_down_share > 0.0 {
            true => share.max(1).min(budget.max_down),
            false => budget.max_down,
        }
    }

    /// Returns whether stopping this many more replicas breaches the team's budget. Preemption
    /// chooses such victims last, but may choose them.
    pub fn is_breach(&self, team: &str, service: Replicas, more: u32) -> bool {
        let down = match self.config.counts_failures {
            true => service.down(),
            false => service.stopping,
        };
        down + more > self.max_down(team, service.wanted)
    }

    /// Updates the replica counts of all services; called before any stop is requested.
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

    /// Checks whether a task may be stopped now, without recording a stop.
    pub fn check(&self, now: Duration, request: &StopRequest) -> Result<(), Refusal> {
        let budget = self.budget(request.team);
        if let Some(service) = request.service {
            if service.down() + 1 > self.max_down(request.team, service.wanted) {
                return Err(Refusal::Service);
            }
            let team = self.teams.get(request.team).copied().unwrap_or(service);
            let min_up = f64::from(team.wanted) * budget.min_up_share;
            if team.failed() > 0 && f64::from(team.up) < min_up {
                return Err(Refusal::Floor);
            }
        }
        let recent_stops = || {
            let since = now.saturating_sub(budget.window);
            let is_recent = move |s: &&Stopped| s.team == request.team && s.at > since;
            self.stopped.iter().filter(is_recent)
        };
        if budget
            .max_stops
            .is_some_and(|max| recent_stops().count() as u32 >= max)
        {
            return Err(Refusal::Window);
        }
        if let Some(max) = budget.max_lost_work {
            let lost_work: Duration = recent_stops().map(|s| s.lost_work).sum();
            // A task that exceeds the limit by itself may be stopped if no other work was lost.
            if lost_work + request.lost_work > max && !lost_work.is_zero()
                || request.lost_work > max && max.is_zero()
            {
                return Err(Refusal::Work);
            }
        }
        Ok(())
    }

    /// Records that the task is stopped.
    pub fn record_stop(&mut self, now: Duration, request: &StopRequest) {
        self.prune(now);
        if let (Some(service), Some(team)) = (request.service, self.teams.get_mut(request.team))
            && service.up > 0
        {
            team.up = team.up.saturating_sub(1);
            team.stopping += 1;
        }
        self.stopped.push_back(Stopped {
            at: now,
            team: request.team.to_owned(),
            lost_work: request.lost_work,
        });
    }
}
