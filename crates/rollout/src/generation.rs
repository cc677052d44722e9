//! Stored records: the generations that a node supports, and the generation of the cluster.

use std::{collections::BTreeSet, fmt};

use serde::{Deserialize, Serialize};

/// The number of a format of the whole stored state.
pub type Generation = u32;

/// The formats in use before generations were introduced. A node without a record supports only
/// these, and a cluster without a record uses them.
pub const OLDEST: Generation = 1;

/// A named change of the stored state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Feature {
    /// Name as used by operators.
    pub name: &'static str,
    /// First generation that includes the feature.
    pub since: Generation,
    /// Whether its records can be rewritten in the previous format.
    pub is_reversible: bool,
    /// Stored formats and messages that it requires.
    pub forms: &'static [&'static str],
}

/// The generations that a node's process supports, as the process declares them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ability {
    /// Name of the build, for display.
    pub build: String,
    /// The oldest generation that it reads and writes.
    pub least: Generation,
    /// The newest generation that it reads and writes.
    pub most: Generation,
    /// Names of the features, for display.
    #[serde(default)]
    pub features: Vec<String>,
    /// The newest generation that its operators allow the cluster to move to; `None`: any. Does
    /// not restrict the generations that the process reads.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held_to: Option<Generation>,
}

impl Ability {
    /// Returns whether the process reads and writes this generation.
    pub fn supports(&self, generation: Generation) -> bool {
        (self.least..=self.most).contains(&generation)
    }
}

/// The stage of a move from one generation to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No move is in progress.
    Settled,
    /// Every node can read the new format; none writes it.
    Prepared,
    /// As `Prepared`, while the nodes are observed for the soak time.
    Soaking,
    /// The new format is written, and the old one is still read.
    Active,
    /// As `Active`, while old records are rewritten.
    Migrating,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::Settled => "settled",
            Stage::Prepared => "prepared",
            Stage::Soaking => "soaking",
            Stage::Active => "active",
            Stage::Migrating => "migrating",
        })
    }
}

/// The stored generation of the cluster. Only the leader changes it.
///
/// Unknown fields are rejected: a field added by a later build must not be ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterGeneration {
    /// The generation that is moved from, or the current one when settled.
    pub from: Generation,
    /// The generation that is moved to; equal to `from` when settled.
    pub to: Generation,
    /// Stage of the move.
    pub stage: Stage,
}

impl Default for ClusterGeneration {
    fn default() -> Self {
        Self::settled(OLDEST)
    }
}

impl ClusterGeneration {
    /// Returns the record of a cluster that is settled in a generation.
    pub fn settled(generation: Generation) -> Self {
        Self {
            from: generation,
            to: generation,
            stage: Stage::Settled,
        }
    }

    /// Returns whether the record is valid.
    pub fn is_valid(&self) -> bool {
        self.from >= OLDEST
            && self.to >= OLDEST
            && (self.stage == Stage::Settled) == self.has_equal_generations()
    }

    fn has_equal_generations(&self) -> bool {
        self.from == self.to
    }

    /// Returns the generation whose formats are written.
    pub fn written_generation(&self) -> Generation {
        match self.stage {
            Stage::Settled | Stage::Prepared | Stage::Soaking => self.from,
            Stage::Active | Stage::Migrating => self.to,
        }
    }

    /// Returns whether records of both formats may exist.
    pub fn is_mixed(&self) -> bool {
        self.stage >= Stage::Active
    }

    /// Returns the generations whose formats are read, in this order: a record that is rewritten
    /// between the reads moves from the first to the second.
    pub fn read_generations(&self) -> impl Iterator<Item = Generation> + use<> {
        let second = self.is_mixed().then_some(self.to);
        [self.from].into_iter().chain(second)
    }

    /// Returns whether a process with this ability may act on the stored state.
    pub fn is_supported_by(&self, ability: &Ability) -> bool {
        ability.supports(self.written_generation())
            && (!self.is_mixed() || ability.supports(self.from))
    }

    /// Returns the generation that a process must support.
    pub fn required_generation(&self) -> Generation {
        match self.is_mixed() {
            true => self.from.max(self.to),
            false => self.from,
        }
    }
}

/// The stored orders of operators. Any node may change them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Orders {
    /// Whether moves are suspended.
    pub paused: bool,
    /// Generation to move to instead of the newest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Generation>,
    /// Nodes that are permanently removed and no longer waited for.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub gone: BTreeSet<String>,
}

/// An order of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Suspend moves and the rewriting of records.
    Pause,
    /// Resume after a pause.
    Resume,
    /// Ignore this node: it is permanently removed.
    Forget(String),
    /// Move to that generation and stay there.
    Target(Generation),
    /// Move to the newest generation that all nodes support.
    Newest,
}

impl Orders {
    /// Applies an order to the record.
    pub fn apply(&mut self, order: &Order) {
        match order {
            Order::Pause => self.paused = true,
            Order::Resume => self.paused = false,
            Order::Forget(node) => {
                self.gone.insert(node.clone());
            }
            Order::Target(generation) => self.target = Some(*generation),
            Order::Newest => self.target = None,
        }
    }
}
