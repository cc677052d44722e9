//! Scale test of one cell of kiteyard on one machine.
//!
//! Real controllers run in their own processes. This process holds stand-ins for the state
//! service and the cloud, thousands of hollow workers, which speak the protocol over loopback
//! and run nothing, and users with an arrival process. Rules are checked during the run; the
//! resources used by each role are measured and written as JSON.

#![warn(missing_docs, unreachable_pub)]

pub mod checks;
pub mod config;
pub mod controllers;
pub mod fit;
pub mod fleet;
pub mod guard;
pub mod jobs;
pub mod latency;
pub mod observer;
pub mod procfs;
pub mod report;
pub mod result;
pub mod run;
pub mod snapshot;
pub mod users;
pub mod worker;
