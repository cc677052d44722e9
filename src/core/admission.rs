//! Admission control: limits placements to the rate at which placed tasks start.
//!
//! A placed task holds capacity at once, but starts only after its job is listed with the
//! machine in the state service. If tasks are placed faster than they are listed, machines
//! fill up with tasks that wait, and tasks that could run wait for the capacity they hold.
//! So when more tasks have waited too long than started in the same time, no more tasks of
//! that priority or a lower one are placed until the backlog is cleared.

use std::time::Duration;

use tracing::debug;

use super::{
    cluster::{ClusterState, Counts},
    job::Priority,
    machine::{Machine, MachineState, Phase, TaskPhase},
};

/// Count of confirmed starts in the current and the previous time span.
#[derive(Debug)]
pub struct StartRate {
    span: Duration,
    span_start: Duration,
    current: usize,
    previous: usize,
}

impl StartRate {
    pub fn new(span: Duration) -> Self {
        Self {
            span: span.max(Duration::from_millis(1)),
            span_start: Duration::ZERO,
            current: 0,
            previous: 0,
        }
    }

    fn advance(&mut self, now: Duration) {
        let spans = now.saturating_sub(self.span_start).as_millis() / self.span.as_millis().max(1);
        if spans > 0 {
            self.previous = if spans == 1 { self.current } else { 0 };
            self.current = 0;
            self.span_start = now;
        }
    }

    pub fn record_start(&mut self, now: Duration) {
        self.advance(now);
        self.current += 1;
    }

    /// Returns the starts within about the last span: the larger of the two counts.
    pub fn recent_starts(&mut self, now: Duration) -> usize {
        self.advance(now);
        self.current.max(self.previous)
    }
}

/// Tasks that hold capacity without running, counted by what they wait for.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct PendingPlacements {
    /// Placed, but the job is not listed with the machine yet.
    pub unlisted: usize,
    /// Listed, but not sent to the worker yet.
    pub unsent: usize,
    /// Sent, but not confirmed by a report yet.
    pub unconfirmed: usize,
    pub fetching: usize,
    /// Tasks of gangs that wait for the rest of their gang.
    pub gathering: usize,
    /// Stopping, but not exited yet.
    pub stopping: usize,
    /// Exited, but the result is not stored yet. These hold no capacity.
    pub unstored: usize,
    /// Number of nominations.
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

    /// Logs counters, capacity use and pending placements every 5 seconds.
    pub(super) fn log_counts(&mut self, now: Duration) {
        if now < self.next_log {
            return;
        }
        self.next_log = now + Duration::from_secs(5);
        let is_up = |m: &&Machine| m.state == MachineState::Up;
        let up = self.machines.values().filter(is_up).count();
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
            "cluster counters"
        );
        self.command_counts.log();
        self.log_machine_use();
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
            started = self.start_rate.recent_starts(now),
            closed_priority = ?self.closed_priority,
            "pending placements"
        );
    }

    /// Logs the use of machines by kind of job, in whole machines of the scarcest resource.
    fn log_machine_use(&self) {
        let mut used = [[0.0; 2]; 3];
        let (mut idle, mut totals) = ([0; 2], [0; 2]);
        for machine in self.machines.values() {
            if machine.state != MachineState::Up {
                continue;
            }
            let spot = usize::from(machine.spot);
            totals[spot] += 1;
            idle[spot] += usize::from(!machine.busy());
            for p in machine.tasks.values().filter(|p| !p.exited()) {
                let kind = p.spec.as_ref().map_or(0, |spec| spec.kind as usize);
                used[kind][spot] += p.need.dominant_share_of(&machine.size);
            }
        }
        let [arrays, gangs, services] = used.map(|[ordinary, _]| ordinary.round());
        let [spot_arrays, ..] = used.map(|[_, spot]| spot.round());
        let ([ordinary, spot], [idle, idle_spot]) = (totals, idle);
        debug!(
            ordinary,
            arrays, gangs, services, idle, spot, spot_arrays, idle_spot, "machine use"
        );
    }

    /// Returns the highest priority to close to new placements, if any: more tasks of this and
    /// higher priorities have waited for a whole span than started within one.
    pub(super) fn priority_to_close(&mut self, now: Duration) -> Option<Priority> {
        let span = self.start_rate.span;
        let mut overdue = [0; Priority::ALL.len()];
        for machine in self.machines.values() {
            if machine.state != MachineState::Up {
                continue;
            }
            for p in machine.tasks.values() {
                if p.phase == Phase::Decided
                    && now > p.since + span
                    && let Some(spec) = &p.spec
                {
                    overdue[spec.priority as usize] += 1;
                }
            }
        }
        let starts = self.start_rate.recent_starts(now);
        let mut total = 0;
        let closed_priority = Priority::ALL.into_iter().rev().find(|priority| {
            total += overdue[*priority as usize];
            total > starts
        });
        if closed_priority.is_some() {
            // The backlog can clear without any task ending, so nothing else would trigger a retry.
            self.retry_by(now + span);
        }
        closed_priority
    }
}
