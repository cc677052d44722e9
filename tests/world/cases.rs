//! Faults around membership and failover, each injected on purpose.

use std::time::Duration;

use kiteyard_rollout::generation::Order;

use kiteyard::core::store::{Change, StateReply, StateRequest};

use crate::sim::{Cut, Event, NODES, World, ms};

/// A fault; how long it lasts is given with it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Case {
    /// The leader and all workers cannot reach each other.
    Blind,
    /// The leader and the workers of one zone cannot reach each other.
    BlindToZone,
    /// Two nodes each reach half of the zones, and neither reaches the other half.
    HalfEach,
    /// Nodes refuse connections from their peers.
    PeersRefuse,
    /// The leader's process freezes in the middle of a step.
    Stands,
    StateSlow,
    /// All nodes are restarted one after another.
    Roll,
    /// A zone is partitioned from everything, its node also from the state service.
    ZoneCut,
    /// The leader's zone is partitioned from everything.
    LeaderZoneCut,
    /// A fifth of the machines hang and resume within their lease.
    Hang,
    /// The leader's process crashes.
    LeaderEnds,
    /// All nodes crash at once.
    AllEnd,
    /// All nodes crash, and again during startup: each before or soon after its first answer.
    EndAgain,
    /// A third of the machines send reports that arrive, but receive nothing.
    Deaf,
    /// Reports, and requests that were already applied, arrive again later.
    Copies,
    /// The leader loses the state service and its peers, but not its workers and users.
    LeaderApart,
    /// Like `LeaderApart`, for a second node as well: only one node is unaffected.
    TwoApart,
    /// Like `LeaderApart`, and the machines of the leader's zone reach the leader alone.
    ZoneApart,
    /// The state service is unavailable.
    Outage,
    /// The state service refuses the leader alone while users cancel, and then all nodes.
    Gap,
    /// Like `Gap`, with the outage starting just after another node has claimed the leadership.
    GapAfterClaim,
    /// A quarter of all transactions gets no answer and is applied later, after newer ones.
    LateWrites,
    /// Direct commands to workers are delayed, and so are their answers.
    HeldCommands,
    /// All nodes are polled within milliseconds of an acceptance or completion, submissions are
    /// repeated, and some jobs are cancelled at once.
    CloseLooks,
    /// The completion of a job's last task coincides with a cancellation, a poll or a submission.
    AskedAtEnd,
    /// Users submit jobs that can never run.
    OddRequests,
    /// A quarter of all transactions is applied at once, but its answer is lost.
    AnswersLost,
    /// Users cancel most of the unfinished jobs within 200 ms.
    CancelBurst,
    /// Like `CancelBurst`, at the moment the state service starts to refuse the leader alone; one
    /// second later it is unavailable to all nodes.
    RefusedThenAway,
    /// Messages between nodes and workers take 150 to 700 ms longer.
    SlowLinks,
    /// Half of the machines are lost in the zone with the most tasks bound to it.
    ZoneLosesMachines,
    /// The leader's own watch returns nothing while users cancel.
    SilentWatch,
    /// A third of the machines cannot connect to any controller; direct commands reach them.
    Mute,
    /// Copies of reports are kept, and reach every node as the next leader starts.
    KeptCopies,
    /// Reports are held back until a new leader has acted.
    HeldReports,
    /// Direct commands are executed 2 to 16 s late and not answered.
    LateCommands,
    /// Users cancel most running jobs, and machines that hold their tasks hang for the given time.
    CancelAndHang,
    /// Machines boot within two seconds, and the leader crashes as they get work.
    NewMachines,
    /// All processes stop, and restart after the given time.
    AllAway,
    /// A handover and a handover back, after which all nodes stop and one restarts; the others
    /// restart after the given time.
    HandOverAndBack,
    /// A follower is restarted from the old build.
    OldAgain,
    /// Operators order a downgrade to the old storage format.
    GoBack,
    /// The leader's claim is deleted while the leader goes on leading its zone: the effect of an
    /// unsafe handover.
    VacatedEarly,
}

impl World {
    /// Returns the node that leads according to the stored key.
    pub fn leading(&mut self) -> usize {
        let key = "live/leader".to_owned();
        let reply = self.state.call(self.now, &StateRequest::Get { key });
        match reply {
            Some(StateReply::Entry(entry)) => (0..NODES)
                .find(|n| entry.value.get().contains(&format!("\"n{n}\"")))
                .unwrap_or(0),
            _ => 0,
        }
    }

    fn cut(&mut self, node: usize, zone: usize, until: Duration) {
        self.cuts.push(Cut {
            node,
            zone,
            until,
            reset: false,
        });
    }

    fn zone_off(&mut self, zone: usize, until: Duration) {
        self.unreached[zone] = until;
        for other in (0..NODES).filter(|other| *other != zone) {
            self.cut(zone, other, until);
            self.cut(other, zone, until);
        }
    }

    pub fn bring(&mut self, case: Case, lasts: Duration) {
        let leader = self.leading();
        let until = self.now + lasts;
        match case {
            Case::Blind => self.workers_apart[leader] = until,
            Case::BlindToZone => self.cut(leader, (leader + 1) % NODES, until),
            Case::HalfEach => {
                let other = (leader + 1) % NODES;
                self.cut(leader, other, until);
                self.cut(other, leader, until);
            }
            Case::PeersRefuse => self.peers_apart = until,
            Case::Stands => self.freezes[leader] = Some(lasts),
            Case::StateSlow => self.slow_until = until,
            Case::Roll => {
                for node in 0..NODES {
                    self.push(self.now + lasts * node as u32, Event::Crash(node));
                }
            }
            Case::ZoneCut => self.zone_off((leader + 1) % NODES, until),
            Case::LeaderZoneCut => self.zone_off(leader, until),
            Case::Hang => {
                for worker in self.workers.values_mut().step_by(5) {
                    worker.hung_until = until;
                }
            }
            Case::LeaderEnds => {
                // After a planned handover, the node that stepped down crashes.
                let node = self.roll.asked.filter(|_| self.roll.spare_successor);
                self.crash(node.unwrap_or(leader));
            }
            Case::AllEnd => (0..NODES).for_each(|node| self.crash(node)),
            Case::EndAgain => {
                for again in [0, 60, 350, 700, 1200] {
                    for node in 0..NODES {
                        let at = ms(again + 90 * node as u64);
                        self.push(self.now + at, Event::Crash(node));
                    }
                }
            }
            Case::Deaf => {
                let names = self.workers.keys().step_by(3).cloned();
                self.between.deafen(names.collect(), until);
            }
            Case::Mute => {
                let names = self.workers.keys().step_by(3).cloned().collect();
                self.mute.silence(names, self.now, until);
            }
            Case::SlowLinks => self.slow_links(until),
            Case::ZoneLosesMachines => self.lose_machines(),
            Case::KeptCopies => self.keep_copies(until),
            Case::HeldReports => self.hold_reports(until),
            Case::LateCommands => self.delay_commands(until),
            Case::CancelAndHang => self.cancel_and_hang(lasts),
            Case::NewMachines => self.new_machines(until),
            Case::AllAway => self.all_away(lasts),
            Case::HandOverAndBack => self.hand_over_and_back(lasts),
            Case::Copies => self.between.copies_until = until,
            Case::LeaderApart => self.node_apart(leader, until),
            Case::ZoneApart => {
                self.node_apart(leader, until);
                for other in (0..NODES).filter(|other| *other != leader) {
                    self.cut(other, leader, until);
                }
            }
            Case::TwoApart => {
                self.node_apart(leader, until);
                self.node_apart((leader + 1) % NODES, until);
            }
            Case::HeldCommands => self.hold_commands(leader, until),
            Case::LateWrites => self.late_writes(until),
            Case::Gap => self.gap(leader, lasts),
            Case::GapAfterClaim => self.gap_after_claim(leader, lasts),
            Case::SilentWatch => self.silent_watch(leader, lasts),
            Case::CancelBurst => self.cancel_burst(),
            Case::RefusedThenAway => self.refused_then_away(leader, lasts),
            Case::CloseLooks => self.requests.close_until = until,
            Case::AskedAtEnd => self.requests.ends_until = until,
            Case::OddRequests => {
                self.requests.odd_until = until;
                self.push(self.now, Event::Odd);
            }
            Case::AnswersLost => self.requests.unanswered_until = until,
            Case::Outage => {
                self.outage = true;
                self.push(until, Event::OutageEnds);
            }
            Case::OldAgain => {
                let node = (leader + 1) % NODES;
                let was = self.roll.most[node];
                self.push(self.now, Event::Upgrade(node, 1));
                self.push(until, Event::Upgrade(node, was));
            }
            Case::GoBack => self.push(self.now, Event::Order(Order::Target(1))),
            Case::VacatedEarly => {
                self.zone_off(leader, until);
                let changes = vec![Change::Delete {
                    key: "live/leader".to_owned(),
                }];
                let conditions = Vec::new();
                let vacate = StateRequest::Txn {
                    conditions,
                    changes,
                };
                self.state.call(self.now, &vacate);
                self.wake_watches();
            }
        }
    }
}

/// Well within a worker's lease at every scale.
pub const WITHIN_LEASE: Duration = ms(3500);
