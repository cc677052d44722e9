//! What nodes tell one another, and when a leader is missed.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use kiteyard_rollout::state_machine::NodeAnnouncement;
use serde::{Deserialize, Serialize};

use super::phi_accrual::{PhiAccrual, Source};
use crate::core::{
    machine::MachineId,
    stored_heartbeat::{STORED_HEARTBEAT_EVERY, StoredHeartbeat},
};

/// What a node tells every other one, again and again.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeHeartbeat {
    /// The claim of the leader it knows; 0: none.
    pub claim: u64,
    /// How long ago it heard from that leader.
    pub heard: Duration,
    /// How long ago the state service answered it.
    pub state: Duration,
    /// Machines by zone that reported to it lately.
    #[serde(default)]
    pub hears: BTreeMap<Arc<str>, u32>,
    /// Which process it is, and which generation it knows, where rollouts are on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub told: Option<NodeAnnouncement>,
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
    /// The leader's claim, and when it was heard of last.
    leader: (u64, Duration),
    /// The newest claim that another node told to hold, and which node.
    claimed: Option<(String, u64)>,
    /// Since when it is known to lead.
    leader_since: Duration,
    /// The gaps between its heartbeats.
    gaps: PhiAccrual,
    /// Machines that it heard, as it told last.
    leader_hears: u32,
    /// When its last heartbeat in the state service was seen.
    stored_heartbeat_at: Option<Duration>,
    /// When the state service answered last, and since when without a failure.
    state: Duration,
    served_since: Option<Duration>,
    /// Workers that know the leader's token and came here instead, and when.
    stranded: HashMap<MachineId, Duration>,
    /// A worker's lease: what was stranded before that is of no more interest.
    keep: Duration,
}

pub const EVERY: Duration = Duration::from_millis(700);
/// What another node told stands for so long.
const FRESH: Duration = Duration::from_millis(2200);
/// A leader of which two heartbeats were missed is not heard, as long as too few of its
/// heartbeats are known to say more, and whatever they are after half as long again.
const MISSED: Duration = Duration::from_millis(1700);
const PHI: f64 = 8.0;
/// A node that was answered within this time reaches the state service.
pub const REACHES: Duration = Duration::from_millis(1600);
/// One that was not answered for so long is refused.
pub const REFUSED: Duration = Duration::from_millis(2500);
/// After an outage of the state service, the leader is given this time to go on.
const SERVED: Duration = Duration::from_millis(1500);
/// A leader is missed by its workers when one in so many of those that it heard came
/// to another node; one always does where they are few.
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

    /// What an answer tells of whether the state service serves this node.
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

    /// The state service answers this node, and has done so for a while.
    pub fn is_served(&self, now: Duration) -> bool {
        let settled = self.served_since.is_some_and(|at| now > at + SERVED);
        settled && self.state_service_silence(now) <= REACHES
    }

    /// The leader by the stored key, which may be this node itself.
    pub fn leader_is(&mut self, claim: u64, own: bool, now: Duration) {
        if self.leader.0 != claim {
            // A new leader is given the time to be heard.
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

    /// Since when this claim is known, if it is the one that stands.
    pub fn leader_since(&self, claim: u64) -> Option<Duration> {
        (self.leader.0 == claim).then_some(self.leader_since)
    }

    pub fn leader_silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.leader.1)
    }

    /// A node that leads was heard by itself just now.
    pub fn record_claim(&mut self, from: &str, heartbeat: &NodeHeartbeat) {
        let newer = |known: &(String, u64)| heartbeat.claim > known.1;
        if heartbeat.heard.is_zero() && self.claimed.as_ref().is_none_or(newer) {
            self.claimed = Some((from.to_owned(), heartbeat.claim));
        }
    }

    /// The node that leads by what nodes told, if its claim is newer than this one.
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

    /// The leader was heard here lately, or is too new to be missed.
    pub fn hears_leader(&self, now: Duration) -> bool {
        let silence = self.leader_silence(now);
        silence < MISSED || (silence < MISSED * 3 / 2 && self.gaps.phi(now) < PHI)
    }

    /// The leader wrote that it is alive.
    pub fn stored_heartbeat(&mut self, stored_heartbeat: StoredHeartbeat, now: Duration) {
        if stored_heartbeat.claim == self.leader.0 {
            self.stored_heartbeat_at = Some(now);
            self.leader_hears = stored_heartbeat.hears;
        }
    }

    /// The leader's last stored heartbeat is not older than two that were missed.
    pub fn leader_stores_heartbeats(&self, claim: u64, now: Duration) -> bool {
        let lately = |at: Duration| now < at + STORED_HEARTBEAT_EVERY * 2 + MISSED / 2;
        self.leader.0 == claim && self.stored_heartbeat_at.is_some_and(lately)
    }

    /// That node told lately that it hears the leader of this claim.
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

    /// Another node that hears the leader, when this one does not.
    pub fn peer_hearing_leader(&self, leader: &str, claim: u64, now: Duration) -> Option<String> {
        let heard = self.others.iter().find(|(node, other)| {
            *node != leader
                && other.heartbeat.claim == claim
                && now < other.at + MISSED - other.heartbeat.heard.min(MISSED)
        });
        heard.map(|(node, _)| node.clone())
    }

    /// Another node that is heard and is not the leader.
    pub fn alive_peer_besides(&self, leader: Option<&str>, now: Duration) -> Option<String> {
        let mut alive = self.fresh(now).filter(|(node, _)| Some(&***node) != leader);
        alive.next().map(|(node, _)| node.clone())
    }

    /// Some other node that is heard is served by the state service.
    pub fn is_any_peer_served(&self, now: Duration) -> bool {
        self.fresh(now)
            .any(|(_, heartbeat)| heartbeat.state < REACHES)
    }

    /// A node is heard, whatever it says.
    pub fn is_alive(&self, node: &str, now: Duration) -> bool {
        self.fresh(now).any(|(other, _)| other == node)
    }

    /// What a node that is heard told of its process.
    pub fn told(&self, node: &str, now: Duration) -> Option<NodeAnnouncement> {
        let mut fresh = self.fresh(now);
        fresh.find(|(other, _)| *other == node)?.1.told
    }

    /// The served node that hears most machines, and how many.
    pub fn best_peer(&self, now: Duration) -> Option<(String, u32)> {
        self.best_peer_of(now, |_| true)
    }

    /// The same among some of them.
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

    /// A worker that knows the leader's token came here instead.
    pub fn record_stranded_worker(&mut self, machine: &MachineId, now: Duration) {
        if self.stranded.len() >= 64 {
            let keep = self.keep;
            self.stranded.retain(|_, at| now < *at + keep);
        }
        self.stranded.insert(machine.clone(), now);
    }

    /// No node hears the leader any more, and its workers leave it.
    pub fn leader_missed(&self, claim: u64, silent: Duration, now: Duration) -> bool {
        let unheard = self.leader.0 == claim && self.leader_silence(now) > silent;
        if !unheard {
            return false;
        }
        // One that another node hears is reached by its relays.
        let heard = |p: &NodeHeartbeat| p.claim == claim && p.heard < silent;
        let stranded = self.stranded.values().filter(|at| now < **at + silent);
        let stranded = stranded.count();
        let enough = (self.leader_hears / STRANDED_ONE_IN).max(1) as usize;
        // One that writes goes on, unless more of its workers left it than it hears.
        let stored_heartbeat_at = self.stored_heartbeat_at.is_some_and(|at| now < at + silent);
        let lives = stored_heartbeat_at && stranded <= self.leader_hears as usize;
        stranded >= enough && !lives && !self.fresh(now).any(|(_, heartbeat)| heard(heartbeat))
    }
}
