//! Combinations of two faults at one moment, each injected on purpose.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use kiteyard::core::{
    job::TaskSet,
    store::{Change, LEADER_KEY, PROGRESS_PREFIX, StateReply, StateRequest},
};
use rand::RngExt;

use crate::sim::{Defect, Event, NODES, World, ms};

fn claims(change: &Change) -> bool {
    matches!(change, Change::Put { key, .. } if key == LEADER_KEY)
}

#[derive(Default)]
pub struct CombinedFaults {
    /// Stored results, by key.
    progress: BTreeMap<String, TaskSet>,
    /// Waiting watches of these nodes get no answer until then.
    silent_until: [Duration; NODES],
    /// Users don't poll these nodes until then.
    avoided_until: [Duration; NODES],
    /// A quarter of all transactions gets no answer and is applied later, until then.
    writes_late_until: Duration,
    /// A third of all direct commands and of their answers is delayed until then.
    commands_held_until: Duration,
    /// Every claim that a node sent, unchanged.
    claims: Vec<StateRequest>,
    /// Users whose last request has not been answered yet, and the node it was sent to.
    pub unanswered: HashMap<usize, usize>,
    /// Duration of an outage of the state service that starts with the next claim.
    outage_at_claim: Option<Duration>,
}

impl World {
    /// Makes the state service refuse the leader alone while users cancel services through the
    /// other nodes, and then makes it unavailable to all nodes for longer than `cancel_s`.
    pub fn refusal_then_outage(&mut self, leader: usize, duration: Duration) {
        let outage_start = self.now + ms(self.rng.random_range(600..4_000));
        self.refused_until[leader] = self.now + duration;
        self.withdraw_services(leader, ms(300));
        self.push(outage_start, Event::OutageStarted);
        self.push(outage_start + duration, Event::OutageEnded);
    }

    /// Like `refusal_then_outage`, but no node tells the leader to step down: it acts to the end of
    /// its term, and the outage starts just after another node has claimed the leadership.
    pub fn outage_after_claim(&mut self, leader: usize, duration: Duration) {
        self.refused_until[leader] = self.now + duration;
        self.peers_refuse_until = self.now + duration;
        self.withdraw_services(leader, ms(300));
        self.combined_faults.outage_at_claim = Some(duration);
    }

    /// Makes the leader's own watch return nothing, while all other requests are answered and users
    /// cancel through the other nodes.
    pub fn silence_watch(&mut self, leader: usize, duration: Duration) {
        self.combined_faults.silent_until[leader] = self.now + duration;
        self.combined_faults.avoided_until[leader] = self.now + duration;
        self.withdraw_services(leader, ms(500));
    }

    /// Returns the node that this user polls: the one after a node that left a request unanswered,
    /// as a load balancer would choose. With a random choice, a user could reach a frozen node ten
    /// times in a row, and its job looked forgotten.
    pub fn choose_node(&mut self, user: usize) -> usize {
        let any = self.rng.random_range(0..NODES);
        let unanswered_node = self.combined_faults.unanswered.get(&user);
        let node = unanswered_node.map_or(any, |node| (node + 1) % NODES);
        match self.combined_faults.avoided_until[node] > self.now {
            true => (node + 1) % NODES,
            false => node,
        }
    }

    /// Returns when a transaction is applied late and without an answer, or `None`; records claims.
    pub fn late_apply_time(&mut self, request: &StateRequest) -> Option<Duration> {
        let StateRequest::Txn { changes, .. } = request else {
            return None;
        };
        if changes.iter().any(claims) {
            self.combined_faults.claims.push(request.clone());
        }
        let late =
            self.now < self.combined_faults.writes_late_until && self.rng.random_range(0..4) == 0;
        late.then(|| self.now + ms(self.rng.random_range(2_000..12_000)))
    }

    /// Delay of a direct command to a worker, or of its answer.
    pub fn command_delay(&mut self) -> Duration {
        match self.now < self.combined_faults.commands_held_until
            && self.rng.random_range(0..3) == 0
        {
            true => ms(self.rng.random_range(1_500..40_000)),
            false => Duration::ZERO,
        }
    }

    /// Delays commands while reports and their answers pass, and cancels services.
    pub fn hold_commands(&mut self, leader: usize, until: Duration) {
        self.combined_faults.commands_held_until = until;
        self.withdraw_services(leader, ms(2_000));
    }

    pub fn delay_writes(&mut self, until: Duration) {
        self.combined_faults.writes_late_until = until;
    }

    /// Replays every claim ever sent while nobody leads; returns whether one is applied.
    pub fn replays_late_claims(&mut self) -> bool {
        let vacate = StateRequest::Txn {
            conditions: Vec::new(),
            changes: vec![Change::Delete {
                key: LEADER_KEY.to_owned(),
            }],
        };
        self.state.call(self.now, &vacate);
        // A replayed claim can only be applied while its lease exists.
        self.state.make_leases_permanent();
        let sent = std::mem::take(&mut self.combined_faults.claims);
        let mut applied = false;
        for claim in sent {
            let claim = self.tampered_request(claim);
            applied |= matches!(
                self.state.call(self.now, &claim),
                Some(StateReply::Committed { .. })
            );
        }
        applied
    }

    /// Checks that the stored results of a job never shrink while the job exists.
    fn check_progress(&mut self, changes: &[Change]) {
        for change in changes {
            if let Change::Put { key, value, .. } = change
                && let Some((id, chunk)) = key
                    .strip_prefix(PROGRESS_PREFIX)
                    .and_then(|k| k.split_once('/'))
            {
                let chunk = chunk.parse().expect("chunk number");
                let text: String = serde_json::from_str(value.get()).expect("valid task set");
                let mut set = TaskSet::default();
                assert!(set.decode_chunk(chunk, &text), "invalid task set");
                let before = self
                    .combined_faults
                    .progress
                    .insert(key.clone(), set.clone());
                let lost = before.is_some_and(|before| !before.chunks_added_since(&set).is_empty());
                if lost {
                    let detail = format!("stored results of {id}");
                    self.observer.report_violation(self.now, "shrank", detail);
                }
            }
        }
    }

    /// Whether a watch that does not wait is answered without events, as if none were missing.
    pub fn skips_watch_proof(&mut self, node: usize, defect: Defect) -> bool {
        match defect {
            Defect::UnverifiedAnswers => true,
            Defect::RenewalExtendsTerm => self.leading() == node,
            _ => false,
        }
    }

    /// Whether a waiting watch is left without an answer.
    pub fn drops_watch(&self, node: usize, request: &StateRequest) -> bool {
        let waits = matches!(request, StateRequest::Watch { wait, .. } if !wait.is_zero());
        waits && self.combined_faults.silent_until[node] > self.now
    }

    /// Updates the checks and faults that follow committed transactions.
    pub fn observe_commit(&mut self, request: &StateRequest, reply: Option<&StateReply>) {
        let (StateRequest::Txn { changes, .. }, Some(StateReply::Committed { revision })) =
            (request, reply)
        else {
            return;
        };
        self.check_progress(changes);
        self.check_terminal_states(changes);
        self.advance_handover(changes);
        self.deliver_kept_reports(changes, *revision);
        if changes.iter().any(claims)
            && let Some(duration) = self.combined_faults.outage_at_claim.take()
        {
            let outage_start = self.now + ms(self.rng.random_range(1..90));
            self.push(outage_start, Event::OutageStarted);
            self.push(outage_start + duration, Event::OutageEnded);
        }
    }

    /// Cancels most services after the given time, through any node but this one.
    pub fn withdraw_services(&mut self, excluded_node: usize, after: Duration) {
        for i in self.services() {
            if self.rng.random_bool(0.8) {
                self.withdraw(i, self.now + after);
                let node = (excluded_node + 1 + self.rng.random_range(0..NODES - 1)) % NODES;
                for again in [100, 900, 1_700] {
                    let at = self.now + after + ms(again + self.rng.random_range(0..400));
                    self.push(at, Event::UserPollAt(i, node));
                }
            }
        }
    }
}
