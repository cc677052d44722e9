//! Size of a simulated world, and its clock intervals.

use std::time::Duration;

use super::ms;

/// `params.state.next` of the settings.
#[derive(Debug, Clone, Copy)]
pub struct AnnouncedLimits {
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// Size of a world, and its clock intervals.
#[derive(Debug, Clone, Copy)]
pub struct Scale {
    pub duration: Duration,
    pub lease: Duration,
    pub report: Duration,
    pub cancel: Duration,
    pub gang_wait: Duration,
    /// Machines at the start, and the maximum.
    pub machines: usize,
    pub max_machines: usize,
    pub jobs: usize,
    /// Factor on the number of tasks of arrays.
    pub array_factor: u32,
    /// Factor on the run time of tasks.
    pub duration_factor: u64,
    pub team_limit: f64,
    /// Limit of the second team, or 0 for none.
    pub second_team_limit: f64,
    /// Interval at which a worker checks its lease and its tasks, and reports if a report is due.
    pub worker_interval: Duration,
    pub value_kb: f64,
    /// Limits of the state service that the settings announce.
    pub announced: Option<AnnouncedLimits>,
    pub random_faults: usize,
    /// Seats of the only licence, or 0 for none.
    pub seats: u32,
}

/// Small values, so that the assignment index has many shards.
pub const SMALL: Scale = Scale {
    duration: Duration::from_secs(150),
    lease: Duration::from_secs(5),
    report: ms(800),
    cancel: Duration::from_secs(20),
    gang_wait: Duration::from_secs(12),
    machines: 6,
    max_machines: 12,
    jobs: 30,
    array_factor: 1,
    duration_factor: 1,
    team_limit: 20.0,
    second_team_limit: 0.0,
    worker_interval: ms(50),
    value_kb: 0.75,
    announced: None,
    random_faults: 9,
    seats: 0,
};

/// Tasks that share a few seats, under all random faults.
pub const LICENSED: Scale = Scale { seats: 5, ..SMALL };

/// 40 machines, without random faults.
pub const MEDIUM: Scale = Scale {
    duration: Duration::from_secs(90),
    machines: 40,
    max_machines: 60,
    jobs: 50,
    array_factor: 4,
    team_limit: 100.0,
    value_kb: 4.0,
    random_faults: 0,
    ..SMALL
};

/// Tasks that run for 12 to 46 s, so that those of one job end at very different times.
pub const LONG: Scale = Scale {
    duration_factor: 8,
    array_factor: 1,
    ..MEDIUM
};

/// 1,000 machines that report as rarely as those of a large fleet.
pub const LARGE: Scale = Scale {
    duration: Duration::from_secs(75),
    lease: Duration::from_secs(15),
    report: Duration::from_secs(3),
    cancel: Duration::from_secs(40),
    machines: 1000,
    max_machines: 1050,
    jobs: 90,
    array_factor: 20,
    team_limit: 1500.0,
    worker_interval: ms(250),
    value_kb: 16.0,
    ..MEDIUM
};

impl Scale {
    /// Returns the same scale without random faults, with that many jobs.
    pub const fn quiet(self, jobs: usize) -> Self {
        Self {
            random_faults: 0,
            jobs,
            ..self
        }
    }
}
