//! Handover of learned state to the next leader: the images in the machines' caches, the jobs that
//! fail on every machine, the addresses of the workers, and the capacity the cloud has refused.
//!
//! The leader sends a snapshot to the other nodes, which pass it on to the next leader. It is only
//! a hint: it affects placement, the number of retries of a job and which workers are contacted,
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
    /// Names of the images; machines refer to them by index.
    images: Vec<Arc<str>>,
    machines: BTreeMap<MachineId, Vec<usize>>,
    #[serde(default)]
    faulty: Vec<JobId>,
    /// Address and session of each machine's worker.
    #[serde(default)]
    workers: BTreeMap<MachineId, (SocketAddr, u64)>,
    /// Machine kinds that the cloud refused, and the time until they are requested again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    refused: Vec<(MachineKind, Duration)>,
}

/// Interval between two snapshots from the leader.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of machines, and of jobs, in a snapshot.
const MAX_ENTRIES: usize = 8000;

impl HandoverSnapshot {
    fn from_cluster(cluster: &ClusterState, now: Duration) -> Self {
        let faulty = cluster.jobs.iter().filter(|(_, job)| job.faulty());
        let mut handover = Self {
            faulty: faulty.map(|(id, _)| id.clone()).take(MAX_ENTRIES).collect(),
            refused: cluster.provisioning.refusals(now),
            ..Self::default()
        };
        let fenced = cluster.machines.values().filter(|m| m.fenced);
        let workers = fenced.filter_map(|m| Some((m.id.clone(), (m.addr?, m.session))));
        handover.workers = workers.take(MAX_ENTRIES).collect();
        let mut indices: HashMap<Arc<str>, usize> = HashMap::new();
        let machines = cluster.machines.values().filter(|m| !m.images.is_empty());
        for machine in machines.take(MAX_ENTRIES) {
            let index = |image: &Arc<str>| {
                *indices.entry(image.clone()).or_insert_with(|| {
                    handover.images.push(image.clone());
                    handover.images.len() - 1
                })
            };
            let images = machine.images.keys().map(index).collect();
            handover.machines.insert(machine.id.clone(), images);
        }
        handover
    }

    /// Moves the state of one machine from the snapshot to the machine.
    fn restore(&mut self, machine: &mut Machine) {
        let indices = self.machines.remove(&machine.id).unwrap_or_default();
        let images = indices
            .into_iter()
            .filter_map(|index| self.images.get(index));
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
    /// Sends a snapshot to the other nodes at a fixed interval while this node leads.
    pub(super) fn drive_handover(&mut self) {
        let now = self.now();
        if now < self.next_handover || !self.is_leader() {
            return;
        }
        self.next_handover = now + HANDOVER_INTERVAL;
        let Some(cluster) = &self.cluster else { return };
        let handover = HandoverSnapshot::from_cluster(cluster, now);
        for to in self.config.peers.clone() {
            self.outputs.push(Output::Peer {
                to,
                message: PeerMessage::Handover(handover.clone()),
            });
        }
    }

    /// Applies a snapshot if this node leads, or else keeps it for the next leader.
    pub(super) fn handover_received(&mut self, handover: HandoverSnapshot) {
        match &mut self.cluster {
            Some(cluster) => cluster.apply_handover(handover, self.clock.now),
            None => self.handover = handover,
        }
    }

    /// Forwards the last snapshot to a new leader, which may be a newly started process.
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
    /// Applies a snapshot to the known jobs and machines, and keeps the rest for machines that have
    /// not reported yet.
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

    /// Restores the handed-over state of a machine that is new to this leader.
    pub(super) fn restore_machine(&mut self, machine: &mut Machine) {
        self.pending_handover.restore(machine);
    }
}
