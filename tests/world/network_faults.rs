//! Network faults: workers whose reports arrive but who receive nothing, delayed duplicates of
//! messages, and a node that loses the state service and its peers but not its workers.

use std::{collections::BTreeMap, time::Duration};

use kiteyard::core::{
    Input, machine::WorkerReport, provisioning::CloudRequest, store::StateRequest,
};
use rand::RngExt;

use crate::sim::{Defect, Event, NODES, World, ms};

#[derive(Default)]
pub struct NetworkFaults {
    /// Machines that receive nothing until the given time; their own messages arrive.
    blocked_until: BTreeMap<String, Duration>,
    /// A quarter of all messages is duplicated until then.
    pub duplicates_until: Duration,
    /// No messages pass between these nodes and the others until the given times.
    isolated_until: [Duration; NODES],
}

impl NetworkFaults {
    pub fn block_delivery(&mut self, names: Vec<String>, until: Duration) {
        self.blocked_until
            .extend(names.into_iter().map(|name| (name, until)));
    }

    pub fn is_delivery_blocked(&self, name: &str, now: Duration) -> bool {
        self.blocked_until
            .get(name)
            .is_some_and(|until| *until > now)
    }
}

impl World {
    pub fn isolate_node(&mut self, node: usize, until: Duration) {
        self.state_unreachable_until[node] = until;
        self.network_faults.isolated_until[node] = until;
    }

    pub fn are_isolated(&self, from: usize, to: usize) -> bool {
        let isolated_until = &self.network_faults.isolated_until;
        isolated_until[from].max(isolated_until[to]) > self.now
    }

    /// Returns the receiver and the arrival time of a duplicate, if there is one: seconds to
    /// several leases later.
    fn duplicate_target(&mut self) -> Option<(usize, Duration)> {
        if self.now >= self.network_faults.duplicates_until || self.rng.random_range(0..4) > 0 {
            return None;
        }
        let at = self.now + ms(self.rng.random_range(1_500..16_000));
        Some((self.rng.random_range(0..NODES), at))
    }

    /// Delivers the duplicate to any node, whatever process runs there by then; nobody waits for
    /// the answer.
    fn deliver_duplicate(&mut self, input: impl FnOnce(u64) -> Input) {
        if let Some((node, at)) = self.duplicate_target() {
            self.next_request += 1;
            let input = input(self.next_request);
            self.push(at, Event::Message(node, input));
        }
    }

    pub fn duplicate_report(&mut self, report: &WorkerReport) {
        let mut report = report.clone();
        if self.defect == Defect::AcceptsDuplicateReports {
            report.seq += 20;
        }
        self.deliver_duplicate(|request| Input::Report { request, report });
    }

    pub fn duplicate_user_request(&mut self, input: &Input) {
        match input {
            Input::Submit { spec, .. } => {
                let spec = spec.clone();
                self.deliver_duplicate(|request| Input::Submit { request, spec });
            }
            Input::Withdraw { id, .. } => {
                let id = id.clone();
                self.deliver_duplicate(|request| Input::Withdraw { request, id });
            }
            _ => {}
        }
    }

    /// The state service handles the duplicate as a request of its own, and its answer is dropped.
    pub fn duplicate_state_request(&mut self, request: &StateRequest) {
        if let (StateRequest::Txn { .. }, Some((node, at))) = (request, self.duplicate_target()) {
            self.push(at, Event::StateCall(node, 0, 0, request.clone()));
        }
    }

    pub fn duplicate_cloud_request(&mut self, request: &CloudRequest) {
        if let Some((node, at)) = self.duplicate_target() {
            self.push(at, Event::CloudCall(node, 0, 0, request.clone()));
        }
    }

    /// Checks that no job has waiting tasks that are in no queue.
    pub fn check_queued_jobs(&mut self) {
        let nodes = self.nodes.iter().flatten();
        let lost: Vec<_> = nodes.filter_map(|node| node.unqueued_job()).collect();
        for id in lost {
            self.observer
                .report_violation(self.now, "lost", format!("{id} is in no queue"));
        }
    }
}
