//! kiteyard: a cluster scheduler with priorities, preemption and nominations.
//!
//! `core` decides, `io` carries out, and `wire` knows the messages.

pub mod cli;
pub mod core;
pub mod io;
pub mod settings;
pub mod wire;
