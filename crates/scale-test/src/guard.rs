//! Refuses runs that need more resources than the machine should spare.

use crate::config::Config;

/// Maximum number of processes of one run.
pub const MAX_PROCESSES: usize = 300;

/// Upper bounds of the memory of a run, from runs of up to 4,000 workers.
const BASE_KB: u64 = 300_000;
const CONTROLLER_KB: u64 = 50_000;
/// Memory per worker, of this process and the leader together.
const WORKER_KB: u64 = 400;

/// Reason why a run is refused.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Refusal {
    /// The run would have too many processes.
    #[error("the run needs {processes} processes; the maximum is {MAX_PROCESSES}")]
    Processes {
        /// Number of processes.
        processes: usize,
    },
    /// The run may need more than half of the memory.
    #[error(
        "the run may need {needed_kb} kB of memory, more than half of the machine's {total_kb} kB"
    )]
    Memory {
        /// Memory that the run may need, in kB.
        needed_kb: u64,
        /// Memory of the machine, in kB.
        total_kb: u64,
    },
    /// The run may need more memory than is available.
    #[error("the run may need {needed_kb} kB of memory; {available_kb} kB are available")]
    Available {
        /// Memory that the run may need, in kB.
        needed_kb: u64,
        /// Available memory, in kB.
        available_kb: u64,
    },
    /// The machine's memory is unknown.
    #[error("can't read the machine's memory from /proc/meminfo")]
    Unknown,
}

/// Returns the memory that the run may need, in kB.
pub fn estimated_kb(config: &Config) -> u64 {
    let controllers = config.controllers.count as u64 * CONTROLLER_KB;
    BASE_KB + controllers + config.fleet.workers as u64 * WORKER_KB
}

/// Checks whether the run may start on a machine with this memory.
pub fn check(
    config: &Config,
    total_kb: Option<u64>,
    available_kb: Option<u64>,
) -> Result<(), Refusal> {
    let processes = config.controllers.count + 1;
    if processes > MAX_PROCESSES {
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
