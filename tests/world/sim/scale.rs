//! How large a simulated world is, and how fast its clocks tick.

use std::time::Duration;

use super::ms;

/// `params.state.next` of the settings.
#[derive(Debug, Clone, Copy)]
pub struct Announced {
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// How large a world is, and how fast its clocks tick.
#[derive(Debug, Clone, Copy)]
pub struct Scale {
    pub length: Duration,
    pub lease: Duration,
    pub report: Duration,
    pub cancel: Duration,
    pub gang_wait: Duration,
    /// Machines at the start, and at most.
    pub machines: usize,
    pub machines_most: usize,
    pub jobs: usize,
    /// How many times as large arrays are.
    pub tasks: u32,
    /// How many times as long tasks run.
    pub longer: u64,
    pub team_limit: f64,
    /// The other team's, or none.
    pub second_limit: f64,
    /// How often a worker looks at what is due.
    pub look: Duration,
    pub value_kb: f64,
    /// Limits of the state service that the settings announce.
    pub announced: Option<Announced>,
    pub troubles: usize,
    /// Seats of the one licence there is, or none.
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

/// Tasks that share a few seats, under all troubles.
pub const LICENSED: Scale = Scale { seats: 5, ..SMALL };

/// 40 machines, without troubles of its own.
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

/// 1,000 machines that report as seldom as a large fleet's do.
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
    /// The same without troubles, with that many jobs.
    pub const fn quiet(self, jobs: usize) -> Self {
        Self {
            troubles: 0,
            jobs,
            ..self
        }
    }
}
