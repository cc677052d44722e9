//! Resource usage by team: placed tasks, and tasks that unresponsive machines may hold.

use std::{collections::BTreeMap, sync::Arc};

use super::ClusterState;
use crate::core::{
    capacity_snapshot::Usage,
    job::{JobId, Resources},
    machine::Placement,
};

impl ClusterState {
    /// Returns the usage of each team, and the part of it that belongs to stopping tasks.
    pub(super) fn usage(&self) -> (Usage, Usage) {
        let (mut usage, mut stopping_usage) = (Usage::default(), Usage::default());
        for machine in self.machines.values() {
            let placements: Vec<&Placement> =
                machine.tasks.values().filter(|p| !p.exited()).collect();
            // Tasks of one job are adjacent, so the team is looked up once for all of them.
            let same_job = |a: &&Placement, b: &&Placement| match (&a.spec, &b.spec) {
                (Some(a), Some(b)) => Arc::ptr_eq(a, b),
                _ => false,
            };
            for tasks in placements.chunk_by(same_job) {
                let Some(spec) = &tasks[0].spec else {
                    // The team is no longer known, so the task counts against every team.
                    for team in self.config.teams.keys() {
                        usage.add(team, &tasks[0].need);
                    }
                    continue;
                };
                let sum = |count: usize| Resources::default().plus_scaled(&spec.need, count as f64);
                usage.add(&spec.team, &sum(tasks.len()));
                let stopping = tasks.iter().filter(|p| p.stopping()).count();
                if stopping > 0 {
                    stopping_usage.add(&spec.team, &sum(stopping));
                }
            }
        }
        self.add_unresolved_usage(&mut usage);
        (usage, stopping_usage)
    }

    /// Counts as running the tasks that unresponsive machines may hold. A waiting task is on at
    /// most one of them, so a task that several machines list counts once.
    fn add_unresolved_usage(&self, usage: &mut Usage) {
        let mut possible_tasks: BTreeMap<&JobId, u32> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| m.unresolved) {
            let mut listed = machine.assignment.possible_jobs();
            // A job that has been cancelled since may still run there, and its team is no longer
            // known, so the whole machine counts against every team.
            if listed.any(|id| !self.jobs.contains_key(id)) {
                for team in self.config.teams.keys() {
                    usage.add(team, &machine.size);
                }
                continue;
            }
            for (id, job) in machine
                .assignment
                .possible_jobs()
                .filter_map(|id| self.jobs.get_key_value(id))
            {
                let tasks = possible_tasks.entry(id).or_default();
                *tasks = tasks.saturating_add(job.spec.need.count_fitting(&machine.size));
            }
        }
        for (id, possible) in possible_tasks {
            let job = &self.jobs[id];
            let tasks = job.unplaced_count().min(possible);
            let sum = Resources::default().plus_scaled(&job.spec.need, f64::from(tasks));
            usage.add(&job.spec.team, &sum);
        }
    }
}
