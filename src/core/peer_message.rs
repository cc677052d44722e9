//! The form of what nodes tell one another.

use serde::{Deserialize, Serialize};

use super::{
    Answer, handover::HandoverSnapshot, job::JobId, licences::LicenceView, machine::WorkerReport,
    membership::nodes::NodeHeartbeat,
};

/// One line between two nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// A worker's report, for the leader.
    Report { relay: u64, report: WorkerReport },
    /// The leader's answer; none where it does not lead.
    Reported { relay: u64, answer: Option<Answer> },
    #[serde(rename = "pulse")]
    Heartbeat(NodeHeartbeat),
    /// The leader is asked to make way.
    Resign { claim: u64 },
    /// It has, and does not act any more.
    Resigned { claim: u64 },
    /// What the next leader should not have to learn again.
    #[serde(rename = "hints")]
    Handover(HandoverSnapshot),
    /// Done and running tasks of active jobs, and how licences stand.
    Digest {
        jobs: Vec<(JobId, u32, u32)>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        licences: Vec<LicenceView>,
    },
}
