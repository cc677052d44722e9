//! Faults around membership and failover, each injected on purpose.

use std::time::Duration;

use kiteyard_rollout::generation::Order;

use kiteyard::core::store::{Change, StateReply, StateRequest};

use crate::sim::{Event, LinkPartition, NODES, World, ms};

/// A fault to inject; its duration is given separately.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The leader and all workers cannot reach each other.
    LeaderLosesWorkers,
    /// The leader and the workers of one zone cannot reach each other.
    LeaderLosesZone,
    /// Two nodes each reach half of the zones, and neither reaches the other half.
    SplitZones,
    /// Nodes refuse connections from their peers.
    PeersRefuse,
    /// The leader's process freezes in the middle of a step.
    LeaderFreezes,
    StateSlow,
    /// All nodes are restarted one after another.
    RollingRestart,
    /// A zone is partitioned from everything, its node also from the state service.
    ZoneCut,
    /// The leader's zone is partitioned from everything.
    LeaderZoneCut,
    /// A fifth of the machines hang and resume within their lease.
    MachinesHang,
    /// A third of the machines hang until some time after the next claim.
    MachinesHangPastClaim,
    /// The leader's process crashes.
    LeaderCrash,
    /// The leader's process ends and is not restarted.
    LeaderStops,
    /// A third of the machines reach no controller, and no direct command reaches them.
    MachinesSilent,
    /// All nodes crash at once.
    AllCrash,
    /// All nodes crash, and again during startup: each before or soon after its first answer.
    RepeatedCrashes,
    /// A third of the machines send reports that arrive, but receive nothing.
    DeliveryBlocked,
    /// Reports, and requests that were already applied, arrive again later.
    Duplicates,
    /// The leader loses the state service and its peers, but not its workers and users.
    LeaderIsolated,
    /// Like `LeaderIsolated`, for a second node as well: only one node is unaffected.
    TwoIsolated,
    /// Like `LeaderIsolated`, and the machines of the leader's zone reach the leader alone.
    LeaderIsolatedWithZone,
    /// The state service is unavailable.
    StateOutage,
    /// The state service refuses the leader alone while users cancel, and then all nodes.
    RefusalThenOutage,
    /// Like `RefusalThenOutage`, with the outage starting just after another node has claimed the
    /// leadership.
    OutageAfterClaim,
    /// A quarter of all transactions gets no answer and is applied later, after newer ones.
    LateWrites,
    /// Direct commands to workers are delayed, and so are their answers.
    HeldCommands,
    /// All nodes are polled within milliseconds of an acceptance or completion, submissions are
    /// repeated, and some jobs are cancelled at once.
    ImmediatePolls,
    /// The completion of a job's last task coincides with a cancellation, a poll or a submission.
    RequestsAtCompletion,
    /// Users submit jobs that can never run.
    UnrunnableJobs,
    /// A quarter of all transactions is applied at once, but its answer is lost.
    AnswersLost,
    /// Users cancel most of the unfinished jobs within 200 ms.
    CancelBurst,
    /// Like `CancelBurst`, at the moment the state service starts to refuse the leader alone; one
    /// second later it is unavailable to all nodes.
    CancelBurstAtRefusal,
    /// Messages between nodes and workers take 150 to 700 ms longer.
    SlowLinks,
    /// Half of the machines are lost in the zone with the most tasks bound to it.
    ZoneLosesMachines,
    /// The leader's own watch returns nothing while users cancel.
    SilentWatch,
    /// A third of the machines cannot connect to any controller; direct commands reach them.
    ReportsBlocked,
    /// Copies of reports are kept, and reach every node as the next leader starts.
    ReplayedReports,
    /// Reports are held back until a new leader has acted.
    HeldReports,
    /// Direct commands are executed 2 to 16 s late and not answered.
    LateCommands,
    /// Half of the direct commands that were executed and answered arrive once more.
    RepeatedCommands,
    /// All tasks fail on a fifth of the machines.
    MachinesFail,
    /// Users cancel most running jobs, and machines that hold their tasks hang for the given time.
    CancelAndHang,
    /// Machines boot within two seconds, and the leader crashes as they get work.
    NewMachines,
    /// All processes stop, and restart after the given time.
    AllDown,
    /// A handover and a handover back, after which all nodes stop and one restarts; the others
    /// restart after the given time.
    HandOverAndBack,
    /// A follower is restarted from the old build.
    OldBuildReturns,
    /// Operators order a downgrade to the old storage format.
    Downgrade,
    /// The leader's claim is deleted while the leader continues to lead its zone: the effect of
    /// an unsafe handover.
    ClaimDeletedEarly,
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

    fn partition_link(&mut self, node: usize, zone: usize, until: Duration) {
        self.partitions.push(LinkPartition {
            node,
            zone,
            until,
            reset: false,
        });
    }

    fn partition_zone(&mut self, zone: usize, until: Duration) {
        self.state_unreachable_until[zone] = until;
        for other in (0..NODES).filter(|other| *other != zone) {
            self.partition_link(zone, other, until);
            self.partition_link(other, zone, until);
        }
    }

    pub fn inject_fault(&mut self, fault: Fault, duration: Duration) {
        let leader = self.leading();
        let until = self.now + duration;
        match fault {
            Fault::LeaderLosesWorkers => self.workers_unreachable_until[leader] = until,
            Fault::LeaderLosesZone => self.partition_link(leader, (leader + 1) % NODES, until),
            Fault::SplitZones => {
                let other = (leader + 1) % NODES;
                self.partition_link(leader, other, until);
                self.partition_link(other, leader, until);
            }
            Fault::PeersRefuse => self.peers_refuse_until = until,
            Fault::LeaderFreezes => self.pending_freezes[leader] = Some(duration),
            Fault::StateSlow => self.state_slow_until = until,
            Fault::RollingRestart => {
                for node in 0..NODES {
                    self.push(self.now + duration * node as u32, Event::Crash(node));
                }
            }
            Fault::ZoneCut => self.partition_zone((leader + 1) % NODES, until),
            Fault::LeaderZoneCut => self.partition_zone(leader, until),
            Fault::MachinesHang => {
                for worker in self.workers.values_mut().step_by(5) {
                    worker.hung_until = until;
                }
            }
            Fault::LeaderCrash => {
                // After a planned handover, the node that stepped down crashes.
                let node = self
                    .rollout
                    .step_down_node
                    .filter(|_| self.rollout.spare_successor);
                self.crash(node.unwrap_or(leader));
            }
            Fault::MachinesHangPastClaim => self.hang_past_claim(until),
            Fault::LeaderStops => self.push(self.now, Event::Stop(leader)),
            Fault::MachinesSilent => self.silence_machines(until),
            Fault::AllCrash => (0..NODES).for_each(|node| self.crash(node)),
            Fault::RepeatedCrashes => {
                for again in [0, 60, 350, 700, 1200] {
                    for node in 0..NODES {
                        let at = ms(again + 90 * node as u64);
                        self.push(self.now + at, Event::Crash(node));
                    }
                }
            }
            Fault::DeliveryBlocked => {
                let names = self.workers.keys().step_by(3).cloned();
                self.network_faults.block_delivery(names.collect(), until);
            }
            Fault::ReportsBlocked => {
                let names = self.workers.keys().step_by(3).cloned().collect();
                self.blocked_reports.block(names, self.now, until);
            }
            Fault::SlowLinks => self.slow_links(until),
            Fault::ZoneLosesMachines => self.lose_machines(),
            Fault::ReplayedReports => self.keep_reports(until),
            Fault::HeldReports => self.hold_reports(until),
            Fault::LateCommands => self.delay_commands(until),
            Fault::RepeatedCommands => self.repeat_commands(until),
            Fault::MachinesFail => {
                for worker in self.workers.values_mut().step_by(5) {
                    worker.faulty_until = until;
                }
            }
            Fault::CancelAndHang => self.cancel_and_hang(duration),
            Fault::NewMachines => self.boot_new_machines(until),
            Fault::AllDown => self.stop_all(duration),
            Fault::HandOverAndBack => self.hand_over_and_back(duration),
            Fault::Duplicates => self.network_faults.duplicates_until = until,
            Fault::LeaderIsolated => self.isolate_node(leader, until),
            Fault::LeaderIsolatedWithZone => {
                self.isolate_node(leader, until);
                for other in (0..NODES).filter(|other| *other != leader) {
                    self.partition_link(other, leader, until);
                }
            }
            Fault::TwoIsolated => {
                self.isolate_node(leader, until);
                self.isolate_node((leader + 1) % NODES, until);
            }
            Fault::HeldCommands => self.hold_commands(leader, until),
            Fault::LateWrites => self.delay_writes(until),
            Fault::RefusalThenOutage => self.refusal_then_outage(leader, duration),
            Fault::OutageAfterClaim => self.outage_after_claim(leader, duration),
            Fault::SilentWatch => self.silence_watch(leader, duration),
            Fault::CancelBurst => self.cancel_burst(),
            Fault::CancelBurstAtRefusal => self.cancel_burst_at_refusal(leader, duration),
            Fault::ImmediatePolls => self.requests.polls_until = until,
            Fault::RequestsAtCompletion => self.requests.completions_until = until,
            Fault::UnrunnableJobs => {
                self.requests.unrunnable_until = until;
                self.push(self.now, Event::UnrunnableJobs);
            }
            Fault::AnswersLost => self.requests.unanswered_until = until,
            Fault::StateOutage => {
                self.outage = true;
                self.push(until, Event::OutageEnded);
            }
            Fault::OldBuildReturns => {
                let node = (leader + 1) % NODES;
                let previous = self.rollout.supported_generation[node];
                self.push(self.now, Event::Upgrade(node, 1));
                self.push(until, Event::Upgrade(node, previous));
            }
            Fault::Downgrade => self.push(self.now, Event::RolloutOrder(Order::Target(1))),
            Fault::ClaimDeletedEarly => {
                self.partition_zone(leader, until);
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
