//! Drains of machines that operators ordered.
//!
//! active → cordoned (no new starts) → draining → empty → returned.
//!
//! The protocol doesn't let a task run on two machines at once, so a replica is stopped before it
//! starts elsewhere, but only when another machine has capacity for it. Array tasks may complete
//! until the deadline of the drain; gangs are stopped as a whole.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ledger::{Ledger, Refusal, Replicas, StopRequest};

/// The stored drain order of one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Time of the order in Unix milliseconds.
    pub since_ms: u64,
    /// Deadline in Unix milliseconds, when remaining tasks are stopped; `None`: they may complete.
    #[serde(deserialize_with = "Option::deserialize")]
    pub by_ms: Option<u64>,
}

/// The stored drain orders of all machines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drains {
    /// Drain order of each machine by name.
    pub machines: BTreeMap<String, Drain>,
}

/// The kind of job that a task belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A task of an array, which may run to completion.
    Array,
    /// A task of a gang, stopped only together with the rest of it.
    Gang,
    /// A replica of a service.
    Replica,
}

/// A task on a machine that is being drained.
#[derive(Debug, Clone, PartialEq)]
pub struct Task<K> {
    /// Identifies the task to the caller.
    pub key: K,
    /// Team whose budget is charged.
    pub team: String,
    /// Kind of its job.
    pub kind: Kind,
    /// Whether a stop was sent, or will be sent.
    pub stopping: bool,
    /// Replica counts of its service, for a replica.
    pub service: Option<Replicas>,
    /// Whether another machine has capacity for it now.
    pub has_capacity_elsewhere: bool,
    /// Work that would be lost if it were stopped now.
    pub lost_work: Duration,
}

/// Reason why a machine is not drained yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// No tasks remain on it.
    Nothing,
    /// Tasks are stopping.
    Stopping,
    /// Array tasks and gangs may still complete.
    Ending,
    /// No other machine has capacity for a replica.
    #[serde(rename = "room")]
    NoCapacity,
    /// The service has the maximum number of replicas down.
    Service,
    /// The team's replicas are below the floor of its budget.
    Floor,
    /// The team's limit on stops within the window is reached.
    Window,
    /// The team's limit on lost work within the window is reached.
    Work,
    /// The leader does not receive reports from all machines.
    Outlook,
    /// A rollout is in progress; drains wait for it.
    Rollout,
}

impl From<Refusal> for WaitReason {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Service => WaitReason::Service,
            Refusal::Floor => WaitReason::Floor,
            Refusal::Window => WaitReason::Window,
            Refusal::Work => WaitReason::Work,
        }
    }
}

/// Returns the tasks of one machine to stop now, and the reason why the others wait.
/// `is_past_deadline` means that the deadline of the drain has passed. Stops are recorded in the
/// ledger at once, so that they count for the tasks after them.
pub fn step<K: Clone>(
    now: Duration,
    is_past_deadline: bool,
    tasks: &mut [Task<K>],
    ledger: &mut Ledger,
) -> (Vec<K>, WaitReason) {
    let mut stop = Vec::new();
    let mut reason = WaitReason::Nothing;
    let mut note_reason = |new_reason: WaitReason| {
        if reason == WaitReason::Nothing || reason == WaitReason::Stopping {
            reason = new_reason;
        }
    };
    for task in tasks.iter() {
        if task.stopping {
            note_reason(WaitReason::Stopping);
            continue;
        }
        if task.kind != Kind::Replica && !is_past_deadline {
            note_reason(WaitReason::Ending);
            continue;
        }
        if task.kind == Kind::Replica && !task.has_capacity_elsewhere {
            note_reason(WaitReason::NoCapacity);
            continue;
        }
        let request = StopRequest {
            team: &task.team,
            service: task.service,
            lost_work: task.lost_work,
        };
        match ledger.check(now, &request) {
            Ok(()) => {
                ledger.record_stop(now, &request);
                stop.push(task.key.clone());
                note_reason(WaitReason::Stopping);
                // One replica per step: the counts of its service are updated before the next one.
                if task.kind == Kind::Replica {
                    break;
                }
            }
            Err(refusal) => note_reason(refusal.into()),
        }
    }
    (stop, reason)
}
