//! Calls to other services, with the purpose of each, until they are answered.

use std::{sync::Arc, time::Duration};

use super::{
    CallId, Node, Output, RequestId, STATE_TIMEOUT,
    cluster::DirectCommands,
    election,
    job::{JobId, JobSpec},
    limits::WriteSize,
    migrate, partitioned_zones,
    provisioning::CloudRequest,
    store::{StateReply, StateRequest},
    terminal_states, user_requests, write_queue,
};

/// Purpose of a call.
#[derive(Debug)]
pub(super) enum Purpose {
    Load {
        is_next_page: bool,
    },
    Watch,
    Sync,
    Grant,
    Renew {
        sent: Duration,
    },
    /// Verifies the claim and the cache after a renewal that was sent at `renewal_sent`.
    Verify {
        claim: u64,
        renewal_sent: Duration,
        sent: Duration,
    },
    Claim {
        lease: u64,
        sent: Duration,
        previous: election::PreviousLeader,
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
        attempts: u8,
    },
    Cancel {
        request: RequestId,
        id: JobId,
        states: Option<(terminal_states::JobIdRange, terminal_states::TerminalStates)>,
    },
    ReadTerminalState(Box<user_requests::TerminalRead>),
    /// Reads whether a job that a submission depends on is active.
    ReadDependency(Box<user_requests::DependencyCheck>),
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
    Direct(DirectCommands),
}

/// Call in flight.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) purpose: Purpose,
    /// Size of the write, if the call is one.
    pub(super) write_size: Option<WriteSize>,
}

impl From<Purpose> for Call {
    fn from(purpose: Purpose) -> Self {
        let write_size = None;
        Self {
            purpose,
            write_size,
        }
    }
}

impl Node {
    pub(super) fn call(&mut self, purpose: Purpose, request: StateRequest) {
        let timeout = match &request {
            StateRequest::Watch { wait, .. } => *wait + STATE_TIMEOUT,
            _ => STATE_TIMEOUT,
        };
        self.call_with_timeout(timeout, purpose, request);
    }

    pub(super) fn call_with_timeout(
        &mut self,
        timeout: Duration,
        purpose: Purpose,
        request: StateRequest,
    ) {
        self.last_call += 1;
        let write_size = WriteSize::of(&request);
        self.calls.insert(
            self.last_call,
            Call {
                purpose,
                write_size,
            },
        );
        self.outputs.push(Output::State {
            call: self.last_call,
            request,
            timeout,
        });
    }

    pub(super) fn call_cloud(&mut self, request: CloudRequest) {
        self.last_call += 1;
        self.calls
            .insert(self.last_call, Purpose::Cloud(request.clone()).into());
        self.outputs.push(Output::Cloud {
            call: self.last_call,
            request,
        });
    }

    /// Sends commands directly to a worker.
    pub(super) fn call_worker(&mut self, direct: DirectCommands) {
        self.last_call += 1;
        let call = self.last_call;
        self.calls
            .insert(call, Purpose::Direct(direct.clone()).into());
        self.outputs.push(Output::Direct { call, direct });
    }

    /// Removes an answered call and returns its purpose.
    pub(super) fn take_purpose(&mut self, call: CallId) -> Option<Purpose> {
        self.calls.remove(&call).map(|call| call.purpose)
    }

    /// Updates the limits in use from the reply to a write, before the reply is handled.
    pub(super) fn update_write_limits(
        &mut self,
        write_size: Option<&WriteSize>,
        reply: &StateReply,
    ) {
        let now = self.now();
        match (write_size, reply) {
            (Some(size), StateReply::Rejected) => {
                let lowered = self.limits.lower_after_rejection(size, now);
                self.write_queue.rejected(lowered);
            }
            (
                Some(_),
                StateReply::Refused {
                    rate_limited: true, ..
                },
            ) => self.write_queue.rate_limited(now),
            _ => {}
        }
    }
}
