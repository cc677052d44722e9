//! Images in the machines' caches, as inferred from the tasks seen there, and their value.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{
    cluster::ClusterState,
    job::{JobSpec, Kind},
    machine::{Machine, MachineId, MachineType},
};

/// Fetch time in seconds at which a cached image has the value 1 in placement costs, and maximum
/// value of all images of a machine.
const UNIT_VALUE_FETCH_SECS: f64 = 20.0;
const MAX_IMAGE_VALUE: f64 = 4.0;

impl ClusterState {
    /// Records that the machine has the image of a task that was seen there.
    pub(super) fn record_image(&mut self, id: &MachineId, spec: &JobSpec, now: Duration) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        // Only a new image can have evicted others. Summing the image sizes for every task of an
        // array took a third of the leader's time.
        if machine.images.insert(spec.image.clone(), now).is_none() {
            self.trim_cache(id, now);
        }
    }

    fn trim_cache(&mut self, id: &MachineId, now: Duration) {
        let sizes: HashMap<Arc<str>, f64> = self
            .jobs
            .values()
            .map(|j| (j.spec.image.clone(), j.spec.image_gb))
            .collect();
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let capacity_gb = self
            .types
            .iter()
            .find(|t| t.name == machine.machine_type)
            .map_or(0.0, |t| t.cache_gb);
        let size = |image: &Arc<str>| sizes.get(image).copied().unwrap_or(1.0);
        let mut used_gb: f64 = machine.images.keys().map(size).sum();
        while used_gb > capacity_gb {
            let oldest = machine
                .images
                .iter()
                .filter(|(_, used)| **used < now)
                .min_by_key(|(_, used)| **used)
                .map(|(image, _)| image.clone());
            let Some(oldest) = oldest else { break };
            used_gb -= size(&oldest);
            machine.images.remove(&oldest);
        }
    }

    /// Updates the value of each machine's cached images to services. A service whose image is on
    /// no other free machine waits for a fetch in proportion to its size, usually because an array
    /// that could have run anywhere was placed there first.
    pub fn update_image_values(&mut self) {
        let services = self.jobs.values().map(|job| &job.spec);
        let services_by_image: HashMap<Arc<str>, Arc<JobSpec>> = services
            .filter(|spec| spec.kind == Kind::Service)
            .map(|spec| (spec.image.clone(), spec.clone()))
            .collect();
        for machine in self.machines.values_mut() {
            let rate = fetch_rate(&self.types, &machine.machine_type);
            let services = machine
                .images
                .keys()
                .filter_map(|image| services_by_image.get(image));
            // A machine with capacity for more than one task of this size is not blocked by another
            // task.
            let blocked = services.filter(|spec| spec.need.count_fitting(&machine.size) == 1);
            let value =
                |spec: &Arc<JobSpec>| (spec.image_gb / rate / UNIT_VALUE_FETCH_SECS).powi(2);
            machine.image_value = blocked.map(value).sum::<f64>().min(MAX_IMAGE_VALUE);
        }
    }

    /// Returns the estimated time in seconds to fetch the image on a machine that fetches nothing
    /// else.
    pub(super) fn uncontended_fetch_secs(&self, spec: &JobSpec) -> f64 {
        let types = self.types.iter().filter(|t| spec.allows_type(&t.name));
        let rate = types.map(|t| t.fetch_gb_per_s).fold(0.01, f64::max);
        spec.image_gb / rate
    }

    /// Returns the estimated time in seconds until the machine has the image.
    pub(super) fn estimated_fetch_secs(&self, machine: &Machine, spec: &JobSpec) -> f64 {
        if machine.has_image(&spec.image) {
            return 0.0;
        }
        let uncontended_secs = spec.image_gb / fetch_rate(&self.types, &machine.machine_type);
        if machine.is_fetching(&spec.image) {
            return uncontended_secs * 0.5;
        }
        uncontended_secs * (1.0 + machine.fetch_count() as f64 * 0.5)
    }
}

/// Returns the fetch rate of this machine type in gigabytes per second.
fn fetch_rate(types: &[MachineType], machine_type: &str) -> f64 {
    let known = types.iter().find(|t| &*t.name == machine_type);
    known.map_or(0.1, |t| t.fetch_gb_per_s.max(0.01))
}
