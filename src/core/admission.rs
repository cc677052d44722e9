//! What holds room without running, and whether more may be let in.
//!
//! A task that was given a machine holds its room from then on, but starts only when
//! its job is listed there, which takes a write of the state service. Where more is
//! let in than gets out, machines fill up with tasks that wait, and whatever should
//! run waits for the room they hold. So work goes in at the rate at which it starts:
//! when more has been waiting too long than started in the same time, no more of the
//! same or a lower priority goes in until the rest is through.

use std::time::Duration;

use tracing::debug;

use super::{
    cluster::{ClusterState, Counts},
    job::Priority,
    machine::{Machine, MachineState, Phase, TaskPhase},
};

/// Starts that were confirmed, over the last one to two spans of time.
#[derive(Debug)]
pub struct StartRate {
    span: Duration,
    since: Duration,
    now: usize,
    before: usize,
}

impl StartRate {
    pub fn new(span: Duration) -> Self {
        Self {
            span: span.max(Duration::from_millis(1)),
            since: Duration::ZERO,
            now: 0,
            before: 0,
        }
    }

    fn turn(&mut self, now: Duration) {
        let spans = now.saturating_sub(self.since).as_millis() / self.span.as_millis().max(1);
        if spans > 0 {
            self.before = if spans == 1 { self.now } else { 0 };
            self.now = 0;
            self.since = now;
        }
    }

    pub fn started(&mut self, now: Duration) {
        self.turn(now);
        self.now += 1;
    }

    /// Starts within about the last span.
    pub fn lately(&mut self, now: Duration) -> usize {
        self.turn(now);
        self.now.max(self.before)
    }
}

/// How much holds its room without running, by what it waits for.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct PendingPlacements {
    /// Decided, and the job is not listed with the machine yet.
    pub unlisted: usize,
    /// Listed, in no message yet.
    pub unsent: usize,
    /// Sent, in no report yet.
    pub unconfirmed: usize,
    pub fetching: usize,
    /// Tasks of gangs that wait for the others.
    pub gathering: usize,
    /// Told to stop, and not gone.
    pub stopping: usize,
    /// Over, with a result that is not stored. These hold no room.
    pub unstored: usize,
    /// Machines that are held by nominations.
    pub nominated: usize,
}

impl ClusterState {
    pub fn pending_placements(&self) -> PendingPlacements {
        let mut pending_placements = PendingPlacements::default();
        for machine in self.machines.values() {
            for ((task, _), p) in &machine.tasks {
                match p.phase {
                    Phase::Seen(phase) if phase.exited() => pending_placements.unstored += 1,
                    _ if p.stopping() => pending_placements.stopping += 1,
                    Phase::Decided if !machine.assignment.jobs.contains(&task.job) => {
                        pending_placements.unlisted += 1;
                    }
                    Phase::Decided => pending_placements.unsent += 1,
                    Phase::Sent { .. } => pending_placements.unconfirmed += 1,
                    Phase::Seen(TaskPhase::Fetching) => pending_placements.fetching += 1,
                    Phase::Seen(TaskPhase::Waiting) => pending_placements.gathering += 1,
                    Phase::Seen(_) => {}
                }
            }
        }
        pending_placements.nominated = self.jobs.values().map(|j| j.nominations.len()).sum();
        pending_placements
    }

    /// How things stand, for the log.
    pub(super) fn log_counts(&mut self, now: Duration) {
        if now < self.next_log {
            return;
        }
        self.next_log = now + Duration::from_secs(5);
        let standing = |m: &&Machine| m.state == MachineState::Up;
        let up = self.machines.values().filter(standing).count();
        let booting = self.machines.len() - up;
        let waiting: u32 = self.jobs.values().map(|j| j.waiting_count()).sum();
        let Counts {
            starts,
            victims,
            nominations,
            cleared,
            lost,
        } = self.counts;
        debug!(
            up,
            booting,
            jobs = self.jobs.len(),
            waiting,
            starts,
            victims,
            nominations,
            cleared,
            lost,
            "counts"
        );
        self.log_use();
        let pending_placements = self.pending_placements();
        debug!(
            unlisted = pending_placements.unlisted,
            unsent = pending_placements.unsent,
            unconfirmed = pending_placements.unconfirmed,
            fetching = pending_placements.fetching,
            gathering = pending_placements.gathering,
            stopping = pending_placements.stopping,
            unstored = pending_placements.unstored,
            nominated = pending_placements.nominated,
            started = self.start_rate.lately(now),
            closed_priority = ?self.closed_priority,
            "pending placements"
        );
    }

    /// What the machines are used for, for the log: in whole machines, by what binds.
    fn log_use(&self) {
        let mut used = [[0.0; 2]; 3];
        let (mut idle, mut all) = ([0; 2], [0; 2]);
        for machine in self.machines.values() {
            if machine.state != MachineState::Up {
                continue;
            }
            let spot = usize::from(machine.spot);
            all[spot] += 1;
            idle[spot] += usize::from(!machine.busy());
            for p in machine.tasks.values().filter(|p| !p.exited()) {
                let kind = p.spec.as_ref().map_or(0, |spec| spec.kind as usize);
                used[kind][spot] += p.need.dominant_share_of(&machine.size);
            }
        }
        let [arrays, gangs, services] = used.map(|[ordinary, _]| ordinary.round());
        let [spot_arrays, ..] = used.map(|[_, spot]| spot.round());
        let ([ordinary, spot], [idle, idle_spot]) = (all, idle);
        debug!(
            ordinary,
            arrays, gangs, services, idle, spot, spot_arrays, idle_spot, "use"
        );
    }

    /// The highest priority that nothing more is let in of, if any: more of it, and of
    /// what is above it, has waited for a whole span than started in one.
    pub(super) fn priority_to_close(&mut self, now: Duration) -> Option<Priority> {
        let span = self.start_rate.span;
        let mut late = [0; Priority::ALL.len()];
        for machine in self.machines.values() {
            if machine.state != MachineState::Up {
                continue;
            }
            for p in machine.tasks.values() {
                if p.phase == Phase::Decided
                    && now > p.since + span
                    && let Some(spec) = &p.spec
                {
                    late[spec.priority as usize] += 1;
                }
            }
        }
        let starts = self.start_rate.lately(now);
        let mut sum = 0;
        let closed_priority = Priority::ALL.into_iter().rev().find(|priority| {
            sum += late[*priority as usize];
            sum > starts
        });
        if closed_priority.is_some() {
            // Starts are confirmed, and late ones go out, without an end of any task.
            self.retry_by(now + span);
        }
        closed_priority
    }
}
