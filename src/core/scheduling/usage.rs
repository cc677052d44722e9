//! What teams use: tasks that were seen or sent, and those that unresponsive machines may hold.

use std::{collections::BTreeMap, sync::Arc};

use super::ClusterState;
use crate::core::{
    capacity_snapshot::Usage,
    job::{JobId, Resources},
    machine::Placement,
};

impl ClusterState {
    /// What each team's tasks take, and the part of it that is stopping.
    pub(super) fn usage(&self) -> (Usage, Usage) {
        let (mut usage, mut leaving) = (Usage::default(), Usage::default());
        for machine in self.machines.values() {
            let held: Vec<&Placement> = machine.tasks.values().filter(|p| !p.exited()).collect();
            // Tasks of one job stand together: a team is looked up once for all.
            let alike = |a: &&Placement, b: &&Placement| match (&a.spec, &b.spec) {
                (Some(a), Some(b)) => Arc::ptr_eq(a, b),
                _ => false,
            };
            for tasks in held.chunk_by(alike) {
                let Some(spec) = &tasks[0].spec else {
                    // Whose it is nobody knows any more: it counts for each team.
                    for team in self.config.teams.keys() {
                        usage.add(team, &tasks[0].need);
                    }
                    continue;
                };
                let sum = |count: usize| Resources::default().plus_scaled(&spec.need, count as f64);
                usage.add(&spec.team, &sum(tasks.len()));
                let stopping = tasks.iter().filter(|p| p.stopping()).count();
                if stopping > 0 {
                    leaving.add(&spec.team, &sum(stopping));
                }
            }
        }
        self.add_unresolved(&mut usage);
        (usage, leaving)
    }

    /// What unresponsive machines may hold counts as running. A waiting task is on one of them at
    /// most: one that several machines list counts once.
    fn add_unresolved(&self, usage: &mut Usage) {
        let mut hidden: BTreeMap<&JobId, u32> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| m.unresolved) {
            let mut listed = machine.assignment.possible_jobs();
            // A job that was cancelled meanwhile may still run there, and whose it
            // was nobody knows any more: the whole machine counts for each team.
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
                let tasks = hidden.entry(id).or_default();
                *tasks = tasks.saturating_add(job.spec.need.count_fitting(&machine.size));
            }
        }
        for (id, most) in hidden {
            let job = &self.jobs[id];
            let tasks = job.unplaced_count().min(most);
            let sum = Resources::default().plus_scaled(&job.spec.need, f64::from(tasks));
            usage.add(&job.spec.team, &sum);
        }
    }
}
