//! Refuses runs that the machine should not carry.

use crate::config::Config;

pub const PROCESSES_MOST: usize = 300;

/// What a run is taken to need: a bound from runs of up to 4,000 workers, not a measurement.
const BASE_KB: u64 = 300_000;
const CONTROLLER_KB: u64 = 50_000;
/// Of this process and the leader together.
const WORKER_KB: u64 = 400;

#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Refusal {
    #[error("a run of {processes} processes is more than {PROCESSES_MOST}")]
    Processes { processes: usize },
    #[error("the run may need {needed_kb} kB, more than half of the machine's {total_kb} kB")]
    Memory { needed_kb: u64, total_kb: u64 },
    #[error("the run may need {needed_kb} kB, and {available_kb} kB are free")]
    Available { needed_kb: u64, available_kb: u64 },
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
