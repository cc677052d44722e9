//! What a node is able to, and what the cluster has agreed on: the two stored records.

use std::{collections::BTreeSet, fmt};

use serde::{Deserialize, Serialize};

/// A form of the whole stored state.
pub type Generation = u32;

/// The forms that were there before generations were. A node that says nothing is able to
/// these alone, and a cluster without a record uses them.
pub const OLDEST: Generation = 1;

/// A change of the stored state with a name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Feature {
    /// The name, as operators write it.
    pub name: &'static str,
    /// The first generation that has it.
    pub since: Generation,
    /// What it writes can be written back in the form before.
    pub way_back: bool,
    /// The stored forms and messages that it needs.
    pub forms: &'static [&'static str],
}

/// What a node's process is able to, as it says itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ability {
    /// The build's name, for people.
    pub build: String,
    /// Generations that it reads and writes, the first and the last.
    pub least: Generation,
    /// The newest generation that it reads and writes.
    pub most: Generation,
    /// The names of the features, for people.
    #[serde(default)]
    pub features: Vec<String>,
    /// The newest generation that its operators let the cluster move to; none: any. The
    /// process reads what it is able to all the same.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held_to: Option<Generation>,
}

impl Ability {
    /// Whether the process reads and writes this generation.
    pub fn can(&self, generation: Generation) -> bool {
        (self.least..=self.most).contains(&generation)
    }
}

/// How far a move from one generation to the next is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Nothing moves.
    Settled,
    /// Every node is able to read the new form; nobody writes it.
    Prepared,
    /// The same, and they are watched for a while.
    Soaking,
    /// The new form is written, and the old one still read.
    Active,
    /// Old records are rewritten as well.
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

/// The cluster's generation, as stored. Only the leader changes it.
///
/// Unknown fields are refused: a later build that adds one means something by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// The generation that is left, or at rest the one in use.
    pub from: Generation,
    /// The generation that is moved to; at rest the same.
    pub to: Generation,
    /// How far the move is.
    pub stage: Stage,
}

impl Default for Cluster {
    fn default() -> Self {
        Self::settled(OLDEST)
    }
}

impl Cluster {
    /// A cluster at rest in a generation.
    pub fn settled(generation: Generation) -> Self {
        Self {
            from: generation,
            to: generation,
            stage: Stage::Settled,
        }
    }

    /// The record says something that can be meant.
    pub fn holds(&self) -> bool {
        self.from >= OLDEST && self.to >= OLDEST && (self.stage == Stage::Settled) == self.still()
    }

    fn still(&self) -> bool {
        self.from == self.to
    }

    /// The generation whose forms are written.
    pub fn written(&self) -> Generation {
        match self.stage {
            Stage::Settled | Stage::Prepared | Stage::Soaking => self.from,
            Stage::Active | Stage::Migrating => self.to,
        }
    }

    /// Both forms may be found.
    pub fn mixed(&self) -> bool {
        self.stage >= Stage::Active
    }

    /// The generations whose forms are read, in this order: what is rewritten meanwhile
    /// moves from the first to the second.
    pub fn read(&self) -> impl Iterator<Item = Generation> + use<> {
        let second = self.mixed().then_some(self.to);
        [self.from].into_iter().chain(second)
    }

    /// A process of that ability may act on the stored state.
    pub fn suits(&self, ability: &Ability) -> bool {
        ability.can(self.written()) && (!self.mixed() || ability.can(self.from))
    }

    /// The generation that a process has to be able to.
    pub fn needs(&self) -> Generation {
        match self.mixed() {
            true => self.from.max(self.to),
            false => self.from,
        }
    }
}

/// What operators want, as stored. Any node changes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Orders {
    /// Nothing moves while this is set.
    pub paused: bool,
    /// The generation to move to instead of the newest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Generation>,
    /// Nodes that are gone for good: nobody waits for them.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub gone: BTreeSet<String>,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Stop moving, and rewriting records.
    Pause,
    /// Go on after a pause.
    Resume,
    /// Count this node no longer: it is gone for good.
    Forget(String),
    /// Go to that generation and stay there.
    Target(Generation),
    /// Go to the newest that all are able to.
    Newest,
}

impl Orders {
    /// Changes the record as the order says.
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
