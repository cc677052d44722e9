//! What one pass sees: the machines that may be given tasks, what teams use, and what
//! was found out on the way. Nothing here decides.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
};

use super::{
    job::{JobId, JobSpec, Kind, Priority, Resources},
    machine::{AttemptKey, Machine, MachineId},
};

/// A machine as one pass sees it. A pass looks at every room for most jobs, so
/// what rules a room out is kept at hand: most are ruled out by numbers alone.
pub(super) struct MachineCapacity {
    pub id: MachineId,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    size: Resources,
    pub free: Resources,
    /// What tasks that are stopping will leave.
    stopping: Resources,
    /// What tasks that could be stopped hold, by priority.
    pub kept: [Resources; Priority::ALL.len()],
    /// Held for parked tasks, by job.
    pub held: Vec<(Priority, JobId, Resources)>,
    /// Set aside as victims in this pass.
    pub victims: HashSet<AttemptKey>,
}

impl MachineCapacity {
    pub fn new(machine: &Machine) -> Self {
        let mut room = Self {
            id: machine.id.clone(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            size: machine.size,
            free: machine.size,
            stopping: Resources::default(),
            kept: Default::default(),
            held: Vec::new(),
            victims: HashSet::new(),
        };
        room.count(machine);
        room
    }

    /// Takes in what the machine holds now.
    pub fn count(&mut self, machine: &Machine) {
        self.free = self.size;
        self.stopping = Resources::default();
        self.kept = Default::default();
        for placement in machine.tasks.values().filter(|p| !p.exited()) {
            self.free = self.free.minus(&placement.need);
            if placement.stopping() {
                self.stopping = self.stopping.plus(&placement.need);
            } else if let Some(spec) = &placement.spec {
                let kept = &mut self.kept[spec.priority as usize];
                *kept = kept.plus(&placement.need);
            }
        }
    }

    /// The most that could be free for a task of this priority: everything that
    /// is stopping, and whatever might be stopped for it.
    pub fn most_free(&self, priority: Priority, reclaims: bool) -> Resources {
        let below = priority as usize + usize::from(reclaims);
        let most = self.free.plus(&self.stopping);
        self.kept[..below].iter().fold(most, |sum, r| sum.plus(r))
    }
}

impl MachineCapacity {
    /// At least so high is the highest victim of whoever makes room here for the job.
    pub fn least_highest(&self, spec: &JobSpec, reclaims: bool) -> Option<Priority> {
        if spec.need.fits_in(&self.free.plus(&self.stopping)) {
            return None;
        }
        let below = spec.priority as usize + usize::from(reclaims);
        let some = |kept: &Resources| *kept != Resources::default();
        let lowest = self.kept[..below].iter().position(some)?;
        Priority::ALL.get(lowest).copied()
    }
}

/// A room with no more than this left is full.
const LEAST: f64 = 1e-3;

/// What teams' tasks take. There are few teams, and every task of every machine
/// is counted in every pass: a list beats a map.
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

/// A task that found neither room nor victims in this pass. Others that ask for
/// the same kinds of machine, for as much or more, would find none either: with a
/// long queue most jobs need not look at every machine.
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

pub(super) struct Snapshot {
    /// Emptied when nominations change, and with them what is held and stopped.
    pub unplaceable: Vec<Unplaceable>,
    pub rooms: Vec<MachineCapacity>,
    /// Where they are.
    all_zones: Vec<Arc<str>>,
    /// Rooms that are not full, and some that have become so since. In a rush nearly all
    /// are full, and each of thousands of waiting jobs asks.
    open: Vec<usize>,
    /// The same by GPUs, where those are what runs out.
    open_gpus: Vec<usize>,
    /// What each team's tasks take, those that unresponsive machines may hold included.
    pub usage: Usage,
    /// The part of it that is stopping.
    pub leaving: Usage,
    /// Tasks of the job at hand by zone, and the replicas by machine.
    pub zones: BTreeMap<Arc<str>, u32>,
    /// Jobs that unresponsive machines list.
    pub on_unresolved: HashSet<JobId>,
    /// Tasks by job and zone, as counted when they were asked for first.
    by_zone: Option<HashMap<JobId, BTreeMap<Arc<str>, u32>>>,
}

impl Snapshot {
    pub fn new(
        rooms: Vec<MachineCapacity>,
        usage: Usage,
        leaving: Usage,
        on_unresolved: HashSet<JobId>,
    ) -> Self {
        let zones: BTreeSet<&Arc<str>> = rooms.iter().map(|room| &room.zone).collect();
        let mut view = Self {
            all_zones: zones.into_iter().cloned().collect(),
            unplaceable: Vec::new(),
            rooms,
            open: Vec::new(),
            open_gpus: Vec::new(),
            usage,
            leaving,
            zones: BTreeMap::new(),
            on_unresolved,
            by_zone: None,
        };
        view.look_for_open();
        view
    }

    fn look_for_open(&mut self) {
        let open = |free: fn(&Resources) -> f64| {
            let rooms = self.rooms.iter().enumerate();
            let open = rooms.filter(|(_, room)| free(&room.free) > LEAST);
            open.map(|(index, _)| index).collect()
        };
        (self.open, self.open_gpus) = (open(|free| free.cpus), open(|free| free.gpus));
    }

    /// Rooms that may have room for such a task as they are.
    pub fn may_fit(&self, spec: &JobSpec) -> impl Iterator<Item = usize> {
        // One that needs next to nothing may fit anywhere.
        let (open, all) = match (spec.need.gpus > 2.0 * LEAST, spec.need.cpus > 2.0 * LEAST) {
            (true, _) => (&self.open_gpus[..], 0..0),
            (false, true) => (&self.open[..], 0..0),
            (false, false) => (&[][..], 0..self.rooms.len()),
        };
        open.iter().copied().chain(all)
    }

    /// The zones to try for a gang, each alone where it must stay in one. Gathered from the
    /// machines for each waiting gang, they were most of a pass.
    pub fn gang_zones(&self, spec: &JobSpec) -> Vec<Vec<Arc<str>>> {
        match spec.one_zone {
            true => self.all_zones.iter().map(|z| vec![z.clone()]).collect(),
            false => vec![self.all_zones.clone()],
        }
    }

    /// Whether so many tasks may find room in these zones, by numbers alone: `free` tells
    /// what a room may give.
    pub fn may_hold(
        &self,
        spec: &JobSpec,
        tasks: usize,
        zones: &[Arc<str>],
        free: impl Fn(&MachineCapacity) -> Resources,
    ) -> bool {
        let mut left = tasks as u32;
        for room in &self.rooms {
            let free = free(room);
            if !spec.need.fits_in(&free) || !zones.contains(&room.zone) {
                continue;
            }
            left = left.saturating_sub(spec.need.times_in(&free));
            if left == 0 {
                return true;
            }
        }
        false
    }

    /// Another job like it found no room. A nominated one may have room that is held
    /// for itself alone.
    pub fn rules_out(&self, spec: &JobSpec, nominated: bool) -> bool {
        !nominated && self.unplaceable.iter().any(|h| h.covers(spec))
    }

    /// The zones of a job's tasks, the stopping ones included, are to be at hand. Looked
    /// up at every machine for each waiting service, they were most of a pass.
    pub fn select_job(&mut self, spec: &JobSpec, machines: &BTreeMap<MachineId, Machine>) {
        self.zones.clear();
        if !by_zone(spec) {
            return;
        }
        let counted = self.by_zone.get_or_insert_with(|| count_by_zone(machines));
        if let Some(zones) = counted.get(&spec.id) {
            self.zones.clone_from(zones);
        }
    }

    /// A task of the job at hand was put there.
    pub fn put(&mut self, room: usize, spec: &JobSpec) {
        let room = &mut self.rooms[room];
        room.free = room.free.minus(&spec.need);
        let kept = &mut room.kept[spec.priority as usize];
        *kept = kept.plus(&spec.need);
        self.usage.add(&spec.team, &spec.need);
        *self.zones.entry(room.zone.clone()).or_insert(0) += 1;
        if let (Some(counted), true) = (&mut self.by_zone, by_zone(spec)) {
            let zones = counted.entry(spec.id.clone()).or_default();
            *zones.entry(room.zone.clone()).or_insert(0) += 1;
        }
    }

    /// Tasks are being stopped there, and some may have been taken back.
    pub fn recount(&mut self, room: usize, machine: &Machine) {
        self.by_zone = None;
        self.rooms[room].count(machine);
        self.look_for_open();
    }

    /// The nominations of one job have changed.
    pub fn refresh_held(&mut self, spec: &JobSpec, nominations: &[MachineId]) {
        self.unplaceable.clear();
        for room in &mut self.rooms {
            room.held.retain(|(_, held, _)| *held != spec.id);
        }
        self.hold(spec, nominations);
    }

    pub fn hold(&mut self, spec: &JobSpec, nominations: &[MachineId]) {
        for machine in nominations {
            // Rooms are in the order of the machines' names.
            if let Ok(at) = self.rooms.binary_search_by(|r| r.id.cmp(machine)) {
                let held = (spec.priority, spec.id.clone(), spec.need);
                self.rooms[at].held.push(held);
            }
        }
    }
}

/// Where the other tasks of the job are counts for where one may be, or is best.
pub(super) fn by_zone(spec: &JobSpec) -> bool {
    spec.one_zone || spec.spread || spec.kind == Kind::Service
}

fn count_by_zone(
    machines: &BTreeMap<MachineId, Machine>,
) -> HashMap<JobId, BTreeMap<Arc<str>, u32>> {
    let mut counted: HashMap<JobId, BTreeMap<Arc<str>, u32>> = HashMap::new();
    for machine in machines.values() {
        for ((task, _), p) in &machine.tasks {
            if p.exited() || p.spec.as_ref().is_some_and(|spec| !by_zone(spec)) {
                continue;
            }
            let zones = counted.entry(task.job.clone()).or_default();
            *zones.entry(machine.zone.clone()).or_insert(0) += 1;
        }
    }
    counted
}

/// Jobs that machines list of which it is not known yet what they hold.
pub(super) fn jobs_on_unresolved(machines: &BTreeMap<MachineId, Machine>) -> HashSet<JobId> {
    let on_unresolved = machines.values().filter(|m| m.unresolved);
    on_unresolved
        .flat_map(|m| m.assignment.may_list().cloned())
        .collect()
}
