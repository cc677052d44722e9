//! The client program's parts: what to ask, when to ask again, and what a job file says.

#![warn(missing_docs, unreachable_pub)]

pub mod ask;
pub mod client;
pub mod job;
