//! The cloud: machine types, the list of machines, scale-out requests and returns.

use std::{sync::Arc, time::Duration};

use kiteyard::core::{
    job::Resources,
    machine::{ListedMachine, ListedState, MachineType},
    provisioning::{CloudReply, CloudRequest},
};

use super::{CPUS, Event, World, ZONES, ms};

impl World {
    pub(super) fn cloud(&mut self, request: CloudRequest) -> CloudReply {
        if self.now < self.cloud_unavailable_until {
            return CloudReply::Refused;
        }
        match request {
            CloudRequest::Types => CloudReply::Types(vec![MachineType {
                name: Arc::from("m"),
                size: Resources {
                    cpus: CPUS,
                    gpus: 0.0,
                    memory_gb: 64.0,
                },
                cache_gb: 5.0,
                fetch_gb_per_s: 1.0,
                price: 1.0,
                spot_price: 0.4,
                boot_s: 4.0,
                zones: ZONES.iter().map(|z| Arc::from(*z)).collect(),
            }]),
            CloudRequest::List { .. } => {
                let listed = |id: &String, zone: usize, spot: bool, state| ListedMachine {
                    id: Arc::from(id.as_str()),
                    machine_type: Arc::from("m"),
                    zone: Arc::from(ZONES[zone]),
                    spot,
                    state,
                    age: ms(5000),
                };
                let mut machines: Vec<ListedMachine> = self
                    .workers
                    .iter()
                    .map(|(id, w)| listed(id, w.zone, w.spot, ListedState::Running))
                    .collect();
                let booting = self.booting.iter();
                machines.extend(booting.map(|(id, b)| listed(id, b.0, b.1, ListedState::Booting)));
                CloudReply::Machines {
                    machines,
                    more: false,
                }
            }
            CloudRequest::Provision(provision) => {
                if let Some(names) = self.provisioned.get(&provision.id) {
                    return CloudReply::Provisioned(names.clone());
                }
                let zone = ZONES
                    .iter()
                    .position(|z| **z == *provision.zone)
                    .expect("known zone");
                let mut names = Vec::new();
                for _ in 0..provision.count {
                    if self.workers.len() + self.booting.len() < self.scale.max_machines {
                        let boot = self.boot_time();
                        names.push(Arc::from(self.provision_machine(
                            zone,
                            provision.spot,
                            boot,
                        )));
                    }
                }
                if names.is_empty() {
                    return CloudReply::NoCapacity;
                }
                self.provisioned.insert(provision.id, names.clone());
                CloudReply::Provisioned(names)
            }
            CloudRequest::Release { machines } => {
                for id in machines {
                    self.check_return(&id);
                    self.booting.remove(&*id);
                    self.remove_worker(&id);
                }
                CloudReply::Released
            }
        }
    }

    pub(super) fn provision_machine(&mut self, zone: usize, spot: bool, boot: Duration) -> String {
        self.next_machine += 1;
        let name = format!("vm-{:06}", self.next_machine);
        self.booting
            .insert(name.clone(), (zone, spot, self.now + boot));
        self.push(self.now + boot, Event::WorkerTick(name.clone()));
        name
    }

    pub fn remove_machine(&mut self, name: &str) {
        self.remove_worker(name);
    }

    pub(crate) fn remove_worker(&mut self, name: &str) {
        if let Some(worker) = self.workers.remove(name) {
            for ((task, _), t) in worker.tasks {
                if t.phase.has_image() {
                    self.observer.record_task_end(&task, name, false);
                }
            }
        }
    }
}
