//! Leader heartbeats stored in the state service, for nodes that the direct ones don't reach.
//!
//! A node that reaches neither the leader nor a node that does can't distinguish a dead leader
//! from one whose connections are refused. The node and a live leader both reach the state
//! service, so a leader whose heartbeats may not reach some node periodically stores one there,
//! with the number of its reachable machines. The writes are made only in that case and cost
//! nothing otherwise. A stored heartbeat is not a claim and affects availability only.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    Node, Purpose,
    membership::nodes::HEARTBEAT_INTERVAL,
    store::{LEADER_KEY, STORED_HEARTBEAT_KEY, StateRequest, if_version, put},
};

/// Record that the leader stores.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredHeartbeat {
    pub claim: u64,
    /// Number of machines that reported to the leader recently.
    #[serde(rename = "hears")]
    pub reachable_machines: u32,
}

#[derive(Debug, Default)]
pub struct HeartbeatWriter {
    write_in_flight: bool,
    next_write: Duration,
}

/// Minimum interval between two stored heartbeats: two direct heartbeats, one of which may be lost.
pub const STORED_HEARTBEAT_INTERVAL: Duration =
    Duration::from_millis(2 * HEARTBEAT_INTERVAL.as_millis() as u64);
/// Delay before a new leader stores heartbeats, so that its first direct ones are acknowledged.
const FIRST_HEARTBEAT_DELAY: Duration =
    Duration::from_millis(3 * HEARTBEAT_INTERVAL.as_millis() as u64);

impl Node {
    pub(super) fn drive_stored_heartbeat(&mut self) {
        let now = self.now();
        if self.heartbeat_writer.write_in_flight
            || now < self.heartbeat_writer.next_write
            || !self.is_leader()
        {
            return;
        }
        let Some(claim) = self.claim() else { return };
        let nodes = &self.membership.nodes;
        let reaches_leader = |node: &String| nodes.peer_reaches_leader(node, claim, now);
        if self.membership.leading_for(now) < FIRST_HEARTBEAT_DELAY
            || self.config.peers.iter().all(reaches_leader)
        {
            return;
        }
        self.heartbeat_writer.write_in_flight = true;
        self.write_queue.charge(1.0);
        let reachable_machines = self.membership.detector.reachable_machines().values().sum();
        let changes = vec![put(
            STORED_HEARTBEAT_KEY,
            &StoredHeartbeat {
                claim,
                reachable_machines,
            },
        )];
        let conditions = vec![if_version(LEADER_KEY, claim)];
        self.call(
            Purpose::StoredHeartbeat,
            StateRequest::Txn {
                conditions,
                changes,
            },
        );
    }

    pub(super) fn heartbeat_write_answered(&mut self) {
        self.heartbeat_writer.write_in_flight = false;
        self.heartbeat_writer.next_write = self.now() + STORED_HEARTBEAT_INTERVAL;
    }

    /// Returns whether the leader stores heartbeats and no other node is known to reach it. Workers
    /// should turn to a node that reaches the leader, if there is one: it forwards their reports.
    pub(super) fn leader_stores_heartbeats(&self) -> bool {
        let leader = self.cache.leader.as_ref();
        self.peer_reaching_leader().is_none()
            && leader.is_some_and(|(_, claim)| {
                self.membership
                    .nodes
                    .leader_stores_heartbeats(*claim, self.now())
            })
    }
}
