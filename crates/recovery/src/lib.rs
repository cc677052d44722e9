//! Recovery of a new leader: reconciles the stored state with the workers' reports.
//!
//! [`reconciliation`] tracks its progress by zone and which actions must wait for it;
//! [`request_window`] limits the outstanding requests, which start at one and grow while they are
//! answered; [`adoption`] decides what to do with a task that a worker reports; [`worker_leases`]
//! bounds the time for which a silent worker may keep its tasks. No module reads a clock or sends
//! messages. Where a task may run depends on claims, tokens and leases alone, not on a stage of the
//! reconciliation.

#![warn(missing_docs, unreachable_pub)]

pub mod adoption;
pub mod reconciliation;
pub mod request_window;
pub mod worker_leases;
