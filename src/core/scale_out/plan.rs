//! One plan of scale-out requests: the room that is about to be there, and the machines asked for
//! so far.

use std::{collections::HashMap, sync::Arc};

use super::upcoming_capacity::UpcomingCapacity;
use crate::core::{
    job::{JobId, JobSpec, Resources},
    machine::MachineKind,
};

/// Machines of one kind to ask the cloud for.
pub struct ScaleOutOrder {
    pub kind: MachineKind,
    pub count: u32,
    /// The first job that needs one of them, for the log.
    pub job: JobId,
}

/// What one pass over the waiting work asks for, and the room that counts as coming meanwhile.
#[derive(Default)]
pub struct ScaleOutPlan {
    /// Room on machines that boot or are asked for.
    pub coming: UpcomingCapacity,
    /// Machines by zone, those that are asked for included.
    machines_in_zone: HashMap<Arc<str>, usize>,
    orders: Vec<ScaleOutOrder>,
}

impl ScaleOutPlan {
    /// Counts machines of a zone.
    pub fn count_machines(&mut self, zone: &Arc<str>, count: usize) {
        *self.machines_in_zone.entry(zone.clone()).or_insert(0) += count;
    }

    /// How many machines a zone has, or will have by this plan.
    pub fn machines_in(&self, zone: &str) -> usize {
        self.machines_in_zone.get(zone).copied().unwrap_or(0)
    }

    /// Asks for machines of that size; one order is kept for each kind.
    pub fn order(&mut self, kind: &MachineKind, size: Resources, count: u32, job: &JobSpec) {
        self.coming.add(kind, size, count);
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
