//! Forwarding of reports from workers that can't reach the leader, and the digest of job progress
//! for display.
//!
//! Owns the reports that wait for the leader's answer or for a leader, and the last digest of jobs
//! and licences from the leader. Only a leader within its term answers a report with commands.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use super::{
    Answer, Node, Output, RequestId, fencing,
    heartbeat::WORKER_RETURN_TIMEOUT,
    job::JobId,
    licences::LicenceView,
    machine::{MachineId, WorkerReport},
    membership::reachability::HeartbeatPath,
};

pub use super::peer_message::PeerMessage;

#[derive(Debug)]
struct PendingForward {
    request: RequestId,
    machine: MachineId,
    deadline: Duration,
}

/// Report that arrived while no leader was reachable.
#[derive(Debug)]
struct HeldReport {
    request: RequestId,
    report: WorkerReport,
    deadline: Duration,
}

#[derive(Debug, Default)]
pub struct ForwardedReports {
    /// Last relay number in use. Each process starts at a different one, so that a late answer
    /// to the previous process is not taken for the answer to another worker's report.
    last_relay: u64,
    pending: BTreeMap<u64, PendingForward>,
    /// Held reports in order of their deadline.
    held: VecDeque<HeldReport>,
    /// Number of tasks listed by the held reports.
    held_tasks: usize,
    /// Workers that were redirected to the leader or lost their connection to it, and when.
    redirected: HashMap<MachineId, Duration>,
    /// Time of the last answer to each worker whose reports are forwarded.
    answered_at: HashMap<MachineId, Duration>,
    /// Finished and running tasks of each job, from the leader's last digest.
    task_counts: HashMap<JobId, (u32, u32)>,
    /// Licence usage from the leader's last digest, and the time of its arrival.
    licences: (Vec<LicenceView>, Duration),
    next_digest: Duration,
    /// Time of the next removal of old entries from `redirected` and `answered_at`.
    next_cleanup: Duration,
}

impl ForwardedReports {
    pub fn new(incarnation: u32) -> Self {
        Self {
            last_relay: u64::from(incarnation) << 32,
            ..Self::default()
        }
    }

    /// Returns the number of finished and of running tasks of a job.
    pub fn task_counts(&self, id: &JobId) -> (u32, u32) {
        self.task_counts.get(id).copied().unwrap_or((0, 0))
    }
}

/// Interval between two digests from the leader.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between removals of old worker entries. Scanning them at each report would take time
/// quadratic in the size of the fleet.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// Time to wait for the leader's answer to a forwarded report.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a report is held. A worker waits 4 s for its answer.
const HOLD_TIMEOUT: Duration = Duration::from_millis(3400);

impl Node {
    pub(super) fn report_received(&mut self, request: RequestId, report: WorkerReport) {
        if self.is_leader() {
            self.report_to_leader(request, report);
            return;
        }
        let Some((node, claim)) = self.other_leader() else {
            self.record_heartbeat(&report.machine, &report.zone, HeartbeatPath::Report);
            self.hold_report(request, report);
            return;
        };
        let now = self.now();
        let is_partitioned_from_leader = self.is_partitioned_from_leader(&report, claim);
        if is_partitioned_from_leader {
            self.membership
                .nodes
                .record_stranded_worker(&report.machine, now);
            self.record_heartbeat(&report.machine, &report.zone, HeartbeatPath::Report);
        }
        if is_partitioned_from_leader && !self.reaches_leader() {
            match self.leader_stores_heartbeats() {
                // No node can forward the report, and the leader is not replaced: the worker
                // tries the other nodes.
                true => self.answer(request, Answer::Redirect(None)),
                false => self.hold_report(request, report),
            }
            return;
        }
        if is_partitioned_from_leader && self.is_forwarding_full(&report.machine) {
            self.answer(request, Answer::Redirect(None));
            return;
        }
        if !is_partitioned_from_leader {
            self.forwarded
                .redirected
                .insert(report.machine.clone(), now);
            self.answer(request, Answer::Redirect(Some(node)));
            return;
        }
        self.forward_report(node, request, report);
    }

    /// Handles a report that a worker sent directly to this node while it leads.
    fn report_to_leader(&mut self, request: RequestId, report: WorkerReport) {
        self.record_heartbeat(&report.machine, &report.zone, HeartbeatPath::Report);
        let Some(report) = self.defer_report(request, report) else {
            return;
        };
        let answer = self.answer_as_leader(&report);
        self.answer(request, answer.unwrap_or(Answer::Redirect(None)));
    }

    /// Forwards a report to the leader, and keeps the worker's request open for the answer.
    fn forward_report(&mut self, leader: String, request: RequestId, report: WorkerReport) {
        self.forwarded.last_relay += 1;
        let relay = self.forwarded.last_relay;
        let pending = PendingForward {
            request,
            machine: report.machine.clone(),
            deadline: self.now() + FORWARD_TIMEOUT,
        };
        self.forwarded.pending.insert(relay, pending);
        self.outputs.push(Output::Peer {
            to: leader,
            message: PeerMessage::Report { relay, report },
        });
    }

    /// Returns whether the worker can't reach the leader, so that its report is forwarded and its
    /// lease is kept alive.
    ///
    /// A worker that knows the leader's token and still reports here has lost its connection to the
    /// leader, as has one that returns soon after it was redirected. A new leader contacts workers
    /// directly, though, so until all workers have moved, one may know the token but not the
    /// leader's address. A worker stays with the node that answers it, so it is redirected to the
    /// leader again from time to time; otherwise it would depend on two nodes and the connection
    /// between them forever.
    fn is_partitioned_from_leader(&mut self, report: &WorkerReport, claim: u64) -> bool {
        let now = self.now();
        let knows_token = fencing::claim_of(report.token) == claim;
        if !self.reaches_leader() && self.leader_stores_heartbeats() {
            // Reports can't be forwarded: the worker is redirected, unless it just returned.
            let redirected_at = self.forwarded.redirected.get(&report.machine);
            return redirected_at.is_some_and(|at| now < *at + WORKER_RETURN_TIMEOUT);
        }
        if knows_token && !self.reaches_leader() {
            return true;
        }
        match self.forwarded.redirected.get(&report.machine) {
            Some(at) => now < *at + self.config.worker_lease_bound * 2,
            None if knows_token && self.have_workers_moved(claim) => {
                self.forwarded
                    .redirected
                    .insert(report.machine.clone(), now);
                true
            }
            None => false,
        }
    }

    /// Returns whether no further report may be forwarded. The whole fleet may report here at once;
    /// workers whose lease has half elapsed can't wait and get twice the limit.
    fn is_forwarding_full(&self, machine: &MachineId) -> bool {
        let half_lease = self.config.worker_lease_bound / 2;
        let last_answer = self.forwarded.answered_at.get(machine);
        let is_urgent = last_answer.is_none_or(|at| self.now() > *at + half_lease);
        let limit = match is_urgent {
            true => self.config.max_waiting_requests * 2,
            false => self.config.max_waiting_requests,
        };
        self.forwarded.pending.len() >= limit
    }

    /// Answers with the licence usage: verified if this node leads, else from the leader's digest.
    pub(super) fn answer_licences(&mut self, request: RequestId) {
        if self.config.options.licences.is_none() {
            self.answer(request, Answer::Licences(Vec::new(), None));
            return;
        }
        let stored = &self.forwarded.licences;
        let age = self.now().saturating_sub(stored.1);
        let answer = match (&self.cluster, self.is_leader()) {
            (Some(cluster), true) => Answer::Licences(cluster.licence_view(), None),
            _ if stored.0.is_empty() => Answer::Later {
                retry: DIGEST_INTERVAL,
            },
            _ => Answer::Licences(stored.0.clone(), Some(age)),
        };
        self.answer(request, answer);
    }

    /// Returns the leader and its claim, if it is another node.
    fn other_leader(&self) -> Option<(String, u64)> {
        let (node, claim) = self.known_leader()?;
        (node != self.config.node).then(|| (node.to_owned(), claim))
    }

    /// Holds a report while this node reaches no leader, or redirects the worker to a node that
    /// does. Redirected elsewhere, the worker would spend the rest of its lease on a dead node or
    /// on trying the others.
    fn hold_report(&mut self, request: RequestId, report: WorkerReport) {
        let now = self.now();
        let tasks = report.tasks.len();
        let is_full = self.forwarded.held.len() >= self.config.max_waiting_requests
            || self.forwarded.held_tasks + tasks > self.config.max_waiting_tasks;
        match self.peer_reaching_leader() {
            Some(node) => self.answer(request, Answer::Redirect(Some(node))),
            None if is_full => self.answer(request, Answer::Redirect(None)),
            None => {
                self.forwarded.held_tasks += tasks;
                self.forwarded.held.push_back(HeldReport {
                    request,
                    report,
                    deadline: now + HOLD_TIMEOUT,
                });
            }
        }
    }

    /// Handles the held reports once a leader is reachable, or their deadline has passed.
    fn drive_held_reports(&mut self) {
        let now = self.now();
        let Some(first) = self.forwarded.held.front() else {
            return;
        };
        let is_expired = now >= first.deadline;
        let reaches_leader = (self.reaches_leader() || self.leader_stores_heartbeats())
            && self.other_leader().is_some();
        let has_route = reaches_leader || self.is_leader() || self.peer_reaching_leader().is_some();
        if !has_route && !is_expired {
            return;
        }
        for held in self.take_held_reports(has_route) {
            if has_route {
                self.report_received(held.request, held.report);
            } else {
                // The next node in the worker's list may be the dead one, which would cost the
                // worker most of its lease, so it is redirected to a live node.
                let answer = Answer::Redirect(self.alive_peer());
                self.answer(held.request, answer);
            }
        }
    }

    /// Removes all held reports, or only those whose deadline has passed.
    fn take_held_reports(&mut self, all: bool) -> Vec<HeldReport> {
        let now = self.now();
        let forwarded = &mut self.forwarded;
        let due = match all {
            true => forwarded.held.len(),
            false => forwarded.held.partition_point(|held| now >= held.deadline),
        };
        let reports: Vec<HeldReport> = forwarded.held.drain(..due).collect();
        let tasks: usize = reports.iter().map(|held| held.report.tasks.len()).sum();
        forwarded.held_tasks -= tasks;
        reports
    }

    pub(super) fn peer_message_received(&mut self, from: String, message: PeerMessage) {
        match message {
            PeerMessage::Report { relay, report } => {
                self.record_heartbeat(&report.machine, &report.zone, HeartbeatPath::Forwarded);
                let Some(report) = self.defer_forwarded_report(&from, relay, report) else {
                    return;
                };
                let answer = self.answer_as_leader(&report);
                self.outputs.push(Output::Peer {
                    to: from,
                    message: PeerMessage::Reported { relay, answer },
                });
            }
            PeerMessage::Reported { relay, answer } => {
                if let Some(pending) = self.forwarded.pending.remove(&relay) {
                    if matches!(answer, Some(Answer::Commands { .. })) {
                        let now = self.now();
                        self.forwarded.answered_at.insert(pending.machine, now);
                    }
                    let answer = answer.unwrap_or(Answer::Redirect(None));
                    self.answer(pending.request, answer);
                }
            }
            PeerMessage::Heartbeat(heartbeat) => self.heartbeat_received(from, heartbeat),
            PeerMessage::Resign { claim } => self.resign_requested(from, claim),
            PeerMessage::Resigned { claim } => self.resignation_received(claim),
            PeerMessage::Handover(handover) => self.handover_received(handover),
            PeerMessage::Digest { jobs, licences } => {
                self.forwarded.licences = (licences, self.now());
                self.forwarded.task_counts = jobs
                    .into_iter()
                    .map(|(id, done, running)| (id, (done, running)))
                    .collect();
            }
        }
    }

    pub(super) fn drive_forwarding(&mut self) {
        self.drive_held_reports();
        let now = self.now();
        while let Some(entry) = self.forwarded.pending.first_entry() {
            if now < entry.get().deadline {
                break;
            }
            // This node can't reach the leader either, but another node may.
            let pending = entry.remove();
            self.answer(pending.request, Answer::Redirect(None));
        }
        let retention = self.config.worker_lease_bound * 4;
        if now >= self.forwarded.next_cleanup {
            self.forwarded.next_cleanup = now + CLEANUP_INTERVAL;
            self.forwarded
                .redirected
                .retain(|_, at| now < *at + retention);
            self.forwarded
                .answered_at
                .retain(|_, at| now < *at + retention);
        }
        if now < self.forwarded.next_digest || !self.is_leader() {
            return;
        }
        self.forwarded.next_digest = now + DIGEST_INTERVAL;
        let Some(cluster) = &self.cluster else { return };
        let jobs: Vec<_> = cluster
            .jobs
            .iter()
            .filter(|(_, job)| job.running > 0 || job.done_count > 0)
            .map(|(id, job)| (id.clone(), job.done_count, job.running))
            .collect();
        let licences = cluster.licence_view();
        for to in self.config.peers.clone() {
            let (jobs, licences) = (jobs.clone(), licences.clone());
            self.outputs.push(Output::Peer {
                to,
                message: PeerMessage::Digest { jobs, licences },
            });
        }
    }
}
