//! State machine of the leader that advances the cluster's generation one step at a time.
//!
//! Each step is a stored record, written conditional on the previous record and on the leader's
//! claim (both added by the caller). The step that activates the new format is also conditional
//! on every node's own record as it was seen: a node that has restarted since wrote another
//! one, and the step fails.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    config::Config,
    generation::{Ability, Cluster, Feature, Generation, Orders, Stage},
};

/// The known state of one configured node.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Seen {
    /// The node's own stored record; a process writes one when it starts.
    pub ability: Option<Ability>,
    /// Revision of that record; 0: there is none.
    pub started: u64,
    /// Latest announcement of its process; `None` if it was not heard recently.
    pub told: Option<Told>,
}

/// The periodic announcement of a process to the other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Revision of its own record.
    pub started: u64,
    /// Revision of the cluster's record that it knows.
    pub knows: u64,
}

/// The input of a step.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct View {
    /// The cluster's record.
    pub cluster: Cluster,
    /// Revision of the cluster's record; 0: there is none.
    pub revision: u64,
    /// The orders of operators.
    pub orders: Orders,
    /// All configured nodes by name.
    pub nodes: BTreeMap<String, Seen>,
    /// Whether a listing of old records, begun in the current stage, found none.
    pub clean: bool,
}

/// Actions and log events for the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Store this record, conditional on the previous record, the claim, and these nodes'
    /// records at these revisions.
    Store {
        /// The record to store.
        cluster: Cluster,
        /// The reason, for the log.
        why: &'static str,
        /// Nodes that the write depends on, each with the revision of its own record.
        nodes: Vec<(String, u64)>,
    },
    /// All nodes are ready, and the soak has started.
    SoakBegins,
    /// The soak was interrupted for this reason and starts over.
    SoakBeginsAgain(String),
}

/// The reason why the next step is not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Held {
    /// The cluster is at its target generation.
    Nothing,
    /// An operator has paused the rollout.
    Paused,
    /// The node has no record: its build predates generations, or it has not started since.
    Silent(String),
    /// The node's build does not support that generation.
    Unable(String, Generation),
    /// The node was not heard, or does not know the current record.
    Away(String),
    /// The soak lasts until this time.
    Soaking(Duration),
    /// A feature on the way can't be rolled back.
    NoWayBack(&'static str),
    /// Old records remain to be rewritten.
    Migrating,
    /// Nothing: the step is being stored.
    Free,
}

/// Decides when the cluster's record advances, and to which state.
#[derive(Debug)]
pub struct Machine {
    config: Config,
    features: &'static [Feature],
    /// Start of the soak, and the processes that take part in it.
    soak: Option<(Duration, BTreeMap<String, u64>)>,
    /// Reason why the next step is not taken, as of the last call of `step`.
    pub held: Held,
}

impl Machine {
    /// Creates a machine without history; `features` are those that this build knows.
    pub fn new(config: Config, features: &'static [Feature]) -> Self {
        Self {
            config,
            features,
            soak: None,
            held: Held::Nothing,
        }
    }

    /// Returns the elapsed time of the current soak.
    pub fn soaked(&self, now: Duration) -> Duration {
        let since = self.soak.as_ref().map(|(since, _)| *since);
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns the generation to move to from a settled one.
    fn target(&self, view: &View) -> Generation {
        let at = view.cluster.from;
        let newest = self.features.iter().map(|f| f.since).max();
        // A feature held back at any node is held back for the cluster.
        let abilities = self
            .nodes(view)
            .filter_map(|(_, seen)| seen.ability.as_ref());
        let held = abilities.filter_map(|ability| ability.held_to).min();
        let held = held.into_iter().chain(self.config.held_to(self.features));
        let newest = held.chain(newest).min().unwrap_or(at);
        match view.orders.target {
            // One step at a time in either direction.
            Some(target) if target < at => at - 1,
            Some(target) => target.min(newest).min(at + 1).max(at),
            None if self.config.automatic => newest.min(at + 1).max(at),
            None => at,
        }
    }

    /// Evaluates the view and returns the records to store and events to log.
    pub fn step(&mut self, now: Duration, view: &View) -> Vec<Output> {
        let mut out = Vec::new();
        self.held = self.decide(now, view, &mut out);
        out
    }

    fn decide(&mut self, now: Duration, view: &View, out: &mut Vec<Output>) -> Held {
        let cluster = view.cluster;
        if cluster.stage != Stage::Soaking {
            self.soak = None;
        }
        if view.orders.paused {
            self.soak = None;
            return Held::Paused;
        }
        let store = |out: &mut Vec<Output>, cluster, why, nodes| {
            let step = Output::Store {
                cluster,
                why,
                nodes,
            };
            out.push(step);
            Held::Free
        };
        let staged = |stage| Cluster { stage, ..cluster };
        let needed = match cluster.stage {
            Stage::Settled => self.target(view),
            _ => cluster.to,
        };
        // Until the new format is written, the move can be cancelled at no cost.
        let early = matches!(cluster.stage, Stage::Prepared | Stage::Soaking);
        if early && self.target(view) != cluster.to {
            let back = Cluster::settled(cluster.from);
            return store(out, back, "the target has changed", Vec::new());
        }
        let able = self.able(view, needed);
        if early && let Err(held @ Held::Unable(..)) = able {
            store(
                out,
                Cluster::settled(cluster.from),
                "a node does not support the generation",
                Vec::new(),
            );
            return held;
        }
        match cluster.stage {
            Stage::Settled if needed == cluster.from => Held::Nothing,
            Stage::Settled => {
                if let Some(feature) = self.no_way_back(cluster.from, needed) {
                    return Held::NoWayBack(feature);
                }
                if let Err(held) = able {
                    return held;
                }
                let prepared = Cluster {
                    to: needed,
                    stage: Stage::Prepared,
                    ..cluster
                };
                store(
                    out,
                    prepared,
                    "all nodes support the generation",
                    Vec::new(),
                )
            }
            Stage::Prepared => match able.and_then(|()| self.present(view)) {
                Err(held) => held,
                // No soak: the previous format was in use on all of them.
                Ok(nodes) if cluster.to < cluster.from => {
                    store(out, staged(Stage::Active), "rolling back", nodes)
                }
                Ok(_) => store(
                    out,
                    staged(Stage::Soaking),
                    "all nodes are up to date",
                    vec![],
                ),
            },
            Stage::Soaking => match able.and_then(|()| self.present(view)) {
                Err(held) => {
                    if self.soak.take().is_some() {
                        out.push(Output::SoakBeginsAgain(held.to_string()));
                    }
                    held
                }
                Ok(nodes) => self.soaks(now, nodes, out, staged(Stage::Active)),
            },
            // These steps don't require all nodes: writes of a process that has not seen the
            // switch fail.
            Stage::Active => store(
                out,
                staged(Stage::Migrating),
                "rewriting of old records begins",
                vec![],
            ),
            Stage::Migrating if view.clean => {
                let settled = Cluster::settled(cluster.to);
                store(out, settled, "no old records remain", vec![])
            }
            Stage::Migrating => Held::Migrating,
        }
    }

    fn soaks(
        &mut self,
        now: Duration,
        nodes: Vec<(String, u64)>,
        out: &mut Vec<Output>,
        next: Cluster,
    ) -> Held {
        let processes: BTreeMap<String, u64> = nodes.iter().cloned().collect();
        let since = match &self.soak {
            Some((since, before)) if *before == processes => *since,
            before => {
                let again = before.as_ref().map(|(_, before)| {
                    let other =
                        |(node, started): &(&String, &u64)| before.get(*node) != Some(started);
                    let node = processes.iter().find(other).map(|(node, _)| node.as_str());
                    format!("{} was restarted", node.unwrap_or("a node"))
                });
                out.push(again.map_or(Output::SoakBegins, Output::SoakBeginsAgain));
                self.soak = Some((now, processes));
                now
            }
        };
        let until = since + self.config.soak;
        if now < until {
            return Held::Soaking(until);
        }
        out.push(Output::Store {
            cluster: next,
            why: "soak completed",
            nodes,
        });
        Held::Free
    }

    /// Returns the first feature that can't be rolled back, for a move to an older generation.
    fn no_way_back(&self, from: Generation, to: Generation) -> Option<&'static str> {
        let left = self
            .features
            .iter()
            .filter(|f| to < f.since && f.since <= from);
        left.filter(|f| !f.way_back).map(|f| f.name).next()
    }

    /// Returns the configured nodes, without those declared gone.
    fn nodes<'a>(&self, view: &'a View) -> impl Iterator<Item = (&'a String, &'a Seen)> {
        let gone = &view.orders.gone;
        view.nodes.iter().filter(|(node, _)| !gone.contains(*node))
    }

    /// Checks that the records of all nodes, reachable or not, declare support of a generation.
    fn able(&self, view: &View, generation: Generation) -> Result<(), Held> {
        for (node, seen) in self.nodes(view) {
            match &seen.ability {
                None => return Err(Held::Silent(node.clone())),
                Some(ability) if !ability.can(generation) => {
                    return Err(Held::Unable(node.clone(), generation));
                }
                Some(_) => {}
            }
        }
        Ok(())
    }

    /// Checks that all nodes are heard, match their records and know the current cluster record.
    fn present(&self, view: &View) -> Result<Vec<(String, u64)>, Held> {
        let mut nodes = Vec::new();
        for (node, seen) in self.nodes(view) {
            let here = seen
                .told
                .is_some_and(|told| told.started == seen.started && told.knows == view.revision);
            if !here {
                return Err(Held::Away(node.clone()));
            }
            nodes.push((node.clone(), seen.started));
        }
        Ok(nodes)
    }
}
