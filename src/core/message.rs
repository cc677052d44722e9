//! The messages of a node: what goes into a step, what comes out, and the answers to users.
//!
//! Owns only their forms. Nothing here decides anything but what becomes of an output that
//! could not go out inside the leader's term.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    cluster::Direct,
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
    /// Steady time since the process began.
    pub now: Duration,
    /// The time of day, in milliseconds.
    pub wall_ms: u64,
}

/// Names a request that waits for its answer.
pub type RequestId = u64;
/// The node's own requests have this name: nobody waits for their answers.
pub const INTERNAL: RequestId = RequestId::MAX;
/// Names a call to another service.
pub type CallId = u64;

/// What a step takes in: a request, an answer of another service, or news of a peer.
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
        ask: rollout::Ask,
    },
    Maintenance {
        request: RequestId,
        ask: maintenance::Ask,
    },
    /// The process is about to end.
    Retire,
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

/// What a step wants to be sent.
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
    /// Commands straight to a worker.
    Direct {
        call: CallId,
        direct: Direct,
    },
    Peer {
        to: String,
        message: PeerMessage,
    },
}

impl Output {
    /// What becomes of this when the leader's term was over before it could go out:
    /// it may be sent all the same, changed, or turns into news for the node.
    ///
    /// A process that stood still in the middle of a step goes on as if no time had
    /// passed. Writes depend on the claim and may go out; commands may not.
    pub fn withheld(self) -> Result<Output, Box<Input>> {
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

/// What a request is answered with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    Accepted(JobId),
    /// Known already: its state now.
    Known(JobId, JobState),
    Status(JobId, JobState, u32, u32),
    /// It is pending until these jobs are done.
    Waiting(JobId, Vec<JobId>),
    NotFound,
    /// It can never run.
    Impossible(String),
    /// Undecidable now.
    Later {
        retry: Duration,
    },
    Ready(bool),
    /// How licences stand, and how old that is where this node does not lead.
    Licences(Vec<LicenceView>, Option<Duration>),
    Rollout(Box<kiteyard_rollout::status::Status>),
    Drains(Vec<maintenance::MachineView>),
    Commands {
        token: u64,
        commands: Vec<Command>,
    },
    /// Another node leads, or none is known.
    Redirect(Option<String>),
}
