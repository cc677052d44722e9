//! Emptying machines that operators asked to be emptied.
//!
//! kept → cordoned (no new starts) → draining → empty → returned.
//!
//! A task of the protocol can't run on two machines at once, so a replica is stopped before
//! it starts elsewhere; what can be done first is to make sure of the room. Array tasks are
//! let end, until their time is over; gangs are stopped whole.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ledger::{Ask, Ledger, Refusal, Replicas};

/// One machine that is to be emptied, as stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// When it was asked for, in milliseconds of the time of day.
    pub since_ms: u64,
    /// When tasks that have not ended are stopped; none: they are waited for.
    #[serde(deserialize_with = "Option::deserialize")]
    pub by_ms: Option<u64>,
}

/// All that are to be emptied, as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drains {
    /// When each machine was ordered to be drained, and its deadline, by the machine's name.
    pub machines: BTreeMap<String, Drain>,
}

/// What kind of job a task belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A task that runs to completion by itself.
    Array,
    /// A task of a gang, stopped only with the rest of it.
    Gang,
    /// A replica of a service.
    Replica,
}

/// A task on a machine that is to be emptied.
#[derive(Debug, Clone, PartialEq)]
pub struct Task<K> {
    /// Identifies the task to the caller.
    pub key: K,
    /// The team whose budget is charged.
    pub team: String,
    /// The kind of its job.
    pub kind: Kind,
    /// Told to stop already, or only decided on and not sent.
    pub stopping: bool,
    /// How its service stands, for a replica.
    pub service: Option<Replicas>,
    /// Another machine has room for it now.
    pub room: bool,
    /// What it would lose if it were stopped now.
    pub lost: Duration,
}

/// What a machine waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Waits {
    /// Nothing is left on it.
    Nothing,
    /// Tasks that were told to stop.
    Stopping,
    /// Array tasks and gangs that are let end.
    Ending,
    /// No other machine has room for a replica.
    Room,
    /// The service has as many replicas down as its team allows.
    Service,
    /// The team's replicas are below the floor of its budget.
    Floor,
    /// The team's stops within the window are used up.
    Window,
    /// The team's lost work within the window is used up.
    Work,
    /// The leader does not hear all of its machines.
    Outlook,
    /// A change of the stored state is under way: one thing at a time.
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

/// Which tasks of one machine are to be stopped now, and what the rest waits for. `over`
/// says that its time is over. What is stopped is taken from the ledger at once, and from
/// the standing of the tasks that come after it.
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
                // One replica a step: how its service stands is seen again before the next.
                if task.kind == Kind::Replica {
                    break;
                }
            }
            Err(refusal) => worse(refusal.into()),
        }
    }
    (stop, waits)
}
