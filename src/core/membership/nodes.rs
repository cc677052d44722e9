//! Heartbeats between nodes, and the detection of a lost leader.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use kiteyard_rollout::machine::Told;
use serde::{Deserialize, Serialize};

use super::phi_accrual::{PhiAccrual, Source};
use crate::core::{
    machine::MachineId,
    stored_heartbeat::{STORED_HEARTBEAT_EVERY, StoredHeartbeat},
};

/// Heartbeat that a node sends to every other node at a fixed interval.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeHeartbeat {
    /// Claim of the leader that the sender knows; 0 if none.
    pub claim: u64,
    /// Time since the sender heard from that leader; zero if it is the leader itself.
    pub heard: Duration,
    /// Time since the state service answered the sender.
    pub state: Duration,
    /// Number of machines per zone that reported to the sender recently.
    #[serde(default)]
    pub hears: BTreeMap<Arc<str>, u32>,
    /// Process of the sender and the generation it knows, if rollouts are enabled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub told: Option<Told>,
}

impl NodeHeartbeat {
    pub fn machines(&self) -> u32 {
        self.hears.values().sum()
    }
}

#[derive(Debug)]
struct Other {
    at: Duration,
    heartbeat: NodeHeartbeat,
}

#[derive(Debug)]
pub struct Nodes {
    others: BTreeMap<String, Other>,
    /// Claim of the leader, and the time at which it was last heard.
    leader: (u64, Duration),
    /// Newest claim that another node reported to hold, and that node.
    claimed: Option<(String, u64)>,
    /// Time since which the leader is known.
    leader_since: Duration,
    /// Intervals between the leader's heartbeats.
    gaps: PhiAccrual,
    /// Number of machines that the leader hears, by its last heartbeat.
    leader_hears: u32,
    /// Time at which the leader's last stored heartbeat was seen.
    stored_heartbeat_at: Option<Duration>,
    /// Time of the state service's last answer to this node.
    state: Duration,
    /// Time since which the state service has answered this node without a failure.
    served_since: Option<Duration>,
    /// Workers that know the leader's token and reported here instead, and when.
    stranded: HashMap<MachineId, Duration>,
    /// Time after which a stranded worker is forgotten: the length of a worker's lease.
    keep: Duration,
}

/// Interval between two heartbeats of a node.
pub const EVERY: Duration = Duration::from_millis(700);
/// Time for which the last heartbeat of another node is considered current.
const FRESH: Duration = Duration::from_millis(2200);
/// Silence of two missed heartbeats. A leader silent for longer counts as not heard if its phi
/// value is high or still unknown, and in any case after 1.5 times this time.
const MISSED: Duration = Duration::from_millis(1700);
/// Suspicion level at which the leader's silence is no longer an ordinary gap.
const PHI: f64 = 8.0;
/// A node that was answered within this time is served by the state service.
pub const REACHES: Duration = Duration::from_millis(1600);
/// A node that was not answered for this time is refused by the state service.
pub const REFUSED: Duration = Duration::from_millis(2500);
/// Delay after an outage of the state service in which the leader may resume.
const SERVED: Duration = Duration::from_millis(1500);
/// The leader counts as lost to its workers when one in this many of the machines that it heard
/// has reported to this node instead. One worker is always needed.
const STRANDED_ONE_IN: u32 = 10;

impl Nodes {
    pub fn new(keep: Duration) -> Self {
        Self {
            others: BTreeMap::new(),
            leader: (0, Duration::ZERO),
            claimed: None,
            leader_since: Duration::ZERO,
            gaps: PhiAccrual::new(Source::Periodic),
            leader_hears: 0,
            stored_heartbeat_at: None,
            state: Duration::ZERO,
            served_since: None,
            stranded: HashMap::new(),
            keep,
        }
    }

    /// Records whether the state service served a request of this node.
    pub fn state_answered(&mut self, now: Duration, served: bool) {
        if served {
            self.state = now;
            self.served_since.get_or_insert(now);
        } else {
            self.served_since = None;
        }
    }

    pub fn state_service_silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.state)
    }

    /// Returns whether the state service serves this node and has done so for a while.
    pub fn is_served(&self, now: Duration) -> bool {
        let settled = self.served_since.is_some_and(|at| now > at + SERVED);
        settled && self.state_service_silence(now) <= REACHES
    }

    /// Sets the known leader, which may be this node itself.
    pub fn leader_is(&mut self, claim: u64, own: bool, now: Duration) {
        if self.leader.0 != claim {
            // A new leader counts as heard at first, so that its heartbeats can arrive.
            self.leader = (claim, now);
            self.leader_since = now;
            self.gaps = PhiAccrual::new(Source::Periodic);
            self.leader_hears = 0;
            self.stored_heartbeat_at = None;
            self.stranded.clear();
        }
        if own {
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
    pub fn record_claim(&mut self, from: &str, heartbeat: &NodeHeartbeat) {
        let newer = |known: &(String, u64)| heartbeat.claim > known.1;
        if heartbeat.heard.is_zero() && self.claimed.as_ref().is_none_or(newer) {
            self.claimed = Some((from.to_owned(), heartbeat.claim));
        }
    }

    /// Returns the node that reported to hold a newer claim than this one, and that claim.
    pub fn claimed_after(&self, claim: u64) -> Option<(&str, u64)> {
        let (node, claimed) = self.claimed.as_ref()?;
        (*claimed > claim).then_some((node, *claimed))
    }

    pub fn heartbeat(
        &mut self,
        from: String,
        heartbeat: NodeHeartbeat,
        leads: bool,
        now: Duration,
    ) {
        if leads {
            self.leader = (heartbeat.claim, now);
            self.gaps.record(now);
            self.leader_hears = heartbeat.machines();
        }
        self.others.insert(from, Other { at: now, heartbeat });
    }

    /// Returns whether this node has heard the leader recently. A new leader counts as heard.
    pub fn hears_leader(&self, now: Duration) -> bool {
        let silence = self.leader_silence(now);
        silence < MISSED || (silence < MISSED * 3 / 2 && self.gaps.phi(now) < PHI)
    }

    /// Records a heartbeat that the leader has stored in the state service.
    pub fn stored_heartbeat(&mut self, stored_heartbeat: StoredHeartbeat, now: Duration) {
        if stored_heartbeat.claim == self.leader.0 {
            self.stored_heartbeat_at = Some(now);
            self.leader_hears = stored_heartbeat.hears;
        }
    }

    /// Returns whether the leader's stored heartbeat is recent: at most about two intervals old.
    pub fn leader_stores_heartbeats(&self, claim: u64, now: Duration) -> bool {
        let lately = |at: Duration| now < at + STORED_HEARTBEAT_EVERY * 2 + MISSED / 2;
        self.leader.0 == claim && self.stored_heartbeat_at.is_some_and(lately)
    }

    /// Returns whether a node reported recently that it hears the leader of this claim.
    pub fn peer_hears_leader(&self, node: &str, claim: u64, now: Duration) -> bool {
        let heard = |p: &NodeHeartbeat| p.claim == claim && p.heard < MISSED;
        self.fresh(now)
            .any(|(n, heartbeat)| n == node && heard(heartbeat))
    }

    fn fresh(&self, now: Duration) -> impl Iterator<Item = (&String, &NodeHeartbeat)> {
        let fresh = move |other: &&Other| now < other.at + FRESH;
        let others = self.others.iter();
        others
            .filter(move |(_, other)| fresh(other))
            .map(|(node, other)| (node, &other.heartbeat))
    }

    /// Returns another node that hears the leader.
    pub fn peer_hearing_leader(&self, leader: &str, claim: u64, now: Duration) -> Option<String> {
        let heard = self.others.iter().find(|(node, other)| {
            *node != leader
                && other.heartbeat.claim == claim
                && now < other.at + MISSED - other.heartbeat.heard.min(MISSED)
        });
        heard.map(|(node, _)| node.clone())
    }

    /// Returns another live node that is not the leader.
    pub fn alive_peer_besides(&self, leader: Option<&str>, now: Duration) -> Option<String> {
        let mut alive = self.fresh(now).filter(|(node, _)| Some(&***node) != leader);
        alive.next().map(|(node, _)| node.clone())
    }

    /// Returns whether the state service serves any other live node.
    pub fn is_any_peer_served(&self, now: Duration) -> bool {
        self.fresh(now)
            .any(|(_, heartbeat)| heartbeat.state < REACHES)
    }

    /// Returns whether a heartbeat of this node arrived recently.
    pub fn is_alive(&self, node: &str, now: Duration) -> bool {
        self.fresh(now).any(|(other, _)| other == node)
    }

    /// Returns the process information of a live node.
    pub fn told(&self, node: &str, now: Duration) -> Option<Told> {
        let mut fresh = self.fresh(now);
        fresh.find(|(other, _)| *other == node)?.1.told
    }

    /// Returns the served node that hears the most machines, and their number.
    pub fn best_peer(&self, now: Duration) -> Option<(String, u32)> {
        self.best_peer_of(now, |_| true)
    }

    /// Returns the served node that hears the most machines among those accepted by the filter.
    pub fn best_peer_of(
        &self,
        now: Duration,
        among: impl Fn(&String) -> bool,
    ) -> Option<(String, u32)> {
        let served = self
            .fresh(now)
            .filter(|(_, heartbeat)| heartbeat.state < REACHES);
        served
            .filter(|(node, _)| among(node))
            .map(|(node, heartbeat)| (heartbeat.machines(), node))
            .max()
            .map(|(machines, node)| (node.clone(), machines))
    }

    /// Records a worker that knows the leader's token and reported to this node instead.
    pub fn record_stranded_worker(&mut self, machine: &MachineId, now: Duration) {
        if self.stranded.len() >= 64 {
            let keep = self.keep;
            self.stranded.retain(|_, at| now < *at + keep);
        }
        self.stranded.insert(machine.clone(), now);
    }

    /// Returns whether the leader is lost: no live node hears it and its workers are leaving it.
    pub fn leader_missed(&self, claim: u64, silent: Duration, now: Duration) -> bool {
        let unheard = self.leader.0 == claim && self.leader_silence(now) > silent;
        if !unheard {
            return false;
        }
        // A leader that another node hears still receives the reports which that node forwards.
        let heard = |p: &NodeHeartbeat| p.claim == claim && p.heard < silent;
        let stranded = self.stranded.values().filter(|at| now < **at + silent);
        let stranded = stranded.count();
        let enough = (self.leader_hears / STRANDED_ONE_IN).max(1) as usize;
        // A leader that stores heartbeats stays, unless more workers left it than it hears.
        let stored_heartbeat_at = self.stored_heartbeat_at.is_some_and(|at| now < at + silent);
        let lives = stored_heartbeat_at && stranded <= self.leader_hears as usize;
        stranded >= enough && !lives && !self.fresh(now).any(|(_, heartbeat)| heard(heartbeat))
    }
}
