//! Heartbeats between nodes, and the detection of a lost leader.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use kiteyard_rollout::state_machine::NodeAnnouncement;
use serde::{Deserialize, Serialize};

use super::phi_accrual::{ArrivalPattern, PhiAccrual};
use crate::core::{
    machine::MachineId,
    stored_heartbeat::{STORED_HEARTBEAT_INTERVAL, StoredHeartbeat},
};

/// Heartbeat that a node sends to every other node at a fixed interval.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeHeartbeat {
    /// Claim of the leader that the sender knows; 0 if none.
    pub claim: u64,
    /// Time since that leader's last heartbeat to the sender; zero if the sender is the leader.
    #[serde(rename = "heard")]
    pub leader_silence: Duration,
    /// Time since the state service answered the sender.
    #[serde(rename = "state")]
    pub state_service_silence: Duration,
    /// Number of machines per zone that reported to the sender recently.
    #[serde(default, rename = "hears")]
    pub reachable_machines: BTreeMap<Arc<str>, u32>,
    /// Process of the sender and the generation it knows, if rollouts are enabled.
    #[serde(default, rename = "told", skip_serializing_if = "Option::is_none")]
    pub announced_state: Option<NodeAnnouncement>,
}

impl NodeHeartbeat {
    pub fn machines(&self) -> u32 {
        self.reachable_machines.values().sum()
    }
}

#[derive(Debug)]
struct PeerState {
    received_at: Duration,
    heartbeat: NodeHeartbeat,
}

#[derive(Debug)]
pub struct Nodes {
    peers: BTreeMap<String, PeerState>,
    /// Claim of the leader, and the time of its last heartbeat.
    leader: (u64, Duration),
    /// Newest claim that another node reported to hold, and that node.
    newest_claim: Option<(String, u64)>,
    /// Time since which the leader is known.
    leader_since: Duration,
    /// Intervals between the leader's heartbeats.
    leader_gaps: PhiAccrual,
    /// Number of machines that reach the leader, by its last heartbeat.
    leader_machines: u32,
    /// Time at which the leader's last stored heartbeat was seen.
    stored_heartbeat_at: Option<Duration>,
    /// Time of the state service's last answer to this node.
    served_at: Duration,
    /// Time since which the state service has answered this node without a failure.
    served_since: Option<Duration>,
    /// Workers that know the leader's token and reported here instead, and when.
    stranded_workers: HashMap<MachineId, Duration>,
    /// Time after which a stranded worker is forgotten: the length of a worker's lease.
    retention: Duration,
}

/// Interval between two heartbeats of a node.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);
/// Time for which the last heartbeat of another node is considered current.
const PEER_HEARTBEAT_TTL: Duration = Duration::from_millis(2200);
/// Silence of two missed heartbeats. A leader that is silent for longer is considered unreachable
/// if its phi value is high or still unknown, and in any case after 1.5 times this time.
const LEADER_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1700);
/// Suspicion level at which the leader's silence is no longer an ordinary gap.
const PHI_THRESHOLD: f64 = 8.0;
/// A node that was answered within this time is served by the state service.
pub const STATE_SERVED_TIMEOUT: Duration = Duration::from_millis(1600);
/// A node that was not answered for this time is refused by the state service.
pub const STATE_REFUSED_TIMEOUT: Duration = Duration::from_millis(2500);
/// Delay after an outage of the state service in which the leader may resume.
const OUTAGE_RECOVERY_DELAY: Duration = Duration::from_millis(1500);
/// The leader counts as lost to its workers when one in this many of the machines that reached it
/// has reported to this node instead. At least one such worker is needed.
const STRANDED_WORKER_DIVISOR: u32 = 10;

impl Nodes {
    pub fn new(retention: Duration) -> Self {
        Self {
            peers: BTreeMap::new(),
            leader: (0, Duration::ZERO),
            newest_claim: None,
            leader_since: Duration::ZERO,
            leader_gaps: PhiAccrual::new(ArrivalPattern::Periodic),
            leader_machines: 0,
            stored_heartbeat_at: None,
            served_at: Duration::ZERO,
            served_since: None,
            stranded_workers: HashMap::new(),
            retention,
        }
    }

    /// Records whether the state service served a request of this node.
    pub fn record_state_reply(&mut self, now: Duration, served: bool) {
        if served {
            self.served_at = now;
            self.served_since.get_or_insert(now);
        } else {
            self.served_since = None;
        }
    }

    pub fn state_service_silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.served_at)
    }

    /// Returns whether the state service serves this node and has done so for a while.
    pub fn is_served(&self, now: Duration) -> bool {
        let is_recovered = self
            .served_since
            .is_some_and(|at| now > at + OUTAGE_RECOVERY_DELAY);
        is_recovered && self.state_service_silence(now) <= STATE_SERVED_TIMEOUT
    }

    /// Sets the known leader, which may be this node itself.
    pub fn set_leader(&mut self, claim: u64, is_self: bool, now: Duration) {
        if self.leader.0 != claim {
            // A new leader counts as reachable at first, until its heartbeats can have arrived.
            self.leader = (claim, now);
            self.leader_since = now;
            self.leader_gaps = PhiAccrual::new(ArrivalPattern::Periodic);
            self.leader_machines = 0;
            self.stored_heartbeat_at = None;
            self.stranded_workers.clear();
        }
        if is_self {
            self.leader = (claim, now);
        }
    }

    /// Returns the time since which this claim is known, if it is the current one.
    pub fn leader_since(&self, claim: u64) -> Option<Duration> {
        (self.leader.0 == claim).then_some(self.leader_since)
    }

    pub fn leader_silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.leader.1)
    }

    /// Records the claim of a heartbeat if its sender is the leader itself.
    pub fn record_peer_claim(&mut self, from: &str, heartbeat: &NodeHeartbeat) {
        let is_newer = |known: &(String, u64)| heartbeat.claim > known.1;
        if heartbeat.leader_silence.is_zero() && self.newest_claim.as_ref().is_none_or(is_newer) {
            self.newest_claim = Some((from.to_owned(), heartbeat.claim));
        }
    }

    /// Returns the node that reported to hold a newer claim than this one, and that claim.
    pub fn newer_claim(&self, claim: u64) -> Option<(&str, u64)> {
        let (node, claimed) = self.newest_claim.as_ref()?;
        (*claimed > claim).then_some((node, *claimed))
    }

    pub fn record_heartbeat(
        &mut self,
        from: String,
        heartbeat: NodeHeartbeat,
        is_from_leader: bool,
        now: Duration,
    ) {
        if is_from_leader {
            self.leader = (heartbeat.claim, now);
            self.leader_gaps.record(now);
            self.leader_machines = heartbeat.machines();
        }
        self.peers.insert(
            from,
            PeerState {
                received_at: now,
                heartbeat,
            },
        );
    }

    /// Returns whether this node received the leader's heartbeats recently. A new leader counts as
    /// reachable.
    pub fn reaches_leader(&self, now: Duration) -> bool {
        let silence = self.leader_silence(now);
        silence < LEADER_HEARTBEAT_TIMEOUT
            || (silence < LEADER_HEARTBEAT_TIMEOUT * 3 / 2
                && self.leader_gaps.phi(now) < PHI_THRESHOLD)
    }

    /// Records a heartbeat that the leader has stored in the state service.
    pub fn record_stored_heartbeat(&mut self, stored_heartbeat: StoredHeartbeat, now: Duration) {
        if stored_heartbeat.claim == self.leader.0 {
            self.stored_heartbeat_at = Some(now);
            self.leader_machines = stored_heartbeat.reachable_machines;
        }
    }

    /// Returns whether the leader's stored heartbeat is recent: at most about two intervals old.
    pub fn leader_stores_heartbeats(&self, claim: u64, now: Duration) -> bool {
        let is_recent =
            |at: Duration| now < at + STORED_HEARTBEAT_INTERVAL * 2 + LEADER_HEARTBEAT_TIMEOUT / 2;
        self.leader.0 == claim && self.stored_heartbeat_at.is_some_and(is_recent)
    }

    /// Returns whether a node reported recently that it reaches the leader of this claim.
    pub fn peer_reaches_leader(&self, node: &str, claim: u64, now: Duration) -> bool {
        let reaches_leader =
            |p: &NodeHeartbeat| p.claim == claim && p.leader_silence < LEADER_HEARTBEAT_TIMEOUT;
        self.live_peers(now)
            .any(|(n, heartbeat)| n == node && reaches_leader(heartbeat))
    }

    fn live_peers(&self, now: Duration) -> impl Iterator<Item = (&String, &NodeHeartbeat)> {
        let is_live = move |peer: &&PeerState| now < peer.received_at + PEER_HEARTBEAT_TTL;
        let peers = self.peers.iter();
        peers
            .filter(move |(_, peer)| is_live(peer))
            .map(|(node, peer)| (node, &peer.heartbeat))
    }

    /// Returns another node that reaches the leader.
    pub fn peer_reaching_leader(&self, leader: &str, claim: u64, now: Duration) -> Option<String> {
        let hearing = self.peers.iter().find(|(node, peer)| {
            *node != leader
                && peer.heartbeat.claim == claim
                && now
                    < peer.received_at + LEADER_HEARTBEAT_TIMEOUT
                        - peer.heartbeat.leader_silence.min(LEADER_HEARTBEAT_TIMEOUT)
        });
        hearing.map(|(node, _)| node.clone())
    }

    /// Returns another live node that is not the leader.
    pub fn alive_peer_besides(&self, leader: Option<&str>, now: Duration) -> Option<String> {
        let mut alive = self
            .live_peers(now)
            .filter(|(node, _)| Some(&***node) != leader);
        alive.next().map(|(node, _)| node.clone())
    }

    /// Returns whether the state service serves any other live node.
    pub fn is_any_peer_served(&self, now: Duration) -> bool {
        self.live_peers(now)
            .any(|(_, heartbeat)| heartbeat.state_service_silence < STATE_SERVED_TIMEOUT)
    }

    /// Returns whether a heartbeat of this node arrived recently.
    pub fn is_alive(&self, node: &str, now: Duration) -> bool {
        self.live_peers(now).any(|(other, _)| other == node)
    }

    /// Returns the process information of a live node.
    pub fn announced_state(&self, node: &str, now: Duration) -> Option<NodeAnnouncement> {
        let mut peers = self.live_peers(now);
        peers.find(|(other, _)| *other == node)?.1.announced_state
    }

    /// Returns the served node that reaches the most machines, and their number.
    pub fn best_peer(&self, now: Duration) -> Option<(String, u32)> {
        self.best_peer_among(now, |_| true)
    }

    /// Returns the served node that reaches the most machines among those accepted by the filter.
    pub fn best_peer_among(
        &self,
        now: Duration,
        is_candidate: impl Fn(&String) -> bool,
    ) -> Option<(String, u32)> {
        let served = self
            .live_peers(now)
            .filter(|(_, heartbeat)| heartbeat.state_service_silence < STATE_SERVED_TIMEOUT);
        served
            .filter(|(node, _)| is_candidate(node))
            .map(|(node, heartbeat)| (heartbeat.machines(), node))
            .max()
            .map(|(machines, node)| (node.clone(), machines))
    }

    /// Records a worker that knows the leader's token and reported to this node instead.
    pub fn record_stranded_worker(&mut self, machine: &MachineId, now: Duration) {
        if self.stranded_workers.len() >= 64 {
            let retention = self.retention;
            self.stranded_workers.retain(|_, at| now < *at + retention);
        }
        self.stranded_workers.insert(machine.clone(), now);
    }

    /// Returns whether the leader is lost: no live node reaches it and its workers are leaving it.
    pub fn is_leader_lost(&self, claim: u64, timeout: Duration, now: Duration) -> bool {
        let is_silent = self.leader.0 == claim && self.leader_silence(now) > timeout;
        if !is_silent {
            return false;
        }
        // A leader that another node reaches still receives the reports which that node forwards.
        let reaches_leader = |p: &NodeHeartbeat| p.claim == claim && p.leader_silence < timeout;
        let stranded = self
            .stranded_workers
            .values()
            .filter(|at| now < **at + timeout);
        let stranded = stranded.count();
        let min_stranded = (self.leader_machines / STRANDED_WORKER_DIVISOR).max(1) as usize;
        // A leader that stores heartbeats stays, unless more workers have left it than reach it.
        let has_stored_heartbeat = self
            .stored_heartbeat_at
            .is_some_and(|at| now < at + timeout);
        let keeps_leading = has_stored_heartbeat && stranded <= self.leader_machines as usize;
        stranded >= min_stranded
            && !keeps_leading
            && !self
                .live_peers(now)
                .any(|(_, heartbeat)| reaches_leader(heartbeat))
    }
}
