//! Messages of a node: inputs and outputs of a step, and answers to users.
//!
//! The only logic here is the treatment of outputs that could not be sent within the leader's
//! term.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    cluster::DirectCommands,
    job::{JobId, JobSpec, JobState},
    licences::LicenceView,
    machine::{Command, DirectReply, WorkerReport},
    maintenance,
    peer_message::PeerMessage,
    provisioning::{CloudReply, CloudRequest},
    rollout,
    store::{StateReply, StateRequest},
};

/// Time as a step sees it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Monotonic time since the process started.
    pub now: Duration,
    /// Wall-clock time since the Unix epoch in milliseconds.
    pub wall_ms: u64,
}

/// Identifies a request that waits for its answer.
pub type RequestId = u64;
/// Identifier of the node's own requests, whose answers are dropped.
pub const INTERNAL: RequestId = RequestId::MAX;
/// Identifies a call to another service.
pub type CallId = u64;

/// Input of a step: a request, an answer of another service, or a message of a peer.
#[derive(Debug)]
pub enum Input {
    Submit {
        request: RequestId,
        spec: Arc<JobSpec>,
    },
    Status {
        request: RequestId,
        id: JobId,
    },
    Withdraw {
        request: RequestId,
        id: JobId,
    },
    Ready {
        request: RequestId,
    },
    Licences {
        request: RequestId,
    },
    Rollout {
        request: RequestId,
        action: rollout::RolloutAction,
    },
    Maintenance {
        request: RequestId,
        action: maintenance::MaintenanceRequest,
    },
    /// The process is shutting down.
    Shutdown,
    Report {
        request: RequestId,
        report: WorkerReport,
    },
    State {
        call: CallId,
        reply: StateReply,
    },
    Cloud {
        call: CallId,
        reply: CloudReply,
    },
    Direct {
        call: CallId,
        reply: DirectReply,
    },
    Peer {
        from: String,
        message: PeerMessage,
    },
    Tick,
}

/// Output of a step, to be sent by the caller.
#[derive(Debug)]
pub enum Output {
    Answer {
        request: RequestId,
        answer: Answer,
    },
    State {
        call: CallId,
        request: StateRequest,
        timeout: Duration,
    },
    Cloud {
        call: CallId,
        request: CloudRequest,
    },
    /// Sends commands directly to a worker.
    Direct {
        call: CallId,
        direct: DirectCommands,
    },
    Peer {
        to: String,
        message: PeerMessage,
    },
}

impl Output {
    /// Converts an output that was not sent before the leader's term ended: it is sent as it is,
    /// replaced, or turned into an input of the node.
    ///
    /// A process that is suspended during a step continues as if no time had passed. Writes are
    /// conditional on the claim and may still be sent; commands may not.
    pub fn after_term_expired(self) -> Result<Output, Box<Input>> {
        match self {
            Output::Answer {
                request,
                answer: Answer::Commands { .. },
            } => Ok(Output::Answer {
                request,
                answer: Answer::Redirect(None),
            }),
            Output::Peer {
                to,
                message: PeerMessage::Reported { relay, .. },
            } => Ok(Output::Peer {
                to,
                message: PeerMessage::Reported {
                    relay,
                    answer: None,
                },
            }),
            Output::Direct { call, .. } => Err(Box::new(Input::Direct {
                call,
                reply: DirectReply::Unclear,
            })),
            other => Ok(other),
        }
    }
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    Accepted(JobId),
    /// The job is already known; its present state.
    Known(JobId, JobState),
    Status(JobId, JobState, u32, u32),
    /// The job is pending until these jobs are done.
    Waiting(JobId, Vec<JobId>),
    NotFound,
    /// The request can never succeed, for the given reason.
    Impossible(String),
    /// The request can't be decided now.
    Later {
        retry: Duration,
    },
    Ready(bool),
    /// Licence usage, and its age if this node does not lead.
    Licences(Vec<LicenceView>, Option<Duration>),
    Rollout(Box<kiteyard_rollout::status::Status>),
    Drains(Vec<maintenance::MachineView>),
    Commands {
        token: u64,
        commands: Vec<Command>,
    },
    /// Name of another node that may lead, or `None` if none is known.
    Redirect(Option<String>),
}
