//! The leader's signs of life in the state service, for nodes that its pulses don't reach.
//!
//! A node that hears neither the leader nor another one that does can't tell one that is
//! gone from one whose connections are refused. The state service answers both, so a leader
//! that some other node may not hear writes there now and then that it is alive, and how
//! many machines it hears. Written only then, it costs nothing on other days; it is no
//! claim, and what rests on it is service alone.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    Node, Purpose,
    members::nodes::EVERY,
    store::{LEADER, SIGN, StateRequest, put, when},
};

/// What the leader writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sign {
    pub claim: u64,
    /// Machines that reported to it lately.
    pub hears: u32,
}

#[derive(Debug, Default)]
pub struct Signs {
    writing: bool,
    next: Duration,
}

/// The least time between two signs: as often as a pulse that may be missed once.
pub const SIGNS_EVERY: Duration = Duration::from_millis(2 * EVERY.as_millis() as u64);
/// A new leader's first pulses get this time to be heard, and to be told of.
const FIRST: Duration = Duration::from_millis(3 * EVERY.as_millis() as u64);

impl Node {
    pub(super) fn pump_signs(&mut self) {
        let now = self.now();
        if self.signs.writing || now < self.signs.next || !self.leads() {
            return;
        }
        let Some(claim) = self.claim() else { return };
        let nodes = &self.members.nodes;
        let heard = |node: &String| nodes.told_of_hearing(node, claim, now);
        if self.members.led_for(now) < FIRST || self.config.peers.iter().all(heard) {
            return;
        }
        self.signs.writing = true;
        self.saves.charge(1.0);
        let hears = self.members.sight.hears().values().sum();
        let changes = vec![put(SIGN, &Sign { claim, hears })];
        let conditions = vec![when(LEADER, claim)];
        self.call(
            Purpose::Sign,
            StateRequest::Txn {
                conditions,
                changes,
            },
        );
    }

    pub(super) fn signed(&mut self) {
        self.signs.writing = false;
        self.signs.next = self.now() + SIGNS_EVERY;
    }

    /// The leader is not heard, nor known to be by another node, but it lives. Where another
    /// node hears it, workers are better off there: it relays for those that can't reach it.
    pub(super) fn leader_writes(&self) -> bool {
        let leader = self.mirror.leader.as_ref();
        self.hearer().is_none()
            && leader.is_some_and(|(_, claim)| self.members.nodes.leader_writes(*claim, self.now()))
    }
}
