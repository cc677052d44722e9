//! Drains of machines that operators ordered.
//!
//! active → cordoned (no new starts) → draining → empty → returned.
//!
//! The protocol doesn't let a task run on two machines at once, so a replica is stopped before it
//! starts elsewhere, but only when another machine has room for it. Array tasks may end by
//! themselves until the deadline of the drain; gangs are stopped as a whole.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ledger::{Ask, Ledger, Refusal, Replicas};

/// The stored drain order of one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Time of the order in Unix milliseconds.
    pub since_ms: u64,
    /// Deadline in Unix milliseconds, when remaining tasks are stopped; `None`: they may end.
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
    /// A task of an array, which runs to completion by itself.
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
    /// Whether a stop was sent, or decided on and not sent yet.
    pub stopping: bool,
    /// Replica counts of its service, for a replica.
    pub service: Option<Replicas>,
    /// Whether another machine has room for it now.
    pub room: bool,
    /// Work that would be lost if it were stopped now.
    pub lost: Duration,
}

/// The reason why a machine is not drained yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Waits {
    /// No tasks are left on it.
    Nothing,
    /// Tasks are stopping.
    Stopping,
    /// Array tasks and gangs may still end by themselves.
    Ending,
    /// No other machine has room for a replica.
    Room,
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

impl From<Refusal> for Waits {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Service => Waits::Service,
            Refusal::Floor => Waits::Floor,
            Refusal::Window => Waits::Window,
            Refusal::Work => Waits::Work,
        }
    }
}

/// Returns the tasks of one machine to stop now, and the reason why the rest waits. `over` means
/// that the deadline of the drain has passed. Stops are recorded in the ledger at once, so that
/// they count for the tasks after them.
pub fn step<K: Clone>(
    now: Duration,
    over: bool,
    tasks: &mut [Task<K>],
    ledger: &mut Ledger,
) -> (Vec<K>, Waits) {
    let mut stop = Vec::new();
    let mut waits = Waits::Nothing;
    let mut worse = |found: Waits| {
        if waits == Waits::Nothing || waits == Waits::Stopping {
            waits = found;
        }
    };
    for task in tasks.iter() {
        if task.stopping {
            worse(Waits::Stopping);
            continue;
        }
        if task.kind != Kind::Replica && !over {
            worse(Waits::Ending);
            continue;
        }
        if task.kind == Kind::Replica && !task.room {
            worse(Waits::Room);
            continue;
        }
        let ask = Ask {
            team: &task.team,
            service: task.service,
            lost: task.lost,
        };
        match ledger.ask(now, &ask) {
            Ok(()) => {
                ledger.take(now, &ask);
                stop.push(task.key.clone());
                worse(Waits::Stopping);
                // One replica a step: the counts of its service are updated before the next one.
                if task.kind == Kind::Replica {
                    break;
                }
            }
            Err(refusal) => worse(refusal.into()),
        }
    }
    (stop, waits)
}
