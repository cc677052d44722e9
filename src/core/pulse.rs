//! Whether the leader still serves: what nodes tell one another about it, and
//! when another one takes its place before its lease ends.
//!
//! The lease is long, so that work goes on while the state service is away. A
//! leader that is cut off would keep its place as long, and every worker that
//! can't reach it would lose its tasks. So it is superseded as soon as nobody
//! hears it any more, and one that only the state service refuses resigns. Both
//! decide about service alone: that no task runs twice rests on the claim and on
//! how long a former leader may still act, whatever nodes tell one another.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use tracing::info;

use super::{
    Node, Output, Purpose,
    lead::Former,
    relay::PeerMessage,
    store::{self, StateReply},
};

/// What a node tells every other one, again and again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Pulse {
    /// The claim of the leader it knows; 0: none.
    pub claim: u64,
    /// How long ago it heard from that leader.
    pub heard: Duration,
    /// How long ago the state service answered it.
    pub state: Duration,
}

#[derive(Debug, Default)]
pub struct Pulses {
    next: Duration,
    /// The leader's claim, and when it was heard of last.
    leader: (u64, Duration),
    /// When the state service answered last, and since when without a failure.
    state: Duration,
    served_since: Option<Duration>,
    probing: bool,
    /// When a worker came that can't reach the leader it knows.
    stranded: Option<Duration>,
    others: BTreeMap<String, (Duration, Pulse)>,
}

const EVERY: Duration = Duration::from_millis(700);
/// What another node told stands for so long.
const FRESH: Duration = Duration::from_millis(2200);
/// A leader of which two pulses were missed is not heard.
const MISSED: Duration = Duration::from_millis(1700);
/// A node that was answered within this time reaches the state service.
const REACHES: Duration = Duration::from_millis(1600);
/// One that was not answered for so long is refused.
const REFUSED: Duration = Duration::from_millis(2500);
/// After an outage of the state service, the leader is given this time to go on.
const SERVED: Duration = Duration::from_millis(1500);

impl Node {
    /// What an answer tells of whether the state service serves this node.
    pub(super) fn state_answered(&mut self, reply: &StateReply) {
        let now = self.now();
        match reply {
            StateReply::Refused { limited: false, .. } | StateReply::Unclear => {
                self.pulses.served_since = None;
            }
            _ => {
                self.pulses.state = now;
                self.pulses.served_since.get_or_insert(now);
            }
        }
    }

    /// A worker that knows the leader's token came here instead.
    pub(super) fn worker_stranded(&mut self) {
        self.pulses.stranded = Some(self.now());
    }

    /// The state service refuses this node, and another one tells that it is
    /// served: users are better off there.
    pub(super) fn left_alone(&self) -> bool {
        let now = self.now();
        now > self.pulses.state + REFUSED && self.fresh_pulses().any(|pulse| pulse.state < REACHES)
    }

    /// The leader was heard here lately, or is too new to be missed.
    pub(super) fn hears_leader(&self) -> bool {
        self.now() < self.pulses.leader.1 + MISSED
    }

    /// Another node that hears the leader, when this one does not.
    pub(super) fn hearer(&self) -> Option<String> {
        let now = self.now();
        let (record, version) = self.mirror.leader.as_ref()?;
        let heard = self.pulses.others.iter().find(|(node, (at, pulse))| {
            let leads = **node == record.node;
            !leads && pulse.claim == *version && now < *at + MISSED - pulse.heard.min(MISSED)
        });
        heard.map(|(node, _)| node.clone())
    }

    /// Another node that is heard and is not the leader.
    pub(super) fn other_alive(&self) -> Option<String> {
        let now = self.now();
        let leader = self.mirror.leader.as_ref().map(|(record, _)| &record.node);
        let mut others = self.pulses.others.iter();
        let alive = others.find(|(node, (at, _))| leader != Some(node) && now < *at + FRESH);
        alive.map(|(node, _)| node.clone())
    }

    fn fresh_pulses(&self) -> impl Iterator<Item = &Pulse> {
        let now = self.now();
        let others = self.pulses.others.values();
        others.filter_map(move |(at, pulse)| (now < *at + FRESH).then_some(pulse))
    }

    pub(super) fn pump_pulses(&mut self) {
        let now = self.now();
        let claim = self
            .mirror
            .leader
            .as_ref()
            .map_or(0, |(_, version)| *version);
        if self.pulses.leader.0 != claim {
            // A new leader is given the time to be heard.
            self.pulses.leader = (claim, now);
            self.pulses.stranded = None;
        }
        if self.leads() {
            self.pulses.leader = (claim, now);
        }
        if now < self.pulses.next {
            return;
        }
        self.pulses.next = now + EVERY;
        let pulse = Pulse {
            claim,
            heard: now - self.pulses.leader.1,
            state: now - self.pulses.state,
        };
        for to in self.config.peers.clone() {
            let message = PeerMessage::Pulse(pulse);
            self.out.push(Output::Peer { to, message });
        }
        // A node that has nothing to ask would not know whether it is served.
        if now > self.pulses.state + EVERY && !self.pulses.probing && self.mirror.loaded {
            self.pulses.probing = true;
            let key = store::LEADER.to_owned();
            self.call(Purpose::Probe, store::StateRequest::Get { key });
        }
    }

    pub(super) fn probed(&mut self) {
        self.pulses.probing = false;
    }

    pub(super) fn pulse(&mut self, from: String, pulse: Pulse) {
        let now = self.now();
        let leader = self.mirror.leader.as_ref();
        let leads = leader.is_some_and(|(record, version)| {
            record.node == from && *version == pulse.claim && pulse.heard.is_zero()
        });
        if leads {
            self.pulses.leader = (pulse.claim, now);
            let served = now < self.pulses.state + REACHES;
            if pulse.state > REFUSED && served {
                let claim = pulse.claim;
                self.out.push(Output::Peer {
                    to: from.clone(),
                    message: PeerMessage::Resign { claim },
                });
            }
        }
        self.pulses.others.insert(from, (now, pulse));
    }

    /// Another node is served by the state service and asks this one, which is
    /// not, to make way.
    pub(super) fn resign(&mut self, from: String, claim: u64) {
        let refused = self.now() > self.pulses.state + REFUSED;
        if !refused || !self.leads() || self.claim() != Some(claim) || !self.former_stopped() {
            return;
        }
        self.drop_leader("the state service refuses it, but not others");
        self.out.push(Output::Peer {
            to: from,
            message: PeerMessage::Resigned { claim },
        });
    }

    /// Whether another node's leadership is to be taken before its lease ends.
    pub(super) fn supersedes(&self) -> Option<Former> {
        let (record, version) = self.mirror.leader.as_ref()?;
        let now = self.now();
        let served = self.pulses.served_since.is_some_and(|at| now > at + SERVED);
        if record.node == self.config.node || !served || now > self.pulses.state + REACHES {
            return None;
        }
        let silent = self.config.leader_silent;
        let unheard = self.pulses.leader.0 == *version && now > self.pulses.leader.1 + silent;
        let stranded = self.pulses.stranded.is_some_and(|at| now < at + silent);
        // One that another node hears is reached by its relays.
        let heard = |p: &Pulse| p.claim == *version && p.heard < silent;
        (unheard && stranded && !self.fresh_pulses().any(heard)).then(|| {
            info!(leader = %record.node, claim = version, "nobody hears the leader");
            Former::Superseded
        })
    }
}
