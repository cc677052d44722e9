//! Recovery of a new leader: reconciles the stored state with the workers' reports.
//!
//! [`reconciliation`] tracks its progress by zone and which actions must wait for it;
//! [`request_window`] limits the outstanding requests, which start at one and grow while they are
//! answered; [`adoption`] decides what to do with a task that a worker reports. No module reads
//! a clock, sends messages or decides where a task may run: that depends on claims, tokens and
//! leases alone.

#![warn(missing_docs, unreachable_pub)]

pub mod adoption;
pub mod reconciliation;
pub mod request_window;
