//! Reports of workers that can't reach the leader, passed on by other nodes, and how far jobs
//! are, for display.
//!
//! Owns the reports that wait for the leader's answer or for a leader, and what the leader
//! told of jobs and licences. Only a leader inside its term answers a report with commands.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use super::{
    Answer, Node, Output, RequestId,
    heartbeat::WORKER_RETURNS,
    job::JobId,
    licences::LicenceView,
    machine::{MachineId, WorkerReport},
    membership::reachability::HeartbeatPath,
};

pub use super::peer_message::PeerMessage;

#[derive(Debug)]
struct Waiting {
    request: RequestId,
    machine: MachineId,
    until: Duration,
}

/// A report that came while no leader is heard.
#[derive(Debug)]
struct Held {
    request: RequestId,
    report: WorkerReport,
    until: Duration,
}

#[derive(Debug, Default)]
pub struct ForwardedHeartbeats {
    /// The last number that was given. An answer to the process before this one may come
    /// here yet: it must not be taken for one to another worker's report, so each process
    /// begins elsewhere.
    next: u64,
    waiting: BTreeMap<u64, Waiting>,
    /// In the order in which their time is up.
    held: VecDeque<Held>,
    /// Tasks that the held reports list.
    held_tasks: usize,
    /// Workers that were sent to the leader or came from it, and when.
    tried: HashMap<MachineId, Duration>,
    /// When a relayed worker was answered last.
    answered: HashMap<MachineId, Duration>,
    digest: HashMap<JobId, (u32, u32)>,
    /// How licences stand, as the leader told, and when.
    licences: (Vec<LicenceView>, Duration),
    next_digest: Duration,
    /// When old entries of `tried` and `answered` are removed next.
    next_cleanup: Duration,
}

impl ForwardedHeartbeats {
    pub fn new(incarnation: u32) -> Self {
        Self {
            next: u64::from(incarnation) << 32,
            ..Self::default()
        }
    }

    pub fn counts(&self, id: &JobId) -> (u32, u32) {
        self.digest.get(id).copied().unwrap_or((0, 0))
    }
}

const DIGEST_EVERY: Duration = Duration::from_secs(1);
/// How often entries of workers that were not seen for long are removed: looking through
/// them at each report would take time that grows with the square of the fleet.
const CLEANUP_EVERY: Duration = Duration::from_secs(1);
/// How long the leader's answer to a forwarded report is waited for.
const FORWARDED_FOR: Duration = Duration::from_secs(1);
/// How long a report is held: a worker waits 4 s for its answer.
const HELD_FOR: Duration = Duration::from_millis(3400);

impl Node {
    pub(super) fn report(&mut self, request: RequestId, report: WorkerReport) {
        if self.is_leader() {
            self.report_to_leader(request, report);
            return;
        }
        let Some((node, claim)) = self.other_leader() else {
            self.record_heartbeat(&report.machine, &report.zone, HeartbeatPath::Report);
            self.hold(request, report);
            return;
        };
        let now = self.now();
        let is_cut_from_leader = self.is_cut_from_leader(&report, claim);
        if is_cut_from_leader {
            self.membership
                .nodes
                .record_stranded_worker(&report.machine, now);
            self.record_heartbeat(&report.machine, &report.zone, HeartbeatPath::Report);
        }
        if is_cut_from_leader && !self.hears_leader() {
            match self.leader_stores_heartbeats() {
                // Nobody can pass it on, and the leader goes on without: the worker tries
                // the ways that it has.
                true => self.answer(request, Answer::Redirect(None)),
                false => self.hold(request, report),
            }
            return;
        }
        if is_cut_from_leader && self.is_forwarding_full(&report.machine) {
            self.answer(request, Answer::Redirect(None));
            return;
        }
        if !is_cut_from_leader {
            self.forwarded.tried.insert(report.machine.clone(), now);
            self.answer(request, Answer::Redirect(Some(node)));
            return;
        }
        self.forward_report(node, request, report);
    }

    /// A report that came straight to this node while it leads.
    fn report_to_leader(&mut self, request: RequestId, report: WorkerReport) {
        self.record_heartbeat(&report.machine, &report.zone, HeartbeatPath::Report);
        let Some(report) = self.defer_report(request, report) else {
            return;
        };
        let answer = self.answer_as_leader(&report);
        self.answer(request, answer.unwrap_or(Answer::Redirect(None)));
    }

    /// Passes a report on to the leader; the worker waits here for the answer.
    fn forward_report(&mut self, leader: String, request: RequestId, report: WorkerReport) {
        self.forwarded.next += 1;
        let relay = self.forwarded.next;
        let waiting = Waiting {
            request,
            machine: report.machine.clone(),
            until: self.now() + FORWARDED_FOR,
        };
        self.forwarded.waiting.insert(relay, waiting);
        self.outputs.push(Output::Peer {
            to: leader,
            message: PeerMessage::Report { relay, report },
        });
    }

    /// Whether a worker that came here can't reach the leader, so that its report is
    /// relayed and its lease goes on.
    ///
    /// One that knows the leader's token and still comes here has lost its way to it,
    /// as has one that comes back soon after it was sent there. A new leader calls
    /// workers wherever they are, though: until all have turned to it, one may know its
    /// token and not where it is. A relayed worker stays where it is answered, so now
    /// and then it is sent to the leader again: else it would depend on two nodes and
    /// the way between them for ever.
    fn is_cut_from_leader(&mut self, report: &WorkerReport, claim: u64) -> bool {
        let now = self.now();
        let knows = report.token >> 16 == claim;
        if !self.hears_leader() && self.leader_stores_heartbeats() {
            // Nothing is relayed: it is sent to the leader, unless it comes from there.
            let tried = self.forwarded.tried.get(&report.machine);
            return tried.is_some_and(|at| now < *at + WORKER_RETURNS);
        }
        if knows && !self.hears_leader() {
            return true;
        }
        match self.forwarded.tried.get(&report.machine) {
            Some(at) => now < *at + self.config.worker_lease_bound * 2,
            None if knows && self.workers_have_moved(claim) => {
                self.forwarded.tried.insert(report.machine.clone(), now);
                true
            }
            None => false,
        }
    }

    /// No more reports are relayed, but for those of workers whose lease is half over:
    /// the whole fleet may come at once, and those can't wait.
    fn is_forwarding_full(&self, machine: &MachineId) -> bool {
        let half = self.config.worker_lease_bound / 2;
        let answered = self.forwarded.answered.get(machine);
        let urgent = answered.is_none_or(|at| self.now() > *at + half);
        let most = match urgent {
            true => self.config.max_waiting_requests * 2,
            false => self.config.max_waiting_requests,
        };
        self.forwarded.waiting.len() >= most
    }

    /// How licences stand: proven where this node leads, else as the leader told.
    pub(super) fn licences(&mut self, request: RequestId) {
        if self.config.options.licences.is_none() {
            self.answer(request, Answer::Licences(Vec::new(), None));
            return;
        }
        let told = &self.forwarded.licences;
        let age = self.now().saturating_sub(told.1);
        let answer = match (&self.cluster, self.is_leader()) {
            (Some(cluster), true) => Answer::Licences(cluster.licence_view(), None),
            _ if told.0.is_empty() => Answer::Later {
                retry: DIGEST_EVERY,
            },
            _ => Answer::Licences(told.0.clone(), Some(age)),
        };
        self.answer(request, answer);
    }

    /// Another node that leads, and its claim.
    fn other_leader(&self) -> Option<(String, u64)> {
        let (node, claim) = self.known_leader()?;
        (node != self.config.node).then(|| (node.to_owned(), claim))
    }

    /// No leader is heard here. Sent on, a worker would spend the rest of its lease
    /// on a node that is gone, or going round the others: it is sent to a node that
    /// hears the leader, or waits here until one leads.
    fn hold(&mut self, request: RequestId, report: WorkerReport) {
        let now = self.now();
        let tasks = report.tasks.len();
        let full = self.forwarded.held.len() >= self.config.max_waiting_requests
            || self.forwarded.held_tasks + tasks > self.config.max_waiting_tasks;
        match self.peer_hearing_leader() {
            Some(node) => self.answer(request, Answer::Redirect(Some(node))),
            None if full => self.answer(request, Answer::Redirect(None)),
            None => {
                self.forwarded.held_tasks += tasks;
                self.forwarded.held.push_back(Held {
                    request,
                    report,
                    until: now + HELD_FOR,
                });
            }
        }
    }

    /// Answers the held reports once a leader is heard, or their time is up.
    fn drive_held(&mut self) {
        let now = self.now();
        let Some(first) = self.forwarded.held.front() else {
            return;
        };
        let over = now >= first.until;
        let heard = (self.hears_leader() || self.leader_stores_heartbeats())
            && self.other_leader().is_some();
        let on = heard || self.is_leader() || self.peer_hearing_leader().is_some();
        if !on && !over {
            return;
        }
        for held in self.take_held(on) {
            if on {
                self.report(held.request, held.report);
            } else {
                // Not to the next node of its list: that may be the one that is gone,
                // and would cost it most of its lease.
                let answer = Answer::Redirect(self.alive_peer());
                self.answer(held.request, answer);
            }
        }
    }

    /// Takes out all held reports, or those whose time is up.
    fn take_held(&mut self, all: bool) -> Vec<Held> {
        let now = self.now();
        let relays = &mut self.forwarded;
        let due = match all {
            true => relays.held.len(),
            false => relays.held.partition_point(|held| now >= held.until),
        };
        let taken: Vec<Held> = relays.held.drain(..due).collect();
        let tasks: usize = taken.iter().map(|held| held.report.tasks.len()).sum();
        relays.held_tasks -= tasks;
        taken
    }

    pub(super) fn peer_message(&mut self, from: String, message: PeerMessage) {
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
                if let Some(waiting) = self.forwarded.waiting.remove(&relay) {
                    if matches!(answer, Some(Answer::Commands { .. })) {
                        let now = self.now();
                        self.forwarded.answered.insert(waiting.machine, now);
                    }
                    let answer = answer.unwrap_or(Answer::Redirect(None));
                    self.answer(waiting.request, answer);
                }
            }
            PeerMessage::Heartbeat(heartbeat) => self.heartbeat(from, heartbeat),
            PeerMessage::Resign { claim } => self.resign(from, claim),
            PeerMessage::Resigned { claim } => self.resigned(claim),
            PeerMessage::Handover(handover) => self.handover_received(handover),
            PeerMessage::Digest { jobs, licences } => {
                self.forwarded.licences = (licences, self.now());
                self.forwarded.digest = jobs
                    .into_iter()
                    .map(|(id, done, running)| (id, (done, running)))
                    .collect();
            }
        }
    }

    pub(super) fn drive_forwarding(&mut self) {
        self.drive_held();
        let now = self.now();
        while let Some(entry) = self.forwarded.waiting.first_entry() {
            if now < entry.get().until {
                break;
            }
            // The leader can't be reached from here either: another node may do.
            let waiting = entry.remove();
            self.answer(waiting.request, Answer::Redirect(None));
        }
        let keep = self.config.worker_lease_bound * 4;
        if now >= self.forwarded.next_cleanup {
            self.forwarded.next_cleanup = now + CLEANUP_EVERY;
            self.forwarded.tried.retain(|_, at| now < *at + keep);
            self.forwarded.answered.retain(|_, at| now < *at + keep);
        }
        if now < self.forwarded.next_digest || !self.is_leader() {
            return;
        }
        self.forwarded.next_digest = now + DIGEST_EVERY;
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
