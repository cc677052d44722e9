//! How a rollout stands, for people.

use std::{collections::BTreeSet, fmt};

use serde::{Deserialize, Serialize};

use crate::{
    generation::{Generation, Stage},
    machine::Held,
};

impl fmt::Display for Held {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Held::Nothing => f.write_str("nothing to do"),
            Held::Paused => f.write_str("paused by an operator"),
            Held::Silent(node) => write!(f, "{node} has not said what it is able to"),
            Held::Unable(node, generation) => {
                write!(f, "{node} is not able to generation {generation}")
            }
            Held::Away(node) => write!(f, "{node} is away, or has not seen how it stands"),
            Held::Soaking(_) => f.write_str("soaking"),
            Held::NoWayBack(feature) => write!(f, "{feature} has no way back"),
            Held::Migrating => f.write_str("old records are left"),
            Held::Free => f.write_str("the next step is being taken"),
        }
    }
}

/// One node, as the one that answers sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node's name.
    pub node: String,
    /// The zone where it is.
    pub zone: String,
    /// It leads.
    pub leads: bool,
    /// It was heard lately.
    pub here: bool,
    /// Operators declared it gone.
    pub gone: bool,
    /// None where it said nothing.
    pub build: Option<String>,
    /// The oldest generation that it reads and writes.
    pub least: Generation,
    /// The newest generation that it reads and writes.
    pub most: Generation,
    /// The features that it knows, by name.
    pub features: Vec<String>,
}

/// How it stands at the node that answers. What only the leader knows is none elsewhere.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The node that answers.
    pub node: String,
    /// It has the file that turns rollouts on.
    pub enabled: bool,
    /// The generation that is left, or at rest the one in use.
    pub from: Generation,
    /// The generation that is moved to; at rest the same.
    pub to: Generation,
    /// How far the move is.
    pub stage: Stage,
    /// An operator has paused it.
    pub paused: bool,
    /// The generation that operators want instead of the newest.
    pub target: Option<Generation>,
    /// Nodes that operators declared gone.
    pub gone: BTreeSet<String>,
    /// All configured nodes, by name.
    pub nodes: Vec<NodeStatus>,
    /// How long the soak has lasted, in milliseconds.
    pub soaked_ms: Option<u64>,
    /// How long it has to last, in milliseconds.
    pub soak_ms: Option<u64>,
    /// What keeps the next step from being taken, in words.
    pub held: Option<String>,
    /// Records rewritten by this leader, and those found that are left.
    pub migrated: Option<u64>,
    /// Records that were found in the old form and not rewritten yet.
    pub left: Option<u64>,
    /// How long the rest of the move is expected to take, where that can be told.
    pub estimate_s: Option<f64>,
    /// Why this node does not act, if it does not.
    pub refuses: Option<String>,
    /// The leader hears all of its zones.
    pub clear: Option<bool>,
}
