//! The leader's part: when the cluster's generation moves.
//!
//! One step at a time. Each step is a stored record, written on condition of the record
//! before it and of the leader's claim (both the caller's), and the step that switches to
//! the new form also on condition of every node's own record as it was seen: a node that
//! was started again since wrote another one, and the step fails.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    config::Config,
    generation::{Ability, Cluster, Feature, Generation, Orders, Stage},
};

/// What is known of one configured node.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Seen {
    /// Its own stored record, and the revision of it: a process writes one when it starts.
    pub ability: Option<Ability>,
    /// The revision of that record; 0: there is none.
    pub started: u64,
    /// What its process told lately; none where it was not heard.
    pub told: Option<Told>,
}

/// What a process tells the others again and again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The revision of its own record.
    pub started: u64,
    /// The revision of the cluster's record that it knows.
    pub knows: u64,
}

/// All that a step looks at.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct View {
    /// The cluster's record.
    pub cluster: Cluster,
    /// Revision of the cluster's record; 0: there is none.
    pub revision: u64,
    /// What operators want.
    pub orders: Orders,
    /// All configured nodes by name.
    pub nodes: BTreeMap<String, Seen>,
    /// A listing of old records that began at the stage now found none.
    pub clean: bool,
}

/// What the machine wants done, or logged.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Store this on condition of the record it follows, the claim, and these nodes'
    /// records at these revisions.
    Store {
        /// The record to store.
        cluster: Cluster,
        /// The reason, for the log.
        why: &'static str,
        /// Nodes, each with the revision of its own record, that the write depends on.
        nodes: Vec<(String, u64)>,
    },
    /// All were seen able to, and it begins to be counted for how long.
    SoakBegins,
    /// The soak was broken for this reason, and is counted from the start.
    SoakBeginsAgain(String),
}

/// What keeps the next step from being taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Held {
    /// There is nothing to move to.
    Nothing,
    /// An operator has paused the rollout.
    Paused,
    /// No record of its own: a build from before generations, or not started since.
    Silent(String),
    /// Its build is not able to that generation.
    Unable(String, Generation),
    /// It was not heard, or has not seen the record as it stands.
    Away(String),
    /// All is well; until then.
    Soaking(Duration),
    /// A feature on the way has no way back.
    NoWayBack(&'static str),
    /// Old records are left.
    Migrating,
    /// The step goes out now.
    Free,
}

/// Decides when the cluster's record moves, and to what.
#[derive(Debug)]
pub struct Machine {
    config: Config,
    features: &'static [Feature],
    /// Since when the soak lasts, and the processes that it is about.
    soak: Option<(Duration, BTreeMap<String, u64>)>,
    /// What keeps the next step from being taken, as of the last one.
    pub held: Held,
}

impl Machine {
    /// A machine that has seen nothing; `features` are those that this build knows.
    pub fn new(config: Config, features: &'static [Feature]) -> Self {
        Self {
            config,
            features,
            soak: None,
            held: Held::Nothing,
        }
    }

    /// How long the soak under way has lasted.
    pub fn soaked(&self, now: Duration) -> Duration {
        let since = self.soak.as_ref().map(|(since, _)| *since);
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Where the cluster should go from a generation at rest.
    fn target(&self, view: &View) -> Generation {
        let at = view.cluster.from;
        let newest = self.features.iter().map(|f| f.since).max();
        // Whoever holds a feature back, at any node, holds it back.
        let abilities = self
            .nodes(view)
            .filter_map(|(_, seen)| seen.ability.as_ref());
        let held = abilities.filter_map(|ability| ability.held_to).min();
        let held = held.into_iter().chain(self.config.held_to(self.features));
        let newest = held.chain(newest).min().unwrap_or(at);
        match view.orders.target {
            // One step at a time, both ways.
            Some(target) if target < at => at - 1,
            Some(target) => target.min(newest).min(at + 1).max(at),
            None if self.config.automatic => newest.min(at + 1).max(at),
            None => at,
        }
    }

    /// Looks at the cluster, and tells what is to be stored and logged.
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
        // Until the new form is written, a change of mind costs nothing.
        let early = matches!(cluster.stage, Stage::Prepared | Stage::Soaking);
        if early && self.target(view) != cluster.to {
            let back = Cluster::settled(cluster.from);
            return store(out, back, "not wanted any more", Vec::new());
        }
        let able = self.able(view, needed);
        if early && let Err(held @ Held::Unable(..)) = able {
            store(
                out,
                Cluster::settled(cluster.from),
                "a node is not able to",
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
                store(out, prepared, "all nodes are able to", Vec::new())
            }
            Stage::Prepared => match able.and_then(|()| self.present(view)) {
                Err(held) => held,
                // The form before was in use on all of them.
                Ok(nodes) if cluster.to < cluster.from => {
                    store(out, staged(Stage::Active), "going back", nodes)
                }
                Ok(_) => store(out, staged(Stage::Soaking), "all nodes are here", vec![]),
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
            // Nobody has to be here for these: writes of whoever has not seen the switch
            // fail.
            Stage::Active => store(out, staged(Stage::Migrating), "rewriting begins", vec![]),
            Stage::Migrating if view.clean => {
                let settled = Cluster::settled(cluster.to);
                store(out, settled, "nothing old is left", vec![])
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
                    format!("{} was started again", node.unwrap_or("a node"))
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
            why: "soaked",
            nodes,
        });
        Held::Free
    }

    /// Going down: the first feature that can't be undone.
    fn no_way_back(&self, from: Generation, to: Generation) -> Option<&'static str> {
        let left = self
            .features
            .iter()
            .filter(|f| to < f.since && f.since <= from);
        left.filter(|f| !f.way_back).map(|f| f.name).next()
    }

    /// Nodes that count.
    fn nodes<'a>(&self, view: &'a View) -> impl Iterator<Item = (&'a String, &'a Seen)> {
        let gone = &view.orders.gone;
        view.nodes.iter().filter(|(node, _)| !gone.contains(*node))
    }

    /// All nodes say of themselves that they are able to a generation, here or not.
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

    /// All are here, are the processes that their records are of, and know how it stands.
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
