//! Reports that a leader answers before its failover's reads have ended. Each such answer renews
//! its worker's lease, whichever way the node came to lead, and the worker may then fall silent.

use std::{collections::BTreeSet, time::Duration};

use kiteyard::core::{
    Answer, Input, Node, Output,
    heartbeat_forwarding::PeerMessage,
    store::{ASSIGNMENTS_PREFIX, PROGRESS_PREFIX, StateRequest},
};

use crate::{
    faults::Fault,
    seeds,
    sim::{Defect, Event, LONG, Scale, World, ms},
};

/// Long enough for the tasks of a silent machine to be started elsewhere.
const SCALE: Scale = Scale {
    duration: Duration::from_secs(50),
    ..LONG
};

#[derive(Default)]
pub struct FailoverAnswers {
    /// Reports answered by a claimant that had not taken over yet.
    pub answered: usize,
    /// Time from the first claim after the trouble until machines fall silent.
    silence_after_claim: Option<Duration>,
    /// Time that each read of a failover takes, if it is not the usual one.
    read_delay: Option<Duration>,
    /// Machines that direct commands do not reach until then.
    unreachable: BTreeSet<String>,
    unreachable_until: Duration,
    newest_claim: Option<Claimant>,
}

/// Process that made a claim.
struct Claimant {
    node: usize,
    epoch: u64,
    claim: u64,
}

/// How the node that answers during its failover came to lead.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Claim {
    /// The next process of the same node claims after an outage in which all processes crashed.
    NextProcess,
    /// Another node claims once the lease of the crashed leader has expired, and its reads are
    /// slow.
    AnotherNode,
    /// Another node claims after the leader has stepped down, and its reads are slow.
    HandOver,
}

/// When a third of the machines fall silent after the claim, and how long each read takes.
#[derive(Debug, Clone, Copy)]
struct Instant {
    silence_delay: Duration,
    read_delay: Duration,
}

fn instants() -> impl Iterator<Item = Instant> {
    SILENCE_DELAYS_MS.into_iter().flat_map(|silence_delay| {
        READ_DELAYS_MS.into_iter().map(move |read_delay| Instant {
            silence_delay: ms(silence_delay),
            read_delay: ms(read_delay),
        })
    })
}

const CLAIMS: [Claim; 3] = [Claim::NextProcess, Claim::AnotherNode, Claim::HandOver];

/// Times in milliseconds from the claim until a third of the machines fall silent.
const SILENCE_DELAYS_MS: [u64; 8] = [0, 10, 50, 150, 300, 600, 1_000, 1_600];
/// Milliseconds that each read of a failover takes: up to the time after which it is repeated, and
/// longer.
const READ_DELAYS_MS: [u64; 3] = [150, 450, 1_200];
/// More than two worker leases.
const SILENCE: Duration = Duration::from_secs(11);
/// Time in milliseconds at which the leader ends, or the outage begins.
const TROUBLE_AT_MS: u64 = 20_000;
/// Shorter than a worker's lease.
const OUTAGE_MS: u64 = 4_500;
/// Time in milliseconds from the start of the outage to the crash of all processes.
const CRASH_DELAY_MS: u64 = 600;

impl World {
    /// Records a claim, and the process that made it.
    pub fn claim_committed(&mut self, node: usize, claim: u64) {
        let epoch = self.epochs[node];
        self.failover_answers.newest_claim = Some(Claimant { node, epoch, claim });
        let is_awaited = self.now > ms(TROUBLE_AT_MS);
        let silence = self
            .failover_answers
            .silence_after_claim
            .take_if(|_| is_awaited);
        if let Some(delay) = silence {
            let silent = Event::InjectFault(Fault::MachinesSilent, SILENCE);
            self.push(self.now + delay, silent);
        }
    }

    /// Counts answers that renew a lease and that a node decides on before it has taken over.
    pub fn count_failover_answers(&mut self, node: usize, outputs: &[Output]) {
        let Some(claimant) = &self.failover_answers.newest_claim else {
            return;
        };
        let has_taken_over = self.nodes[node].as_ref().is_some_and(Node::has_taken_over);
        if has_taken_over || claimant.node != node {
            return;
        }
        let renewals = outputs.iter().filter(|output| {
            let answer = match output {
                Output::Answer { answer, .. } => Some(answer),
                Output::Peer {
                    message: PeerMessage::Reported { answer, .. },
                    ..
                } => answer.as_ref(),
                _ => None,
            };
            matches!(answer, Some(Answer::Commands { .. }))
        });
        self.failover_answers.answered += renewals.count();
    }

    /// Makes a third of the machines reach no controller, and no direct command reach them.
    pub fn silence_machines(&mut self, until: Duration) {
        let names: Vec<String> = self.workers.keys().step_by(3).cloned().collect();
        self.failover_answers
            .unreachable
            .extend(names.iter().cloned());
        self.failover_answers.unreachable_until = until;
        self.blocked_reports.block(names, self.now, until);
    }

    /// Whether direct commands do not reach the machine.
    pub fn is_silenced(&self, name: &str) -> bool {
        self.now < self.failover_answers.unreachable_until
            && self.failover_answers.unreachable.contains(name)
    }

    /// Returns the time that the state service takes for a read of a failover, if it is slow.
    pub fn failover_read_delay(&self, request: &StateRequest) -> Option<Duration> {
        let StateRequest::List { prefix, .. } = request else {
            return None;
        };
        let is_failover_read = [ASSIGNMENTS_PREFIX, PROGRESS_PREFIX].contains(&&**prefix);
        is_failover_read.then_some(self.failover_answers.read_delay?)
    }

    /// With `Defect::FailoverAnswersUnrecorded`, answers a report in place of a node that has
    /// claimed the leadership and not taken over, so that the node can't record the answer.
    pub fn answer_for_claimant(&mut self, node: usize, input: &Input) -> bool {
        let (Input::Report { request, report }, Some(claimant)) =
            (input, &self.failover_answers.newest_claim)
        else {
            return false;
        };
        let token = claimant.claim << 16;
        let is_claimant = claimant.node == node && claimant.epoch == self.epochs[node];
        let has_taken_over = self.nodes[node].as_ref().is_some_and(Node::has_taken_over);
        if self.defect != Defect::FailoverAnswersUnrecorded
            || !is_claimant
            || has_taken_over
            || report.token > token
        {
            return false;
        }
        let commands = Vec::new();
        let answer = Answer::Commands { token, commands };
        let answered = Event::Answered(node, self.epochs[node], *request, answer);
        self.push(self.now, answered);
        true
    }
}

fn world(claim: Claim, instant: Instant, seed: u64, defect: Defect) -> World {
    let mut world = World::with_scale(SCALE, seed, defect).with_quick_restarts();
    world.failover_answers.silence_after_claim = Some(instant.silence_delay);
    world.failover_answers.read_delay = Some(instant.read_delay);
    match claim {
        Claim::NextProcess => {
            world = world
                .with_fault(TROUBLE_AT_MS, Fault::StateOutage, ms(OUTAGE_MS))
                .with_fault(
                    TROUBLE_AT_MS + CRASH_DELAY_MS,
                    Fault::AllCrash,
                    Duration::ZERO,
                );
        }
        Claim::AnotherNode => {
            world = world.with_fault(TROUBLE_AT_MS, Fault::LeaderStops, Duration::ZERO);
        }
        Claim::HandOver => {
            world = world.with_rollout("4");
            world.push(ms(TROUBLE_AT_MS), Event::StepDown);
        }
    }
    world.run();
    world
}

/// A leader counted the lease of a silent machine from its claim, or from the start of its process,
/// although it had answered the machine's report later, during its failover: the machine's tasks
/// were started elsewhere while they ran on.
#[test]
fn a_lease_renewed_during_the_failover_counts_from_that_answer() {
    for claim in CLAIMS {
        let mut answered = 0;
        for seed in seeds(2) {
            for instant in instants() {
                let world = world(claim, instant, seed, Defect::None);
                world
                    .observer
                    .assert_no_violations(format_args!("{claim:?}, {instant:?}, seed {seed}"));
                answered += world.failover_answers.answered;
            }
        }
        assert!(answered > 20, "{claim:?}: {answered} reports answered");
    }
}

#[test]
fn a_leader_that_does_not_record_the_answers_of_its_failover_is_caught() {
    let ran_twice = |instant: Instant, seed: u64| {
        let defect = Defect::FailoverAnswersUnrecorded;
        world(Claim::NextProcess, instant, seed, defect)
            .observer
            .has_broken("ran_twice")
    };
    let caught = |seed| instants().any(|instant| ran_twice(instant, seed));
    assert!((0..4).any(caught));
}
