//! kiteyard: a cluster scheduler with priorities, preemption and nominations.
//!
//! `core` makes the decisions, `io` performs them, and `wire` encodes and decodes messages.

pub mod cli;
pub mod core;
pub mod io;
pub mod settings;
pub mod wire;
