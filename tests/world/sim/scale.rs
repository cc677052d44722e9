//! Size of a simulated world, and its clock intervals.

use std::time::Duration;

use super::ms;

/// `params.state.next` of the settings.
#[derive(Debug, Clone, Copy)]
pub struct Announced {
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// Size of a world, and its clock intervals.
#[derive(Debug, Clone, Copy)]
pub struct Scale {
    pub length: Duration,
    pub lease: Duration,
    pub report: Duration,
    pub cancel: Duration,
    pub gang_wait: Duration,
    /// Machines at the start, and the maximum.
    pub machines: usize,
    pub machines_most: usize,
    pub jobs: usize,
    /// Factor on the number of tasks of arrays.
    pub tasks: u32,
    /// Factor on the run time of tasks.
    pub longer: u64,
    pub team_limit: f64,
    /// Limit of the second team, or 0 for none.
    pub second_limit: f64,
    /// Interval at which a worker checks its lease, tasks and reports.
    pub look: Duration,
    pub value_kb: f64,
    /// Limits of the state service that the settings announce.
    pub announced: Option<Announced>,
    pub troubles: usize,
    /// Seats of the only licence, or 0 for none.
    pub seats: u32,
}

/// Small values, so that the assignment index has many shards.
pub const SMALL: Scale = Scale {
    length: Duration::from_secs(150),
    lease: Duration::from_secs(5),
    report: ms(800),
    cancel: Duration::from_secs(20),
    gang_wait: Duration::from_secs(12),
    machines: 6,
    machines_most: 12,
    jobs: 30,
    tasks: 1,
    longer: 1,
    team_limit: 20.0,
    second_limit: 0.0,
    look: ms(50),
    value_kb: 0.75,
    announced: None,
    troubles: 9,
    seats: 0,
};

/// Tasks that share a few seats, under all random faults.
pub const LICENSED: Scale = Scale { seats: 5, ..SMALL };

/// 40 machines, without random faults.
pub const MEDIUM: Scale = Scale {
    length: Duration::from_secs(90),
    machines: 40,
    machines_most: 60,
    jobs: 50,
    tasks: 4,
    team_limit: 100.0,
    value_kb: 4.0,
    troubles: 0,
    ..SMALL
};

/// Tasks that run for 12 to 46 s, so that those of one job end far apart.
pub const LONG: Scale = Scale {
    longer: 8,
    tasks: 1,
    ..MEDIUM
};

/// 1,000 machines that report as rarely as those of a large fleet.
pub const LARGE: Scale = Scale {
    length: Duration::from_secs(75),
    lease: Duration::from_secs(15),
    report: Duration::from_secs(3),
    cancel: Duration::from_secs(40),
    machines: 1000,
    machines_most: 1050,
    jobs: 90,
    tasks: 20,
    team_limit: 1500.0,
    look: ms(250),
    value_kb: 16.0,
    ..MEDIUM
};

impl Scale {
    /// Returns the same scale without random faults, with that many jobs.
    pub const fn quiet(self, jobs: usize) -> Self {
        Self {
            troubles: 0,
            jobs,
            ..self
        }
    }
}
