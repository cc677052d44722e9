//! Refuses runs that the machine should not carry.

use crate::config::Config;

/// Processes that one run may have.
pub const PROCESSES_MOST: usize = 300;

/// What a run is taken to need: a bound from runs of up to 4,000 workers, not a measurement.
const BASE_KB: u64 = 300_000;
const CONTROLLER_KB: u64 = 50_000;
/// Of this process and the leader together.
const WORKER_KB: u64 = 400;

/// Why a run is refused.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Refusal {
    /// It would have too many processes.
    #[error("a run of {processes} processes is more than {PROCESSES_MOST}")]
    Processes {
        /// How many it would have.
        processes: usize,
    },
    /// It may need more than half of the memory.
    #[error("the run may need {needed_kb} kB, more than half of the machine's {total_kb} kB")]
    Memory {
        /// What the run may need.
        needed_kb: u64,
        /// What the machine has.
        total_kb: u64,
    },
    /// It may need more than is free.
    #[error("the run may need {needed_kb} kB, and {available_kb} kB are free")]
    Available {
        /// What the run may need.
        needed_kb: u64,
        /// What is free.
        available_kb: u64,
    },
    /// Nothing is known of the machine's memory.
    #[error("can't read /proc/meminfo")]
    Unknown,
}

/// Memory that the run may need, in kB.
pub fn estimated_kb(config: &Config) -> u64 {
    let controllers = config.controllers.count as u64 * CONTROLLER_KB;
    BASE_KB + controllers + config.fleet.workers as u64 * WORKER_KB
}

/// Whether the run may start on a machine with so much memory.
pub fn check(
    config: &Config,
    total_kb: Option<u64>,
    available_kb: Option<u64>,
) -> Result<(), Refusal> {
    let processes = config.controllers.count + 1;
    if processes > PROCESSES_MOST {
        return Err(Refusal::Processes { processes });
    }
    let needed_kb = estimated_kb(config);
    let total_kb = total_kb.ok_or(Refusal::Unknown)?;
    let available_kb = available_kb.ok_or(Refusal::Unknown)?;
    if needed_kb > total_kb / 2 {
        return Err(Refusal::Memory {
            needed_kb,
            total_kb,
        });
    }
    if needed_kb > available_kb {
        return Err(Refusal::Available {
            needed_kb,
            available_kb,
        });
    }
    Ok(())
}
