//! The hard cases of membership and hand-over, each brought about on purpose.

use std::time::Duration;

use kiteyard_rollout::generation::Order;

use kiteyard::core::store::{Change, StateReply, StateRequest};

use crate::sim::{Cut, Event, NODES, World, ms};

/// One trouble, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Case {
    /// No worker reaches the leader, nor it any worker.
    Blind,
    /// The same for the workers of one zone.
    BlindToZone,
    /// Two nodes that each hear half of the zones, and neither the other half.
    HalfEach,
    /// Nodes refuse one another's connections.
    PeersRefuse,
    /// The leader's process stands still in the middle of a step.
    Stands,
    StateSlow,
    /// All nodes are restarted, one after the other.
    Roll,
    /// A zone is partitioned from everything, its node from the state service as well.
    ZoneCut,
    /// The leader's zone is partitioned from everything.
    LeaderZoneCut,
    /// A fifth of the machines hang and go on within their lease.
    Hang,
    /// The leader's process ends.
    LeaderEnds,
    /// All nodes end at once.
    AllEnd,
    /// All end, and again while they start: each before its first answer, or soon after it.
    EndAgain,
    /// A third of the machines report, and nothing reaches them.
    Deaf,
    /// Reports come again later, and so do requests that were carried out.
    Copies,
    /// The leader loses the state service and its peers, not its workers and users.
    LeaderApart,
    /// The same with another node as well: only one is left.
    TwoApart,
    /// The leader loses them, and the machines of its zone are on its side alone.
    ZoneApart,
    /// The state service is away.
    Outage,
    /// It refuses the leader alone while users cancel, and then is away for all.
    Gap,
    /// The same, and it goes away just when another node has claimed.
    GapAfterClaim,
    /// A part of all transactions gets no answer and is carried out later, after newer ones.
    LateWrites,
    /// Commands that go straight to workers are held up, and so are their answers.
    HeldCommands,
    /// All nodes are asked within milliseconds after an acceptance or an end, submissions are
    /// repeated, and some jobs are cancelled at once.
    CloseLooks,
    /// The end of a job's last task meets a cancellation, a question or a submission.
    AskedAtEnd,
    /// Users send jobs that can't run.
    OddRequests,
    /// A part of all transactions is carried out at once, and not answered.
    AnswersLost,
    /// Within a fifth of a second users cancel most of the jobs that are not over.
    CancelBurst,
    /// The same at the very moment at which the state service refuses the leader alone; a
    /// second later it is away for all.
    RefusedThenAway,
    /// Messages between nodes and workers take a large part of a second.
    SlowLinks,
    /// Half of the machines end in the zone that has most tasks bound to it.
    ZoneLosesMachines,
    /// The leader's own watch tells nothing while users cancel.
    SilentWatch,
    /// A third of the machines reach no controller; direct commands reach them.
    Mute,
    /// Copies of reports are kept, and reach every node as the next leader begins.
    KeptCopies,
    /// Reports are held back until a new leader has acted.
    HeldReports,
    /// Direct commands are carried out 2 to 16 s late and not answered.
    LateCommands,
    /// Users cancel most of what runs, and machines with it hang for that long.
    CancelAndHang,
    /// Machines are up within two seconds, and the leader ends as they get work.
    NewMachines,
    /// All processes end, and are back after that time.
    AllAway,
    /// Hand-over and back, all end, and one returns; the others after that time.
    HandOverAndBack,
    /// A node that does not lead is started again from the old build.
    OldAgain,
    /// Operators want the old forms back.
    GoBack,
    /// The leader's claim vanishes while it goes on leading a zone of its own: what an
    /// unsafe hand-over would do.
    VacatedEarly,
}

impl World {
    /// The node that leads by the stored key.
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
                // After a planned hand-over it is the one that was asked.
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

/// A time well within a worker's lease at every size.
pub const WITHIN_LEASE: Duration = ms(3500);
