//! The dependency graph of the active jobs.
//!
//! A job may name other jobs that it needs. [`JobGraph`] determines which jobs may start, which are
//! cancelled because a job that they need was cancelled, and how urgent each one is, given the jobs
//! that wait for it. It is a state machine: no I/O, no clock, no randomness, and memory bounded by
//! the active jobs and the jobs that they name. Design: `docs/design/job-graph.md`.

#![warn(missing_docs, unreachable_pub)]

mod cancellation;
mod contribution;
mod graph;
mod job;
mod message;
mod order;
mod status;
mod urgency;

pub use graph::JobGraph;
pub use message::{Input, JobFacts, Outcome, Output, TerminalState, Urgency};
pub use status::Status;
