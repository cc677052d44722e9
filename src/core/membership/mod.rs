//! Liveness of the other nodes and of the machines, as observed by this node.
//!
//! A state machine that sends no requests: it records which messages arrived, when and by which
//! path, and classifies silences. Its results affect availability only. That no task runs twice
//! is ensured by the claim, the fencing tokens and the leases, independently of this module.

pub mod active_time;
pub mod nodes;
pub mod phi_accrual;
pub mod reachability;

use std::time::Duration;

use nodes::Nodes;
use reachability::FailureDetector;

#[derive(Debug)]
pub struct Membership {
    pub nodes: Nodes,
    pub detector: FailureDetector,
    /// Time at which this node gave up the leadership, until a worker reports or it leads again.
    stepped_down_at: Option<Duration>,
    /// Time since which this node leads.
    leading_since: Duration,
}

impl Membership {
    pub fn new(report_interval: Duration, worker_lease: Duration) -> Self {
        Self {
            nodes: Nodes::new(worker_lease),
            detector: FailureDetector::new(report_interval, worker_lease),
            stepped_down_at: None,
            leading_since: Duration::ZERO,
        }
    }

    /// Resets the failure detector for a node that starts to lead, as other workers report to it.
    pub fn begin_leading(&mut self, now: Duration) {
        self.detector.reset();
        self.leading_since = now;
        self.stepped_down_at = None;
    }

    pub fn leading_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.leading_since)
    }

    pub fn record_step_down(&mut self, now: Duration) {
        self.detector.reset();
        self.stepped_down_at = Some(now);
    }

    /// Records a report that a worker sent to this node directly.
    pub fn record_worker_arrival(&mut self) {
        self.stepped_down_at = None;
    }

    /// Returns whether this node may claim the leadership. A node that stepped down waits until it
    /// receives reports from workers, or until `max_wait` has passed without another leader.
    pub fn may_campaign(&self, now: Duration, max_wait: Duration) -> bool {
        self.stepped_down_at.is_none_or(|at| now > at + max_wait)
    }
}
