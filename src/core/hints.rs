//! What the leader learned and the next one should not have to learn again: which
//! images are in the machines' caches, and which jobs fail wherever they run.
//!
//! The leader tells the other nodes, and they tell whoever leads next. It is taken
//! as a hint: it decides between rooms and how often a job is tried, never whether
//! a task may start.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    Node, Output,
    job::JobId,
    leader::Leader,
    machine::{Machine, MachineId},
    relay::PeerMessage,
};

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Hints {
    /// Each image is named once, and machines refer to it by number.
    images: Vec<Arc<str>>,
    machines: BTreeMap<MachineId, Vec<usize>>,
    #[serde(default)]
    faulty: Vec<JobId>,
}

/// How often the leader tells them.
const TELL_EVERY: Duration = Duration::from_secs(5);
/// Machines, and jobs, that are told of.
const TOLD_MOST: usize = 2000;

impl Hints {
    fn of(leader: &Leader) -> Self {
        let faulty = leader.jobs.iter().filter(|(_, job)| job.faulty());
        let mut hints = Self {
            faulty: faulty.map(|(id, _)| id.clone()).take(TOLD_MOST).collect(),
            ..Self::default()
        };
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

    /// What was told of one machine, given away.
    fn take(&mut self, machine: &MachineId) -> Vec<Arc<str>> {
        let numbers = self.machines.remove(machine).unwrap_or_default();
        let images = numbers.into_iter().filter_map(|n| self.images.get(n));
        images.cloned().collect()
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
        let hints = Hints::of(leader);
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
            Some(leader) => leader.recall(hints),
            None => self.hints = hints,
        }
    }

    /// Another node leads now: a process that has just started knows nothing.
    pub(super) fn pass_hints_on(&mut self) {
        if let Some((record, _)) = &self.mirror.leader
            && record.node != self.config.node
            && !(self.hints.machines.is_empty() && self.hints.faulty.is_empty())
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
    pub fn recall(&mut self, mut hints: Hints) {
        for id in std::mem::take(&mut hints.faulty) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.told_faulty = true;
            }
        }
        for machine in self.machines.values_mut() {
            for image in hints.take(&machine.id) {
                machine.images.entry(image).or_default();
            }
        }
        self.told = hints;
    }

    /// A machine that is new to this leader.
    pub(super) fn recall_one(&mut self, machine: &mut Machine) {
        for image in self.told.take(&machine.id) {
            machine.images.entry(image).or_default();
        }
    }
}
