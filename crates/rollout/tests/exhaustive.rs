//! Search of every state reachable with three nodes, two generations, delayed writes and restarts,
//! where the end of one job is the record whose format changes.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use kiteyard_rollout::{
    config::Config,
    generation::{Ability, ClusterGeneration, Feature, Generation, Orders},
    state_machine::{ClusterView, NodeAnnouncement, NodeState, Output, StateMachine},
};

const FEATURES: &[Feature] = &[Feature {
    name: "second",
    since: 2,
    is_reversible: true,
    forms: &[],
}];
const NODES: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Process {
    most: Generation,
    /// Revision of its own record; 0: not stored yet.
    started: u8,
    /// The cluster's record that it knows, with its revision.
    knows: (u8, ClusterKey),
}

/// A hashable form of the cluster record.
type ClusterKey = (Generation, Generation, u8);

fn cluster_key(cluster: ClusterGeneration) -> ClusterKey {
    (cluster.from, cluster.to, cluster.stage as u8)
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Write {
    Step {
        next: ClusterKey,
        if_cluster: u8,
        if_nodes: Vec<(usize, u8)>,
    },
    /// The job ends: its end is stored in a format, conditional on the job being live.
    End { form: Generation, if_cluster: u8 },
    /// The job is submitted again: accepted if no end is found in these formats.
    Accept {
        absent: Vec<Generation>,
        if_cluster: u8,
    },
    /// The end of the job is rewritten.
    Move {
        from: Generation,
        to: Generation,
        if_cluster: u8,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    cluster: (u8, ClusterKey),
    /// Record of each node: its ability and revision.
    records: [(Generation, u8); NODES],
    processes: [Process; NODES],
    /// Format in which the end is stored.
    end: Option<Generation>,
    /// Delayed writes.
    delayed: Vec<Write>,
    restarts: u8,
    rollback_ordered: bool,
}

/// An injected fault.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Writes do not depend on the cluster's record.
    Unconditional,
    /// While records are rewritten, only the new format is read.
    NewFormatOnly,
    /// The cluster settles without a listing of old records.
    NoListing,
}

fn cluster(key: ClusterKey) -> ClusterGeneration {
    use kiteyard_rollout::generation::Stage::*;
    let stage = [Settled, Prepared, Soaking, Active, Migrating][key.2 as usize];
    ClusterGeneration {
        from: key.0,
        to: key.1,
        stage,
    }
}

fn ability(most: Generation) -> Ability {
    Ability {
        build: String::new(),
        least: 1,
        most,
        features: Vec::new(),
        held_to: None,
    }
}

fn read_formats(key: ClusterKey, fault: Fault) -> Vec<Generation> {
    let cluster = cluster(key);
    match fault {
        Fault::NewFormatOnly if cluster.is_mixed() => vec![cluster.to],
        _ => cluster.read_generations().collect(),
    }
}

/// Bounds on writes delayed at a time, on restarts in all, and on steps of the cluster.
const MAX_DELAYED_WRITES: usize = 1;
const MAX_RESTARTS: u8 = 1;
const MAX_STEPS: u8 = 10;

impl State {
    fn initial() -> Self {
        let process = |started| Process {
            most: 2,
            started,
            knows: (0, cluster_key(ClusterGeneration::default())),
        };
        Self {
            cluster: (0, cluster_key(ClusterGeneration::default())),
            records: [(2, 1), (2, 2), (2, 3)],
            processes: [process(1), process(2), process(3)],
            end: None,
            delayed: Vec::new(),
            restarts: 0,
            rollback_ordered: false,
        }
    }

    fn node_supports(&self, node: usize, key: ClusterKey) -> bool {
        cluster(key).is_supported_by(&ability(self.processes[node].most))
    }

    /// Returns the steps of the state machine if `node` leads, given what it knows.
    fn steps(&self, node: usize, fault: Fault) -> Vec<Write> {
        let leader = &self.processes[node];
        let no_old_records =
            fault == Fault::NoListing || self.end != Some(cluster(leader.knows.1).from);
        let node_state = |n: usize| {
            let (most, started) = self.records[n];
            let process = &self.processes[n];
            let state = NodeState {
                ability: Some(ability(most)),
                record_revision: started.into(),
                announcement: (process.started > 0).then_some(NodeAnnouncement {
                    started: process.started.into(),
                    knows: process.knows.0.into(),
                }),
            };
            (format!("{n}"), state)
        };
        let orders = Orders {
            target: self.rollback_ordered.then_some(1),
            ..Orders::default()
        };
        let view = ClusterView {
            cluster: cluster(leader.knows.1),
            revision: leader.knows.0.into(),
            orders,
            nodes: (0..NODES).map(node_state).collect::<BTreeMap<_, _>>(),
            no_old_records,
        };
        let config = Config::parse("soak_s = 0", FEATURES).expect("a good file");
        let mut machine = StateMachine::new(config, FEATURES);
        let step = |output| match output {
            Output::Store { cluster, nodes, .. } => Some(Write::Step {
                next: cluster_key(cluster),
                if_cluster: leader.knows.0,
                if_nodes: nodes
                    .into_iter()
                    .map(|(node, at)| (node.parse().expect("a number"), at as u8))
                    .collect(),
            }),
            _ => None,
        };
        let outputs = machine.step(Duration::ZERO, &view);
        outputs.into_iter().filter_map(step).collect()
    }

    /// Returns the writes that a process may send, given what it knows.
    fn writes(&self, node: usize, fault: Fault) -> Vec<Write> {
        let knows = self.processes[node].knows;
        if !self.node_supports(node, knows.1) {
            return Vec::new();
        }
        let known = cluster(knows.1);
        let mut writes = self.steps(node, fault);
        writes.push(Write::End {
            form: known.written_generation(),
            if_cluster: knows.0,
        });
        writes.push(Write::Accept {
            absent: read_formats(knows.1, fault),
            if_cluster: knows.0,
        });
        if known.is_mixed() {
            writes.push(Write::Move {
                from: known.from,
                to: known.to,
                if_cluster: knows.0,
            });
        }
        writes
    }

    /// Applies a write if its conditions hold; returns the invariant that it violates.
    fn apply(&mut self, write: &Write, fault: Fault) -> Option<&'static str> {
        let is_current = |at: u8| fault == Fault::Unconditional || at == self.cluster.0;
        match write {
            Write::Step {
                next,
                if_cluster,
                if_nodes,
            } => {
                let nodes = if_nodes
                    .iter()
                    .all(|(node, at)| self.records[*node].1 == *at);
                if *if_cluster == self.cluster.0 && nodes {
                    self.cluster = (self.cluster.0 + 1, *next);
                }
            }
            Write::End { form, if_cluster } if is_current(*if_cluster) => {
                self.end.get_or_insert(*form);
            }
            Write::Accept { absent, if_cluster } => {
                let is_unread = |form| !absent.contains(&form);
                if is_current(*if_cluster) && self.end.is_some_and(is_unread) {
                    return Some("a job that has ended was accepted again");
                }
            }
            Write::Move {
                from,
                to,
                if_cluster,
            } if is_current(*if_cluster) && self.end == Some(*from) => {
                self.end = Some(*to);
            }
            _ => {}
        }
        None
    }

    fn violation(&self, fault: Fault) -> Option<&'static str> {
        let end = self.end?;
        for (node, process) in self.processes.iter().enumerate() {
            // A process answers only from a cluster record that is known to be current.
            let answers =
                process.knows.0 == self.cluster.0 && self.node_supports(node, process.knows.1);
            if answers && !read_formats(process.knows.1, fault).contains(&end) {
                return Some("the end of a job is not found in the formats that are read");
            }
            if answers && end > process.most {
                return Some("a process that can't read the end answers");
            }
        }
        None
    }

    fn next(&self, fault: Fault) -> Vec<Result<State, &'static str>> {
        let mut all = Vec::new();
        for node in 0..NODES {
            let mut state = self.clone();
            state.processes[node].knows = self.cluster;
            all.push(Ok(state));
            // May be stored late, conditional on no other record being stored since the read.
            if self.processes[node].started == 0 {
                let mut state = self.clone();
                let at = self.records.iter().map(|(_, at)| at).max().unwrap_or(&0) + 1;
                state.records[node] = (self.processes[node].most, at);
                state.processes[node].started = at;
                all.push(Ok(state));
            }
            for most in [1, 2] {
                if self.restarts < MAX_RESTARTS {
                    let mut state = self.clone();
                    state.restarts += 1;
                    // A process reads all records before it acts.
                    state.processes[node] = Process {
                        most,
                        started: 0,
                        knows: self.cluster,
                    };
                    all.push(Ok(state));
                }
            }
            for write in self.writes(node, fault) {
                if self.cluster.0 >= MAX_STEPS && matches!(write, Write::Step { .. }) {
                    continue;
                }
                let mut immediate = self.clone();
                all.push(match immediate.apply(&write, fault) {
                    Some(violation) => Err(violation),
                    None => Ok(immediate),
                });
                if self.delayed.len() < MAX_DELAYED_WRITES && !self.delayed.contains(&write) {
                    let mut state = self.clone();
                    state.delayed.push(write.clone());
                    state.delayed.sort_by_key(|write| format!("{write:?}"));
                    all.push(Ok(state));
                }
            }
        }
        for at in 0..self.delayed.len() {
            let mut state = self.clone();
            let write = state.delayed.remove(at);
            all.push(match state.apply(&write, fault) {
                Some(violation) => Err(violation),
                None => Ok(state),
            });
        }
        if !self.rollback_ordered {
            let mut state = self.clone();
            state.rollback_ordered = true;
            all.push(Ok(state));
        }
        all
    }
}

/// Visits the reachable states; returns their number, whether both the upgrade and the rollback
/// were completed, and the first violation.
fn search(fault: Fault, max_states: usize) -> (usize, bool, Option<&'static str>) {
    let mut visited = HashSet::from([State::initial()]);
    let mut queue = std::collections::VecDeque::from([State::initial()]);
    let (mut upgraded, mut rolled_back) = (false, false);
    while let Some(state) = queue.pop_front() {
        if let Some(violation) = state.violation(fault) {
            return (visited.len(), upgraded && rolled_back, Some(violation));
        }
        upgraded |=
            state.cluster.1 == cluster_key(ClusterGeneration::settled(2)) && state.end == Some(2);
        rolled_back |=
            state.cluster.0 > 5 && state.cluster.1 == cluster_key(ClusterGeneration::settled(1));
        for next in state.next(fault) {
            match next {
                Err(violation) => return (visited.len(), upgraded && rolled_back, Some(violation)),
                Ok(next) if visited.len() < max_states && !visited.contains(&next) => {
                    visited.insert(next.clone());
                    queue.push_back(next);
                }
                Ok(_) => {}
            }
        }
    }
    (visited.len(), upgraded && rolled_back, None)
}

#[test]
fn no_order_of_delayed_writes_and_restarts_loses_the_end_of_a_job() {
    let (states, both_ways, violation) = search(Fault::None, 4_000_000);
    assert_eq!(violation, None);
    println!("{states} states, settled after upgrade and rollback: {both_ways}");
    assert!(states >= 100, "{states} states");
}

#[test]
fn injected_faults_are_detected() {
    for fault in [Fault::Unconditional, Fault::NewFormatOnly, Fault::NoListing] {
        let (states, _, violation) = search(fault, 2_000_000);
        assert!(
            violation.is_some(),
            "{fault:?} was not detected in {states} states"
        );
        println!(
            "{fault:?}: {} after {states} states",
            violation.unwrap_or_default()
        );
    }
}
