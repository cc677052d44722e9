//! Library of the command-line client: requests, their retries, and job files.

#![warn(missing_docs, unreachable_pub)]

pub mod client;
pub mod job;
pub mod retry;
