//! Whether the leader still serves, and how the leadership changes hands before its
//! lease ends.
//!
//! The lease is long, so that work goes on while the state service is away. A leader
//! that is partitioned would keep its place as long, and every worker that can't reach it
//! would lose its tasks. So one that nobody hears is superseded, one that the state
//! service refuses makes way when asked, and one that hears nobody gives up by itself.
//! All that decides about service alone: that no task runs twice rests on the claim
//! and on how long a previous leader may still act, whatever nodes tell one another.

use std::time::Duration;

use tracing::info;

use super::{
    Node, Output, Purpose,
    election::PreviousLeader,
    membership::{
        nodes::{EVERY, NodeHeartbeat, REFUSED},
        reachability::HeartbeatPath,
    },
    peer_message::PeerMessage,
    store::{self, StateReply},
};

/// When the next heartbeat goes out, and whether the state service is being asked.
#[derive(Debug, Default)]
pub struct Heartbeats {
    next: Duration,
    probing: bool,
    /// The leader that is to make way, and its claim, once the state service has answered.
    refused: Option<(String, u64)>,
}

/// A worker waits this long for an answer, and this long before it tries another node.
const WORKER_ANSWER: Duration = Duration::from_secs(4);
pub const WORKER_RETRY: Duration = Duration::from_secs(1);

/// A worker that was sent to a node and is not answered there is back by then.
pub const WORKER_RETURNS: Duration = WORKER_ANSWER
    .saturating_add(WORKER_RETRY)
    .saturating_add(Duration::from_secs(1));

/// After a change of the leader, workers that reported to another node have turned to
/// the new one within this time.
pub fn worker_move_time(report: Duration) -> Duration {
    report * 5 / 4 + WORKER_ANSWER + WORKER_RETRY
}

/// By then a node that was handed the leadership has claimed it.
const TRANSFER_TIME: Duration = Duration::from_millis(600);

/// A leader that was not heard for so long is missed: by then all its workers have
/// turned to other nodes, and a process that ended is mostly back.
pub fn leader_silence_limit(worker_lease: Duration) -> Duration {
    let moved = WORKER_ANSWER + WORKER_RETRY + Duration::from_millis(500);
    worker_lease.mul_f64(0.55).min(moved)
}

impl Node {
    /// What an answer tells of whether the state service serves this node.
    pub(super) fn state_answered(&mut self, reply: &StateReply) {
        let failed = matches!(
            reply,
            StateReply::Refused {
                rate_limited: false,
                ..
            } | StateReply::Unclear
        );
        self.membership
            .nodes
            .state_answered(self.clock.now, !failed);
    }

    /// The state service refuses this node, and another one tells that it is
    /// served: users are better off there.
    pub(super) fn is_refused_alone(&self) -> bool {
        let (nodes, now) = (&self.membership.nodes, self.now());
        nodes.state_service_silence(now) > REFUSED && nodes.is_any_peer_served(now)
    }

    /// The claim has stood long enough for the workers to have turned to the leader.
    pub(super) fn workers_have_moved(&self, claim: u64) -> bool {
        let since = self.membership.nodes.leader_since(claim);
        since.is_some_and(|at| self.now() > at + worker_move_time(self.config.report_interval))
    }

    pub(super) fn hears_leader(&self) -> bool {
        self.membership.nodes.hears_leader(self.now())
    }

    /// Another node that hears the leader, when this one does not.
    pub(super) fn peer_hearing_leader(&self) -> Option<String> {
        let (leader, claim) = self.known_leader()?;
        self.membership
            .nodes
            .peer_hearing_leader(leader, claim, self.now())
    }

    /// Who leads, and under which claim: by what is stored, or, while the state service
    /// does not answer this node, by what the other nodes say. A node that did not know
    /// left workers that only it reaches without an answer until their leases ended.
    pub(super) fn known_leader(&self) -> Option<(&str, u64)> {
        let stored = self.cache.leader.as_ref();
        let stored = stored.map(|(record, version)| (&*record.node, *version));
        let nodes = &self.membership.nodes;
        let unread = nodes.state_service_silence(self.now()) > REFUSED && !self.is_leader();
        let told = nodes.claimed_after(stored.map_or(0, |(_, claim)| claim));
        told.filter(|_| unread).or(stored)
    }

    /// Another node that is heard and is not the leader.
    pub(super) fn alive_peer(&self) -> Option<String> {
        let leader = self.known_leader().map(|(node, _)| node);
        self.membership.nodes.alive_peer_besides(leader, self.now())
    }

    pub(super) fn drive_heartbeats(&mut self) {
        let now = self.now();
        self.membership.detector.tick(now);
        let claim = self.known_leader().map_or(0, |(_, claim)| claim);
        let own = self.is_leader();
        self.membership.nodes.leader_is(claim, own, now);
        if now < self.heartbeats.next {
            return;
        }
        self.heartbeats.next = now + EVERY;
        let nodes = &self.membership.nodes;
        let heartbeat = NodeHeartbeat {
            claim,
            // Only the leader itself says that it was heard this very moment.
            heard: match own {
                true => Duration::ZERO,
                false => nodes.leader_silence(now).max(Duration::from_millis(1)),
            },
            state: nodes.state_service_silence(now),
            hears: self.membership.detector.machines_heard(),
            told: self.announced_state(),
        };
        let silent = heartbeat.state > EVERY;
        for to in self.config.peers.clone() {
            let message = PeerMessage::Heartbeat(heartbeat.clone());
            self.outputs.push(Output::Peer { to, message });
        }
        // A node that has nothing to ask would not know whether it is served.
        if silent {
            self.probe();
        }
    }

    fn probe(&mut self) {
        if !self.heartbeats.probing && self.cache.loaded {
            self.heartbeats.probing = true;
            let key = store::LEADER_KEY.to_owned();
            self.call(Purpose::Probe, store::StateRequest::Get { key });
        }
    }

    pub(super) fn probed(&mut self, reply: &StateReply) {
        self.heartbeats.probing = false;
        let Some((to, claim)) = self.heartbeats.refused.take() else {
            return;
        };
        if matches!(reply, StateReply::Entry(entry) if entry.version == claim) {
            let message = PeerMessage::Resign { claim };
            self.outputs.push(Output::Peer { to, message });
        }
    }

    pub(super) fn heartbeat(&mut self, from: String, heartbeat: NodeHeartbeat) {
        let now = self.now();
        self.membership.nodes.record_claim(&from, &heartbeat);
        let leads =
            heartbeat.heard.is_zero() && self.known_leader() == Some((&from, heartbeat.claim));
        let served =
            self.membership.nodes.state_service_silence(now) < super::membership::nodes::REACHES;
        if leads && heartbeat.state > REFUSED && served {
            // By now it may be away for everybody: a leader that made way then would leave
            // the place empty until it is back, and its workers without their leases.
            self.heartbeats.refused = Some((from.clone(), heartbeat.claim));
            self.probe();
        }
        self.membership.nodes.heartbeat(from, heartbeat, leads, now);
    }

    /// Another node is served by the state service and asks this one, which is
    /// not, to make way.
    pub(super) fn resign(&mut self, from: String, claim: u64) {
        let refused = self.membership.nodes.state_service_silence(self.now()) > REFUSED;
        if !refused
            || !self.is_leader()
            || self.claim() != Some(claim)
            || !self.has_previous_leader_stopped()
        {
            return;
        }
        self.drop_leadership("the state service refuses it, but not others");
        self.outputs.push(Output::Peer {
            to: from,
            message: PeerMessage::Resigned { claim },
        });
    }

    /// Whether another node's leadership is to be taken before its lease ends.
    pub(super) fn leader_to_supersede(&self) -> Option<PreviousLeader> {
        let (record, version) = self.cache.leader.as_ref()?;
        let (nodes, now) = (&self.membership.nodes, self.now());
        if record.node == self.config.node || !nodes.is_served(now) {
            return None;
        }
        let missed = nodes.leader_missed(*version, self.config.leader_silence_limit, now);
        missed.then(|| {
            info!(leader = %record.node, claim = version, "nobody hears the leader");
            PreviousLeader::Superseded
        })
    }

    /// What the leader makes of the silence around it. One that hears nobody and gets
    /// no answer either is itself partitioned, whatever it thinks of its machines: it
    /// hands over to the node that hears most, or leaves the place empty.
    pub(super) fn update_reachability(&mut self) {
        let now = self.now();
        let reachability = self.membership.detector.reachability();
        let (is_isolated, is_uncertain) = (reachability.is_isolated, reachability.is_uncertain);
        let ask = self.membership.detector.silent_zones();
        if let Some(cluster) = &mut self.cluster {
            for machine in std::mem::take(&mut cluster.returned_machines) {
                self.membership.detector.forget(&machine);
            }
            let before = &cluster.reachability;
            if (
                before.is_uncertain,
                before.is_isolated,
                &before.partitioned_zones,
            ) != (is_uncertain, is_isolated, &reachability.partitioned_zones)
            {
                info!(is_uncertain, is_isolated, partitioned_zones = ?reachability.partitioned_zones, "reachability");
                cluster.requeue();
            }
            cluster.reachability = reachability;
            cluster.zones_to_probe = ask;
        }
        if !self.membership.nodes.is_served(now) || !self.has_previous_leader_stopped() {
            return;
        }
        let best = self.membership.nodes.best_peer(now);
        let settled =
            self.membership.leading_for(now) > worker_move_time(self.config.report_interval);
        // Looked up only where another node hears any: that looks at every machine.
        let hears = || {
            self.membership
                .detector
                .machines_heard()
                .values()
                .sum::<u32>()
        };
        let better = settled
            && best
                .as_ref()
                .is_some_and(|(_, machines)| *machines >= 3 && *machines > 2 * hears());
        if is_isolated || better {
            self.transfer_leadership(best.map(|(node, _)| node), "it hears no workers");
        }
    }

    /// Gives the leadership away, to another node or to whoever claims it first.
    pub(super) fn transfer_leadership(&mut self, to: Option<String>, why: &str) {
        let Some(claim) = self.claim() else { return };
        self.drop_leadership(why);
        self.membership.record_step_down(self.now());
        let wait = match to {
            Some(to) => {
                let message = PeerMessage::Resigned { claim };
                self.outputs.push(Output::Peer { to, message });
                TRANSFER_TIME
            }
            None => Duration::ZERO,
        };
        // It may not have got there: then the place is left to whoever comes first.
        self.remove_leader_key(claim, wait);
    }

    /// A heartbeat of a machine.
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
