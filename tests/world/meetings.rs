//! Where two troubles meet: each meeting brought about on purpose.

use std::time::Duration;

use kiteyard::core::store::{Change, LEADER, StateReply, StateRequest};
use rand::RngExt;

use crate::sim::{Event, NODES, Sabotage, World, ms};

#[derive(Default)]
pub struct Meetings {
    /// Watches of these nodes that wait get no answer until then.
    silent: [Duration; NODES],
    /// Users don't ask these nodes until then.
    avoided: [Duration; NODES],
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

    /// A node that users ask.
    pub fn asked_node(&mut self) -> usize {
        let node = self.rng.random_range(0..NODES);
        match self.meetings.avoided[node] > self.now {
            true => (node + 1) % NODES,
            false => node,
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
        let claims = |c: &Change| matches!(c, Change::Put { key, .. } if key == LEADER);
        if let (StateRequest::Txn { changes, .. }, Some(StateReply::Committed { .. })) =
            (request, reply)
            && changes.iter().any(claims)
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
