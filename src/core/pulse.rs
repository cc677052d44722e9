//! Whether the leader still serves, and how the leadership changes hands before its
//! lease ends.
//!
//! The lease is long, so that work goes on while the state service is away. A leader
//! that is cut off would keep its place as long, and every worker that can't reach it
//! would lose its tasks. So one that nobody hears is superseded, one that the state
//! service refuses makes way when asked, and one that hears nobody gives up by itself.
//! All that decides about service alone: that no task runs twice rests on the claim
//! and on how long a former leader may still act, whatever nodes tell one another.

use std::time::Duration;

use tracing::info;

use super::{
    Node, Output, Purpose,
    lead::Former,
    members::{
        nodes::{EVERY, Pulse, REFUSED},
        sight::Way,
    },
    relay::PeerMessage,
    store::{self, StateReply},
};

/// When the next pulse goes out, and whether the state service is being asked.
#[derive(Debug, Default)]
pub struct Pulses {
    next: Duration,
    probing: bool,
    /// The leader that is to make way, and its claim, once the state service has answered.
    refused: Option<(String, u64)>,
}

/// A worker waits this long for an answer, and this long before it tries another node.
const WORKER_ANSWER: Duration = Duration::from_secs(4);
pub const WORKER_RETRY: Duration = Duration::from_secs(1);

/// A worker that was sent to a node and is not answered there is back by then.
pub const WORKER_RETURNS: Duration = WORKER_ANSWER
    .saturating_add(WORKER_RETRY)
    .saturating_add(Duration::from_secs(1));

/// After a change of the leader, workers that reported to another node have turned to
/// the new one within this time.
pub fn turning(report: Duration) -> Duration {
    report * 5 / 4 + WORKER_ANSWER + WORKER_RETRY
}

/// By then a node that was handed the leadership has claimed it.
const HANDED_OVER: Duration = Duration::from_millis(600);

/// A leader that was not heard for so long is missed: by then all its workers have
/// turned to other nodes, and a process that ended is mostly back.
pub fn leader_silent(worker_lease: Duration) -> Duration {
    let turned = WORKER_ANSWER + WORKER_RETRY + Duration::from_millis(500);
    worker_lease.mul_f64(0.55).min(turned)
}

impl Node {
    /// What an answer tells of whether the state service serves this node.
    pub(super) fn state_answered(&mut self, reply: &StateReply) {
        let failed = matches!(
            reply,
            StateReply::Refused { limited: false, .. } | StateReply::Unclear
        );
        self.members.nodes.state_answered(self.clock.now, !failed);
    }

    /// The state service refuses this node, and another one tells that it is
    /// served: users are better off there.
    pub(super) fn left_alone(&self) -> bool {
        let (nodes, now) = (&self.members.nodes, self.now());
        nodes.state_silence(now) > REFUSED && nodes.other_served(now)
    }

    /// The claim has stood long enough for the workers to have turned to the leader.
    pub(super) fn turned(&self, claim: u64) -> bool {
        let since = self.members.nodes.leader_since(claim);
        since.is_some_and(|at| self.now() > at + turning(self.config.report))
    }

    pub(super) fn hears_leader(&self) -> bool {
        self.members.nodes.hears_leader(self.now())
    }

    /// Another node that hears the leader, when this one does not.
    pub(super) fn hearer(&self) -> Option<String> {
        let (leader, claim) = self.known_leader()?;
        self.members.nodes.hearer(leader, claim, self.now())
    }

    /// Who leads, and under which claim: by what is stored, or, while the state service
    /// does not answer this node, by what the other nodes say. A node that did not know
    /// left workers that only it reaches without an answer until their leases ended.
    pub(super) fn known_leader(&self) -> Option<(&str, u64)> {
        let stored = self.mirror.leader.as_ref();
        let stored = stored.map(|(record, version)| (&*record.node, *version));
        let nodes = &self.members.nodes;
        let unread = nodes.state_silence(self.now()) > REFUSED && !self.leads();
        let told = nodes.claimed_after(stored.map_or(0, |(_, claim)| claim));
        told.filter(|_| unread).or(stored)
    }

    /// Another node that is heard and is not the leader.
    pub(super) fn other_alive(&self) -> Option<String> {
        let leader = self.known_leader().map(|(node, _)| node);
        self.members.nodes.alive_beside(leader, self.now())
    }

    pub(super) fn pump_pulses(&mut self) {
        let now = self.now();
        self.members.sight.tick(now);
        let claim = self.known_leader().map_or(0, |(_, claim)| claim);
        let own = self.leads();
        self.members.nodes.leader_is(claim, own, now);
        if now < self.pulses.next {
            return;
        }
        self.pulses.next = now + EVERY;
        let nodes = &self.members.nodes;
        let pulse = Pulse {
            claim,
            // Only the leader itself says that it was heard this very moment.
            heard: match own {
                true => Duration::ZERO,
                false => nodes.leader_silence(now).max(Duration::from_millis(1)),
            },
            state: nodes.state_silence(now),
            hears: self.members.sight.hears(),
            told: self.told(),
        };
        let silent = pulse.state > EVERY;
        for to in self.config.peers.clone() {
            let message = PeerMessage::Pulse(pulse.clone());
            self.out.push(Output::Peer { to, message });
        }
        // A node that has nothing to ask would not know whether it is served.
        if silent {
            self.probe();
        }
    }

    fn probe(&mut self) {
        if !self.pulses.probing && self.mirror.loaded {
            self.pulses.probing = true;
            let key = store::LEADER.to_owned();
            self.call(Purpose::Probe, store::StateRequest::Get { key });
        }
    }

    pub(super) fn probed(&mut self, reply: &StateReply) {
        self.pulses.probing = false;
        let Some((to, claim)) = self.pulses.refused.take() else {
            return;
        };
        if matches!(reply, StateReply::Entry(entry) if entry.version == claim) {
            let message = PeerMessage::Resign { claim };
            self.out.push(Output::Peer { to, message });
        }
    }

    pub(super) fn pulse(&mut self, from: String, pulse: Pulse) {
        let now = self.now();
        self.members.nodes.claims(&from, &pulse);
        let leads = pulse.heard.is_zero() && self.known_leader() == Some((&from, pulse.claim));
        let served = self.members.nodes.state_silence(now) < super::members::nodes::REACHES;
        if leads && pulse.state > REFUSED && served {
            // By now it may be away for everybody: a leader that made way then would leave
            // the place empty until it is back, and its workers without their leases.
            self.pulses.refused = Some((from.clone(), pulse.claim));
            self.probe();
        }
        self.members.nodes.pulse(from, pulse, leads, now);
    }

    /// Another node is served by the state service and asks this one, which is
    /// not, to make way.
    pub(super) fn resign(&mut self, from: String, claim: u64) {
        let refused = self.members.nodes.state_silence(self.now()) > REFUSED;
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
        let (nodes, now) = (&self.members.nodes, self.now());
        if record.node == self.config.node || !nodes.served(now) {
            return None;
        }
        let missed = nodes.leader_missed(*version, self.config.leader_silent, now);
        missed.then(|| {
            info!(leader = %record.node, claim = version, "nobody hears the leader");
            Former::Superseded
        })
    }

    /// What the leader makes of the silence around it. One that hears nobody and gets
    /// no answer either is itself cut off, whatever it thinks of its machines: it
    /// hands over to the node that hears most, or leaves the place empty.
    pub(super) fn pump_outlook(&mut self) {
        let now = self.now();
        let outlook = self.members.sight.outlook();
        let (blind, doubts) = (outlook.blind, outlook.doubts);
        let ask = self.members.sight.doubtful_zones();
        if let Some(leader) = &mut self.leader {
            for machine in std::mem::take(&mut leader.parted) {
                self.members.sight.forget(&machine);
            }
            let before = &leader.outlook;
            if (before.doubts, before.blind, &before.apart) != (doubts, blind, &outlook.apart) {
                info!(doubts, blind, apart = ?outlook.apart, "outlook");
                leader.requeue();
            }
            leader.outlook = outlook;
            leader.ask = ask;
        }
        if !self.members.nodes.served(now) || !self.former_stopped() {
            return;
        }
        let best = self.members.nodes.best(now);
        let settled = self.members.led_for(now) > turning(self.config.report);
        // Looked up only where another node hears any: that looks at every machine.
        let hears = || self.members.sight.hears().values().sum::<u32>();
        let better = settled
            && best
                .as_ref()
                .is_some_and(|(_, machines)| *machines >= 3 && *machines > 2 * hears());
        if blind || better {
            self.hand_over(best.map(|(node, _)| node), "it hears no workers");
        }
    }

    /// Gives the leadership away, to another node or to whoever claims it first.
    pub(super) fn hand_over(&mut self, to: Option<String>, why: &str) {
        let Some(claim) = self.claim() else { return };
        self.drop_leader(why);
        self.members.gives_up(self.now());
        let wait = match to {
            Some(to) => {
                let message = PeerMessage::Resigned { claim };
                self.out.push(Output::Peer { to, message });
                HANDED_OVER
            }
            None => Duration::ZERO,
        };
        // It may not have got there: then the place is left to whoever comes first.
        self.vacate(claim, wait);
    }

    /// A sign of life of a machine.
    pub(super) fn machine_heard(
        &mut self,
        machine: &super::machine::MachineId,
        zone: &std::sync::Arc<str>,
        way: Way,
    ) {
        if way == Way::Report {
            self.members.worker_came();
        }
        self.zone_heard(zone);
        self.members.sight.heard(machine, zone, way);
    }
}
