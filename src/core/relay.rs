//! What nodes tell one another: reports of workers that can't reach the leader,
//! and how far jobs are, for display.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    Answer, Node, Output, RequestId,
    job::JobId,
    machine::{MachineId, WorkerReport},
    pulse::Pulse,
};

/// One line between two nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// A worker's report, for the leader.
    Report {
        relay: u64,
        report: WorkerReport,
    },
    /// The leader's answer; none where it does not lead.
    Reported {
        relay: u64,
        answer: Option<Answer>,
    },
    Pulse(Pulse),
    /// The leader is asked to make way.
    Resign {
        claim: u64,
    },
    /// It has, and does not act any more.
    Resigned {
        claim: u64,
    },
    /// Done and running tasks of active jobs.
    Digest {
        jobs: Vec<(JobId, u32, u32)>,
    },
}

#[derive(Debug)]
struct Waiting {
    request: RequestId,
    until: Duration,
}

#[derive(Debug, Default)]
pub struct Relays {
    next: u64,
    waiting: BTreeMap<u64, Waiting>,
    /// Workers that were sent to the leader, and when.
    redirected: HashMap<MachineId, Duration>,
    digest: HashMap<JobId, (u32, u32)>,
    next_digest: Duration,
}

impl Relays {
    pub fn counts(&self, id: &JobId) -> (u32, u32) {
        self.digest.get(id).copied().unwrap_or((0, 0))
    }
}

const DIGEST_EVERY: Duration = Duration::from_secs(1);
/// Reports under way to the leader at a time.
const RELAYS_MOST: usize = 512;

impl Node {
    pub(super) fn report(&mut self, request: RequestId, report: WorkerReport) {
        if self.leads() {
            let answer = self.lead_report(&report);
            self.answer(request, answer.unwrap_or(Answer::Redirect(None)));
            return;
        }
        let leader = self
            .mirror
            .leader
            .as_ref()
            .filter(|(record, _)| record.node != self.config.node)
            .map(|(record, version)| (record.node.clone(), *version));
        let Some((node, claim)) = leader else {
            self.answer(request, Answer::Redirect(None));
            return;
        };
        let now = self.now();
        // A worker that knows the leader's token and still comes here has lost
        // its way to the leader, as has one that comes back soon after it was
        // sent there: its report is relayed, so that its lease goes on.
        let sent_before = self
            .relays
            .redirected
            .get(&report.machine)
            .is_some_and(|at| now < *at + self.config.worker_lease_bound);
        let knows = report.token >> 16 == claim;
        if knows {
            self.worker_stranded();
        }
        let lost_way = knows || sent_before;
        if !lost_way || self.relays.waiting.len() >= RELAYS_MOST {
            self.relays.redirected.insert(report.machine.clone(), now);
            self.answer(request, Answer::Redirect(Some(node)));
            return;
        }
        self.relays.next += 1;
        let relay = self.relays.next;
        let until = now + Duration::from_secs(1);
        self.relays
            .waiting
            .insert(relay, Waiting { request, until });
        self.out.push(Output::Peer {
            to: node,
            message: PeerMessage::Report { relay, report },
        });
    }

    pub(super) fn peer_message(&mut self, from: String, message: PeerMessage) {
        match message {
            PeerMessage::Report { relay, report } => {
                let answer = self.lead_report(&report);
                self.out.push(Output::Peer {
                    to: from,
                    message: PeerMessage::Reported { relay, answer },
                });
            }
            PeerMessage::Reported { relay, answer } => {
                if let Some(waiting) = self.relays.waiting.remove(&relay) {
                    let answer = answer.unwrap_or(Answer::Redirect(None));
                    self.answer(waiting.request, answer);
                }
            }
            PeerMessage::Pulse(pulse) => self.pulse(from, pulse),
            PeerMessage::Resign { claim } => self.resign(from, claim),
            PeerMessage::Resigned { claim } => self.resigned(claim),
            PeerMessage::Digest { jobs } => {
                self.relays.digest = jobs
                    .into_iter()
                    .map(|(id, done, running)| (id, (done, running)))
                    .collect();
            }
        }
    }

    pub(super) fn pump_relays(&mut self) {
        let now = self.now();
        while let Some(entry) = self.relays.waiting.first_entry() {
            if now < entry.get().until {
                break;
            }
            // The leader can't be reached from here either: another node may do.
            let waiting = entry.remove();
            self.answer(waiting.request, Answer::Redirect(None));
        }
        let keep = self.config.worker_lease_bound;
        if self.relays.redirected.len() > 64 {
            self.relays.redirected.retain(|_, at| now < *at + keep);
        }
        if now < self.relays.next_digest || !self.leads() {
            return;
        }
        self.relays.next_digest = now + DIGEST_EVERY;
        let Some(leader) = &self.leader else { return };
        let jobs: Vec<_> = leader
            .jobs
            .iter()
            .filter(|(_, job)| job.running > 0 || job.done_count > 0)
            .map(|(id, job)| (id.clone(), job.done_count, job.running))
            .collect();
        for to in self.config.peers.clone() {
            let jobs = jobs.clone();
            self.out.push(Output::Peer {
                to,
                message: PeerMessage::Digest { jobs },
            });
        }
    }
}
