//! Stand-ins on loopback for the state service and the cloud, written from the protocol,
//! and the small HTTP server and client that they and the hollow workers share.

#![warn(missing_docs, unreachable_pub)]

pub mod availability;
pub mod cloud;
pub mod http;
pub mod rate_limit;
pub mod state;
pub mod store;
