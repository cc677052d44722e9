//! Where two troubles meet: each meeting brought about on purpose.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use kiteyard::core::{
    job::TaskSet,
    store::{Change, LEADER_KEY, PROGRESS_PREFIX, StateReply, StateRequest},
};
use rand::RngExt;

use crate::sim::{Event, NODES, Sabotage, World, ms};

fn claims(change: &Change) -> bool {
    matches!(change, Change::Put { key, .. } if key == LEADER_KEY)
}

#[derive(Default)]
pub struct Meetings {
    /// What is stored of results, by key.
    progress: BTreeMap<String, TaskSet>,
    /// Watches of these nodes that wait get no answer until then.
    silent: [Duration; NODES],
    /// Users don't ask these nodes until then.
    avoided: [Duration; NODES],
    /// Until then a part of all transactions gets no answer and is carried out later.
    late_until: Duration,
    /// Until then a part of all direct commands and of their answers is held up.
    held_until: Duration,
    /// Every claim that a node sent, as it was sent.
    claims: Vec<StateRequest>,
    /// Users whose last question was not answered yet, and the node that was asked.
    pub unanswered: HashMap<usize, usize>,
    /// With the next claim the state service goes away for so long.
    away_with_claim: Option<Duration>,
}

impl World {
    /// The state service refuses the leader alone, users cancel services through the other
    /// nodes, and then it is away for everybody, for longer than a cancellation may take.
    pub fn gap(&mut self, leader: usize, lasts: Duration) {
        let begins = self.now + ms(self.rng.random_range(600..4_000));
        self.refused[leader] = self.now + lasts;
        self.withdraw_services(leader, ms(300));
        self.push(begins, Event::OutageBegins);
        self.push(begins + lasts, Event::OutageEnds);
    }

    /// The same, and nobody tells the leader to make way: it acts to the end of its term, and
    /// the service goes away just when another node has claimed its place.
    pub fn gap_after_claim(&mut self, leader: usize, lasts: Duration) {
        self.refused[leader] = self.now + lasts;
        self.peers_apart = self.now + lasts;
        self.withdraw_services(leader, ms(300));
        self.meetings.away_with_claim = Some(lasts);
    }

    /// The leader's own watch tells nothing, while all else is answered and users cancel
    /// by way of the others.
    pub fn silent_watch(&mut self, leader: usize, lasts: Duration) {
        self.meetings.silent[leader] = self.now + lasts;
        self.meetings.avoided[leader] = self.now + lasts;
        self.withdraw_services(leader, ms(500));
    }

    /// A node that this user asks: the next one after one that left a question unanswered, as
    /// a load balancer would see to. At random, a user met a node that stands still ten times
    /// in a row now and then, and its job looked forgotten.
    pub fn asked_node(&mut self, user: usize) -> usize {
        let any = self.rng.random_range(0..NODES);
        let silent = self.meetings.unanswered.get(&user);
        let node = silent.map_or(any, |node| (node + 1) % NODES);
        match self.meetings.avoided[node] > self.now {
            true => (node + 1) % NODES,
            false => node,
        }
    }

    /// When a request that gets no answer is carried out, if it is one of those.
    pub fn carried_out_late(&mut self, request: &StateRequest) -> Option<Duration> {
        let StateRequest::Txn { changes, .. } = request else {
            return None;
        };
        if changes.iter().any(claims) {
            self.meetings.claims.push(request.clone());
        }
        let late = self.now < self.meetings.late_until && self.rng.random_range(0..4) == 0;
        late.then(|| self.now + ms(self.rng.random_range(2_000..12_000)))
    }

    /// How long a command that goes straight to a worker, or its answer, is held up.
    pub fn held_up(&mut self) -> Duration {
        match self.now < self.meetings.held_until && self.rng.random_range(0..3) == 0 {
            true => ms(self.rng.random_range(1_500..40_000)),
            false => Duration::ZERO,
        }
    }

    /// Commands are held up while reports and their answers pass, and users cancel.
    pub fn hold_commands(&mut self, leader: usize, until: Duration) {
        self.meetings.held_until = until;
        self.withdraw_services(leader, ms(2_000));
    }

    pub fn late_writes(&mut self, until: Duration) {
        self.meetings.late_until = until;
    }

    /// Every claim that was ever sent comes once more, late, while nobody leads.
    pub fn late_claims_stand(&mut self) -> bool {
        let vacate = StateRequest::Txn {
            conditions: Vec::new(),
            changes: vec![Change::Delete {
                key: LEADER_KEY.to_owned(),
            }],
        };
        self.state.call(self.now, &vacate);
        // Their leases would have to be there still, too.
        self.state.keep_leases();
        let sent = std::mem::take(&mut self.meetings.claims);
        let mut stand = false;
        for claim in sent {
            let claim = self.tampered(claim);
            stand |= matches!(
                self.state.call(self.now, &claim),
                Some(StateReply::Committed { .. })
            );
        }
        stand
    }

    /// What is stored of a job's results never shrinks while the job is there.
    fn look_at_progress(&mut self, changes: &[Change]) {
        for change in changes {
            if let Change::Put { key, value, .. } = change
                && let Some((id, chunk)) = key
                    .strip_prefix(PROGRESS_PREFIX)
                    .and_then(|k| k.split_once('/'))
            {
                let chunk = chunk.parse().expect("the number of a chunk");
                let text: String = serde_json::from_str(value.get()).expect("a stored set");
                let mut set = TaskSet::default();
                assert!(set.decode_chunk(chunk, &text), "a stored set");
                let before = self.meetings.progress.insert(key.clone(), set.clone());
                let lost = before.is_some_and(|before| !before.chunks_added_since(&set).is_empty());
                if lost {
                    let what = format!("what is stored of {id}");
                    self.observer.breaks(self.now, "shrank", what);
                }
            }
        }
    }

    /// Whether a watch that does not wait is taken for a proof without what it brings.
    pub fn believes(&mut self, node: usize, sabotage: Sabotage) -> bool {
        match sabotage {
            Sabotage::UnprovenAnswers => true,
            Sabotage::RenewalAlone => self.leading() == node,
            _ => false,
        }
    }

    /// Whether a request is left without an answer.
    pub fn swallowed(&self, node: usize, request: &StateRequest) -> bool {
        let waits = matches!(request, StateRequest::Watch { wait, .. } if !wait.is_zero());
        waits && self.meetings.silent[node] > self.now
    }

    /// What a committed request brings about.
    pub fn look_at_commit(&mut self, request: &StateRequest, reply: Option<&StateReply>) {
        let (StateRequest::Txn { changes, .. }, Some(StateReply::Committed { revision })) =
            (request, reply)
        else {
            return;
        };
        self.look_at_progress(changes);
        self.look_at_ends(changes);
        self.absences_meet_claim(changes);
        self.old_reports_meet_claim(changes, *revision);
        if changes.iter().any(claims)
            && let Some(lasts) = self.meetings.away_with_claim.take()
        {
            let begins = self.now + ms(self.rng.random_range(1..90));
            self.push(begins, Event::OutageBegins);
            self.push(begins + lasts, Event::OutageEnds);
        }
    }

    /// Most services are cancelled soon, by way of any node but this one.
    pub fn withdraw_services(&mut self, not_by: usize, after: Duration) {
        for i in self.services() {
            if self.rng.random_bool(0.8) {
                self.withdraw(i, self.now + after);
                let node = (not_by + 1 + self.rng.random_range(0..NODES - 1)) % NODES;
                for again in [100, 900, 1_700] {
                    let at = self.now + after + ms(again + self.rng.random_range(0..400));
                    self.push(at, Event::UserAt(i, node));
                }
            }
        }
    }
}
