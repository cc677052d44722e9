//! Messages between nodes.

use serde::{Deserialize, Serialize};

use super::{
    Answer, handover::HandoverSnapshot, job::JobId, licences::LicenceView, machine::WorkerReport,
    membership::nodes::NodeHeartbeat,
};

/// Message from one node to another, sent as one line.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// A worker's report, forwarded to the leader.
    Report { relay: u64, report: WorkerReport },
    /// The answer to a forwarded report; `None` if the receiver does not lead.
    Reported { relay: u64, answer: Option<Answer> },
    #[serde(rename = "pulse")]
    Heartbeat(NodeHeartbeat),
    /// Request to the leader to resign.
    Resign { claim: u64 },
    /// Confirmation that the leader has resigned and no longer acts.
    Resigned { claim: u64 },
    /// Learned state for the next leader.
    #[serde(rename = "hints")]
    Handover(HandoverSnapshot),
    /// Numbers of finished and running tasks of active jobs, and the licence usage.
    Digest {
        jobs: Vec<(JobId, u32, u32)>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        licences: Vec<LicenceView>,
    },
}
