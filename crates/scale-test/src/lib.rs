//! Measures one cell of kiteyard on one machine.
//!
//! Real controllers run as processes of their own. Around them, in this process, are
//! stand-ins for the state service and the cloud, thousands of hollow workers, which speak
//! the protocol over loopback and run nothing, and users with an arrival process. Rules are
//! checked while it runs; what each role costs is measured and written as JSON.

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
