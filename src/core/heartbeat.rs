//! Heartbeats between nodes, and changes of the leadership before the lease expires.
//!
//! The lease is long, so that work continues during an outage of the state service. A
//! partitioned leader would keep the leadership for as long, and every worker that can't reach
//! it would lose its tasks. So a leader that no node reaches is superseded, a leader that the state
//! service refuses resigns on request, and a leader that no worker reaches steps down by itself.
//! All of this affects availability only: that no task runs twice is ensured by the claim and by
//! the bound on how long a previous leader may act, whatever the heartbeats report.

use std::time::Duration;

use tracing::info;

use super::{
    Node, Output, Purpose,
    election::PreviousLeader,
    membership::{
        nodes::{HEARTBEAT_INTERVAL, NodeHeartbeat, STATE_REFUSED_TIMEOUT},
        reachability::HeartbeatPath,
    },
    peer_message::PeerMessage,
    store::{self, StateReply},
};

/// Schedule of the heartbeats and state of the probe of the state service.
#[derive(Debug, Default)]
pub struct Heartbeats {
    next_send: Duration,
    probe_in_flight: bool,
    /// Leader to be requested to resign once the state service has answered, and its claim.
    refused_leader: Option<(String, u64)>,
}

/// Time for which a worker waits for the answer to a report.
const WORKER_ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before a worker tries another node.
pub const WORKER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time within which a redirected worker returns if it gets no answer at the new node.
pub const WORKER_RETURN_TIMEOUT: Duration = WORKER_ANSWER_TIMEOUT
    .saturating_add(WORKER_RETRY_DELAY)
    .saturating_add(Duration::from_secs(1));

/// Returns the time after a change of the leader within which all workers report to the new one.
pub fn worker_move_time(report_interval: Duration) -> Duration {
    report_interval * 5 / 4 + WORKER_ANSWER_TIMEOUT + WORKER_RETRY_DELAY
}

/// Time within which a node that was handed the leadership has claimed it.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(600);

/// Returns the silence after which a leader is considered lost. When it has passed, all of its
/// workers have turned to other nodes, and a restarted process is usually back.
pub fn leader_silence_limit(worker_lease: Duration) -> Duration {
    let move_time = WORKER_ANSWER_TIMEOUT + WORKER_RETRY_DELAY + Duration::from_millis(500);
    worker_lease.mul_f64(0.55).min(move_time)
}

impl Node {
    /// Records whether the state service served a request of this node.
    pub(super) fn record_state_reply(&mut self, reply: &StateReply) {
        let failed = matches!(
            reply,
            StateReply::Refused {
                rate_limited: false,
                ..
            } | StateReply::Unclear
        );
        self.membership
            .nodes
            .record_state_reply(self.clock.now, !failed);
    }

    /// Returns whether the state service refuses this node but serves another one, so that users
    /// should turn to that node.
    pub(super) fn is_refused_alone(&self) -> bool {
        let (nodes, now) = (&self.membership.nodes, self.now());
        nodes.state_service_silence(now) > STATE_REFUSED_TIMEOUT && nodes.is_any_peer_served(now)
    }

    /// Returns whether the claim is old enough for all workers to report to its leader.
    pub(super) fn have_workers_moved(&self, claim: u64) -> bool {
        let since = self.membership.nodes.leader_since(claim);
        since.is_some_and(|at| self.now() > at + worker_move_time(self.config.report_interval))
    }

    pub(super) fn reaches_leader(&self) -> bool {
        self.membership.nodes.reaches_leader(self.now())
    }

    /// Returns another node that reaches the leader.
    pub(super) fn peer_reaching_leader(&self) -> Option<String> {
        let (leader, claim) = self.known_leader()?;
        self.membership
            .nodes
            .peer_reaching_leader(leader, claim, self.now())
    }

    /// Returns the leader and its claim: by the stored key, or by the other nodes' heartbeats while
    /// the state service does not answer this node. Without the latter, workers that reach only
    /// this node would get no answer until their leases expire.
    pub(super) fn known_leader(&self) -> Option<(&str, u64)> {
        let stored = self.cache.leader.as_ref();
        let stored = stored.map(|(record, version)| (&*record.node, *version));
        let nodes = &self.membership.nodes;
        let is_unserved =
            nodes.state_service_silence(self.now()) > STATE_REFUSED_TIMEOUT && !self.is_leader();
        let reported = nodes.newer_claim(stored.map_or(0, |(_, claim)| claim));
        reported.filter(|_| is_unserved).or(stored)
    }

    /// Returns another live node that is not the leader.
    pub(super) fn alive_peer(&self) -> Option<String> {
        let leader = self.known_leader().map(|(node, _)| node);
        self.membership.nodes.alive_peer_besides(leader, self.now())
    }

    pub(super) fn drive_heartbeats(&mut self) {
        let now = self.now();
        self.membership.detector.tick(now);
        let claim = self.known_leader().map_or(0, |(_, claim)| claim);
        let is_leader = self.is_leader();
        self.membership.nodes.set_leader(claim, is_leader, now);
        if now < self.heartbeats.next_send {
            return;
        }
        self.heartbeats.next_send = now + HEARTBEAT_INTERVAL;
        let nodes = &self.membership.nodes;
        let heartbeat = NodeHeartbeat {
            claim,
            // Zero is reserved for the leader itself.
            leader_silence: match is_leader {
                true => Duration::ZERO,
                false => nodes.leader_silence(now).max(Duration::from_millis(1)),
            },
            state_service_silence: nodes.state_service_silence(now),
            reachable_machines: self.membership.detector.reachable_machines(),
            announced_state: self.announced_state(),
        };
        let needs_probe = heartbeat.state_service_silence > HEARTBEAT_INTERVAL;
        for to in self.config.peers.clone() {
            let message = PeerMessage::Heartbeat(heartbeat.clone());
            self.outputs.push(Output::Peer { to, message });
        }
        // A node without other requests would not learn whether it is served.
        if needs_probe {
            self.probe_state_service();
        }
    }

    fn probe_state_service(&mut self) {
        if !self.heartbeats.probe_in_flight && self.cache.loaded {
            self.heartbeats.probe_in_flight = true;
            let key = store::LEADER_KEY.to_owned();
            self.call(Purpose::Probe, store::StateRequest::Get { key });
        }
    }

    pub(super) fn probe_answered(&mut self, reply: &StateReply) {
        self.heartbeats.probe_in_flight = false;
        let Some((to, claim)) = self.heartbeats.refused_leader.take() else {
            return;
        };
        if matches!(reply, StateReply::Entry(entry) if entry.version == claim) {
            let message = PeerMessage::Resign { claim };
            self.outputs.push(Output::Peer { to, message });
        }
    }

    pub(super) fn heartbeat_received(&mut self, from: String, heartbeat: NodeHeartbeat) {
        let now = self.now();
        self.membership.nodes.record_peer_claim(&from, &heartbeat);
        let is_from_leader = heartbeat.leader_silence.is_zero()
            && self.known_leader() == Some((&from, heartbeat.claim));
        let is_served = self.membership.nodes.state_service_silence(now)
            < super::membership::nodes::STATE_SERVED_TIMEOUT;
        if is_from_leader && heartbeat.state_service_silence > STATE_REFUSED_TIMEOUT && is_served {
            // The state service may be down for all nodes by now. If the leader resigned then,
            // no node could lead until it is back, and the workers would lose their leases. So
            // the request is sent only after the service has answered this node.
            self.heartbeats.refused_leader = Some((from.clone(), heartbeat.claim));
            self.probe_state_service();
        }
        self.membership
            .nodes
            .record_heartbeat(from, heartbeat, is_from_leader, now);
    }

    /// Resigns on request of a node that the state service serves, if it refuses this one.
    pub(super) fn resign_requested(&mut self, from: String, claim: u64) {
        let is_refused =
            self.membership.nodes.state_service_silence(self.now()) > STATE_REFUSED_TIMEOUT;
        if !is_refused
            || !self.is_leader()
            || self.claim() != Some(claim)
            || !self.has_previous_leader_stopped()
        {
            return;
        }
        self.drop_leadership("the state service refuses this node but serves others");
        self.outputs.push(Output::Peer {
            to: from,
            message: PeerMessage::Resigned { claim },
        });
    }

    /// Returns `Superseded` if another node's leadership should be taken before its lease expires.
    pub(super) fn leader_to_supersede(&self) -> Option<PreviousLeader> {
        let (record, version) = self.cache.leader.as_ref()?;
        let (nodes, now) = (&self.membership.nodes, self.now());
        if record.node == self.config.node || !nodes.is_served(now) {
            return None;
        }
        let is_lost = nodes.is_leader_lost(*version, self.config.leader_silence_limit, now);
        is_lost.then(|| {
            info!(leader = %record.node, claim = version, "superseding a leader that no node reaches");
            PreviousLeader::Superseded
        })
    }

    /// Updates the leader's view of which machines are reachable. A leader without reports and
    /// answers is partitioned itself: it hands the leadership over to the node that reaches the
    /// most machines, or releases it.
    pub(super) fn update_reachability(&mut self) {
        let now = self.now();
        let reachability = self.membership.detector.reachability();
        let (is_isolated, is_uncertain) = (reachability.is_isolated, reachability.is_uncertain);
        let zones_to_probe = self.membership.detector.silent_zones();
        if let Some(cluster) = &mut self.cluster {
            for machine in std::mem::take(&mut cluster.released_machines) {
                self.membership.detector.forget(&machine);
            }
            let previous = &cluster.reachability;
            if (
                previous.is_uncertain,
                previous.is_isolated,
                &previous.partitioned_zones,
            ) != (is_uncertain, is_isolated, &reachability.partitioned_zones)
            {
                info!(is_uncertain, is_isolated, partitioned_zones = ?reachability.partitioned_zones, "reachability changed");
                cluster.requeue();
            }
            cluster.reachability = reachability;
            cluster.zones_to_probe = zones_to_probe;
        }
        if !self.membership.nodes.is_served(now) || !self.has_previous_leader_stopped() {
            return;
        }
        let best_peer = self.membership.nodes.best_peer(now);
        let have_workers_moved =
            self.membership.leading_for(now) > worker_move_time(self.config.report_interval);
        // Evaluated only if another node reaches machines, as it iterates over all machines.
        let own_machines = || {
            self.membership
                .detector
                .reachable_machines()
                .values()
                .sum::<u32>()
        };
        let is_peer_better = have_workers_moved
            && best_peer
                .as_ref()
                .is_some_and(|(_, machines)| *machines >= 3 && *machines > 2 * own_machines());
        if is_isolated || is_peer_better {
            self.transfer_leadership(
                best_peer.map(|(node, _)| node),
                "few or no workers reach this node",
            );
        }
    }

    /// Gives up the leadership, to a given node or to the first one that claims it.
    pub(super) fn transfer_leadership(&mut self, to: Option<String>, reason: &str) {
        let Some(claim) = self.claim() else { return };
        self.drop_leadership(reason);
        self.membership.record_step_down(self.now());
        let delay = match to {
            Some(to) => {
                let message = PeerMessage::Resigned { claim };
                self.outputs.push(Output::Peer { to, message });
                TRANSFER_TIMEOUT
            }
            None => Duration::ZERO,
        };
        // The message may be lost: then the leader key is removed and any node may claim.
        self.remove_leader_key(claim, delay);
    }

    /// Records a heartbeat of a machine.
    pub(super) fn record_heartbeat(
        &mut self,
        machine: &super::machine::MachineId,
        zone: &std::sync::Arc<str>,
        path: HeartbeatPath,
    ) {
        if path == HeartbeatPath::Report {
            self.membership.record_worker_arrival();
        }
        self.record_zone_heartbeat(zone);
        self.membership
            .detector
            .record_heartbeat(machine, zone, path);
    }
}
