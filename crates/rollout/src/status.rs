//! Status of a rollout, for display.

use std::{collections::BTreeSet, fmt};

use serde::{Deserialize, Serialize};

use crate::{
    generation::{Generation, Stage},
    state_machine::Blocker,
};

impl fmt::Display for Blocker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Blocker::AtTarget => f.write_str("nothing to do"),
            Blocker::Paused => f.write_str("paused by an operator"),
            Blocker::NoRecord(node) => write!(
                f,
                "{node} has not declared the generations that it supports"
            ),
            Blocker::Unsupported(node, generation) => {
                write!(f, "{node} does not support generation {generation}")
            }
            Blocker::NotCurrent(node) => write!(
                f,
                "{node} was not heard, or does not know the current generation record"
            ),
            Blocker::Soaking(_) => f.write_str("soaking"),
            Blocker::Irreversible(feature) => write!(f, "{feature} can't be rolled back"),
            Blocker::Migrating => f.write_str("old records remain to be rewritten"),
            Blocker::StepIssued => f.write_str("the next step is being taken"),
        }
    }
}

/// The status of one node, as the answering node sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node's name.
    pub node: String,
    /// Zone of the node.
    pub zone: String,
    /// Whether it is the leader.
    pub leads: bool,
    /// Whether it was heard recently.
    pub here: bool,
    /// Whether operators declared it permanently removed.
    pub gone: bool,
    /// Its build; `None` if it has not declared one.
    pub build: Option<String>,
    /// The oldest generation that it reads and writes.
    pub least: Generation,
    /// The newest generation that it reads and writes.
    pub most: Generation,
    /// Names of the features that it knows.
    pub features: Vec<String>,
}

/// The status as the answering node knows it. Fields known only to the leader are `None` elsewhere.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The node that answers.
    pub node: String,
    /// Whether the node has a rollout file, which enables rollouts.
    pub enabled: bool,
    /// The generation that is moved from, or the current one when settled.
    pub from: Generation,
    /// The generation that is moved to; equal to `from` when settled.
    pub to: Generation,
    /// Stage of the move.
    pub stage: Stage,
    /// Whether an operator has paused the rollout.
    pub paused: bool,
    /// Generation that operators ordered instead of the newest.
    pub target: Option<Generation>,
    /// Nodes that operators declared permanently removed.
    pub gone: BTreeSet<String>,
    /// All configured nodes, by name.
    pub nodes: Vec<NodeStatus>,
    /// Elapsed time of the soak, in milliseconds.
    pub soaked_ms: Option<u64>,
    /// Required time of the soak, in milliseconds.
    pub soak_ms: Option<u64>,
    /// Reason why the next step is not taken, as text.
    pub held: Option<String>,
    /// Number of records rewritten by this leader.
    pub migrated: Option<u64>,
    /// Number of records found in the old format and not rewritten yet.
    pub left: Option<u64>,
    /// Estimated time until the move completes, if known.
    pub estimate_s: Option<f64>,
    /// Reason why this node does not act on the stored state, if so.
    pub refuses: Option<String>,
    /// Whether the leader receives reports from all of its zones.
    pub clear: Option<bool>,
}
