//! Calls to other services, why they were made, and what waits for their answers.

use std::{sync::Arc, time::Duration};

use super::{
    CallId, Node, Output, RequestId, STATE_TIMEOUT,
    cluster::Direct,
    election,
    job::{JobId, JobSpec},
    limits::WriteSize,
    migrate, partitioned_zones,
    provisioning::CloudRequest,
    store::{StateReply, StateRequest},
    terminal_states, user_requests, write_queue,
};

/// Why a call was made.
#[derive(Debug)]
pub(super) enum Purpose {
    Load {
        after: bool,
    },
    Watch,
    Sync,
    Grant,
    Renew {
        sent: Duration,
    },
    /// Proves the claim and the cache after a renewal that was asked for at `renewed`.
    Verify {
        claim: u64,
        renewed: Duration,
        asked: Duration,
    },
    Claim {
        lease: u64,
        sent: Duration,
        prior: election::PreviousLeader,
    },
    Probe,
    StoredHeartbeat,
    StoreSettledClaim,
    RemoveLeaderKey {
        claim: u64,
    },
    Accept {
        request: RequestId,
        spec: Arc<JobSpec>,
        accepted_ms: u64,
        tries: u8,
    },
    Cancel {
        request: RequestId,
        id: JobId,
        ends: Option<(terminal_states::Range, terminal_states::TerminalStates)>,
    },
    ReadTerminalState(Box<user_requests::TerminalRead>),
    /// Reads whether a job that a submission names is active.
    ReadNeed(Box<user_requests::NeedsCheck>),
    ReadRange {
        request: RequestId,
        id: JobId,
        then: user_requests::AfterRangeRead,
    },
    Announce,
    StoreGeneration,
    Order {
        request: RequestId,
    },
    Migrate((u64, u64), migrate::MigrationRequest),
    StoreDrains {
        request: Option<RequestId>,
        drains: kiteyard_maintenance::drain::Drains,
    },
    StorePartitions {
        claim: u64,
        record: partitioned_zones::PartitionedZonesRecord,
    },
    Failover(election::FailoverRead),
    QueuedWrite(write_queue::QueuedWrite),
    StoreTypes,
    Cloud(CloudRequest),
    Direct(Direct),
}

/// A call that waits for its answer.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) purpose: Purpose,
    /// How large it is, where it changes what is stored.
    pub(super) write: Option<WriteSize>,
}

impl From<Purpose> for Call {
    fn from(purpose: Purpose) -> Self {
        let write = None;
        Self { purpose, write }
    }
}

impl Node {
    pub(super) fn call(&mut self, purpose: Purpose, request: StateRequest) {
        let timeout = match &request {
            StateRequest::Watch { wait, .. } => *wait + STATE_TIMEOUT,
            _ => STATE_TIMEOUT,
        };
        self.call_within(timeout, purpose, request);
    }

    pub(super) fn call_within(
        &mut self,
        timeout: Duration,
        purpose: Purpose,
        request: StateRequest,
    ) {
        self.next_call += 1;
        let write = WriteSize::of(&request);
        self.calls.insert(self.next_call, Call { purpose, write });
        self.out.push(Output::State {
            call: self.next_call,
            request,
            timeout,
        });
    }

    pub(super) fn call_cloud(&mut self, request: CloudRequest) {
        self.next_call += 1;
        self.calls
            .insert(self.next_call, Purpose::Cloud(request.clone()).into());
        self.out.push(Output::Cloud {
            call: self.next_call,
            request,
        });
    }

    /// Sends commands straight to a worker.
    pub(super) fn call_worker(&mut self, direct: Direct) {
        self.next_call += 1;
        let call = self.next_call;
        self.calls
            .insert(call, Purpose::Direct(direct.clone()).into());
        self.out.push(Output::Direct { call, direct });
    }

    /// Why a call was made whose answer has come.
    pub(super) fn purpose_of(&mut self, call: CallId) -> Option<Purpose> {
        self.calls.remove(&call).map(|call| call.purpose)
    }

    /// What an answer to a write teaches of the limits, before anything follows from it.
    pub(super) fn note_write_reply(&mut self, write: Option<&WriteSize>, reply: &StateReply) {
        let now = self.now();
        match (write, reply) {
            (Some(size), StateReply::Rejected) => {
                let lowered = self.limits.lower_after_rejection(size, now);
                self.write_queue.rejected(lowered);
            }
            (Some(_), StateReply::Refused { limited: true, .. }) => self.write_queue.limited(now),
            _ => {}
        }
    }
}
