//! State machine of the leader that advances the cluster's generation one step at a time.
//!
//! Each step is a stored record, written conditional on the previous record and on the leader's
//! claim (both added by the caller). The step that activates the new format is also conditional
//! on every node's own record as it was read: a node that has restarted since has written another
//! one, and the step fails.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    config::Config,
    generation::{Ability, ClusterGeneration, Feature, Generation, Orders, Stage},
};

/// The known state of one configured node.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NodeState {
    /// The node's own stored record; a process writes one when it starts.
    pub ability: Option<Ability>,
    /// Revision of that record; 0: there is none.
    pub record_revision: u64,
    /// Latest announcement of its process; `None` if it was not heard recently.
    pub announcement: Option<NodeAnnouncement>,
}

/// The periodic announcement of a process to the other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAnnouncement {
    /// Revision of its own record.
    pub started: u64,
    /// Revision of the cluster's record that it knows.
    pub knows: u64,
}

/// The input of a step.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClusterView {
    /// The cluster's record.
    pub cluster: ClusterGeneration,
    /// Revision of the cluster's record; 0: there is none.
    pub revision: u64,
    /// The orders of operators.
    pub orders: Orders,
    /// All configured nodes by name.
    pub nodes: BTreeMap<String, NodeState>,
    /// Whether a listing of old records, begun in the current stage, found none.
    pub no_old_records: bool,
}

/// Actions and log events for the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Store this record, conditional on the previous record, the claim, and these nodes'
    /// records at these revisions.
    Store {
        /// The record to store.
        cluster: ClusterGeneration,
        /// The reason, for the log.
        why: &'static str,
        /// Nodes that the write depends on, each with the revision of its own record.
        nodes: Vec<(String, u64)>,
    },
    /// All nodes are ready, and the soak has started.
    SoakStarted,
    /// The soak was interrupted for this reason and restarts.
    SoakRestarted(String),
}

/// Reason why the next step is not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Blocker {
    /// The cluster is at its target generation.
    AtTarget,
    /// An operator has paused the rollout.
    Paused,
    /// The node has no record: its build predates generations, or it has not started since.
    NoRecord(String),
    /// The node's build does not support that generation.
    Unsupported(String, Generation),
    /// The node was not heard, or does not know the current record.
    NotCurrent(String),
    /// The soak lasts until this time.
    Soaking(Duration),
    /// The move would undo a feature that can't be rolled back.
    Irreversible(&'static str),
    /// Old records remain to be rewritten.
    Migrating,
    /// No blocker: the step is being stored.
    StepIssued,
}

/// Decides when the cluster's record advances, and to which state.
#[derive(Debug)]
pub struct StateMachine {
    config: Config,
    features: &'static [Feature],
    /// Start of the soak, and the processes that take part in it.
    soak: Option<(Duration, BTreeMap<String, u64>)>,
    /// Reason why the next step is not taken, as of the last call of `step`.
    pub blocker: Blocker,
}

impl StateMachine {
    /// Creates a state machine without history; `features` are those that this build knows.
    pub fn new(config: Config, features: &'static [Feature]) -> Self {
        Self {
            config,
            features,
            soak: None,
            blocker: Blocker::AtTarget,
        }
    }

    /// Returns the elapsed time of the current soak.
    pub fn soak_elapsed(&self, now: Duration) -> Duration {
        let since = self.soak.as_ref().map(|(since, _)| *since);
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns the generation to move to next from a settled one.
    fn target(&self, view: &ClusterView) -> Generation {
        let at = view.cluster.from;
        let newest = self.features.iter().map(|f| f.since).max();
        // A feature held back at any node is held back for the cluster.
        let abilities = self
            .active_nodes(view)
            .filter_map(|(_, state)| state.ability.as_ref());
        let limits = abilities.filter_map(|ability| ability.held_to).min();
        let limits = limits.into_iter().chain(self.config.held_to(self.features));
        let newest = limits.chain(newest).min().unwrap_or(at);
        match view.orders.target {
            // One step at a time in either direction.
            Some(target) if target < at => at - 1,
            Some(target) => target.min(newest).min(at + 1).max(at),
            None if self.config.automatic => newest.min(at + 1).max(at),
            None => at,
        }
    }

    /// Evaluates the view and returns the records to store and events to log.
    pub fn step(&mut self, now: Duration, view: &ClusterView) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.blocker = self.decide(now, view, &mut outputs);
        outputs
    }

    fn decide(&mut self, now: Duration, view: &ClusterView, outputs: &mut Vec<Output>) -> Blocker {
        let cluster = view.cluster;
        if cluster.stage != Stage::Soaking {
            self.soak = None;
        }
        if view.orders.paused {
            self.soak = None;
            return Blocker::Paused;
        }
        let store = |outputs: &mut Vec<Output>, cluster, why, nodes| {
            let step = Output::Store {
                cluster,
                why,
                nodes,
            };
            outputs.push(step);
            Blocker::StepIssued
        };
        let with_stage = |stage| ClusterGeneration { stage, ..cluster };
        let needed = match cluster.stage {
            Stage::Settled => self.target(view),
            _ => cluster.to,
        };
        // Until the new format is written, the move can be cancelled at no cost.
        let is_cancellable = matches!(cluster.stage, Stage::Prepared | Stage::Soaking);
        if is_cancellable && self.target(view) != cluster.to {
            let back = ClusterGeneration::settled(cluster.from);
            return store(outputs, back, "the target has changed", Vec::new());
        }
        let supported = self.check_supported(view, needed);
        if is_cancellable && let Err(blocker @ Blocker::Unsupported(..)) = supported {
            store(
                outputs,
                ClusterGeneration::settled(cluster.from),
                "a node does not support the generation",
                Vec::new(),
            );
            return blocker;
        }
        match cluster.stage {
            Stage::Settled if needed == cluster.from => Blocker::AtTarget,
            Stage::Settled => {
                if let Some(feature) = self.irreversible_feature(cluster.from, needed) {
                    return Blocker::Irreversible(feature);
                }
                if let Err(blocker) = supported {
                    return blocker;
                }
                let prepared = ClusterGeneration {
                    to: needed,
                    stage: Stage::Prepared,
                    ..cluster
                };
                store(
                    outputs,
                    prepared,
                    "all nodes support the generation",
                    Vec::new(),
                )
            }
            Stage::Prepared => match supported.and_then(|()| self.check_up_to_date(view)) {
                Err(blocker) => blocker,
                // No soak: the previous format was in use on all of them.
                Ok(nodes) if cluster.to < cluster.from => {
                    store(outputs, with_stage(Stage::Active), "rolling back", nodes)
                }
                Ok(_) => store(
                    outputs,
                    with_stage(Stage::Soaking),
                    "all nodes are up to date",
                    vec![],
                ),
            },
            Stage::Soaking => match supported.and_then(|()| self.check_up_to_date(view)) {
                Err(blocker) => {
                    if self.soak.take().is_some() {
                        outputs.push(Output::SoakRestarted(blocker.to_string()));
                    }
                    blocker
                }
                Ok(nodes) => self.continue_soak(now, nodes, outputs, with_stage(Stage::Active)),
            },
            // These steps don't require all nodes: writes of a process that has not read the
            // new record fail.
            Stage::Active => store(
                outputs,
                with_stage(Stage::Migrating),
                "rewriting of old records begins",
                vec![],
            ),
            Stage::Migrating if view.no_old_records => {
                let settled = ClusterGeneration::settled(cluster.to);
                store(outputs, settled, "no old records remain", vec![])
            }
            Stage::Migrating => Blocker::Migrating,
        }
    }

    fn continue_soak(
        &mut self,
        now: Duration,
        nodes: Vec<(String, u64)>,
        outputs: &mut Vec<Output>,
        next: ClusterGeneration,
    ) -> Blocker {
        let processes: BTreeMap<String, u64> = nodes.iter().cloned().collect();
        let since = match &self.soak {
            Some((since, before)) if *before == processes => *since,
            before => {
                let restart_reason = before.as_ref().map(|(_, before)| {
                    let other =
                        |(node, started): &(&String, &u64)| before.get(*node) != Some(started);
                    let node = processes.iter().find(other).map(|(node, _)| node.as_str());
                    format!("{} was restarted", node.unwrap_or("a node"))
                });
                outputs.push(restart_reason.map_or(Output::SoakStarted, Output::SoakRestarted));
                self.soak = Some((now, processes));
                now
            }
        };
        let until = since + self.config.soak;
        if now < until {
            return Blocker::Soaking(until);
        }
        outputs.push(Output::Store {
            cluster: next,
            why: "soak completed",
            nodes,
        });
        Blocker::StepIssued
    }

    /// Returns the first feature that can't be rolled back, for a move to an older generation.
    fn irreversible_feature(&self, from: Generation, to: Generation) -> Option<&'static str> {
        let undone = self
            .features
            .iter()
            .filter(|f| to < f.since && f.since <= from);
        undone.filter(|f| !f.is_reversible).map(|f| f.name).next()
    }

    /// Returns the configured nodes, without those declared removed.
    fn active_nodes<'a>(
        &self,
        view: &'a ClusterView,
    ) -> impl Iterator<Item = (&'a String, &'a NodeState)> {
        let gone = &view.orders.gone;
        view.nodes.iter().filter(|(node, _)| !gone.contains(*node))
    }

    /// Checks that the records of all nodes, reachable or not, declare support of a generation.
    fn check_supported(&self, view: &ClusterView, generation: Generation) -> Result<(), Blocker> {
        for (node, state) in self.active_nodes(view) {
            match &state.ability {
                None => return Err(Blocker::NoRecord(node.clone())),
                Some(ability) if !ability.supports(generation) => {
                    return Err(Blocker::Unsupported(node.clone(), generation));
                }
                Some(_) => {}
            }
        }
        Ok(())
    }

    /// Checks that all nodes are heard, match their records and know the current cluster record.
    fn check_up_to_date(&self, view: &ClusterView) -> Result<Vec<(String, u64)>, Blocker> {
        let mut nodes = Vec::new();
        for (node, state) in self.active_nodes(view) {
            let is_up_to_date = state.announcement.is_some_and(|announcement| {
                announcement.started == state.record_revision && announcement.knows == view.revision
            });
            if !is_up_to_date {
                return Err(Blocker::NotCurrent(node.clone()));
            }
            nodes.push((node.clone(), state.record_revision));
        }
        Ok(nodes)
    }
}
