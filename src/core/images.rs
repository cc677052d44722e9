//! Images in the machines' caches: which are where, what that is worth, and what
//! nodes tell one another of it.
//!
//! A cache is known by the tasks that were seen with their image, so a new leader
//! would know next to nothing of what idle machines have. What the former one told
//! the other nodes is taken as a hint: it decides between rooms, never whether a
//! task may start.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    Node, Output,
    job::{JobSpec, Kind},
    leader::Leader,
    machine::{Machine, MachineId, MachineType},
    relay::PeerMessage,
};

/// Images by machine. Each is named once, and machines refer to it by number.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Caches {
    images: Vec<Arc<str>>,
    machines: BTreeMap<MachineId, Vec<usize>>,
}

/// How often the leader tells what is where.
const TELL_EVERY: Duration = Duration::from_secs(5);
/// Machines whose caches are told of.
const MACHINES_MOST: usize = 2000;

/// An image that takes so many seconds to fetch is worth a cost of one where it is
/// cached, and all the images of a machine at most so much.
const LONG_FETCH: f64 = 20.0;
const IMAGES_MOST: f64 = 4.0;

impl Caches {
    fn of<'a>(machines: impl Iterator<Item = &'a Machine>) -> Self {
        let mut caches = Self::default();
        let mut numbers: HashMap<Arc<str>, usize> = HashMap::new();
        for machine in machines
            .filter(|m| !m.images.is_empty())
            .take(MACHINES_MOST)
        {
            let number = |image: &Arc<str>| {
                *numbers.entry(image.clone()).or_insert_with(|| {
                    caches.images.push(image.clone());
                    caches.images.len() - 1
                })
            };
            let images = machine.images.keys().map(number).collect();
            caches.machines.insert(machine.id.clone(), images);
        }
        caches
    }

    /// What was told of one machine, given away.
    fn take(&mut self, machine: &MachineId) -> Vec<Arc<str>> {
        let numbers = self.machines.remove(machine).unwrap_or_default();
        let images = numbers.into_iter().filter_map(|n| self.images.get(n));
        images.cloned().collect()
    }
}

impl Node {
    /// The leader tells the others what is where, again and again.
    pub(super) fn pump_caches(&mut self) {
        let now = self.now();
        if now < self.next_caches || !self.leads() {
            return;
        }
        self.next_caches = now + TELL_EVERY;
        let Some(leader) = &self.leader else { return };
        let caches = Caches::of(leader.machines.values());
        for to in self.config.peers.clone() {
            self.out.push(Output::Peer {
                to,
                message: PeerMessage::Caches(caches.clone()),
            });
        }
    }

    /// What the leader told, or to a new one what the one before did.
    pub(super) fn caches_told(&mut self, caches: Caches) {
        match &mut self.leader {
            Some(leader) => leader.recall(caches),
            None => self.caches = caches,
        }
    }

    /// Another node leads now: a process that has just started knows nothing.
    pub(super) fn pass_caches_on(&mut self) {
        if let Some((record, _)) = &self.mirror.leader
            && record.node != self.config.node
            && !self.caches.machines.is_empty()
        {
            self.out.push(Output::Peer {
                to: record.node.clone(),
                message: PeerMessage::Caches(self.caches.clone()),
            });
        }
    }
}

impl Leader {
    /// Takes what was told of machines that it knows, and keeps the rest for those
    /// that are yet to report.
    pub fn recall(&mut self, mut caches: Caches) {
        for machine in self.machines.values_mut() {
            for image in caches.take(&machine.id) {
                machine.images.entry(image).or_default();
            }
        }
        self.told = caches;
    }

    /// A machine that is new to this leader.
    pub(super) fn recall_one(&mut self, machine: &mut Machine) {
        for image in self.told.take(&machine.id) {
            machine.images.entry(image).or_default();
        }
    }

    /// The machine has the image of a task that was seen there.
    pub(super) fn image_seen(&mut self, id: &MachineId, spec: &JobSpec, now: Duration) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        // Only one that is new can have pushed others out. Asking for every task of
        // an array what all images take was a third of the leader's work.
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
        let room = self
            .types
            .iter()
            .find(|t| t.name == machine.machine_type)
            .map_or(0.0, |t| t.cache_gb);
        let size = |image: &Arc<str>| sizes.get(image).copied().unwrap_or(1.0);
        let mut held: f64 = machine.images.keys().map(size).sum();
        while held > room {
            let oldest = machine
                .images
                .iter()
                .filter(|(_, used)| **used < now)
                .min_by_key(|(_, used)| **used)
                .map(|(image, _)| image.clone());
            let Some(oldest) = oldest else { break };
            held -= size(&oldest);
            machine.images.remove(&oldest);
        }
    }

    /// Finds out what each machine's cached images are worth to services. A service
    /// whose image is nowhere else free waits for a fetch as long as it is large, and
    /// mostly because an array, which could have run anywhere, was there before it.
    pub fn value_images(&mut self) {
        let services = self.jobs.values().map(|job| &job.spec);
        let wanted: HashMap<Arc<str>, f64> = services
            .filter(|spec| spec.kind == Kind::Service)
            .map(|spec| (spec.image.clone(), spec.image_gb))
            .collect();
        for machine in self.machines.values_mut() {
            let rate = rate(&self.types, &machine.machine_type);
            let fetches = machine.images.keys().filter_map(|image| wanted.get(image));
            let worth = |gb: &f64| (gb / rate / LONG_FETCH).powi(2);
            machine.image_value = fetches.map(worth).sum::<f64>().min(IMAGES_MOST);
        }
    }

    /// About how long the image takes to arrive there.
    pub(super) fn fetch_time(&self, machine: &Machine, spec: &JobSpec) -> f64 {
        if machine.has_image(&spec.image) {
            return 0.0;
        }
        let alone = spec.image_gb / rate(&self.types, &machine.machine_type);
        if machine.fetches(&spec.image) {
            return alone * 0.5;
        }
        alone * (1.0 + machine.fetching() as f64 * 0.5)
    }
}

/// Gigabytes a second that a machine of this type fetches.
fn rate(types: &[MachineType], machine_type: &str) -> f64 {
    let known = types.iter().find(|t| &*t.name == machine_type);
    known.map_or(0.1, |t| t.fetch_gb_per_s.max(0.01))
}
