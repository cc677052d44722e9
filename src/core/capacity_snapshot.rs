//! Snapshot for one scheduling pass: the machines that may be given tasks, the usage of teams, and
//! intermediate findings of the pass. Makes no decisions.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
};

use super::{
    job::{JobId, JobSpec, Kind, Priority, Resources},
    machine::{AttemptKey, Machine, MachineId},
};

/// Machine as seen by one pass. A pass checks every machine for most jobs, and the figures kept
/// here suffice to rule out most machines.
pub(super) struct MachineCapacity {
    pub id: MachineId,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    size: Resources,
    pub free: Resources,
    /// Resources of tasks that are stopping.
    stopping: Resources,
    /// Resources of tasks that could be preempted, by priority.
    pub preemptible: [Resources; Priority::ALL.len()],
    /// Reservations for parked tasks, by job.
    pub reservations: Vec<(Priority, JobId, Resources)>,
    /// Tasks selected as victims in this pass.
    pub victims: HashSet<AttemptKey>,
}

impl MachineCapacity {
    pub fn new(machine: &Machine) -> Self {
        let mut capacity = Self {
            id: machine.id.clone(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            size: machine.size,
            free: machine.size,
            stopping: Resources::default(),
            preemptible: Default::default(),
            reservations: Vec::new(),
            victims: HashSet::new(),
        };
        capacity.recompute(machine);
        capacity
    }

    /// Recalculates the resources from the machine's current tasks.
    pub fn recompute(&mut self, machine: &Machine) {
        self.free = self.size;
        self.stopping = Resources::default();
        self.preemptible = Default::default();
        for placement in machine.tasks.values().filter(|p| !p.exited()) {
            self.free = self.free.minus(&placement.need);
            if placement.stopping() {
                self.stopping = self.stopping.plus(&placement.need);
            } else if let Some(spec) = &placement.spec {
                let sum = &mut self.preemptible[spec.priority as usize];
                *sum = sum.plus(&placement.need);
            }
        }
    }

    /// Returns the maximum resources that could become free for a task of this priority: those of
    /// all stopping tasks, and of all tasks that might be preempted for it.
    pub fn max_free(&self, priority: Priority, reclaims: bool) -> Resources {
        let below = priority as usize + usize::from(reclaims);
        let max_free = self.free.plus(&self.stopping);
        self.preemptible[..below]
            .iter()
            .fold(max_free, |sum, r| sum.plus(r))
    }
}

impl MachineCapacity {
    /// Returns a lower bound of the highest priority among the victims of a preemption here for the
    /// job, or none if no victims are needed.
    pub fn min_highest_victim(&self, spec: &JobSpec, reclaims: bool) -> Option<Priority> {
        if spec.need.fits_in(&self.free.plus(&self.stopping)) {
            return None;
        }
        let below = spec.priority as usize + usize::from(reclaims);
        let is_used = |resources: &Resources| *resources != Resources::default();
        let lowest = self.preemptible[..below].iter().position(is_used)?;
        Priority::ALL.get(lowest).copied()
    }
}

/// Amount of a free resource up to which a machine counts as full.
const FULL_THRESHOLD: f64 = 1e-3;

/// Resources used by each team's tasks. A list is faster than a map here: teams are few, and every
/// task of every machine is counted in every pass.
#[derive(Clone, Default)]
pub(super) struct Usage(Vec<(Arc<str>, Resources)>);

impl Usage {
    pub fn add(&mut self, team: &Arc<str>, need: &Resources) {
        match self.0.iter_mut().find(|(name, _)| name == team) {
            Some((_, sum)) => *sum = sum.plus(need),
            None => self.0.push((team.clone(), *need)),
        }
    }

    pub fn of(&self, team: &Arc<str>) -> Resources {
        let found = self.0.iter().find(|(name, _)| name == team);
        found.map(|(_, sum)| *sum).unwrap_or_default()
    }
}

/// Task for which neither free capacity nor victims were found in this pass. Tasks that need the
/// same kinds of machine and at least as many resources would find none either, so that with a long
/// queue most jobs need not be checked against every machine.
pub(super) struct Unplaceable {
    pub spec: Arc<JobSpec>,
}

impl Unplaceable {
    fn covers(&self, spec: &JobSpec) -> bool {
        let known = &self.spec;
        known.need.fits_in(&spec.need)
            && spec.priority <= known.priority
            && spec.team == known.team
            && spec.types == known.types
            && spec.zone == known.zone
            && (known.spot || !spec.spot)
    }
}

pub(super) struct CapacitySnapshot {
    /// Cleared when nominations change, because reservations and stopping tasks change with them.
    pub unplaceable: Vec<Unplaceable>,
    pub machines: Vec<MachineCapacity>,
    /// Zones of the machines.
    all_zones: Vec<Arc<str>>,
    /// Indexes of the machines that are not full, and of some that have become full since. Under
    /// high load nearly all are full, and thousands of waiting jobs each search for one.
    open_machines: Vec<usize>,
    /// Like `open_machines`, for free GPUs.
    open_gpu_machines: Vec<usize>,
    /// Resources of each team's tasks, including those that unresponsive machines may hold.
    pub usage: Usage,
    /// Part of `usage` that is stopping.
    pub stopping_usage: Usage,
    /// Tasks of the selected job by zone, including stopping ones.
    pub job_zones: BTreeMap<Arc<str>, u32>,
    /// Jobs that are listed for unresponsive machines.
    pub unresolved_jobs: HashSet<JobId>,
    /// Tasks by job and zone, counted at the first use.
    tasks_by_zone: Option<HashMap<JobId, BTreeMap<Arc<str>, u32>>>,
}

impl CapacitySnapshot {
    pub fn new(
        machines: Vec<MachineCapacity>,
        usage: Usage,
        stopping_usage: Usage,
        unresolved_jobs: HashSet<JobId>,
    ) -> Self {
        let zones: BTreeSet<&Arc<str>> = machines.iter().map(|capacity| &capacity.zone).collect();
        let mut snapshot = Self {
            all_zones: zones.into_iter().cloned().collect(),
            unplaceable: Vec::new(),
            machines,
            open_machines: Vec::new(),
            open_gpu_machines: Vec::new(),
            usage,
            stopping_usage,
            job_zones: BTreeMap::new(),
            unresolved_jobs,
            tasks_by_zone: None,
        };
        snapshot.find_open_machines();
        snapshot
    }

    fn find_open_machines(&mut self) {
        let open = |free: fn(&Resources) -> f64| {
            let machines = self.machines.iter().enumerate();
            let open = machines.filter(|(_, capacity)| free(&capacity.free) > FULL_THRESHOLD);
            open.map(|(index, _)| index).collect()
        };
        (self.open_machines, self.open_gpu_machines) =
            (open(|free| free.cpus), open(|free| free.gpus));
    }

    /// Returns the indexes of machines that may currently have capacity for a task of the job.
    pub fn may_fit(&self, spec: &JobSpec) -> impl Iterator<Item = usize> {
        // A task that needs almost nothing may fit on any machine.
        let (open, all) = match (
            spec.need.gpus > 2.0 * FULL_THRESHOLD,
            spec.need.cpus > 2.0 * FULL_THRESHOLD,
        ) {
            (true, _) => (&self.open_gpu_machines[..], 0..0),
            (false, true) => (&self.open_machines[..], 0..0),
            (false, false) => (&[][..], 0..self.machines.len()),
        };
        open.iter().copied().chain(all)
    }

    /// Returns the sets of zones to try for a gang: each zone alone if it must stay in one. The
    /// zones are collected once, because collecting them for each waiting gang took most of a pass.
    pub fn gang_zones(&self, spec: &JobSpec) -> Vec<Vec<Arc<str>>> {
        match spec.one_zone {
            true => self.all_zones.iter().map(|z| vec![z.clone()]).collect(),
            false => vec![self.all_zones.clone()],
        }
    }

    /// Returns whether the given number of tasks may fit in these zones by resources alone; `free`
    /// returns the resources that a machine may provide.
    pub fn may_hold(
        &self,
        spec: &JobSpec,
        tasks: usize,
        zones: &[Arc<str>],
        free: impl Fn(&MachineCapacity) -> Resources,
    ) -> bool {
        let mut left = tasks as u32;
        for capacity in &self.machines {
            let free = free(capacity);
            if !spec.need.fits_in(&free) || !zones.contains(&capacity.zone) {
                continue;
            }
            left = left.saturating_sub(spec.need.count_fitting(&free));
            if left == 0 {
                return true;
            }
        }
        false
    }

    /// Returns whether no capacity was found for a similar job. A nominated job is not ruled out,
    /// since it may use capacity that is reserved for it alone.
    pub fn rules_out(&self, spec: &JobSpec, is_nominated: bool) -> bool {
        !is_nominated && self.unplaceable.iter().any(|task| task.covers(spec))
    }

    /// Selects a job and looks up its tasks by zone, including the stopping ones. The tasks are
    /// counted once, because a lookup at every machine for each waiting service took most of a
    /// pass.
    pub fn select_job(&mut self, spec: &JobSpec, machines: &BTreeMap<MachineId, Machine>) {
        self.job_zones.clear();
        if !depends_on_zones(spec) {
            return;
        }
        let zones_by_job = self
            .tasks_by_zone
            .get_or_insert_with(|| count_by_job_and_zone(machines));
        if let Some(zones) = zones_by_job.get(&spec.id) {
            self.job_zones.clone_from(zones);
        }
    }

    /// Records that a task of the selected job was placed on a machine.
    pub fn record_placement(&mut self, index: usize, spec: &JobSpec) {
        let capacity = &mut self.machines[index];
        capacity.free = capacity.free.minus(&spec.need);
        let sum = &mut capacity.preemptible[spec.priority as usize];
        *sum = sum.plus(&spec.need);
        self.usage.add(&spec.team, &spec.need);
        *self.job_zones.entry(capacity.zone.clone()).or_insert(0) += 1;
        if let (Some(zones_by_job), true) = (&mut self.tasks_by_zone, depends_on_zones(spec)) {
            let zones = zones_by_job.entry(spec.id.clone()).or_default();
            *zones.entry(capacity.zone.clone()).or_insert(0) += 1;
        }
    }

    /// Recalculates a machine on which tasks were stopped or starts were withdrawn.
    pub fn recompute_machine(&mut self, index: usize, machine: &Machine) {
        self.tasks_by_zone = None;
        self.machines[index].recompute(machine);
        self.find_open_machines();
    }

    /// Updates the reservations after the nominations of one job have changed.
    pub fn refresh_reservations(&mut self, spec: &JobSpec, nominations: &[MachineId]) {
        self.unplaceable.clear();
        for capacity in &mut self.machines {
            capacity.reservations.retain(|(_, job, _)| *job != spec.id);
        }
        self.reserve_nominations(spec, nominations);
    }

    pub fn reserve_nominations(&mut self, spec: &JobSpec, nominations: &[MachineId]) {
        for machine in nominations {
            // Machines are sorted by id.
            if let Ok(at) = self.machines.binary_search_by(|c| c.id.cmp(machine)) {
                let reservation = (spec.priority, spec.id.clone(), spec.need);
                self.machines[at].reservations.push(reservation);
            }
        }
    }
}

/// Returns whether the locations of the job's other tasks restrict or influence a placement.
pub(super) fn depends_on_zones(spec: &JobSpec) -> bool {
    spec.one_zone || spec.spread || spec.kind == Kind::Service
}

fn count_by_job_and_zone(
    machines: &BTreeMap<MachineId, Machine>,
) -> HashMap<JobId, BTreeMap<Arc<str>, u32>> {
    let mut zones_by_job: HashMap<JobId, BTreeMap<Arc<str>, u32>> = HashMap::new();
    for machine in machines.values() {
        for ((task, _), p) in &machine.tasks {
            if p.exited() || p.spec.as_ref().is_some_and(|spec| !depends_on_zones(spec)) {
                continue;
            }
            let zones = zones_by_job.entry(task.job.clone()).or_default();
            *zones.entry(machine.zone.clone()).or_insert(0) += 1;
        }
    }
    zones_by_job
}

/// Returns the jobs listed for machines whose tasks are not known yet.
pub(super) fn jobs_on_unresolved_machines(
    machines: &BTreeMap<MachineId, Machine>,
) -> HashSet<JobId> {
    let unresolved_machines = machines.values().filter(|m| m.unresolved);
    unresolved_machines
        .flat_map(|m| m.assignment.possible_jobs().cloned())
        .collect()
}
