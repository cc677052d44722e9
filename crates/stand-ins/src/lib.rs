//! Stand-ins on loopback for the state service and the cloud, implemented from the protocol,
//! and the small HTTP server and client that they share with the hollow workers.

#![warn(missing_docs, unreachable_pub)]

pub mod availability;
pub mod cloud;
pub mod http;
pub mod rate_limit;
pub mod state;
pub mod store;
