//! Random faults, for worlds that name none of their own.

use rand::RngExt;

use super::{Event, LinkPartition, NODES, World, ms};

impl World {
    pub(super) fn inject_random_fault(&mut self) {
        let now = self.now;
        let names: Vec<String> = self.workers.keys().cloned().collect();
        match self.rng.random_range(0..17) {
            0 | 1 => {
                let node = self.rng.random_range(0..NODES);
                self.crash(node);
            }
            2 => (0..NODES).for_each(|node| self.crash(node)),
            3 => {
                self.outage = true;
                let until = now + ms(self.rng.random_range(1000..15_000));
                self.push(until, Event::OutageEnded);
            }
            4 => {
                let node = self.rng.random_range(0..NODES);
                self.refused_until[node] = now + ms(self.rng.random_range(5000..25_000));
            }
            5 => {
                let reset = self.rng.random_bool(0.5);
                let zone = self.rng.random_range(0..3);
                let until = now + ms(self.rng.random_range(2000..14_000));
                for node in 0..NODES {
                    if node != zone && self.rng.random_bool(0.6) {
                        self.partitions.push(LinkPartition {
                            node,
                            zone,
                            until,
                            reset,
                        });
                    }
                }
            }
            // A process that freezes, mostly in the middle of a step.
            13 | 14 => {
                let node = self.rng.random_range(0..NODES);
                let freeze = ms([900, 3000, 6000, 14_000, 40_000][self.rng.random_range(0..5)]);
                match self.rng.random_bool(0.7) {
                    true => self.pending_freezes[node] = Some(freeze),
                    false => self.frozen_until[node] = now + freeze,
                }
            }
            15 => {
                let node = self.rng.random_range(0..NODES);
                self.workers_unreachable_until[node] =
                    now + ms(self.rng.random_range(3000..25_000));
            }
            // A node without network or power, for much longer than any lease.
            16 => {
                let node = self.rng.random_range(0..NODES);
                if self.nodes[node].take().is_some() {
                    self.epochs[node] += 1;
                    let restart_at = now + ms(self.rng.random_range(20_000..60_000));
                    self.push(restart_at, Event::Restart(node));
                }
            }
            10 => self.peers_refuse_until = now + ms(self.rng.random_range(5000..25_000)),
            11 => self.state_slow_until = now + ms(self.rng.random_range(5000..25_000)),
            // A partitioned zone, or a node that only the workers of its zone reach.
            8 | 9 => {
                let isolated = self.rng.random_range(0..NODES);
                let until = now + ms(self.rng.random_range(3000..25_000));
                let reset = self.rng.random_bool(0.5);
                self.state_unreachable_until[isolated] = until;
                for other in (0..NODES).filter(|other| *other != isolated) {
                    for (node, zone) in [(isolated, other), (other, isolated)] {
                        self.partitions.push(LinkPartition {
                            node,
                            zone,
                            until,
                            reset,
                        });
                    }
                }
            }
            6 | 7 if !names.is_empty() => {
                let name = &names[self.rng.random_range(0..names.len())];
                // Also just below and just above the lease of 5 s.
                let hang = ms([800, 3000, 4700, 5200, 9000][self.rng.random_range(0..5)]);
                self.workers.get_mut(name).expect("known worker").hung_until = now + hang;
            }
            _ if !names.is_empty() => {
                let name = names[self.rng.random_range(0..names.len())].clone();
                self.remove_worker(&name);
                self.cloud_unavailable_until = now + ms(self.rng.random_range(0..10_000));
            }
            _ => {}
        }
    }
}
