//! Delays and partitions between nodes, zones and workers.

use std::time::Duration;

use rand::RngExt;

use super::{World, ms};

pub struct LinkPartition {
    pub node: usize,
    pub zone: usize,
    pub until: Duration,
    pub reset: bool,
}

impl World {
    pub(super) fn delay(&mut self) -> Duration {
        match self.rng.random_range(0..100) {
            0 => ms(self.rng.random_range(100..600)),
            _ => ms(self.rng.random_range(1..15)),
        }
    }

    /// Arrival time of a message between a node and a zone, or `None` if the connection is reset.
    pub(super) fn path(&mut self, node: usize, zone: usize) -> Option<Duration> {
        let delay = self.delay();
        let now = self.now;
        match self
            .partitions
            .iter()
            .find(|p| p.node == node && p.zone == zone && p.until > now)
        {
            Some(partition) if partition.reset => None,
            Some(partition) => Some(partition.until + delay),
            None => Some(now + delay),
        }
    }

    /// Arrival time of a message between a node and a worker in that zone.
    pub(super) fn worker_path(&mut self, node: usize, zone: usize) -> Option<Duration> {
        let unreachable_until = self.workers_unreachable_until[node];
        let at = self.path(node, zone)?;
        Some(at.max(unreachable_until) + self.link_delay())
    }
}
