//! Scale-out plan: upcoming capacity, and the machines ordered so far.

use std::{collections::HashMap, sync::Arc};

use super::upcoming_capacity::UpcomingCapacity;
use crate::core::{
    job::{JobId, JobSpec, Resources},
    machine::MachineKind,
};

/// Machines of one kind to request from the cloud.
pub struct ScaleOutOrder {
    pub kind: MachineKind,
    pub count: u32,
    /// The first job that needs one of them, for the log.
    pub job: JobId,
}

/// Orders of one pass over the waiting work, and the capacity that is taken into account.
#[derive(Default)]
pub struct ScaleOutPlan {
    /// Capacity of machines that are booting or requested.
    pub upcoming: UpcomingCapacity,
    /// Number of machines by zone, including those that are ordered.
    machines_in_zone: HashMap<Arc<str>, usize>,
    orders: Vec<ScaleOutOrder>,
}

impl ScaleOutPlan {
    /// Adds to the number of machines in a zone.
    pub fn count_machines(&mut self, zone: &Arc<str>, count: usize) {
        *self.machines_in_zone.entry(zone.clone()).or_insert(0) += count;
    }

    /// Returns the number of machines in a zone, including those that are ordered.
    pub fn machines_in(&self, zone: &str) -> usize {
        self.machines_in_zone.get(zone).copied().unwrap_or(0)
    }

    /// Orders machines of this kind and size; orders for the same kind are merged.
    pub fn order_machines(
        &mut self,
        kind: &MachineKind,
        size: Resources,
        count: u32,
        job: &JobSpec,
    ) {
        self.upcoming.add(kind, size, count);
        self.count_machines(&kind.zone, count as usize);
        match self.orders.iter_mut().find(|order| order.kind == *kind) {
            Some(order) => order.count += count,
            None => self.orders.push(ScaleOutOrder {
                kind: kind.clone(),
                count,
                job: job.id.clone(),
            }),
        }
    }

    pub fn into_orders(self) -> Vec<ScaleOutOrder> {
        self.orders
    }
}
