//! Free capacity of idle, booting and requested machines, grouped by kind and free
//! resources. A scale-out plan fills it first, and adds every machine that it orders.

use std::sync::Arc;

use crate::core::{
    job::{JobSpec, Resources},
    machine::MachineKind,
};

struct CapacityGroup {
    kind: MachineKind,
    free: Resources,
    count: u32,
}

impl CapacityGroup {
    /// Returns the number of tasks of the job that fit on each machine.
    fn slots_per_machine(&self, spec: &JobSpec, zone: Option<&str>) -> u32 {
        let MachineKind {
            machine_type,
            zone: in_zone,
            spot,
        } = &self.kind;
        let is_allowed = zone.is_none_or(|zone| zone == &**in_zone)
            && spec.allows_type(machine_type)
            && spec.allows_placement(in_zone, *spot);
        match is_allowed {
            true => spec.need.count_fitting(&self.free),
            false => 0,
        }
    }
}

#[derive(Default)]
pub struct UpcomingCapacity(Vec<CapacityGroup>);

impl UpcomingCapacity {
    pub fn add(&mut self, kind: &MachineKind, free: Resources, count: u32) {
        if count == 0 {
            return;
        }
        let same = |a: &&mut CapacityGroup| a.free == free && a.kind == *kind;
        match self.0.iter_mut().find(same) {
            Some(group) => group.count += count,
            None => self.0.push(CapacityGroup {
                kind: kind.clone(),
                free,
                count,
            }),
        }
    }

    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.0.iter().map(|group| &group.kind.zone)
    }

    /// Returns the number of tasks of the job that fit, in one zone if one is given.
    pub fn slots(&self, spec: &JobSpec, zone: Option<&str>) -> u32 {
        let slots = |a: &CapacityGroup| a.slots_per_machine(spec, zone).saturating_mul(a.count);
        self.0.iter().map(slots).fold(0, u32::saturating_add)
    }

    /// Places up to that many tasks, and returns the number that did not fit. Machines with the
    /// least free capacity are filled first, which keeps empty ones for tasks that need all of it.
    pub fn fill(&mut self, spec: &JobSpec, zone: Option<&str>, mut tasks: u32) -> u32 {
        let groups = self.0.iter().enumerate();
        let mut order: Vec<(u32, usize)> = groups
            .map(|(at, group)| (group.slots_per_machine(spec, zone), at))
            .filter(|(slots, _)| *slots > 0)
            .collect();
        order.sort_unstable();
        let mut changed: Vec<CapacityGroup> = Vec::new();
        for (slots, at) in order {
            let group = &mut self.0[at];
            let full = (tasks / slots).min(group.count);
            let rest = match full < group.count {
                true => tasks % slots,
                false => 0,
            };
            for (each, count) in [(slots, full), (rest, u32::from(rest > 0))] {
                changed.push(CapacityGroup {
                    kind: group.kind.clone(),
                    free: group.free.plus_scaled(&spec.need, -f64::from(each)),
                    count,
                });
                group.count -= count;
                tasks -= each * count;
            }
        }
        self.0.retain(|group| group.count > 0);
        for group in changed {
            self.add(&group.kind, group.free, group.count);
        }
        tasks
    }
}

#[cfg(test)]
pub mod tests {
    use std::collections::BTreeMap;

    use rand::{RngExt, SeedableRng, rngs::StdRng};

    use super::*;
    use crate::core::job::{JobId, Kind, Priority};

    pub fn spec(cpus: f64, gpus: f64, spot: bool) -> JobSpec {
        JobSpec {
            id: JobId::parse("run-1").expect("an id"),
            class: Arc::from("work"),
            team: Arc::from("red"),
            kind: Kind::Array,
            priority: Priority::Normal,
            tasks: 1,
            need: Resources {
                cpus,
                gpus,
                memory_gb: 1.0,
            },
            image: Arc::from("img"),
            image_gb: 1.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot,
            estimate_s: 1.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            licences: BTreeMap::new(),
            needs: Vec::new(),
        }
    }

    fn kind(zone: &str, spot: bool) -> MachineKind {
        MachineKind {
            machine_type: Arc::from("m"),
            zone: Arc::from(zone),
            spot,
        }
    }

    /// Checks grouped capacity against a plain list of machines.
    #[test]
    fn grouped_capacity_matches_single_machines() {
        let mut rng = StdRng::seed_from_u64(11);
        for _ in 0..300 {
            let (mut upcoming, mut plain) = (UpcomingCapacity::default(), Vec::new());
            for _ in 0..rng.random_range(1..6) {
                let zone = ["a", "b"][rng.random_range(0..2)];
                let kind = kind(zone, rng.random_bool(0.5));
                let free = Resources {
                    cpus: f64::from(rng.random_range(1..20u32)),
                    gpus: f64::from(rng.random_range(0..9u32)),
                    memory_gb: 50.0,
                };
                let count = rng.random_range(0..4u32);
                upcoming.add(&kind, free, count);
                plain.extend((0..count).map(|_| (kind.clone(), free)));
            }
            for _ in 0..4 {
                let cpus = f64::from(rng.random_range(1..7u32));
                let gpus = f64::from(rng.random_range(0..3u32));
                let spec = spec(cpus, gpus, rng.random_bool(0.5));
                let zone = [None, Some("a"), Some("b")][rng.random_range(0..3)];
                let requested = rng.random_range(0..12);
                let is_allowed = |kind: &MachineKind| {
                    zone.is_none_or(|zone| zone == &*kind.zone) && (spec.spot || !kind.spot)
                };
                let slots: u32 = plain
                    .iter()
                    .filter(|(kind, _)| is_allowed(kind))
                    .map(|(_, free)| spec.need.count_fitting(free))
                    .sum();
                assert_eq!(upcoming.slots(&spec, zone), slots);
                let left = upcoming.fill(&spec, zone, requested);
                assert_eq!(left, requested.saturating_sub(slots));
                // Any machines may have been filled: continue with the remaining capacity.
                plain.clear();
                for group in &upcoming.0 {
                    let one = (group.kind.clone(), group.free);
                    plain.extend((0..group.count).map(|_| one.clone()));
                }
            }
        }
    }

    /// Guards against small jobs that take a machine each: the rest of those machines was
    /// counted as capacity for arrays, for which no machines were then ordered.
    #[test]
    fn small_jobs_share_a_machine_and_keep_others_empty() {
        let kind = kind("a", false);
        let (small, whole) = (spec(5.0, 1.0, false), spec(57.0, 8.0, false));
        let mut upcoming = UpcomingCapacity::default();
        let free = Resources {
            cpus: 64.0,
            gpus: 8.0,
            memory_gb: 50.0,
        };
        upcoming.add(&kind, free, 3);
        for _ in 0..2 {
            assert_eq!(upcoming.fill(&small, None, 4), 0);
        }
        assert_eq!(upcoming.slots(&whole, None), 2);
    }
}
