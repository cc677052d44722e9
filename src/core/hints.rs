//! What the leader learned and the next one should not have to learn again: which
//! images are in the machines' caches, which jobs fail wherever they run, where
//! the workers are, and what the cloud has refused.
//!
//! The leader tells the other nodes, and they tell whoever leads next. It is taken
//! as a hint: it decides between rooms, how often a job is tried and whom to ask,
//! never whether a task may start.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    Node, Output,
    job::JobId,
    leader::Leader,
    machine::{Machine, MachineId, MachineKind},
    relay::PeerMessage,
};

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Hints {
    /// Each image is named once, and machines refer to it by number.
    images: Vec<Arc<str>>,
    machines: BTreeMap<MachineId, Vec<usize>>,
    #[serde(default)]
    faulty: Vec<JobId>,
    /// Where the workers of machines are, and their session.
    #[serde(default)]
    workers: BTreeMap<MachineId, (SocketAddr, u64)>,
    /// Kinds of machine that the cloud refused, and for how long they are not asked for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    refused: Vec<(MachineKind, Duration)>,
}

/// How often the leader tells them.
const TELL_EVERY: Duration = Duration::from_secs(5);
/// Machines, and jobs, that are told of.
const TOLD_MOST: usize = 8000;

impl Hints {
    fn of(leader: &Leader, now: Duration) -> Self {
        let faulty = leader.jobs.iter().filter(|(_, job)| job.faulty());
        let mut hints = Self {
            faulty: faulty.map(|(id, _)| id.clone()).take(TOLD_MOST).collect(),
            refused: leader.fleet.refusals(now),
            ..Self::default()
        };
        let up = leader.machines.values().filter(|m| m.fenced);
        let workers = up.filter_map(|m| Some((m.id.clone(), (m.addr?, m.session))));
        hints.workers = workers.take(TOLD_MOST).collect();
        let mut numbers: HashMap<Arc<str>, usize> = HashMap::new();
        let machines = leader.machines.values().filter(|m| !m.images.is_empty());
        for machine in machines.take(TOLD_MOST) {
            let number = |image: &Arc<str>| {
                *numbers.entry(image.clone()).or_insert_with(|| {
                    hints.images.push(image.clone());
                    hints.images.len() - 1
                })
            };
            let images = machine.images.keys().map(number).collect();
            hints.machines.insert(machine.id.clone(), images);
        }
        hints
    }

    /// What was told of one machine, given away to it.
    fn give(&mut self, machine: &mut Machine) {
        let numbers = self.machines.remove(&machine.id).unwrap_or_default();
        let images = numbers.into_iter().filter_map(|n| self.images.get(n));
        for image in images {
            machine.images.entry(image.clone()).or_default();
        }
        if let Some(worker) = self.workers.remove(&machine.id) {
            machine.told = Some(worker);
        }
    }

    fn is_empty(&self) -> bool {
        self.machines.is_empty()
            && self.faulty.is_empty()
            && self.workers.is_empty()
            && self.refused.is_empty()
    }
}

impl Node {
    /// The leader tells the others, again and again.
    pub(super) fn pump_hints(&mut self) {
        let now = self.now();
        if now < self.next_hints || !self.leads() {
            return;
        }
        self.next_hints = now + TELL_EVERY;
        let Some(leader) = &self.leader else { return };
        let hints = Hints::of(leader, now);
        for to in self.config.peers.clone() {
            self.out.push(Output::Peer {
                to,
                message: PeerMessage::Hints(hints.clone()),
            });
        }
    }

    /// What the leader told, or to a new one what the one before did.
    pub(super) fn hints_told(&mut self, hints: Hints) {
        match &mut self.leader {
            Some(leader) => leader.recall(hints, self.clock.now),
            None => self.hints = hints,
        }
    }

    /// Another node leads now: a process that has just started knows nothing.
    pub(super) fn pass_hints_on(&mut self) {
        if let Some((record, _)) = &self.mirror.leader
            && record.node != self.config.node
            && !self.hints.is_empty()
        {
            self.out.push(Output::Peer {
                to: record.node.clone(),
                message: PeerMessage::Hints(self.hints.clone()),
            });
        }
    }
}

impl Leader {
    /// Takes what was told of jobs and machines that it knows, and keeps the rest
    /// for machines that are yet to report.
    pub fn recall(&mut self, mut hints: Hints, now: Duration) {
        self.fleet.recall(std::mem::take(&mut hints.refused), now);
        for id in std::mem::take(&mut hints.faulty) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.told_faulty = true;
            }
        }
        for machine in self.machines.values_mut() {
            hints.give(machine);
        }
        self.told = hints;
    }

    /// A machine that is new to this leader.
    pub(super) fn recall_one(&mut self, machine: &mut Machine) {
        self.told.give(machine);
    }
}
