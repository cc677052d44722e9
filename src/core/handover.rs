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
    cluster::ClusterState,
    job::JobId,
    machine::{Machine, MachineId, MachineKind},
    peer_message::PeerMessage,
};

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HandoverSnapshot {
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
const SEND_EVERY: Duration = Duration::from_secs(5);
/// Machines, and jobs, that are told of.
const ENTRIES_MOST: usize = 8000;

impl HandoverSnapshot {
    fn of(cluster: &ClusterState, now: Duration) -> Self {
        let faulty = cluster.jobs.iter().filter(|(_, job)| job.faulty());
        let mut handover = Self {
            faulty: faulty
                .map(|(id, _)| id.clone())
                .take(ENTRIES_MOST)
                .collect(),
            refused: cluster.provisioning.refusals(now),
            ..Self::default()
        };
        let up = cluster.machines.values().filter(|m| m.fenced);
        let workers = up.filter_map(|m| Some((m.id.clone(), (m.addr?, m.session))));
        handover.workers = workers.take(ENTRIES_MOST).collect();
        let mut numbers: HashMap<Arc<str>, usize> = HashMap::new();
        let machines = cluster.machines.values().filter(|m| !m.images.is_empty());
        for machine in machines.take(ENTRIES_MOST) {
            let number = |image: &Arc<str>| {
                *numbers.entry(image.clone()).or_insert_with(|| {
                    handover.images.push(image.clone());
                    handover.images.len() - 1
                })
            };
            let images = machine.images.keys().map(number).collect();
            handover.machines.insert(machine.id.clone(), images);
        }
        handover
    }

    /// What was told of one machine, given away to it.
    fn restore(&mut self, machine: &mut Machine) {
        let numbers = self.machines.remove(&machine.id).unwrap_or_default();
        let images = numbers.into_iter().filter_map(|n| self.images.get(n));
        for image in images {
            machine.images.entry(image.clone()).or_default();
        }
        if let Some(worker) = self.workers.remove(&machine.id) {
            machine.last_known_worker = Some(worker);
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
    pub(super) fn drive_handover(&mut self) {
        let now = self.now();
        if now < self.next_handover || !self.is_leader() {
            return;
        }
        self.next_handover = now + SEND_EVERY;
        let Some(cluster) = &self.cluster else { return };
        let handover = HandoverSnapshot::of(cluster, now);
        for to in self.config.peers.clone() {
            self.outputs.push(Output::Peer {
                to,
                message: PeerMessage::Handover(handover.clone()),
            });
        }
    }

    /// What the leader told, or to a new one what the one before did.
    pub(super) fn handover_received(&mut self, handover: HandoverSnapshot) {
        match &mut self.cluster {
            Some(cluster) => cluster.apply_handover(handover, self.clock.now),
            None => self.handover = handover,
        }
    }

    /// Another node leads now: a process that has just started knows nothing.
    pub(super) fn forward_handover(&mut self) {
        if let Some((record, _)) = &self.cache.leader
            && record.node != self.config.node
            && !self.handover.is_empty()
        {
            self.outputs.push(Output::Peer {
                to: record.node.clone(),
                message: PeerMessage::Handover(self.handover.clone()),
            });
        }
    }
}

impl ClusterState {
    /// Takes what was told of jobs and machines that it knows, and keeps the rest
    /// for machines that are yet to report.
    pub fn apply_handover(&mut self, mut handover: HandoverSnapshot, now: Duration) {
        self.provisioning
            .restore_refusals(std::mem::take(&mut handover.refused), now);
        for id in std::mem::take(&mut handover.faulty) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.inherited_faulty = true;
            }
        }
        for machine in self.machines.values_mut() {
            handover.restore(machine);
        }
        self.pending_handover = handover;
    }

    /// A machine that is new to this leader.
    pub(super) fn restore_machine(&mut self, machine: &mut Machine) {
        self.pending_handover.restore(machine);
    }
}
