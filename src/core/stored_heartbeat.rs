//! The leader's heartbeats in the state service, for nodes that its heartbeats don't reach.
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
    membership::nodes::EVERY,
    store::{LEADER_KEY, STORED_HEARTBEAT_KEY, StateRequest, if_version, put},
};

/// What the leader writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredHeartbeat {
    pub claim: u64,
    /// Machines that reported to it lately.
    pub hears: u32,
}

#[derive(Debug, Default)]
pub struct HeartbeatWriter {
    writing: bool,
    next: Duration,
}

/// The least time between two stored heartbeats: as often as a heartbeat that may be missed once.
pub const STORED_HEARTBEAT_EVERY: Duration = Duration::from_millis(2 * EVERY.as_millis() as u64);
/// A new leader's first heartbeats get this time to be heard, and to be told of.
const FIRST: Duration = Duration::from_millis(3 * EVERY.as_millis() as u64);

impl Node {
    pub(super) fn drive_stored_heartbeat(&mut self) {
        let now = self.now();
        if self.heartbeat_writer.writing || now < self.heartbeat_writer.next || !self.is_leader() {
            return;
        }
        let Some(claim) = self.claim() else { return };
        let nodes = &self.membership.nodes;
        let heard = |node: &String| nodes.peer_hears_leader(node, claim, now);
        if self.membership.leading_for(now) < FIRST || self.config.peers.iter().all(heard) {
            return;
        }
        self.heartbeat_writer.writing = true;
        self.write_queue.charge(1.0);
        let hears = self.membership.detector.machines_heard().values().sum();
        let changes = vec![put(STORED_HEARTBEAT_KEY, &StoredHeartbeat { claim, hears })];
        let conditions = vec![if_version(LEADER_KEY, claim)];
        self.call(
            Purpose::StoredHeartbeat,
            StateRequest::Txn {
                conditions,
                changes,
            },
        );
    }

    pub(super) fn heartbeat_stored(&mut self) {
        self.heartbeat_writer.writing = false;
        self.heartbeat_writer.next = self.now() + STORED_HEARTBEAT_EVERY;
    }

    /// The leader is not heard, nor known to be by another node, but it lives. Where another
    /// node hears it, workers are better off there: it relays for those that can't reach it.
    pub(super) fn leader_stores_heartbeats(&self) -> bool {
        let leader = self.cache.leader.as_ref();
        self.peer_hearing_leader().is_none()
            && leader.is_some_and(|(_, claim)| {
                self.membership
                    .nodes
                    .leader_stores_heartbeats(*claim, self.now())
            })
    }
}
