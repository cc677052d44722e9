//! Worker reports for tests that drive a node's core directly.

use std::sync::Arc;

use kiteyard::core::machine::{ReportedTask, WorkerReport};

/// Returns a report of a machine in zone `a`, in its first session.
pub fn report_of(machine: &str, token: u64, tasks: Vec<ReportedTask>) -> WorkerReport {
    WorkerReport {
        machine: Arc::from(machine),
        addr: "127.0.0.1:9".parse().expect("an address"),
        machine_type: Arc::from("m"),
        zone: Arc::from("a"),
        spot: false,
        session: 1,
        seq: 5,
        token,
        notice_s: None,
        tasks,
    }
}
